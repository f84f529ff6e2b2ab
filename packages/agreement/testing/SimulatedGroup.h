// A group of LogNodes with simulated time, network and disks, and checks of the log's invariants.
//
// One seed determines all delays, losses, duplicates, client requests and the writes that a crash
// loses. The checks run after every step of every member; the first violation is recorded with its
// time.

#ifndef CAMPHORCLEAT_AGREEMENT_TESTING_SIMULATEDGROUP_H_
#define CAMPHORCLEAT_AGREEMENT_TESTING_SIMULATEDGROUP_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "agreement/JoinSchedule.h"
#include "agreement/LogNode.h"
#include "base/Codec.h"
#include "base/Hash.h"

namespace camphorcleat::agreement::testing {

/// Applies a batch as LogStore::persist() does.
inline void applyBatch(StoredState& aState, const Persist& aBatch)
{
  aState.term = aBatch.term;
  aState.votedFor = aBatch.votedFor;
  auto& entries = aState.entries;
  if (aBatch.resetsLog) {
    entries.clear();
  }
  while (aBatch.truncateFrom && !entries.empty() && entries.back().index >= *aBatch.truncateFrom) {
    entries.pop_back();
  }
  entries.insert(entries.end(), aBatch.entries.begin(), aBatch.entries.end());
  if (aBatch.snapshot) {
    aState.snapshot = aBatch.snapshot;
    while (!entries.empty() && entries.front().index <= aBatch.snapshot->lastIndex) {
      entries.erase(entries.begin());
    }
  }
}

struct Faults
{
  double drop = 0.0;
  double duplicate = 0.0;
  Millis maxDelay{ 3 };
  Millis maxSync{ 4 };
  bool acknowledgesBeforeSync = false; ///< Deliberate defect: the disk confirms without a sync.
  bool keepsStoreId = false; ///< Deliberate defect: a replaced disk keeps the old store id.
};

class SimulatedGroup
{
public:
  SimulatedGroup(std::uint64_t aSeed, NodeId aSize, LogNodeConfig aConfig, Faults aFaults = {})
    : mRandom(aSeed)
    , mConfig(std::move(aConfig))
    , mFaults(aFaults)
  {
    for (NodeId id = 1; id <= aSize; ++id) {
      mConfig.initialMembership.members.push_back(wire::Member{ id, 0 });
      mInitialMembers.push_back(id);
    }
    for (NodeId id = 1; id <= aSize; ++id) {
      mMachines[id].disk.store = newIncarnation(mRandom);
      restart(id);
    }
  }

  /// Adds a node that knows no members and requests to join.
  void addJoiner(NodeId aId)
  {
    mJoiners.emplace(aId, JoinSchedule(aId, mInitialMembers));
    mMachines[aId].disk.store = newIncarnation(mRandom);
    restart(aId);
  }

  /// Crashes a node that will not be restarted.
  void crashPermanently(NodeId aId)
  {
    crash(aId);
    mJoiners.erase(aId);
  }

  /// Advances simulated time in steps of 1 ms.
  void run(Millis aTime)
  {
    for (Millis t{ 0 }; t < aTime && mViolation.empty(); ++t) {
      mNow += Millis(1);
      deliverDue();
      finishSyncs();
      sendJoinRequests();
      for (auto& [id, machine] : mMachines) {
        if (machine.node && machine.pausedUntil <= mNow &&
            toMillis(mNow.time_since_epoch()) % kTickMillis == id % kTickMillis) {
          step(id, Tick{});
        }
      }
    }
  }

  void crash(NodeId aId)
  {
    Machine& machine = mMachines[aId];
    if (machine.writing && chance(0.7)) {
      applyBatch(machine.disk, interrupted(*machine.writing)); // Not acknowledged.
    }
    machine.writing.reset();
    machine.isFailureReported = false;
    machine.unpersistedWrites.clear();
    machine.node.reset();
  }

  /// Lets all writes to a member's disk fail for a time. The current batch is repeated, as
  /// StorageDuty does.
  void fillDisk(NodeId aId, Millis aTime) { mMachines[aId].diskFullUntil = mNow + aTime; }

