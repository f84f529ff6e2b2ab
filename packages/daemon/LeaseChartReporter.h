// Posts events of lease-holder.scxml when the agent's lease changes.
//
// Compares the agent's state with the last state reported, so that a dropped event is posted again
// with the next call.

#ifndef CAMPHORCLEAT_DAEMON_LEASECHARTREPORTER_H_
#define CAMPHORCLEAT_DAEMON_LEASECHARTREPORTER_H_

#include "daemon/ChartMonitor.h"
#include "fleet/NodeAgent.h"

namespace camphorcleat::daemon {

/// Not thread-safe.
class LeaseChartReporter
{
public:
  /// aMonitor must outlive the reporter.
  LeaseChartReporter(ChartMonitor& aMonitor, NodeId aSelf)
    : mMonitor(aMonitor)
    , mSelf(aSelf)
  {
  }

  /// Reports changes since the last call. Does at most one look-up in the model.
  void observe(TimePoint aNow, const fleet::NodeAgent& aAgent);

private:
  enum class Phase
  {
    Unregistered,
    Registering,
    Held,
    Expired,
  };

  void report(LeaseEvent aEvent, Phase aNext);

  ChartMonitor& mMonitor;
  NodeId mSelf;
  Incarnation mIncarnation = 0; // As of the last call of observe().
  Phase mPhase = Phase::Unregistered;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_LEASECHARTREPORTER_H_
