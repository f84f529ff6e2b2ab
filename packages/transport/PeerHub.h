// Message transport between the daemons of a fleet: WebSocket connections that carry binary frames
// of CBOR.
//
// A link is one such connection, from the request to dial it until its loss is reported. Each lane
// of a peer has a link of its own, so that large request bodies don't delay lease messages. A
// daemon sends callers' requests only on links that it dialed and replies on the link on which the
// request arrived. Delivery is at most once: the messages accepted for a link are delivered in
// order, or the loss of the link is reported.
//
// Both sides ping a link every pingInterval while requests run on it. The side that dialed it also
// does so while it has received nothing since it last sent a message. In a fleet of n daemons each
// daemon has 2n links. Idle links are therefore pinged only by the side that dialed them, at an
// interval that grows with their number, so that a daemon sends at most idlePingsPerSecond pings
// per second on them.

#ifndef CAMPHORCLEAT_TRANSPORT_PEERHUB_H_
#define CAMPHORCLEAT_TRANSPORT_PEERHUB_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/EnumNames.h"
#include "base/Errors.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::transport {

/// Configures a PeerHub. Time limits are checked at a fifth of the shortest one, but not more often
/// than every 5 ms, so they take effect late by up to that interval. After a link to a peer has
/// exceeded connectTimeout or receiveTimeout, the limit of the next one is twice as long, up to
/// eight times; it is halved each time a link has been open for timeoutHalvingInterval.
struct PeerHubConfig
{
  NodeId self = kNoNode;
  Incarnation incarnation = 0;
  std::string fleet;
  std::string listenAddress; ///< "ip:port"; port 0 selects a free port.
  /// Port of all nodes if node ids are derived from addresses (NodeAddress.h). 0: only nodes that
  /// have an address from setAddress() are dialed.
  unsigned short derivedAddressPort = 0;
  Millis pingInterval{ 250 };
  /// A link is silent if nothing is received for receiveTimeout - pingInterval after a ping. A link
  /// that is pinged after pingInterval is thus silent this long after bytes were last received. It
  /// is closed, or retired if requests run on it: see PeerHandler::onLinkSilent(). Must be greater
  /// than pingInterval.
  Millis receiveTimeout{ 750 };
  /// Limit of the pings per second on all idle links together. With the default, each of 80 dialed
  /// links is pinged every 2 s.
  unsigned idlePingsPerSecond = 40;
  /// An accepted link on which nothing is received for this time is lost even if no request runs on
  /// it, since only the dialing side pings idle links. A retired link is lost after this time, too.
  Millis acceptedIdleTimeout{ 60000 };
  /// From the start of the dial to the peer's Hello. From accepting, it is four times as long.
  Millis connectTimeout{ 500 };
  /// The doubled limits of a peer are halved each time a link to it has been open for this time.
  Millis timeoutHalvingInterval{ 10000 };
  /// Room for an operator's command with the largest document, or for a log entry that contains it.
  std::size_t maxMessageBytes = 4U << 20U;
  std::size_t maxBufferedBytes = 8U << 20U; ///< Bytes waiting to be sent on one link.
  std::size_t maxAcceptedLinks = 4096;      ///< Connections above this limit are closed.
};

/// Class of messages with a link of its own to each peer.
enum class Lane
{
  Control, ///< Leases and other control messages.
  Data,    ///< Requests, responses and their bodies.
};

/// Identifies one link. Ids aren't reused within a process; 0 means "none".
using LinkId = std::uint64_t;

enum class SendStatus
{
  Accepted, ///< The message is delivered unless onLinkLost() reports the link.
  Full,     ///< Not accepted: maxBufferedBytes already wait on the link.
  /// Not accepted: there is no address or link, the latest dial of the data lane failed, or the hub
  /// is stopped.
  Unreachable,
  TooLarge, ///< Not accepted: longer than maxMessageBytes.
};

struct SendResult
{
  SendStatus status = SendStatus::Unreachable;
  LinkId link = 0; ///< The link that accepted the message; 0 unless Accepted.
};

/// Receives messages and reports of lost links. The hub calls all methods on its own thread, and
/// its other links are delayed meanwhile, so implementations only queue work.
class PeerHandler
{
public:
  virtual ~PeerHandler() = default;

  /// Reports that a link is open, before its first message. aSentAt and aReceivedAt are when its
  /// Hello was sent and received, on the clocks of the sender's VM and of this one since their
  /// boot.
  virtual void onLinkOpened(LinkId aLink, Lane aLane, Duration aSentAt, Duration aReceivedAt) = 0;

  /// Handles a message other than Hello. The messages of one link arrive in the order in which they
  /// were sent.
  virtual void onMessage(LinkId aLink, NodeId aFrom, Lane aLane, wire::PeerMessage aMessage) = 0;

