// Exponentially decaying rates and mean run times.

#include "traffic/PartitionLoads.h"

#include <algorithm>
#include <cmath>

namespace camphorcleat::traffic {

namespace {

constexpr double kMinRate = 0.1;

// Weight of the newest run in the mean, which thus covers about the last 30 runs.
constexpr double kRunWeight = 1.0 / 32;

// Number of runs that the long-term mean covers. A busy target needs at least 5 s for them.
constexpr std::uint32_t kLongRuns = 256;

constexpr std::size_t kMaxPriorities = 32;

void addRun(double& aMean, double aSeconds)
{
  aMean = aMean == 0 ? aSeconds : aMean + kRunWeight * (aSeconds - aMean);
}

} // namespace

double PartitionLoads::decayed(const Rate& aRate, TimePoint aNow)
{
  return aRate.perSecond * std::exp(-toSeconds(aNow - aRate.updatedAt) / toSeconds(kTimeConstant));
}

void PartitionLoads::recordArrival(TimePoint aNow, PartitionId aPartition)
{
  Rate& rate = mRates[aPartition];
  rate.perSecond = decayed(rate, aNow) + 1 / toSeconds(kTimeConstant);
  rate.updatedAt = aNow;
}

void PartitionLoads::recordRun(Duration aTime, std::uint32_t aPriority)
{
  addRun(mRunSeconds, toSeconds(aTime));
  mLongRuns = std::min(mLongRuns + 1, kLongRuns);
  mLongRunSeconds += (toSeconds(aTime) - mLongRunSeconds) / mLongRuns;
  if (mRunSecondsByPriority.count(aPriority) > 0 || mRunSecondsByPriority.size() < kMaxPriorities) {
    addRun(mRunSecondsByPriority[aPriority], toSeconds(aTime));
  }
}

Duration PartitionLoads::meanRun(std::uint32_t aPriority) const
{
  const auto it = mRunSecondsByPriority.find(aPriority);
  return it == mRunSecondsByPriority.end() ? meanRun() : fromSeconds(it->second);
}

std::vector<wire::PartitionLoad> PartitionLoads::rates(TimePoint aNow)
{
  std::vector<wire::PartitionLoad> out;
  for (auto it = mRates.begin(); it != mRates.end();) {
    const double rate = decayed(it->second, aNow);
    if (rate < kMinRate) {
      it = mRates.erase(it);
      continue;
    }
    out.push_back({ it->first, rate });
    ++it;
  }
  return out;
}

} // namespace camphorcleat::traffic
