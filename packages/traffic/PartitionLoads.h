// Request rates of the partitions and mean run times of this target.
//
// Rates decay exponentially: a key with suddenly higher load becomes visible within a second, while
// single requests have little influence. The leader uses these figures as weights for partitions
// and targets. They are hints and do not affect ownership.

#ifndef CAMPHORCLEAT_TRAFFIC_PARTITIONLOADS_H_
#define CAMPHORCLEAT_TRAFFIC_PARTITIONLOADS_H_

#include <map>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/PeerMessages.h"
#include "wire/RateWindow.h"

namespace camphorcleat::traffic {

/// Stores one record for each partition with recent requests. Not thread-safe.
class PartitionLoads
{
public:
  static constexpr Millis kTimeConstant = wire::kRateWindow;

  /// Records the arrival of a request for a partition.
  void recordArrival(TimePoint aNow, PartitionId aPartition);

  /// Records that a request of a priority ran for aTime.
  void recordRun(Duration aTime, std::uint32_t aPriority);

  /// Returns the requests per second of each partition. Removes and leaves out rates below 0.1.
  std::vector<wire::PartitionLoad> rates(TimePoint aNow);

  /// Returns the recent mean run time at this target; zero before the first run.
  Duration meanRun() const { return fromSeconds(mRunSeconds); }

  /// Returns the mean run time over many more runs, so that short periods of high latency have
  /// little influence. Meant for long-term decisions.
  Duration longMeanRun() const { return fromSeconds(mLongRunSeconds); }

  /// Returns the recent mean run time of a priority, since priorities can differ in run time.
  /// Returns that of all runs if this priority has none yet.
  Duration meanRun(std::uint32_t aPriority) const;

private:
  struct Rate
  {
    double perSecond = 0;
    TimePoint updatedAt;
  };
  static double decayed(const Rate& aRate, TimePoint aNow);

  std::map<PartitionId, Rate> mRates;
  double mRunSeconds = 0;
  double mLongRunSeconds = 0;
  std::uint32_t mLongRuns = 0; // At most kLongRuns.
  // By priority; at most kMaxPriorities entries.
  std::map<std::uint32_t, double> mRunSecondsByPriority;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_PARTITIONLOADS_H_
