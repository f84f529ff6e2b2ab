// Computes the suspended time from the two clocks of Linux that start when the VM boots.

#include "base/Time.h"

#include <ctime>

namespace camphorcleat {

namespace {

Duration readClock(clockid_t aClock)
{
  timespec time{};
  ::clock_gettime(aClock, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

Duration suspendedTime()
{
  // CLOCK_BOOTTIME includes suspended time and CLOCK_MONOTONIC does not. Reading the latter first
  // keeps the difference from being negative.
  const Duration running = readClock(CLOCK_MONOTONIC);
  return readClock(CLOCK_BOOTTIME) - running;
}

Duration timeSinceBoot()
{
  return readClock(CLOCK_BOOTTIME);
}

} // namespace camphorcleat
