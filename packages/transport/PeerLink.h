// State of the links between peers. Internal to the package.

#ifndef CAMPHORCLEAT_TRANSPORT_PEERLINK_H_
#define CAMPHORCLEAT_TRANSPORT_PEERLINK_H_

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "transport/PeerHub.h"
#include "transport/PeerSocket.h"

namespace camphorcleat::transport {

/// Start or end of a request on a link, as conveyed by a message.
struct RequestEvent
{
  enum class Kind
  {
    None,
    Started,
    Ended,
    Cancelled,
  };
  Kind kind = Kind::None;
  RequestId request{};
};

/// Returns the event that a message conveys, which is the same for sender and receiver. Never
/// fails. Thread-safe.
RequestEvent requestEventOf(const wire::PeerMessage& aMessage);

/// An encoded message that waits for its link.
struct WaitingMessage
{
  std::string bytes;
  RequestEvent event;
};

/// A received message that isn't passed to the handler yet.
struct HeldMessage
{
  wire::PeerMessage message;
  TimePoint readAt;
};

/// One link: its state, its queue and, while there is one, its connection.
struct PeerLink
{
  PeerLink(LinkId aId, bool aWasDialed)
    : id(aId)
    , wasDialed(aWasDialed)
  {
  }

  const LinkId id;
  const bool wasDialed;

  // Guarded by the mutex of PeerLinkTable. Only the hub's thread changes peer, lane and isOpen, so
  // it reads these three without the mutex.
  NodeId peer = kNoNode;
  Lane lane = Lane::Control;
  bool isOpen = false; ///< The peer's Hello has been accepted.
  bool isFlushPosted = false;
  std::vector<WaitingMessage> outbox;
  std::size_t outboxBytes = 0;
  std::size_t socketBytes = 0;           ///< Passed to the connection and not written yet.
  std::unordered_set<RequestId> running; ///< Requests whose end hasn't been sent or received yet.
  /// Messages that expect a reply were sent on this accepted link. Any thread.
  std::atomic<bool> expectsReplies{ false };

  // Accessed on the hub's thread only.
  std::shared_ptr<PeerSocket> socket;
  TimePoint handshakeDeadline = TimePoint::max();
  /// When it was dialed, or when its handshake was received: the peer's Hello was sent later.
  TimePoint setUpSince;
  TimePoint stableSince; ///< When the link opened or its time limits were last halved.
  TimePoint lastSent;
  TimePoint lastPing;
  /// Time of the first ping after bytes were last received. If none was sent since, it isn't later
  /// than PeerSocket::lastReceived().
  TimePoint firstUnansweredPing;
  bool isLost = false;
  bool isRetired = false; ///< It was silent, and is kept for the requests that run on it.
  bool hasPeerSaidGoodbye = false;
  bool hasStoppedSending = false; ///< The sending side of its connection is shut down.
  /// From the first request that was read late until the bytes that arrived behind it are read.
  std::vector<HeldMessage> held;
};

/// The links of a hub, shared between the hub's thread and the sending threads. All methods are
/// thread-safe.
class PeerLinkTable
{
public:
  /// Identifies a dialed link by its peer.
  using Key = std::pair<NodeId, Lane>;

  /// Result of queueing a message, and what the hub's thread has to do next.
  struct QueueResult
  {
    SendResult result;
    std::shared_ptr<PeerLink> link;
    bool needsDial = false;  ///< The link is new and has to be dialed.
    bool needsFlush = false; ///< The hub's thread has to flush the link.
  };

  /// If aDerivedAddressPort isn't 0, the address of a node without an entry from setAddress() is
  /// derived from its id and this port.
  explicit PeerLinkTable(std::size_t aMaxBufferedBytes, unsigned short aDerivedAddressPort = 0)
    : mMaxBufferedBytes(aMaxBufferedBytes)
    , mDerivedAddressPort(aDerivedAddressPort)
  {
  }

  /// Queues a message for the dialed link of a peer, which is created if there is none. If the
  /// latest dial of the peer's data lane failed, messages for that lane are refused immediately,
  /// since they would wait for the next dial to fail. Control messages wait, because their senders
  /// have timers of their own.
  QueueResult queueForPeer(const Key& aKey, std::string aBytes, const RequestEvent& aEvent = {});

  /// Queues a message that expects a reply for any open link of a peer and lane. If there is none,
  /// same as queueForPeer().
  QueueResult queueForOpenLink(const Key& aKey, std::string aBytes);

  /// Queues a message for a link that is open or being dialed; Unreachable if there is no such
  /// link.
  QueueResult queueForLink(LinkId aLink, std::string aBytes, const RequestEvent& aEvent = {});

  /// Records the event that a received message conveys.
  void recordRequestEvent(PeerLink& aLink, const RequestEvent& aEvent);

  /// Returns whether requests run on the link.
  bool hasRunningRequests(const PeerLink& aLink) const;

  /// Removes and returns all messages that wait on an open link, and counts their bytes as passed
  /// to the connection.
  std::vector<WaitingMessage> takeOutbox(PeerLink& aLink);

  /// Sets how many bytes the connection has not written yet.
  void setSocketBytes(PeerLink& aLink, std::size_t aBytes);

  /// Adds a link for an accepted connection, whose peer isn't known yet.
  std::shared_ptr<PeerLink> addAccepted();

  /// Sets the lane of an accepted link, which the path of its handshake states.
  void setLane(PeerLink& aLink, Lane aLane);

  /// Marks a link as open and returns whether messages wait on it.
  bool markOpen(PeerLink& aLink, NodeId aPeer);

  /// Excludes a link from the choice for new messages. Those for this link in particular are still
  /// accepted.
  void retire(const PeerLink& aLink);

  /// Removes a link together with its waiting messages. A dialed link that never opened marks its
  /// peer and lane as unreachable.
  void remove(PeerLink& aLink);

  /// Returns whether the dialed link of a peer is open.
  bool isConnected(const Key& aKey) const;

  /// Returns all links, dialed and accepted, open or not.
  std::vector<std::shared_ptr<PeerLink>> all() const;

  /// Returns whether there are no links, open or not.
  bool isEmpty() const;

  /// Returns the number of accepted links, open or not.
  std::size_t acceptedCount() const;

  /// Sets the address of a node; empty removes it. If it changes, returns the links dialed to the
  /// old one, which the caller has to close.
  std::vector<std::shared_ptr<PeerLink>> setAddress(NodeId aNode, std::string aAddress);
  /// Returns the address at which a node is dialed; empty if there is none.
  std::string address(NodeId aNode) const;

  /// Makes all later messages fail with Unreachable.
  void close();

private:
  QueueResult queueLocked(const std::shared_ptr<PeerLink>& aLink, std::string aBytes,
                          const RequestEvent& aEvent);
  static bool removeWaitingLocked(PeerLink& aLink, const RequestId& aRequest);
  static void recordLocked(PeerLink& aLink, const RequestEvent& aEvent);

  const std::size_t mMaxBufferedBytes;
  const unsigned short mDerivedAddressPort;
  mutable std::mutex mMutex;
  std::map<NodeId, std::string> mAddresses;
  std::map<Key, std::shared_ptr<PeerLink>> mDialed;
  std::map<Key, std::shared_ptr<PeerLink>> mAccepted; // The latest open one of each peer and lane.
  // Keys whose latest dial failed. At most two for each node that was ever dialed.
  std::set<Key> mUnreachable;
  std::map<LinkId, std::shared_ptr<PeerLink>> mLinks;
  std::size_t mAcceptedCount = 0;
  bool mIsClosed = false;
};

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_PEERLINK_H_
