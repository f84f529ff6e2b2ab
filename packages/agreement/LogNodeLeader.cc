// The leader role: replication, commit, reads, membership changes, snapshot transfers, leadership
// transfer.

#include <algorithm>
#include <utility>

#include "agreement/LogNode.h"
#include "base/Codec.h"

namespace camphorcleat::agreement {

void LogNode::handle(const Propose& aPropose)
{
  if (mRole != Role::Leader) {
    emit(ProposalRefused{ aPropose.proposal, mLeader });
    return;
  }
  const bool isMemoryFull = mLog.bytesAfter(mLog.baseIndex()) >= kMaxLogBytes;
  const bool isFull = mLog.lastIndex() - mCommitIndex >= kMaxUncommittedEntries ||
                      mLog.bytesAfter(mCommitIndex) >= kMaxUncommittedBytes || isMemoryFull;
  if (aPropose.payload.size() > kMaxPayloadBytes) {
    emit(ProposalRefused{ aPropose.proposal, mConfig.self, ProposalRefusal::TooLarge });
    return;
  }
  if (isMemoryFull && mIsStorageFailing) {
    // The entries stay in memory until they are persisted, so there is no room before the disk
    // works.
    becomeFollower(mTerm, kNoNode);
    emit(ProposalRefused{ aPropose.proposal, kNoNode });
    return;
  }
  if (!mLeaderState->isEstablished || mLeaderState->transferTarget != kNoNode || isFull) {
    emit(ProposalRefused{ aPropose.proposal, mLeaderState->transferTarget,
                          isFull ? ProposalRefusal::LogFull : ProposalRefusal::NotLeader });
    return;
  }
  const LogIndex index = appendOwn(wire::EntryKind::Command, aPropose.payload);
  emit(ProposalAppended{ aPropose.proposal, index, mTerm });
  replicateAll();
}

void LogNode::handle(const ReadRequested& aRequest)
{
  if (mRole != Role::Leader || !mLeaderState->reads.add(aRequest.read)) {
    emit(ReadRefused{ aRequest.read, mRole == Role::Leader ? kNoNode : mLeader });
    return;
  }
  advanceReads();
}

void LogNode::handle(const JoinRequested& aRequest)
{
  if (mRole != Role::Leader || mConfig.voters == 0 || aRequest.node == mConfig.self) {
    return;
  }
  const bool isKnown = mLeaderState->members.count(aRequest.node) != 0;
  if (!isKnown &&
      mLeaderState->members.size() >= mMembers.current().members.size() - 1 + kMaxLearners) {
    return;
  }
  MemberProgress& member = mLeaderState->members[aRequest.node];
  member.joinRequestedAt = mNow;
  if (!isKnown) {
    member.lastReplyAt = mNow;
    member.nextIndex = mLog.lastIndex() + 1;
    replicate(aRequest.node, member, true);
  }
}

void LogNode::handle(const TransferRequested&)
{
  if (mRole != Role::Leader || !mLeaderState->isEstablished ||
      mLeaderState->transferTarget != kNoNode) {
    return;
  }
  LogIndex best = 0;
  for (const auto& [id, member] : mLeaderState->members) {
    const wire::Member* voter = mMembers.find(id);
    const bool isReachable = mNow - member.lastReplyAt < mConfig.electionTimeoutMin;
    if (voter != nullptr && voter->store != 0 && voter->store == member.store && isReachable &&
        member.matchIndex >= best) {
      best = member.matchIndex;
      mLeaderState->transferTarget = id;
    }
  }
  mLeaderState->isTransferSent = false;
  mLeaderState->transferDeadline = mNow + mConfig.electionTimeoutMax;
  advanceTransfer();
}

void LogNode::handle(const StopRequested&)
{
  mIsStopping = true;
  if (mRole == Role::Leader) {
    advanceMembership();
    advanceStop();
  } else {
    acknowledgeAppend(); // Tells the leader.
  }
}

// Transfers the leadership of a node that is about to stop. The new leader may not know the learner
// yet, so a replacement that has begun is completed first.
void LogNode::advanceStop()
{
  const bool isBeingReplaced = mMembers.find(mConfig.self) == nullptr &&
                               (mMembers.currentIndex() > mCommitIndex || mMembers.isUnconfirmed());
  if (mIsStopping && mLeaderState->isEstablished && !isBeingReplaced &&
      !mLeaderState->isStopTransferDone) {
    mLeaderState->isStopTransferDone = true;
    handle(TransferRequested{});
  }
}

void LogNode::tickLeader()
{
  if (!hasQuorumContact()) {
    becomeFollower(mTerm, kNoNode);
    return;
  }
  if (mLeaderState->transferTarget != kNoNode && mNow >= mLeaderState->transferDeadline) {
    mLeaderState->transferTarget = kNoNode;
  }
  if (mNow >= mLeaderState->nextHeartbeat) {
    expireLearners();
    startRound();
    advanceMembership(); // Replaces a voter whose replaceVoterAfter has elapsed.
  }
}

void LogNode::startRound()
{
  ++mLeaderState->round;
  mLeaderState->reads.startRound(mLeaderState->round);
  mLeaderState->nextHeartbeat = mNow + mConfig.heartbeat;
  for (auto& [id, member] : mLeaderState->members) {
    replicate(id, member, true);
  }
}

void LogNode::replicateAll()
{
  for (auto& [id, member] : mLeaderState->members) {
    replicate(id, member, false);
  }
}

void LogNode::replicate(NodeId aTo, MemberProgress& aMember, bool aIsHeartbeat)
{
  if (aMember.nextIndex <= mLog.baseIndex() && !aMember.transfer.snapshot) {
    aMember.transfer = SnapshotTransfer{ mSnapshot, 0, false, mNow };
  }
  if (aMember.transfer.snapshot) {
    sendChunk(aTo, aMember);
    if (aIsHeartbeat) {
      sendEmpty(aTo, mLog.baseIndex());
    }
    return;
  }
  bool isSent = false;
  while (isWindowOpen(aMember) && sendEntries(aTo, aMember)) {
    isSent = true;
  }
  if (aIsHeartbeat && !isSent) {
    sendEmpty(aTo, aMember.nextIndex - 1);
  }
}

bool LogNode::isWindowOpen(const MemberProgress& aMember) const
{
  if (aMember.isProbing) {
    return !aMember.isProbeSent;
  }
  const LogIndex lastSentIndex = aMember.nextIndex - 1;
  return lastSentIndex - aMember.matchIndex < kMaxInFlightEntries &&
         mLog.bytesBetween(aMember.matchIndex, lastSentIndex) < kMaxInFlightBytes;
}

bool LogNode::sendEntries(NodeId aTo, MemberProgress& aMember)
{
  if (aMember.nextIndex > mLog.lastIndex()) {
    return false;
  }
  wire::AppendRequest request = appendRequest(aMember.nextIndex - 1);
  request.entries = mLog.slice(aMember.nextIndex, kMaxAppendEntries, kMaxAppendBytes);
  if (aMember.isProbing) {
    aMember.isProbeSent = true;
  } else {
    aMember.nextIndex += request.entries.size();
  }
  send(aTo, std::move(request));
  return true;
}

void LogNode::sendEmpty(NodeId aTo, LogIndex aPreviousIndex)
{
  send(aTo, appendRequest(aPreviousIndex));
}

wire::AppendRequest LogNode::appendRequest(LogIndex aPreviousIndex) const
{
  wire::AppendRequest request;
  request.term = mTerm;
  request.previousIndex = aPreviousIndex;
  request.previousTerm = mLog.termAt(aPreviousIndex).value_or(0);
  request.commitIndex = mCommitIndex;
  request.round = mLeaderState->round;
  return request;
}

void LogNode::sendChunk(NodeId aTo, MemberProgress& aMember)
{
  SnapshotTransfer& transfer = aMember.transfer;
  if (transfer.isChunkInFlight && mNow - transfer.chunkSentAt < mConfig.electionTimeoutMin) {
    return;
  }
  const Snapshot& snapshot = *transfer.snapshot;
  wire::SnapshotChunk chunk;
  chunk.term = mTerm;
  chunk.lastIndex = snapshot.lastIndex;
  chunk.lastTerm = snapshot.lastTerm;
  chunk.membership = snapshot.membership;
  chunk.offsetBytes = transfer.offsetBytes;
  chunk.totalBytes = snapshot.bytes.size();
  chunk.data = Bytes(snapshot.bytes.substr(transfer.offsetBytes, kMaxChunkBytes));
  transfer.isChunkInFlight = true;
  transfer.chunkSentAt = mNow;
  send(aTo, std::move(chunk));
}

LogIndex LogNode::appendOwn(wire::EntryKind aKind, std::string aPayload)
{
  wire::LogEntry entry;
  entry.index = mLog.lastIndex() + 1;
  entry.term = mTerm;
  entry.kind = aKind;
  entry.payload = Bytes(std::move(aPayload));
  mMembers.append(entry);
  mLog.append(std::move(entry));
  return mLog.lastIndex();
}

void LogNode::receive(NodeId aFrom, const wire::AppendReply& aReply)
{
  if (aReply.term > mTerm) {
    becomeFollower(aReply.term, kNoNode);
    return;
  }
  const bool isExpected =
    mRole == Role::Leader && aReply.term == mTerm && mLeaderState->members.count(aFrom) != 0;
  if (!isExpected) {
    return;
  }
  MemberProgress& member = mLeaderState->members[aFrom];
  if (!recordReplyStore(member, aReply)) {
    return;
  }
  member.lastReplyAt = mNow;
  member.isStopping = aReply.isStopping;
  member.ackedRound = std::max(member.ackedRound, aReply.round);
  if (aReply.isMatch) {
    recordMatch(member, aReply.matchIndex);
  } else {
    recordMismatch(member, aReply.matchIndex);
  }
  replicate(aFrom, member, false);
  advanceMembership();
  advanceCommit();
}

// Records the store that a member replied from; a new store starts without any progress. Returns
// false if the reply must be ignored, because it is a late one of the store before.
bool LogNode::recordReplyStore(MemberProgress& aMember, const wire::AppendReply& aReply)
{
  if (aMember.store == aReply.store) {
    return true;
  }
  if (aMember.store != 0) {
    if (aReply.round < aMember.firstRound) {
      return false;
    }
    const TimePoint previousReplyAt = aMember.lastReplyAt;
    aMember = MemberProgress();
    aMember.lastReplyAt = previousReplyAt;
    aMember.nextIndex = mLog.lastIndex() + 1;
  }
  aMember.firstRound = mLeaderState->round + 1;
  aMember.store = aReply.store;
  return true;
}

void LogNode::recordMatch(MemberProgress& aMember, LogIndex aIndex)
{
  // A member can't have persisted entries that the leader doesn't have, so a larger index must not
  // advance the commit index.
  const LogIndex index = std::min(aIndex, mLog.lastIndex());
  aMember.matchIndex = std::max(aMember.matchIndex, index);
  aMember.nextIndex = std::max(aMember.nextIndex, aMember.matchIndex + 1);
  aMember.isProbing = false;
  if (aMember.transfer.snapshot && aMember.matchIndex >= mLog.baseIndex()) {
    aMember.transfer = SnapshotTransfer();
  }
}

void LogNode::recordMismatch(MemberProgress& aMember, LogIndex aHint)
{
  const LogIndex next = std::clamp(aHint + 1, aMember.matchIndex + 1, mLog.lastIndex() + 1);
  if (aMember.isProbing && next >= aMember.nextIndex) {
    return; // A reply to an earlier request; the current probe may still be in flight.
  }
  aMember.nextIndex = next;
  aMember.isProbing = true;
  aMember.isProbeSent = false;
}

void LogNode::receive(NodeId aFrom, const wire::SnapshotReply& aReply)
{
  if (aReply.term > mTerm) {
    becomeFollower(aReply.term, kNoNode);
    return;
  }
  const bool isExpected =
    mRole == Role::Leader && aReply.term == mTerm && mLeaderState->members.count(aFrom) != 0;
  if (!isExpected) {
    return;
  }
  MemberProgress& member = mLeaderState->members[aFrom];
  SnapshotTransfer& transfer = member.transfer;
  if (member.store != aReply.store || !transfer.snapshot ||
      transfer.snapshot->lastIndex != aReply.lastIndex) {
    return;
  }
  member.lastReplyAt = mNow;
  const std::uint64_t total = transfer.snapshot->bytes.size();
  if (aReply.nextOffsetBytes >= total) {
    transfer = SnapshotTransfer();
    member.nextIndex = std::max(member.matchIndex, aReply.lastIndex) + 1;
    recordMatch(member, aReply.lastIndex);
  } else if (aReply.nextOffsetBytes != transfer.offsetBytes) {
    transfer.offsetBytes = aReply.nextOffsetBytes;
    transfer.isChunkInFlight = false;
  }
  replicate(aFrom, member, false);
  advanceMembership();
  advanceCommit();
}

// Returns a member's value for a quorum: aOwn for this node, and that of aOther for another member.
// The value is 0 if the replies of the member come from a store that the membership does not
// contain.
std::uint64_t LogNode::memberValue(const wire::Member& aMember, std::uint64_t aOwn,
                                   std::uint64_t (*aOther)(const MemberProgress&)) const
{
  if (aMember.id == mConfig.self) {
    return acceptsStore(aMember, mStore) ? aOwn : 0;
  }
  const auto it = mLeaderState->members.find(aMember.id);
  return it != mLeaderState->members.end() && acceptsStore(aMember, it->second.store)
           ? aOther(it->second)
           : 0;
}

bool LogNode::hasQuorumContact() const
{
  return mMembers.quorumValue(mCommitIndex, [this](const wire::Member& aMember) -> std::uint64_t {
    if (aMember.id == mConfig.self) {
      return 1;
    }
    const auto it = mLeaderState->members.find(aMember.id);
    return it != mLeaderState->members.end() && acceptsStore(aMember, it->second.store) &&
               mNow - it->second.lastReplyAt < mConfig.electionTimeoutMin
             ? 1
             : 0;
  }) == 1;
}

void LogNode::advanceCommit()
{
  // Committing a replacement of a store changes the quorum, which may allow further commits.
  for (;;) {
    const LogIndex index = mMembers.quorumValue(mCommitIndex, [this](const wire::Member& aMember) {
      return memberValue(aMember, mPersist.persistedIndex(),
                         [](const MemberProgress& aOther) { return aOther.matchIndex; });
    });
    if (index <= mCommitIndex || mLog.termAt(index) != mTerm) {
      break;
    }
    commitTo(index);
  }
  if (!mLeaderState->isEstablished && mCommitIndex >= mLeaderState->noopIndex) {
    mLeaderState->isEstablished = true;
    emit(BecameLeader{ mTerm });
  }
  advanceReads();
  advanceMembership();
  advanceStop();
  advanceTransfer();
}

void LogNode::advanceReads()
{
  if (!mLeaderState->isEstablished) {
    return;
  }
  for (;;) {
    const std::uint64_t round =
      mMembers.quorumValue(mCommitIndex, [this](const wire::Member& aMember) {
        return memberValue(aMember, mLeaderState->round,
                           [](const MemberProgress& aOther) { return aOther.ackedRound; });
      });
    for (const std::uint64_t read : mLeaderState->reads.completeUpTo(round)) {
      emit(ReadReady{ read, mCommitIndex });
    }
    if (!mLeaderState->reads.needsRound()) {
      return;
    }
    startRound();
  }
}

void LogNode::advanceMembership()
{
  // One change at a time: the next one starts after the previous one is committed and confirmed.
  if (!mLeaderState->isEstablished || mMembers.currentIndex() > mCommitIndex) {
    return;
  }
  if (mMembers.isUnconfirmed()) {
    appendOwn(wire::EntryKind::Membership, encode(mMembers.current()));
    replicateAll();
  } else if (recordStoreIds()) {
    replicateAll();
  } else if (!proposeNewStore()) {
    promoteLearner();
  }
}

// Appends an entry with the store ids that became known. Returns false if there are none.
bool LogNode::recordStoreIds()
{
  wire::Membership filled = mMembers.current();
  bool isChanged = false;
  for (auto& it : filled.members) {
    const auto member = mLeaderState->members.find(it.id);
    const wire::StoreId store = it.id == mConfig.self                   ? mStore
                                : member != mLeaderState->members.end() ? member->second.store
                                                                        : 0;
    if (it.store == 0 && store != 0) {
      it.store = store;
      isChanged = true;
    }
  }
  if (isChanged) {
    appendOwn(wire::EntryKind::Membership, encode(filled));
  }
  return isChanged;
}

// Appends a membership entry that replaces the store of a member, if the member replied from a new
// store that has caught up. Returns false if there is no such member.
bool LogNode::proposeNewStore()
{
  wire::Membership replaced = mMembers.current();
  for (auto& it : replaced.members) {
    const auto found = mLeaderState->members.find(it.id);
    if (found == mLeaderState->members.end()) {
      continue;
    }
    const MemberProgress& member = found->second;
    if (member.store != it.store && isCaughtUp(member)) {
      it.store = member.store;
      appendOwn(wire::EntryKind::Membership, encode(replaced));
      replicateAll();
      return true;
    }
  }
  return false;
}

// Whether the member's current store is in use and has nearly the whole log.
bool LogNode::isCaughtUp(const MemberProgress& aMember) const
{
  return aMember.store != 0 && aMember.ackedRound >= aMember.firstRound &&
         aMember.matchIndex + kMaxCatchUpLag >= mLog.lastIndex();
}

// Whether a learner may take the place of a voter: its process is about to end, or it hasn't
// replied for some time.
bool LogNode::isReplaceable(const wire::Member& aMember) const
{
  if (aMember.id == mConfig.self) {
    return mIsStopping;
  }
  const auto it = mLeaderState->members.find(aMember.id);
  return it != mLeaderState->members.end() &&
         (it->second.isStopping || mNow - it->second.lastReplyAt >= mConfig.replaceVoterAfter);
}

// Adding one voter needs no majority of the previous membership, because majorities of n and n + 1
// members overlap. Replacing a voter does need one, which MembershipHistory ensures.
void LogNode::promoteLearner()
{
  const auto learner = std::find_if(mLeaderState->members.begin(), mLeaderState->members.end(),
                                    [this](const auto& aItem) {
                                      return mMembers.find(aItem.first) == nullptr &&
                                             !aItem.second.isStopping && isCaughtUp(aItem.second);
                                    });
  if (mConfig.voters == 0 || learner == mLeaderState->members.end()) {
    return;
  }
  wire::Membership next = mMembers.current();
  if (next.members.size() >= mConfig.voters) {
    const auto replaceable =
      std::find_if(next.members.begin(), next.members.end(),
                   [this](const wire::Member& aMember) { return isReplaceable(aMember); });
    if (replaceable == next.members.end()) {
      return;
    }
    next.members.erase(replaceable);
  }
  next.members.push_back({ learner->first, learner->second.store });
  appendOwn(wire::EntryKind::Membership, encode(next));
  replicateAll();
}

void LogNode::expireLearners()
{
  for (auto it = mLeaderState->members.begin(); it != mLeaderState->members.end();) {
    const bool isVoter =
      mMembers.find(it->first) != nullptr ||
      mMembers.currentIndex() > mCommitIndex; // If that entry is truncated, it may be a voter.
    it = isVoter || mNow - it->second.joinRequestedAt < kJoinRequestTimeout
           ? std::next(it)
           : mLeaderState->members.erase(it);
  }
}

void LogNode::advanceTransfer()
{
  if (mLeaderState->transferTarget == kNoNode || mLeaderState->isTransferSent) {
    return;
  }
  if (mLeaderState->members[mLeaderState->transferTarget].matchIndex == mLog.lastIndex()) {
    mLeaderState->isTransferSent = true;
    wire::TransferLeadership transfer;
    transfer.term = mTerm;
    send(mLeaderState->transferTarget, transfer);
  }
}

void LogNode::loseLeadership()
{
  for (const std::uint64_t read : mLeaderState->reads.removeAll()) {
    emit(ReadRefused{ read, kNoNode });
  }
  if (mLeaderState->isEstablished) {
    emit(LostLeadership{ mTerm });
  }
  mLeaderState.reset();
}

} // namespace camphorcleat::agreement
