// Guards against a grant that lets the target run work after the daemon's lease has ended.
//
// CAMPHORCLEAT_SEED=<n> repeats one series of random clocks.

#include <cstdlib>
#include <random>

#include <catch2/catch.hpp>

#include "daemon/TargetWatch.h"

namespace camphorcleat::daemon {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

TargetHealth healthAt(std::int64_t aClockMillis)
{
  TargetHealth out;
  out.clockMillis = aClockMillis;
  return out;
}

// The time of a clock in whole milliseconds, as in a health response.
std::int64_t shownMillis(Duration aTime)
{
  return std::chrono::floor<Millis>(aTime).count();
}

} // namespace

TEST_CASE("a grant ends with the lease, counted from the response's arrival")
{
  const auto grant = grantFor(healthAt(5000), kStart, kStart + Millis(700), 9);
  REQUIRE(grant);
  CHECK(grant->token == 9);
  CHECK(grant->validUntilClockMillis == 5700);
}

TEST_CASE("a fraction of a millisecond is rounded down")
{
  const auto grant = grantFor(healthAt(5000), kStart, kStart + Micros(700999), 9);
  REQUIRE(grant);
  CHECK(grant->validUntilClockMillis == 5700);
}

TEST_CASE("there is no grant without a lease or a token")
{
  CHECK_FALSE(grantFor(healthAt(5000), kStart, kStart, 9));
  CHECK_FALSE(grantFor(healthAt(5000), kStart, kStart - Millis(1), 9));
  CHECK_FALSE(grantFor(healthAt(5000), kStart, kStart + Micros(999), 9));
  CHECK_FALSE(grantFor(healthAt(5000), kStart, TimePoint(), 9));
  CHECK_FALSE(grantFor(healthAt(5000), kStart, kStart + Millis(700), 0));
}

TEST_CASE("no grant outlives the lease on the target's clock, for random clocks")
{
  const char* text = std::getenv("CAMPHORCLEAT_SEED");
  const std::uint64_t seed = text != nullptr ? std::strtoull(text, nullptr, 10) : 7;
  INFO("repeat with: CAMPHORCLEAT_SEED="
       << seed << " build/testing/daemon_test 'no grant outlives the lease*'");
  std::mt19937_64 random(seed);
  const auto pick = [&](std::int64_t aLeast, std::int64_t aMost) {
    return std::uniform_int_distribution<std::int64_t>(aLeast, aMost)(random);
  };
  std::int64_t maxEarlyMillis = 0;
  for (int i = 0; i < 20000; ++i) {
    // Both clocks start at random times. The target's may be far behind, or below zero.
    const Micros offset(pick(-2'000'000'000, 2'000'000'000));
    const TimePoint readAt = kStart + Micros(pick(0, 1'000'000));
    const TimePoint receivedAt = readAt + Micros(pick(0, 300'000));
    const TimePoint leaseEnd = receivedAt + Micros(pick(-100'000, 1'000'000));
    const auto shown = [&](TimePoint aTime) { return shownMillis(aTime - kStart + offset); };
    const auto grant = grantFor(healthAt(shown(readAt)), receivedAt, leaseEnd, 1);
    if (!grant) {
      REQUIRE(leaseEnd - receivedAt < Millis(1));
      continue;
    }
    // When the lease ends, the target's clock has reached the end of the grant.
    REQUIRE(grant->validUntilClockMillis <= shown(leaseEnd));
    maxEarlyMillis = std::max(maxEarlyMillis, shown(leaseEnd) - grant->validUntilClockMillis);
  }
  // The grant ends early by at most the response's travel time and two rounding errors.
  CHECK(maxEarlyMillis <= 302);
}

} // namespace camphorcleat::daemon
