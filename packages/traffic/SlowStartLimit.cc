// Linear growth of the limit from the cold slots to the slots.

#include "traffic/SlowStartLimit.h"

#include <algorithm>

namespace camphorcleat::traffic {

void SlowStartLimit::configure(std::uint32_t aSlots, std::uint32_t aColdSlots, Millis aWarmUp)
{
  mSlots = aSlots;
  mColdSlots = std::min(aColdSlots, aSlots);
  mWarmUp = std::max<Duration>(aWarmUp, Duration::zero());
}

void SlowStartLimit::start(TimePoint aNow)
{
  mStartedAt = aNow;
}

std::uint32_t SlowStartLimit::limit(TimePoint aNow) const
{
  if (!mStartedAt || aNow - *mStartedAt >= mWarmUp) {
    return mSlots;
  }
  const Duration elapsed = std::max(aNow - *mStartedAt, Duration::zero());
  const double share = toSeconds(elapsed) / toSeconds(mWarmUp);
  return mColdSlots + static_cast<std::uint32_t>((mSlots - mColdSlots) * share);
}

std::optional<TimePoint> SlowStartLimit::nextStep(TimePoint aNow) const
{
  const std::uint32_t now = limit(aNow);
  if (now >= mSlots) {
    return std::nullopt;
  }
  // One microsecond is added because rounding could otherwise leave the limit just below the next
  // integer.
  const double share = static_cast<double>(now + 1 - mColdSlots) / (mSlots - mColdSlots);
  return std::max(*mStartedAt + fromSeconds(toSeconds(mWarmUp) * share), aNow) + Micros(1);
}

} // namespace camphorcleat::traffic
