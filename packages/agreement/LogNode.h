// The consensus algorithm of one member of the replicated log, based on Raft. Contains no I/O.
//
// step() takes an event and the current time and returns the actions to perform. It does not read a
// clock, do I/O or block, so a test with a fixed seed is reproducible. Safety depends on these
// rules:
//
// - Term, vote and entries are persisted before they are acknowledged. A vote request is deferred
//   until the candidate's own log is persisted too, because the votes are granted for that log.
// - A term has at most one leader: each store votes once per term, and quorums overlap
//   (MembershipHistory.h).
// - A leader commits earlier entries only through an entry of its own term. It includes itself in
//   the quorum only for entries that it has persisted.
// - A reply is counted towards a quorum only if its store id is the one in the membership. A
//   member that lost its disk returns with a new store id, so it can't contradict what the lost
//   store acknowledged.
// - A read is ready when a quorum has acknowledged a heartbeat round that started after the read.
//
// All memory use is bounded by the constants in LogNodeConfig.h.

#ifndef CAMPHORCLEAT_AGREEMENT_LOGNODE_H_
#define CAMPHORCLEAT_AGREEMENT_LOGNODE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "agreement/EntryLog.h"
#include "agreement/LeaderState.h"
#include "agreement/LogEvents.h"
#include "agreement/LogNodeConfig.h"
#include "agreement/MembershipHistory.h"
#include "agreement/PersistQueue.h"
#include "agreement/SnapshotReceiver.h"
#include "base/EnumNames.h"
#include "base/Time.h"

namespace camphorcleat::agreement {

enum class Role
{
  Follower,
  PreCandidate, ///< Checks whether it could win an election, without incrementing the term.
  Candidate,
  Leader,
};

/// Not thread-safe.
class LogNode
{
public:
  /// Starts as a follower with the state loaded from the store. aStored.store must not be 0.
  /// aRandom determines the election timeouts; it must be seeded differently on each member, so
  /// that their elections don't collide.
  LogNode(LogNodeConfig aConfig, StoredState aStored, std::mt19937_64 aRandom);

  /// Handles one event. aNow must not decrease. The caller performs the actions in order. Messages
  /// may be lost, delayed, duplicated and reordered.
  std::vector<Action> step(TimePoint aNow, const Event& aEvent);

  Role role() const { return mRole; }
  Term term() const { return mTerm; }
  /// Returns the leader of the current term if known, otherwise kNoNode.
  NodeId leader() const { return mLeader; }
  LogIndex commitIndex() const { return mCommitIndex; }
  LogIndex appliedIndex() const { return mAppliedIndex; }
  /// Returns the membership in force, which may not be committed yet.
  const wire::Membership& membership() const { return mMembers.current(); }
  /// Returns whether the batch in flight has failed and is repeated. Until it succeeds, the node
  /// acknowledges nothing new and does not stand for election.
  bool isStorageFailing() const { return mIsStorageFailing; }

private:
  struct DeferredMessage
  {
    std::uint64_t batch = 0;
    SendMessage send;
  };

  // Events.
  void handle(const Tick& aTick);
  void handle(const MessageArrived& aArrived);
  void handle(const Propose& aPropose);
  void handle(const Persisted& aPersisted);
  void handle(const PersistFailed& aFailed);
  void handle(const ReadRequested& aRequest);
  void handle(const SnapshotRequested& aRequest);
  void handle(const SnapshotTaken& aTaken);
  void handle(const JoinRequested& aRequest);
  void handle(const TransferRequested& aRequest);
  void handle(const StopRequested& aRequest);
  void start();

  // Messages.
  void receive(NodeId aFrom, const wire::VoteRequest& aRequest);
  void receive(NodeId aFrom, const wire::VoteReply& aReply);
  void receive(NodeId aFrom, const wire::AppendRequest& aRequest);
  void receive(NodeId aFrom, const wire::AppendReply& aReply);
  void receive(NodeId aFrom, const wire::SnapshotChunk& aChunk);
  void receive(NodeId aFrom, const wire::SnapshotReply& aReply);
  void receive(NodeId aFrom, const wire::TransferLeadership& aTransfer);

  // Functions that all roles use.
  void emit(Action aAction) { mActions.push_back(std::move(aAction)); }
  void send(NodeId aTo, wire::LogMessage aMessage);
  void sendWhenSynced(NodeId aTo, wire::LogMessage aMessage);
  void sendDeferred(std::uint64_t aBatch);
  void flushPersist();
  void adoptTerm(Term aTerm);
  void becomeFollower(Term aTerm, NodeId aLeader);
  void resetElectionTimer();
  void commitTo(LogIndex aIndex);
  void applyCommitted();
  void takeSnapshotIfDue();
  void takeSnapshot();
  void adoptSnapshot(SnapshotPtr aSnapshot);
  bool isMember() const;

