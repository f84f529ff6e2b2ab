// Estimates the request rates of the partitions of a ranged service from their owners' reports.
//
// An owner measures only what arrives at it, so for a partition that has just moved, its report
// begins at zero and grows while its window fills. The estimate adds the rate that was known at the
// handover, with a share that decays as quickly. During a handover no requests are counted, and an
// owner whose connection was lost reports nothing; the estimate then stays as it was.
//
// Short windows vary by chance, and moves interrupt service. The rates are therefore averaged over
// several windows, except that of a partition whose rate has certainly changed.

#ifndef CAMPHORCLEAT_FLEET_PARTITIONRATES_H_
#define CAMPHORCLEAT_FLEET_PARTITIONRATES_H_

#include <map>
#include <optional>
#include <vector>

#include "fleet/Placement.h"

namespace camphorcleat::fleet {

/// Holds one record for each partition. Not thread-safe.
class PartitionRates
{
public:
  /// Updates the estimates; aLoads has an entry for each node that has reported to this leader.
  /// aNow must not decrease between calls. After an interval of some seconds without calls, in
  /// which another member may have led, it starts anew.
  void update(TimePoint aNow, const GrantTable& aGrants, const std::map<NodeId, NodeLoad>& aLoads);

  /// Returns the estimated requests per second, by partition, as of the last update.
  const std::vector<double>& perSecond() const { return mRates; }

  /// Returns for how many seconds requests were counted, which decides how much the rates vary by
  /// chance.
  double countedSeconds() const;

  /// Returns whether the partition got its present owner less than aTime before the last update.
  /// Its first owner doesn't count.
  bool hasMovedWithin(Duration aTime, PartitionId aPartition) const;

  /// Returns how long the partition has been in handover; zero if it isn't.
  Duration handoverTime(PartitionId aPartition) const;

private:
  struct Record
  {
    FencingToken token = 0;
    TimePoint ownedSince;
    std::optional<TimePoint> countedSince; ///< When the owner began to count requests.
    std::optional<TimePoint> movingSince;
    double recent = 0;  ///< Of the latest window.
    double carried = 0; ///< The recent rate when the present owner got the partition.
    bool hasMoved = false;
    bool isKnown = false; ///< An owner has reported since the start.
  };

  void followGrant(PartitionId aPartition, const wire::PartitionGrant& aGrant);
  void addReport(PartitionId aPartition, double aRate, double aSeconds);
  void average(PartitionId aPartition, double aSeconds);
  Duration averagingTime() const;

  TimePoint mNow;
  std::optional<TimePoint> mFirstReportAt;
  std::vector<Record> mRecords;
  std::vector<double> mRates;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_PARTITIONRATES_H_
