// Guards against dispatches that violate the rules for leases, ownership, drains, idempotency keys,
// deadlines or cold targets. Each test covers a single case; OwnerPropertyTest.cc combines them.

#include <catch2/catch.hpp>

#include "World.h"

namespace camphorcleat::traffic {
namespace {

struct Fixture
{
  TimePoint now = TimePoint() + std::chrono::hours(1);
  FakeView view;
  OwnerLogic logic;
  std::vector<OwnerAction> actions;
  std::uint64_t counter = 0;

  explicit Fixture(std::uint32_t aSlots = 2, const OwnerConfig& aConfig = OwnerConfig())
    : logic(aConfig, view, 1)
  {
    step(TargetReport{ true, 1, aSlots, aSlots, Millis(0), false, false });
  }

  void step(const OwnerEvent& aEvent) { actions = logic.step(now, aEvent); }

  // Returns a request on an open route, so that no rate token is needed.
  RequestArrived request()
  {
    RequestArrived out;
    out.id = RequestId{ 1, ++counter };
    out.service = "storefront";
    out.partition = 4;
    out.isOpenRoute = true;
    out.deadline = now + Millis(10'000);
    return out;
  }

  // Returns a request with this idempotency key.
  RequestArrived requestWithKey(const std::string& aKey)
  {
    RequestArrived out = request();
    out.idempotencyKey = aKey;
    out.requestDigest = "d";
    return out;
  }

  template<class Action>
  const Action* find() const
  {
    for (const auto& it : actions) {
      if (const auto* out = std::get_if<Action>(&it)) {
        return out;
      }
    }
    return nullptr;
  }

  bool isRefused(ErrorCode aCode, wire::Outcome aOutcome = wire::Outcome::NotRun) const
  {
    const auto* out = find<Refuse>();
    return out != nullptr && out->code == aCode && out->outcome == aOutcome;
  }
};

} // namespace

TEST_CASE("a dispatch needs 150 ms of lease only if the target does not check grants")
{
  for (const bool targetChecksGrants : { false, true }) {
    Fixture f;
    f.view.targetChecksGrants = targetChecksGrants;
    f.view.leaseEnd = f.now + Millis(149);
    f.step(f.request());
    REQUIRE((f.find<Dispatch>() != nullptr) == targetChecksGrants);
    f.view.leaseEnd = f.now + Millis(150);
    f.step(f.request());
    REQUIRE(f.find<Dispatch>() != nullptr);
    f.view.leaseEnd = f.now;
    f.step(f.request());
    REQUIRE(f.isRefused(ErrorCode::NotOwner));
  }
}

TEST_CASE(
  "a dispatch has the fencing token, and without grant checks its deadline is within the lease")
{
  Fixture f;
  f.view.leaseEnd = f.now + Millis(700);
  f.step(f.request());
  REQUIRE(f.find<Dispatch>()->token == 7);
  REQUIRE(f.find<Dispatch>()->deadline == f.now + Millis(700));
  f.view.targetChecksGrants = true;
  const auto second = f.request();
  f.step(second);
  REQUIRE(f.find<Dispatch>()->deadline == second.deadline);
}

// Guards against requests that run in a zone that operators have taken out (EVAC).
TEST_CASE("requests are refused as not run while the zone is out, also those that wait")
{
  Fixture f(1);
  f.step(f.request());
  REQUIRE(f.find<Dispatch>() != nullptr);
  f.step(f.request());
  REQUIRE(f.actions.empty());
  f.view.isOut = true;
  f.step(Tick{});
  CHECK(f.isRefused(ErrorCode::ZoneOut));
  f.step(f.request());
  CHECK(f.isRefused(ErrorCode::ZoneOut));
  f.view.isOut = false;
  f.step(f.request());
  CHECK(f.find<Refuse>() == nullptr);
}

// Guards against requests that stay queued for an entry whose daemon ends (LOST, issue 44).
TEST_CASE("a withdrawn request is refused as not run if it is queued, and continues if it runs")
{
  Fixture f(1);
  const auto running = f.request();
  f.step(running);
  REQUIRE(f.find<Dispatch>() != nullptr);
  const auto queued = f.request();
  f.step(queued);
  f.step(RequestWithdrawn{ queued.id });
  CHECK(f.isRefused(ErrorCode::Draining));
  f.step(RequestWithdrawn{ running.id });
  CHECK(f.actions.empty());
}

// Guards against runs under an account that has given its key to another one, and against requests
// that are refused because they change their account (DENIED, QUOTA, review/15).
TEST_CASE(
  "waiting requests that change their account need tokens of the new one and keep their order")
{
  OwnerConfig config;
  config.refusesLate = true;
  Fixture f(1, config);
  f.step(f.request());
  const RequestId running{ 1, f.counter };
  REQUIRE(f.find<Dispatch>());
  AccountsChanged change;
  for (int i = 0; i < 50; ++i) {
    RequestArrived request = f.request();
    request.isOpenRoute = false;
    request.account = "old";
    request.accountRate = 100;
    request.objective = f.now + Millis(1000);
    f.step(request);
    request.account = "new";
    change.requests.push_back(request);
  }
  RequestArrived ended = f.request();
  ended.id = running;
  ended.account = "new";
  change.requests.push_back(ended);
  f.step(change);
  CHECK_FALSE(f.find<Refuse>());
  CHECK_FALSE(f.find<CancelAtTarget>());
  CHECK(f.logic.queuedCount("old") == 0);
  CHECK(f.logic.queuedCount("new") == 50);
  const auto* tokens = f.find<SendTokenRequest>();
  REQUIRE(tokens != nullptr);
  CHECK(tokens->request.account == "new");
}

// Guards against requests that are cut because they start too late in a stop of their owner (LOST).
TEST_CASE("a stopping owner starts no request after the last start that may run for longer than it")
{
  OwnerConfig config;
  config.drainQueueTime = Millis(5'000);
  Fixture f(1, config);
  const auto running = f.request();
  f.step(running);
  auto brief = f.request();
  brief.deadline = f.now + Millis(1'500);
  f.step(brief);
  f.step(f.request());
  f.step(BeginDrain{ f.now + Millis(500), f.now + Millis(2'000) });
  CHECK(f.actions.empty());
  REQUIRE(f.logic.nextWake() == f.now + Millis(500));
  f.now += Millis(500);
  f.step(Tick{});
  CHECK(f.isRefused(ErrorCode::Draining));
  CHECK(f.actions.size() == 1);
  f.step(RequestEnded{ running.id, wire::Outcome::Answered, ErrorCode::None, std::nullopt });
  REQUIRE(f.find<Dispatch>() != nullptr);
  CHECK(f.find<Dispatch>()->id == brief.id);
}

TEST_CASE("ownership is checked again when a request leaves the queue")
{
  Fixture f(1);
  const auto first = f.request();
  f.step(first);
  f.step(f.request());
  REQUIRE(f.actions.empty());
  f.view.notOwned.insert(4);
  f.step(RequestEnded{ first.id, wire::Outcome::Answered, ErrorCode::None, std::nullopt });
  REQUIRE(f.isRefused(ErrorCode::NotOwner));
}

TEST_CASE(
  "a stopped partition refuses new and queued requests and is idle when the running ones end")
{
  Fixture f(1);
  const auto running = f.request();
  f.step(running);
  const auto queued = f.request();
  f.step(queued);
  f.step(StopPartition{ "storefront", 4 });
  REQUIRE(f.isRefused(ErrorCode::NotOwner));
  REQUIRE(f.find<PartitionIdle>() == nullptr);
  f.step(f.request());
  REQUIRE(f.isRefused(ErrorCode::NotOwner));
  f.step(RequestEnded{ running.id, wire::Outcome::Answered, ErrorCode::None, std::nullopt });
  REQUIRE(f.find<PartitionIdle>() != nullptr);
  f.view.token = 8; // The partition was granted again with a new fencing token.
  f.step(f.request());
  REQUIRE(f.find<Dispatch>() != nullptr);
}

TEST_CASE(
  "queued requests may start in the first two seconds of a drain, which ends with the last one")
{
  Fixture f(1);
  const auto running = f.request();
  f.step(running);
  const auto queued = f.request();
  f.step(queued);
  f.step(f.request());
  f.step(BeginDrain{});
  REQUIRE(f.actions.empty());
  f.step(f.request());
  REQUIRE(f.isRefused(ErrorCode::Draining));
  f.step(RequestEnded{ running.id, wire::Outcome::Answered, ErrorCode::None, std::nullopt });
  REQUIRE(f.find<Dispatch>()->id == queued.id);
  f.now += Millis(2'000);
  f.step(Tick{});
  REQUIRE(f.isRefused(ErrorCode::Draining));
  f.step(RequestEnded{ queued.id, wire::Outcome::Answered, ErrorCode::None, std::nullopt });
  REQUIRE(f.find<DrainComplete>() != nullptr);
}

TEST_CASE("a request with a known idempotency key is not dispatched again")
{
  Fixture f;
  const auto first = f.requestWithKey("k");
  f.step(first);
  REQUIRE(f.find<Dispatch>() != nullptr);
  f.step(f.requestWithKey("k"));
  REQUIRE(f.isRefused(ErrorCode::OutcomeUnknown, wire::Outcome::Unknown));
  f.step(RequestEnded{ first.id, wire::Outcome::Answered, ErrorCode::None,
                       StoredResponse{ 201, {}, Bytes("done") } });
  f.step(f.requestWithKey("k"));
  REQUIRE(f.find<ReplayResponse>()->response.body.data == "done");
  auto other = f.requestWithKey("k");
  other.requestDigest = "e";
  f.step(other);
  REQUIRE(f.isRefused(ErrorCode::IdempotencyConflict));
}

TEST_CASE("a shed request releases its idempotency key and one with unknown outcome does not")
{
  Fixture f;
  const auto shed = f.requestWithKey("shed");
  f.step(shed);
  f.step(ResponseStarted{ shed.id, 503, true, false });
  f.step(RequestEnded{ shed.id, wire::Outcome::NotRun, ErrorCode::TargetShed, std::nullopt });
  f.step(f.requestWithKey("shed"));
  REQUIRE(f.find<Dispatch>() != nullptr);
  const auto unknown = f.requestWithKey("unknown");
  f.step(unknown);
  f.step(RequestEnded{ unknown.id, wire::Outcome::Unknown, ErrorCode::None, std::nullopt });
  f.step(f.requestWithKey("unknown"));
  REQUIRE(f.isRefused(ErrorCode::OutcomeUnknown, wire::Outcome::Unknown));
}

TEST_CASE("a resend that is not idempotent and has no idempotency key never runs")
{
  Fixture f;
  auto resend = f.request();
  resend.isResend = true;
  f.step(resend);
  REQUIRE(f.isRefused(ErrorCode::OutcomeUnknown, wire::Outcome::Unknown));
}

TEST_CASE("running requests are cancelled at their deadline and occupy their slot until they end")
{
  Fixture f(1);
  auto running = f.request();
  running.deadline = f.now + Millis(50);
  f.step(running);
  REQUIRE(f.logic.nextWake() == f.now + Millis(50));
  f.now += Millis(50);
  f.step(Tick{});
  REQUIRE(f.find<CancelAtTarget>() != nullptr);
  f.step(f.request());
  REQUIRE(f.find<Dispatch>() == nullptr);
  f.step(RequestEnded{ running.id, wire::Outcome::Unknown, ErrorCode::None, std::nullopt });
  REQUIRE(f.find<Dispatch>() != nullptr);
}

// Guards against the loss of responses that targets send at the deadline, when they stop their
// work.
TEST_CASE("a run is cancelled after its deadline plus responseGrace or at the end of the lease")
{
  OwnerConfig config;
  config.responseGrace = Millis(60);
  Fixture f(1, config);
  auto running = f.request();
  running.deadline = f.now + Millis(50);
  f.step(running);
  REQUIRE(f.find<Dispatch>()->deadline == f.now + Millis(50));
  REQUIRE(f.find<Dispatch>()->cancelAt == f.now + Millis(110));
  f.now += Millis(109);
  f.step(Tick{});
  REQUIRE(f.find<CancelAtTarget>() == nullptr);
  f.now += Millis(1);
  f.step(Tick{});
  REQUIRE(f.find<CancelAtTarget>() != nullptr);
  f.step(RequestEnded{ running.id, wire::Outcome::Unknown, ErrorCode::None, std::nullopt });

  f.view.leaseEnd = f.now + Millis(700);
  auto nearLeaseEnd = f.request();
  nearLeaseEnd.deadline = f.view.leaseEnd - Millis(10);
  f.step(nearLeaseEnd);
  REQUIRE(f.find<Dispatch>()->cancelAt == f.view.leaseEnd);
}

TEST_CASE("requests are refused while the configuration is stale or the target is unreachable")
{
  Fixture f;
  f.view.isFresh = false;
  f.step(f.request());
  REQUIRE(f.isRefused(ErrorCode::ConfigStale));
  f.view.isFresh = true;
  f.step(TargetReport{});
  f.step(f.request());
  REQUIRE(f.isRefused(ErrorCode::TargetDown));
}

TEST_CASE("a request whose rate token expired in the queue waits for another token")
{
  World world(1);
  RateHome home(1);
  Daemon& daemon = world.addDaemon(1);
  daemon.serviceTime = Millis(400); // Longer than kTokenLifetime.
  world.home = [&](TimePoint aNow, const wire::TokenRequest& aRequest) {
    return home.handle(aNow, aRequest, 10, 4, aNow + Millis(1'000), HomeStart::AfterLoss);
  };
  world.sendRequest(daemon, "acme");
  world.eventQueue.runUntil(world.eventQueue.now + Millis(2'000)); // Fills the bucket.
  for (int i = 0; i < 4; ++i) {
    world.sendRequest(daemon, "acme");
  }
  world.eventQueue.runUntil(world.eventQueue.now + Millis(2'500));
  REQUIRE(world.dispatchTimes["acme"].size() == 5);
  REQUIRE(world.refusals.empty());
}

TEST_CASE(
  "shed requests and connection resets restore the cold limit and load reports never raise a limit")
{
  Fixture f(20);
  f.step(TargetReport{ true, 1, 20, 3, Millis(1'000), false, false });
  f.now += Millis(1'000); // A target is assumed to be cold at its first report.
  REQUIRE(f.logic.limit(f.now) == 20);
  f.step(TargetConnectionReset{});
  REQUIRE(f.logic.limit(f.now) == 3);
  f.now += Millis(500);
  REQUIRE(f.logic.limit(f.now) == 11);
  f.logic.loadReported(f.now, 100);
  REQUIRE(f.logic.limit(f.now) == 11);
  f.logic.loadReported(f.now, 5);
  REQUIRE(f.logic.limit(f.now) == 5);
  f.now += Millis(1'500);
  REQUIRE(f.logic.limit(f.now) == 20);
  const auto shed = f.request();
  f.step(shed);
  f.step(ResponseStarted{ shed.id, 503, true, false });
  REQUIRE(f.logic.limit(f.now) == 3);
  f.step(TargetReport{ true, 2, 20, 4, Millis(1'000), false, false });
  REQUIRE(f.logic.limit(f.now) == 4);
}

// A target with 12 slots and runs of 400 ms that is sent twice what its slots can run.
struct BusyTarget
{
  World world{ 7 };
  Daemon& daemon = world.addDaemon(12);

  BusyTarget()
  {
    daemon.serviceTime = Millis(400);
    world.repeat(fromSeconds(1 / 60.0), false, world.eventQueue.now + std::chrono::minutes(1),
                 [this] { world.sendRequest(daemon, "", Millis(1500)); });
  }

  // Runs for a time and returns the mean of a figure in it.
  double meanOf(std::chrono::seconds aTime, const std::function<double()>& aFigure)
  {
    constexpr Millis kInterval{ 10 };
    double sum = 0;
    const auto n = aTime / kInterval;
    for (int i = 0; i < n; ++i) {
      world.eventQueue.runUntil(world.eventQueue.now + kInterval);
      sum += aFigure();
    }
    return sum / static_cast<double>(n);
  }
};

// Guards against targets that are hardly used because they refuse requests whatever their load
// (SHORT).
TEST_CASE("a target that sheds half of its requests at random is used in full nevertheless")
{
  BusyTarget f;
  const auto running = [&] { return static_cast<double>(f.daemon.running); };
  f.meanOf(std::chrono::seconds(5), running);
  f.daemon.shedProbability = 0.55;
  CHECK(f.meanOf(std::chrono::seconds(10), running) >= 0.75 * 12);
}

TEST_CASE("the limit falls to what a target runs at a time if it sheds the rest")
{
  BusyTarget f;
  const auto limit = [&] { return f.daemon.logic->limit(f.world.eventQueue.now); };
  f.meanOf(std::chrono::seconds(5), limit);
  REQUIRE(limit() == 12);
  f.daemon.capacity = 5;
  f.meanOf(std::chrono::seconds(5), limit);
  const double mean = f.meanOf(std::chrono::seconds(10), limit);
  CHECK(mean <= 1.5 * 5);
  CHECK(mean >= 0.5 * 5);
}

TEST_CASE("a target that sheds all requests lowers the limit")
{
  BusyTarget f;
  const auto limit = [&] { return f.daemon.logic->limit(f.world.eventQueue.now); };
  f.meanOf(std::chrono::seconds(5), limit);
  f.daemon.capacity = 0;
  f.meanOf(std::chrono::seconds(10), limit);
  CHECK(limit() == 1);
}

} // namespace camphorcleat::traffic