  /// Suspends a member without an event, like SIGSTOP and SIGCONT.
  void pause(NodeId aId, Millis aTime) { mMachines[aId].pausedUntil = mNow + aTime; }

  void restart(NodeId aId)
  {
    Machine& machine = mMachines[aId];
    LogNodeConfig config = mConfig;
    config.self = aId;
    if (mJoiners.count(aId) > 0) {
      config.initialMembership.members.clear();
    }
    machine.applied = 0;
    machine.digest = 0;
    machine.node = std::make_unique<LogNode>(config, machine.disk, std::mt19937_64(mRandom()));
    step(aId, Tick{});
  }

  void loseDisk(NodeId aId)
  {
    crash(aId);
    ++mDisksLost;
    StoredState& disk = mMachines[aId].disk;
    const wire::StoreId store = mFaults.keepsStoreId ? disk.store : newIncarnation(mRandom);
    disk = StoredState();
    disk.store = store;
  }

  /// Delivers an event to a running member.
  void step(NodeId aId, const Event& aEvent)
  {
    Machine& machine = mMachines[aId];
    if (machine.node) {
      for (auto& it : machine.node->step(mNow, aEvent)) {
        std::visit([&](auto& aAction) { perform(aId, machine, aAction); }, it);
      }
    }
    checkLeader(aId, machine);
  }

  void propose(NodeId aId, std::string aPayload = "x")
  {
    step(aId, Propose{ ++mNextRequest, std::move(aPayload) });
  }

  void read(NodeId aId)
  {
    mReads[++mNextRequest] = mNewestAcknowledged;
    step(aId, ReadRequested{ mNextRequest });
  }

  void blockLink(NodeId aFrom, NodeId aTo) { mBlockedLinks.insert({ aFrom, aTo }); }
  void unblockLinks() { mBlockedLinks.clear(); }
  void setFaults(Faults aFaults) { mFaults = aFaults; }
  bool isUp(NodeId aId) { return mMachines[aId].node != nullptr; }
  LogNode& node(NodeId aId) { return *mMachines[aId].node; }
  StoredState& disk(NodeId aId) { return mMachines[aId].disk; }
  std::mt19937_64& random() { return mRandom; }
  bool chance(double aProbability) { return std::bernoulli_distribution(aProbability)(mRandom); }
  const std::string& violation() const { return mViolation; }
  LogIndex newestAcknowledged() const { return mNewestAcknowledged; }
  std::size_t readsDone() const { return mReadsDone; }
  std::size_t chunksSent() const { return mChunksSent; }
  std::size_t restores() const { return mRestores; }
  std::size_t disksLost() const { return mDisksLost; }
  std::size_t syncs() const { return mSyncs; }
  Term highestLeaderTerm() const { return mLeaders.empty() ? 0 : mLeaders.rbegin()->first; }
  TimePoint now() const { return mNow; }

  /// Returns the established leader of the highest term, or kNoNode.
  NodeId leader()
  {
    NodeId best = kNoNode;
    for (auto& [id, machine] : mMachines) {
      if (machine.node && machine.node->role() == Role::Leader && machine.isEstablished &&
          (best == kNoNode || machine.node->term() > mMachines[best].node->term())) {
        best = id;
      }
    }
    return best;
  }

  /// Returns the state, membership and membership entries of each member, for the message of a
  /// failing test.
  std::string describe()
  {
    std::string out;
    for (auto& [id, machine] : mMachines) {
      out += "member " + std::to_string(id) + " store " + std::to_string(machine.disk.store) + " ";
      if (machine.node) {
        out += std::string(enumName(machine.node->role())) + " term " +
               std::to_string(machine.node->term()) + " commit " +
               std::to_string(machine.node->commitIndex()) + text(machine.node->membership());
      }
      out += "\n";
      for (const auto& it : machine.disk.entries) {
        if (it.kind == wire::EntryKind::Membership) {
          const auto membership = decode<wire::Membership>(it.payload.data);
          out += "  entry " + std::to_string(it.index) + text(membership.value()) + "\n";
        }
      }
    }
    return out;
  }

