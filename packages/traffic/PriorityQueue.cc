// One FairQueue for each priority.

#include "traffic/PriorityQueue.h"

#include <algorithm>

namespace camphorcleat::traffic {

PriorityQueue::PriorityQueue(std::size_t aMaxRequests)
  : mMaxRequests(aMaxRequests)
{
}

FairQueue& PriorityQueue::levelOf(std::uint32_t aPriority)
{
  return mLevels.try_emplace(std::min(aPriority, kLevels - 1), mMaxRequests).first->second;
}

std::optional<QueuedRequest> PriorityQueue::push(std::uint32_t aPriority, QueuedRequest aRequest)
{
  mLevelOf[aRequest.id] = std::min(aPriority, kLevels - 1);
  std::optional<QueuedRequest> dropped = levelOf(aPriority).push(std::move(aRequest));
  if (!dropped && mLevelOf.size() > mMaxRequests) {
    const auto lowest = std::find_if(mLevels.rbegin(), mLevels.rend(),
                                     [](const auto& aLevel) { return aLevel.second.size() > 0; });
    dropped = lowest->second.dropOne();
  }
  if (dropped) {
    mLevelOf.erase(dropped->id);
  }
  return dropped;
}

FairQueue* PriorityQueue::frontLevel()
{
  for (auto& [priority, queue] : mLevels) {
    if (queue.front() != nullptr) {
      return &queue;
    }
  }
  return nullptr;
}

const QueuedRequest* PriorityQueue::front()
{
  FairQueue* level = frontLevel();
  return level == nullptr ? nullptr : level->front();
}

QueuedRequest PriorityQueue::popFront()
{
  QueuedRequest out = frontLevel()->popFront();
  mLevelOf.erase(out.id);
  return out;
}

bool PriorityQueue::remove(const RequestId& aId)
{
  const auto it = mLevelOf.find(aId);
  if (it == mLevelOf.end()) {
    return false;
  }
  levelOf(it->second).remove(aId);
  mLevelOf.erase(it);
  return true;
}

std::vector<QueuedRequest> PriorityQueue::expire(TimePoint aNow)
{
  std::vector<QueuedRequest> out;
  for (auto& [priority, queue] : mLevels) {
    for (auto& it : queue.expire(aNow)) {
      mLevelOf.erase(it.id);
      out.push_back(std::move(it));
    }
  }
  return out;
}

std::optional<TimePoint> PriorityQueue::nextDeadline() const
{
  std::optional<TimePoint> out;
  for (const auto& [priority, queue] : mLevels) {
    const auto next = queue.nextDeadline();
    if (next) {
      out = out ? std::min(*out, *next) : next;
    }
  }
  return out;
}

void PriorityQueue::block(const std::string& aAccount)
{
  for (auto& [priority, queue] : mLevels) {
    queue.block(aAccount);
  }
}

void PriorityQueue::unblock(const std::string& aAccount)
{
  for (auto& [priority, queue] : mLevels) {
    queue.unblock(aAccount);
  }
}

bool PriorityQueue::isBlocked(const std::string& aAccount) const
{
  return std::any_of(mLevels.begin(), mLevels.end(),
                     [&](const auto& aLevel) { return aLevel.second.isBlocked(aAccount); });
}

std::vector<RequestId> PriorityQueue::order() const
{
  std::vector<RequestId> out;
  for (const auto& [priority, queue] : mLevels) {
    const std::vector<RequestId> ids = queue.order();
    out.insert(out.end(), ids.begin(), ids.end());
  }
  return out;
}

std::vector<RequestId> PriorityQueue::idsOf(const std::string& aAccount) const
{
  std::vector<RequestId> out;
  for (const auto& [priority, queue] : mLevels) {
    const std::vector<RequestId> ids = queue.idsOf(aAccount);
    out.insert(out.end(), ids.begin(), ids.end());
  }
  return out;
}

std::size_t PriorityQueue::sizeOf(const std::string& aAccount) const
{
  std::size_t out = 0;
  for (const auto& [priority, queue] : mLevels) {
    out += queue.sizeOf(aAccount);
  }
  return out;
}

std::size_t PriorityQueue::sizeAhead(std::uint32_t aPriority) const
{
  std::size_t out = 0;
  for (const auto& [priority, queue] : mLevels) {
    out += priority <= std::min(aPriority, kLevels - 1) ? queue.readySize() : 0;
  }
  return out;
}

std::size_t PriorityQueue::sizeAhead(std::uint32_t aPriority, const std::string& aAccount,
                                     double aWeight) const
{
  const std::uint32_t level = std::min(aPriority, kLevels - 1);
  const auto it = mLevels.find(level);
  const std::size_t inLevel = it == mLevels.end() ? 0 : it->second.sizeAhead(aAccount, aWeight);
  return inLevel + (level == 0 ? 0 : sizeAhead(level - 1));
}

} // namespace camphorcleat::traffic
