// Guards against dispatches that break lease, ownership, drain or idempotency rules in single
// cases.

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

  RequestArrived request() // On an open route, so that no token is needed.
  {
    RequestArrived out;
    out.id = RequestId{ 1, ++counter };
    out.service = "storefront";
    out.partition = 4;
    out.isOpenRoute = true;
    out.deadline = now + Millis(10'000);
    return out;
  }

  RequestArrived keyed(const std::string& aKey)
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

  bool refused(ErrorCode aCode, wire::Outcome aOutcome = wire::Outcome::NotRun) const
  {
    const auto* out = find<Refuse>();
    return out != nullptr && out->code == aCode && out->outcome == aOutcome;
  }
};

} // namespace

TEST_CASE("the lease rule depends on whether the target checks grants")
{
  for (const bool isFenced : { false, true }) {
    Fixture f;
    f.view.targetChecksGrants = isFenced;
    f.view.leaseEnd = f.now + Millis(149);
    f.step(f.request());
    REQUIRE((f.find<Dispatch>() != nullptr) == isFenced);
    f.view.leaseEnd = f.now + Millis(150);
    f.step(f.request());
    REQUIRE(f.find<Dispatch>() != nullptr);
    f.view.leaseEnd = f.now;
    f.step(f.request());
    REQUIRE(f.refused(ErrorCode::NotOwner));
  }
}

TEST_CASE("a dispatch carries the token, and the lease end to a target that checks no grants")
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

TEST_CASE("ownership is checked again after the wait in the queue")
{
  Fixture f(1);
  const auto first = f.request();
  f.step(first);
  f.step(f.request());
  REQUIRE(f.actions.empty());
  f.view.notOwned.insert(4);
  f.step(RequestEnded{ first.id, wire::Outcome::Answered, ErrorCode::None, std::nullopt });
  REQUIRE(f.refused(ErrorCode::NotOwner));
}

TEST_CASE("a stopped partition refuses new work, finishes running work, and reports idle once")
{
  Fixture f(1);
  const auto running = f.request();
  f.step(running);
  const auto queued = f.request();
  f.step(queued);
  f.step(StopPartition{ "storefront", 4 });
  REQUIRE(f.refused(ErrorCode::NotOwner));
  REQUIRE(f.find<PartitionIdle>() == nullptr);
  f.step(f.request());
  REQUIRE(f.refused(ErrorCode::NotOwner));
  f.step(RequestEnded{ running.id, wire::Outcome::Answered, ErrorCode::None, std::nullopt });
  REQUIRE(f.find<PartitionIdle>() != nullptr);
  f.view.token = 8; // Granted anew.
  f.step(f.request());
  REQUIRE(f.find<Dispatch>() != nullptr);
}

TEST_CASE("a drain serves what is queued for two seconds and then completes")
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
  REQUIRE(f.refused(ErrorCode::Draining));
  f.step(RequestEnded{ running.id, wire::Outcome::Answered, ErrorCode::None, std::nullopt });
  REQUIRE(f.find<Dispatch>()->id == queued.id);
  f.now += Millis(2'000);
  f.step(Tick{});
  REQUIRE(f.refused(ErrorCode::Draining));
  f.step(RequestEnded{ queued.id, wire::Outcome::Answered, ErrorCode::None, std::nullopt });
  REQUIRE(f.find<DrainComplete>() != nullptr);
}

TEST_CASE("a request with a known idempotency key is answered without a second dispatch")
{
  Fixture f;
  const auto first = f.keyed("k");
  f.step(first);
  REQUIRE(f.find<Dispatch>() != nullptr);
  f.step(f.keyed("k"));
  REQUIRE(f.refused(ErrorCode::OutcomeUnknown, wire::Outcome::Unknown));
  f.step(RequestEnded{ first.id, wire::Outcome::Answered, ErrorCode::None,
                       StoredAnswer{ 201, {}, Bytes("done") } });
  f.step(f.keyed("k"));
  REQUIRE(f.find<ReplayAnswer>()->answer.body.data == "done");
  auto other = f.keyed("k");
  other.requestDigest = "e";
  f.step(other);
  REQUIRE(f.refused(ErrorCode::IdempotencyConflict));
}

TEST_CASE("a shed request frees its idempotency key, a lost one does not")
{
  Fixture f;
  const auto shed = f.keyed("shed");
  f.step(shed);
  f.step(ResponseStarted{ shed.id, 503, true, false });
  f.step(RequestEnded{ shed.id, wire::Outcome::NotRun, ErrorCode::TargetShed, std::nullopt });
  f.step(f.keyed("shed"));
  REQUIRE(f.find<Dispatch>() != nullptr);
  const auto lost = f.keyed("lost");
  f.step(lost);
  f.step(RequestEnded{ lost.id, wire::Outcome::Unknown, ErrorCode::None, std::nullopt });
  f.step(f.keyed("lost"));
  REQUIRE(f.refused(ErrorCode::OutcomeUnknown, wire::Outcome::Unknown));
}

TEST_CASE("a resend that must not repeat and has no key never runs")
{
  Fixture f;
  auto resend = f.request();
  resend.isResend = true;
  f.step(resend);
  REQUIRE(f.refused(ErrorCode::OutcomeUnknown, wire::Outcome::Unknown));
}

TEST_CASE("running requests are cancelled at their deadline and keep their slot until they end")
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

// Guards against the loss of answers that targets make at the deadline they were told.
TEST_CASE(
  "the answer of a run is awaited for the grace beyond the deadline, but not beyond the lease")
{
  OwnerConfig config;
  config.answerGrace = Millis(60);
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
  auto keyed = f.request();
  keyed.deadline = f.view.leaseEnd - Millis(10);
  f.step(keyed);
  REQUIRE(f.find<Dispatch>()->cancelAt == f.view.leaseEnd);
}

TEST_CASE("an unreachable target and stale configuration refuse truthfully")
{
  Fixture f;
  f.view.isFresh = false;
  f.step(f.request());
  REQUIRE(f.refused(ErrorCode::ConfigStale));
  f.view.isFresh = true;
  f.step(TargetReport{});
  f.step(f.request());
  REQUIRE(f.refused(ErrorCode::TargetDown));
}

TEST_CASE("a request whose token expired in the queue waits for another one")
{
  World world(1);
  RateHome home(1);
  Daemon& daemon = world.addDaemon(1);
  daemon.serviceTime = Millis(400); // Longer than a token lives.
  world.home = [&](TimePoint aNow, const wire::TokenRequest& aRequest) {
    return home.handle(aNow, aRequest, 10, 4, aNow + Millis(1'000), HomeStart::AfterLoss);
  };
  world.sendRequest(daemon, "acme");
  world.eventQueue.runUntil(world.eventQueue.now + Millis(2'000)); // The bucket is full.
  for (int i = 0; i < 4; ++i) {
    world.sendRequest(daemon, "acme");
  }
  world.eventQueue.runUntil(world.eventQueue.now + Millis(2'500));
  REQUIRE(world.dispatchTimes["acme"].size() == 5);
  REQUIRE(world.refusals.empty());
}

TEST_CASE("sheds and resets bring back the cold limit; load reports never raise a limit")
{
  Fixture f(20);
  f.step(TargetReport{ true, 1, 20, 3, Millis(1'000), false, false });
  f.now += Millis(1'000); // A target counts as cold when it is first seen.
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

} // namespace camphorcleat::traffic
