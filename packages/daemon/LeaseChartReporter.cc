// Detects the transitions of the lease.

#include "daemon/LeaseChartReporter.h"

namespace camphorcleat::daemon {

void LeaseChartReporter::observe(TimePoint aNow, const fleet::NodeAgent& aAgent)
{
  const bool isHeld = aNow < aAgent.leaseValidUntil();
  // A lease belongs to one incarnation, so a new incarnation ends the phase of the earlier one.
  if (aAgent.incarnation() != mIncarnation && mPhase != Phase::Unregistered) {
    report(LeaseEvent::Refused, Phase::Unregistered);
    if (mPhase != Phase::Unregistered) {
      return;
    }
  }
  mIncarnation = aAgent.incarnation();
  if (isHeld && mPhase != Phase::Held) {
    report(LeaseEvent::Granted, Phase::Held);
  } else if (!isHeld && mPhase == Phase::Held) {
    report(LeaseEvent::Expired, Phase::Expired);
  } else if (mPhase == Phase::Unregistered && aAgent.revision() > 0) {
    const wire::Node* self = aAgent.model()->node(mSelf);
    if (self == nullptr || self->incarnation != mIncarnation) {
      report(LeaseEvent::Registering, Phase::Registering);
    }
  }
}

void LeaseChartReporter::report(LeaseEvent aEvent, Phase aNext)
{
  if (mMonitor.post(aEvent)) {
    mPhase = aNext;
  }
}

} // namespace camphorcleat::daemon
