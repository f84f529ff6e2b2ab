// The counters are in a hash map, and a sorted set orders them by count.

#include "fleet/HeavyHitters.h"

namespace camphorcleat::fleet {

namespace {

constexpr double kSmallestCount = 0.5;

} // namespace

HeavyHitters::HeavyHitters(std::size_t aCapacity)
  : mCapacity(aCapacity)
{
  mCounters.reserve(aCapacity);
}

void HeavyHitters::add(const std::string& aKey, double aCount)
{
  mTotal += aCount;
  const auto it = mCounters.find(aKey);
  if (it != mCounters.end()) {
    setCount(aKey, it->second, it->second.count + aCount);
    return;
  }
  Counter counter{ aCount, 0 };
  if (mCounters.size() >= mCapacity) {
    const auto smallest = mByCount.begin();
    counter.error = smallest->first;
    counter.count += smallest->first;
    mCounters.erase(smallest->second);
    mByCount.erase(smallest);
  }
  mCounters.emplace(aKey, counter);
  mByCount.emplace(counter.count, aKey);
}

void HeavyHitters::setCount(const std::string& aKey, Counter& aCounter, double aCount)
{
  auto node = mByCount.extract({ aCounter.count, aKey });
  node.value().first = aCount;
  mByCount.insert(std::move(node));
  aCounter.count = aCount;
}

void HeavyHitters::decay(double aFactor)
{
  mTotal *= aFactor;
  mByCount.clear();
  for (auto it = mCounters.begin(); it != mCounters.end();) {
    it->second.count *= aFactor;
    it->second.error *= aFactor;
    if (it->second.count < kSmallestCount) {
      it = mCounters.erase(it);
    } else {
      mByCount.emplace(it->second.count, it->first);
      ++it;
    }
  }
}

std::vector<HeavyHitter> HeavyHitters::top(std::size_t aLimit) const
{
  std::vector<HeavyHitter> out;
  for (auto it = mByCount.rbegin(); it != mByCount.rend() && out.size() < aLimit; ++it) {
    const Counter& counter = mCounters.at(it->second);
    out.push_back({ it->second, counter.count, counter.error });
  }
  return out;
}

} // namespace camphorcleat::fleet