  /// Reports that nothing arrives on a data link on which requests run, without a sign that its
  /// peer has ended. The link is kept until these requests have ended, because their responses may
  /// still arrive; new messages to the peer use another one. Called once for a link, before it is
  /// reported as lost.
  virtual void onLinkSilent(LinkId /*aLink*/, NodeId /*aPeer*/) {}

  /// Reports that a link is lost. Called once, after the link's last message, for each link that
  /// was dialed or from which a Hello arrived. aIsNotRun: the peer has run none of the requests
  /// that it hasn't answered and won't, because the link never opened or the peer has said goodbye.
  /// May run before the send() that returns the link's id has returned.
  virtual void onLinkLost(LinkId aLink, NodeId aPeer, Lane aLane, bool aWasDialed,
                          bool aIsNotRun) = 0;
};

class PeerHub
{
public:
  /// aHandler must outlive the hub.
  PeerHub(PeerHubConfig aConfig, PeerHandler& aHandler);

  /// Stops the hub as stop() does.
  ~PeerHub();

  PeerHub(const PeerHub&) = delete;
  PeerHub& operator=(const PeerHub&) = delete;

  /// Starts listening and starts the hub's thread. Called at most once per hub. Fails with
  /// AddressError. Not thread-safe.
  Result<void> start();

  /// Drops messages that arrive from now on. When it has returned, the handler gets no more of
  /// them. Not thread-safe; must not be called from the handler.
  void stopReceiving();

  /// Refuses new messages, writes those that were accepted for open links, closes all links when
  /// their peers have read them or after 200 ms, reports their loss and joins the hub's thread.
  /// Says goodbye to the peers whose requests are all answered, as far as the handler got them.
  /// Messages that arrive meanwhile, or that wait for a link to open, are dropped. Idempotent. Not
  /// thread-safe; must not be called from the handler.
  void stop();

  /// Sets the address ("ip:port") of a node; an empty address removes it. If the address changes,
  /// the links dialed to the old one are closed. Thread-safe.
  void setAddress(NodeId aNode, std::string aAddress);

  /// Returns whether the dialed link to the node is open. Thread-safe.
  bool isConnected(NodeId aNode, Lane aLane) const;

  /// Sends a message on the dialed link to the node. Dials the link if there is none; messages wait
  /// until it is open. After a lost link or a failed dial the next dial starts 20 ms to 500 ms
  /// later, a delay that doubles until a dial succeeds. Encodes on the calling thread and never
  /// blocks on the network. Thread-safe.
  SendResult send(NodeId aNode, Lane aLane, const wire::PeerMessage& aMessage);

  /// Sends a message that expects a reply on the dialed link to the node or, if that isn't open, on
  /// one that the node has dialed, which saves the dial. Dials if there is neither. The loss of the
  /// message is reported only with that of the link, so the sender needs a time limit. Thread-safe.
  SendResult sendOnOpenLink(NodeId aNode, Lane aLane, const wire::PeerMessage& aMessage);

  /// Sends a message on a link on which a message was received, or which send() returned.
  /// Thread-safe.
  SendStatus reply(LinkId aLink, const wire::PeerMessage& aMessage);

  /// Sends a message on several such links and encodes it once. Returns the status of each link, in
  /// the same order. Thread-safe.
  std::vector<SendStatus> replyAll(const std::vector<LinkId>& aLinks,
                                   const wire::PeerMessage& aMessage);

  /// Returns for how long the Hello of a link may have waited, on its way or unread: the time since
  /// this side sent what the peer had to receive first. Only in calls of onLinkOpened().
  Duration maxHelloWait() const;

  /// Returns the bytes of the messages passed to the methods above, except those that are TooLarge,
  /// for one alternative of wire::PeerMessage. aMessageIndex is its index in the variant.
  /// Thread-safe.
  std::uint64_t sentBytes(std::size_t aMessageIndex) const;

  /// Returns the port on which the hub listens; 0 before start(). Thread-safe after start().
  unsigned short port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace camphorcleat::transport

namespace camphorcleat {

template<>
struct EnumNames<transport::Lane>
{
  static constexpr EnumName<transport::Lane> kTable[] = {
    { transport::Lane::Control, "control" },
    { transport::Lane::Data, "data" },
  };
};

template<>
struct EnumNames<transport::SendStatus>
{
  static constexpr EnumName<transport::SendStatus> kTable[] = {
    { transport::SendStatus::Accepted, "accepted" },
    { transport::SendStatus::Full, "full" },
    { transport::SendStatus::Unreachable, "unreachable" },
    { transport::SendStatus::TooLarge, "too_large" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_TRANSPORT_PEERHUB_H_
