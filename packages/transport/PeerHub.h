// Connections between the daemons of a fleet: WebSocket with binary frames of CBOR.
//
// Every lane of a peer has its own connection, so that bulk bodies don't delay leases, and each
// side sends requests only on connections that it dialed itself; answers go back on the connection
// on which the request came. Delivery is at most once: a message that was accepted for a link is
// either delivered in order, or the loss of the link is reported.
//
// A link with requests that run, or on which nothing came since the last message, is pinged every
// pingInterval. In a fleet of n daemons each has 2n links, so idle ones are pinged by the side that
// dialed them only, and so seldom that a daemon sends a bounded number of pings a second.

#ifndef CAMPHORCLEAT_TRANSPORT_PEERHUB_H_
#define CAMPHORCLEAT_TRANSPORT_PEERHUB_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/EnumNames.h"
#include "base/Errors.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::transport {

/// Time limits are checked every fifth of the shortest one, so they act late by up to that.
struct PeerHubConfig
{
  NodeId self = kNoNode;
  Incarnation incarnation = 0;
  std::string fleet;
  std::string listenAddress; ///< "ip:port"; port 0 takes a free one.
  /// Port of all nodes if ids are made of addresses; 0: only nodes with a set address are dialed.
  unsigned short derivedAddressPort = 0;
  Millis pingInterval{ 250 };
  /// A link that is pinged after pingInterval and on which nothing comes until this time is lost.
  Millis receiveTimeout{ 750 };
  /// Pings to idle peers in all. At 80 peers each is pinged every 2 s.
  unsigned idlePingsPerSecond = 40;
  /// An accepted link that is silent for so long is lost although nothing is expected on it.
  Millis acceptedIdleTimeout{ 60000 };
  Millis connectTimeout{ 500 }; ///< From the start of dialing to the peer's Hello.
  std::size_t maxMessageBytes = 1U << 20U;
  std::size_t maxBufferedBytes = 8U << 20U; ///< Waiting on one link.
  std::size_t maxAcceptedLinks = 4096;      ///< Further connections are closed at once.
};

enum class Lane
{
  Control,
  Data,
};

/// Names one connection. Never repeats within a process; 0 means "none".
using LinkId = std::uint64_t;

enum class SendStatus
{
  Accepted,    ///< Delivered, unless onLinkLost() reports the link.
  Full,        ///< Not taken: maxBufferedBytes wait on the link already.
  Unreachable, ///< Not taken: no address or link, or the hub is stopped.
  TooLarge,    ///< Not taken: longer than maxMessageBytes.
};

struct SendResult
{
  SendStatus status = SendStatus::Unreachable;
  LinkId link = 0; ///< The link that took the message; 0 unless Accepted.
};

/// Receives messages and losses. All calls come from the hub's thread and delay its other links, so
/// they only queue work.
class PeerHandler
{
public:
  virtual ~PeerHandler() = default;

  /// A message other than Hello; those of one link arrive in the order they were sent.
  virtual void onMessage(LinkId aLink, NodeId aFrom, Lane aLane, wire::PeerMessage aMessage) = 0;

  /// A link ended; called once per link that was dialed or from which a Hello came, after its last
  /// message. aNeverOpened: nothing was sent on it, so that messages accepted for it were certainly
  /// not delivered. May run before the send() that returned the link's id has returned.
  virtual void onLinkLost(LinkId aLink, NodeId aPeer, Lane aLane, bool aWasDialed,
                          bool aNeverOpened) = 0;
};

class PeerHub
{
public:
  /// The handler outlives the hub.
  PeerHub(PeerHubConfig aConfig, PeerHandler& aHandler);

  /// Calls stop().
  ~PeerHub();

  PeerHub(const PeerHub&) = delete;
  PeerHub& operator=(const PeerHub&) = delete;

  /// Listens and starts the thread; once per hub. Fails with AddressError. Not thread-safe.
  Result<void> start();

  /// Closes all connections, reporting their loss, and joins the thread. Messages that still wait
  /// are dropped. Idempotent. Not thread-safe, and not from the handler.
  void stop();

  /// Tells where a node is ("ip:port"); an empty address removes it. A changed address closes the
  /// dialed links to the old one. Thread-safe.
  void setAddress(NodeId aNode, std::string aAddress);

  /// Whether the dialed connection is open. Thread-safe.
  bool isConnected(NodeId aNode, Lane aLane) const;

  /// Sends on the dialed connection. Dials it on demand; messages wait meanwhile, and after a
  /// failed dial the next one begins 20 ms to 500 ms later. Encodes on the caller's thread and
  /// never blocks on the network. Thread-safe.
  SendResult send(NodeId aNode, Lane aLane, const wire::PeerMessage& aMessage);

  /// Sends on a link from which a message came. Thread-safe.
  SendStatus reply(LinkId aLink, const wire::PeerMessage& aMessage);

  /// Bytes of messages taken for sending, of one alternative of wire::PeerMessage. Thread-safe.
  std::uint64_t sentBytes(std::size_t aMessageIndex) const;

  /// The port that is listened on; 0 before start(). Thread-safe after start().
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
