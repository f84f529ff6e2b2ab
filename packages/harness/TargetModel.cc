// Concurrency limit, grant checks and service times of the target stand-in.

#include "harness/TargetModel.h"

#include <algorithm>
#include <utility>

namespace camphorcleat::harness {

namespace {

// Factor on the service time of requests above the concurrency limit.
constexpr double kOverLimitSlowdown = 4;
// The size of the clock offset doesn't matter, only that it differs between incarnations.
constexpr std::int64_t kMaxClockOffsetMs = 1'000'000;

} // namespace

TargetModel::TargetModel(TargetSettings aSettings, TimePoint aNow)
  : mSettings(std::move(aSettings))
  , mRandom(mSettings.seed)
{
  restart(aNow);
}

unsigned TargetModel::limit(TimePoint aNow) const
{
  const Duration elapsed = aNow - mColdStartedAt;
  if (elapsed >= mSettings.warmUp || mSettings.coldSlots >= mSettings.slots) {
    return mSettings.slots;
  }
  const double fraction = toSeconds(elapsed) / toSeconds(mSettings.warmUp);
  const double increase = fraction * static_cast<double>(mSettings.slots - mSettings.coldSlots);
  return mSettings.coldSlots + static_cast<unsigned>(std::max(0.0, increase));
}

TargetPhase TargetModel::phase(TimePoint aNow) const
{
  if (mIsDraining) {
    return TargetPhase::Draining;
  }
  if (limit(aNow) >= mSettings.slots) {
    return TargetPhase::Serving;
  }
  return limit(aNow) > mSettings.coldSlots ? TargetPhase::Warming : TargetPhase::Cold;
}

TargetHealth TargetModel::health(TimePoint aNow) const
{
  TargetHealth out;
  out.incarnation = mIncarnation;
  out.clockMs = clockMs(aNow);
  out.service = mSettings.service;
  out.slots = mSettings.slots;
  out.coldSlots = mSettings.coldSlots;
  out.warmUp = mSettings.warmUp;
  out.checksGrants = mSettings.checksGrants;
  out.state = phase(aNow);
  out.inFlight = mInFlight;
  out.load = static_cast<double>(mInFlight) / std::max(1U, limit(aNow));
  return out;
}

std::int64_t TargetModel::clockMs(TimePoint aNow) const
{
  return toMillis(aNow.time_since_epoch()) + mClockOffsetMs;
}

bool TargetModel::applyGrant(const GrantRequest& aRequest)
{
  if (aRequest.token < mGrantToken) {
    return false;
  }
  mGrantUntilClockMs = aRequest.token == mGrantToken
                         ? std::max(mGrantUntilClockMs, aRequest.validUntilClockMs)
                         : aRequest.validUntilClockMs;
  mGrantToken = aRequest.token;
  return true;
}

// Returns whether the grant or the fence forbids a request. Otherwise remembers the fence of its
// partition.
bool TargetModel::isFenced(TimePoint aNow, std::optional<PartitionId> aPartition,
                           std::optional<FencingToken> aFence)
{
  // clockMs() rounds down and a grant is valid only while the reading is below its end, so the
  // grant never outlasts its end.
  if (clockMs(aNow) >= mGrantUntilClockMs) {
    return true;
  }
  if (!aPartition) {
    return false;
  }
  if (!aFence || *aFence < mFences[*aPartition]) {
    return true;
  }
  mFences[*aPartition] = *aFence;
  return false;
}

AdmissionDecision TargetModel::admit(TimePoint aNow, std::optional<PartitionId> aPartition,
                                     std::optional<FencingToken> aFence)
{
  if (mSettings.checksGrants && isFenced(aNow, aPartition, aFence)) {
    return AdmissionDecision::RefuseFenced;
  }
  if (mIsDraining) {
    return AdmissionDecision::RefuseDraining;
  }
  const bool isExcess = isAtLimit(aNow);
  if (isExcess && mSettings.shedsLoad) {
    return AdmissionDecision::RefuseShed;
  }
  ++mInFlight;
  return isExcess ? AdmissionDecision::RunOverLimit : AdmissionDecision::Run;
}

Duration TargetModel::serviceTime(TimePoint aNow, std::optional<double> aOverrideMs,
                                  AdmissionDecision aDecision)
{
  double ms = aOverrideMs.value_or(mSettings.serviceTimeMs);
  if (!aOverrideMs && !mSettings.hasFixedServiceTime && ms > 0) {
    ms = std::exponential_distribution<double>(1 / ms)(mRandom);
  }
  ms *= aNow < mSlowdownEnd ? mSlowdownFactor : 1;
  ms *= aDecision == AdmissionDecision::RunOverLimit ? kOverLimitSlowdown : 1;
  return fromSeconds(ms / 1000);
}

void TargetModel::coldStart(TimePoint aNow)
{
  mColdStartedAt = aNow;
}

void TargetModel::restart(TimePoint aNow)
{
  mIncarnation = newIncarnation(mRandom);
  mClockOffsetMs = static_cast<std::int64_t>(mRandom() % kMaxClockOffsetMs);
  mColdStartedAt = aNow;
  mIsDraining = false;
  mInFlight = 0;
  mGrantToken = 0;
  mGrantUntilClockMs = 0;
  mFences.clear();
  mSlowdownFactor = 1;
}

void TargetModel::setSlowdown(double aFactor, TimePoint aUntil)
{
  mSlowdownFactor = aFactor;
  mSlowdownEnd = aUntil;
}

} // namespace camphorcleat::harness
