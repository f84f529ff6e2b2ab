// Guards, over random schedules, against requests that run twice, refusals that lie, requests that
// are forgotten, and more work than a cold target can take.

#include <catch2/catch.hpp>

#include "World.h"

namespace camphorcleat::traffic {
namespace {

// What the embedder may assume about each request.
struct Ledger
{
  std::map<RequestId, int> dispatches;
  std::map<RequestId, int> ends;         // Refusals and replays.
  std::map<RequestId, std::string> keys; // Idempotency keys of requests that must not repeat.
  std::set<std::string> keysThatRan;
  std::string fault; // The first rule that was broken.

  void check(bool aIsRight, const char* aRule)
  {
    if (!aIsRight && fault.empty()) {
      fault = aRule;
    }
  }

  void note(const OwnerAction& aAction)
  {
    if (const auto* dispatch = std::get_if<Dispatch>(&aAction)) {
      check(++dispatches[dispatch->id] == 1, "a request was dispatched twice");
      check(ends.count(dispatch->id) == 0, "a request was dispatched after its end");
      const auto key = keys.find(dispatch->id);
      check(key == keys.end() || keysThatRan.insert(key->second).second,
            "a request that must not repeat ran twice");
    } else if (const auto* refuse = std::get_if<Refuse>(&aAction)) {
      check(dispatches.count(refuse->id) == 0, "a refusal followed a dispatch");
      check(++ends[refuse->id] == 1, "a request was ended twice");
    } else if (const auto* replay = std::get_if<ReplayAnswer>(&aAction)) {
      check(++ends[replay->id] == 1, "a request was ended twice");
    }
  }
};

struct Script
{
  World& world;
  Daemon& daemon;
  std::vector<RequestId> recent;
  std::vector<RequestId> cancelled;
  std::uint64_t counter = 0;
  bool allowsSheds = false;
};

RequestArrived randomRequest(Script& aScript)
{
  World& world = aScript.world;
  RequestArrived out;
  out.id = RequestId{ 3, ++aScript.counter };
  out.account = "account-" + std::to_string(world.random() % 5);
  out.service = "station-lookup";
  out.partition = static_cast<PartitionId>(world.random() % 4);
  out.isKeyed = world.random() % 4 != 0;
  out.isIdempotent = world.random() % 2 == 0;
  out.isOpenRoute = world.random() % 8 == 0;
  if (world.random() % 3 == 0) {
    out.idempotencyKey = "key-" + std::to_string(world.random() % 20);
    out.requestDigest = world.random() % 10 == 0 ? "other" : "digest";
  }
  out.isResend = world.random() % 5 == 0;
  out.deadline = world.eventQueue.now + Millis(world.random() % 300);
  return out;
}

void disturb(Script& aScript)
{
  World& world = aScript.world;
  Daemon& daemon = aScript.daemon;
  const auto partition = static_cast<PartitionId>(world.random() % 4);
  switch (world.random() % 10) {
    case 0:
      world.step(daemon, TargetConnectionReset{});
      break;
    case 1:
      world.step(daemon, TargetReport{ false, 0, 1, 1, Millis(0), false, false });
      break;
    case 2:
      world.step(daemon, TargetReport{ true, world.random() % 3 + 1, 10, 2, Millis(200),
                                       world.random() % 2 == 0, world.random() % 4 == 0 });
      break;
    case 3:
      daemon.view.notOwned.insert(partition);
      break;
    case 4:
      daemon.view.notOwned.clear();
      ++daemon.view.token;
      break;
    case 5:
      world.step(daemon, StopPartition{ "station-lookup", partition });
      break;
    case 6:
      daemon.view.leaseEnd = world.eventQueue.now + Millis(world.random() % 400);
      break;
    case 7:
      daemon.view.leaseEnd = TimePoint::max();
      daemon.view.isFresh = world.random() % 3 != 0;
      break;
    case 8:
      daemon.shedProbability = aScript.allowsSheds && world.random() % 3 == 0 ? 0.2 : 0;
      break;
    default:
      daemon.isTargetFrozen = world.random() % 3 == 0;
      break;
  }
}

void runScript(Script& aScript, Ledger& aLedger, TimePoint aEnd)
{
  World& world = aScript.world;
  world.repeat(Millis(1), false, aEnd, [&aScript, &aLedger, &world] {
    const RequestArrived event = randomRequest(aScript);
    aScript.recent.push_back(event.id);
    world.accountOf[event.id] = event.isOpenRoute ? "" : event.account;
    // A shed request did not run, so its key may run again.
    if (!aScript.allowsSheds && !event.isIdempotent && !event.idempotencyKey.empty()) {
      aLedger.keys[event.id] = world.accountOf[event.id] + " " + event.idempotencyKey + " " +
                               std::to_string(event.partition);
    }
    world.step(aScript.daemon, event);
    if (world.random() % 10 == 0 && aLedger.ends.count(event.id) == 0) {
      world.step(aScript.daemon, event); // A duplicate while it waits or runs.
    }
    if (world.random() % 10 == 0) {
      const RequestId id = aScript.recent[world.random() % aScript.recent.size()];
      aScript.cancelled.push_back(id);
      world.step(aScript.daemon, RequestCancelled{ id });
    }
  });
  world.repeat(Millis(30), false, aEnd, [&aScript] { disturb(aScript); });
}

std::string faultOf(std::uint64_t aSeed)
{
  World world(aSeed);
  world.network.lossProbability = 0.05;
  RateHome home(aSeed);
  world.home = [&](TimePoint aNow, const wire::TokenRequest& aRequest) {
    return home.handle(aNow, aRequest, 150, 10, aNow + Millis(1'000));
  };
  OwnerConfig config;
  config.maxQueued = 30;
  Daemon& daemon = world.addDaemon(10, config);
  daemon.view.targetChecksGrants = aSeed % 2 == 0;
  Ledger ledger;
  world.onAction = [&](Daemon& aDaemon, const OwnerAction& aAction) {
    ledger.note(aAction);
    if (std::holds_alternative<Dispatch>(aAction)) {
      const Duration left = aDaemon.view.leaseEnd - world.eventQueue.now;
      ledger.check(left > Duration::zero() &&
                     (aDaemon.view.targetChecksGrants || left >= Millis(150)),
                   "a request was dispatched without enough lease");
      ledger.check(aDaemon.view.isFresh, "a request was dispatched with stale configuration");
    }
    ledger.check(aDaemon.logic->inFlightCount() <= 10, "more in flight than slots");
    ledger.check(aDaemon.logic->queuedCount() <= 30, "the queue grew above its bound");
  };
  Script script{ world, daemon, {}, {}, 0, aSeed % 3 == 0 };
  const TimePoint end = world.eventQueue.now + std::chrono::seconds(2);
  runScript(script, ledger, end);
  world.eventQueue.runUntil(end + std::chrono::seconds(3));
  ledger.check(daemon.logic->queuedCount() == 0 && daemon.logic->inFlightCount() == 0,
               "requests stayed behind after their deadlines");
  for (const auto& id : script.recent) {
    const bool isCancelled = std::count(script.cancelled.begin(), script.cancelled.end(), id) != 0;
    ledger.check(ledger.dispatches.count(id) + ledger.ends.count(id) >= 1 || isCancelled,
                 "a request got no verdict");
  }
  return ledger.fault;
}

// Runs cold starts under full load. The check computes the ramp by itself. aDistort changes what
// the owner is told.
std::string coldFaultOf(std::uint64_t aSeed, void (*aDistort)(TargetReport&) = nullptr)
{
  constexpr double kSlots = 20;
  constexpr double kCold = 3;
  constexpr Millis kWarmUp{ 400 };
  World world(aSeed);
  Daemon& daemon = world.addDaemon(20);
  std::optional<TimePoint> coldSince;
  std::string fault;
  world.onAction = [&](Daemon& aDaemon, const OwnerAction& aAction) {
    const double share =
      coldSince ? std::min(1.0, toSeconds(world.eventQueue.now - *coldSince) / toSeconds(kWarmUp))
                : 1;
    const double limit = kCold + (kSlots - kCold) * share;
    if (std::holds_alternative<Dispatch>(aAction) &&
        static_cast<double>(aDaemon.logic->inFlightCount()) > limit + 1e-6) {
      fault = "more in flight than the cold limit";
    }
  };
  const TimePoint end = world.eventQueue.now + std::chrono::seconds(4);
  world.repeat(Micros(300), false, end, [&] { world.sendRequest(daemon, ""); });
  Incarnation incarnation = 1;
  world.repeat(Millis(700), false, end, [&] {
    coldSince = world.eventQueue.now;
    TargetReport report{ true, incarnation, 20, 3, kWarmUp, true, false };
    switch (world.random() % 3) {
      case 0:
        report.incarnation = ++incarnation;
        report.isCold = false;
        break;
      case 1:
        world.step(daemon, TargetReport{ true, incarnation, 20, 3, kWarmUp, false, false });
        break;
      default:
        world.step(daemon, TargetReport{ true, incarnation, 20, 3, kWarmUp, true, false });
        world.step(daemon, TargetConnectionReset{});
        return;
    }
    if (aDistort != nullptr) {
      aDistort(report);
    }
    world.step(daemon, report);
  });
  world.eventQueue.runUntil(end);
  REQUIRE(world.dispatchTimes[""].size() > 1'000);
  return fault;
}

} // namespace

TEST_CASE("random events break no rule of the owner")
{
  for (const auto seed : seeds(100)) {
    INFO(replayCommand(seed, "random events break no rule of the owner"));
    const std::string fault = faultOf(seed);
    CAPTURE(fault);
    REQUIRE(fault.empty());
  }
}

TEST_CASE("never more in flight than the cold limit")
{
  for (const auto seed : seeds(30)) {
    INFO(replayCommand(seed, "never more in flight than the cold limit"));
    const std::string fault = coldFaultOf(seed);
    CAPTURE(fault);
    REQUIRE(fault.empty());
  }
}

TEST_CASE("the check of the cold limit notices an owner that misses cold starts")
{
  const auto hide = [](TargetReport& aReport) {
    aReport.isCold = false;
    aReport.incarnation = 1;
  };
  unsigned noticed = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    noticed += coldFaultOf(seed, hide).empty() ? 0 : 1;
  }
  REQUIRE(noticed >= 8);
}

} // namespace camphorcleat::traffic
