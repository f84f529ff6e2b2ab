// Tests each rule of the consensus algorithm with explicit events on one member of a group of
// three.

#include <algorithm>

#include <catch2/catch.hpp>

#include "agreement/LogNode.h"
#include "base/Codec.h"

namespace camphorcleat::agreement {
namespace {

constexpr wire::StoreId kStores[] = { 0, 11, 12, 13 };

template<class A>
std::vector<A> actionsOf(const std::vector<Action>& aActions)
{
  std::vector<A> out;
  for (const auto& it : aActions) {
    if (const A* action = std::get_if<A>(&it)) {
      out.push_back(*action);
    }
  }
  return out;
}

template<class M>
std::vector<M> messagesOf(const std::vector<Action>& aActions, NodeId aTo = kNoNode)
{
  std::vector<M> out;
  for (const auto& it : actionsOf<SendMessage>(aActions)) {
    const M* message = std::get_if<M>(&it.message);
    if (message != nullptr && (aTo == kNoNode || aTo == it.to)) {
      out.push_back(*message);
    }
  }
  return out;
}

wire::LogEntry entry(LogIndex aIndex, Term aTerm, std::string aPayload = "x")
{
  return wire::LogEntry{ aIndex, aTerm, wire::EntryKind::Command, Bytes(std::move(aPayload)) };
}

/// Member 1 of { 1, 2, 3 }. The test simulates its disk and the other members.
class MemberFixture
{
public:
  explicit MemberFixture(StoredState aStored = {}, bool aKnowsStores = true,
                         std::uint64_t aRetainedEntries = 0)
    : mNode(config(aKnowsStores, aRetainedEntries), withStore(std::move(aStored)),
            std::mt19937_64(1))
  {
    mLast = mNode.step(mNow, Tick{});
  }

  /// Advances the clock by aLater, delivers an event and returns the member's actions.
  const std::vector<Action>& step(const Event& aEvent, Millis aLater = Millis(0))
  {
    mNow += aLater;
    mLast = mNode.step(mNow, aEvent);
    for (const auto& it : actionsOf<Persist>(mLast)) {
      mBatch = it.batch;
    }
    return mLast;
  }

  /// Completes the sync of the latest batch.
  const std::vector<Action>& sync() { return step(Persisted{ mBatch }); }

  const std::vector<Action>& receive(NodeId aFrom, const wire::LogMessage& aMessage)
  {
    return step(MessageArrived{ aFrom, aMessage });
  }

  const std::vector<Action>& ack(NodeId aFrom, LogIndex aMatch, std::uint64_t aRound = 0,
                                 wire::StoreId aStore = 0)
  {
    wire::AppendReply reply;
    reply.term = mNode.term();
    reply.isMatch = true;
    reply.matchIndex = aMatch;
    reply.round = aRound;
    reply.store = aStore == 0 ? kStores[aFrom] : aStore;
    return receive(aFrom, reply);
  }

  const std::vector<Action>& receiveVote(NodeId aFrom, bool aIsPreVote, wire::StoreId aStore = 0)
  {
    wire::VoteReply reply;
    reply.term = mNode.term() + (aIsPreVote ? 1 : 0);
    reply.isPreVote = aIsPreVote;
    reply.isGranted = true;
    reply.store = aStore == 0 ? kStores[aFrom] : aStore;
    return receive(aFrom, reply);
  }

  /// Wins an election with the vote of member 2 and commits the first entry of the term. Returns
  /// the entry's index.
  LogIndex lead()
  {
    step(Tick{}, Millis(600));
    receiveVote(2, true);
    sync();
    receiveVote(2, false);
    sync();
    const LogIndex noop = mNode.commitIndex() + 1;
    ack(2, noop);
    REQUIRE(actionsOf<BecameLeader>(mLast).size() == 1);
    return noop;
  }

  /// Returns an AppendRequest of heartbeat round 1.
  static wire::AppendRequest appendRequest(Term aTerm, LogIndex aPrevious, Term aPreviousTerm,
                                           std::vector<wire::LogEntry> aEntries)
  {
    wire::AppendRequest out;
    out.term = aTerm;
    out.previousIndex = aPrevious;
    out.previousTerm = aPreviousTerm;
    out.round = 1;
    out.entries = std::move(aEntries);
    return out;
  }

