// Candidates are asked in turn; a node that was named by several sources is asked once a turn.

#include "agreement/JoinSchedule.h"

#include <algorithm>
#include <array>
#include <utility>

namespace camphorcleat::agreement {

JoinSchedule::JoinSchedule(NodeId aSelf, std::vector<NodeId> aKnown)
  : mSelf(aSelf)
  , mKnown(std::move(aKnown))
{
}

void JoinSchedule::addKnown(const std::vector<NodeId>& aNodes)
{
  mKnown.insert(mKnown.begin(), aNodes.begin(), aNodes.end());
  mKnown.resize(std::min(mKnown.size(), kMaxKnownNodes));
}

NodeId JoinSchedule::next(TimePoint aNow, NodeId aLeader, const std::vector<NodeId>& aMembers)
{
  if (aLeader != kNoNode) {
    mLeaderKnownAt = aNow;
  }
  const bool isMember = std::find(aMembers.begin(), aMembers.end(), mSelf) != aMembers.end();
  const bool isDue = !isMember || aNow - mLeaderKnownAt >= kLeaderlessTimeout;
  if (!isDue || aNow < mNextRequestAt) {
    return kNoNode;
  }
  mNextRequestAt = aNow + kJoinRequestInterval;
  mMayFollowHint = true;
  return aLeader != kNoNode && aLeader != mSelf ? aLeader : nextCandidate(aMembers);
}

NodeId JoinSchedule::nextCandidate(const std::vector<NodeId>& aMembers)
{
  std::vector<NodeId> candidates;
  const std::array<const std::vector<NodeId>*, 3> lists = { &mKnown, &mReported, &aMembers };
  for (const auto* list : lists) {
    for (const NodeId it : *list) {
      if (it != mSelf && std::find(candidates.begin(), candidates.end(), it) == candidates.end()) {
        candidates.push_back(it);
      }
    }
  }
  return candidates.empty() ? kNoNode : candidates[mNextCandidate++ % candidates.size()];
}

NodeId JoinSchedule::onReply(NodeId aFrom, NodeId aLeaderHint, const std::vector<NodeId>& aReported,
                             NodeId aLeader)
{
  mReported = aReported;
  mReported.resize(std::min(mReported.size(), kMaxKnownNodes));
  const bool isUseful = aLeaderHint != kNoNode && aLeaderHint != aFrom && aLeaderHint != mSelf;
  if (!isUseful || aLeader != kNoNode || !mMayFollowHint) {
    return kNoNode;
  }
  mMayFollowHint = false;
  return aLeaderHint;
}

} // namespace camphorcleat::agreement
