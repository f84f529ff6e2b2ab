// Guards against load-balancing policies that choose unusable or slow targets or ignore zones.

#include <catch2/catch.hpp>

#include "traffic/LatencyTracker.h"
#include "traffic/LeastReportedLoadPolicy.h"
#include "traffic/PowerOfTwoPolicy.h"
#include "traffic/RoundRobinPolicy.h"

namespace camphorcleat::traffic {
namespace {

std::vector<Candidate> candidates()
{
  std::vector<Candidate> out;
  for (NodeId i = 0; i < 6; ++i) {
    out.push_back(Candidate{ i + 1, i < 3 ? "a" : "b", 0, 20, Millis(5), 6.0 - i, true });
  }
  return out;
}

} // namespace

TEST_CASE("no policy chooses an unusable target")
{
  std::mt19937_64 random(1);
  PowerOfTwoPolicy powerOfTwo("a", random);
  RoundRobinPolicy roundRobin;
  LeastReportedLoadPolicy leastLoad;
  auto all = candidates();
  for (auto& it : all) {
    it.isUsable = it.node == 5;
  }
  for (LoadBalancingPolicy* it :
       std::initializer_list<LoadBalancingPolicy*>{ &powerOfTwo, &roundRobin, &leastLoad }) {
    for (int i = 0; i < 20; ++i) {
      REQUIRE(it->choose(all) == std::size_t{ 4 });
    }
    REQUIRE_FALSE(it->choose({}));
  }
  all[4].isUsable = false;
  REQUIRE_FALSE(powerOfTwo.choose(all));
}

TEST_CASE("the own zone is preferred until it is clearly fuller than the others")
{
  std::mt19937_64 random(1);
  PowerOfTwoPolicy policy("a", random);
  auto all = candidates();
  all[0].inFlight = 5; // 5 of 60 slots in the zone, which is within kFullnessMargin.
  for (int i = 0; i < 50; ++i) {
    REQUIRE(*policy.choose(all) < 3);
  }
  all[0].inFlight = all[1].inFlight = 20;
  for (int i = 0; i < 50; ++i) {
    REQUIRE(*policy.choose(all) >= 3);
  }
}

// Guards against requests whose bodies are sent to another zone only because it has a faster
// target.
TEST_CASE("a fast enough target in the own zone is preferred to faster ones in other zones")
{
  std::mt19937_64 random(1);
  PowerOfTwoPolicy policy("a", random);
  auto all = candidates();
  for (int i = 0; i < 3; ++i) {
    all[i].averageLatency = Millis(100);
    all[i].inFlight = 8;
  }
  for (int i = 0; i < 50; ++i) {
    REQUIRE(*policy.choose(all, Millis(100)) < 3);
    REQUIRE(*policy.choose(all, Millis(99)) >= 3);
  }
  for (int i = 0; i < 3; ++i) {
    all[i].inFlight = 20;
  }
  REQUIRE(*policy.choose(all, Millis(100)) >= 3);
}

TEST_CASE("a target that is ten times slower gets no requests")
{
  std::mt19937_64 random(1);
  PowerOfTwoPolicy policy("a", random);
  auto all = candidates();
  all[1].averageLatency = Millis(50);
  int slowCount = 0;
  for (int i = 0; i < 1'000; ++i) {
    slowCount += *policy.choose(all) == 1 ? 1 : 0;
  }
  REQUIRE(slowCount == 0);
}

TEST_CASE("round robin uses each target in turn and least load follows the reports")
{
  RoundRobinPolicy roundRobin;
  LeastReportedLoadPolicy leastLoad;
  auto all = candidates();
  all[2].isUsable = false;
  for (const std::size_t expected : { 0, 1, 3, 4, 5, 0 }) {
    REQUIRE(roundRobin.choose(all) == expected);
  }
  REQUIRE(leastLoad.choose(all) == std::size_t{ 5 });
}

TEST_CASE("a latency quantile ignores samples older than two windows")
{
  TimePoint now = TimePoint() + std::chrono::hours(1);
  LatencyTracker tracker(0.95, Millis(1'000));
  const auto addWindow = [&](int aFactor) {
    for (int i = 0; i < 1'000; ++i) {
      tracker.add(now, Micros(aFactor * (i * 7 % 1'000)));
      now += Millis(1);
    }
  };
  REQUIRE_FALSE(tracker.quantile(now));
  addWindow(10);
  REQUIRE(toMillis(*tracker.quantile(now)) == Approx(9.5).margin(1));
  addWindow(100);
  addWindow(100);
  REQUIRE(toMillis(*tracker.quantile(now)) == Approx(95).margin(5));
  now += Millis(3'000);
  REQUIRE_FALSE(tracker.quantile(now));
}

} // namespace camphorcleat::traffic
