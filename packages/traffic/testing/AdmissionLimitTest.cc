// Guards against admission limits that exceed the target's slots or don't recover after an
// overload, and against slow-start limits that rise too fast.

#include <random>

#include <catch2/catch.hpp>

#include "traffic/AdmissionLimit.h"
#include "traffic/SlowStartLimit.h"

namespace camphorcleat::traffic {

TEST_CASE("shed requests lower the limit and full use raises it again up to the slots")
{
  TimePoint now = TimePoint() + std::chrono::hours(1);
  AdmissionLimit limit;
  limit.setSlots(20);
  REQUIRE(limit.limit(now) == 20);
  limit.shed(now, 20);
  limit.shed(now, 20); // Within decreaseInterval, so the limit decreases only once.
  REQUIRE(limit.limit(now) == 14);
  for (int i = 0; i < 50; ++i) {
    now += Millis(200);
    limit.shed(now, 20);
  }
  REQUIRE(limit.limit(now) == 1);
  for (int i = 0; i < 1'000; ++i) {
    limit.recordResponse(now, Millis(5), limit.limit(now), 1);
    now += Millis(1);
  }
  REQUIRE(limit.limit(now) == 20);
}

TEST_CASE("a limit that is not fully used does not grow")
{
  TimePoint now = TimePoint() + std::chrono::hours(1);
  AdmissionLimit limit;
  limit.setSlots(20);
  limit.shed(now, 20);
  for (int i = 0; i < 1'000; ++i) {
    limit.recordResponse(now, Millis(5), 3, 1);
  }
  REQUIRE(limit.limit(now) == 14);
}

TEST_CASE("latency far above its floor lowers the limit and is reported as one jump")
{
  TimePoint now = TimePoint() + std::chrono::hours(1);
  AdmissionLimit limit;
  limit.setSlots(20);
  for (int i = 0; i < 50; ++i) {
    limit.recordResponse(now, Millis(5), 20, 1);
    REQUIRE_FALSE(limit.takeLatencyJump());
  }
  for (int i = 0; i < 150; ++i) {
    now += Millis(20);
    limit.recordResponse(now, Millis(60), 20, 1);
  }
  REQUIRE(limit.limit(now) < 10);
  REQUIRE(limit.takeLatencyJump());
  REQUIRE_FALSE(limit.takeLatencyJump());
}

TEST_CASE("a mix of fast and slow requests is not detected as an overload")
{
  TimePoint now = TimePoint() + std::chrono::hours(1);
  AdmissionLimit limit;
  limit.setSlots(20);
  std::mt19937_64 random(1);
  for (int i = 0; i < 50'000; ++i) {
    now += Millis(1);
    limit.recordResponse(now, random() % 10 == 0 ? Millis(50) : Millis(1), 20, 1);
    REQUIRE_FALSE(limit.takeLatencyJump());
    REQUIRE(limit.limit(now) == 20);
  }
}

TEST_CASE("a slow-start limit grows linearly and reports the time of each step")
{
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  SlowStartLimit slowStart;
  slowStart.configure(10, 2, Millis(800));
  REQUIRE(slowStart.limit(start) == 10);
  slowStart.start(start);
  TimePoint now = start;
  for (std::uint32_t expected = 2; expected < 10; ++expected) {
    REQUIRE(slowStart.limit(now) == expected);
    now = *slowStart.nextStep(now);
    REQUIRE(now <= start + Millis(100) * (expected - 1) + Micros(2));
  }
  REQUIRE(slowStart.limit(now) == 10);
  REQUIRE_FALSE(slowStart.nextStep(now));
}

} // namespace camphorcleat::traffic
