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
  out.sentUs = aSentMs * kMs;
  out.doneUs = aDoneMs * kMs;
  out.latencyUs = out.doneUs - out.sentUs;
  out.result = aResult;
  return out;
}

double valueOf(const char* aMeasure, const RunRecord& aRecord,
               const std::vector<std::string>& aArguments = {})
{
  const MeasureResult result = findMeasure(aMeasure)->compute(aRecord, aArguments);
  INFO(aMeasure << ": " << result.detail);
  REQUIRE(result.value);
  return *result.value;
}

} // namespace

TEST_CASE("no measure has a value without evidence")
{
  for (const auto& it : allMeasures()) {
    INFO(it.name);
    REQUIRE_FALSE(it.compute(RunRecord(), {}).value);
  }
}

TEST_CASE("double_owner_count: a key moves on under growing fences")
{
  RunRecord good;
  good.events = { start(1, 1, "k1", 5), start(2, 1, "k1", 5), start(3, 2, "k1", 7),
                  start(4, 3, "k2", 4), start(5, 1, "k1", 9), start(6, 2, "", std::nullopt) };
  REQUIRE(valueOf("double_owner_count", good) == 0);

  RunRecord returned = good;
  returned.events.push_back(start(7, 2, "k1", 7));
  REQUIRE(valueOf("double_owner_count", returned) == 1);

  RunRecord shared = good;
  shared.events.push_back(start(7, 2, "k1", 9));
  REQUIRE(valueOf("double_owner_count", shared) == 1);

  RunRecord unfenced = good;
  unfenced.events.push_back(start(7, 1, "k1", std::nullopt));
  REQUIRE(valueOf("double_owner_count", unfenced) == 1);

  RunRecord otherService = good;
  otherService.events.push_back(start(7, 2, "k1", 3));
  otherService.events.back().service = "artroom";
  REQUIRE(valueOf("double_owner_count", otherService) == 0);
}

TEST_CASE("overlap_run_count: work of a key runs at one target at a time")
{
  RunRecord good;
  good.events = { start(1, 1, "k1", 5), start(2, 1, "k1", 5),
                  event(TargetEventKind::End, 3, 1, "k1", 5),
                  event(TargetEventKind::Cancel, 4, 1, "k1", 5), start(5, 2, "k1", 7) };
  REQUIRE(valueOf("overlap_run_count", good) == 0);
  RunRecord bad = good;
  bad.events.erase(bad.events.begin() + 3);
  REQUIRE(valueOf("overlap_run_count", bad) == 1);
}

TEST_CASE("duplicate_run_count: a non-idempotent request starts once over all targets")
{
  RunRecord good;
  good.events = { post(1, 1, "c1", "r1"), post(2, 2, "c2", "r2"), start(3, 1, "k1", 1),
                  start(3, 2, "k1", 1) };
  REQUIRE(valueOf("duplicate_run_count", good) == 0);

  RunRecord byCaller = good;
  byCaller.events.push_back(post(4, 2, "c1", "r3"));
  REQUIRE(valueOf("duplicate_run_count", byCaller) == 1);

  RunRecord byRequest = good;
  byRequest.events.push_back(post(4, 2, "c3", "r2"));
  REQUIRE(valueOf("duplicate_run_count", byRequest) == 1);

  RunRecord byIdempotencyKey = good;
  byIdempotencyKey.events[0].idempotencyKey = "i";
  byIdempotencyKey.events.push_back(post(4, 2, "c3", "r3"));
  byIdempotencyKey.events.back().idempotencyKey = "i";
  REQUIRE(valueOf("duplicate_run_count", byIdempotencyKey) == 1);

  byIdempotencyKey.events.back().account = "globex"; // Another account's key of the same text.
  REQUIRE(valueOf("duplicate_run_count", byIdempotencyKey) == 0);
}

