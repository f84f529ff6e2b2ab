// Records of grants that are sent in responses to heartbeats.

#include "fleet/HeartbeatGrants.h"

#include <algorithm>

namespace camphorcleat::fleet {

namespace {

// Shorter grants would expire before the next heartbeat, so they are not sent.
constexpr Millis kMinGrantLength{ 100 };

template<class Range>
const Range* findOverlapping(const std::vector<Range>& aRanges, std::uint32_t aFirst,
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

void HeartbeatGrants::reset()
{
  mRecords.clear();
}

void HeartbeatGrants::recordHeartbeat(const FleetModel& aModel, const HeartbeatRanges& aReported)
{
  for (auto& [partition, record] : mRecords) {
    const auto [first, last] = aModel.rangeOf(partition);
    if (findOverlapping(aReported.held, first, last) != nullptr) {
      record.isReleased = false;
      record.isConfirmed = true;
      continue;
    }
    const ReleasedRange* released = findOverlapping(aReported.released, first, last);
    if (released != nullptr) {
      record.handover = released->handover;
    }
    // A partition missing from the heartbeat is released only if an earlier heartbeat listed it:
    // the target may have sent this heartbeat before it received the grant.
    record.isReleased = record.isConfirmed || released != nullptr;
  }
}

GrantResponse HeartbeatGrants::heartbeat(TimePoint aNow, const FleetModel& aModel,
                                         const HeartbeatRanges& aReported,
                                         const std::map<PartitionId, wire::PartitionGrant>& aOwned,
                                         TimePoint aLeaseValidUntil)
{
  recordHeartbeat(aModel, aReported);
  GrantResponse out;
  out.length = std::min(grantLengthWithin(aLeaseValidUntil - aNow), mMaxGrantLength);
  if (out.length < kMinGrantLength) {
    out.length = Millis(0);
    return out;
  }
  const TimePoint until = aNow + withTargetClockSlack(out.length);
  for (const auto& [partition, grant] : aOwned) {
    const auto [first, last] = aModel.rangeOf(partition);
    if (grant.movingTo != kNoNode) {
      if (mRecords.count(partition) == 0) {
        // If the target holds the partition, an earlier process of this daemon granted it.
        const bool isHeld = findOverlapping(aReported.held, first, last) != nullptr;
        const TimePoint longest = aNow + withTargetClockSlack(mMaxGrantLength);
        mRecords[partition] =
          GrantRecord{ grant.token, isHeld ? longest : aNow, true, {}, !isHeld, isHeld };
      }
      continue;
    }
    GrantRecord& record = mRecords[partition];
    const bool isConfirmed = record.isConfirmed && record.token == grant.token;
    record = GrantRecord{ grant.token, until, false, {}, false, isConfirmed };
    // A target that holds the keys already has their handover data, which would only lengthen the
    // response.
    const std::string handover = isConfirmed ? std::string() : grant.handover;
    if (!out.granted.empty() && continues(out.granted.back(), first, grant.token, handover)) {
      out.granted.back().to = last;
    } else {
      out.granted.push_back({ first, last, grant.token, handover });
    }
  }
  for (auto& [partition, record] : mRecords) {
    const auto owned = aOwned.find(partition);
    const bool isGranted = owned != aOwned.end() && owned->second.movingTo == kNoNode &&
                           owned->second.token == record.token;
    record.isWithdrawn = !isGranted;
  }
  return out;
}

std::vector<ReleasedPartition> HeartbeatGrants::takeReleased(TimePoint aNow)
{
  std::vector<ReleasedPartition> out;
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    const GrantRecord& record = it->second;
    if (record.isWithdrawn && (record.isReleased || aNow >= record.until)) {
      out.push_back({ it->first, record.token, record.handover });
      it = mRecords.erase(it);
    } else {
      ++it;
    }
  }
  return out;
}

bool HeartbeatGrants::isGranted(TimePoint aNow, PartitionId aPartition, FencingToken aToken) const
{
  const auto it = mRecords.find(aPartition);
  return it != mRecords.end() && !it->second.isWithdrawn && it->second.token == aToken &&
         aNow < it->second.until;
}

} // namespace camphorcleat::fleet
