// Decisions of the target stand-in.

#include "harness/TargetModel.h"

#include <algorithm>
#include <utility>

namespace camphorcleat::harness {

namespace {

constexpr double kExcessSlowdown = 4; // Work beyond the limit takes this much longer.
constexpr std::int64_t kMaxClockOffsetMs = 1'000'000; // Any value: only its variation matters.

} // namespace

TargetModel::TargetModel(TargetSettings aSettings, TimePoint aNow)
  : mSettings(std::move(aSettings))
  , mRandom(mSettings.seed)
{
  restart(aNow);
}

unsigned TargetModel::limit(TimePoint aNow) const
{
  const Duration elapsed = aNow - mColdSince;
  if (elapsed >= mSettings.warmUp || mSettings.coldSlots >= mSettings.slots) {
    return mSettings.slots;
  }
  const double share = toSeconds(elapsed) / toSeconds(mSettings.warmUp);
  const double climb = share * static_cast<double>(mSettings.slots - mSettings.coldSlots);
  return mSettings.coldSlots + static_cast<unsigned>(std::max(0.0, climb));
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

bool TargetModel::grant(const GrantOrder& aOrder)
{
  if (aOrder.token < mGrantToken) {
    return false;
  }
  mGrantUntilClockMs = aOrder.token == mGrantToken
                         ? std::max(mGrantUntilClockMs, aOrder.validUntilClockMs)
                         : aOrder.validUntilClockMs;
  mGrantToken = aOrder.token;
  return true;
}

bool TargetModel::isFenced(TimePoint aNow, std::optional<PartitionId> aPartition,
                           std::optional<FencingToken> aFence)
{
  // The reading is rounded down, so "below" ends the grant no later than its moment.
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

Admission TargetModel::admit(TimePoint aNow, std::optional<PartitionId> aPartition,
                             std::optional<FencingToken> aFence)
{
  if (mSettings.checksGrants && isFenced(aNow, aPartition, aFence)) {
    return Admission::RefuseFence;
  }
  if (mIsDraining) {
    return Admission::RefuseDraining;
  }
  const bool isExcess = wouldExceed(aNow);
  if (isExcess && mSettings.sheds) {
    return Admission::RefuseShed;
  }
  ++mInFlight;
  return isExcess ? Admission::RunSlowly : Admission::Run;
}

Duration TargetModel::serviceTime(TimePoint aNow, std::optional<double> aOverrideMs,
                                  Admission aAdmission)
{
  double ms = aOverrideMs.value_or(mSettings.serviceTimeMs);
  if (!aOverrideMs && !mSettings.isFixedTime && ms > 0) {
    ms = std::exponential_distribution<double>(1 / ms)(mRandom);
  }
  ms *= aNow < mSlowUntil ? mSlowFactor : 1;
  ms *= aAdmission == Admission::RunSlowly ? kExcessSlowdown : 1;
  return fromSeconds(ms / 1000);
}

void TargetModel::coldStart(TimePoint aNow)
{
  mColdSince = aNow;
}

void TargetModel::restart(TimePoint aNow)
{
  mIncarnation = newIncarnation(mRandom);
  mClockOffsetMs = static_cast<std::int64_t>(mRandom() % kMaxClockOffsetMs);
  mColdSince = aNow;
  mIsDraining = false;
  mInFlight = 0;
  mGrantToken = 0;
  mGrantUntilClockMs = 0;
  mFences.clear();
  mSlowFactor = 1;
}

void TargetModel::slowDown(double aFactor, TimePoint aUntil)
{
  mSlowFactor = aFactor;
  mSlowUntil = aUntil;
}

} // namespace camphorcleat::harness
