// Turns the agent's lease into events of lease-holder.scxml.
//
// Compares the agent's state with what was last reported, so that a dropped event is reported again
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
  /// The board outlives the feed.
  LeaseChartReporter(ChartMonitor& aMonitor, NodeId aSelf)
    : mMonitor(aMonitor)
    , mSelf(aSelf)
  {
  }

  /// Reports what changed since the last call. Costs no more than one look-up in the model.
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
  Incarnation mIncarnation = 0;
  Phase mPhase = Phase::Unregistered;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_LEASECHARTREPORTER_H_
