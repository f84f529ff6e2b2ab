// Reads the processor times once per second, because each reading is a system call.

#include "base/LoopDelay.h"

#include <algorithm>
#include <array>
#include <string>

#include <ctime>

#include <pthread.h>

#include "base/Log.h"

namespace camphorcleat {

namespace {

Duration processorTime(clockid_t aClock)
{
  timespec now{};
  clock_gettime(aClock, &now);
  return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

std::string threadName()
{
  std::array<char, 16> buf{};
  return pthread_getname_np(pthread_self(), buf.data(), buf.size()) == 0 ? buf.data() : "";
}

} // namespace

void LoopDelay::tick(TimePoint aNow)
{
  const Duration late = mLatest == TimePoint() ? Duration(0) : aNow - mLatest - mInterval;
  mPrevious = mLatest;
  mLatest = aNow;
  if (late >= kReported) {
    const Duration threadTime = mThreadTime;
    const Duration processTime = mProcessTime;
    const Duration window = aNow - mCheckedAt;
    check(aNow);
    logEvent(LogLevel::Warning, "thread_late",
             { { "thread", threadName() },
               { "ms", std::to_string(toMillis(late)) },
               { "window_ms", std::to_string(toMillis(window)) },
               { "thread_cpu_ms", std::to_string(toMillis(mThreadTime - threadTime)) },
               { "process_cpu_ms", std::to_string(toMillis(mProcessTime - processTime)) } });
  } else if (aNow - mCheckedAt >= kCheckInterval) {
    check(aNow);
  }
}

void LoopDelay::check(TimePoint aNow)
{
  mCheckedAt = aNow;
  mThreadTime = processorTime(CLOCK_THREAD_CPUTIME_ID);
  mProcessTime = processorTime(CLOCK_PROCESS_CPUTIME_ID);
}

void LoopDelay::reset()
{
  mLatest = mPrevious = TimePoint();
}

Duration LoopDelay::maxUnread(TimePoint aNow) const
{
  const TimePoint since = mPrevious != TimePoint() ? mPrevious : mLatest;
  return since == TimePoint() ? Duration::zero()
                              : std::max<Duration>(aNow - since - 2 * mInterval, Duration::zero());
}

} // namespace camphorcleat
