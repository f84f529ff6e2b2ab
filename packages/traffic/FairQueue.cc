// Start-time fair queueing with removal by id, by deadline and from the longest account queue.

#include "traffic/FairQueue.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>

namespace camphorcleat::traffic {

namespace {

template<class Flow>
double sizeOf(const Flow& aFlow)
{
  return static_cast<double>(aFlow.requests.size()) / aFlow.weight;
}

} // namespace

FairQueue::FairQueue(std::size_t aMaxRequests)
  : mMaxRequests(aMaxRequests)
{
  assert(aMaxRequests > 0);
}

std::optional<QueuedRequest> FairQueue::push(QueuedRequest aRequest)
{
  assert(aRequest.weight > 0);
  aRequest.cost = std::clamp<std::uint32_t>(aRequest.cost, 1, kMaxCost);
  forgetIdleFlows();
  Entry& entry = mFlows.try_emplace(aRequest.account).first->second;
  Flow& flow = entry.flow;
  flow.account = aRequest.account;
  const double oldSize = traffic::sizeOf(flow);
  flow.weight = aRequest.weight;
  mByDeadline.emplace(aRequest.deadline, aRequest.id);
  const RequestId id = aRequest.id;
  flow.requests.push_back(std::move(aRequest));
  mPlaces[id] = Place{ &entry, std::prev(flow.requests.end()) };
  setSizeOrder(flow, oldSize);
  if (!entry.place && !flow.isBlocked) {
    enter(entry);
  }
  if (mPlaces.size() <= mMaxRequests) {
    return std::nullopt;
  }
  return dropOne();
}

QueuedRequest FairQueue::dropOne()
{
  const Flow& longest = mFlows.at(mBySize.rbegin()->second).flow;
  return take(mPlaces.find(longest.requests.back().id));
}

const QueuedRequest* FairQueue::front()
{
  return mOrder.empty() ? nullptr : &mOrder.begin()->second->requests.front();
}

QueuedRequest FairQueue::popFront()
{
  assert(!mOrder.empty());
  Entry& entry = mFlows.at(mOrder.begin()->second->account);
  Flow& flow = entry.flow;
  const QueuedRequest& next = flow.requests.front();
  mVirtualTime = flow.start;
  leave(entry);
  flow.start += next.cost / flow.weight;
  const auto place = mPlaces.find(next.id);
  if (flow.requests.size() > 1) {
    enter(entry);
  }
  return take(place);
}

bool FairQueue::remove(const RequestId& aId)
{
  const auto it = mPlaces.find(aId);
  if (it == mPlaces.end()) {
    return false;
  }
  take(it);
  return true;
}

std::vector<QueuedRequest> FairQueue::expire(TimePoint aNow)
{
  std::vector<QueuedRequest> out;
  while (!mByDeadline.empty() && mByDeadline.begin()->first <= aNow) {
    out.push_back(take(mPlaces.find(mByDeadline.begin()->second)));
  }
  return out;
}

std::optional<TimePoint> FairQueue::nextDeadline() const
{
  return mByDeadline.empty() ? std::nullopt : std::make_optional(mByDeadline.begin()->first);
}

void FairQueue::block(const std::string& aAccount)
{
  const auto it = mFlows.find(aAccount);
  if (it != mFlows.end() && !it->second.flow.requests.empty() && !it->second.flow.isBlocked) {
    leave(it->second);
    it->second.flow.isBlocked = true;
  }
}

void FairQueue::unblock(const std::string& aAccount)
{
  const auto it = mFlows.find(aAccount);
  if (it != mFlows.end() && it->second.flow.isBlocked) {
    it->second.flow.isBlocked = false;
    enter(it->second);
  }
}

bool FairQueue::isBlocked(const std::string& aAccount) const
{
  const auto it = mFlows.find(aAccount);
  return it != mFlows.end() && it->second.flow.isBlocked;
}

std::vector<RequestId> FairQueue::order() const
{
  std::vector<std::pair<double, RequestId>> starts;
  for (const auto& [key, flow] : mOrder) {
    double start = key.first;
    for (const auto& it : flow->requests) {
      starts.emplace_back(start, it.id);
      start += it.cost / flow->weight;
    }
  }
  std::stable_sort(starts.begin(), starts.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  std::vector<RequestId> out;
  out.reserve(starts.size());
  for (const auto& [start, id] : starts) {
    out.push_back(id);
  }
  return out;
}

std::vector<RequestId> FairQueue::idsOf(const std::string& aAccount) const
{
  std::vector<RequestId> out;
  const auto it = mFlows.find(aAccount);
  if (it != mFlows.end()) {
    for (const auto& request : it->second.flow.requests) {
      out.push_back(request.id);
    }
  }
  return out;
}

std::size_t FairQueue::sizeOf(const std::string& aAccount) const
{
  const auto it = mFlows.find(aAccount);
  return it == mFlows.end() ? 0 : it->second.flow.requests.size();
}

std::size_t FairQueue::readySize() const
{
  std::size_t out = 0;
  for (const auto& [key, flow] : mOrder) {
    out += flow->requests.size();
  }
  return out;
}

std::size_t FairQueue::sizeAhead(const std::string& aAccount, double aWeight) const
{
  const auto own = mFlows.find(aAccount);
  double start = mVirtualTime;
  if (own != mFlows.end()) {
    const Flow& flow = own->second.flow;
    start = std::max(start, flow.start) + static_cast<double>(flow.requests.size()) / aWeight;
  }
  std::size_t out = 0;
  for (const auto& [key, flow] : mOrder) {
    if (key.first > start) {
      break;
    }
    // Requests of this flow start at key.first and then every 1 / weight.
    const double n = std::floor((start - key.first) * flow->weight) + 1;
    out += std::min(flow->requests.size(), static_cast<std::size_t>(n));
  }
  return out;
}

QueuedRequest FairQueue::take(Places::iterator aPlace)
{
  Entry& entry = *aPlace->second.entry;
  Flow& flow = entry.flow;
  const double oldSize = traffic::sizeOf(flow);
  QueuedRequest out = std::move(*aPlace->second.request);
  flow.requests.erase(aPlace->second.request);
  mPlaces.erase(aPlace);
  mByDeadline.erase({ out.deadline, out.id });
  setSizeOrder(flow, oldSize);
  if (flow.requests.empty()) {
    leave(entry);
    flow.isBlocked = false;
  }
  if (mPlaces.empty()) {
    mFlows.clear();
    mVirtualTime = 0;
  }
  return out;
}

void FairQueue::setSizeOrder(Flow& aFlow, double aOldSize)
{
  mBySize.erase({ aOldSize, aFlow.account });
  if (!aFlow.requests.empty()) {
    mBySize.emplace(traffic::sizeOf(aFlow), aFlow.account);
  }
}

// An account that had no requests to serve hasn't saved up its share.
void FairQueue::enter(Entry& aEntry)
{
  aEntry.flow.start = std::max(aEntry.flow.start, mVirtualTime);
  aEntry.place = mOrder.emplace(std::make_pair(aEntry.flow.start, ++mEntries), &aEntry.flow).first;
}

void FairQueue::leave(Entry& aEntry)
{
  if (aEntry.place) {
    mOrder.erase(*aEntry.place);
    aEntry.place.reset();
  }
}

// Forgets the start times of accounts without waiting requests if there are too many of them.
void FairQueue::forgetIdleFlows()
{
  if (mFlows.size() < 2 * mMaxRequests) {
    return;
  }
  for (auto it = mFlows.begin(); it != mFlows.end();) {
    const bool isNeeded = !it->second.flow.requests.empty();
    it = isNeeded ? std::next(it) : mFlows.erase(it);
  }
}

} // namespace camphorcleat::traffic
