// Turns the agent's lease into events of lease-holder.scxml.
//
// Compares the agent's state with what was last reported, so that a dropped event is reported again
// with the next call.

#ifndef CAMPHORCLEAT_DAEMON_LEASEFEED_H_
#define CAMPHORCLEAT_DAEMON_LEASEFEED_H_

#include "daemon/ChartBoard.h"
#include "fleet/NodeAgent.h"

namespace camphorcleat::daemon {

/// Not thread-safe.
class LeaseFeed
{
public:
  /// The board outlives the feed.
  LeaseFeed(ChartBoard& aBoard, NodeId aSelf)
    : mBoard(aBoard)
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

  ChartBoard& mBoard;
  NodeId mSelf;
  Incarnation mIncarnation = 0;
  Phase mPhase = Phase::Unregistered;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_LEASEFEED_H_
