// Guards, with random schedules, against requests that run twice, are refused as not run after they
// were dispatched, or never end, and against more requests in flight than a cold target allows.

#include <catch2/catch.hpp>

#include "World.h"

namespace camphorcleat::traffic {
namespace {

// Checks the guarantees that OwnerLogic gives for each request.
struct RequestChecker
{
  std::map<RequestId, int> dispatches;
  std::map<RequestId, int> ends;         // Number of refusals and replayed responses.
  std::map<RequestId, std::string> keys; // Idempotency keys of requests that must not run twice.
  std::set<std::string> keysThatRan;
  std::string violation; // Description of the first violation, or empty.

  void check(bool aIsValid, const char* aViolation)
  {
    if (!aIsValid && violation.empty()) {
      violation = aViolation;
    }
  }

  void record(const OwnerAction& aAction)
  {
    if (const auto* dispatch = std::get_if<Dispatch>(&aAction)) {
      check(++dispatches[dispatch->id] == 1, "a request was dispatched twice");
      check(ends.count(dispatch->id) == 0, "a request was dispatched after its end");
      const auto key = keys.find(dispatch->id);
      check(key == keys.end() || keysThatRan.insert(key->second).second,
            "a request that must not run twice ran twice");
    } else if (const auto* refuse = std::get_if<Refuse>(&aAction)) {
      check(dispatches.count(refuse->id) == 0, "a refusal followed a dispatch");
      check(++ends[refuse->id] == 1, "a request was ended twice");
    } else if (const auto* replay = std::get_if<ReplayResponse>(&aAction)) {
      check(++ends[replay->id] == 1, "a request was ended twice");
    }
  }
};

// State of the random requests and faults sent to one daemon.
struct Workload
{
  World& world;
  Daemon& daemon;
  std::vector<RequestId> sent;
  std::vector<RequestId> cancelled;
  std::uint64_t counter = 0;
  bool allowsSheds = false;
};

RequestArrived randomRequest(Workload& aWorkload)
{
  World& world = aWorkload.world;
  RequestArrived out;
  out.id = RequestId{ 3, ++aWorkload.counter };
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

void injectRandomFault(Workload& aWorkload)
{
  World& world = aWorkload.world;
  Daemon& daemon = aWorkload.daemon;
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
      daemon.shedProbability = aWorkload.allowsSheds && world.random() % 3 == 0 ? 0.2 : 0;
      break;
    default:
      daemon.isTargetFrozen = world.random() % 3 == 0;
      break;
  }
}

// Schedules requests, cancellations and faults at random times until aEnd.
void startWorkload(Workload& aWorkload, RequestChecker& aChecker, TimePoint aEnd)
{
  World& world = aWorkload.world;
  world.repeat(Millis(1), false, aEnd, [&aWorkload, &aChecker, &world] {
    const RequestArrived event = randomRequest(aWorkload);
    aWorkload.sent.push_back(event.id);
    world.accountOf[event.id] = event.isOpenRoute ? "" : event.account;
    // A shed request did not run, so another request with its idempotency key may run. Keys are
    // therefore checked only in workloads without shed requests.
    if (!aWorkload.allowsSheds && !event.isIdempotent && !event.idempotencyKey.empty()) {
      aChecker.keys[event.id] = world.accountOf[event.id] + " " + event.idempotencyKey + " " +
                                std::to_string(event.partition);
    }
    world.step(aWorkload.daemon, event);
    if (world.random() % 10 == 0 && aChecker.ends.count(event.id) == 0) {
      world.step(aWorkload.daemon, event); // A duplicate of a waiting or running request.
    }
    if (world.random() % 10 == 0) {
      const RequestId id = aWorkload.sent[world.random() % aWorkload.sent.size()];
      aWorkload.cancelled.push_back(id);
      world.step(aWorkload.daemon, RequestCancelled{ id });
    }
  });
  world.repeat(Millis(30), false, aEnd, [&aWorkload] { injectRandomFault(aWorkload); });
}

// Runs one random schedule. Returns the first violation, or an empty string.
std::string findViolation(std::uint64_t aSeed)
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
  RequestChecker checker;
  world.onAction = [&](Daemon& aDaemon, const OwnerAction& aAction) {
    checker.record(aAction);
    if (std::holds_alternative<Dispatch>(aAction)) {
      const Duration left = aDaemon.view.leaseEnd - world.eventQueue.now;
      checker.check(left > Duration::zero() &&
                      (aDaemon.view.targetChecksGrants || left >= Millis(150)),
                    "a request was dispatched with too little lease left");
      checker.check(aDaemon.view.isFresh, "a request was dispatched with stale configuration");
    }
    checker.check(aDaemon.logic->inFlightCount() <= 10, "more requests in flight than slots");
    checker.check(aDaemon.logic->queuedCount() <= 30, "the queue is longer than maxQueued");
  };
  Workload workload{ world, daemon, {}, {}, 0, aSeed % 3 == 0 };
  const TimePoint end = world.eventQueue.now + std::chrono::seconds(2);
  startWorkload(workload, checker, end);
  world.eventQueue.runUntil(end + std::chrono::seconds(3));
  checker.check(daemon.logic->queuedCount() == 0 && daemon.logic->inFlightCount() == 0,
                "requests are still queued or running after their deadlines");
  for (const auto& id : workload.sent) {
    const bool isCancelled =
      std::count(workload.cancelled.begin(), workload.cancelled.end(), id) != 0;
    checker.check(checker.dispatches.count(id) + checker.ends.count(id) >= 1 || isCancelled,
                  "a request was neither dispatched nor ended");
  }
  return checker.violation;
}

// Simulates cold starts under full load and compares the requests in flight with a limit that is
// computed independently of SlowStartLimit. Returns a description of the violation, or an empty
// string. If aDistort is set, it modifies the target's reports before the owner receives them.
std::string findColdLimitViolation(std::uint64_t aSeed, void (*aDistort)(TargetReport&) = nullptr)
{
  constexpr double kSlots = 20;
  constexpr double kColdSlots = 3;
  constexpr Millis kWarmUp{ 400 };
  World world(aSeed);
  Daemon& daemon = world.addDaemon(20);
  std::optional<TimePoint> coldSince;
  std::string violation;
  world.onAction = [&](Daemon& aDaemon, const OwnerAction& aAction) {
    const double warmFraction =
      coldSince ? std::min(1.0, toSeconds(world.eventQueue.now - *coldSince) / toSeconds(kWarmUp))
                : 1;
    const double limit = kColdSlots + (kSlots - kColdSlots) * warmFraction;
    if (std::holds_alternative<Dispatch>(aAction) &&
        static_cast<double>(aDaemon.logic->inFlightCount()) > limit + 1e-6) {
      violation = "more requests in flight than the cold limit";
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
  return violation;
}

} // namespace

TEST_CASE("random events never violate the guarantees of the owner")
{
  for (const auto seed : seeds(100)) {
    INFO(replayCommand(seed, "random events never violate the guarantees of the owner"));
    const std::string violation = findViolation(seed);
    CAPTURE(violation);
    REQUIRE(violation.empty());
  }
}

TEST_CASE("a cold target never has more requests in flight than the cold limit")
{
  for (const auto seed : seeds(30)) {
    INFO(
      replayCommand(seed, "a cold target never has more requests in flight than the cold limit"));
    const std::string violation = findColdLimitViolation(seed);
    CAPTURE(violation);
    REQUIRE(violation.empty());
  }
}

TEST_CASE("the cold limit check fails for an owner that does not detect cold starts")
{
  const auto hideColdStart = [](TargetReport& aReport) {
    aReport.isCold = false;
    aReport.incarnation = 1;
  };
  unsigned detected = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    detected += findColdLimitViolation(seed, hideColdStart).empty() ? 0 : 1;
  }
  REQUIRE(detected >= 8);
}

} // namespace camphorcleat::traffic
