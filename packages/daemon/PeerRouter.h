// Sends messages to peers and hands arriving ones to the duty that they are for.
//
// Messages of this daemon to itself take the same path without a connection, so that a duty need
// not know where the other one runs.

#ifndef CAMPHORCLEAT_DAEMON_PEERROUTER_H_
#define CAMPHORCLEAT_DAEMON_PEERROUTER_H_

#include "daemon/DutyMessages.h"
#include "transport/PeerHub.h"

namespace camphorcleat::daemon {

/// The link of messages that a daemon sends to itself.
constexpr transport::LinkId kLocalLink = 0;

/// Thread-safe after setHub().
class PeerRouter : public transport::PeerHandler
{
public:
  /// aRings outlives the router.
  PeerRouter(NodeId aSelf, Rings& aRings)
    : mSelf(aSelf)
    , mRings(aRings)
  {
  }

  /// Sets the hub, which outlives all calls of send() and reply(). Call before threads start.
  void setHub(transport::PeerHub* aHub) { mHub = aHub; }

  /// Sends to a node, this one included.
  transport::SendResult send(NodeId aTo, transport::Lane aLane, wire::PeerMessage aMessage);

  /// Sends back on the connection that a message came on.
  transport::SendStatus reply(transport::LinkId aLink, wire::PeerMessage aMessage);

  void onMessage(transport::LinkId aLink, NodeId aFrom, transport::Lane aLane,
                 wire::PeerMessage aMessage) override;
  void onLinkLost(transport::LinkId aLink, NodeId aPeer, transport::Lane aLane, bool aWasDialed,
                  bool aNeverOpened) override;

private:
  bool dispatch(ReceivedMessage aMessage);
  void refuseOverloaded(transport::LinkId aLink, const RequestId& aId);

  NodeId mSelf;
  Rings& mRings;
  transport::PeerHub* mHub = nullptr;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_PEERROUTER_H_
