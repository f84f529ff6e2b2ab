// How much work arrives for each partition, and how long this target takes for a request.
//
// Rates decay exponentially, so that a key that turns hot shows within a second and noise of single
// requests stays small. The leader weighs partitions and targets by these figures; they are hints
// and decide nothing about ownership.

#ifndef CAMPHORCLEAT_TRAFFIC_PARTITIONLOADS_H_
#define CAMPHORCLEAT_TRAFFIC_PARTITIONLOADS_H_

#include <map>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::traffic {

/// Memory: one record for each partition with recent work. Not thread-safe.
class PartitionLoads
{
public:
  /// After this time without arrivals, a rate has fallen to 37 %.
  static constexpr Millis kTimeConstant{ 1500 };

  /// A request for a partition arrived.
  void recordArrival(TimePoint aNow, PartitionId aPartition);

  /// A request of a priority ran for aTime.
  void recordRun(Duration aTime, std::uint32_t aPriority);

  /// Requests per second by partition; those below a tenth are left out.
  std::vector<wire::PartitionLoad> rates(TimePoint aNow);

  /// Mean time of a run at this target; zero before the first.
  Duration meanRun() const { return fromSeconds(mRunSeconds); }

  /// The same over so many runs that short spells don't show: for decisions that last.
  Duration longMeanRun() const { return fromSeconds(mLongRunSeconds); }

  /// Mean time of a run of a priority, which tells short kinds of requests from long ones; that of
  /// all runs before the first.
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
  std::uint32_t mLongRuns = 0;                           // At most kLongRuns.
  std::map<std::uint32_t, double> mRunSecondsByPriority; // By priority, at most kMaxPriorities.
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_PARTITIONLOADS_H_
