// Guards against a target stand-in that bears more, or takes more orders, than a real one would:
// it would hide faults of the daemon.

#include <catch2/catch.hpp>

#include "harness/TargetModel.h"

namespace camphorcleat::harness {
namespace {

const TimePoint kStart{ std::chrono::hours(1) };

TargetSettings settings()
{
  TargetSettings out;
  out.slots = 10;
  out.coldSlots = 2;
  out.warmUp = Millis(800);
  out.serviceTimeMs = 6;
  out.isFixedTime = true;
  return out;
}

TargetSettings checking()
{
  TargetSettings out = settings();
  out.checksGrants = true;
  out.coldSlots = 10;
  return out;
}

} // namespace

TEST_CASE("the limit climbs linearly from the cold slots to all slots")
{
  TargetModel model(settings(), kStart);
  REQUIRE(model.limit(kStart) == 2);
  REQUIRE(model.phase(kStart) == TargetPhase::Cold);
  REQUIRE(model.limit(kStart + Millis(400)) == 6);
  REQUIRE(model.phase(kStart + Millis(400)) == TargetPhase::Warming);
  REQUIRE(model.limit(kStart + Millis(799)) == 9);
  REQUIRE(model.limit(kStart + Millis(800)) == 10);
  REQUIRE(model.phase(kStart + Millis(800)) == TargetPhase::Serving);
  model.coldStart(kStart + Millis(1000));
  REQUIRE(model.limit(kStart + Millis(1000)) == 2);
}

TEST_CASE("requests beyond the limit are run slowly, or shed if the target sheds")
{
  TargetSettings shedding = settings();
  shedding.sheds = true;
  TargetModel slow(settings(), kStart);
  TargetModel sheds(shedding, kStart);
  for (int i = 0; i < 2; ++i) {
    REQUIRE(slow.admit(kStart, {}, {}) == Admission::Run);
    REQUIRE(sheds.admit(kStart, {}, {}) == Admission::Run);
  }
  REQUIRE(slow.admit(kStart, {}, {}) == Admission::RunSlowly);
  REQUIRE(sheds.admit(kStart, {}, {}) == Admission::RefuseShed);
  REQUIRE(slow.inFlight() == 3);
  REQUIRE(sheds.inFlight() == 2);
  REQUIRE(slow.serviceTime(kStart, {}, Admission::RunSlowly) >
          slow.serviceTime(kStart, {}, Admission::Run));
  sheds.finish();
  REQUIRE(sheds.admit(kStart, {}, {}) == Admission::Run);
}

TEST_CASE("a checking target refuses work without a live grant")
{
  TargetModel model(checking(), kStart);
  REQUIRE(model.admit(kStart, 1, 5) == Admission::RefuseFence);
  const std::int64_t now = model.clockMs(kStart);
  REQUIRE(model.grant({ 5, now + 100 }));
  REQUIRE(model.admit(kStart + Millis(99), 1, 5) == Admission::Run);
  REQUIRE(model.admit(kStart + Millis(100), 1, 5) == Admission::RefuseFence);
}

TEST_CASE("an older grant neither shortens nor replaces a newer one")
{
  TargetModel model(checking(), kStart);
  const std::int64_t now = model.clockMs(kStart);
  REQUIRE(model.grant({ 5, now + 100 }));
  REQUIRE(model.grant({ 5, now + 50 }));
  REQUIRE(model.admit(kStart + Millis(80), 1, 5) == Admission::Run);
  REQUIRE_FALSE(model.grant({ 4, now + 1000 }));
  REQUIRE(model.admit(kStart + Millis(200), 1, 5) == Admission::RefuseFence);
}

TEST_CASE("a checking target refuses a fence lower than one seen for the partition")
{
  TargetModel model(checking(), kStart);
  REQUIRE(model.grant({ 9, model.clockMs(kStart) + 1000 }));
  REQUIRE(model.admit(kStart, 1, 7) == Admission::Run);
  REQUIRE(model.admit(kStart, 1, 6) == Admission::RefuseFence);
  REQUIRE(model.admit(kStart, 1, {}) == Admission::RefuseFence);
  REQUIRE(model.admit(kStart, 2, 6) == Admission::Run);
  REQUIRE(model.admit(kStart, 1, 7) == Admission::Run);
}

TEST_CASE("a restart forgets grants and requests and has another incarnation and clock")
{
  TargetModel model(checking(), kStart);
  REQUIRE(model.grant({ 9, model.clockMs(kStart) + 1000 }));
  REQUIRE(model.admit(kStart, 1, 7) == Admission::Run);
  const TargetHealth before = model.health(kStart);
  model.restart(kStart);
  const TargetHealth after = model.health(kStart);
  REQUIRE(before.incarnation != after.incarnation);
  REQUIRE(before.clockMs != after.clockMs);
  REQUIRE(after.inFlight == 0);
  REQUIRE(model.admit(kStart, 1, 7) == Admission::RefuseFence);
}

TEST_CASE("a draining target refuses new work and says so")
{
  TargetModel model(settings(), kStart);
  model.drain();
  REQUIRE(model.admit(kStart, {}, {}) == Admission::RefuseDraining);
  REQUIRE(model.health(kStart).state == TargetPhase::Draining);
}

TEST_CASE("service times follow the override and the slow factor until its end")
{
  TargetModel model(settings(), kStart);
  REQUIRE(model.serviceTime(kStart, {}, Admission::Run) == Millis(6));
  REQUIRE(model.serviceTime(kStart, 20, Admission::Run) == Millis(20));
  model.slowDown(10, kStart + Millis(500));
  REQUIRE(model.serviceTime(kStart + Millis(499), {}, Admission::Run) == Millis(60));
  REQUIRE(model.serviceTime(kStart + Millis(500), {}, Admission::Run) == Millis(6));
}

TEST_CASE("exponential service times have the mean asked for")
{
  TargetSettings random = settings();
  random.isFixedTime = false;
  TargetModel model(random, kStart);
  double sum = 0;
  constexpr int kSamples = 20000;
  for (int i = 0; i < kSamples; ++i) {
    sum += toSeconds(model.serviceTime(kStart, {}, Admission::Run));
  }
  // The standard error of the mean is 6 ms / sqrt(20000) = 0.04 ms.
  REQUIRE(sum / kSamples * 1000 == Approx(6).margin(0.2));
}

} // namespace camphorcleat::harness
