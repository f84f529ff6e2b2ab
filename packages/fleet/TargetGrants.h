// Which keys the target beside this daemon holds, for a target that is granted keys by the answers
// to its heartbeats.
//
// The replicated log says what the target should hold; this class knows what it was told and what
// it said itself. A partition counts as released only when the target says so, when the last hold
// has run out by the target's slowest clock, or when its process has ended. Each heartbeat is sent
// after the answer to the one before has arrived or been given up, so a heartbeat that doesn't name
// a partition shows that no earlier grant of it is still to take effect.

#ifndef CAMPHORCLEAT_FLEET_TARGETGRANTS_H_
#define CAMPHORCLEAT_FLEET_TARGETGRANTS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "fleet/FleetModel.h"

namespace camphorcleat::fleet {

/// A range of keys that the target says it holds or still works on.
struct HeldRange
{
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  FencingToken token = 0;
};

/// A range of keys that the target has given back.
struct ReleasedRange
{
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  std::string handover;
};

/// A range of keys that the target may hold.
struct GrantedRange
{
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  FencingToken token = 0;
  std::string handover;
};

/// What one heartbeat says of keys.
struct HeartbeatRanges
{
  std::vector<HeldRange> held;
  std::vector<ReleasedRange> released;
};

/// What the target is to hold from now on. Without a length it keeps what it has until that ends.
struct GrantAnswer
{
  std::vector<GrantedRange> granted;
  Millis length{ 0 }; ///< From the sending of the heartbeat; 0: nothing is renewed.
};

/// A partition that the target doesn't hold any longer although it was told so.
struct ReleasedPartition
{
  PartitionId partition = 0;
  FencingToken token = 0;
  std::string handover;
};

/// Not thread-safe. Times must not decrease between calls.
class TargetGrants
{
public:
  /// The target's clock may run slow by this part of the true time.
  static constexpr double kClockSlack = 0.02;

  explicit TargetGrants(Millis aMaxGrantLength)
    : mMaxGrantLength(aMaxGrantLength)
  {
  }

  /// Another process has taken the target's place: nothing is held.
  void reset();

  /// Takes a heartbeat and says what to answer. aOwned are the partitions of the service that this
  /// node owns now, moving ones included; aLeaseValidUntil ends every hold. Partitions in aOwned
  /// that are moving are left out of the answer.
  GrantAnswer heartbeat(TimePoint aNow, const FleetModel& aModel, const HeartbeatRanges& aReported,
                        const std::map<PartitionId, wire::PartitionGrant>& aOwned,
                        TimePoint aLeaseValidUntil);

  /// Partitions that the target has released since the last call.
  std::vector<ReleasedPartition> takeReleased(TimePoint aNow);

  /// Whether the target was told to hold the partition under this token and the hold runs.
  bool isHeld(TimePoint aNow, PartitionId aPartition, FencingToken aToken) const;

private:
  struct GrantRecord
  {
    FencingToken token = 0;
    TimePoint until; ///< By the target's slowest clock.
    bool isWithdrawn = false;
    std::string handover; ///< What the target gave when it released.
    bool isReleased = false;
    bool isConfirmed = false; ///< The target has said that it holds it.
  };

  void recordHeartbeat(const FleetModel& aModel, const HeartbeatRanges& aReported);

  Millis mMaxGrantLength;
  std::map<PartitionId, GrantRecord> mRecords;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_TARGETGRANTS_H_
