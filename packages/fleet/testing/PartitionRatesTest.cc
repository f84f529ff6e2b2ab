// Guards against placement by rates that are wrong after a move or vary by chance.

#include <cmath>
#include <random>

#include <catch2/catch.hpp>

#include "fleet/PartitionRates.h"
#include "wire/RateWindow.h"

namespace camphorcleat::fleet {
namespace {

constexpr Millis kStep{ 100 };

// One partition and the reports of its owner.
struct Fixture
{
  GrantTable grants{ wire::PartitionGrant{ 1, 11, 5, kNoNode, {} } };
  std::map<NodeId, NodeLoad> loads;
  PartitionRates rates;
  TimePoint now{ std::chrono::hours(1) };

  void report(NodeId aNode, double aRate)
  {
    loads.clear();
    loads[aNode].partitionLoads = { { 0, aRate } };
    now += kStep;
    rates.update(now, grants, loads);
  }
  double rate() const { return rates.perSecond()[0]; }
};

// The rate that an owner reports this long after its first request, at one request a second.
double measuredAfter(Duration aTime)
{
  return 1 - std::exp(-toSeconds(aTime) / toSeconds(wire::kRateWindow));
}

} // namespace

// Guards against a receiver that looks idle, because it hasn't measured its new partition yet.
TEST_CASE("the rate of a partition is known throughout its move")
{
  Fixture f;
  for (int i = 0; i < 100; ++i) {
    f.report(1, 40);
  }
  REQUIRE(f.rate() == Approx(40));
  f.grants[0].movingTo = 2;
  for (int i = 0; i < 10; ++i) {
    f.report(1, 40 * std::exp(-0.1 * i)); // Nothing arrives during the handover.
    CHECK(f.rate() == Approx(40));
  }
  f.grants[0] = wire::PartitionGrant{ 2, 22, 9, kNoNode, {} };
  for (int i = 0; i < 100; ++i) {
    f.report(2, 40 * measuredAfter(i * kStep));
    CHECK(f.rate() == Approx(40).epsilon(0.02));
  }
}

// Guards against keys placed on a node, or taken from it, because its connection was lost.
TEST_CASE("the rates of an owner that doesn't report stay as they were")
{
  Fixture f;
  for (int i = 0; i < 100; ++i) {
    f.report(1, 40);
  }
  f.loads.clear();
  for (int i = 0; i < 50; ++i) {
    f.now += kStep;
    f.rates.update(f.now, f.grants, f.loads);
  }
  CHECK(f.rate() == Approx(40));
}

TEST_CASE("the first report to a leader counts in full")
{
  Fixture f;
  f.report(1, 2);
  CHECK(f.rate() == Approx(2));
}

// Guards against rates of an earlier term that are added to what the next owner has measured since.
TEST_CASE("records are forgotten after a time without updates")
{
  Fixture f;
  for (int i = 0; i < 100; ++i) {
    f.report(1, 40);
  }
  f.now += std::chrono::seconds(60);
  f.grants[0] = wire::PartitionGrant{ 2, 22, 9, kNoNode, {} };
  f.report(2, 40);
  CHECK(f.rate() == Approx(40));
}

// Guards against remnants of rates that keep a service without requests from being balanced.
TEST_CASE("the rate of an idle partition becomes zero")
{
  Fixture f;
  for (int i = 0; i < 100; ++i) {
    f.report(1, 40);
  }
  for (int i = 0; i < 1000; ++i) {
    f.report(1, 0);
  }
  CHECK(f.rate() == 0);
}

TEST_CASE("a partition that turns hot shows most of its rate within two windows")
{
  Fixture f;
  for (int i = 0; i < 100; ++i) {
    f.report(1, 2);
  }
  for (int i = 0; i < 30; ++i) {
    f.report(1, 2 + 198 * measuredAfter(i * kStep));
  }
  CHECK(f.rate() > 100);
}

TEST_CASE("random differences of a short window are averaged")
{
  Fixture f;
  std::mt19937 random(1);
  double measured = 30;
  double largest = 0;
  double largestOfWindow = 0;
  for (int i = 0; i < 600; ++i) {
    const double seconds = toSeconds(kStep);
    measured *= std::exp(-seconds / toSeconds(wire::kRateWindow));
    measured += std::poisson_distribution<int>(30 * seconds)(random) / toSeconds(wire::kRateWindow);
    f.report(1, measured);
    if (i >= 100) {
      largest = std::max(largest, std::abs(f.rate() - 30));
      largestOfWindow = std::max(largestOfWindow, std::abs(measured - 30));
    }
  }
  CHECK(largest < largestOfWindow / 2);
}

} // namespace camphorcleat::fleet
