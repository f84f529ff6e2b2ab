// The table of links.

#include "transport/PeerLink.h"

#include <atomic>

#include "transport/NodeAddress.h"

namespace camphorcleat::transport {

namespace {

// A frame header and the bookkeeping of a waiting message; counting it keeps a queue of tiny
// messages bounded in memory, too.
constexpr std::size_t kBytesPerMessage = 64;

LinkId nextLinkId()
{
  static std::atomic<LinkId> sLast{ 0 };
  return ++sLast;
}

} // namespace

WorkNote workNoteOf(const wire::PeerMessage& aMessage)
{
  using Kind = WorkNote::Kind;
  if (const auto* head = std::get_if<wire::RequestHead>(&aMessage)) {
    return { Kind::Begins, head->id };
  }
  if (const auto* failed = std::get_if<wire::RequestFailed>(&aMessage)) {
    return { Kind::Ends, failed->id };
  }
  if (const auto* cancel = std::get_if<wire::CancelRequest>(&aMessage)) {
    return { Kind::Ends, cancel->id };
  }
  const auto* chunk = std::get_if<wire::BodyChunk>(&aMessage);
  const bool isEnd =
    chunk != nullptr && chunk->isLast && chunk->direction == wire::Direction::ToCaller;
  return isEnd ? WorkNote{ Kind::Ends, chunk->id } : WorkNote{};
}

PeerLinks::Queued PeerLinks::queueForPeer(const Key& aKey, std::string aBytes,
                                          const WorkNote& aNote)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mIsClosed || (mDerivedPort == 0 && mAddresses.count(aKey.first) == 0)) {
    return {};
  }
  auto& link = mDialed[aKey];
  const bool isNew = link == nullptr;
  if (isNew) {
    link = std::make_shared<PeerLink>(nextLinkId(), true);
    link->peer = aKey.first;
    link->lane = aKey.second;
    mLinks[link->id] = link;
  }
  // The link is dialed all the same, so that the peer is found again.
  const bool isRefused = aKey.second == Lane::Data && mUnreachable.count(aKey) > 0;
  Queued out = isRefused ? Queued{ {}, link } : queueLocked(link, std::move(aBytes), aNote);
  out.isNew = isNew;
  return out;
}

PeerLinks::Queued PeerLinks::queueForLink(LinkId aLink, std::string aBytes, const WorkNote& aNote)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto it = mLinks.find(aLink);
  // What follows a message on a link that is still being dialed waits with it.
  if (mIsClosed || it == mLinks.end() || !(it->second->isOpen || it->second->wasDialed)) {
    return {};
  }
  return queueLocked(it->second, std::move(aBytes), aNote);
}

void PeerLinks::noteLocked(PeerLink& aLink, const WorkNote& aNote)
{
  if (aNote.kind == WorkNote::Kind::Begins) {
    aLink.running.insert(aNote.request);
  } else if (aNote.kind == WorkNote::Kind::Ends) {
    aLink.running.erase(aNote.request);
  }
}

void PeerLinks::noteWork(PeerLink& aLink, const WorkNote& aNote)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  noteLocked(aLink, aNote);
}

bool PeerLinks::hasWork(const PeerLink& aLink) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return !aLink.running.empty();
}

PeerLinks::Queued PeerLinks::queueLocked(const std::shared_ptr<PeerLink>& aLink, std::string aBytes,
                                         const WorkNote& aNote)
{
  Queued out;
  out.link = aLink;
  const std::size_t bytes = aBytes.size() + kBytesPerMessage;
  const std::size_t waiting = aLink->outboxBytes + aLink->socketBytes;
  // A message longer than the whole limit passes if nothing else waits.
  if (waiting > 0 && waiting + bytes > mMaxBufferedBytes) {
    out.result.status = SendStatus::Full;
    return out;
  }
  aLink->outbox.push_back(std::move(aBytes));
  aLink->outboxBytes += bytes;
  noteLocked(*aLink, aNote);
  out.result = { SendStatus::Accepted, aLink->id };
  out.needsFlush = aLink->isOpen && !aLink->isFlushPosted;
  aLink->isFlushPosted = aLink->isFlushPosted || out.needsFlush;
  return out;
}

std::vector<std::string> PeerLinks::takeOutbox(PeerLink& aLink)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  aLink.isFlushPosted = false;
  aLink.socketBytes += aLink.outboxBytes;
  aLink.outboxBytes = 0;
  return std::exchange(aLink.outbox, {});
}

void PeerLinks::setSocketBytes(PeerLink& aLink, std::size_t aBytes)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  aLink.socketBytes = aBytes;
}

std::shared_ptr<PeerLink> PeerLinks::addAccepted()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  auto link = std::make_shared<PeerLink>(nextLinkId(), false);
  mLinks[link->id] = link;
  ++mAcceptedCount;
  return link;
}

void PeerLinks::setLane(PeerLink& aLink, Lane aLane)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  aLink.lane = aLane;
}

bool PeerLinks::open(PeerLink& aLink, NodeId aPeer)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  aLink.peer = aPeer;
  aLink.isOpen = true;
  if (aLink.wasDialed) {
    mUnreachable.erase({ aPeer, aLink.lane });
  }
  return !aLink.outbox.empty();
}

void PeerLinks::remove(PeerLink& aLink)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mLinks.erase(aLink.id) == 0) {
    return;
  }
  if (!aLink.wasDialed) {
    --mAcceptedCount;
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

bool PeerLinks::isLinked(const Key& aKey) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto it = mDialed.find(aKey);
  return it != mDialed.end() && it->second->isOpen;
}

std::vector<std::shared_ptr<PeerLink>> PeerLinks::all() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<std::shared_ptr<PeerLink>> out;
  out.reserve(mLinks.size());
  for (const auto& it : mLinks) {
    out.push_back(it.second);
  }
  return out;
}

std::size_t PeerLinks::acceptedCount() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mAcceptedCount;
}

std::vector<std::shared_ptr<PeerLink>> PeerLinks::setAddress(NodeId aNode, std::string aAddress)
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
      mDialed.erase(link); // The next message dials the new address.
    }
  }
  if (aAddress.empty()) {
    mAddresses.erase(aNode);
  } else {
    mAddresses[aNode] = std::move(aAddress);
  }
  return out;
}

std::string PeerLinks::address(NodeId aNode) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto it = mAddresses.find(aNode);
  if (it != mAddresses.end()) {
    return it->second;
  }
  return mDerivedPort == 0 ? "" : addressOfNode(aNode, mDerivedPort);
}

void PeerLinks::close()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mIsClosed = true;
}

} // namespace camphorcleat::transport
