// The functions of LogNode that all roles use: event dispatch, persistence, commit and snapshots.

#include "agreement/LogNode.h"

#include <algorithm>
#include <utility>

namespace camphorcleat::agreement {

namespace {

LogIndex snapshotIndex(const SnapshotPtr& aSnapshot)
{
  return aSnapshot ? aSnapshot->lastIndex : 0;
}

} // namespace

LogNode::LogNode(LogNodeConfig aConfig, StoredState aStored, std::mt19937_64 aRandom)
  : mConfig(std::move(aConfig))
  , mRandom(aRandom)
  , mStore(aStored.store)
  , mTerm(aStored.term)
  , mVotedFor(aStored.votedFor)
  , mLog(snapshotIndex(aStored.snapshot), aStored.snapshot ? aStored.snapshot->lastTerm : 0)
  , mMembers(snapshotIndex(aStored.snapshot),
             aStored.snapshot ? aStored.snapshot->membership : mConfig.initialMembership)
  , mSnapshot(std::move(aStored.snapshot))
  , mPersist(mLog.baseIndex() + aStored.entries.size())
  , mCommitIndex(mLog.baseIndex())
  , mAppliedIndex(mLog.baseIndex())
  , mSnapshotRequestedIndex(mLog.baseIndex())
{
  for (auto& it : aStored.entries) {
    mMembers.append(it);
    mLog.append(std::move(it));
  }
}

std::vector<Action> LogNode::step(TimePoint aNow, const Event& aEvent)
{
  mNow = aNow;
  if (!mIsStarted) {
    start();
  }
  std::visit([this](const auto& aBody) { handle(aBody); }, aEvent);
  flushPersist();
  return std::exchange(mActions, {});
}

void LogNode::start()
{
  mIsStarted = true;
  mLeaderContactAt = mNow;
  resetElectionTimer();
  if (mSnapshot) {
    emit(RestoreSnapshot{ mSnapshot->lastIndex, mSnapshot->bytes });
  }
}

void LogNode::handle(const Tick&)
{
  if (mRole == Role::Leader) {
    tickLeader();
  } else if (mNow >= mElectionDeadline) {
    startPreVote();
  }
}

void LogNode::handle(const MessageArrived& aArrived)
{
  std::visit([&](const auto& aBody) { receive(aArrived.from, aBody); }, aArrived.message);
}

void LogNode::handle(const Persisted& aPersisted)
{
  const LogIndex before = mPersist.persistedIndex();
  if (!mPersist.complete(aPersisted.batch)) {
    return;
  }
  mIsStorageFailing = false;
  sendDeferred(aPersisted.batch);
  if (mRole == Role::Candidate && aPersisted.batch >= mOwnVoteBatch) {
    mVotes[mConfig.self] = mStore;
    countVotes();
  } else if (mRole == Role::Leader) {
    advanceCommit();
  } else if (mIsAckPending || mPersist.persistedIndex() != before) {
    acknowledgeAppend();
  }
}

void LogNode::handle(const PersistFailed&)
{
  mIsStorageFailing = true;
  // Another leader needs no disk of this member. If none takes over, this one continues: it commits
  // with the disks of the others.
  handle(TransferRequested{});
}

void LogNode::handle(const SnapshotRequested&)
{
  if (mAppliedIndex > mSnapshotRequestedIndex) {
    takeSnapshot();
  }
}

void LogNode::handle(const SnapshotTaken& aTaken)
{
  const auto term = mLog.termAt(aTaken.lastIndex);
  if (!term || aTaken.lastIndex > mAppliedIndex || aTaken.lastIndex <= snapshotIndex(mSnapshot)) {
    return; // A newer snapshot was installed or taken meanwhile.
  }
  mSnapshot = std::make_shared<const Snapshot>(
    Snapshot{ aTaken.lastIndex, *term, mMembers.at(aTaken.lastIndex), aTaken.bytes });
  mPersist.snapshotTaken(mSnapshot);
  LogIndex base = aTaken.lastIndex - std::min(mConfig.retainedEntries, aTaken.lastIndex);
  while (base < aTaken.lastIndex &&
         mLog.bytesBetween(base, aTaken.lastIndex) > mConfig.retainedBytes) {
    ++base;
  }
  // Entries that are not in a batch yet must stay, so that the stored log has no gap.
  mLog.compactTo(std::min(base, mPersist.firstPending() - 1));
  mMembers.compactTo(mLog.baseIndex());
}

void LogNode::send(NodeId aTo, wire::LogMessage aMessage)
{
  emit(SendMessage{ aTo, std::move(aMessage) });
}

void LogNode::sendWhenSynced(NodeId aTo, wire::LogMessage aMessage)
{
  const std::uint64_t batch = mPersist.batchCoveringAll(mLog);
  if (batch == 0) {
    send(aTo, std::move(aMessage));
    return;
  }
  // Keeps only the latest message of each kind per member, so that replies to resent requests don't
  // accumulate while the disk is stalled.
  const auto same = [&](const DeferredMessage& aDeferred) {
    return aDeferred.send.to == aTo && aDeferred.send.message.index() == aMessage.index();
  };
  mDeferred.erase(std::remove_if(mDeferred.begin(), mDeferred.end(), same), mDeferred.end());
  mDeferred.push_back(DeferredMessage{ batch, SendMessage{ aTo, std::move(aMessage) } });
}

void LogNode::sendDeferred(std::uint64_t aBatch)
{
  std::vector<DeferredMessage> later;
  for (auto& it : mDeferred) {
    if (it.batch <= aBatch) {
      emit(std::move(it.send));
    } else {
      later.push_back(std::move(it));
    }
  }
  mDeferred = std::move(later);
}

void LogNode::flushPersist()
{
  if (auto batch = mPersist.next(mTerm, mVotedFor, mLog)) {
    emit(std::move(*batch));
  }
}

void LogNode::adoptTerm(Term aTerm)
{
  if (aTerm <= mTerm) {
    return;
  }
  mTerm = aTerm;
  mVotedFor = kNoNode;
  mLeader = kNoNode;
  mPersist.voteChanged();
  // Deferred acknowledgements refer to log entries that a leader of the new term may replace before
  // the sync.
  mDeferred.clear();
  mMatchIndex = 0;
  mLastRound = 0;
  mIsAckPending = false;
  mReceiver = SnapshotReceiver();
}

void LogNode::becomeFollower(Term aTerm, NodeId aLeader)
{
  if (mRole == Role::Leader) {
    loseLeadership();
  }
  mRole = Role::Follower;
  mVotes.clear();
  adoptTerm(aTerm);
  mLeader = aLeader;
  resetElectionTimer();
}

void LogNode::resetElectionTimer()
{
  std::uniform_int_distribution<Millis::rep> spread(mConfig.electionTimeoutMin.count(),
                                                    mConfig.electionTimeoutMax.count());
  mElectionDeadline = mNow + Millis(spread(mRandom));
}

bool LogNode::isMember() const
{
  const wire::Member* self = mMembers.find(mConfig.self);
  return self != nullptr && acceptsStore(*self, mStore);
}

void LogNode::commitTo(LogIndex aIndex)
{
  if (aIndex > mCommitIndex) {
    mCommitIndex = std::min(aIndex, mLog.lastIndex());
    applyCommitted();
  }
}

void LogNode::applyCommitted()
{
  while (mAppliedIndex < mCommitIndex) {
    const std::size_t count = std::min<std::size_t>(mCommitIndex - mAppliedIndex, kMaxApplyEntries);
    ApplyEntries apply{ mLog.slice(mAppliedIndex + 1, count, kMaxLogBytes) };
    mAppliedIndex += apply.entries.size();
    emit(std::move(apply));
    takeSnapshotIfDue();
  }
}

void LogNode::takeSnapshotIfDue()
{
  if (mAppliedIndex - mSnapshotRequestedIndex >= mConfig.snapshotEntries) {
    takeSnapshot();
  }
}

void LogNode::takeSnapshot()
{
  mSnapshotRequestedIndex = mAppliedIndex;
  emit(TakeSnapshot{ mAppliedIndex });
}

void LogNode::adoptSnapshot(SnapshotPtr aSnapshot)
{
  mSnapshot = std::move(aSnapshot);
  const LogIndex last = mSnapshot->lastIndex;
  if (mLog.termAt(last) == mSnapshot->lastTerm) {
    mPersist.snapshotTaken(mSnapshot);
    mLog.compactTo(std::min(last, mPersist.firstPending() - 1));
    mMembers.compactTo(last);
  } else {
    mLog.reset(last, mSnapshot->lastTerm);
    mMembers.reset(last, mSnapshot->membership);
    mPersist.logReplaced(mSnapshot);
  }
  mCommitIndex = mAppliedIndex = mSnapshotRequestedIndex = last;
  emit(RestoreSnapshot{ last, mSnapshot->bytes });
}

} // namespace camphorcleat::agreement
