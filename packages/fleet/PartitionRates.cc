// Combines the reported rates with those from before the latest handover.

#include "fleet/PartitionRates.h"

#include <algorithm>
#include <cmath>

#include "wire/RateWindow.h"

namespace camphorcleat::fleet {

namespace {

// Time constant of the average.
constexpr Duration kAveragingTime = 4 * wire::kRateWindow;

// Without an update for this time, the records are outdated.
constexpr Duration kMaxUpdateInterval = 2 * wire::kRateWindow;

// A new owner counts requests from its first report that names the partition, or after this time.
constexpr Millis kMaxStartOfCounting{ 1000 };

// Lower rates are treated as zero, so that those of an idle service end.
constexpr double kMinRate = 0.1;

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
  if (aNow - mNow > kMaxUpdateInterval) {
    *this = PartitionRates();
    mNow = aNow;
  }
  const double seconds = toSeconds(aNow - mNow);
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
    followGrant(i, grant);
    if (grant.movingTo == kNoNode && aLoads.count(grant.owner) > 0) {
      addReport(i, reported[i], seconds);
    }
  }
}

void PartitionRates::followGrant(PartitionId aPartition, const wire::PartitionGrant& aGrant)
{
  Record& record = mRecords[aPartition];
  if (aGrant.token != record.token) {
    record.hasMoved = record.token != 0;
    record.carried = record.recent;
    record.ownedSince = mNow;
    record.countedSince.reset();
    record.token = aGrant.token;
  }
  if (aGrant.movingTo == kNoNode) {
    record.movingSince.reset();
  } else if (!record.movingSince) {
    record.movingSince = mNow;
  }
}

void PartitionRates::addReport(PartitionId aPartition, double aRate, double aSeconds)
{
  Record& record = mRecords[aPartition];
  if (!record.countedSince && (aRate > 0 || mNow - record.ownedSince >= kMaxStartOfCounting)) {
    record.countedSince = mNow;
  }
  const Duration counted = record.countedSince ? mNow - *record.countedSince : Duration::zero();
  record.recent =
    aRate + record.carried * std::exp(-toSeconds(counted) / toSeconds(wire::kRateWindow));
  if (record.recent < kMinRate) {
    record.recent = 0;
  }
  if (!record.isKnown) {
    record.isKnown = true;
    mRates[aPartition] = record.recent;
  } else {
    average(aPartition, aSeconds);
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
  if (rate < kMinRate && recent < kMinRate) {
    rate = 0;
  }
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

Duration PartitionRates::handoverTime(PartitionId aPartition) const
{
  const bool isMoving = aPartition < mRecords.size() && mRecords[aPartition].movingSince;
  return isMoving ? mNow - *mRecords[aPartition].movingSince : Duration::zero();
}

} // namespace camphorcleat::fleet
