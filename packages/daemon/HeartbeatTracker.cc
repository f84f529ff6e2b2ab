// Ordering of heartbeats and target processes.

#include "daemon/HeartbeatTracker.h"

namespace camphorcleat::daemon {

bool HeartbeatTracker::isCurrentProcess(const std::string& aInstance, std::int64_t aStartedAt) const
{
  return mLast && mLast->announcement.instance == aInstance &&
         mLast->announcement.startedAtUnixMillis == aStartedAt;
}

HeartbeatTracker::Verdict HeartbeatTracker::record(const TargetHeartbeat& aHeartbeat)
{
  const wire::Announcement& next = aHeartbeat.announcement;
  if (isCurrentProcess(next.instance, next.startedAtUnixMillis)) {
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

bool HeartbeatTracker::recordLeaving(const TargetDeregistration& aDeregistration)
{
  const bool isCurrent = mLast && isCurrentProcess(aDeregistration.instance,
                                                   aDeregistration.startedAtUnixMillis.value_or(
                                                     mLast->announcement.startedAtUnixMillis));
  if (!isCurrent) {
    return false;
  }
  mIsLeaving = true;
  return true;
}

} // namespace camphorcleat::daemon
