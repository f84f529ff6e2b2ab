// Ordering of heartbeats and target processes.

#include "daemon/HeartbeatTracker.h"

namespace camphorcleat::daemon {

bool HeartbeatTracker::isCurrentProcess(const wire::TargetProcess& aProcess) const
{
  return mLast && mLast->announcement.process() == aProcess;
}

HeartbeatTracker::Verdict HeartbeatTracker::record(const TargetHeartbeat& aHeartbeat)
{
  const wire::Announcement& next = aHeartbeat.announcement;
  if (isCurrentProcess(next.process())) {
    if (mHasEnded || aHeartbeat.sequence <= mLast->sequence) {
      return Verdict::Stale;
    }
    mLast = aHeartbeat;
    mIsLeaving = mIsLeaving || aHeartbeat.isDraining;
    return Verdict::Current;
  }
  if (mLast && next.startedAtUnixMillis < mLast->announcement.startedAtUnixMillis) {
    return Verdict::Stale;
  }
  mLast = aHeartbeat;
  mIsLeaving = aHeartbeat.isDraining;
  mHasEnded = false;
  ++mProcess;
  return Verdict::NewTarget;
}

bool HeartbeatTracker::recordLeaving(const wire::TargetProcess& aProcess)
{
  if (!isCurrentProcess(aProcess)) {
    return false;
  }
  mIsLeaving = true;
  return true;
}

} // namespace camphorcleat::daemon
