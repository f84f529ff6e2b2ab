#include "agreement/JoinSchedule.h"

#include <algorithm>
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
  const NodeId to = aLeader != kNoNode ? aLeader : nextCandidate();
  return to == mSelf ? kNoNode : to;
}

NodeId JoinSchedule::nextCandidate()
{
  return mKnown.empty() ? kNoNode : mKnown[mNextCandidate++ % mKnown.size()];
}

NodeId JoinSchedule::onReply(NodeId aFrom, NodeId aLeaderHint, const std::vector<NodeId>& aReported,
                             NodeId aLeader)
{
  for (const NodeId it : aReported) {
    if (mKnown.size() < kMaxKnownNodes &&
        std::find(mKnown.begin(), mKnown.end(), it) == mKnown.end()) {
      mKnown.push_back(it);
    }
  }
  const bool isUseful = aLeaderHint != kNoNode && aLeaderHint != aFrom && aLeaderHint != mSelf;
  return isUseful && aLeader == kNoNode ? aLeaderHint : kNoNode;
}

} // namespace camphorcleat::agreement
