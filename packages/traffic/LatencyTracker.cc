// P-square estimates of the current and the previous window.

#include "traffic/LatencyTracker.h"

namespace camphorcleat::traffic {

namespace ba = boost::accumulators;

LatencyTracker::LatencyTracker(double aQuantile, Millis aWindow)
  : mQuantile(aQuantile)
  , mWindow(aWindow)
  , mCurrent(newEstimate())
{
}

void LatencyTracker::add(TimePoint aNow, Duration aLatency)
{
  if (!mWindowStart || aNow - *mWindowStart >= mWindow) {
    if (ba::count(mCurrent) >= kMinSamples) {
      mPrevious = fromSeconds(ba::p_square_quantile(mCurrent));
    } else if (mWindowStart && aNow - *mWindowStart >= 2 * mWindow) {
      mPrevious.reset();
    }
    mCurrent = newEstimate();
    mWindowStart = aNow;
  }
  mCurrent(toSeconds(aLatency));
}

std::optional<Duration> LatencyTracker::quantile(TimePoint aNow) const
{
  if (!mWindowStart || aNow - *mWindowStart >= 2 * mWindow) {
    return std::nullopt; // All samples are too old.
  }
  if (ba::count(mCurrent) >= kMinSamples) {
    return fromSeconds(ba::p_square_quantile(mCurrent));
  }
  return mPrevious;
}

LatencyTracker::Estimate LatencyTracker::newEstimate() const
{
  return Estimate(ba::quantile_probability = mQuantile);
}

} // namespace camphorcleat::traffic
