// Implementation of PeerLinkTable.

#include "transport/PeerLink.h"

#include <algorithm>
#include <atomic>

#include "transport/NodeAddress.h"

namespace camphorcleat::transport {

namespace {

// Estimated overhead of a waiting message: frame header and queue entry. Counting it bounds the
// memory of a queue of small messages, too.
constexpr std::size_t kBytesPerMessage = 64;

LinkId nextLinkId()
{
  static std::atomic<LinkId> sLast{ 0 };
  return ++sLast;
}

} // namespace

RequestEvent requestEventOf(const wire::PeerMessage& aMessage)
{
  using Kind = RequestEvent::Kind;
  if (const auto* head = std::get_if<wire::RequestHead>(&aMessage)) {
    return { Kind::Started, head->id };
  }
  if (const auto* failed = std::get_if<wire::RequestFailed>(&aMessage)) {
    return { Kind::Ended, failed->id };
  }
  if (const auto* cancel = std::get_if<wire::CancelRequest>(&aMessage)) {
    return { Kind::Cancelled, cancel->id };
  }
  const auto* chunk = std::get_if<wire::BodyChunk>(&aMessage);
  const bool isEnd =
    chunk != nullptr && chunk->isLast && chunk->direction == wire::Direction::ToCaller;
  return isEnd ? RequestEvent{ Kind::Ended, chunk->id } : RequestEvent{};
}

PeerLinkTable::QueueResult PeerLinkTable::queueForPeer(const Key& aKey, std::string aBytes,
                                                       const RequestEvent& aEvent)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mIsClosed || (mDerivedAddressPort == 0 && mAddresses.count(aKey.first) == 0)) {
    return {};
  }
  auto& link = mDialed[aKey];
  const bool needsDial = link == nullptr;
  if (needsDial) {
    link = std::make_shared<PeerLink>(nextLinkId(), true);
    link->peer = aKey.first;
    link->lane = aKey.second;
    mLinks[link->id] = link;
  }
  // The link is dialed even if the message is refused, so that a recovered peer is detected.
  const bool isRefused = aKey.second == Lane::Data && mUnreachable.count(aKey) > 0;
  QueueResult out =
    isRefused ? QueueResult{ {}, link } : queueLocked(link, std::move(aBytes), aEvent);
  out.needsDial = needsDial;
  return out;
}

PeerLinkTable::QueueResult PeerLinkTable::queueForOpenLink(const Key& aKey, std::string aBytes)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto dialed = mDialed.find(aKey);
    const bool isDialed = dialed != mDialed.end() && dialed->second->isOpen;
    const auto accepted = mAccepted.find(aKey);
    if (!mIsClosed && !isDialed && accepted != mAccepted.end()) {
      accepted->second->expectsReplies = true;
      return queueLocked(accepted->second, std::move(aBytes), {});
    }
  }
  return queueForPeer(aKey, std::move(aBytes));
}

PeerLinkTable::QueueResult PeerLinkTable::queueForLink(LinkId aLink, std::string aBytes,
                                                       const RequestEvent& aEvent)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto it = mLinks.find(aLink);
  // A link that is still being dialed accepts messages, too: later parts of a request wait with its
  // head.
  if (mIsClosed || it == mLinks.end() || !(it->second->isOpen || it->second->wasDialed)) {
    return {};
  }
  return queueLocked(it->second, std::move(aBytes), aEvent);
}

void PeerLinkTable::recordLocked(PeerLink& aLink, const RequestEvent& aEvent)
{
  if (aEvent.kind == RequestEvent::Kind::Started) {
    aLink.running.insert(aEvent.request);
  } else if (aEvent.kind != RequestEvent::Kind::None) {
    aLink.running.erase(aEvent.request);
  }
}

void PeerLinkTable::recordRequestEvent(PeerLink& aLink, const RequestEvent& aEvent)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  recordLocked(aLink, aEvent);
}

bool PeerLinkTable::hasRunningRequests(const PeerLink& aLink) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return !aLink.running.empty();
}

PeerLinkTable::QueueResult PeerLinkTable::queueLocked(const std::shared_ptr<PeerLink>& aLink,
                                                      std::string aBytes,
                                                      const RequestEvent& aEvent)
{
  QueueResult out;
  out.link = aLink;
  if (aEvent.kind == RequestEvent::Kind::Cancelled && removeWaitingLocked(*aLink, aEvent.request)) {
    recordLocked(*aLink, aEvent);
    out.result = { SendStatus::Accepted, aLink->id };
    return out;
  }
  const std::size_t bytes = aBytes.size() + kBytesPerMessage;
  const std::size_t waiting = aLink->outboxBytes + aLink->socketBytes;
  // A message longer than the limit is accepted if nothing else waits.
  if (waiting > 0 && waiting + bytes > mMaxBufferedBytes) {
    out.result.status = SendStatus::Full;
    return out;
  }
  aLink->outbox.push_back({ std::move(aBytes), aEvent });
  aLink->outboxBytes += bytes;
  recordLocked(*aLink, aEvent);
  out.result = { SendStatus::Accepted, aLink->id };
  out.needsFlush = aLink->isOpen && !aLink->isFlushPosted;
  aLink->isFlushPosted = aLink->isFlushPosted || out.needsFlush;
  return out;
}