  // Elections (LogNodeElection.cc).
  bool hasCurrentLeader() const;
  bool isUpToDate(const wire::VoteRequest& aRequest) const;
  void startPreVote();
  void startElection(bool aIsTransfer);
  void requestVotes(const wire::VoteRequest& aRequest);
  void receivePreVote(NodeId aFrom, const wire::VoteRequest& aRequest);
  bool hasWon() const;
  void countVotes();
  void becomeLeader();

  // Following (LogNodeFollower.cc).
  bool acceptLeader(NodeId aFrom, Term aTerm);
  bool appendAll(const wire::AppendRequest& aRequest);
  void rejectAppend(NodeId aFrom, const wire::AppendRequest& aRequest);
  void acknowledgeAppend();
  void installSnapshot(NodeId aFrom, const SnapshotPtr& aSnapshot);

  // Leading (LogNodeLeader.cc).
  void tickLeader();
  void startRound();
  void replicateAll();
  void replicate(NodeId aTo, MemberProgress& aMember, bool aIsHeartbeat);
  bool sendEntries(NodeId aTo, MemberProgress& aMember);
  void sendEmpty(NodeId aTo, LogIndex aPreviousIndex);
  wire::AppendRequest appendRequest(LogIndex aPreviousIndex) const;
  void sendChunk(NodeId aTo, MemberProgress& aMember);
  bool isWindowOpen(const MemberProgress& aMember) const;
  LogIndex appendOwn(wire::EntryKind aKind, std::string aPayload);
  bool recordReplyStore(MemberProgress& aMember, const wire::AppendReply& aReply);
  void recordMatch(MemberProgress& aMember, LogIndex aIndex);
  void recordMismatch(MemberProgress& aMember, LogIndex aHint);
  std::uint64_t memberValue(const wire::Member& aMember, std::uint64_t aOwn,
                            std::uint64_t (*aOther)(const MemberProgress&)) const;
  bool hasQuorumContact() const;
  void advanceCommit();
  void advanceReads();
  void advanceMembership();
  bool recordStoreIds();
  bool proposeNewStore();
  bool isCaughtUp(const MemberProgress& aMember) const;
  bool isReplaceable(const wire::Member& aMember) const;
  void promoteLearner();
  void expireLearners();
  void advanceTransfer();
  void advanceStop();
  void loseLeadership();

  LogNodeConfig mConfig;
  std::mt19937_64 mRandom;
  wire::StoreId mStore;
  TimePoint mNow;
  std::vector<Action> mActions;
  bool mIsStarted = false;
  bool mIsStorageFailing = false;
  bool mIsStopping = false; ///< StopRequested was received.

  Role mRole = Role::Follower;
  Term mTerm;
  NodeId mVotedFor;
  NodeId mLeader = kNoNode;
  EntryLog mLog;
  MembershipHistory mMembers;
  SnapshotPtr mSnapshot;
  PersistQueue mPersist;
  std::vector<DeferredMessage> mDeferred; ///< Messages of the current term that wait for a sync.
  LogIndex mCommitIndex;
  LogIndex mAppliedIndex;
  LogIndex mSnapshotRequestedIndex;

  TimePoint mElectionDeadline;
  TimePoint mLeaderContactAt;
  std::map<NodeId, wire::StoreId> mVotes; ///< Votes granted in the current (pre-)election.
  std::uint64_t mOwnVoteBatch = 0;        ///< The own vote is counted once this batch is persisted.

  LogIndex mMatchIndex = 0;     ///< The log matches the current leader's up to this index.
  std::uint64_t mLastRound = 0; ///< Latest heartbeat round received from the current leader.
  bool mIsAckPending = false;   ///< An acknowledgement waits until term and vote are persisted.
  SnapshotReceiver mReceiver;

  std::optional<LeaderState> mLeaderState; ///< Present while mRole is Leader.
};

} // namespace camphorcleat::agreement

namespace camphorcleat {

template<>
struct EnumNames<agreement::Role>
{
  static constexpr EnumName<agreement::Role> kTable[] = {
    { agreement::Role::Follower, "follower" },
    { agreement::Role::PreCandidate, "pre_candidate" },
    { agreement::Role::Candidate, "candidate" },
    { agreement::Role::Leader, "leader" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_AGREEMENT_LOGNODE_H_
