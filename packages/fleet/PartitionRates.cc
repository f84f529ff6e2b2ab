// Combines the reported rates with those from before the latest handover.

#include "fleet/PartitionRates.h"

#include <algorithm>
#include <cmath>

#include "wire/RateWindow.h"

namespace camphorcleat::fleet {

namespace {

// Time constant of the average.
constexpr Duration kAveragingTime = 4 * wire::kRateWindow;

// A rate has changed if its recent value differs from the average by more standard deviations.
constexpr double kMaxDeviations = 5;

// An exponential window has the variance of a plain one of twice its time constant.
double secondsCounted(Duration aTimeConstant)
{
  return 2 * toSeconds(aTimeConstant);
}

} // namespace

void PartitionRates::update(TimePoint aNow, const GrantTable& aGrants,
                            const std::map<NodeId, NodeLoad>& aLoads)
{
  const double seconds = mFirstReportAt ? toSeconds(aNow - mNow) : 0;
  mNow = aNow;
  mRecords.resize(aGrants.size());
  mRates.resize(aGrants.size());
  std::vector<double> reported(aGrants.size());
  for (const auto& [node, load] : aLoads) {
    for (const auto& it : load.partitionLoads) {
      if (it.partition < aGrants.size() && aGrants[it.partition].owner == node) {
        reported[it.partition] = it.requestsPerSecond;
        mFirstReportAt = mFirstReportAt.value_or(aNow);
      }
    }
  }
  for (PartitionId i = 0; i < aGrants.size(); ++i) {
    const wire::PartitionGrant& grant = aGrants[i];
    Record& record = mRecords[i];
    if (grant.token != record.token) {
      record.hasMoved = record.token != 0;
      record.carried = record.recent;
      record.ownedSince = aNow;
      record.token = grant.token;
    }
    if (grant.owner != kNoNode && grant.movingTo == kNoNode) {
      const double age = toSeconds(aNow - record.ownedSince) / toSeconds(wire::kRateWindow);
      record.recent = reported[i] + record.carried * std::exp(-age);
      average(i, seconds);
    }
  }
}

// The average begins with the first report and then covers the time since, up to kAveragingTime.
void PartitionRates::average(PartitionId aPartition, double aSeconds)
{
  const double recent = mRecords[aPartition].recent;
  double& rate = mRates[aPartition];
  const double variance = (rate + 1) / secondsCounted(wire::kRateWindow);
  const bool hasChanged = std::abs(recent - rate) > kMaxDeviations * std::sqrt(variance);
  rate = hasChanged ? recent
                    : rate + (recent - rate) * std::min(1.0, aSeconds / toSeconds(averagingTime()));
}

Duration PartitionRates::averagingTime() const
{
  const Duration elapsed = mFirstReportAt ? mNow - *mFirstReportAt : Duration::zero();
  return std::clamp<Duration>(elapsed, wire::kRateWindow, kAveragingTime);
}

double PartitionRates::countedSeconds() const
{
  return secondsCounted(averagingTime());
}

bool PartitionRates::hasMovedWithin(Duration aTime, PartitionId aPartition) const
{
  return aPartition < mRecords.size() && mRecords[aPartition].hasMoved &&
         mNow - mRecords[aPartition].ownedSince < aTime;
}

} // namespace camphorcleat::fleet
