// Limits how many requests a cold target gets in any second.
//
// SlowStartLimit bounds how many run at once; a target that tells a rate instead is bounded here.
// The daemon is the target's only sender, so counting its own dispatches is exact.

#ifndef CAMPHORCLEAT_TRAFFIC_COLDSTARTRATELIMIT_H_
#define CAMPHORCLEAT_TRAFFIC_COLDSTARTRATELIMIT_H_

#include <algorithm>
#include <deque>
#include <optional>

#include "base/Time.h"

namespace camphorcleat::traffic {

/// Memory: one time for each dispatch of the last second. Not thread-safe.
class ColdStartRateLimit
{
public:
  /// Sets the most requests in any second while cold; 0: no limit.
  void configure(double aRequestsPerSecond) { mRequestsPerSecond = aRequestsPerSecond; }

  /// The target says that it stays cold for aTime; zero: it is warm. This ends what was assumed of
  /// a target that had been idle.
  void report(TimePoint aNow, Duration aTime) { mColdUntil = aNow + aTime; }

  bool isCold(TimePoint aNow) const { return mRequestsPerSecond > 0 && aNow < mColdUntil; }

  /// Whether a request may be sent at aNow.
  bool mayStart(TimePoint aNow) const;

  /// A request is sent at aNow. Call it whether the target is cold or not. A target that was idle
  /// may have turned cold unnoticed: it counts as cold until it reports again.
  void recordDispatch(TimePoint aNow);

  /// When the next request may be sent, while none may be.
  std::optional<TimePoint> nextStart(TimePoint aNow) const;

private:
  std::size_t limit() const;
  bool wasIdle(TimePoint aNow) const;

  double mRequestsPerSecond = 0;
  TimePoint mColdUntil;
  TimePoint mLastStart;
  std::deque<TimePoint> mStarts; // Of the last second, oldest first; at most kMaxStarts.
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_COLDSTARTRATELIMIT_H_
