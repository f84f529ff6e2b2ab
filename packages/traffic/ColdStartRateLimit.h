// Limits the rate of requests that are sent to a cold target.
//
// SlowStartLimit bounds the number of requests in flight at a cold target. This class is for
// targets that announce a maximum rate instead. The daemon is the only sender of its target, so
// counting its own dispatches is exact, except for those of an earlier process of the daemon. It
// may have sent as many as the target bears right before this process started.
//
// A target may become cold at any moment and reports it only later. So a warm target gets a limited
// number of requests that no report covers: if it turns cold right after a report, it has had no
// more of them than it can bear when it reports that.

#ifndef CAMPHORCLEAT_TRAFFIC_COLDSTARTRATELIMIT_H_
#define CAMPHORCLEAT_TRAFFIC_COLDSTARTRATELIMIT_H_

#include <algorithm>
#include <deque>
#include <optional>

#include "base/Time.h"

namespace camphorcleat::traffic {

/// Stores one timestamp for each dispatch of the last second. Not thread-safe.
class ColdStartRateLimit
{
public:
  /// aProcessStart is a time after which no earlier process of this daemon sent requests.
  explicit ColdStartRateLimit(TimePoint aProcessStart = TimePoint())
    : mProcessStart(aProcessStart)
  {
  }

  /// Sets the maximum number of requests in any second while the target is cold; 0 means no limit.
  void configure(double aRequestsPerSecond) { mRequestsPerSecond = aRequestsPerSecond; }

  /// Records a report of the target that it stays cold for aTime; zero means that it is warm. The
  /// report replaces the assumption that recordDispatch() makes about an idle target.
  void report(TimePoint aNow, Duration aTime) { reportAsOf(aNow, aNow, aTime); }

  /// Same as above, for a report that may be as old as aAsOf. It is ignored if a newer one was
  /// recorded.
  void reportAsOf(TimePoint aNow, TimePoint aAsOf, Duration aTime);

  bool isCold(TimePoint aNow) const { return mRequestsPerSecond > 0 && aNow < mColdUntil; }

  /// Returns whether a request may be sent at aNow.
  bool mayDispatch(TimePoint aNow) const;

  /// Records that a request is sent at aNow. Must also be called while the target is warm: after an
  /// idle period the target may have become cold without reporting it yet, so it is assumed to be
  /// cold until its next report.
  void recordDispatch(TimePoint aNow);

  /// Returns whether a report is needed soon, or else requests will have to wait for it.
  bool needsReport(TimePoint aNow) const;

  /// Returns when the next request may be sent, or nothing if one may be sent at aNow.
  std::optional<TimePoint> nextDispatch(TimePoint aNow) const;

private:
  std::size_t limit() const;
  std::size_t uncoveredLimit() const;
  std::size_t uncoveredCount(TimePoint aNow) const;
  bool wasIdle(TimePoint aNow) const;

  TimePoint mProcessStart;
  double mRequestsPerSecond = 0;
  TimePoint mColdUntil; // Reported or assumed.
  TimePoint mReportedColdUntil;
  TimePoint mReportedAt; // The time as of which the latest report was made.
  TimePoint mLastDispatch;
  std::deque<TimePoint> mDispatches; // Of the last second, oldest first; at most kMaxDispatches.
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_COLDSTARTRATELIMIT_H_
