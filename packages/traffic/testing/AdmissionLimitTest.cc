// Guards against limits above the slots, limits that don't recover, and ramps that jump.

#include <random>

#include <catch2/catch.hpp>

#include "traffic/AdmissionLimit.h"
#include "traffic/SlowStartLimit.h"

namespace camphorcleat::traffic {

TEST_CASE("sheds lower the limit and use raises it again, never above the slots")
{
  TimePoint now = TimePoint() + std::chrono::hours(1);
  AdmissionLimit limit;
  limit.setSlots(20);
  REQUIRE(limit.limit(now) == 20);
  limit.shed(now);
  limit.shed(now); // The same overload.
  REQUIRE(limit.limit(now) == 14);
  for (int i = 0; i < 50; ++i) {
    now += Millis(200);
    limit.shed(now);
  }
  REQUIRE(limit.limit(now) == 1);
  for (int i = 0; i < 1'000; ++i) {
    limit.answered(now, Millis(5), limit.limit(now));
    now += Millis(1);
  }
  REQUIRE(limit.limit(now) == 20);
}

TEST_CASE("an unused limit does not grow")
{
  TimePoint now = TimePoint() + std::chrono::hours(1);
  AdmissionLimit limit;
  limit.setSlots(20);
  limit.shed(now);
  for (int i = 0; i < 1'000; ++i) {
    limit.answered(now, Millis(5), 3);
  }
  REQUIRE(limit.limit(now) == 14);
}

TEST_CASE("latency far above its floor lowers the limit and shows as one jump")
{
  TimePoint now = TimePoint() + std::chrono::hours(1);
  AdmissionLimit limit;
  limit.setSlots(20);
  for (int i = 0; i < 50; ++i) {
    limit.answered(now, Millis(5), 20);
    REQUIRE_FALSE(limit.takeLatencyJump());
  }
  for (int i = 0; i < 150; ++i) {
    now += Millis(20);
    limit.answered(now, Millis(60), 20);
  }
  REQUIRE(limit.limit(now) < 10);
  REQUIRE(limit.takeLatencyJump());
  REQUIRE_FALSE(limit.takeLatencyJump());
}

TEST_CASE("fast and slow kinds of requests together do not look like an overload")
{
  TimePoint now = TimePoint() + std::chrono::hours(1);
  AdmissionLimit limit;
  limit.setSlots(20);
  std::mt19937_64 random(1);
  for (int i = 0; i < 50'000; ++i) {
    now += Millis(1);
    limit.answered(now, random() % 10 == 0 ? Millis(50) : Millis(1), 20);
    REQUIRE_FALSE(limit.takeLatencyJump());
    REQUIRE(limit.limit(now) == 20);
  }
}

TEST_CASE("a ramp climbs linearly and wakes at each step")
{
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  SlowStartLimit ramp;
  ramp.configure(10, 2, Millis(800));
  REQUIRE(ramp.limit(start) == 10);
  ramp.start(start);
  TimePoint now = start;
  for (std::uint32_t expected = 2; expected < 10; ++expected) {
    REQUIRE(ramp.limit(now) == expected);
    now = *ramp.nextStep(now);
    REQUIRE(now <= start + Millis(100) * (expected - 1) + Micros(2));
  }
  REQUIRE(ramp.limit(now) == 10);
  REQUIRE_FALSE(ramp.nextStep(now));
}

} // namespace camphorcleat::traffic
