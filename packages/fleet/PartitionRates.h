// Estimates the request rates of the partitions of a ranged service from their owners' reports.
//
// An owner measures only what arrives at it, so for a partition that has just moved, its report
// begins at zero and grows while its window fills. The estimate adds the rate that was known at the
// handover, with a share that decays as quickly. During a handover no requests are counted, so the
// estimate stays as it was.
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
  /// Updates the estimates. aNow must not decrease between calls.
  void update(TimePoint aNow, const GrantTable& aGrants, const std::map<NodeId, NodeLoad>& aLoads);

  /// Returns the estimated requests per second, by partition, as of the last update.
  const std::vector<double>& perSecond() const { return mRates; }

private:
  struct Record
  {
    FencingToken token = 0;
    TimePoint ownedSince;
    double recent = 0;  ///< Of the latest window.
    double carried = 0; ///< The recent rate when the present owner got the partition.
  };

  void average(PartitionId aPartition, double aSeconds);
  Duration averagingTime() const;

  TimePoint mNow;
  std::optional<TimePoint> mFirstReportAt;
  std::vector<Record> mRecords;
  std::vector<double> mRates;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_PARTITIONRATES_H_
