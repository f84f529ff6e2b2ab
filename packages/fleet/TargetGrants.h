// Interface to the record of the keys that are granted to this daemon's target.
//
// The replicated log determines which keys the target should have. An implementation passes them on
// to the target and records until when the target may hold them. The keys of a partition go to
// their next owner only after the target can't hold them any more.

#ifndef CAMPHORCLEAT_FLEET_TARGETGRANTS_H_
#define CAMPHORCLEAT_FLEET_TARGETGRANTS_H_

#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"

namespace camphorcleat::fleet {

/// The target's clock may run slow by this fraction.
inline constexpr double kTargetClockSlack = 0.02;

/// Returns the longest time that a target may count as aLength on its own clock. Thread-safe.
inline Duration withTargetClockSlack(Millis aLength)
{
  return fromSeconds(toSeconds(aLength) * (1 + kTargetClockSlack));
}

/// Returns the longest grant that has ended after aTime even on the slowest clock of a target.
/// Thread-safe.
inline Millis grantLengthWithin(Duration aTime)
{
  return std::chrono::duration_cast<Millis>(
    fromSeconds(toSeconds(aTime) / (1 + kTargetClockSlack)));
}

/// A partition that was granted to the target and that the target can't hold any more.
struct ReleasedPartition
{
  PartitionId partition = 0;
  FencingToken token = 0;
  std::string handover; ///< Data from the target for the next owner.
};

/// Not thread-safe. aNow must not decrease between calls.
class TargetGrants
{
public:
  TargetGrants() = default;
  TargetGrants(const TargetGrants&) = delete;
  TargetGrants& operator=(const TargetGrants&) = delete;
  virtual ~TargetGrants() = default;

  /// Removes all records, because a new process of the target has replaced the earlier one.
  virtual void reset() = 0;

  /// Returns the moving partitions that were released since the last call.
  virtual std::vector<ReleasedPartition> takeReleased(TimePoint aNow) = 0;

  /// Returns whether the partition is granted to the target with this token and the grant hasn't
  /// expired.
  virtual bool isGranted(TimePoint aNow, PartitionId aPartition, FencingToken aToken) const = 0;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_TARGETGRANTS_H_
