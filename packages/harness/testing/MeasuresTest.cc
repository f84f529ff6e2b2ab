// Guards against measures that can't fail: each is computed from a hand-written record that keeps
// its rule and from one that breaks it.

#include <catch2/catch.hpp>

#include "harness/LoadSummary.h"
#include "harness/Measures.h"

namespace camphorcleat::harness {
namespace {

constexpr std::int64_t kMs = 1000; // Microseconds.

TargetEvent event(TargetEventKind aKind, std::int64_t aMs, NodeId aTarget, const std::string& aKey,
                  std::optional<FencingToken> aFence)
{
  TargetEvent out;
  out.kind = aKind;
  out.timeUs = aMs * kMs;
  out.target = aTarget;
  out.service = "storefront";
  out.key = aKey;
  out.account = "acme";
  out.fence = aFence;
  out.method = "GET";
  out.path = "/storefront/" + aKey + "/item?id=c" + std::to_string(aMs);
  return out;
}

TargetEvent start(std::int64_t aMs, NodeId aTarget, const std::string& aKey,
                  std::optional<FencingToken> aFence)
{
  return event(TargetEventKind::Start, aMs, aTarget, aKey, aFence);
}

TargetEvent post(std::int64_t aMs, NodeId aTarget, const std::string& aId,
                 const std::string& aRequest)
{
  TargetEvent out = start(aMs, aTarget, "k1", 1);
  out.method = "POST";
  out.path = "/storefront/k1/item?id=" + aId;
  out.request = aRequest;
  return out;
}

CallRecord call(const std::string& aId, std::int64_t aSentMs, std::int64_t aDoneMs,
                CallResult aResult)
{
  CallRecord out;
  out.id = aId;
  out.load = "shoppers";
  out.account = "acme";
  out.service = "storefront";
  out.key = "k1";
  out.scheduledUs = aSentMs * kMs;
  out.doneUs = aDoneMs * kMs;
  out.latencyUs = out.doneUs - out.scheduledUs;
  out.result = aResult;
  return out;
}

double valueOf(const char* aMeasure, const Evidence& aEvidence,
               const std::vector<std::string>& aArguments = {})
{
  const Figure figure = findMeasure(aMeasure)->compute(aEvidence, aArguments);
  INFO(aMeasure << ": " << figure.detail);
  REQUIRE(figure.value);
  return *figure.value;
}

} // namespace

TEST_CASE("no measure has a value without evidence")
{
  for (const auto& it : allMeasures()) {
    INFO(it.name);
    REQUIRE_FALSE(it.compute(Evidence(), {}).value);
  }
}

TEST_CASE("double_owner_count: a key moves on under growing fences")
{
  Evidence good;
  good.events = { start(1, 1, "k1", 5), start(2, 1, "k1", 5), start(3, 2, "k1", 7),
                  start(4, 3, "k2", 4), start(5, 1, "k1", 9), start(6, 2, "", std::nullopt) };
  REQUIRE(valueOf("double_owner_count", good) == 0);

  Evidence returned = good;
  returned.events.push_back(start(7, 2, "k1", 7));
  REQUIRE(valueOf("double_owner_count", returned) == 1);

  Evidence shared = good;
  shared.events.push_back(start(7, 2, "k1", 9));
  REQUIRE(valueOf("double_owner_count", shared) == 1);

  Evidence unfenced = good;
  unfenced.events.push_back(start(7, 1, "k1", std::nullopt));
  REQUIRE(valueOf("double_owner_count", unfenced) == 1);

  Evidence otherService = good;
  otherService.events.push_back(start(7, 2, "k1", 3));
  otherService.events.back().service = "artroom";
  REQUIRE(valueOf("double_owner_count", otherService) == 0);
}

TEST_CASE("overlap_run_count: work of a key runs at one target at a time")
{
  Evidence good;
  good.events = { start(1, 1, "k1", 5), start(2, 1, "k1", 5),
                  event(TargetEventKind::End, 3, 1, "k1", 5),
                  event(TargetEventKind::Cancel, 4, 1, "k1", 5), start(5, 2, "k1", 7) };
  REQUIRE(valueOf("overlap_run_count", good) == 0);
  Evidence bad = good;
  bad.events.erase(bad.events.begin() + 3);
  REQUIRE(valueOf("overlap_run_count", bad) == 1);
}

TEST_CASE("duplicate_run_count: a non-idempotent request starts once over all targets")
{
  Evidence good;
  good.events = { post(1, 1, "c1", "r1"), post(2, 2, "c2", "r2"), start(3, 1, "k1", 1),
                  start(3, 2, "k1", 1) };
  REQUIRE(valueOf("duplicate_run_count", good) == 0);

  Evidence byCaller = good;
  byCaller.events.push_back(post(4, 2, "c1", "r3"));
  REQUIRE(valueOf("duplicate_run_count", byCaller) == 1);

  Evidence byRequest = good;
  byRequest.events.push_back(post(4, 2, "c3", "r2"));
  REQUIRE(valueOf("duplicate_run_count", byRequest) == 1);

  Evidence byIdempotencyKey = good;
  byIdempotencyKey.events[0].idempotencyKey = "i";
  byIdempotencyKey.events.push_back(post(4, 2, "c3", "r3"));
  byIdempotencyKey.events.back().idempotencyKey = "i";
  REQUIRE(valueOf("duplicate_run_count", byIdempotencyKey) == 1);

  byIdempotencyKey.events.back().account = "globex"; // Another account's key of the same text.
  REQUIRE(valueOf("duplicate_run_count", byIdempotencyKey) == 0);
}

TEST_CASE("false_not_run_count: a call that was told not-run was started by no target")
{
  Evidence good;
  good.events = { post(1, 1, "c1", "r1") };
  good.calls = { call("c1", 0, 2, CallResult::Served), call("c2", 0, 2, CallResult::Refused) };
  good.calls[1].outcome = "not-run";
  REQUIRE(valueOf("false_not_run_count", good) == 0);
  Evidence bad = good;
  bad.events.push_back(post(1, 2, "c2", "r2"));
  REQUIRE(valueOf("false_not_run_count", bad) == 1);
}

TEST_CASE("wrong_answer_count: complete answers belong to their requests")
{
  Evidence good;
  good.calls = { call("c1", 0, 2, CallResult::Served), call("c2", 0, 2, CallResult::Unknown) };
  REQUIRE(valueOf("wrong_answer_count", good) == 0);
  good.calls.push_back(call("c3", 0, 2, CallResult::Mismatched));
  REQUIRE(valueOf("wrong_answer_count", good) == 1);
}

TEST_CASE("over_rate_count: no two starts enclose more than rate x time + burst")
{
  Evidence evidence;
  evidence.rates["acme"] = { { 0, 10, 5 } }; // One token in 100 ms.
  for (int i = 0; i < 5; ++i) {
    evidence.events.push_back(start(1000, 1, "k1", 1)); // The burst at once,
  }
  for (int i = 1; i <= 20; ++i) {
    evidence.events.push_back(start(1000 + i * 100, 1 + i % 2, "k1", 1)); // then the rate.
  }
  REQUIRE(valueOf("over_rate_count", evidence) == 0);

  SECTION("one start too many, at whatever target")
  {
    evidence.events.push_back(start(3001, 3, "k1", 1));
    REQUIRE(valueOf("over_rate_count", evidence) == 1);
  }
  SECTION("idle time fills no more than the burst")
  {
    for (int i = 0; i < 8; ++i) {
      evidence.events.push_back(start(60'000, 1, "k1", 1));
    }
    REQUIRE(valueOf("over_rate_count", evidence) == 3);
  }
  SECTION("after a lower rate, the higher one counts for 5 s and no longer")
  {
    evidence.rates["acme"].push_back({ 10'000 * kMs, 1, 1 });
    evidence.events.push_back(start(14'000, 1, "k1", 1));
    evidence.events.push_back(start(14'000, 1, "k1", 1));
    REQUIRE(valueOf("over_rate_count", evidence) == 0);
    evidence.events.push_back(start(20'000, 1, "k1", 1));
    evidence.events.push_back(start(20'000, 1, "k1", 1));
    REQUIRE(valueOf("over_rate_count", evidence) == 1);
  }
  SECTION("accounts are counted apart")
  {
    evidence.rates["globex"] = { { 0, 10, 5 } };
    evidence.events.push_back(start(3001, 3, "k1", 1));
    evidence.events.back().account = "globex";
    REQUIRE(valueOf("over_rate_count", evidence) == 0);
  }
}

TEST_CASE("excess_count and secret_seen_count count what targets recorded")
{
  Evidence evidence;
  evidence.events = { start(1, 1, "k1", 1) };
  REQUIRE(valueOf("excess_count", evidence) == 0);
  REQUIRE(valueOf("secret_seen_count", evidence) == 0);
  evidence.events.push_back(event(TargetEventKind::Excess, 2, 1, "k1", 1));
  evidence.events.push_back(start(2, 1, "k1", 1));
  evidence.events.back().secretSeen = true;
  evidence.secretsInFiles = 2;
  REQUIRE(valueOf("excess_count", evidence) == 1);
  REQUIRE(valueOf("secret_seen_count", evidence) == 3);
}

TEST_CASE("unavailable_after_loss_ms: the longest gap of the worst key from the loss on")
{
  Evidence evidence;
  evidence.losses = { { 1000 * kMs, "kill node 2", "probe-1" } };
  const auto probe = [&](const std::string& aKey, std::int64_t aMs, CallResult aResult) {
    evidence.calls.push_back(call(aKey + std::to_string(aMs), aMs, aMs + 1, aResult));
    evidence.calls.back().load = "probe-1";
    evidence.calls.back().key = aKey;
  };
  for (std::int64_t at = 500; at <= 4000; at += 50) {
    probe("a", at, at >= 1000 && at < 1500 ? CallResult::Refused : CallResult::Served);
    probe("b", at, at >= 1000 && at < 2200 ? CallResult::Unreachable : CallResult::Served);
  }
  REQUIRE(valueOf("unavailable_after_loss_ms", evidence) == Approx(1201).margin(1));

  SECTION("a later gap counts too")
  {
    for (auto& it : evidence.calls) {
      if (it.key == "a" && it.scheduledUs >= 2000 * kMs && it.scheduledUs < 3600 * kMs) {
        it.result = CallResult::Unknown;
      }
    }
    REQUIRE(valueOf("unavailable_after_loss_ms", evidence) == Approx(1650).margin(1));
  }
  SECTION("a key that is never served again counts to the end")
  {
    for (auto& it : evidence.calls) {
      if (it.key == "b" && it.scheduledUs >= 1000 * kMs) {
        it.result = CallResult::Refused;
      }
    }
    REQUIRE(valueOf("unavailable_after_loss_ms", evidence) == Approx(3000).margin(1));
  }
  SECTION("wrong answers and other loads don't count as service")
  {
    for (auto& it : evidence.calls) {
      if (it.key == "b") {
        it.result = CallResult::Mismatched;
      }
    }
    evidence.calls.push_back(call("x", 2000, 2001, CallResult::Served));
    evidence.calls.back().key = "b";
    REQUIRE(valueOf("unavailable_after_loss_ms", evidence) == Approx(3000).margin(1));
  }
  SECTION("a loss without probes has no value")
  {
    evidence.losses.push_back({ 2000 * kMs, "kill node 3", "probe-2" });
    REQUIRE_FALSE(unavailableAfterLossMs(evidence).value);
  }
}

TEST_CASE("zone_new_work_ms: time from the removal of a zone to its last start")
{
  Evidence evidence;
  evidence.zoneOfTarget = { { 1, "a" }, { 2, "b" } };
  evidence.zonesOut = { { "b", 1000 * kMs, 9000 * kMs } };
  evidence.events = { start(900, 2, "k1", 1), start(1300, 2, "k1", 1), start(8000, 1, "k1", 1),
                      start(9500, 2, "k1", 1) };
  REQUIRE(valueOf("zone_new_work_ms", evidence, { "b" }) == 300);
  evidence.events.insert(evidence.events.begin() + 2, start(7000, 2, "k1", 1));
  REQUIRE(valueOf("zone_new_work_ms", evidence, { "b" }) == 6000);
  REQUIRE_FALSE(zoneNewWorkMs(evidence, "a").value);
  evidence.events.erase(evidence.events.begin() + 2, evidence.events.end());
  REQUIRE_FALSE(zoneNewWorkMs(evidence, "b").value); // The load ended too early to show anything.
}

TEST_CASE("withdrawn_key_ms: time from a withdrawal to the account's last start")
{
  Evidence evidence;
  evidence.withdrawals = { { "acme", 1000 * kMs } };
  evidence.events = { start(900, 1, "k1", 1), start(1400, 2, "k1", 1) };
  evidence.calls = { call("c1", 6500, 6501, CallResult::Refused) };
  REQUIRE(valueOf("withdrawn_key_ms", evidence) == 400);
  evidence.events.push_back(start(6400, 1, "k1", 1));
  REQUIRE(valueOf("withdrawn_key_ms", evidence, { "acme" }) == 5400);
  evidence.calls[0].scheduledUs = 3000 * kMs;
  REQUIRE_FALSE(withdrawnKeyMs(evidence, "acme").value); // The caller stopped asking too early.
}

TEST_CASE("worst_account_ratio compares each account with its max-min fair share")
{
  Evidence evidence;
  const auto calls = [&](const std::string& aAccount, int aServed, int aRefused) {
    for (int i = 0; i < aServed + aRefused; ++i) {
      evidence.calls.push_back(
        call("", i, i + 1, i < aServed ? CallResult::Served : CallResult::Refused));
      evidence.calls.back().account = aAccount;
    }
  };
  calls("small", 10, 0);
  calls("large", 45, 55);
  calls("greedy", 45, 400);
  REQUIRE(valueOf("worst_account_ratio", evidence) == Approx(1));
  evidence.calls.clear();
  calls("small", 5, 5); // The greedy one took 5 of its calls.
  calls("large", 45, 55);
  calls("greedy", 50, 400);
  REQUIRE(valueOf("worst_account_ratio", evidence) == Approx(0.5));
}

TEST_CASE("a rate bounds the fair share an account may claim")
{
  Evidence evidence;
  evidence.rates["acme"] = { { 0, 1, 1 } };
  for (std::int64_t i = 0; i <= 9; ++i) { // 10 calls in 9 s: 10 allowed.
    evidence.calls.push_back(call("", i * 1000, i * 1000 + 1, CallResult::Served));
    evidence.calls.push_back(call("", i * 1000, i * 1000 + 1, CallResult::Refused));
  }
  REQUIRE(valueOf("worst_account_ratio", evidence) == Approx(1));
}

TEST_CASE("counts and quantiles take the loads asked for, and no probes by default")
{
  Evidence evidence;
  evidence.losses = { { 0, "kill node 2", "probe-1" } };
  for (int i = 1; i <= 100; ++i) {
    evidence.calls.push_back(call("", 0, i, CallResult::Served));
  }
  evidence.calls.push_back(call("", 0, 500, CallResult::Refused));
  evidence.calls.push_back(call("", 0, 900, CallResult::Unknown));
  evidence.calls.push_back(call("", 0, 950, CallResult::Served));
  evidence.calls.back().load = "probe-1";
  REQUIRE(valueOf("served", evidence) == 100);
  REQUIRE(valueOf("refused", evidence) == 1);
  REQUIRE(valueOf("unknown", evidence) == 1);
  REQUIRE(valueOf("refused_share", evidence) == Approx(1.0 / 102));
  REQUIRE(valueOf("p50_ms", evidence) == 50);
  REQUIRE(valueOf("p99_ms", evidence) == 99);
  REQUIRE(valueOf("served", evidence, { "probe-1" }) == 1);
  REQUIRE(valueOf("p99_ratio", evidence, { "probe-1", "shoppers" }) == Approx(950.0 / 99));
}

TEST_CASE("quantiles of few values are values that occur")
{
  REQUIRE(quantile({}, 0.5) == 0);
  REQUIRE(quantile({ 7 }, 0.99) == 7);
  REQUIRE(quantile({ 3, 1, 2 }, 0.5) == 2);
  REQUIRE(quantile({ 3, 1, 2 }, 1) == 3);
}

TEST_CASE("records of several targets are put in order of time")
{
  std::vector<TargetEvent> events = { start(5, 1, "k1", 1), start(6, 1, "k1", 1),
                                      start(4, 2, "k1", 1) };
  sortEvents(events);
  REQUIRE(events[0].target == 2);
  REQUIRE(events[2].timeUs == 6 * kMs);
}

TEST_CASE("an accepted setting that is gone or changed at the end is counted (R2)")
{
  Evidence evidence;
  evidence.acknowledged = { { "rate acme", "20/s burst 10", "20/s burst 10" } };
  REQUIRE(valueOf("lost_ack_count", evidence) == 0);
  evidence.acknowledged.push_back({ "zone b", "out", "in" });
  evidence.acknowledged.push_back({ "service storefront", "there", std::nullopt });
  REQUIRE(valueOf("lost_ack_count", evidence) == 2);
}

TEST_CASE("the slowest spread of a setting counts (R12)")
{
  Evidence evidence;
  evidence.spreads = { { "set rate a 1 burst 1", 100 * kMs, 140 * kMs } };
  REQUIRE(valueOf("config_everywhere_ms", evidence) == 40);
  evidence.spreads.push_back({ "zone out b", 200 * kMs, 6200 * kMs });
  REQUIRE(valueOf("config_everywhere_ms", evidence) == 6000);
}

TEST_CASE("calls without a whole answer or a statement that they did not run are cut (R11)")
{
  Evidence evidence;
  evidence.calls = { call("c1", 0, 5, CallResult::Served), call("c2", 0, 5, CallResult::Refused) };
  REQUIRE(valueOf("cut_count", evidence) == 0);
  evidence.calls.push_back(call("c3", 0, 5, CallResult::Unknown));
  evidence.calls.push_back(call("c4", 0, 5, CallResult::Unreachable));
  evidence.calls.push_back(call("c5", 0, 5, CallResult::Other));
  REQUIRE(valueOf("cut_count", evidence) == 3);
}

TEST_CASE("a target that gets more than its share shows as imbalance, and an idle one too (R18)")
{
  Evidence evidence;
  evidence.serviceOfTarget = { { 1, "storefront" }, { 2, "storefront" }, { 3, "artroom" } };
  evidence.calls = { call("c1", 1, 5, CallResult::Served), call("c2", 2, 5, CallResult::Served) };
  evidence.events = { start(1, 1, "k1", 1), start(2, 2, "k2", 2) };
  REQUIRE(valueOf("imbalance", evidence, { "shoppers" }) == 1);
  evidence.events[1].target = 1;
  REQUIRE(valueOf("imbalance", evidence, { "shoppers" }) == 2);
}

} // namespace camphorcleat::harness
