// Combines the limits of a target and detects its cold starts.

#include "traffic/AdmissionController.h"

#include <algorithm>

namespace camphorcleat::traffic {

void AdmissionController::report(TimePoint aNow, const TargetReport& aReport)
{
  const bool isBack = aReport.isReachable && !mReport.isReachable;
  const bool isNew =
    aReport.isReachable && aReport.incarnation != 0 && aReport.incarnation != mReport.incarnation;
  const bool turnsCold = aReport.isCold && !mReport.isCold;
  const Incarnation before = mReport.incarnation;
  mReport = aReport;
  if (!aReport.isReachable) {
    // The last known incarnation is kept, so that a restart during the outage is detected.
    mReport.incarnation = before;
    mReport.isCold = false;
    return;
  }
  mAdaptiveLimit.setSlots(aReport.slots);
  mRateLimit.configure(aReport.coldRequestsPerSecond);
  mRateLimit.report(aNow, aReport.coldFor);
  mSlowStart.configure(aReport.slots, aReport.coldSlots, aReport.warmUp);
  // A target that does not report its incarnation may have restarted during the outage.
  if (isNew || turnsCold || (isBack && aReport.incarnation == 0)) {
    mSlowStart.start(aNow);
  }
}

void AdmissionController::connectionReset(TimePoint aNow)
{
  mSlowStart.start(aNow);
}

void AdmissionController::shed(TimePoint aNow, std::uint32_t aInFlight, std::uint32_t aConcurrency)
{
  mAdaptiveLimit.shed(aNow, aConcurrency);
  // During a warm-up, a shed while more requests than the limit were in flight concerns requests
  // sent before the limit fell, so it does not restart the warm-up.
  if (aInFlight <= std::max(limit(aNow), mSlowStart.coldSlots()) || !mSlowStart.isWarming(aNow)) {
    mSlowStart.start(aNow);
  }
}

void AdmissionController::recordResponse(TimePoint aNow, Duration aLatency, std::uint32_t aInFlight,
                                         std::uint32_t aConcurrency)
{
  mAdaptiveLimit.recordResponse(aNow, aLatency, aInFlight, aConcurrency);
  if (mAdaptiveLimit.takeLatencyJump()) {
    mSlowStart.start(aNow);
  }
}

void AdmissionController::loadReported(TimePoint aNow, std::uint32_t aLimit)
{
  mAdaptiveLimit.loadReported(aNow, aLimit);
}

std::uint32_t AdmissionController::limit(TimePoint aNow) const
{
  return mReport.isReachable ? std::min(mAdaptiveLimit.limit(aNow), mSlowStart.limit(aNow)) : 0;
}

std::optional<TimePoint> AdmissionController::nextStep(TimePoint aNow) const
{
  if (!mReport.isReachable) {
    return std::nullopt;
  }
  const auto dispatch = mRateLimit.nextDispatch(aNow);
  const auto growth = mSlowStart.nextStep(aNow);
  return dispatch && growth ? std::min(dispatch, growth) : (dispatch ? dispatch : growth);
}

} // namespace camphorcleat::traffic
