// Follows a target that announces itself by heartbeats: its present process, its state, its end.
//
// Heartbeats may arrive late, out of order, or from a process whose address another one has taken.
// The latest start counts, and within one process the highest sequence number.

#ifndef CAMPHORCLEAT_DAEMON_TARGETBEATS_H_
#define CAMPHORCLEAT_DAEMON_TARGETBEATS_H_

#include <optional>

#include "daemon/DutyMessages.h"

namespace camphorcleat::daemon {

/// Owner thread only.
class TargetBeats
{
public:
  enum class Verdict
  {
    NewTarget, ///< A process that was not known; nothing of an earlier one holds any more.
    Current,
    Stale, ///< Overtaken by another heartbeat or process: it changes nothing.
  };

  /// Takes a heartbeat into account.
  Verdict note(const TargetHeartbeat& aHeartbeat);

  /// The target says it leaves. False if that isn't the present process.
  bool noteLeaving(const TargetDeregistration& aLeaving);

  /// The process is known to be gone. Heartbeats of it are stale from now on.
  void noteEnd() { mHasEnded = true; }

  bool hasTarget() const { return mLast.has_value() && !mHasEnded; }
  bool isLeaving() const { return mIsLeaving; }

  /// The latest heartbeat. Precondition: note() was called.
  const TargetHeartbeat& last() const { return *mLast; }

  /// A number for the present process; 0 before the first heartbeat.
  Incarnation process() const { return mProcess; }

private:
  bool isPresent(const std::string& aInstance, std::int64_t aStartedAt) const;

  std::optional<TargetHeartbeat> mLast;
  Incarnation mProcess = 0;
  bool mIsLeaving = false;
  bool mHasEnded = false;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_TARGETBEATS_H_
