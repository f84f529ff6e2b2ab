// Sends messages to peers and passes received messages to the duty (thread) that handles them.
//
// Messages from this daemon to itself use the same functions without a connection, so a sender need
// not know whether the receiver is local.

#ifndef CAMPHORCLEAT_DAEMON_PEERROUTER_H_
#define CAMPHORCLEAT_DAEMON_PEERROUTER_H_

#include <set>

#include "daemon/DutyMessages.h"
#include "transport/PeerHub.h"

namespace camphorcleat::daemon {

/// The LinkId of messages that a daemon sends to itself, which use no connection.
constexpr transport::LinkId kLocalLink = 0;

/// Thread-safe after setHub().
class PeerRouter : public transport::PeerHandler
{
public:
  /// aRings must outlive the router.
  PeerRouter(NodeId aSelf, Rings& aRings)
    : mSelf(aSelf)
    , mRings(aRings)
  {
  }

  /// Sets the hub. It must outlive all calls of send() and reply(). Call before threads start.
  void setHub(transport::PeerHub* aHub) { mHub = aHub; }

  /// Sends a message to a node, which may be this node.
  transport::SendResult send(NodeId aTo, transport::Lane aLane, wire::PeerMessage aMessage);

  /// Same as send(), on any open connection to the node; see PeerHub::sendOnOpenLink().
  transport::SendResult sendOnOpenLink(NodeId aTo, transport::Lane aLane,
                                       wire::PeerMessage aMessage);

  /// Sends a message on the connection of a received message.
  transport::SendStatus reply(transport::LinkId aLink, wire::PeerMessage aMessage);

  /// Sends a message on the connections of several received messages. Returns the status of each.
  std::vector<transport::SendStatus> replyAll(const std::vector<transport::LinkId>& aLinks,
                                              const wire::PeerMessage& aMessage);

  // Overrides of PeerHandler. They run on the hub's thread.
  void onLinkOpened(transport::LinkId aLink, transport::Lane aLane, Duration aSentAt,
                    Duration aReceivedAt) override;
  void onMessage(transport::LinkId aLink, NodeId aFrom, transport::Lane aLane,
                 wire::PeerMessage aMessage) override;
  void onLinkSilent(transport::LinkId aLink, NodeId aPeer) override;
  void onLinkLost(transport::LinkId aLink, NodeId aPeer, transport::Lane aLane, bool aWasDialed,
                  bool aIsNotRun) override;

private:
  bool dispatch(ReceivedMessage aMessage);
  bool removeWaitingRequest(const RequestId& aId);
  void refuseOverloaded(transport::LinkId aLink, const RequestId& aId);

  NodeId mSelf;
  Rings& mRings;
  transport::PeerHub* mHub = nullptr;
  /// Open links of which a message for the entry was dropped, so that its requests without an
  /// answer may have had one. Hub's thread only.
  std::set<transport::LinkId> mIncompleteLinks;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_PEERROUTER_H_
