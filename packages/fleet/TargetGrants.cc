// Bookkeeping of grants by heartbeat.

#include "fleet/TargetGrants.h"

#include <algorithm>

namespace camphorcleat::fleet {

namespace {

// Answers shorter than this would end before the next heartbeat and only cost a message.
constexpr Millis kLeastHold{ 100 };

template<class Range>
const Range* rangeAround(const std::vector<Range>& aRanges, std::uint32_t aFirst,
                         std::uint32_t aLast)
{
  const auto it = std::find_if(aRanges.begin(), aRanges.end(), [&](const Range& aRange) {
    return aRange.from <= aLast && aFirst <= aRange.to;
  });
  return it == aRanges.end() ? nullptr : &*it;
}

bool continues(const GrantedRange& aRange, std::uint32_t aFirst, FencingToken aToken,
               const std::string& aHandover)
{
  return aRange.to + 1 == aFirst && aRange.token == aToken && aRange.handover == aHandover;
}

} // namespace

void TargetGrants::reset()
{
  mTold.clear();
}

void TargetGrants::noteHolds(const FleetModel& aModel, const HeartbeatHolds& aHolds)
{
  for (auto& [partition, told] : mTold) {
    const auto [first, last] = aModel.rangeOf(partition);
    if (rangeAround(aHolds.held, first, last) != nullptr) {
      told.isReleased = false;
      told.isConfirmed = true;
      continue;
    }
    const ReleasedRange* released = rangeAround(aHolds.released, first, last);
    if (released != nullptr) {
      told.handover = released->handover;
    }
    // A heartbeat that was sent before the answer with the grant arrived doesn't name it either.
    told.isReleased = told.isConfirmed || released != nullptr;
  }
}

GrantAnswer TargetGrants::heartbeat(TimePoint aNow, const FleetModel& aModel,
                                    const HeartbeatHolds& aHolds,
                                    const std::map<PartitionId, wire::PartitionGrant>& aOwned,
                                    TimePoint aLeaseValidUntil)
{
  noteHolds(aModel, aHolds);
  GrantAnswer out;
  const auto left = std::chrono::duration_cast<Millis>(
    fromSeconds(toSeconds(aLeaseValidUntil - aNow) / (1 + kClockSlack)));
  out.length = std::min(left, mMaxHold);
  if (out.length < kLeastHold) {
    out.length = Millis(0);
    return out;
  }
  const TimePoint until = aNow + fromSeconds(toSeconds(out.length) * (1 + kClockSlack));
  for (const auto& [partition, grant] : aOwned) {
    const auto [first, last] = aModel.rangeOf(partition);
    if (grant.movingTo != kNoNode) {
      if (mTold.count(partition) == 0) {
        // Told by an earlier process of this daemon, if at all.
        const bool isHeld = rangeAround(aHolds.held, first, last) != nullptr;
        const TimePoint longest = aNow + fromSeconds(toSeconds(mMaxHold) * (1 + kClockSlack));
        mTold[partition] = Told{ grant.token, isHeld ? longest : aNow, true, {}, !isHeld, isHeld };
      }
      continue;
    }
    Told& told = mTold[partition];
    const bool isConfirmed = told.isConfirmed && told.token == grant.token;
    told = Told{ grant.token, until, false, {}, false, isConfirmed };
    // Once the target has the keys, their handover would only lengthen the answer.
    const std::string handover = isConfirmed ? std::string() : grant.handover;
    if (!out.granted.empty() && continues(out.granted.back(), first, grant.token, handover)) {
      out.granted.back().to = last;
    } else {
      out.granted.push_back({ first, last, grant.token, handover });
    }
  }
  for (auto& [partition, told] : mTold) {
    const auto owned = aOwned.find(partition);
    const bool isGranted = owned != aOwned.end() && owned->second.movingTo == kNoNode &&
                           owned->second.token == told.token;
    told.isWithdrawn = !isGranted;
  }
  return out;
}

std::vector<ReleasedPartition> TargetGrants::takeReleased(TimePoint aNow)
{
  std::vector<ReleasedPartition> out;
  for (auto it = mTold.begin(); it != mTold.end();) {
    const Told& told = it->second;
    if (told.isWithdrawn && (told.isReleased || aNow >= told.until)) {
      out.push_back({ it->first, told.token, told.handover });
      it = mTold.erase(it);
    } else {
      ++it;
    }
  }
  return out;
}

bool TargetGrants::isHeld(TimePoint aNow, PartitionId aPartition, FencingToken aToken) const
{
  const auto it = mTold.find(aPartition);
  return it != mTold.end() && !it->second.isWithdrawn && it->second.token == aToken &&
         aNow < it->second.until;
}

} // namespace camphorcleat::fleet
