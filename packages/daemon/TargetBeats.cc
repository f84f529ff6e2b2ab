// Order of heartbeats and processes.

#include "daemon/TargetBeats.h"

namespace camphorcleat::daemon {

bool TargetBeats::isPresent(const std::string& aInstance, std::int64_t aStartedAt) const
{
  return mLast && mLast->announcement.instance == aInstance &&
         mLast->announcement.startedAtUnixMillis == aStartedAt;
}

TargetBeats::Verdict TargetBeats::note(const TargetHeartbeat& aHeartbeat)
{
  const wire::Announcement& next = aHeartbeat.announcement;
  if (isPresent(next.instance, next.startedAtUnixMillis)) {
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

bool TargetBeats::noteLeaving(const TargetDeregistration& aLeaving)
{
  const bool isPresentTarget =
    mLast && isPresent(aLeaving.instance, aLeaving.startedAtUnixMillis.value_or(
                                            mLast->announcement.startedAtUnixMillis));
  if (!isPresentTarget) {
    return false;
  }
  mIsLeaving = true;
  return true;
}

} // namespace camphorcleat::daemon
