// Counts violations of the safety requirements, which hold at any time (R1 to R9).

#include <cmath>
#include <set>

#include "harness/Measures.h"
#include "harness/UrlQuery.h"

namespace camphorcleat::harness {

namespace {

// R12 allows 5 s until a setting is in effect.
constexpr std::int64_t kSettingDelayMaxUs = 5'000'000;

// Counts violations and keeps the description of the first one.
class ViolationCounter
{
public:
  void add(const std::string& aDetail, double aCount = 1)
  {
    if (mResult.value == 0.0) {
      mResult.detail = "first: " + aDetail;
    }
    *mResult.value += aCount;
  }
  // Returns the count, or no value if nothing was examined.
  MeasureResult result(std::size_t aExamined, const char* aExaminedName) const
  {
    if (aExamined == 0) {
      return { std::nullopt, std::string("no ") + aExaminedName };
    }
    MeasureResult out = mResult;
    if (out.detail.empty()) {
      out.detail = std::to_string(aExamined) + " " + aExaminedName;
    }
    return out;
  }

private:
  MeasureResult mResult{ 0.0, "" };
};

// Returns the CallRecord::id of the call, which the load driver sends in the query.
std::string callIdOf(const TargetEvent& aEvent)
{
  return UrlQuery(aEvent.path).text("id").value_or("");
}

std::string describeEvent(const TargetEvent& aEvent)
{
  return "key " + aEvent.service + "/" + aEvent.key + " at target " +
         std::to_string(aEvent.target) + " t_us " + std::to_string(aEvent.timeUs);
}

std::vector<const TargetEvent*> startEvents(const RunRecord& aRecord)
{
  std::vector<const TargetEvent*> out;
  for (const auto& it : aRecord.events) {
    if (it.kind == TargetEventKind::Start) {
      out.push_back(&it);
    }
  }
  return out;
}

// Returns the rate limit in force at a time. For kSettingDelayMaxUs after a change it is the larger
// of the old and the new one, because nodes may still apply the old one.
RateSetting rateLimitAt(const std::vector<RateSetting>& aSettings, std::int64_t aTimeUs)
{
  RateSetting out = aSettings.front();
  for (std::size_t i = 0; i < aSettings.size() && aSettings[i].sinceUs <= aTimeUs; ++i) {
    const bool previousMayApply = aTimeUs - aSettings[i].sinceUs <= kSettingDelayMaxUs;
    out.ratePerSecond = previousMayApply ? std::max(out.ratePerSecond, aSettings[i].ratePerSecond)
                                         : aSettings[i].ratePerSecond;
    out.burst = previousMayApply ? std::max(out.burst, aSettings[i].burst) : aSettings[i].burst;
  }
  return out;
}

// Returns the largest number of starts beyond rate x time + burst over all intervals between two
// starts. This is a leaky bucket: the level falls at the rate, but not below zero, and rises by one
// with each start, so it is the maximum over all earlier starts of the number of starts since then
// minus rate x time.
double startsBeyondRate(const std::vector<std::int64_t>& aStartsUs,
                        const std::vector<RateSetting>& aSettings)
{
  constexpr double kRoundingTolerance = 1e-6;
  double level = 0;
  double worst = 0;
  for (std::size_t i = 0; i < aStartsUs.size(); ++i) {
    const RateSetting rate = rateLimitAt(aSettings, aStartsUs[i]);
    if (i > 0) {
      const RateSetting before = rateLimitAt(aSettings, aStartsUs[i - 1]);
      const double seconds = static_cast<double>(aStartsUs[i] - aStartsUs[i - 1]) / 1e6;
      level -= seconds * std::max(rate.ratePerSecond, before.ratePerSecond);
    }
    level = std::max(level, 0.0) + 1;
    worst = std::max(worst, level - rate.burst);
  }
  return std::ceil(worst - kRoundingTolerance);
}

// Counts the starts beyond the first of each request. aByIdentity has the starts by the call id,
// idempotency key or request id that identifies the request.
double countRepeats(const std::map<std::string, std::vector<const TargetEvent*>>& aByIdentity,
                    ViolationCounter& aOut)
{
  double count = 0;
  for (const auto& [identity, events] : aByIdentity) {
    if (events.size() > 1) {
      count += static_cast<double>(events.size() - 1);
      aOut.add(identity + " started " + std::to_string(events.size()) + " times, again for " +
                 describeEvent(*events[1]),
               static_cast<double>(events.size() - 1));
    }
  }
  return count;
}

} // namespace

MeasureResult doubleOwnerCount(const RunRecord& aRecord)
{
  struct Latest
  {
    FencingToken fence = 0;
    NodeId target = kNoNode;
  };
  std::map<std::pair<std::string, std::string>, Latest> latest;
  ViolationCounter out;
  std::size_t examined = 0;
  for (const TargetEvent* it : startEvents(aRecord)) {
    if (it->key.empty()) {
      continue; // Requests of unkeyed services have no owner.
    }
    ++examined;
    if (!it->fence) {
      out.add("no fence for " + describeEvent(*it));
      continue;
    }
    Latest& last = latest[{ it->service, it->key }];
    const bool isLower = *it->fence < last.fence;
    const bool isShared =
      *it->fence == last.fence && last.target != kNoNode && it->target != last.target;
    if (isLower || isShared) {
      out.add("fence " + std::to_string(*it->fence) + " after " + std::to_string(last.fence) +
              " of target " + std::to_string(last.target) + " for " + describeEvent(*it));
      continue;
    }
    last = { *it->fence, it->target };
  }
  return out.result(examined, "starts of keys");
}

MeasureResult overlapRunCount(const RunRecord& aRecord)
{
  // Number of running requests by key and target. Cold events need no handling: a target that
  // restarts records a cancel event for each running request first.
  std::map<std::pair<std::string, std::string>, std::map<NodeId, int>> running;
  ViolationCounter out;
  std::size_t examined = 0;
  for (const auto& it : aRecord.events) {
    if (it.key.empty()) {
      continue;
    }
    auto& byTarget = running[{ it.service, it.key }];
    if (it.kind == TargetEventKind::End || it.kind == TargetEventKind::Cancel) {
      if (--byTarget[it.target] <= 0) {
        byTarget.erase(it.target);
      }
    } else if (it.kind == TargetEventKind::Start) {
      ++examined;
      if (byTarget.size() > byTarget.count(it.target)) {
        out.add(describeEvent(it));
      }
      ++byTarget[it.target];
    }
  }
  return out.result(examined, "starts of keys");
}

MeasureResult duplicateRunCount(const RunRecord& aRecord)
{
  // A repeated start can count under several identities, so the three counts are not added: the
  // largest one is the value.
  std::map<std::string, std::vector<const TargetEvent*>> byCall;
  std::map<std::string, std::vector<const TargetEvent*>> byIdempotencyKey;
  std::map<std::string, std::vector<const TargetEvent*>> byRequest;
  std::size_t examined = 0;
  for (const TargetEvent* it : startEvents(aRecord)) {
    if (it->method != "POST" && it->method != "PATCH") {
      continue;
    }
    ++examined;
    if (const std::string id = callIdOf(*it); !id.empty()) {
      byCall["call " + id].push_back(it);
    }
    if (it->idempotencyKey) {
      byIdempotencyKey["idempotency key " + it->account + "/" + *it->idempotencyKey].push_back(it);
    }
    if (!it->request.empty()) {
      byRequest["request " + it->request].push_back(it);
    }
  }
  ViolationCounter worst;
  double worstCount = 0;
  for (const auto* it : { &byCall, &byIdempotencyKey, &byRequest }) {
    ViolationCounter found;
    const double n = countRepeats(*it, found);
    if (n > worstCount) {
      worstCount = n;
      worst = found;
    }
  }
  return worst.result(examined, "non-idempotent starts");
}

MeasureResult falseNotRunCount(const RunRecord& aRecord)
{
  std::set<std::string> started;
  for (const TargetEvent* it : startEvents(aRecord)) {
    started.insert(callIdOf(*it));
  }
  ViolationCounter out;
  for (const auto& it : aRecord.calls) {
    if (it.outcome == "not-run" && started.count(it.id) > 0) {
      out.add("call " + it.id + " (" + std::to_string(it.status) + " " + it.code + ")");
    }
  }
  return out.result(aRecord.calls.size(), "calls");
}

MeasureResult wrongResponseCount(const RunRecord& aRecord)
{
  ViolationCounter out;
  for (const auto& it : aRecord.calls) {
    if (it.result == CallResult::Mismatched) {
      out.add("call " + it.id + ": " + it.error.value_or(""));
    }
  }
  return out.result(aRecord.calls.size(), "calls");
}

MeasureResult overRateCount(const RunRecord& aRecord)
{
  std::map<std::string, std::vector<std::int64_t>> byAccount;
  for (const TargetEvent* it : startEvents(aRecord)) {
    byAccount[it->account].push_back(it->timeUs);
  }
  ViolationCounter out;
  std::size_t examined = 0;
  for (const auto& [account, startsUs] : byAccount) {
    const auto settings = aRecord.rates.find(account);
    if (settings == aRecord.rates.end() || settings->second.empty()) {
      continue;
    }
    examined += startsUs.size();
    const double beyond = startsBeyondRate(startsUs, settings->second);
    if (beyond > 0) {
      out.add("account " + account, beyond);
    }
  }
  return out.result(examined, "starts of accounts with a rate");
}

MeasureResult excessCount(const RunRecord& aRecord)
{
  ViolationCounter out;
  for (const auto& it : aRecord.events) {
    if (it.kind == TargetEventKind::Excess) {
      out.add(std::to_string(it.inFlight) + " in flight at a limit of " + std::to_string(it.limit) +
              ", " + describeEvent(it));
    }
  }
  return out.result(startEvents(aRecord).size(), "starts");
}

MeasureResult lostAckCount(const RunRecord& aRecord)
{
  ViolationCounter out;
  for (const auto& it : aRecord.acceptedSettings) {
    if (it.found != it.expected) {
      out.add(it.object + ": accepted " + it.expected + ", found " + it.found.value_or("nothing"));
    }
  }
  return out.result(aRecord.acceptedSettings.size(), "accepted settings");
}

MeasureResult secretSeenCount(const RunRecord& aRecord)
{
  ViolationCounter out;
  for (const auto& it : aRecord.events) {
    if (it.secretSeen.value_or(false)) {
      out.add("a header or path of " + describeEvent(it));
    }
  }
  if (aRecord.secretOccurrences > 0) {
    out.add("a log, a data file or a failure message",
            static_cast<double>(aRecord.secretOccurrences));
  }
  return out.result(startEvents(aRecord).size(), "starts");
}

} // namespace camphorcleat::harness