TEST_CASE("false_not_run_count: a call that was told not-run was started by no target")
{
  RunRecord good;
  good.events = { post(1, 1, "c1", "r1") };
  good.calls = { call("c1", 0, 2, CallResult::Served), call("c2", 0, 2, CallResult::Refused) };
  good.calls[1].outcome = "not-run";
  REQUIRE(valueOf("false_not_run_count", good) == 0);
  RunRecord bad = good;
  bad.events.push_back(post(1, 2, "c2", "r2"));
  REQUIRE(valueOf("false_not_run_count", bad) == 1);
}

TEST_CASE("wrong_answer_count: complete answers belong to their requests")
{
  RunRecord good;
  good.calls = { call("c1", 0, 2, CallResult::Served), call("c2", 0, 2, CallResult::Unknown) };
  REQUIRE(valueOf("wrong_answer_count", good) == 0);
  good.calls.push_back(call("c3", 0, 2, CallResult::Wrong));
  REQUIRE(valueOf("wrong_answer_count", good) == 1);
}

TEST_CASE("over_rate_count: no two starts enclose more than rate x time + burst")
{
  RunRecord record;
  record.rates["acme"] = { { 0, 10, 5 } }; // One token in 100 ms.
  for (int i = 0; i < 5; ++i) {
    record.events.push_back(start(1000, 1, "k1", 1)); // The burst at once,
  }
  for (int i = 1; i <= 20; ++i) {
    record.events.push_back(start(1000 + i * 100, 1 + i % 2, "k1", 1)); // then the rate.
  }
  REQUIRE(valueOf("over_rate_count", record) == 0);

  SECTION("one start too many, at whatever target")
  {
    record.events.push_back(start(3001, 3, "k1", 1));
    REQUIRE(valueOf("over_rate_count", record) == 1);
  }
  SECTION("idle time fills no more than the burst")
  {
    for (int i = 0; i < 8; ++i) {
      record.events.push_back(start(60'000, 1, "k1", 1));
    }
    REQUIRE(valueOf("over_rate_count", record) == 3);
  }
  SECTION("after a lower rate, the higher one counts for 5 s and no longer")
  {
    record.rates["acme"].push_back({ 10'000 * kMs, 1, 1 });
    record.events.push_back(start(14'000, 1, "k1", 1));
    record.events.push_back(start(14'000, 1, "k1", 1));
    REQUIRE(valueOf("over_rate_count", record) == 0);
    record.events.push_back(start(20'000, 1, "k1", 1));
    record.events.push_back(start(20'000, 1, "k1", 1));
    REQUIRE(valueOf("over_rate_count", record) == 1);
  }
  SECTION("accounts are counted apart")
  {
    record.rates["globex"] = { { 0, 10, 5 } };
    record.events.push_back(start(3001, 3, "k1", 1));
    record.events.back().account = "globex";
    REQUIRE(valueOf("over_rate_count", record) == 0);
  }
}

TEST_CASE("excess_count and secret_seen_count count what targets recorded")
{
  RunRecord record;
  record.events = { start(1, 1, "k1", 1) };
  REQUIRE(valueOf("excess_count", record) == 0);
  REQUIRE(valueOf("secret_seen_count", record) == 0);
  record.events.push_back(event(TargetEventKind::Excess, 2, 1, "k1", 1));
  record.events.push_back(start(2, 1, "k1", 1));
  record.events.back().secretSeen = true;
  record.secretOccurrences = 2;
  REQUIRE(valueOf("excess_count", record) == 1);
  REQUIRE(valueOf("secret_seen_count", record) == 3);
}

TEST_CASE("unavailable_after_loss_ms: the longest gap of the worst key from the loss on")
{
  RunRecord record;
  record.losses = { { 1000 * kMs, "kill node 2", "probe-1" } };
  const auto probe = [&](const std::string& aKey, std::int64_t aMs, CallResult aResult) {
    record.calls.push_back(call(aKey + std::to_string(aMs), aMs, aMs + 1, aResult));
    record.calls.back().load = "probe-1";
    record.calls.back().key = aKey;
  };
  for (std::int64_t at = 500; at <= 4000; at += 50) {
    probe("a", at, at >= 1000 && at < 1500 ? CallResult::Refused : CallResult::Served);
    probe("b", at, at >= 1000 && at < 2200 ? CallResult::Unreachable : CallResult::Served);
  }
  REQUIRE(valueOf("unavailable_after_loss_ms", record) == Approx(1201).margin(1));

  SECTION("a later gap counts too")
  {
    for (auto& it : record.calls) {
      if (it.key == "a" && it.sentUs >= 2000 * kMs && it.sentUs < 3600 * kMs) {
        it.result = CallResult::Unknown;
      }
    }
    REQUIRE(valueOf("unavailable_after_loss_ms", record) == Approx(1650).margin(1));
  }
  SECTION("a key that is never served again counts to the end")
  {
    for (auto& it : record.calls) {
      if (it.key == "b" && it.sentUs >= 1000 * kMs) {
        it.result = CallResult::Refused;
      }
    }
    REQUIRE(valueOf("unavailable_after_loss_ms", record) == Approx(3000).margin(1));
  }
  SECTION("wrong answers and other loads don't count as service")
  {
    for (auto& it : record.calls) {
      if (it.key == "b") {
        it.result = CallResult::Wrong;
      }
    }
    record.calls.push_back(call("x", 2000, 2001, CallResult::Served));
    record.calls.back().key = "b";
    REQUIRE(valueOf("unavailable_after_loss_ms", record) == Approx(3000).margin(1));
  }
  SECTION("a loss without probes has no value")
  {
    record.losses.push_back({ 2000 * kMs, "kill node 3", "probe-2" });
    REQUIRE_FALSE(unavailableAfterLossMs(record).value);
  }
}

TEST_CASE("zone_new_work_ms: time from the removal of a zone to its last start")
{
  RunRecord record;
  record.zoneOfTarget = { { 1, "a" }, { 2, "b" } };
  record.zoneRemovals = { { "b", 1000 * kMs, 9000 * kMs } };
  record.events = { start(900, 2, "k1", 1), start(1300, 2, "k1", 1), start(8000, 1, "k1", 1),
                    start(9500, 2, "k1", 1) };
  REQUIRE(valueOf("zone_new_work_ms", record, { "b" }) == 300);
  record.events.insert(record.events.begin() + 2, start(7000, 2, "k1", 1));
  REQUIRE(valueOf("zone_new_work_ms", record, { "b" }) == 6000);
  REQUIRE_FALSE(zoneNewWorkMs(record, "a").value);
  record.events.erase(record.events.begin() + 2, record.events.end());
  REQUIRE_FALSE(zoneNewWorkMs(record, "b").value); // The load ended too early to show anything.
}

TEST_CASE("withdrawn_key_ms: time from a withdrawal to the account's last start")
{
  RunRecord record;
  record.keyWithdrawals = { { "acme", 1000 * kMs } };
  record.events = { start(900, 1, "k1", 1), start(1400, 2, "k1", 1) };
  record.calls = { call("c1", 6500, 6501, CallResult::Refused) };
  REQUIRE(valueOf("withdrawn_key_ms", record) == 400);
  record.events.push_back(start(6400, 1, "k1", 1));
  REQUIRE(valueOf("withdrawn_key_ms", record, { "acme" }) == 5400);
  record.calls[0].sentUs = 3000 * kMs;
  REQUIRE_FALSE(withdrawnKeyMs(record, "acme").value); // The caller stopped asking too early.
}

TEST_CASE("worst_account_ratio compares each account with its max-min fair share")
{
  RunRecord record;
  const auto calls = [&](const std::string& aAccount, int aServed, int aRefused) {
    for (int i = 0; i < aServed + aRefused; ++i) {
      record.calls.push_back(
        call("", i, i + 1, i < aServed ? CallResult::Served : CallResult::Refused));
      record.calls.back().account = aAccount;
    }
  };
  calls("small", 10, 0);
  calls("large", 45, 55);
  calls("greedy", 45, 400);
  REQUIRE(valueOf("worst_account_ratio", record) == Approx(1));
  record.calls.clear();
  calls("small", 5, 5); // The greedy one took 5 of its calls.
  calls("large", 45, 55);
  calls("greedy", 50, 400);
  REQUIRE(valueOf("worst_account_ratio", record) == Approx(0.5));
}

TEST_CASE("a rate bounds the fair share an account may claim")
{
  RunRecord record;
  record.rates["acme"] = { { 0, 1, 1 } };
  for (std::int64_t i = 0; i <= 9; ++i) { // 10 calls in 9 s: 10 allowed.
    record.calls.push_back(call("", i * 1000, i * 1000 + 1, CallResult::Served));
    record.calls.push_back(call("", i * 1000, i * 1000 + 1, CallResult::Refused));
  }
  REQUIRE(valueOf("worst_account_ratio", record) == Approx(1));
}

TEST_CASE("counts and quantiles take the loads asked for, and no probes by default")
{
  RunRecord record;
  record.losses = { { 0, "kill node 2", "probe-1" } };
  for (int i = 1; i <= 100; ++i) {
    record.calls.push_back(call("", 0, i, CallResult::Served));
  }
  record.calls.push_back(call("", 0, 500, CallResult::Refused));
  record.calls.push_back(call("", 0, 900, CallResult::Unknown));
  record.calls.push_back(call("", 0, 950, CallResult::Served));
  record.calls.back().load = "probe-1";
  REQUIRE(valueOf("served", record) == 100);
  REQUIRE(valueOf("refused", record) == 1);
  REQUIRE(valueOf("unknown", record) == 1);
  REQUIRE(valueOf("refused_share", record) == Approx(1.0 / 102));
  REQUIRE(valueOf("p50_ms", record) == 50);
  REQUIRE(valueOf("p99_ms", record) == 99);
  REQUIRE(valueOf("served", record, { "probe-1" }) == 1);
  REQUIRE(valueOf("p99_ratio", record, { "probe-1", "shoppers" }) == Approx(950.0 / 99));
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
  sortByTime(events);
  REQUIRE(events[0].target == 2);
  REQUIRE(events[2].timeUs == 6 * kMs);
}

TEST_CASE("an accepted setting that is gone or changed at the end is counted (R2)")
{
  RunRecord record;
  record.acceptedSettings = { { "rate acme", "20/s burst 10", "20/s burst 10" } };
  REQUIRE(valueOf("lost_ack_count", record) == 0);
  record.acceptedSettings.push_back({ "zone b", "out", "in" });
  record.acceptedSettings.push_back({ "service storefront", "there", std::nullopt });
  REQUIRE(valueOf("lost_ack_count", record) == 2);
}

TEST_CASE("the slowest spread of a setting counts (R12)")
{
  RunRecord record;
  record.configPropagations = { { "set rate a 1 burst 1", 100 * kMs, 140 * kMs } };
  REQUIRE(valueOf("config_everywhere_ms", record) == 40);
  record.configPropagations.push_back({ "zone out b", 200 * kMs, 6200 * kMs });
  REQUIRE(valueOf("config_everywhere_ms", record) == 6000);
}

TEST_CASE("calls without a whole answer or a statement that they did not run are cut (R11)")
{
  RunRecord record;
  record.calls = { call("c1", 0, 5, CallResult::Served), call("c2", 0, 5, CallResult::Refused) };
  REQUIRE(valueOf("cut_count", record) == 0);
  record.calls.push_back(call("c3", 0, 5, CallResult::Unknown));
  record.calls.push_back(call("c4", 0, 5, CallResult::Unreachable));
  record.calls.push_back(call("c5", 0, 5, CallResult::Other));
  REQUIRE(valueOf("cut_count", record) == 3);
}

TEST_CASE("a target that gets more than its share shows as imbalance, and an idle one too (R18)")
{
  RunRecord record;
  record.serviceOfTarget = { { 1, "storefront" }, { 2, "storefront" }, { 3, "artroom" } };
  record.calls = { call("c1", 1, 5, CallResult::Served), call("c2", 2, 5, CallResult::Served) };
  record.events = { start(1, 1, "k1", 1), start(2, 2, "k2", 2) };
  REQUIRE(valueOf("imbalance", record, { "shoppers" }) == 1);
  record.events[1].target = 1;
  REQUIRE(valueOf("imbalance", record, { "shoppers" }) == 2);
}

} // namespace camphorcleat::harness
