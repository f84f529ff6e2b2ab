// Rounds are stored in the order in which they started. Completing a round also completes all
// earlier ones.

#include "agreement/ReadQueue.h"

#include <limits>
#include <utility>

#include "agreement/LogNodeConfig.h"

namespace camphorcleat::agreement {

bool ReadQueue::add(std::uint64_t aRead)
{
  if (mCount >= kMaxPendingReads) {
    return false;
  }
  ++mCount;
  mWaiting.push_back(aRead);
  return true;
}

void ReadQueue::startRound(std::uint64_t aRound)
{
  if (!mWaiting.empty()) {
    mRounds.push_back(Round{ aRound, std::exchange(mWaiting, {}) });
  }
}

std::vector<std::uint64_t> ReadQueue::completeUpTo(std::uint64_t aRound)
{
  std::vector<std::uint64_t> out;
  while (!mRounds.empty() && mRounds.front().number <= aRound) {
    const auto& reads = mRounds.front().reads;
    out.insert(out.end(), reads.begin(), reads.end());
    mRounds.pop_front();
  }
  mCount -= out.size();
  return out;
}

std::vector<std::uint64_t> ReadQueue::removeAll()
{
  std::vector<std::uint64_t> out = completeUpTo(std::numeric_limits<std::uint64_t>::max());
  out.insert(out.end(), mWaiting.begin(), mWaiting.end());
  mWaiting.clear();
  mCount = 0;
  return out;
}

} // namespace camphorcleat::agreement
