// Additive increase and multiplicative decrease of the limit on requests in flight.

#include "traffic/AdmissionLimit.h"

#include <algorithm>

namespace camphorcleat::traffic {

namespace {

// The smoothed latency is the plain mean of the first samples. From then on, a new sample has this
// weight. If one sample in ten is 50 times slower than the others, the smoothed latency stays
// within a third of its mean.
constexpr double kMinWeight = 1.0 / 64;
constexpr unsigned kMinSamples = 32; // Fewer samples are too noisy to act on.

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

void AdmissionLimit::recordResponse(TimePoint aNow, Duration aLatency, std::uint32_t aInFlight,
                                    std::uint32_t aConcurrency)
{
  mMinusAccepted.add(aNow, -static_cast<double>(aConcurrency));
  const double sample = toSeconds(aLatency);
  mMinSeconds.add(aNow, sample);
  ++mSamples;
  mSmoothedSeconds += std::max(1.0 / mSamples, kMinWeight) * (sample - mSmoothedSeconds);
  if (mSamples >= kMinSamples) {
    mFloorSeconds.add(aNow, mSmoothedSeconds);
  }
  if (isAboveFloor(mConfig.latencyFactor)) {
    decrease(aNow, LimitDecreaseCause::Latency);
  } else if (aInFlight + 1 >= limit(aNow)) {
    // The limit grows only while it is fully used. Otherwise there is no evidence that the target
    // can serve more.
    mLimit = std::min<double>(mLimit + 1 / std::max(mLimit, 1.0), mSlots);
  }
}

void AdmissionLimit::shed(TimePoint aNow, std::uint32_t aConcurrency)
{
  mMinusAccepted.add(aNow, 0); // Lets the window expire if no request is accepted any more.
  if (aConcurrency > -*mMinusAccepted.value()) {
    decrease(aNow, LimitDecreaseCause::Shed);
  }
}

void AdmissionLimit::loadReported(TimePoint aNow, std::uint32_t aLimit)
{
  mReportedLimit = aLimit;
  mReportedAt = aNow;
}

bool AdmissionLimit::takeLatencyJump()
{
  if (!isAboveFloor(mConfig.jumpFactor)) {
    return false;
  }
  mSamples = 0;
  return true;
}

std::optional<Duration> AdmissionLimit::minLatency() const
{
  const auto least = mMinSeconds.value();
  return least ? std::make_optional(fromSeconds(*least)) : std::nullopt;
}

bool AdmissionLimit::isAboveFloor(double aFactor) const
{
  const auto floor = mFloorSeconds.value();
  return mSamples >= kMinSamples && floor &&
         mSmoothedSeconds > aFactor * std::max(*floor, toSeconds(mConfig.minFloor));
}

void AdmissionLimit::decrease(TimePoint aNow, LimitDecreaseCause aCause)
{
  if (mDecreasedAt && aNow - *mDecreasedAt < mConfig.decreaseInterval) {
    return;
  }
  mDecreasedAt = aNow;
  ++mDecreases;
  mLastDecreaseCause = aCause;
  mLimit = std::max(mLimit * mConfig.decreaseFactor, 1.0);
}

} // namespace camphorcleat::traffic
