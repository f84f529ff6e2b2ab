// The follower role: appends the leader's entries, acknowledges them once persisted, installs
// snapshots.
//
// An acknowledgement contains the last persisted index up to which this log matches the leader's.
// It is sent at once, to acknowledge the heartbeat round, and again after each sync that increases
// the index. So a slow disk delays commits, but neither reads nor leases.

#include <algorithm>
#include <utility>

#include "agreement/LogNode.h"

namespace camphorcleat::agreement {

bool LogNode::acceptLeader(NodeId aFrom, Term aTerm)
{
  if (aTerm < mTerm || (aTerm == mTerm && mRole == Role::Leader)) {
    return false;
  }
  becomeFollower(aTerm, aFrom);
  mLeaderContactAt = mNow;
  return true;
}

void LogNode::receive(NodeId aFrom, const wire::AppendRequest& aRequest)
{
  if (!acceptLeader(aFrom, aRequest.term)) {
    rejectAppend(aFrom, aRequest);
    return;
  }
  mLastRound = std::max(mLastRound, aRequest.round);
  // Entries up to the base are committed, so they match the log of every later leader.
  const auto term = mLog.termAt(aRequest.previousIndex);
  const bool isBehindBase = aRequest.previousIndex < mLog.baseIndex();
  if (!isBehindBase && (!term || *term != aRequest.previousTerm)) {
    rejectAppend(aFrom, aRequest);
    return;
  }
  if (!appendAll(aRequest)) {
    return;
  }
  mMatchIndex = std::max(mMatchIndex, aRequest.previousIndex + aRequest.entries.size());
  commitTo(std::min(aRequest.commitIndex, mMatchIndex));
  acknowledgeAppend();
}

// Returns false if the request conflicts with a committed entry or is not contiguous. A correct
// leader doesn't send such a request.
bool LogNode::appendAll(const wire::AppendRequest& aRequest)
{
  LogIndex expected = aRequest.previousIndex;
  for (const auto& it : aRequest.entries) {
    if (it.index != ++expected) {
      return false;
    }
    const auto present = mLog.termAt(it.index);
    if (it.index <= mLog.baseIndex() || present == it.term) {
      continue;
    }
    if (present) {
      if (it.index <= mCommitIndex) {
        return false;
      }
      mLog.truncateFrom(it.index);
      mMembers.truncateFrom(it.index);
      mPersist.truncated(it.index);
    }
    mLog.append(it);
    mMembers.append(it);
  }
  return true;
}

void LogNode::rejectAppend(NodeId aFrom, const wire::AppendRequest& aRequest)
{
  wire::AppendReply reply;
  reply.term = mTerm;
  reply.store = mStore;
  reply.isStopping = mIsStopping;
  // The leader counts the acknowledged round towards a quorum of this term. If this member lost
  // the term in a restart, it could vote for another leader of the same term. So the round is
  // acknowledged only if the term is persisted.
  reply.round = aRequest.term == mTerm && mPersist.isVotePersisted() ? aRequest.round : 0;
  // The leader retries after this index. If the entries at previousIndex conflict, the index is
  // before all entries of this member's term there, because the leader may lack all of them.
  reply.matchIndex = std::min(mLog.lastIndex(), aRequest.previousIndex);
  if (aRequest.previousIndex <= mLog.lastIndex() && aRequest.previousIndex > mLog.baseIndex()) {
    reply.matchIndex = mLog.firstOfTermAt(aRequest.previousIndex) - 1;
  }
  reply.matchIndex = std::max(reply.matchIndex, mCommitIndex);
  send(aFrom, reply);
}

void LogNode::acknowledgeAppend()
{
  if (mLeader == kNoNode) {
    return;
  }
  if (!mPersist.isVotePersisted()) {
    mIsAckPending = true;
    return;
  }
  mIsAckPending = false;
  wire::AppendReply reply;
  reply.term = mTerm;
  reply.isMatch = true;
  reply.matchIndex = std::min(mMatchIndex, mPersist.persistedIndex());
  reply.round = mLastRound;
  reply.store = mStore;
  reply.isStopping = mIsStopping;
  send(mLeader, reply);
}

void LogNode::receive(NodeId aFrom, const wire::SnapshotChunk& aChunk)
{
  wire::SnapshotReply reply;
  reply.lastIndex = aChunk.lastIndex;
  reply.store = mStore;
  if (!acceptLeader(aFrom, aChunk.term)) {
    reply.term = mTerm;
    send(aFrom, reply);
    return;
  }
  reply.term = mTerm;
  if (aChunk.lastIndex <= mCommitIndex) {
    reply.nextOffsetBytes = aChunk.totalBytes;
    sendWhenSynced(aFrom, reply);
    return;
  }
  if (const SnapshotPtr snapshot = mReceiver.add(aChunk)) {
    installSnapshot(aFrom, snapshot);
    return;
  }
  reply.nextOffsetBytes = mReceiver.nextOffsetBytes();
  send(aFrom, reply);
}

void LogNode::installSnapshot(NodeId aFrom, const SnapshotPtr& aSnapshot)
{
  adoptSnapshot(aSnapshot);
  mMatchIndex = std::max(mMatchIndex, aSnapshot->lastIndex);
  wire::SnapshotReply reply;
  reply.term = mTerm;
  reply.lastIndex = aSnapshot->lastIndex;
  reply.nextOffsetBytes = aSnapshot->bytes.size();
  reply.store = mStore;
  sendWhenSynced(aFrom, reply);
}

void LogNode::receive(NodeId aFrom, const wire::TransferLeadership& aTransfer)
{
  const bool isFromLeader = aTransfer.term == mTerm && mRole == Role::Follower && mLeader == aFrom;
  if (isFromLeader && isMember() && !mIsStorageFailing) {
    startElection(true);
  }
}

} // namespace camphorcleat::agreement
