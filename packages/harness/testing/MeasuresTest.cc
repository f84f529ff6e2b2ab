// Guards against measures that don't detect violations: each is computed from a record without a
// violation and from one with a violation.

#include <catch2/catch.hpp>

#include "harness/LoadSummary.h"
#include "harness/Measures.h"

namespace camphorcleat::harness {
namespace {

constexpr std::int64_t kMicrosPerMs = 1000;

TargetEvent makeEvent(TargetEventKind aKind, std::int64_t aMs, NodeId aTarget,
                      const std::string& aKey, std::optional<FencingToken> aFence)
{
  TargetEvent out;
  out.kind = aKind;
  out.timeUs = aMs * kMicrosPerMs;
  out.target = aTarget;
  out.service = "storefront";
  out.key = aKey;
  out.account = "acme";
  out.fence = aFence;
  out.method = "GET";
  out.path = "/storefront/" + aKey + "/item?id=c" + std::to_string(aMs);
  return out;
}

TargetEvent makeStart(std::int64_t aMs, NodeId aTarget, const std::string& aKey,
                      std::optional<FencingToken> aFence)
{
  return makeEvent(TargetEventKind::Start, aMs, aTarget, aKey, aFence);
}

TargetEvent makePost(std::int64_t aMs, NodeId aTarget, const std::string& aId,
                     const std::string& aRequest)
{
  TargetEvent out = makeStart(aMs, aTarget, "k1", 1);
  out.method = "POST";
  out.path = "/storefront/k1/item?id=" + aId;
  out.request = aRequest;
  return out;
}

CallRecord makeCall(const std::string& aId, std::int64_t aSentMs, std::int64_t aDoneMs,
                    CallResult aResult)
{
  CallRecord out;
  out.id = aId;
  out.load = "shoppers";
  out.account = "acme";
  out.service = "storefront";
  out.key = "k1";
  out.scheduledUs = aSentMs * kMicrosPerMs;
  out.doneUs = aDoneMs * kMicrosPerMs;
  out.latencyUs = out.doneUs - out.scheduledUs;
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

TEST_CASE("no measure has a value if nothing was recorded")
{
  for (const auto& it : allMeasures()) {
    INFO(it.name);
    REQUIRE_FALSE(it.compute(RunRecord(), {}).value);
  }
}

TEST_CASE("double_owner_count: the fences of a key increase when it moves to another target")
{
  RunRecord valid;
  valid.events = { makeStart(1, 1, "k1", 5), makeStart(2, 1, "k1", 5),
                   makeStart(3, 2, "k1", 7), makeStart(4, 3, "k2", 4),
                   makeStart(5, 1, "k1", 9), makeStart(6, 2, "", std::nullopt) };
  REQUIRE(valueOf("double_owner_count", valid) == 0);

  RunRecord returned = valid;
  returned.events.push_back(makeStart(7, 2, "k1", 7));
  REQUIRE(valueOf("double_owner_count", returned) == 1);

  RunRecord shared = valid;
  shared.events.push_back(makeStart(7, 2, "k1", 9));
  REQUIRE(valueOf("double_owner_count", shared) == 1);

  RunRecord unfenced = valid;
  unfenced.events.push_back(makeStart(7, 1, "k1", std::nullopt));
  REQUIRE(valueOf("double_owner_count", unfenced) == 1);

  RunRecord otherService = valid;
  otherService.events.push_back(makeStart(7, 2, "k1", 3));
  otherService.events.back().service = "artroom";
  REQUIRE(valueOf("double_owner_count", otherService) == 0);
}

TEST_CASE("overlap_run_count: the requests of a key run at one target at a time")
{
  RunRecord valid;
  valid.events = { makeStart(1, 1, "k1", 5), makeStart(2, 1, "k1", 5),
                   makeEvent(TargetEventKind::End, 3, 1, "k1", 5),
                   makeEvent(TargetEventKind::Cancel, 4, 1, "k1", 5), makeStart(5, 2, "k1", 7) };
  REQUIRE(valueOf("overlap_run_count", valid) == 0);
  RunRecord invalid = valid;
  invalid.events.erase(invalid.events.begin() + 3);
  REQUIRE(valueOf("overlap_run_count", invalid) == 1);
}

TEST_CASE("duplicate_run_count: a non-idempotent request starts at most once over all targets")
{
  RunRecord valid;
  valid.events = { makePost(1, 1, "c1", "r1"), makePost(2, 2, "c2", "r2"), makeStart(3, 1, "k1", 1),
                   makeStart(3, 2, "k1", 1) };
  REQUIRE(valueOf("duplicate_run_count", valid) == 0);

  RunRecord byCall = valid;
  byCall.events.push_back(makePost(4, 2, "c1", "r3"));
  REQUIRE(valueOf("duplicate_run_count", byCall) == 1);

  RunRecord byRequest = valid;
  byRequest.events.push_back(makePost(4, 2, "c3", "r2"));
  REQUIRE(valueOf("duplicate_run_count", byRequest) == 1);

  RunRecord byIdempotencyKey = valid;
  byIdempotencyKey.events[0].idempotencyKey = "i";
  byIdempotencyKey.events.push_back(makePost(4, 2, "c3", "r3"));
  byIdempotencyKey.events.back().idempotencyKey = "i";
  REQUIRE(valueOf("duplicate_run_count", byIdempotencyKey) == 1);

  byIdempotencyKey.events.back().account = "globex"; // The same idempotency key of another account.
  REQUIRE(valueOf("duplicate_run_count", byIdempotencyKey) == 0);
}

TEST_CASE("false_not_run_count: no target started a call that was reported as not-run")
{
  RunRecord valid;
  valid.events = { makePost(1, 1, "c1", "r1") };
  valid.calls = { makeCall("c1", 0, 2, CallResult::Served),
                  makeCall("c2", 0, 2, CallResult::Refused) };
  valid.calls[1].outcome = "not-run";
  REQUIRE(valueOf("false_not_run_count", valid) == 0);
  RunRecord invalid = valid;
  invalid.events.push_back(makePost(1, 2, "c2", "r2"));
  REQUIRE(valueOf("false_not_run_count", invalid) == 1);
}

TEST_CASE("wrong_answer_count: complete responses that belong to another request are counted")
{
  RunRecord valid;
  valid.calls = { makeCall("c1", 0, 2, CallResult::Served),
                  makeCall("c2", 0, 2, CallResult::Unknown) };
  REQUIRE(valueOf("wrong_answer_count", valid) == 0);
  valid.calls.push_back(makeCall("c3", 0, 2, CallResult::Mismatched));
  REQUIRE(valueOf("wrong_answer_count", valid) == 1);
}

TEST_CASE(
  "over_rate_count: no interval between two starts has more than rate x time + burst starts")
{
  RunRecord record;
  record.rates["acme"] = { { 0, 10, 5 } }; // One rate token per 100 ms.
  // The whole burst at once, then one start per token.
  for (int i = 0; i < 5; ++i) {
    record.events.push_back(makeStart(1000, 1, "k1", 1));
  }
  for (int i = 1; i <= 20; ++i) {
    record.events.push_back(makeStart(1000 + i * 100, 1 + i % 2, "k1", 1));
  }
  REQUIRE(valueOf("over_rate_count", record) == 0);

  SECTION("one start too many is counted, whichever target it was at")
  {
    record.events.push_back(makeStart(3001, 3, "k1", 1));
    REQUIRE(valueOf("over_rate_count", record) == 1);
  }
  SECTION("idle time allows no more than the burst")
  {
    for (int i = 0; i < 8; ++i) {
      record.events.push_back(makeStart(60'000, 1, "k1", 1));
    }
    REQUIRE(valueOf("over_rate_count", record) == 3);
  }
  SECTION("after a decrease, the higher rate applies for 5 s and no longer")
  {
    record.rates["acme"].push_back({ 10'000 * kMicrosPerMs, 1, 1 });
    record.events.push_back(makeStart(14'000, 1, "k1", 1));
    record.events.push_back(makeStart(14'000, 1, "k1", 1));
    REQUIRE(valueOf("over_rate_count", record) == 0);
    record.events.push_back(makeStart(20'000, 1, "k1", 1));
    record.events.push_back(makeStart(20'000, 1, "k1", 1));
    REQUIRE(valueOf("over_rate_count", record) == 1);
  }
  SECTION("accounts are counted separately")
  {
    record.rates["globex"] = { { 0, 10, 5 } };
    record.events.push_back(makeStart(3001, 3, "k1", 1));
    record.events.back().account = "globex";
    REQUIRE(valueOf("over_rate_count", record) == 0);
  }
}

TEST_CASE("excess_count and secret_seen_count count the events recorded by targets")
{
  RunRecord record;
  record.events = { makeStart(1, 1, "k1", 1) };
  REQUIRE(valueOf("excess_count", record) == 0);
  REQUIRE(valueOf("secret_seen_count", record) == 0);
  record.events.push_back(makeEvent(TargetEventKind::Excess, 2, 1, "k1", 1));
  record.events.push_back(makeStart(2, 1, "k1", 1));
  record.events.back().secretSeen = true;
  record.secretOccurrences = 2;
  REQUIRE(valueOf("excess_count", record) == 1);
  REQUIRE(valueOf("secret_seen_count", record) == 3);
}

TEST_CASE("unavailable_after_loss_ms: the longest gap after the loss, over all keys")
{
  RunRecord record;
  record.losses = { { 1000 * kMicrosPerMs, "kill node 2", "probe-1" } };
  const auto probe = [&](const std::string& aKey, std::int64_t aMs, CallResult aResult) {
    record.calls.push_back(makeCall(aKey + std::to_string(aMs), aMs, aMs + 1, aResult));
    record.calls.back().load = "probe-1";
    record.calls.back().key = aKey;
  };
  for (std::int64_t at = 500; at <= 4000; at += 50) {
    probe("a", at, at >= 1000 && at < 1500 ? CallResult::Refused : CallResult::Served);
    probe("b", at, at >= 1000 && at < 2200 ? CallResult::Unreachable : CallResult::Served);
  }
  REQUIRE(valueOf("unavailable_after_loss_ms", record) == Approx(1201).margin(1));

  SECTION("a gap that begins after the recovery counts too")
  {
    for (auto& it : record.calls) {
      if (it.key == "a" && it.scheduledUs >= 2000 * kMicrosPerMs &&
          it.scheduledUs < 3600 * kMicrosPerMs) {
        it.result = CallResult::Unknown;
      }
    }
    REQUIRE(valueOf("unavailable_after_loss_ms", record) == Approx(1650).margin(1));
  }
  SECTION("the gap of a key that is never served again lasts until the last probe")
  {
    for (auto& it : record.calls) {
      if (it.key == "b" && it.scheduledUs >= 1000 * kMicrosPerMs) {
        it.result = CallResult::Refused;
      }
    }
    REQUIRE(valueOf("unavailable_after_loss_ms", record) == Approx(3000).margin(1));
  }
  SECTION("wrong responses and calls of other loads don't end a gap")
  {
    for (auto& it : record.calls) {
      if (it.key == "b") {
        it.result = CallResult::Mismatched;
      }
    }
    record.calls.push_back(makeCall("x", 2000, 2001, CallResult::Served));
    record.calls.back().key = "b";
    REQUIRE(valueOf("unavailable_after_loss_ms", record) == Approx(3000).margin(1));
  }
  SECTION("a loss without probes has no value")
  {
    record.losses.push_back({ 2000 * kMicrosPerMs, "kill node 3", "probe-2" });
    REQUIRE_FALSE(unavailableAfterLossMs(record).value);
  }
}

TEST_CASE("zone_new_work_ms: the time from the removal of a zone to the last start in it")
{
  RunRecord record;
  record.zoneOfTarget = { { 1, "a" }, { 2, "b" } };
  record.zoneRemovals = { { "b", 1000 * kMicrosPerMs, 9000 * kMicrosPerMs } };
  record.events = { makeStart(900, 2, "k1", 1), makeStart(1300, 2, "k1", 1),
                    makeStart(8000, 1, "k1", 1), makeStart(9500, 2, "k1", 1) };
  REQUIRE(valueOf("zone_new_work_ms", record, { "b" }) == 300);
  record.events.insert(record.events.begin() + 2, makeStart(7000, 2, "k1", 1));
  REQUIRE(valueOf("zone_new_work_ms", record, { "b" }) == 6000);
  REQUIRE_FALSE(zoneNewWorkMs(record, "a").value);
  record.events.erase(record.events.begin() + 2, record.events.end());
  // The load ended less than 5 s after the removal.
  REQUIRE_FALSE(zoneNewWorkMs(record, "b").value);
}

TEST_CASE("withdrawn_key_ms: the time from a withdrawal to the last start of the account")
{
  RunRecord record;
  record.keyWithdrawals = { { "acme", 1000 * kMicrosPerMs } };
  record.events = { makeStart(900, 1, "k1", 1), makeStart(1400, 2, "k1", 1) };
  record.calls = { makeCall("c1", 6500, 6501, CallResult::Refused) };
  REQUIRE(valueOf("withdrawn_key_ms", record) == 400);
  record.events.push_back(makeStart(6400, 1, "k1", 1));
  REQUIRE(valueOf("withdrawn_key_ms", record, { "acme" }) == 5400);
  record.calls[0].scheduledUs = 3000 * kMicrosPerMs;
  // The last call was less than 5 s after the withdrawal.
  REQUIRE_FALSE(withdrawnKeyMs(record, "acme").value);
}

TEST_CASE("worst_account_ratio compares each account with its max-min fair share")
{
  RunRecord record;
  const auto calls = [&](const std::string& aAccount, int aServed, int aRefused) {
    for (int i = 0; i < aServed + aRefused; ++i) {
      record.calls.push_back(
        makeCall("", i, i + 1, i < aServed ? CallResult::Served : CallResult::Refused));
      record.calls.back().account = aAccount;
    }
  };
  calls("small", 10, 0);
  calls("large", 45, 55);
  calls("greedy", 45, 400);
  REQUIRE(valueOf("worst_account_ratio", record) == Approx(1));
  record.calls.clear();
  calls("small", 5, 5); // "greedy" was served 5 calls beyond its share.
  calls("large", 45, 55);
  calls("greedy", 50, 400);
  REQUIRE(valueOf("worst_account_ratio", record) == Approx(0.5));
}

TEST_CASE("the rate of an account limits its demand in the fair share")
{
  RunRecord record;
  record.rates["acme"] = { { 0, 1, 1 } };
  for (std::int64_t i = 0; i <= 9; ++i) { // 20 calls in 9 s, of which the rate allows 10.
    record.calls.push_back(makeCall("", i * 1000, i * 1000 + 1, CallResult::Served));
    record.calls.push_back(makeCall("", i * 1000, i * 1000 + 1, CallResult::Refused));
  }
  REQUIRE(valueOf("worst_account_ratio", record) == Approx(1));
}

TEST_CASE("counts and quantiles use the given loads, or all loads but the probes")
{
  RunRecord record;
  record.losses = { { 0, "kill node 2", "probe-1" } };
  for (int i = 1; i <= 100; ++i) {
    record.calls.push_back(makeCall("", 0, i, CallResult::Served));
  }
  record.calls.push_back(makeCall("", 0, 500, CallResult::Refused));
  record.calls.push_back(makeCall("", 0, 900, CallResult::Unknown));
  record.calls.push_back(makeCall("", 0, 950, CallResult::Served));
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

TEST_CASE("a quantile of few values is one of the values")
{
  REQUIRE(quantile({}, 0.5) == 0);
  REQUIRE(quantile({ 7 }, 0.99) == 7);
  REQUIRE(quantile({ 3, 1, 2 }, 0.5) == 2);
  REQUIRE(quantile({ 3, 1, 2 }, 1) == 3);
}

TEST_CASE("the events of several targets are sorted by time")
{
  std::vector<TargetEvent> events = { makeStart(5, 1, "k1", 1), makeStart(6, 1, "k1", 1),
                                      makeStart(4, 2, "k1", 1) };
  sortByTime(events);
  REQUIRE(events[0].target == 2);
  REQUIRE(events[2].timeUs == 6 * kMicrosPerMs);
}

TEST_CASE(
  "lost_ack_count: an accepted setting that is missing or different at the end is counted (R2)")
{
  RunRecord record;
  record.acceptedSettings = { { "rate acme", "20/s burst 10", "20/s burst 10" } };
  REQUIRE(valueOf("lost_ack_count", record) == 0);
  record.acceptedSettings.push_back({ "zone b", "out", "in" });
  record.acceptedSettings.push_back({ "service storefront", "there", std::nullopt });
  REQUIRE(valueOf("lost_ack_count", record) == 2);
}

TEST_CASE("config_everywhere_ms: the slowest propagation of a setting is returned (R12)")
{
  RunRecord record;
  record.configPropagations = { { "set rate a 1 burst 1", 100 * kMicrosPerMs,
                                  140 * kMicrosPerMs } };
  REQUIRE(valueOf("config_everywhere_ms", record) == 40);
  record.configPropagations.push_back({ "zone out b", 200 * kMicrosPerMs, 6200 * kMicrosPerMs });
  REQUIRE(valueOf("config_everywhere_ms", record) == 6000);
}

TEST_CASE("cut_count: calls without a complete response and without not-run are counted (R11)")
{
  RunRecord record;
  record.calls = { makeCall("c1", 0, 5, CallResult::Served),
                   makeCall("c2", 0, 5, CallResult::Refused) };
  REQUIRE(valueOf("cut_count", record) == 0);
  record.calls.push_back(makeCall("c3", 0, 5, CallResult::Unknown));
  record.calls.push_back(makeCall("c4", 0, 5, CallResult::Unreachable));
  record.calls.push_back(makeCall("c5", 0, 5, CallResult::Other));
  REQUIRE(valueOf("cut_count", record) == 3);
}

TEST_CASE("imbalance: a target above the mean load raises it, and so does an idle target (R18)")
{
  RunRecord record;
  record.serviceOfTarget = { { 1, "storefront" }, { 2, "storefront" }, { 3, "artroom" } };
  record.calls = { makeCall("c1", 1, 5, CallResult::Served),
                   makeCall("c2", 2, 5, CallResult::Served) };
  record.events = { makeStart(1, 1, "k1", 1), makeStart(2, 2, "k2", 2) };
  REQUIRE(valueOf("imbalance", record, { "shoppers" }) == 1);
  record.events[1].target = 1;
  REQUIRE(valueOf("imbalance", record, { "shoppers" }) == 2);
}

} // namespace camphorcleat::harness
