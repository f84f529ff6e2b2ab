// Posts events of target.scxml when the target's health reports change.
//
// As in traffic::SlowStartLimit, a new incarnation or a reported cold start begins the warm-up
// time. Cold starts that the slow-start limit infers from connection resets, load shedding or
// latency are not reported here.

#ifndef CAMPHORCLEAT_DAEMON_TARGETCHARTREPORTER_H_
#define CAMPHORCLEAT_DAEMON_TARGETCHARTREPORTER_H_

#include <optional>

#include "daemon/ChartMonitor.h"
#include "traffic/OwnerMessages.h"

namespace camphorcleat::daemon {

/// Not thread-safe.
class TargetChartReporter
{
public:
  /// aMonitor must outlive the reporter.
  explicit TargetChartReporter(ChartMonitor& aMonitor)
    : mMonitor(aMonitor)
  {
  }

  /// Reports changes since the last report. An event that the monitor drops is posted again with
  /// the next health report.
  void observe(TimePoint aNow, const traffic::TargetReport& aReport);

private:
  bool updateIncarnation(TimePoint aNow, const traffic::TargetReport& aReport);
  TargetEvent phaseOf(TimePoint aNow, const traffic::TargetReport& aReport) const;

  ChartMonitor& mMonitor;
  bool mIsKnown = false;
  bool mIsReachable = false;
  Incarnation mIncarnation = 0;
  TimePoint mWarmAt;                 // End of the warm-up time.
  std::optional<TargetEvent> mPhase; // Cold, Warming, Warm or Draining.
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_TARGETCHARTREPORTER_H_
