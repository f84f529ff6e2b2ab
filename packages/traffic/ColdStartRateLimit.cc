// Sliding window over the latest dispatches.

#include "traffic/ColdStartRateLimit.h"

#include <algorithm>

namespace camphorcleat::traffic {

namespace {

// Slightly more than one second. Network delays vary, and requests sent just over a second apart
// must not reach the target within the same second.
constexpr Millis kWindow{ 1020 };

// A target is idle after this time without a dispatch. Targets with regular traffic receive
// requests far more often.
constexpr Millis kIdle{ 1500 };

// An idle target is assumed to be cold for this time. Targets report every 1 to 2 s, so a report
// normally arrives before.
constexpr Millis kAssumedCold{ 4000 };

// Bounds the memory. A limit above this value has no effect.
constexpr std::size_t kMaxStarts = 4096;

} // namespace

std::size_t ColdStartRateLimit::limit() const
{
  return std::max<std::size_t>(1, static_cast<std::size_t>(mRequestsPerSecond));
}

bool ColdStartRateLimit::mayStart(TimePoint aNow) const
{
  return !isCold(aNow) || !nextStart(aNow);
}

bool ColdStartRateLimit::wasIdle(TimePoint aNow) const
{
  return aNow - mLastStart >= kIdle;
}

void ColdStartRateLimit::recordDispatch(TimePoint aNow)
{
  if (wasIdle(aNow)) {
    mColdUntil = std::max(mColdUntil, aNow + kAssumedCold);
  }
  mLastStart = aNow;
  while (!mStarts.empty() && (aNow - mStarts.front() >= kWindow || mStarts.size() >= kMaxStarts)) {
    mStarts.pop_front();
  }
  mStarts.push_back(aNow);
}

std::optional<TimePoint> ColdStartRateLimit::nextStart(TimePoint aNow) const
{
  if (!isCold(aNow) || mStarts.size() < limit()) {
    return std::nullopt;
  }
  const TimePoint free = mStarts[mStarts.size() - limit()] + kWindow;
  return free > aNow ? std::optional<TimePoint>(std::min(free, mColdUntil)) : std::nullopt;
}

} // namespace camphorcleat::traffic
