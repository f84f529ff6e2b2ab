// Elections: pre-vote, votes, and the transition to leader.
//
// Pre-vote prevents a member that was partitioned from incrementing the term and thereby deposing a
// leader that the other members still reach. A pre-vote changes no durable state, so it needs no
// sync.

#include <utility>

#include "agreement/LogNode.h"
#include "base/Codec.h"

namespace camphorcleat::agreement {

bool LogNode::hasCurrentLeader() const
{
  return mRole == Role::Leader ||
         (mLeader != kNoNode && mNow - mLeaderContactAt < mConfig.electionTimeoutMin);
}

bool LogNode::isUpToDate(const wire::VoteRequest& aRequest) const
{
  return aRequest.lastTerm != mLog.lastTerm() ? aRequest.lastTerm > mLog.lastTerm()
                                              : aRequest.lastIndex >= mLog.lastIndex();
}

void LogNode::startPreVote()
{
  resetElectionTimer();
  // Nodes that can't stand for election forget a silent leader as well. It may be gone for good,
  // and they would go on sending it commands and join requests.
  mLeader = kNoNode;
  if (!isMember()) {
    return; // Not a voter, or the leader has not yet accepted the new store.
  }
  if (mIsStorageFailing) {
    return; // It couldn't persist its own vote.
  }
  mRole = Role::PreCandidate;
  mVotes = { { mConfig.self, mStore } };
  wire::VoteRequest request;
  request.term = mTerm + 1;
  request.isPreVote = true;
  requestVotes(request);
  countVotes();
}

void LogNode::startElection(bool aIsTransfer)
{
  adoptTerm(mTerm + 1);
  mRole = Role::Candidate;
  mVotedFor = mConfig.self;
  mVotes.clear();
  resetElectionTimer();
  mOwnVoteBatch = mPersist.batchCoveringAll(mLog);
  wire::VoteRequest request;
  request.term = mTerm;
  request.isTransfer = aIsTransfer;
  requestVotes(request);
}

void LogNode::requestVotes(const wire::VoteRequest& aRequest)
{
  wire::VoteRequest request = aRequest;
  request.store = mStore;
  request.lastIndex = mLog.lastIndex();
  request.lastTerm = mLog.lastTerm();
  for (const auto& it : mMembers.current().members) {
    if (it.id == mConfig.self) {
      continue;
    }
    if (request.isPreVote) {
      send(it.id, request);
    } else {
      sendWhenSynced(it.id, request);
    }
  }
}

void LogNode::receive(NodeId aFrom, const wire::VoteRequest& aRequest)
{
  if (aRequest.isPreVote) {
    receivePreVote(aFrom, aRequest);
    return;
  }
  if (aRequest.term > mTerm) {
    if (hasCurrentLeader() && !aRequest.isTransfer) {
      return; // This member still receives messages from the leader.
    }
    becomeFollower(aRequest.term, kNoNode);
  }
  wire::VoteReply reply;
  reply.term = mTerm;
  reply.store = mStore;
  // Grants the vote without checking this member's own membership: its log may still lack the entry
  // that accepts its store. The candidate checks the store id with its own membership.
  reply.isGranted =
    aRequest.term == mTerm && isUpToDate(aRequest) && (mVotedFor == kNoNode || mVotedFor == aFrom);
  if (!reply.isGranted) {
    send(aFrom, reply);
    return;
  }
  if (mVotedFor == kNoNode) {
    mVotedFor = aFrom;
    mPersist.voteChanged();
  }
  resetElectionTimer();
  sendWhenSynced(aFrom, reply);
}

void LogNode::receivePreVote(NodeId aFrom, const wire::VoteRequest& aRequest)
{
  wire::VoteReply reply;
  reply.isPreVote = true;
  reply.store = mStore;
  reply.isGranted = aRequest.term > mTerm && !hasCurrentLeader() && isUpToDate(aRequest);
  reply.term = reply.isGranted ? aRequest.term : mTerm;
  send(aFrom, reply);
}

void LogNode::receive(NodeId aFrom, const wire::VoteReply& aReply)
{
  const bool isPreGrant = aReply.isPreVote && aReply.isGranted;
  if (aReply.term > mTerm && !isPreGrant) {
    becomeFollower(aReply.term, kNoNode);
    return;
  }
  const bool isExpected = aReply.isPreVote ? mRole == Role::PreCandidate && aReply.term == mTerm + 1
                                           : mRole == Role::Candidate && aReply.term == mTerm;
  if (isExpected && aReply.isGranted) {
    mVotes[aFrom] = aReply.store;
    countVotes();
  }
}

bool LogNode::hasWon() const
{
  return mMembers.quorumValue(mCommitIndex, [this](const wire::Member& aMember) -> std::uint64_t {
    const auto it = mVotes.find(aMember.id);
    return it != mVotes.end() && acceptsStore(aMember, it->second) ? 1 : 0;
  }) == 1;
}

void LogNode::countVotes()
{
  if (!hasWon()) {
    return;
  }
  if (mRole == Role::PreCandidate) {
    startElection(false);
  } else {
    becomeLeader();
  }
}

void LogNode::becomeLeader()
{
  mRole = Role::Leader;
  mLeader = mConfig.self;
  mLeaderState.emplace();
  for (const auto& it : mMembers.current().members) {
    if (it.id != mConfig.self) {
      MemberProgress& member = mLeaderState->members[it.id];
      member.nextIndex = mLog.lastIndex() + 1;
      member.lastReplyAt = mNow;
      const auto vote = mVotes.find(it.id);
      member.store = vote == mVotes.end() ? 0 : vote->second;
    }
  }
  mVotes.clear();
  mLeaderState->noopIndex = appendOwn(wire::EntryKind::Noop, std::string());
  if (!mMembers.isUnconfirmed()) {
    // In a group that is being created, all members have voted, so all store ids are known.
    recordStoreIds();
  }
  startRound();
  advanceCommit();
}

} // namespace camphorcleat::agreement
