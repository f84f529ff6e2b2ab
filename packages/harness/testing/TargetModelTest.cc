// Guards against a target stand-in that accepts more requests or weaker grants than a real target:
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
  out.hasFixedServiceTime = true;
  return out;
}

TargetSettings grantCheckingSettings()
{
  TargetSettings out = settings();
  out.checksGrants = true;
  out.coldSlots = 10;
  return out;
}

} // namespace

TEST_CASE("the concurrency limit rises linearly from the cold slots to all slots")
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

TEST_CASE("requests above the limit run slowly, or are refused if the target sheds load")
{
  TargetSettings sheddingSettings = settings();
  sheddingSettings.shedsLoad = true;
  TargetModel slowModel(settings(), kStart);
  TargetModel sheddingModel(sheddingSettings, kStart);
  for (int i = 0; i < 2; ++i) {
    REQUIRE(slowModel.admit(kStart, {}, {}) == AdmissionDecision::Run);
    REQUIRE(sheddingModel.admit(kStart, {}, {}) == AdmissionDecision::Run);
  }
  REQUIRE(slowModel.admit(kStart, {}, {}) == AdmissionDecision::RunOverLimit);
  REQUIRE(sheddingModel.admit(kStart, {}, {}) == AdmissionDecision::RefuseShed);
  REQUIRE(slowModel.inFlight() == 3);
  REQUIRE(sheddingModel.inFlight() == 2);
  REQUIRE(slowModel.serviceTime(kStart, {}, AdmissionDecision::RunOverLimit) >
          slowModel.serviceTime(kStart, {}, AdmissionDecision::Run));
  sheddingModel.finishRequest();
  REQUIRE(sheddingModel.admit(kStart, {}, {}) == AdmissionDecision::Run);
}

TEST_CASE("a target that checks grants refuses requests without a valid grant")
{
  TargetModel model(grantCheckingSettings(), kStart);
  REQUIRE(model.admit(kStart, 1, 5) == AdmissionDecision::RefuseFenced);
  const std::int64_t now = model.clockMs(kStart);
  REQUIRE(model.applyGrant({ 5, now + 100 }));
  REQUIRE(model.admit(kStart + Millis(99), 1, 5) == AdmissionDecision::Run);
  REQUIRE(model.admit(kStart + Millis(100), 1, 5) == AdmissionDecision::RefuseFenced);
}

TEST_CASE("an older grant neither shortens nor replaces a newer one")
{
  TargetModel model(grantCheckingSettings(), kStart);
  const std::int64_t now = model.clockMs(kStart);
  REQUIRE(model.applyGrant({ 5, now + 100 }));
  REQUIRE(model.applyGrant({ 5, now + 50 }));
  REQUIRE(model.admit(kStart + Millis(80), 1, 5) == AdmissionDecision::Run);
  REQUIRE_FALSE(model.applyGrant({ 4, now + 1000 }));
  REQUIRE(model.admit(kStart + Millis(200), 1, 5) == AdmissionDecision::RefuseFenced);
}

TEST_CASE("a target that checks grants refuses a fence below the partition's highest one")
{
  TargetModel model(grantCheckingSettings(), kStart);
  REQUIRE(model.applyGrant({ 9, model.clockMs(kStart) + 1000 }));
  REQUIRE(model.admit(kStart, 1, 7) == AdmissionDecision::Run);
  REQUIRE(model.admit(kStart, 1, 6) == AdmissionDecision::RefuseFenced);
  REQUIRE(model.admit(kStart, 1, {}) == AdmissionDecision::RefuseFenced);
  REQUIRE(model.admit(kStart, 2, 6) == AdmissionDecision::Run);
  REQUIRE(model.admit(kStart, 1, 7) == AdmissionDecision::Run);
}

TEST_CASE("a restart drops grants and requests and changes incarnation and clock")
{
  TargetModel model(grantCheckingSettings(), kStart);
  REQUIRE(model.applyGrant({ 9, model.clockMs(kStart) + 1000 }));
  REQUIRE(model.admit(kStart, 1, 7) == AdmissionDecision::Run);
  const TargetHealth before = model.health(kStart);
  model.restart(kStart);
  const TargetHealth after = model.health(kStart);
  REQUIRE(before.incarnation != after.incarnation);
  REQUIRE(before.clockMs != after.clockMs);
  REQUIRE(after.inFlight == 0);
  REQUIRE(model.admit(kStart, 1, 7) == AdmissionDecision::RefuseFenced);
}

TEST_CASE("a draining target refuses new requests and reports that it is draining")
{
  TargetModel model(settings(), kStart);
  model.startDraining();
  REQUIRE(model.admit(kStart, {}, {}) == AdmissionDecision::RefuseDraining);
  REQUIRE(model.health(kStart).state == TargetPhase::Draining);
}

TEST_CASE("the override replaces the service time, and the slowdown factor ends on time")
{
  TargetModel model(settings(), kStart);
  REQUIRE(model.serviceTime(kStart, {}, AdmissionDecision::Run) == Millis(6));
  REQUIRE(model.serviceTime(kStart, 20, AdmissionDecision::Run) == Millis(20));
  model.setSlowdown(10, kStart + Millis(500));
  REQUIRE(model.serviceTime(kStart + Millis(499), {}, AdmissionDecision::Run) == Millis(60));
  REQUIRE(model.serviceTime(kStart + Millis(500), {}, AdmissionDecision::Run) == Millis(6));
}

TEST_CASE("exponential service times have the configured mean")
{
  TargetSettings exponential = settings();
  exponential.hasFixedServiceTime = false;
  TargetModel model(exponential, kStart);
  double sum = 0;
  constexpr int kSamples = 20000;
  for (int i = 0; i < kSamples; ++i) {
    sum += toSeconds(model.serviceTime(kStart, {}, AdmissionDecision::Run));
  }
  // The standard error of the mean is 6 ms / sqrt(20000) = 0.04 ms.
  REQUIRE(sum / kSamples * 1000 == Approx(6).margin(0.2));
}

} // namespace camphorcleat::harness
