// Guards against entry requests that run twice although they must not, are reported as "not run"
// although an attempt may have run, are retried without end, or end more than once.

#include <catch2/catch.hpp>

#include <map>
#include <set>

#include "World.h"
#include "traffic/EntryRequest.h"

namespace camphorcleat::traffic {
namespace {

struct Fixture
{
  TimePoint now = TimePoint() + std::chrono::hours(1);
  RetryBudget budget;
  HedgePolicy hedge;
  std::mt19937_64 random{ 1 };
  EntryRequest request{ EntryShared{ budget, hedge, random } };
  std::vector<EntryAction> actions;
  TimePoint timer;

  void step(const EntryEvent& aEvent)
  {
    actions = request.step(now, aEvent);
    if (const auto* set = find<SetTimer>()) {
      timer = set->at;
    }
  }

  void start(bool aIsKeyed, bool aIsIdempotent, bool aHasKey, Millis aDeadline = Millis(10'000))
  {
    step(Started{ aIsKeyed, aIsIdempotent, aHasKey, now + aDeadline, false });
    step(RouteKnown{ 1 });
  }

  void fail(std::uint32_t aAttempt, wire::Outcome aOutcome, ErrorCode aCode)
  {
    step(AttemptFailed{ aAttempt, aOutcome, aCode, "why", Millis(0) });
  }

  // Advances the clock to the timer and lets it expire. Returns whether the request then looks up a
  // route for another attempt.
  bool retriesOnTimer()
  {
    now = std::max(now, timer);
    step(TimerFired{});
    return find<LookUpRoute>() != nullptr;
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
};

constexpr auto kNotRun = wire::Outcome::NotRun;
constexpr auto kUnknown = wire::Outcome::Unknown;

} // namespace

TEST_CASE("an attempt with unknown outcome is retried only if the request may run twice")
{
  Fixture plain;
  plain.start(true, false, false);
  plain.fail(1, kUnknown, ErrorCode::PeerUnreachable);
  REQUIRE(plain.find<FailRequest>()->outcome == kUnknown);
  for (const bool isIdempotent : { true, false }) {
    Fixture f;
    f.start(true, isIdempotent, !isIdempotent);
    f.fail(1, kUnknown, ErrorCode::PeerUnreachable);
    REQUIRE(f.retriesOnTimer());
    f.step(RouteKnown{ 2 });
    REQUIRE(f.find<StartAttempt>()->isResend);
  }
}

TEST_CASE("a request is never reported as not run after an attempt that may have run")
{
  Fixture f;
  f.start(true, true, false);
  f.fail(1, kUnknown, ErrorCode::PeerUnreachable);
  REQUIRE(f.retriesOnTimer());
  f.step(RouteKnown{ 2 });
  f.fail(2, kNotRun, ErrorCode::OverRate);
  REQUIRE(f.find<FailRequest>()->outcome == kUnknown);
}

// Guards against requests that fail because an ownership change lasts longer than the retry budget
// allows, and against retries without a growing delay: they would exceed 100 attempts here.
TEST_CASE("retries during an ownership change of two seconds need no retry budget")
{
  Fixture f;
  while (f.budget.tryAcquire()) {
  }
  f.start(true, false, false);
  const TimePoint startedAt = f.now;
  std::uint32_t attempt = 1;
  while (f.now - startedAt < Millis(2'000)) {
    f.fail(attempt, kNotRun, ErrorCode::NotOwner);
    REQUIRE(f.retriesOnTimer());
    REQUIRE(f.find<LookUpRoute>()->mustBeNewer);
    f.step(RouteKnown{ 1 });
    REQUIRE_FALSE(f.find<StartAttempt>()->isResend);
    ++attempt;
  }
  REQUIRE(attempt < 100);
  f.step(AttemptHead{ attempt });
  REQUIRE(f.find<ForwardResponse>()->attempt == attempt);
}

// Guards against callers that wait for as long as the lease of a lost owner, which can outlast the
// deadline. A planned handover of a partition is shorter, so requests wait for it up to
// bridgeUntil.
TEST_CASE(
  "a request waits less for a lost owner than for a handover and then fails with retry advice")
{
  for (const ErrorCode code : { ErrorCode::PeerUnreachable, ErrorCode::NotOwner }) {
    Fixture f;
    Started started{ true, false, false, f.now + Millis(1500), false };
    started.bridgeUntil = f.now + Millis(600);
    started.lossBridgeUntil = f.now + Millis(75);
    const TimePoint startedAt = f.now;
    f.step(started);
    f.step(RouteKnown{ 1 });
    std::uint32_t attempt = 1;
    f.fail(attempt, wire::Outcome::NotRun, code);
    while (f.find<FailRequest>() == nullptr) {
      REQUIRE(f.retriesOnTimer());
      f.step(RouteKnown{ 1 });
      f.fail(++attempt, wire::Outcome::NotRun, code);
    }
    const bool isLost = code == ErrorCode::PeerUnreachable;
    REQUIRE(f.now - startedAt <= (isLost ? Millis(75) : Millis(600)));
    REQUIRE(f.now - startedAt >= (isLost ? Millis(1) : Millis(300)));
    const FailRequest& failure = *f.find<FailRequest>();
    REQUIRE(failure.outcome == wire::Outcome::NotRun);
    REQUIRE(failure.retryAfter > Millis(290));
    REQUIRE(failure.retryAfter <= Millis(500));
  }
}

// Guards against entries that ask a previous owner again from the same view, or only some time
// after their view names the new one.
TEST_CASE("a refused request waits for a view that is as new as that of the refusing owner")
{
  Fixture f;
  f.step(Started{ true, false, false, f.now + Millis(1500), false });
  f.step(RouteKnown{ 1, 41, 10, false });
  f.step(AttemptFailed{ 1, kNotRun, ErrorCode::NotOwner, "why", Millis(0), 12 });
  REQUIRE(f.find<AwaitView>() != nullptr);
  REQUIRE(f.find<LookUpRoute>() != nullptr);
  f.step(RouteKnown{ 1, 41, 10, false });
  REQUIRE(f.find<StartAttempt>() == nullptr);
  f.now += Millis(200);
  f.step(TimerFired{});
  REQUIRE(f.find<LookUpRoute>() == nullptr);
  REQUIRE(f.timer == f.now + Millis(50)); // It asks the owner again if no view comes for long.
  f.step(ViewChanged{});
  REQUIRE(f.find<AwaitView>() != nullptr);
  f.step(RouteKnown{ 1, 41, 13, true }); // As new as the owner's view, but the key is moving.
  REQUIRE(f.find<StartAttempt>() == nullptr);
  f.step(ViewChanged{});
  f.step(RouteKnown{ 2, 43, 14, false });
  REQUIRE(f.find<StartAttempt>()->node == 2);
  f.step(ViewChanged{});
  REQUIRE(f.actions.empty());
}

TEST_CASE("a request whose key has no other owner in time fails as not run")
{
  Fixture f;
  Started started{ true, false, false, f.now + Millis(1500), false };
  started.bridgeUntil = f.now + Millis(600);
  f.step(started);
  f.step(RouteKnown{ 1, 41, 10, true });
  f.step(AttemptFailed{ 1, kNotRun, ErrorCode::NotOwner, "why", Millis(0), 10 });
  f.step(RouteKnown{ 1, 41, 10, true });
  while (f.now < started.bridgeUntil) {
    REQUIRE(f.find<FailRequest>() == nullptr);
    if (f.retriesOnTimer()) { // It reads the view again, whose change may not have been reported.
      f.step(RouteKnown{ 1, 41, 10, true });
      REQUIRE(f.find<StartAttempt>() == nullptr);
    }
  }
  REQUIRE(f.now == started.bridgeUntil);
  REQUIRE(f.find<FailRequest>()->outcome == kNotRun);
  REQUIRE(f.find<FailRequest>()->code == ErrorCode::NotOwner);
  REQUIRE(f.find<FailRequest>()->retryAfter == Millis(300));
}

// Guards against requests that wait for another owner although the refusing one is still named, and
// against a rate of retries that is set by the rate of changes of the view.
TEST_CASE("an owner that a view as new as its own names is asked again after a backoff only")
{
  Fixture f;
  f.step(Started{ true, false, false, f.now + Millis(10'000), false });
  f.step(RouteKnown{ 1, 41, 10, false });
  const TimePoint startedAt = f.now;
  std::uint32_t attempt = 1;
  while (f.now - startedAt < Millis(2'000)) {
    f.step(AttemptFailed{ attempt, kNotRun, ErrorCode::NotOwner, "why", Millis(0), 10 });
    f.step(RouteKnown{ 1, 41, 10, false });
    REQUIRE(f.find<StartAttempt>() == nullptr);
    f.step(ViewChanged{});
    f.step(RouteKnown{ 1, 41, 11, false });
    REQUIRE(f.find<StartAttempt>() == nullptr);
    REQUIRE(f.retriesOnTimer());
    f.step(RouteKnown{ 1, 41, 11, false });
    REQUIRE(f.find<StartAttempt>()->attempt == ++attempt);
  }
  REQUIRE(attempt < 100);
}

TEST_CASE("a route that is unknown is looked up again until the deadline")
{
  Fixture f;
  f.step(Started{ true, false, false, f.now + Millis(500), false });
  const TimePoint deadline = f.now + Millis(500);
  while (f.find<FailRequest>() == nullptr) {
    f.step(RouteUnknown{});
    if (f.find<FailRequest>() == nullptr) {
      REQUIRE(f.retriesOnTimer());
    }
  }
  REQUIRE(f.find<FailRequest>()->outcome == kNotRun);
  REQUIRE(f.find<FailRequest>()->code == ErrorCode::NoOwner);
  REQUIRE(f.now > deadline - Millis(101));
}

// Guards against requests that wait for an owner although operators have taken all zones of their
// service out.
TEST_CASE("a request is refused at once if its service is out, but never as not run after a run")
{
  for (const bool mayHaveRun : { false, true }) {
    Fixture f;
    f.start(true, true, false);
    f.fail(1, mayHaveRun ? wire::Outcome::Unknown : kNotRun,
           mayHaveRun ? ErrorCode::PeerUnreachable : ErrorCode::ZoneOut);
    if (f.find<LookUpRoute>() == nullptr) {
      REQUIRE(f.retriesOnTimer());
    }
    f.step(RouteUnknown{ true });
    REQUIRE(f.find<FailRequest>() != nullptr);
    CHECK(f.find<FailRequest>()->outcome == (mayHaveRun ? wire::Outcome::Unknown : kNotRun));
    if (!mayHaveRun) {
      CHECK(f.find<FailRequest>()->code == ErrorCode::ZoneOut);
      CHECK(f.find<FailRequest>()->retryAfter > Millis(0));
    }
  }
}

TEST_CASE("final error codes are not retried and other refusals only within the retry budget")
{
  for (const auto code : { ErrorCode::OverRate, ErrorCode::IdempotencyConflict,
                           ErrorCode::BadRequest, ErrorCode::DeadlineExceeded }) {
    Fixture f;
    f.start(false, true, false);
    f.fail(1, kNotRun, code);
    REQUIRE(f.find<FailRequest>()->code == code);
  }
  Fixture f;
  f.start(false, false, false);
  std::uint32_t attempt = 1;
  for (; attempt <= 100; ++attempt) {
    f.fail(attempt, kNotRun, ErrorCode::TargetShed);
    if (f.find<FailRequest>() != nullptr) {
      break;
    }
    REQUIRE(f.retriesOnTimer());
    REQUIRE_FALSE(f.find<LookUpRoute>()->exclude.empty());
    f.step(RouteKnown{ attempt });
  }
  REQUIRE(attempt == 1 + static_cast<std::uint32_t>(RetryBudget::kReserve));
}

// Guards against more attempts than a service may get (BUDGET): the reserves of all entries add up
// when its targets refuse requests. The fleets are those of the deployments, with what each allows
// beyond a share of the requests.
TEST_CASE("the reserves of all entries together are within what a service is allowed")
{
  const std::map<double, double> allowedByEntries = {
    { 9, 56 }, { 11, 58 }, { 78, 196 }, { 81, 202 }, { 295, 630 }
  };
  for (const auto& [entries, allowed] : allowedByEntries) {
    CAPTURE(entries);
    CHECK(entries * RetryBudget::kReserve <= allowed);
  }
}

TEST_CASE("a request that ends at its deadline is reported as unknown if an attempt may have run")
{
  Fixture f;
  f.start(true, false, false, Millis(100));
  f.now += Millis(100);
  f.step(TimerFired{});
  REQUIRE(f.actions.empty()); // The owner's result may still arrive within kOwnerResultGrace.
  f.now += EntryRequest::kOwnerResultGrace;
  f.step(TimerFired{});
  REQUIRE(f.find<CancelAttempt>()->attempt == 1);
  REQUIRE(f.find<FailRequest>()->outcome == kUnknown);
  REQUIRE(f.request.isFinished());
}

TEST_CASE("a hedge starts after a high latency quantile and the slower attempt is cancelled")
{
  Fixture f;
  for (int i = 0; i < 200; ++i) {
    f.hedge.recordRequest();
    f.hedge.recordLatency(f.now, Millis(i % 100));
  }
  f.start(false, true, false);
  REQUIRE(toMillis(f.timer - f.now) >= 90);
  REQUIRE(toMillis(f.timer - f.now) <= 99);
  REQUIRE(f.retriesOnTimer());
  REQUIRE(f.find<LookUpRoute>()->exclude == std::vector<NodeId>{ 1 });
  f.step(RouteKnown{ 2 });
  REQUIRE(f.find<StartAttempt>()->attempt == 2);
  f.step(AttemptHead{ 2 });
  REQUIRE(f.find<CancelAttempt>()->attempt == 1);
  REQUIRE(f.find<ForwardResponse>()->attempt == 2);
  f.fail(1, kUnknown, ErrorCode::Cancelled);
  REQUIRE(f.actions.empty());
  f.step(AttemptDone{ 2 });
  REQUIRE(f.request.isFinished());
}

TEST_CASE("at most 5 % of requests are hedged and no keyed or non-idempotent ones")
{
  REQUIRE_FALSE(HedgePolicy::mayHedge(true, true));
  REQUIRE_FALSE(HedgePolicy::mayHedge(false, false));
  HedgePolicy policy;
  int hedges = 0;
  for (int i = 0; i < 10'000; ++i) {
    policy.recordRequest();
    hedges += policy.tryAcquire() ? 1 : 0;
  }
  REQUIRE(hedges <= 500);
}

// Guards against requests that still wait when the daemon of their entry ends (LOST, issue 44).
TEST_CASE("a request that hasn't started by the last start of a stop is withdrawn for good")
{
  Fixture f;
  SECTION("it is queued at an owner")
  {
    f.start(true, true, false);
    f.step(WithdrawalDue{ f.now + Millis(1'000) });
    REQUIRE(f.find<WithdrawAttempt>() == nullptr);
    f.now = f.timer;
    f.step(TimerFired{});
    REQUIRE(f.find<WithdrawAttempt>() != nullptr);
    CHECK(f.find<WithdrawAttempt>()->attempt == 1);
    REQUIRE(f.find<FailRequest>() == nullptr);
    f.fail(1, kNotRun, ErrorCode::Draining);
  }
  SECTION("it waits for an owner")
  {
    f.step(Started{ true, true, false, f.now + Millis(10'000), false });
    f.step(RouteUnknown{});
    f.step(WithdrawalDue{ f.now });
  }
  SECTION("it arrives later")
  {
    Started started;
    started.deadline = f.now + Millis(10'000);
    started.withdrawAt = f.now;
    f.step(started);
    CHECK(f.find<LookUpRoute>() == nullptr);
  }
  REQUIRE(f.find<FailRequest>() != nullptr);
  CHECK(f.find<FailRequest>()->outcome == kNotRun);
  CHECK(f.find<FailRequest>()->code == ErrorCode::Draining);
}

// Guards against a stop that ends requests which their target has started.
TEST_CASE("a withdrawn request that has started at its target gets its response")
{
  Fixture f;
  f.start(true, false, false);
  f.step(WithdrawalDue{ f.now });
  REQUIRE(f.find<WithdrawAttempt>() != nullptr);
  f.step(AttemptHead{ 1 });
  CHECK(f.find<ForwardResponse>() != nullptr);
}

TEST_CASE("random events never break the rules for retries and outcomes")
{
  for (const auto seed : seeds(3'000)) {
    INFO(replayCommand(seed, "random events never break the rules for retries and outcomes"));
    Fixture f;
    f.random.seed(seed);
    std::mt19937_64 random(seed);
    const bool isIdempotent = random() % 2 == 0;
    const bool hasKey = random() % 3 == 0;
    f.step(
      Started{ random() % 2 == 0, isIdempotent, hasKey, f.now + Millis(random() % 500), false });
    std::set<std::uint32_t> started;
    std::set<std::uint32_t> active; // Started attempts that have not failed.
    bool mayHaveRun = false;
    int ends = 0;
    const auto check = [&] {
      for (const auto& it : f.actions) {
        if (const auto* start = std::get_if<StartAttempt>(&it)) {
          REQUIRE((!mayHaveRun || isIdempotent || hasKey));
          REQUIRE((!mayHaveRun || start->isResend));
          REQUIRE(started.insert(start->attempt).second);
          active.insert(start->attempt);
          REQUIRE(ends == 0);
        } else if (const auto* failure = std::get_if<FailRequest>(&it)) {
          REQUIRE((failure->outcome == kUnknown || !mayHaveRun));
          ++ends;
        } else if (std::holds_alternative<ForwardResponse>(it)) {
          ++ends;
        }
      }
    };
    check();
    for (int i = 0; i < 60 && !f.request.isFinished(); ++i) {
      const auto attempt = static_cast<std::uint32_t>(started.empty() ? 0 : *started.rbegin());
      switch (random() % 10) {
        case 0:
        case 1:
        case 2:
          f.step(RouteKnown{ static_cast<NodeId>(1 + random() % 5), 0, random() % 3,
                             random() % 4 == 0 });
          break;
        case 3:
          f.step(RouteUnknown{});
          break;
        case 4: {
          constexpr ErrorCode kCodes[] = { ErrorCode::NotOwner, ErrorCode::TargetShed,
                                           ErrorCode::OverRate, ErrorCode::PeerUnreachable };
          const bool isUnknown = random() % 2 == 0;
          const bool wasActive = active.erase(attempt) != 0;
          mayHaveRun = mayHaveRun || (isUnknown && wasActive);
          f.step(AttemptFailed{ attempt, isUnknown ? kUnknown : kNotRun, kCodes[random() % 4],
                                "why", Millis(0), random() % 3 });
          break;
        }
        case 5:
          f.step(random() % 10 == 0 ? EntryEvent(AttemptHead{ attempt })
                                    : EntryEvent(TimerFired{}));
          break;
        case 6:
          f.step(ViewChanged{});
          break;
        case 7:
          f.now += Millis(random() % 50);
          break;
        case 8:
          if (random() % 10 == 0) {
            f.step(WithdrawalDue{ f.now + Millis(random() % 100) });
          }
          break;
        default:
          f.retriesOnTimer();
          break;
      }
      if (f.request.isFinished() || !f.actions.empty()) {
        check();
        f.actions.clear();
      }
    }
    f.now += std::chrono::seconds(2);
    f.step(TimerFired{});
    check();
    REQUIRE(ends == 1);
  }
}

} // namespace camphorcleat::traffic
