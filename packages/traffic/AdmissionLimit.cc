// Additive increase, multiplicative decrease of the requests in flight.

#include "traffic/AdmissionLimit.h"

#include <algorithm>

namespace camphorcleat::traffic {

namespace {

constexpr double kSmoothing = 0.125;  // Weight of a new sample, as in TCP's round-trip estimate.
constexpr unsigned kLeastSamples = 8; // Fewer samples don't make a trend.

} // namespace

void AdmissionLimit::setSlots(std::uint32_t aSlots)
{
  if (mSlots == 0) {
    mLimit = aSlots;
  }
  mSlots = aSlots;
  mLimit = std::min<double>(mLimit, mSlots);
}

std::uint32_t AdmissionLimit::limit(TimePoint aNow) const
{
  if (mSlots == 0) {
    return 0;
  }
  double limit = std::min<double>(mLimit, mSlots);
  if (mReportedAt && aNow - *mReportedAt < mConfig.reportLifetime) {
    limit = std::min<double>(limit, mReportedLimit);
  }
  return static_cast<std::uint32_t>(std::max(limit, 1.0));
}

void AdmissionLimit::answered(TimePoint aNow, Duration aLatency, std::uint32_t aInFlight)
{
  updateFloor(aNow, aLatency);
  const double sample = toSeconds(aLatency);
  const double smoothed =
    mSmoothedSeconds ? *mSmoothedSeconds + kSmoothing * (sample - *mSmoothedSeconds) : sample;
  mSmoothedSeconds = smoothed;
  ++mSamples;
  const double floor = toSeconds(std::max<Duration>(*floorLatency(), mConfig.leastFloor));
  if (mSamples >= kLeastSamples && smoothed > mConfig.latencyFactor * floor) {
    decrease(aNow);
  } else if (aInFlight + 1 >= limit(aNow)) {
    // Only a limit that is in use grows; otherwise nothing shows that the target can take more.
    mLimit = std::min<double>(mLimit + 1 / std::max(mLimit, 1.0), mSlots);
  }
}

void AdmissionLimit::shed(TimePoint aNow)
{
  decrease(aNow);
}

void AdmissionLimit::reported(TimePoint aNow, std::uint32_t aLimit)
{
  mReportedLimit = aLimit;
  mReportedAt = aNow;
}

bool AdmissionLimit::takeLatencyJump()
{
  if (mSamples < kLeastSamples) {
    return false;
  }
  const double floor = toSeconds(std::max<Duration>(*floorLatency(), mConfig.leastFloor));
  if (*mSmoothedSeconds <= mConfig.jumpFactor * floor) {
    return false;
  }
  mSmoothedSeconds.reset();
  mSamples = 0;
  return true;
}

std::optional<Duration> AdmissionLimit::floorLatency() const
{
  if (mWindowFloor && mPreviousFloor) {
    return std::min(*mWindowFloor, *mPreviousFloor);
  }
  return mWindowFloor ? mWindowFloor : mPreviousFloor;
}

void AdmissionLimit::decrease(TimePoint aNow)
{
  if (mDecreasedAt && aNow - *mDecreasedAt < mConfig.decreaseInterval) {
    return;
  }
  mDecreasedAt = aNow;
  mLimit = std::max(mLimit * mConfig.decreaseFactor, 1.0);
}

void AdmissionLimit::updateFloor(TimePoint aNow, Duration aLatency)
{
  if (!mWindowFloor || aNow - mWindowStart >= mConfig.floorWindow) {
    mPreviousFloor = mWindowFloor;
    mWindowFloor = aLatency;
    mWindowStart = aNow;
  }
  mWindowFloor = std::min(*mWindowFloor, aLatency);
}

} // namespace camphorcleat::traffic