// Removes a request that was not passed to the connection yet. The peer ignores parts of its body.
bool PeerLinkTable::removeWaitingLocked(PeerLink& aLink, const RequestId& aRequest)
{
  const auto it = std::find_if(aLink.outbox.begin(), aLink.outbox.end(), [&](const auto& aItem) {
    return aItem.event.kind == RequestEvent::Kind::Started && aItem.event.request == aRequest;
  });
  if (it == aLink.outbox.end()) {
    return false;
  }
  aLink.outboxBytes -= it->bytes.size() + kBytesPerMessage;
  aLink.outbox.erase(it);
  return true;
}

std::vector<WaitingMessage> PeerLinkTable::takeOutbox(PeerLink& aLink)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  aLink.isFlushPosted = false;
  aLink.socketBytes += aLink.outboxBytes;
  aLink.outboxBytes = 0;
  return std::exchange(aLink.outbox, {});
}

void PeerLinkTable::setSocketBytes(PeerLink& aLink, std::size_t aBytes)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  aLink.socketBytes = aBytes;
}

std::shared_ptr<PeerLink> PeerLinkTable::addAccepted()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  auto link = std::make_shared<PeerLink>(nextLinkId(), false);
  mLinks[link->id] = link;
  ++mAcceptedCount;
  return link;
}

void PeerLinkTable::setLane(PeerLink& aLink, Lane aLane)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  aLink.lane = aLane;
}

bool PeerLinkTable::markOpen(PeerLink& aLink, NodeId aPeer)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  aLink.peer = aPeer;
  aLink.isOpen = true;
  if (aLink.wasDialed) {
    mUnreachable.erase({ aPeer, aLink.lane });
  } else {
    mAccepted[{ aPeer, aLink.lane }] = mLinks.at(aLink.id);
  }
  return !aLink.outbox.empty();
}

void PeerLinkTable::retire(const PeerLink& aLink)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  auto& byPeer = aLink.wasDialed ? mDialed : mAccepted;
  const auto it = byPeer.find({ aLink.peer, aLink.lane });
  if (it != byPeer.end() && it->second->id == aLink.id) {
    byPeer.erase(it);
  }
}

void PeerLinkTable::remove(PeerLink& aLink)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mLinks.erase(aLink.id) == 0) {
    return;
  }
  if (!aLink.wasDialed) {
    --mAcceptedCount;
    const auto accepted = mAccepted.find({ aLink.peer, aLink.lane });
    if (accepted != mAccepted.end() && accepted->second->id == aLink.id) {
      mAccepted.erase(accepted);
    }
    return;
  }
  const auto it = mDialed.find({ aLink.peer, aLink.lane });
  if (it != mDialed.end() && it->second->id == aLink.id) {
    mDialed.erase(it);
    if (!aLink.isOpen) {
      mUnreachable.insert({ aLink.peer, aLink.lane });
    }
  }
}

bool PeerLinkTable::isConnected(const Key& aKey) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto it = mDialed.find(aKey);
  return it != mDialed.end() && it->second->isOpen;
}

std::vector<std::shared_ptr<PeerLink>> PeerLinkTable::all() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<std::shared_ptr<PeerLink>> out;
  out.reserve(mLinks.size());
  for (const auto& it : mLinks) {
    out.push_back(it.second);
  }
  return out;
}

bool PeerLinkTable::isEmpty() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mLinks.empty();
}

std::size_t PeerLinkTable::acceptedCount() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mAcceptedCount;
}

std::vector<std::shared_ptr<PeerLink>> PeerLinkTable::setAddress(NodeId aNode, std::string aAddress)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<std::shared_ptr<PeerLink>> out;
  const auto it = mAddresses.find(aNode);
  if (it != mAddresses.end() && it->second == aAddress) {
    return out;
  }
  for (const Lane lane : { Lane::Control, Lane::Data }) {
    const auto link = mDialed.find({ aNode, lane });
    if (link != mDialed.end()) {
      out.push_back(link->second);
      mDialed.erase(link); // The next message causes a dial to the new address.
    }
  }
  if (aAddress.empty()) {
    mAddresses.erase(aNode);
  } else {
    mAddresses[aNode] = std::move(aAddress);
  }
  return out;
}

std::string PeerLinkTable::address(NodeId aNode) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto it = mAddresses.find(aNode);
  if (it != mAddresses.end()) {
    return it->second;
  }
  return mDerivedAddressPort == 0 ? "" : addressFromNodeId(aNode, mDerivedAddressPort);
}

void PeerLinkTable::close()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mIsClosed = true;
}

} // namespace camphorcleat::transport
