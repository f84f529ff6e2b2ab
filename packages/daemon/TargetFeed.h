// Turns health reports into events of target.scxml.
//
// The phase follows the same facts as traffic::SlowStartLimit: a new incarnation or a reported cold
// start begins the warm-up time. Cold starts that the ramp infers from resets, sheds or latency are
// not reported here.

#ifndef CAMPHORCLEAT_DAEMON_TARGETFEED_H_
#define CAMPHORCLEAT_DAEMON_TARGETFEED_H_

#include <optional>

#include "daemon/ChartBoard.h"
#include "traffic/OwnerMessages.h"

namespace camphorcleat::daemon {

/// Not thread-safe.
class TargetFeed
{
public:
  /// The board outlives the feed.
  explicit TargetFeed(ChartBoard& aBoard)
    : mBoard(aBoard)
  {
  }

  /// Reports what changed since the last report. An event that the board drops is reported again
  /// with the next health answer.
  void observe(TimePoint aNow, const traffic::TargetReport& aReport);

private:
  bool noteIncarnation(TimePoint aNow, const traffic::TargetReport& aReport);
  TargetEvent phaseOf(TimePoint aNow, const traffic::TargetReport& aReport) const;

  ChartBoard& mBoard;
  bool mIsKnown = false;
  bool mIsReachable = false;
  Incarnation mIncarnation = 0;
  TimePoint mWarmAt;
  std::optional<TargetEvent> mPhase; // Cold, Warming, Warm or Draining.
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_TARGETFEED_H_
