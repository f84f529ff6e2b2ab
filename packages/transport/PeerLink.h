// State of one connection between peers. Internal to the package.

#ifndef CAMPHORCLEAT_TRANSPORT_PEERLINK_H_
#define CAMPHORCLEAT_TRANSPORT_PEERLINK_H_

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

/// What a message says about requests that run on its link.
struct RequestEvent
{
  enum class Kind
  {
    None,
    Started,
    Ended,
  };
  Kind kind = Kind::None;
  RequestId request{};
};

/// The same in both directions. Never fails. Thread-safe.
RequestEvent requestEventOf(const wire::PeerMessage& aMessage);

struct PeerLink
{
  PeerLink(LinkId aId, bool aWasDialed)
    : id(aId)
    , wasDialed(aWasDialed)
  {
  }

  const LinkId id;
  const bool wasDialed;

  // Guarded by the mutex of PeerLinkTable, except that the hub's thread, which alone changes peer,
  // lane and isOpen, reads those three without it.
  NodeId peer = kNoNode;
  Lane lane = Lane::Control;
  bool isOpen = false; ///< The peer's Hello was accepted.
  bool isFlushPosted = false;
  std::vector<std::string> outbox;
  std::size_t outboxBytes = 0;
  std::size_t socketBytes = 0;           ///< Given to the connection and not written yet.
  std::unordered_set<RequestId> running; ///< Requests whose end wasn't sent or received yet.

  // Hub's thread only.
  std::shared_ptr<PeerSocket> socket;
  TimePoint handshakeDeadline = TimePoint::max();
  TimePoint lastSent;
  TimePoint lastPing;
  TimePoint
    firstUnansweredPing; ///< The first ping since bytes last came; earlier than them if none.
  bool isLost = false;
};

/// The links of a hub, shared by its thread and the threads that send. Each method is thread-safe.
class PeerLinkTable
{
public:
  using Key = std::pair<NodeId, Lane>;
  struct QueueResult
  {
    SendResult result;
    std::shared_ptr<PeerLink> link;
    bool needsDial = false;  ///< The link has to be dialed.
    bool needsFlush = false; ///< The hub's thread has to be told.
  };

  /// With a derived port, a node without a set address is dialed at the address that its id says.
  explicit PeerLinkTable(std::size_t aMaxBufferedBytes, unsigned short aDerivedAddressPort = 0)
    : mMaxBufferedBytes(aMaxBufferedBytes)
    , mDerivedAddressPort(aDerivedAddressPort)
  {
  }

  /// Queues a message for the dialed link of a peer, which is made if there is none. While the
  /// latest dial of a peer has failed, work for it is refused at once: it would wait for the next
  /// dial to fail. Control messages have their own timers and wait.
  QueueResult queueForPeer(const Key& aKey, std::string aBytes, const RequestEvent& aEvent = {});

  /// Queues a message for a link that is open or being dialed.
  QueueResult queueForLink(LinkId aLink, std::string aBytes, const RequestEvent& aEvent = {});

  /// Notes what an arrived message says.
  void recordRequestEvent(PeerLink& aLink, const RequestEvent& aEvent);

  /// Whether requests run on the link.
  bool hasRunningRequests(const PeerLink& aLink) const;

  /// Takes everything that waits on an open link.
  std::vector<std::string> takeOutbox(PeerLink& aLink);

  /// Notes how many bytes the connection still holds.
  void setSocketBytes(PeerLink& aLink, std::size_t aBytes);

  std::shared_ptr<PeerLink> addAccepted();
  void setLane(PeerLink& aLink, Lane aLane);

  /// Marks a link as open; true if messages wait on it.
  bool markOpen(PeerLink& aLink, NodeId aPeer);

  /// Removes a link and what waits on it.
  void remove(PeerLink& aLink);

  bool isConnected(const Key& aKey) const;
  std::vector<std::shared_ptr<PeerLink>> all() const;
  std::size_t acceptedCount() const;

  /// Sets an address; returns the dialed links to the old one.
  std::vector<std::shared_ptr<PeerLink>> setAddress(NodeId aNode, std::string aAddress);
  std::string address(NodeId aNode) const;

  /// Makes every further message unreachable.
  void close();

private:
  QueueResult queueLocked(const std::shared_ptr<PeerLink>& aLink, std::string aBytes,
                          const RequestEvent& aEvent);
  static void recordLocked(PeerLink& aLink, const RequestEvent& aEvent);

  const std::size_t mMaxBufferedBytes;
  const unsigned short mDerivedAddressPort;
  mutable std::mutex mMutex;
  std::map<NodeId, std::string> mAddresses;
  std::map<Key, std::shared_ptr<PeerLink>> mDialed;
  std::set<Key> mUnreachable; // Their latest dial failed. At most two for each node ever dialed.
  std::map<LinkId, std::shared_ptr<PeerLink>> mLinks;
  std::size_t mAcceptedCount = 0;
  bool mIsClosed = false;
};

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_PEERLINK_H_