  LogNode& node() { return mNode; }
  const std::vector<Action>& last() const { return mLast; }

private:
  static LogNodeConfig config(bool aKnowsStores, std::uint64_t aRetainedEntries)
  {
    LogNodeConfig out;
    out.self = 1;
    out.retainedEntries = aRetainedEntries;
    for (NodeId id = 1; id <= 3; ++id) {
      out.initialMembership.members.push_back({ id, aKnowsStores ? kStores[id] : 0 });
    }
    return out;
  }
  static StoredState withStore(StoredState aStored)
  {
    aStored.store = kStores[1];
    return aStored;
  }

  LogNode mNode;
  TimePoint mNow;
  std::vector<Action> mLast;
  std::uint64_t mBatch = 0;
};

wire::VoteRequest voteRequest(Term aTerm, bool aIsPreVote, bool aIsTransfer = false)
{
  wire::VoteRequest out;
  out.term = aTerm;
  out.isPreVote = aIsPreVote;
  out.isTransfer = aIsTransfer;
  out.store = 13;
  out.lastIndex = 100;
  out.lastTerm = 50;
  return out;
}

} // namespace

TEST_CASE("A pre-vote that is not granted leaves term and disk unchanged")
{
  MemberFixture fixture;
  fixture.step(Tick{}, Millis(600));
  CHECK(messagesOf<wire::VoteRequest>(fixture.last()).size() == 2);
  fixture.step(Tick{}, Millis(600));
  CHECK(fixture.node().term() == 0);
  CHECK(actionsOf<Persist>(fixture.last()).empty());
}

TEST_CASE("Votes are requested and granted only after a sync")
{
  MemberFixture fixture;
  SECTION("by a candidate")
  {
    fixture.step(Tick{}, Millis(600));
    fixture.receiveVote(2, true);
    CHECK(fixture.node().role() == Role::Candidate);
    CHECK(messagesOf<wire::VoteRequest>(fixture.last()).empty());
    CHECK(messagesOf<wire::VoteRequest>(fixture.sync()).size() == 2);
  }
  SECTION("by a voter")
  {
    fixture.receive(3, voteRequest(5, false));
    CHECK(messagesOf<wire::VoteReply>(fixture.last()).empty());
    CHECK(actionsOf<Persist>(fixture.last()).at(0).votedFor == 3);
    CHECK(messagesOf<wire::VoteReply>(fixture.sync()).at(0).isGranted);
    CHECK_FALSE(
      messagesOf<wire::VoteReply>(fixture.receive(2, voteRequest(5, false))).at(0).isGranted);
  }
  SECTION("and not if the term changed before the sync")
  {
    fixture.receive(3, voteRequest(5, false));
    fixture.receive(2, MemberFixture::appendRequest(6, 0, 0, {}));
    CHECK(messagesOf<wire::VoteReply>(fixture.sync()).empty());
  }
}

TEST_CASE("A member with a current leader refuses candidates, except in a leadership transfer")
{
  MemberFixture fixture;
  fixture.receive(2, MemberFixture::appendRequest(5, 0, 0, {}));
  fixture.sync();
  CHECK(messagesOf<wire::VoteReply>(fixture.receive(3, voteRequest(6, false))).empty());
  CHECK_FALSE(
    messagesOf<wire::VoteReply>(fixture.receive(3, voteRequest(6, true))).at(0).isGranted);
  CHECK(fixture.node().term() == 5);
  fixture.receive(3, voteRequest(6, false, true));
  CHECK(messagesOf<wire::VoteReply>(fixture.sync()).at(0).isGranted);
}

TEST_CASE("Votes with a wrong store id are not counted")
{
  MemberFixture fixture;
  fixture.step(Tick{}, Millis(600));
  fixture.receiveVote(2, true, 99);
  CHECK(fixture.node().role() == Role::PreCandidate);
  fixture.receiveVote(2, true);
  fixture.sync();
  fixture.receiveVote(2, false, 99);
  CHECK(fixture.node().role() == Role::Candidate);
  fixture.receiveVote(2, false);
  CHECK(fixture.node().role() == Role::Leader);
}

TEST_CASE("A vote is granted only to a candidate whose log is at least as up to date")
{
  StoredState stored;
  stored.term = 2;
  stored.entries = { entry(1, 1), entry(2, 2), entry(3, 2) };
  const bool isPreVote = GENERATE(false, true);
  const auto isGranted = [&](Term aLastTerm, LogIndex aLastIndex) {
    MemberFixture fixture(stored);
    wire::VoteRequest request = voteRequest(3, isPreVote);
    request.lastTerm = aLastTerm;
    request.lastIndex = aLastIndex;
    fixture.receive(3, request);
    const auto replies = messagesOf<wire::VoteReply>(fixture.last());
    return replies.empty() ? messagesOf<wire::VoteReply>(fixture.sync()).at(0).isGranted
                           : replies[0].isGranted;
  };
  CHECK_FALSE(isGranted(1, 100));
  CHECK_FALSE(isGranted(2, 2));
  CHECK(isGranted(2, 3));
  CHECK(isGranted(3, 1));
}

TEST_CASE("A candidate's own vote is counted only after its sync")
{
  MemberFixture fixture;
  fixture.step(Tick{}, Millis(600));
  fixture.receiveVote(2, true);
  fixture.receiveVote(2, false);
  CHECK(fixture.node().role() == Role::Candidate);
  fixture.sync();
  CHECK(fixture.node().role() == Role::Leader);
}

TEST_CASE("A follower commits only entries that match its leader's log")
{
  StoredState stored;
  stored.term = 1;
  stored.entries = { entry(1, 1), entry(2, 1), entry(3, 1) };
  MemberFixture fixture(stored);
  auto request = MemberFixture::appendRequest(2, 1, 1, {});
  request.commitIndex = 3;
  fixture.receive(2, request);
  CHECK(fixture.node().commitIndex() == 1);
  request = MemberFixture::appendRequest(2, 2, 7, {});
  request.commitIndex = 3;
  fixture.receive(2, request);
  CHECK(fixture.node().commitIndex() == 1);
}

TEST_CASE("Entries that matched one leader's log are not acknowledged to the next leader")
{
  MemberFixture fixture;
  auto request = MemberFixture::appendRequest(1, 0, 0, { entry(1, 1), entry(2, 1) });
  request.round = 7;
  fixture.receive(2, request);
  fixture.sync();
  request = MemberFixture::appendRequest(2, 1, 1, {});
  fixture.receive(3, request);
  const auto reply = messagesOf<wire::AppendReply>(fixture.sync(), 3).at(0);
  CHECK(reply.matchIndex == 1);
  CHECK(reply.round == 1);
}

TEST_CASE("A membership whose entry is truncated is no longer in force")
{
  wire::Membership other;
  other.members = { { 1, 11 }, { 2, 99 }, { 3, 13 } };
  wire::LogEntry change = entry(1, 1);
  change.kind = wire::EntryKind::Membership;
  change.payload = Bytes(encode(other));
  MemberFixture fixture;
  fixture.receive(2, MemberFixture::appendRequest(1, 0, 0, { change }));
  CHECK(fixture.node().membership().members[1].store == 99);
  fixture.receive(3, MemberFixture::appendRequest(2, 0, 0, { entry(1, 2) }));
  CHECK(fixture.node().membership().members[1].store == 12);
}

TEST_CASE("A completed sync does not mark entries as synced that replaced the written ones")
{
  EntryLog log(0, 0);
  log.append(entry(1, 1));
  log.append(entry(2, 1));
  PersistQueue queue(0);
  REQUIRE(queue.next(1, kNoNode, log));
  queue.truncated(2);
  log.truncateFrom(2);
  log.append(entry(2, 2));
  REQUIRE(queue.complete(1));
  CHECK(queue.persistedIndex() == 1);
  CHECK(queue.next(2, kNoNode, log)->truncateFrom == LogIndex(2));
}

TEST_CASE("A snapshot removes no entry from memory that is not in a batch yet")
{
  MemberFixture fixture;
  const LogIndex noop = fixture.lead();
  for (std::uint64_t i = 1; i <= 20; ++i) {
    fixture.step(Propose{ i, "a" });
  }
  fixture.ack(2, noop + 20);
  fixture.ack(3, noop + 20);
  REQUIRE(fixture.node().appliedIndex() == noop + 20); // Committed by a quorum of the other two.
  fixture.step(SnapshotTaken{ noop + 20, "state" });
  const auto batch = actionsOf<Persist>(fixture.sync()).at(0);
  CHECK(batch.snapshot->lastIndex == noop + 20);
  CHECK(batch.entries.size() == 19);
  CHECK(batch.entries.at(0).index == noop + 2);
}

// Guards against a leader that refuses every proposal, as the entries that it retains behind its
// snapshot fill the memory of the log (issue 59).
TEST_CASE("Large entries behind a snapshot don't fill the log's memory")
{
  MemberFixture fixture({}, true, LogNodeConfig().retainedEntries);
  const LogIndex noop = fixture.lead();
  const std::string payload(kMaxPayloadBytes, 'p');
  for (std::uint64_t i = 1; i <= 80; ++i) {
    CHECK(actionsOf<ProposalRefused>(fixture.step(Propose{ i, payload })).empty());
    fixture.sync();
    fixture.ack(2, noop + i);
    fixture.ack(3, noop + i);
    fixture.step(SnapshotTaken{ noop + i, "state" });
    fixture.sync();
  }
}

// Guards against a restart that applies a long log again although the embedder asked for a
// snapshot.
TEST_CASE("A requested snapshot covers all applied entries and is taken once")
{
  MemberFixture fixture;
  const LogIndex noop = fixture.lead();
  fixture.step(Propose{ 1, "a" });
  fixture.ack(2, noop + 1);
  fixture.ack(3, noop + 1);
  REQUIRE(fixture.node().appliedIndex() == noop + 1);
  const auto taken = actionsOf<TakeSnapshot>(fixture.step(SnapshotRequested{}));
  REQUIRE(taken.size() == 1);
  CHECK(taken.front().lastIndex == noop + 1);
  CHECK(actionsOf<TakeSnapshot>(fixture.step(SnapshotRequested{})).empty());
}

TEST_CASE("An unneeded snapshot is acknowledged once the entries it covers are synced")
{
  MemberFixture fixture;
  fixture.receive(2, MemberFixture::appendRequest(1, 0, 0, {}));
  fixture.sync();
  auto request = MemberFixture::appendRequest(1, 0, 0, { entry(1, 1) });
  request.commitIndex = 1;
  fixture.receive(2, request);
  wire::SnapshotChunk chunk;
  chunk.term = 1;
  chunk.lastIndex = 1;
  chunk.lastTerm = 1;
  chunk.totalBytes = 5;
  CHECK(messagesOf<wire::SnapshotReply>(fixture.receive(2, chunk)).empty());
  CHECK(messagesOf<wire::SnapshotReply>(fixture.sync()).at(0).nextOffsetBytes == 5);
}

TEST_CASE("Chunks of two leaders' snapshots are not mixed")
{
  MemberFixture fixture;
  wire::SnapshotChunk chunk;
  chunk.term = 5;
  chunk.lastIndex = 50;
  chunk.lastTerm = 4;
  chunk.totalBytes = 6;
  chunk.data = Bytes("abc");
  CHECK(messagesOf<wire::SnapshotReply>(fixture.receive(2, chunk)).at(0).nextOffsetBytes == 3);
  chunk.term = 6;
  chunk.offsetBytes = 3;
  CHECK(messagesOf<wire::SnapshotReply>(fixture.receive(3, chunk)).at(0).nextOffsetBytes == 0);
}

TEST_CASE("Entries are acknowledged only once they are synced")
{
  MemberFixture fixture;
  fixture.receive(2, MemberFixture::appendRequest(1, 0, 0, { entry(1, 1) }));
  CHECK(messagesOf<wire::AppendReply>(fixture.last()).empty()); // The term is not persisted yet.
  CHECK(messagesOf<wire::AppendReply>(fixture.sync()).at(0).matchIndex == 1);
  fixture.receive(2, MemberFixture::appendRequest(1, 1, 1, { entry(2, 1) }));
  CHECK(messagesOf<wire::AppendReply>(fixture.last()).at(0).matchIndex == 1);
  CHECK(messagesOf<wire::AppendReply>(fixture.last()).at(0).round == 1);
  CHECK(messagesOf<wire::AppendReply>(fixture.sync()).at(0).matchIndex == 2);
}

TEST_CASE("A sync of entries that were replaced meanwhile does not acknowledge the new entries")
{
  MemberFixture fixture;
  fixture.receive(2, MemberFixture::appendRequest(1, 0, 0, { entry(1, 1), entry(2, 1) }));
  fixture.receive(3, MemberFixture::appendRequest(2, 1, 1, { entry(2, 2, "new") }));
  fixture.sync(); // Completes the batch with the entries of term 1.
  CHECK(messagesOf<wire::AppendReply>(fixture.last()).empty());
  const auto batch = actionsOf<Persist>(fixture.last()).at(0);
  CHECK(batch.truncateFrom == LogIndex(2));
  CHECK(batch.entries.at(0).term == 2);
  CHECK(messagesOf<wire::AppendReply>(fixture.sync(), 3).at(0).matchIndex == 2);
}

TEST_CASE("A mismatch reply contains the index after which the leader retries")
{
  StoredState stored;
  stored.term = 2;
  stored.entries = { entry(1, 1), entry(2, 2), entry(3, 2) };
  MemberFixture fixture(stored);
  fixture.receive(2, MemberFixture::appendRequest(3, 9, 3, {}));
  CHECK(messagesOf<wire::AppendReply>(fixture.last()).at(0).matchIndex == 3);
  fixture.receive(2, MemberFixture::appendRequest(3, 3, 3, {}));
  CHECK(messagesOf<wire::AppendReply>(fixture.last()).at(0).matchIndex == 1);
}

TEST_CASE("A leader includes itself in a quorum only after its own sync")
{
  MemberFixture fixture;
  const LogIndex noop = fixture.lead();
  fixture.step(Propose{ 1, "a" });
  CHECK(actionsOf<ProposalAppended>(fixture.last()).at(0).index == noop + 1);
  fixture.ack(2, noop + 1);
  CHECK(fixture.node().commitIndex() == noop);
  fixture.sync();
  CHECK(fixture.node().commitIndex() == noop + 1);
  CHECK(actionsOf<ApplyEntries>(fixture.last()).at(0).entries.at(0).payload.data == "a");
}

TEST_CASE("Entries of an earlier term are committed only with one of the leader's own term")
{
  StoredState stored;
  stored.term = 2;
  stored.entries = { entry(1, 1), entry(2, 2) };
  MemberFixture fixture(stored);
  fixture.step(Tick{}, Millis(600));
  fixture.receiveVote(2, true);
  fixture.sync();
  fixture.receiveVote(2, false);
  fixture.sync();
  fixture.ack(2, 2);
  CHECK(fixture.node().commitIndex() == 0);
  fixture.ack(2, 3);
  CHECK(fixture.node().commitIndex() == 3);
}

TEST_CASE("All changes during a sync are written in one batch")
{
  MemberFixture fixture;
  fixture.lead();
  std::size_t batches = 0;
  for (std::uint64_t i = 1; i <= 100; ++i) {
    batches += actionsOf<Persist>(fixture.step(Propose{ i, "a" })).size();
  }
  CHECK(batches == 1);
  CHECK(actionsOf<Persist>(fixture.sync()).at(0).entries.size() == 99);
  CHECK(actionsOf<Persist>(fixture.sync()).empty());
}

TEST_CASE("After a failed sync nothing is acknowledged until the batch is persisted")
{
  MemberFixture fixture;
  fixture.receive(2, MemberFixture::appendRequest(9, 0, 0, { entry(1, 9) }));
  fixture.step(PersistFailed{});
  CHECK(fixture.last().empty());
  CHECK(fixture.receive(2, MemberFixture::appendRequest(9, 1, 9, { entry(2, 9) })).empty());
  fixture.step(Tick{}, Millis(5000));
  CHECK(actionsOf<SendMessage>(fixture.last()).empty());
  CHECK(fixture.receive(3, voteRequest(10, false)).empty());
  fixture.sync();
  const auto granted = messagesOf<wire::VoteReply>(fixture.sync(), 3);
  REQUIRE(granted.size() == 1);
  CHECK(granted[0].isGranted);
}

// Guards against a member that stays out of the group after one failed write.
TEST_CASE("A member acknowledges entries again once a failed write has succeeded")
{
  MemberFixture fixture;
  fixture.receive(2, MemberFixture::appendRequest(9, 0, 0, { entry(1, 9) }));
  fixture.step(PersistFailed{});
  CHECK(fixture.node().isStorageFailing());
  fixture.receive(2, MemberFixture::appendRequest(9, 1, 9, { entry(2, 9) }));
  const auto first = messagesOf<wire::AppendReply>(fixture.sync(), 2);
  CHECK_FALSE(fixture.node().isStorageFailing());
  REQUIRE(first.size() == 1);
  CHECK(first[0].matchIndex == 1);
  CHECK(messagesOf<wire::AppendReply>(fixture.sync(), 2).at(0).matchIndex == 2);
}

TEST_CASE("A member with a failing disk does not stand for election")
{
  MemberFixture fixture;
  fixture.receive(2, MemberFixture::appendRequest(9, 0, 0, { entry(1, 9) }));
  fixture.step(PersistFailed{});
  wire::TransferLeadership transfer;
  transfer.term = 9;
  CHECK(fixture.receive(2, transfer).empty());
  CHECK(actionsOf<SendMessage>(fixture.step(Tick{}, Millis(5000))).empty());
  CHECK(fixture.node().term() == 9);
  fixture.sync();
  CHECK(messagesOf<wire::VoteRequest>(fixture.step(Tick{}, Millis(5000))).size() == 2);
}

TEST_CASE("A leader with a failing disk transfers its leadership, and leads on if nobody takes it")
{
  MemberFixture fixture;
  const LogIndex noop = fixture.lead();
  fixture.step(Propose{ 1, "a" });
  fixture.step(PersistFailed{});
  CHECK(messagesOf<wire::TransferLeadership>(fixture.ack(2, noop + 1), 2).size() == 1);
  for (int i = 0; i < 10; ++i) {
    fixture.ack(2, noop + 1, 100);
    fixture.step(Tick{}, Millis(100));
  }
  CHECK(fixture.node().role() == Role::Leader);
  CHECK(actionsOf<ProposalAppended>(fixture.step(Propose{ 2, "b" })).size() == 1);
  fixture.ack(2, noop + 2);
  fixture.ack(3, noop + 2);
  CHECK(fixture.node().commitIndex() == noop + 2);
}

TEST_CASE("A leader with a failing disk resigns when its log is full")
{
  MemberFixture fixture;
  fixture.lead();
  fixture.step(Propose{ 1, "a" });
  fixture.step(PersistFailed{});
  const std::string payload(kMaxPayloadBytes, 'x');
  for (std::uint64_t i = 2; i < 80 && fixture.node().role() == Role::Leader; ++i) {
    fixture.step(Tick{}, Millis(100));
    fixture.ack(2, 1000000);
    fixture.ack(3, 1000000);
    fixture.step(Propose{ i, payload });
  }
  CHECK(fixture.node().role() == Role::Follower);
  CHECK(actionsOf<LostLeadership>(fixture.last()).size() == 1);
  CHECK(actionsOf<ProposalRefused>(fixture.last()).size() == 1);
}

TEST_CASE("A read waits for a round that starts after it, and waiting reads share a round")
{
  MemberFixture fixture;
  const LogIndex noop = fixture.lead();
  fixture.step(ReadRequested{ 1 });
  const auto first = messagesOf<wire::AppendRequest>(fixture.last(), 2);
  REQUIRE(first.size() == 1); // Sent at once, before the heartbeat timer expires.
  const std::uint64_t round = first[0].round;
  CHECK(actionsOf<ReadReady>(fixture.ack(2, noop, round - 1)).empty());
  CHECK(messagesOf<wire::AppendRequest>(fixture.step(ReadRequested{ 2 })).empty());
  CHECK(messagesOf<wire::AppendRequest>(fixture.step(ReadRequested{ 3 })).empty());
  fixture.ack(2, noop, round);
  REQUIRE(actionsOf<ReadReady>(fixture.last()).size() == 1);
  CHECK(actionsOf<ReadReady>(fixture.last())[0].read == 1);
  CHECK(actionsOf<ReadReady>(fixture.last())[0].index == noop);
  CHECK(messagesOf<wire::AppendRequest>(fixture.last(), 2).at(0).round == round + 1);
  CHECK(actionsOf<ReadReady>(fixture.ack(3, noop, round + 1, 99)).empty()); // Wrong store id.
  CHECK(actionsOf<ReadReady>(fixture.ack(3, noop, round + 1, 13))
          .empty()); // Treated as a late reply of the replaced store.
  CHECK(actionsOf<ReadReady>(fixture.ack(2, noop, round + 1)).size() == 2);
}

TEST_CASE("A leader without replies from a quorum for one election timeout steps down")
{
  MemberFixture fixture;
  fixture.lead();
  fixture.step(ReadRequested{ 1 });
  fixture.step(Tick{}, Millis(200));
  CHECK(fixture.node().role() == Role::Leader);
  fixture.step(Tick{}, Millis(50));
  CHECK(fixture.node().role() == Role::Follower);
  CHECK(actionsOf<LostLeadership>(fixture.last()).size() == 1);
  CHECK(actionsOf<ReadRefused>(fixture.last()).size() == 1);
}

TEST_CASE("A leader refuses proposals and reads beyond its limits")
{
  MemberFixture fixture;
  fixture.lead();
  const auto tooLarge =
    actionsOf<ProposalRefused>(fixture.step(Propose{ 1, std::string(kMaxPayloadBytes + 1, 'a') }));
  REQUIRE(tooLarge.size() == 1);
  CHECK(tooLarge[0].reason == ProposalRefusal::TooLarge);
  std::size_t appended = 0;
  std::size_t readsRefused = 0;
  for (std::size_t i = 0; i < kMaxUncommittedEntries + 10; ++i) {
    appended += actionsOf<ProposalAppended>(fixture.step(Propose{ i, "a" })).size();
  }
  CHECK(appended == kMaxUncommittedEntries);
  for (std::size_t i = 0; i < kMaxPendingReads + 10; ++i) {
    readsRefused += actionsOf<ReadRefused>(fixture.step(ReadRequested{ i })).size();
  }
  CHECK(readsRefused == 10);
}

TEST_CASE("A member that does not reply is sent a bounded number of entries")
{
  MemberFixture fixture;
  const LogIndex noop = fixture.lead();
  std::size_t entries = 0;
  for (std::size_t i = 0; i < 3 * kMaxInFlightEntries; ++i) {
    for (const auto& it : messagesOf<wire::AppendRequest>(fixture.step(Propose{ i, "a" }), 2)) {
      entries += it.entries.size();
    }
  }
  CHECK(entries <= kMaxInFlightEntries + kMaxAppendEntries);
  std::size_t most = 0;
  for (const auto& it :
       messagesOf<wire::AppendRequest>(fixture.ack(2, noop + kMaxInFlightEntries), 2)) {
    most = std::max(most, it.entries.size());
  }
  CHECK(most == kMaxAppendEntries);
}

TEST_CASE("Creating a group needs all members, later commits need a majority")
{
  MemberFixture fixture({}, false);
  fixture.step(Tick{}, Millis(600));
  fixture.receiveVote(2, true);
  CHECK(fixture.node().role() == Role::PreCandidate);
  fixture.receiveVote(3, true);
  fixture.sync();
  fixture.receiveVote(2, false);
  CHECK(fixture.node().role() == Role::Candidate);
  fixture.receiveVote(3, false);
  REQUIRE(fixture.node().role() == Role::Leader);
  for (const auto& it : fixture.node().membership().members) {
    CHECK(it.store == kStores[it.id]);
  }
  fixture.sync();
  fixture.ack(2, 2);
  CHECK(fixture.node().commitIndex() == 2);
}

TEST_CASE("A new store replaces the old one once caught up, with a majority of both memberships")
{
  MemberFixture fixture;
  const LogIndex noop = fixture.lead();
  for (std::uint64_t i = 1; i <= 100; ++i) {
    fixture.step(Propose{ i, "a" });
  }
  fixture.sync();
  fixture.sync();
  const LogIndex last = noop + 100;
  fixture.ack(2, last);
  REQUIRE(fixture.node().commitIndex() == last);
  fixture.ack(3, 0, 0, 99);
  fixture.ack(3, 0, 0, 99);
  CHECK(fixture.node().membership().members[2].store == 13); // The new store lags too far.
  fixture.step(Tick{}, Millis(60));
  const std::uint64_t round = messagesOf<wire::AppendRequest>(fixture.last(), 3).at(0).round;
  fixture.ack(3, last, round - 1, 99);
  CHECK(fixture.node().membership().members[2].store ==
        13); // The reply may predate the new store's use.
  fixture.ack(3, last, round, 99);
  CHECK(fixture.node().membership().members[2].store == 99);
  fixture.sync();
  fixture.ack(3, last + 1, round, 99);
  CHECK(fixture.node().commitIndex() ==
        last); // { 1, new 3 } is not a majority of the old membership.
  fixture.ack(2, last + 1, round);
  CHECK(fixture.node().commitIndex() == last + 1);
  fixture.sync();
  fixture.ack(3, last + 2, round,
              99); // The confirmation needs a majority of the new membership only.
  CHECK(fixture.node().commitIndex() == last + 2);
  fixture.ack(3, last, round - 1, 13); // A late reply of the replaced store.
  CHECK(fixture.node().membership().members[2].store == 99);
}

TEST_CASE("An unconfirmed replacement in a restarted member's log needs both majorities")
{
  wire::Membership replaced;
  replaced.members = { { 1, 11 }, { 2, 12 }, { 3, 99 } };
  StoredState stored;
  stored.term = 1;
  stored.entries = { entry(1, 1), entry(2, 1) };
  stored.entries[1].kind = wire::EntryKind::Membership;
  stored.entries[1].payload = Bytes(encode(replaced));
  const bool isConfirmed = GENERATE(false, true);
  if (isConfirmed) {
    stored.entries.push_back(stored.entries[1]);
    stored.entries[2].index = 3;
  }
  MemberFixture fixture(stored);
  fixture.step(Tick{}, Millis(600));
  fixture.receiveVote(3, true, 99);
  CHECK(fixture.node().role() == (isConfirmed ? Role::Candidate : Role::PreCandidate));
}

TEST_CASE("A leader that started from a snapshot confirms the membership once")
{
  StoredState stored;
  stored.term = 1;
  Snapshot snapshot{ 50, 1, {}, "state" };
  snapshot.membership.members = { { 1, 11 }, { 2, 12 }, { 3, 99 } };
  stored.snapshot = std::make_shared<const Snapshot>(snapshot);
  MemberFixture fixture(stored);
  fixture.lead();
  const auto batch = actionsOf<Persist>(fixture.last()).at(0);
  REQUIRE(batch.entries.size() == 1);
  CHECK(batch.entries[0].kind == wire::EntryKind::Membership);
  fixture.sync();
  fixture.ack(2, 52);
  CHECK(fixture.node().commitIndex() == 52);
  CHECK(actionsOf<Persist>(fixture.last()).empty());
}

TEST_CASE("Leadership is transferred to an up-to-date member, and proposals are refused meanwhile")
{
  MemberFixture fixture;
  const LogIndex noop = fixture.lead();
  fixture.step(Propose{ 1, "a" });
  fixture.sync();
  fixture.step(TransferRequested{});
  CHECK(messagesOf<wire::TransferLeadership>(fixture.last()).empty());
  CHECK(actionsOf<ProposalRefused>(fixture.step(Propose{ 2, "b" })).at(0).leaderHint == 2);
  CHECK(messagesOf<wire::TransferLeadership>(fixture.ack(2, noop + 1), 2).size() == 1);
  fixture.receive(2, voteRequest(fixture.node().term() + 1, false, true));
  CHECK(actionsOf<LostLeadership>(fixture.last()).size() == 1);
  CHECK(messagesOf<wire::VoteReply>(fixture.sync(), 2).at(0).isGranted);
}

TEST_CASE("A member that receives a leadership transfer starts an election at once")
{
  MemberFixture fixture;
  fixture.receive(2, MemberFixture::appendRequest(4, 0, 0, {}));
  fixture.sync();
  wire::TransferLeadership transfer;
  transfer.term = 4;
  fixture.receive(2, transfer);
  const auto requests = messagesOf<wire::VoteRequest>(fixture.sync());
  REQUIRE(requests.size() == 2);
  CHECK(requests[0].term == 5);
  CHECK(requests[0].isTransfer);
}

TEST_CASE("A snapshot is sent in chunks, one at a time, and acknowledged once it is synced")
{
  StoredState stored;
  stored.term = 1;
  Snapshot snapshot{ 50, 1, {}, std::string(2 * kMaxChunkBytes + 10, 's') };
  snapshot.membership.members = { { 1, 11 }, { 2, 12 }, { 3, 13 } };
  stored.snapshot = std::make_shared<const Snapshot>(snapshot);
  MemberFixture fixture(stored);
  CHECK(actionsOf<RestoreSnapshot>(fixture.last()).at(0).lastIndex == 50);
  fixture.lead();
  wire::AppendReply mismatch;
  mismatch.term = fixture.node().term();
  mismatch.store = 13;
  fixture.receive(3, mismatch);
  wire::SnapshotReply reply;
  reply.term = fixture.node().term();
  reply.lastIndex = 50;
  reply.store = 13;
  MemberFixture other;
  for (std::uint64_t chunk = 0; chunk < 3; ++chunk) {
    const auto chunks = messagesOf<wire::SnapshotChunk>(fixture.last(), 3);
    REQUIRE(chunks.size() == 1);
    CHECK(chunks[0].data.size() <= kMaxChunkBytes);
    CHECK(messagesOf<wire::SnapshotChunk>(fixture.step(Tick{}, Millis(60))).empty());
    other.receive(2, chunks[0]);
    if (chunk < 2) {
      reply.nextOffsetBytes = messagesOf<wire::SnapshotReply>(other.last()).at(0).nextOffsetBytes;
      fixture.receive(3, reply);
    }
  }
  CHECK(actionsOf<RestoreSnapshot>(other.last()).at(0).bytes == snapshot.bytes);
  CHECK(messagesOf<wire::SnapshotReply>(other.last()).empty());
  other.sync();
  CHECK(messagesOf<wire::SnapshotReply>(other.sync()).at(0).nextOffsetBytes ==
        snapshot.bytes.size());
}

} // namespace camphorcleat::agreement
