// Counts of violations of what must hold at every moment (R1 to R9).

#include <cmath>
#include <set>

#include "harness/Measures.h"
#include "harness/UrlQuery.h"

namespace camphorcleat::harness {

namespace {

constexpr std::int64_t kSettingMaxUs = 5'000'000; // R12: a setting is in effect after 5 s.

// Counts violations and keeps the first one as the detail.
class Violations
{
public:
  void add(const std::string& aDetail, double aCount = 1)
  {
    if (mFigure.value == 0.0) {
      mFigure.detail = "first: " + aDetail;
    }
    *mFigure.value += aCount;
  }
  // The figure, or no value if nothing was there that could have been wrong.
  Figure figure(std::size_t aExamined, const char* aExaminedName) const
  {
    if (aExamined == 0) {
      return { std::nullopt, std::string("no ") + aExaminedName };
    }
    Figure out = mFigure;
    if (out.detail.empty()) {
      out.detail = std::to_string(aExamined) + " " + aExaminedName;
    }
    return out;
  }

private:
  Figure mFigure{ 0.0, "" };
};

std::string callerId(const TargetEvent& aEvent)
{
  return UrlQuery(aEvent.path).text("id").value_or("");
}

std::string place(const TargetEvent& aEvent)
{
  return "key " + aEvent.service + "/" + aEvent.key + " at target " +
         std::to_string(aEvent.target) + " t_us " + std::to_string(aEvent.timeUs);
}

std::vector<const TargetEvent*> starts(const Evidence& aEvidence)
{
  std::vector<const TargetEvent*> out;
  for (const auto& it : aEvidence.events) {
    if (it.kind == TargetEventKind::Start) {
      out.push_back(&it);
    }
  }
  return out;
}

// The rate in force at a moment; for the time that a change may take, the larger of both.
RateSetting rateAt(const std::vector<RateSetting>& aSettings, std::int64_t aTimeUs)
{
  RateSetting out = aSettings.front();
  for (std::size_t i = 0; i < aSettings.size() && aSettings[i].sinceUs <= aTimeUs; ++i) {
    const bool mayBeOld = aTimeUs - aSettings[i].sinceUs <= kSettingMaxUs;
    out.ratePerSecond = mayBeOld ? std::max(out.ratePerSecond, aSettings[i].ratePerSecond)
                                 : aSettings[i].ratePerSecond;
    out.burst = mayBeOld ? std::max(out.burst, aSettings[i].burst) : aSettings[i].burst;
  }
  return out;
}

// The largest number of starts beyond rate x time + burst over all pairs of starts. The level
// drains at the rate and never below zero, so after each start it is the maximum over all earlier
// starts of "starts since then minus rate x time".
double overRate(const std::vector<std::int64_t>& aStartsUs,
                const std::vector<RateSetting>& aSettings)
{
  constexpr double kRounding = 1e-6;
  double level = 0;
  double worst = 0;
  for (std::size_t i = 0; i < aStartsUs.size(); ++i) {
    const RateSetting rate = rateAt(aSettings, aStartsUs[i]);
    if (i > 0) {
      const RateSetting before = rateAt(aSettings, aStartsUs[i - 1]);
      const double seconds = static_cast<double>(aStartsUs[i] - aStartsUs[i - 1]) / 1e6;
      level -= seconds * std::max(rate.ratePerSecond, before.ratePerSecond);
    }
    level = std::max(level, 0.0) + 1;
    worst = std::max(worst, level - rate.burst);
  }
  return std::ceil(worst - kRounding);
}

// Starts beyond the first of each identity.
double repeats(const std::map<std::string, std::vector<const TargetEvent*>>& aByIdentity,
               Violations& aOut)
{
  double count = 0;
  for (const auto& [identity, events] : aByIdentity) {
    if (events.size() > 1) {
      count += static_cast<double>(events.size() - 1);
      aOut.add(identity + " started " + std::to_string(events.size()) + " times, again for " +
                 place(*events[1]),
               static_cast<double>(events.size() - 1));
    }
  }
  return count;
}

} // namespace

Figure doubleOwnerCount(const Evidence& aEvidence)
{
  struct Latest
  {
    FencingToken fence = 0;
    NodeId target = kNoNode;
  };
  std::map<std::pair<std::string, std::string>, Latest> latest;
  Violations out;
  std::size_t examined = 0;
  for (const TargetEvent* it : starts(aEvidence)) {
    if (it->key.empty()) {
      continue; // Unkeyed work has no owner.
    }
    ++examined;
    if (!it->fence) {
      out.add("no fence for " + place(*it));
      continue;
    }
    Latest& last = latest[{ it->service, it->key }];
    const bool isLower = *it->fence < last.fence;
    const bool isShared =
      *it->fence == last.fence && last.target != kNoNode && it->target != last.target;
    if (isLower || isShared) {
      out.add("fence " + std::to_string(*it->fence) + " after " + std::to_string(last.fence) +
              " of target " + std::to_string(last.target) + " for " + place(*it));
      continue;
    }
    last = { *it->fence, it->target };
  }
  return out.figure(examined, "starts of keys");
}

Figure overlapRunCount(const Evidence& aEvidence)
{
  // Running work by key and target. A cold event of a restart ends all work of its target, but the
  // target has recorded each cancel before.
  std::map<std::pair<std::string, std::string>, std::map<NodeId, int>> running;
  Violations out;
  std::size_t examined = 0;
  for (const auto& it : aEvidence.events) {
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
        out.add(place(it));
      }
      ++byTarget[it.target];
    }
  }
  return out.figure(examined, "starts of keys");
}

