// Deficit round robin with removal by id, by deadline and from the longest account queue.

#include "traffic/FairQueue.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace camphorcleat::traffic {

FairQueue::FairQueue(std::size_t aMaxRequests, std::uint32_t aQuantum)
  : mMaxRequests(aMaxRequests)
  , mQuantum(aQuantum)
{
  assert(aMaxRequests > 0 && aQuantum > 0);
}

std::optional<QueuedRequest> FairQueue::push(QueuedRequest aRequest)
{
  aRequest.cost = std::clamp<std::uint32_t>(aRequest.cost, 1, kMaxCost);
  const auto [it, isNew] = mFlows.try_emplace(aRequest.account);
  Flow& flow = it->second;
  if (isNew) {
    flow.account = aRequest.account;
    flow.ringPlace = mRing.insert(mRing.end(), &flow);
  }
  mByDeadline.emplace(aRequest.deadline, aRequest.id);
  const RequestId id = aRequest.id;
  flow.requests.push_back(std::move(aRequest));
  mPlaces[id] = Place{ &flow, std::prev(flow.requests.end()) };
  updateSizeOrder(flow, flow.requests.size() - 1);
  if (mPlaces.size() <= mMaxRequests) {
    return std::nullopt;
  }
  return dropOne();
}

QueuedRequest FairQueue::dropOne()
{
  const Flow& longest = mFlows.at(mBySize.rbegin()->second);
  return take(mPlaces.find(longest.requests.back().id));
}

const QueuedRequest* FairQueue::front()
{
  while (!mRing.empty()) {
    Flow& flow = *mRing.front();
    if (!flow.isVisited) {
      flow.isVisited = true;
      flow.deficit += mQuantum;
    }
    if (flow.deficit >= flow.requests.front().cost) {
      return &flow.requests.front();
    }
    flow.isVisited = false;
    mRing.splice(mRing.end(), mRing, mRing.begin());
  }
  return nullptr;
}

QueuedRequest FairQueue::popFront()
{
  const QueuedRequest* next = front();
  assert(next != nullptr);
  mRing.front()->deficit -= next->cost;
  return take(mPlaces.find(next->id));
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
  if (it != mFlows.end() && !it->second.isBlocked) {
    leaveRing(it->second);
    it->second.isBlocked = true;
    it->second.isVisited = false;
    it->second.deficit = 0; // A blocked account must not accumulate its share.
  }
}

void FairQueue::unblock(const std::string& aAccount)
{
  const auto it = mFlows.find(aAccount);
  if (it != mFlows.end() && it->second.isBlocked) {
    it->second.isBlocked = false;
    it->second.ringPlace = mRing.insert(mRing.end(), &it->second);
  }
}

bool FairQueue::isBlocked(const std::string& aAccount) const
{
  const auto it = mFlows.find(aAccount);
  return it != mFlows.end() && it->second.isBlocked;
}

std::vector<RequestId> FairQueue::idsOf(const std::string& aAccount) const
{
  std::vector<RequestId> out;
  const auto it = mFlows.find(aAccount);
  if (it != mFlows.end()) {
    for (const auto& request : it->second.requests) {
      out.push_back(request.id);
    }
  }
  return out;
}

std::size_t FairQueue::sizeOf(const std::string& aAccount) const
{
  const auto it = mFlows.find(aAccount);
  return it == mFlows.end() ? 0 : it->second.requests.size();
}

QueuedRequest FairQueue::take(Places::iterator aPlace)
{
  Flow& flow = *aPlace->second.flow;
  QueuedRequest out = std::move(*aPlace->second.request);
  flow.requests.erase(aPlace->second.request);
  mPlaces.erase(aPlace);
  mByDeadline.erase({ out.deadline, out.id });
  updateSizeOrder(flow, flow.requests.size() + 1);
  if (flow.requests.empty()) {
    if (!flow.isBlocked) {
      leaveRing(flow);
    }
    mFlows.erase(flow.account);
  }
  return out;
}

void FairQueue::updateSizeOrder(Flow& aFlow, std::size_t aOldSize)
{
  mBySize.erase({ aOldSize, aFlow.account });
  if (!aFlow.requests.empty()) {
    mBySize.emplace(aFlow.requests.size(), aFlow.account);
  }
}

void FairQueue::leaveRing(Flow& aFlow)
{
  mRing.erase(aFlow.ringPlace);
}

} // namespace camphorcleat::traffic
