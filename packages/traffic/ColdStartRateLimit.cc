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

// Share of the cold rate by which a target may exceed it for one second.
constexpr double kExcess = 0.5;

// Bounds the memory. A limit above this value has no effect.
constexpr std::size_t kMaxDispatches = 4096;

} // namespace

std::size_t ColdStartRateLimit::limit() const
{
  return std::max<std::size_t>(1, static_cast<std::size_t>(mRequestsPerSecond));
}

std::size_t ColdStartRateLimit::uncoveredLimit() const
{
  return std::max<std::size_t>(1, static_cast<std::size_t>(mRequestsPerSecond * (1 + kExcess)));
}

// Returns the number of dispatches of the last second that followed the latest report.
std::size_t ColdStartRateLimit::uncoveredCount(TimePoint aNow) const
{
  const auto first = std::upper_bound(mDispatches.begin(), mDispatches.end(),
                                      std::max<TimePoint>(mReportedAt, aNow - kWindow));
  return static_cast<std::size_t>(mDispatches.end() - first);
}

void ColdStartRateLimit::reportAsOf(TimePoint aNow, TimePoint aAsOf, Duration aTime)
{
  if (aAsOf < mReportedAt) {
    return;
  }
  mReportedAt = aAsOf;
  mColdUntil = aNow + aTime;
  mReportedColdUntil = mColdUntil;
}

bool ColdStartRateLimit::needsReport(TimePoint aNow) const
{
  return mRequestsPerSecond > 0 && aNow >= mReportedColdUntil && uncoveredCount(aNow) >= limit();
}

bool ColdStartRateLimit::mayDispatch(TimePoint aNow) const
{
  return !nextDispatch(aNow);
}

bool ColdStartRateLimit::wasIdle(TimePoint aNow) const
{
  return aNow - mLastDispatch >= kIdle;
}

void ColdStartRateLimit::recordDispatch(TimePoint aNow)
{
  if (wasIdle(aNow)) {
    mColdUntil = std::max(mColdUntil, aNow + kAssumedCold);
  }
  mLastDispatch = aNow;
  while (!mDispatches.empty() &&
         (aNow - mDispatches.front() >= kWindow || mDispatches.size() >= kMaxDispatches)) {
    mDispatches.pop_front();
  }
  mDispatches.push_back(aNow);
}

std::optional<TimePoint> ColdStartRateLimit::nextDispatch(TimePoint aNow) const
{
  if (mRequestsPerSecond <= 0) {
    return std::nullopt;
  }
  if (!isCold(aNow)) {
    const std::size_t n = uncoveredLimit();
    return uncoveredCount(aNow) < n ? std::nullopt
                                    : std::optional(mDispatches[mDispatches.size() - n] + kWindow);
  }
  const TimePoint earlierCounted = mProcessStart + kWindow;
  if (aNow < earlierCounted && aNow < mReportedColdUntil) {
    return std::min(earlierCounted, mReportedColdUntil);
  }
  if (mDispatches.size() < limit()) {
    return std::nullopt;
  }
  const TimePoint free = mDispatches[mDispatches.size() - limit()] + kWindow;
  return free > aNow ? std::optional<TimePoint>(std::min(free, mColdUntil)) : std::nullopt;
}

} // namespace camphorcleat::traffic