  /// Returns the number of members whose store differs from the latest committed membership, plus
  /// one if that membership is not confirmed yet.
  std::size_t unconfirmedStores()
  {
    std::size_t count = mCommittedMembership.members.empty() ? mMachines.size() : 0;
    count += mIsConfirmed ? 0 : 1;
    for (const auto& it : mCommittedMembership.members) {
      count += it.store == mMachines[it.id].disk.store ? 0 : 1;
    }
    return count;
  }

private:
  static constexpr std::int64_t kTickMillis = 5;
  static constexpr Millis kWriteRetry{ 50 };
  static constexpr std::size_t kStateBytes = 70000; // Needs two chunks.

  // Join requests and their replies arrive at once, unless the connection is blocked.
  void sendJoinRequests()
  {
    for (auto& [id, schedule] : mJoiners) {
      if (isUp(id) && mMachines[id].pausedUntil <= mNow) {
        requestJoin(id, schedule, schedule.next(mNow, node(id).leader(), memberIds(id)));
      }
    }
  }

  void requestJoin(NodeId aFrom, JoinSchedule& aSchedule, NodeId aTo)
  {
    const bool isReached = aTo != kNoNode && isUp(aTo) && mMachines[aTo].pausedUntil <= mNow &&
                           mBlockedLinks.count({ aFrom, aTo }) == 0;
    if (!isReached) {
      return;
    }
    step(aTo, JoinRequested{ aFrom });
    if (mBlockedLinks.count({ aTo, aFrom }) == 0) {
      requestJoin(aFrom, aSchedule,
                  aSchedule.onReply(aTo, node(aTo).leader(), memberIds(aTo), node(aFrom).leader()));
    }
  }

  std::vector<NodeId> memberIds(NodeId aId)
  {
    std::vector<NodeId> out;
    for (const auto& it : node(aId).membership().members) {
      out.push_back(it.id);
    }
    return out;
  }

  struct Machine
  {
    StoredState disk; ///< The persisted state.
    std::unique_ptr<LogNode> node;
    std::optional<Persist> writing;
    TimePoint writtenAt;
    TimePoint diskFullUntil;
    bool isFailureReported = false;         ///< Of the batch in `writing`.
    std::vector<Persist> unpersistedWrites; ///< Acknowledged, but not persisted.
    LogIndex applied = 0;
    std::uint64_t digest = 0;
    bool isEstablished = false;
    TimePoint pausedUntil;
    std::map<LogIndex, Term> proposed;
  };
  struct Delivery
  {
    NodeId from = kNoNode;
    NodeId to = kNoNode;
    wire::LogMessage message;
  };
  struct ReferenceEntry
  {
    wire::LogEntry entry;
    std::uint64_t digest = 0; ///< Digest of the state after this entry.
  };

  static std::string text(const wire::Membership& aMembership)
  {
    std::string out;
    for (const auto& it : aMembership.members) {
      out += " " + std::to_string(it.id) + "=" + std::to_string(it.store);
    }
    return out;
  }

  void reportViolation(const std::string& aWhat)
  {
    if (mViolation.empty()) {
      mViolation = aWhat + " at " + std::to_string(toMillis(mNow.time_since_epoch())) + " ms";
    }
  }

  // Returns the part of a batch that a crash may leave, given the write order of
  // LogStore::persist().
  Persist interrupted(const Persist& aBatch)
  {
    Persist out = aBatch;
    const bool keepsLog = chance(0.7);
    if (!keepsLog) {
      out.truncateFrom.reset();
      out.entries.clear();
    }
    if (chance(0.5) || (!keepsLog && !out.resetsLog)) {
      out.snapshot = nullptr;
    }
    if (out.resetsLog && !out.snapshot) {
      out = Persist{ aBatch.batch, aBatch.term, aBatch.votedFor, {}, {}, nullptr, false };
    }
    return out;
  }

  Millis upTo(Millis aMax)
  {
    return Millis(std::uniform_int_distribution<Millis::rep>(1, aMax.count())(mRandom));
  }

  void deliverDue()
  {
    while (!mNetwork.empty() && mNetwork.begin()->first <= mNow) {
      const Delivery it = std::move(mNetwork.begin()->second);
      mNetwork.erase(mNetwork.begin());
      if (mMachines[it.to].pausedUntil > mNow) {
        // A paused machine doesn't read its sockets, so it receives the message after the pause.
        mNetwork.emplace(mMachines[it.to].pausedUntil, it);
      } else if (mBlockedLinks.count({ it.from, it.to }) == 0) {
        step(it.to, MessageArrived{ it.from, it.message });
      }
    }
  }

