// Tracks the current process of a target that sends heartbeats, and whether it is leaving or has
// ended.
//
// Heartbeats may arrive late, out of order, or from a process whose address now belongs to another
// one. The process with the latest start time is the current one, and of its heartbeats the one
// with the highest sequence number is the latest.

#ifndef CAMPHORCLEAT_DAEMON_HEARTBEATTRACKER_H_
#define CAMPHORCLEAT_DAEMON_HEARTBEATTRACKER_H_

#include <optional>

#include "daemon/DutyMessages.h"

namespace camphorcleat::daemon {

/// Use on the owner thread only.
class HeartbeatTracker
{
public:
  enum class Verdict
  {
    NewTarget, ///< From a new process, which replaces any earlier one.
    Current,   ///< The latest heartbeat of the current process.
    Stale,     ///< Older than another heartbeat or process, or from an ended process; ignored.
  };

  /// Records a heartbeat unless it is stale.
  Verdict record(const TargetHeartbeat& aHeartbeat);

  /// Records that a process of the target is leaving. Returns false if it isn't the current one.
  bool recordLeaving(const wire::TargetProcess& aProcess);

  /// Records that the current process has ended. Its heartbeats are stale from now on.
  void recordEnd() { mHasEnded = true; }

  /// Returns whether a heartbeat was recorded and the current process has not ended.
  bool hasTarget() const { return mLast.has_value() && !mHasEnded; }
  bool isLeaving() const { return mIsLeaving; }

  /// Returns the latest heartbeat, even if its process has ended. Precondition: record() was
  /// called.
  const TargetHeartbeat& last() const { return *mLast; }

  /// Returns the number of the current process, counted from 1; 0 before the first heartbeat.
  Incarnation processNumber() const { return mProcess; }

private:
  bool isCurrentProcess(const wire::TargetProcess& aProcess) const;

  std::optional<TargetHeartbeat> mLast;
  Incarnation mProcess = 0;
  bool mIsLeaving = false;
  bool mHasEnded = false;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_HEARTBEATTRACKER_H_
