// Detects the transitions of the target's health.

#include "daemon/TargetChartReporter.h"

namespace camphorcleat::daemon {

void TargetChartReporter::observe(TimePoint aNow, const traffic::TargetReport& aReport)
{
  if (!aReport.isReachable) {
    if (mIsReachable && mMonitor.post(TargetEvent::Unreachable)) {
      mIsReachable = false;
    }
    return;
  }
  if (!updateIncarnation(aNow, aReport)) {
    return;
  }
  if (aReport.isCold) {
    mWarmAt = aNow + aReport.warmUp;
  }
  const TargetEvent phase = phaseOf(aNow, aReport);
  if (phase != mPhase && mMonitor.post(phase)) {
    mPhase = phase;
  }
}

// Returns whether the monitor has received the event that this incarnation is reachable.
bool TargetChartReporter::updateIncarnation(TimePoint aNow, const traffic::TargetReport& aReport)
{
  // A target that does not report its incarnation may have restarted while it was unreachable.
  const bool mayHaveRestarted = !mIsReachable && aReport.incarnation == 0;
  const bool isNew = !mIsKnown || mayHaveRestarted || aReport.incarnation != mIncarnation;
  if (mIsReachable && !isNew) {
    return true;
  }
  if (!mMonitor.post(isNew ? TargetEvent::Announced : TargetEvent::Reachable)) {
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

TargetEvent TargetChartReporter::phaseOf(TimePoint aNow, const traffic::TargetReport& aReport) const
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