  void finishSyncs()
  {
    for (auto& [id, machine] : mMachines) {
      const bool isDone = machine.writing && machine.writtenAt <= mNow;
      if (!machine.node || !isDone || machine.pausedUntil > mNow) {
        continue;
      }
      if (machine.diskFullUntil > mNow) {
        machine.writtenAt = mNow + kWriteRetry;
        if (!std::exchange(machine.isFailureReported, true)) {
          step(id, PersistFailed{});
        }
      } else {
        machine.isFailureReported = false;
        const Persist batch = *std::exchange(machine.writing, std::nullopt);
        for (const auto& it : std::exchange(machine.unpersistedWrites, {})) {
          applyBatch(machine.disk, it);
        }
        applyBatch(machine.disk, batch);
        ++mSyncs;
        step(id, Persisted{ batch.batch });
      }
    }
  }

  void perform(NodeId aId, Machine&, const SendMessage& aSend)
  {
    mChunksSent += std::holds_alternative<wire::SnapshotChunk>(aSend.message) ? 1 : 0;
    const int copies = chance(mFaults.drop) ? 0 : (chance(mFaults.duplicate) ? 2 : 1);
    for (int i = 0; i < copies; ++i) {
      mNetwork.emplace(mNow + upTo(mFaults.maxDelay), Delivery{ aId, aSend.to, aSend.message });
    }
  }

  void perform(NodeId aId, Machine& aMachine, const Persist& aBatch)
  {
    if (aMachine.writing) {
      reportViolation("two batches in flight");
    }
    if (mFaults.acknowledgesBeforeSync) {
      aMachine.unpersistedWrites.push_back(aBatch);
      if (aMachine.unpersistedWrites.size() > 50) {
        applyBatch(aMachine.disk, aMachine.unpersistedWrites.front());
        aMachine.unpersistedWrites.erase(aMachine.unpersistedWrites.begin());
      }
      // The recursion ends with the first step that persists nothing.
      step(aId, Persisted{ aBatch.batch });
      return;
    }
    aMachine.writing = aBatch;
    aMachine.writtenAt = mNow + upTo(mFaults.maxSync);
  }

  void perform(NodeId aId, Machine& aMachine, const ApplyEntries& aApply)
  {
    for (const auto& it : aApply.entries) {
      if (it.index != ++aMachine.applied) {
        reportViolation("a gap in the entries applied");
      }
      aMachine.digest = hash64(it.payload.data, aMachine.digest + it.term);
      const auto reference =
        mReferenceLog.emplace(it.index, ReferenceEntry{ it, aMachine.digest }).first;
      if (reference->second.digest != aMachine.digest) {
        reportViolation("logs disagree at entry " + std::to_string(it.index));
      }
      const auto proposed = aMachine.proposed.find(it.index);
      if (proposed != aMachine.proposed.end() && proposed->second == it.term) {
        recordAcknowledged(it.index); // The client receives its response now.
      }
      if (it.kind == wire::EntryKind::Membership && it.index > mMembershipIndex) {
        mMembershipIndex = it.index;
        const wire::Membership before =
          std::exchange(mCommittedMembership, decode<wire::Membership>(it.payload.data).value());
        mIsConfirmed = before.members.empty() || text(before) == text(mCommittedMembership);
      }
    }
    if (aMachine.applied > mReferenceLog.rbegin()->first) {
      reportViolation("member " + std::to_string(aId) + " is ahead of the reference log");
    }
  }

  void perform(NodeId, Machine& aMachine, const ProposalAppended& aAppended)
  {
    aMachine.proposed[aAppended.index] = aAppended.term;
  }
  void perform(NodeId, Machine&, const ProposalRefused&) {}

