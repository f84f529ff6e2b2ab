// Grants of a target that receives its keys in the responses to its heartbeats.
//
// This class records what was granted to the target and what the target reported. A partition is
// released only when the target reports it, when the last grant has expired even by the slowest
// possible clock of the target, or when the target's process has ended. The target sends a
// heartbeat only after the response to the previous one arrived or timed out. So if a heartbeat
// doesn't list a partition that the target listed before, no earlier grant of it can still take
// effect.

#ifndef CAMPHORCLEAT_FLEET_HEARTBEATGRANTS_H_
#define CAMPHORCLEAT_FLEET_HEARTBEATGRANTS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "fleet/FleetModel.h"
#include "fleet/TargetGrants.h"

namespace camphorcleat::fleet {

/// A range of keys, both ends included, that the target reports as held or as having work in
/// progress.
struct HeldRange
{
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  FencingToken token = 0;
};

/// A range of keys, both ends included, that the target has released.
struct ReleasedRange
{
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  std::string handover; ///< Data from the target for the next owner.
};

/// A range of keys, both ends included, that is granted to the target.
struct GrantedRange
{
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  FencingToken token = 0;
  std::string handover; ///< Data from the previous owner's target.
};

/// The key ranges that one heartbeat reports.
struct HeartbeatRanges
{
  std::vector<HeldRange> held;
  std::vector<ReleasedRange> released;
};

/// The grants to send to the target. If length is 0, nothing is granted and earlier grants stay
/// valid until they expire.
struct GrantResponse
{
  std::vector<GrantedRange> granted;
  Millis length{ 0 }; ///< Counted from the sending of the heartbeat.
};

/// Not thread-safe. aNow must not decrease between calls.
class HeartbeatGrants : public TargetGrants
{
public:
  explicit HeartbeatGrants(Millis aMaxGrantLength)
    : mMaxGrantLength(aMaxGrantLength)
  {
  }

  void reset() override;

  /// Handles a heartbeat and returns the response. aOwned are the partitions of the service that
  /// this node owns, including moving ones; the response grants all but the moving ones. No grant
  /// is valid after aLeaseValidUntil.
  GrantResponse heartbeat(TimePoint aNow, const FleetModel& aModel,
                          const HeartbeatRanges& aReported,
                          const std::map<PartitionId, wire::PartitionGrant>& aOwned,
                          TimePoint aLeaseValidUntil);

  std::vector<ReleasedPartition> takeReleased(TimePoint aNow) override;
  bool isGranted(TimePoint aNow, PartitionId aPartition, FencingToken aToken) const override;

private:
  struct GrantRecord
  {
    FencingToken token = 0;
    TimePoint until; ///< When the grant has expired by the slowest possible clock of the target.
    bool isWithdrawn = false;
    std::string handover; ///< Data from the target, sent with its release.
    bool isReleased = false;
    bool isConfirmed = false; ///< A heartbeat has listed the partition as held.
  };

  void recordHeartbeat(const FleetModel& aModel, const HeartbeatRanges& aReported);

  Millis mMaxGrantLength;
  std::map<PartitionId, GrantRecord> mRecords;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_HEARTBEATGRANTS_H_
