// Edges of the target's health.

#include "daemon/TargetFeed.h"

namespace camphorcleat::daemon {

void TargetFeed::observe(TimePoint aNow, const traffic::TargetReport& aReport)
{
  if (!aReport.isReachable) {
    if (mIsReachable && mBoard.post(TargetEvent::Unreachable)) {
      mIsReachable = false;
    }
    return;
  }
  if (!noteIncarnation(aNow, aReport)) {
    return;
  }
  if (aReport.isCold) {
    mWarmAt = aNow + aReport.warmUp;
  }
  const TargetEvent phase = phaseOf(aNow, aReport);
  if (phase != mPhase && mBoard.post(phase)) {
    mPhase = phase;
  }
}

// Returns whether the board knows that this incarnation answers.
bool TargetFeed::noteIncarnation(TimePoint aNow, const traffic::TargetReport& aReport)
{
  // A target that does not tell its incarnation may have restarted during an outage.
  const bool isUntold = !mIsReachable && aReport.incarnation == 0;
  const bool isNew = !mIsKnown || isUntold || aReport.incarnation != mIncarnation;
  if (mIsReachable && !isNew) {
    return true;
  }
  if (!mBoard.post(isNew ? TargetEvent::Announced : TargetEvent::Back)) {
    return false;
  }
  if (isNew) {
    mWarmAt = aNow + aReport.warmUp;
  }
  mIsKnown = true;
  mIsReachable = true;
  mIncarnation = aReport.incarnation;
  mPhase.reset();
  return true;
}

TargetEvent TargetFeed::phaseOf(TimePoint aNow, const traffic::TargetReport& aReport) const
{
  if (aReport.isDraining) {
    return TargetEvent::Draining;
  }
  if (aReport.isCold) {
    return TargetEvent::Cold;
  }
  return aNow < mWarmAt ? TargetEvent::Warming : TargetEvent::Warm;
}

} // namespace camphorcleat::daemon