  void perform(NodeId, Machine& aMachine, const ReadReady& aReady)
  {
    const auto it = mReads.find(aReady.read);
    if (it == mReads.end()) {
      reportViolation("a read is ready twice");
      return;
    }
    if (aReady.index < it->second) {
      reportViolation("a read misses an entry acknowledged before it");
    }
    if (aReady.index > aMachine.applied) {
      reportViolation("a read is ready before its entries are applied");
    }
    recordAcknowledged(aReady.index); // A later read must not return an older state.
    mReads.erase(it);
    ++mReadsDone;
  }
  void perform(NodeId, Machine&, const ReadRefused& aRefused) { mReads.erase(aRefused.read); }

  void perform(NodeId, Machine& aMachine, const BecameLeader& aBecame)
  {
    aMachine.isEstablished = true;
    // A late reply may establish a leader although a newer term already has one. It must have
    // applied all entries acknowledged in earlier terms.
    for (const auto& [term, index] : mNewestAcknowledgedInTerm) {
      if (term < aBecame.term && aMachine.applied < index) {
        reportViolation("a new leader lacks an acknowledged entry");
      }
    }
  }
  void perform(NodeId, Machine& aMachine, const LostLeadership&) { aMachine.isEstablished = false; }

  void perform(NodeId, Machine& aMachine, const RestoreSnapshot& aRestore)
  {
    ++mRestores;
    aMachine.applied = aRestore.lastIndex;
    aMachine.digest = std::stoull(aRestore.bytes);
    const auto reference = mReferenceLog.find(aRestore.lastIndex);
    if (reference == mReferenceLog.end() || reference->second.digest != aMachine.digest) {
      reportViolation("a snapshot disagrees with the log");
    }
  }

  void perform(NodeId aId, Machine& aMachine, const TakeSnapshot& aTake)
  {
    if (aTake.lastIndex != aMachine.applied) {
      reportViolation("a snapshot was requested at an index that is not the last one applied");
    }
    std::string bytes = std::to_string(aMachine.digest) + " ";
    bytes.resize(kStateBytes, '.');
    step(aId, SnapshotTaken{ aTake.lastIndex, std::move(bytes) });
  }

  void recordAcknowledged(LogIndex aIndex)
  {
    mNewestAcknowledged = std::max(mNewestAcknowledged, aIndex);
    const auto reference = mReferenceLog.find(aIndex);
    if (reference != mReferenceLog.end()) {
      LogIndex& newest = mNewestAcknowledgedInTerm[reference->second.entry.term];
      newest = std::max(newest, aIndex);
    }
  }

  void checkLeader(NodeId aId, Machine& aMachine)
  {
    if (!aMachine.node || aMachine.node->role() != Role::Leader) {
      aMachine.isEstablished = false;
      return;
    }
    const auto it = mLeaders.emplace(aMachine.node->term(), aId).first;
    if (it->second != aId) {
      reportViolation("two leaders in term " + std::to_string(it->first));
    }
  }

  std::mt19937_64 mRandom;
  LogNodeConfig mConfig;
  std::vector<NodeId> mInitialMembers;
  std::map<NodeId, JoinSchedule> mJoiners;
  Faults mFaults;
  TimePoint mNow;
  std::map<NodeId, Machine> mMachines;
  std::multimap<TimePoint, Delivery> mNetwork;
  std::set<std::pair<NodeId, NodeId>> mBlockedLinks;

  std::string mViolation;
  std::map<Term, NodeId> mLeaders;
  std::map<LogIndex, ReferenceEntry> mReferenceLog;
  wire::Membership mCommittedMembership;
  LogIndex mMembershipIndex = 0;
  bool mIsConfirmed = true;
  LogIndex mNewestAcknowledged = 0;                   ///< Latest entry acknowledged to any client.
  std::map<Term, LogIndex> mNewestAcknowledgedInTerm; ///< The same for each term of entries.
  /// The latest entry acknowledged before each pending read was requested. The read must reflect
  /// the log up to this index or a later one.
  std::map<std::uint64_t, LogIndex> mReads;
  std::uint64_t mNextRequest = 0;
  std::size_t mReadsDone = 0;
  std::size_t mChunksSent = 0;
  std::size_t mRestores = 0;
  std::size_t mDisksLost = 0;
  std::size_t mSyncs = 0;
};

} // namespace camphorcleat::agreement::testing

#endif // CAMPHORCLEAT_AGREEMENT_TESTING_SIMULATEDGROUP_H_