Figure duplicateRunCount(const Evidence& aEvidence)
{
  // The same repeat shows under several identities, so the largest of the three counts is the
  // figure.
  std::map<std::string, std::vector<const TargetEvent*>> byCaller;
  std::map<std::string, std::vector<const TargetEvent*>> byIdempotencyKey;
  std::map<std::string, std::vector<const TargetEvent*>> byRequest;
  std::size_t examined = 0;
  for (const TargetEvent* it : starts(aEvidence)) {
    if (it->method != "POST" && it->method != "PATCH") {
      continue;
    }
    ++examined;
    if (const std::string id = callerId(*it); !id.empty()) {
      byCaller["call " + id].push_back(it);
    }
    if (it->idempotencyKey) {
      byIdempotencyKey["idempotency key " + it->account + "/" + *it->idempotencyKey].push_back(it);
    }
    if (!it->request.empty()) {
      byRequest["request " + it->request].push_back(it);
    }
  }
  Violations worst;
  double worstCount = 0;
  for (const auto* it : { &byCaller, &byIdempotencyKey, &byRequest }) {
    Violations found;
    const double n = repeats(*it, found);
    if (n > worstCount) {
      worstCount = n;
      worst = found;
    }
  }
  return worst.figure(examined, "non-idempotent starts");
}

Figure falseNotRunCount(const Evidence& aEvidence)
{
  std::set<std::string> started;
  for (const TargetEvent* it : starts(aEvidence)) {
    started.insert(callerId(*it));
  }
  Violations out;
  for (const auto& it : aEvidence.calls) {
    if (it.outcome == "not-run" && started.count(it.id) > 0) {
      out.add("call " + it.id + " (" + std::to_string(it.status) + " " + it.code + ")");
    }
  }
  return out.figure(aEvidence.calls.size(), "calls");
}

Figure wrongAnswerCount(const Evidence& aEvidence)
{
  Violations out;
  for (const auto& it : aEvidence.calls) {
    if (it.result == CallResult::Mismatched) {
      out.add("call " + it.id + ": " + it.error.value_or(""));
    }
  }
  return out.figure(aEvidence.calls.size(), "calls");
}

Figure overRateCount(const Evidence& aEvidence)
{
  std::map<std::string, std::vector<std::int64_t>> byAccount;
  for (const TargetEvent* it : starts(aEvidence)) {
    byAccount[it->account].push_back(it->timeUs);
  }
  Violations out;
  std::size_t examined = 0;
  for (const auto& [account, startsUs] : byAccount) {
    const auto settings = aEvidence.rates.find(account);
    if (settings == aEvidence.rates.end() || settings->second.empty()) {
      continue;
    }
    examined += startsUs.size();
    const double beyond = overRate(startsUs, settings->second);
    if (beyond > 0) {
      out.add("account " + account, beyond);
    }
  }
  return out.figure(examined, "starts of accounts with a rate");
}

Figure excessCount(const Evidence& aEvidence)
{
  Violations out;
  for (const auto& it : aEvidence.events) {
    if (it.kind == TargetEventKind::Excess) {
      out.add(std::to_string(it.inFlight) + " in flight at a limit of " + std::to_string(it.limit) +
              ", " + place(it));
    }
  }
  return out.figure(starts(aEvidence).size(), "starts");
}

Figure lostAckCount(const Evidence& aEvidence)
{
  Violations out;
  for (const auto& it : aEvidence.acknowledged) {
    if (it.found != it.expected) {
      out.add(it.object + ": accepted " + it.expected + ", found " + it.found.value_or("nothing"));
    }
  }
  return out.figure(aEvidence.acknowledged.size(), "accepted settings");
}

Figure secretSeenCount(const Evidence& aEvidence)
{
  Violations out;
  for (const auto& it : aEvidence.events) {
    if (it.secretSeen.value_or(false)) {
      out.add("a header or path of " + place(it));
    }
  }
  if (aEvidence.secretsInFiles > 0) {
    out.add("a log or data file", static_cast<double>(aEvidence.secretsInFiles));
  }
  return out.figure(starts(aEvidence).size(), "starts");
}

} // namespace camphorcleat::harness
