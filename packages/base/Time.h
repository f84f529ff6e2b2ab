// Time types used by all packages.
//
// Decision logic takes the current time as an argument and never reads a clock, so that tests can
// control it. It uses only monotonic time, because a step of the wall clock must not end or extend
// a lease.

#ifndef CAMPHORCLEAT_BASE_TIME_H_
#define CAMPHORCLEAT_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace camphorcleat {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

/// Returns the total time for which this VM has been suspended since it booted. The steady clock
/// does not advance during a suspension. Thread-safe.
Duration suspendedTime();

/// Returns the time since this VM booted, including suspensions. Thread-safe.
Duration timeSinceBoot();

/// Returns the whole milliseconds of a duration, rounded towards zero. Thread-safe.
constexpr std::int64_t toMillis(Duration aDuration)
{
  return std::chrono::duration_cast<Millis>(aDuration).count();
}

/// Returns a duration in seconds. Thread-safe.
constexpr double toSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Returns a duration of aSeconds, rounded towards zero. Thread-safe.
constexpr Duration fromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_TIME_H_
