// The table of measures and the simple counts over calls.

#include "harness/Measures.h"

#include <algorithm>
#include <set>

#include "harness/LoadSummary.h"

namespace camphorcleat::harness {

namespace {

using Arguments = std::vector<std::string>;

// The calls of the loads named, or of all loads but probes.
std::vector<const CallRecord*> callsOf(const Evidence& aEvidence, const Arguments& aLoads)
{
  std::set<std::string> probes;
  for (const auto& it : aEvidence.losses) {
    probes.insert(it.probeLoad);
  }
  std::vector<const CallRecord*> out;
  for (const auto& it : aEvidence.calls) {
    const bool isWanted = aLoads.empty() ? probes.count(it.load) == 0
                                         : std::count(aLoads.begin(), aLoads.end(), it.load) > 0;
    if (isWanted) {
      out.push_back(&it);
    }
  }
  return out;
}

Figure countOf(const Evidence& aEvidence, const Arguments& aLoads, CallResult aResult)
{
  const auto calls = callsOf(aEvidence, aLoads);
  if (calls.empty()) {
    return { std::nullopt, "no calls" };
  }
  const auto n = std::count_if(calls.begin(), calls.end(),
                               [&](const CallRecord* aCall) { return aCall->result == aResult; });
  return { static_cast<double>(n), "of " + std::to_string(calls.size()) + " calls" };
}

template<CallResult R>
Figure count(const Evidence& aEvidence, const Arguments& aLoads)
{
  return countOf(aEvidence, aLoads, R);
}

// Calls that were cut off: no whole answer, and no statement that they did not run.
Figure cutCount(const Evidence& aEvidence, const Arguments& aLoads)
{
  Figure out = countOf(aEvidence, aLoads, CallResult::Unknown);
  for (const CallResult it : { CallResult::Other, CallResult::Unreachable, CallResult::Mismatched }) {
    if (out.value) {
      *out.value += *countOf(aEvidence, aLoads, it).value;
    }
  }
  return out;
}

Figure refusedShare(const Evidence& aEvidence, const Arguments& aLoads)
{
  Figure out = countOf(aEvidence, aLoads, CallResult::Refused);
  if (out.value) {
    *out.value /= static_cast<double>(callsOf(aEvidence, aLoads).size());
  }
  return out;
}

Figure latencyMs(const Evidence& aEvidence, const Arguments& aLoads, double aShare)
{
  std::vector<double> served;
  for (const CallRecord* it : callsOf(aEvidence, aLoads)) {
    if (it->result == CallResult::Served) {
      served.push_back(static_cast<double>(it->latencyUs) / 1000);
    }
  }
  if (served.empty()) {
    return { std::nullopt, "no served calls" };
  }
  return { quantile(served, aShare), "of " + std::to_string(served.size()) + " served calls" };
}

Figure p50(const Evidence& aEvidence, const Arguments& aLoads)
{
  return latencyMs(aEvidence, aLoads, 0.5);
}

Figure p99(const Evidence& aEvidence, const Arguments& aLoads)
{
  return latencyMs(aEvidence, aLoads, 0.99);
}

// The p99 of the first load divided by the p99 of the second.
Figure p99Ratio(const Evidence& aEvidence, const Arguments& aLoads)
{
  if (aLoads.size() != 2) {
    return { std::nullopt, "needs two loads" };
  }
  const Figure first = p99(aEvidence, { aLoads[0] });
  const Figure second = p99(aEvidence, { aLoads[1] });
  if (!first.value || !second.value || *second.value <= 0) {
    return { std::nullopt, "a load has no served calls" };
  }
  return { *first.value / *second.value,
           std::to_string(*first.value) + " ms over " + std::to_string(*second.value) + " ms" };
}

template<Figure (*F)(const Evidence&)>
Figure withoutArguments(const Evidence& aEvidence, const Arguments&)
{
  return F(aEvidence);
}

template<Figure (*F)(const Evidence&, const std::string&)>
Figure withName(const Evidence& aEvidence, const Arguments& aArguments)
{
  return F(aEvidence, aArguments.empty() ? "" : aArguments.front());
}

} // namespace

const std::vector<Measure>& allMeasures()
{
  using Unit = MeasureUnit;
  using Result = CallResult;
  static const std::vector<Measure> sMeasures = {
    { "config_everywhere_ms", Unit::Millis, "", withoutArguments<configEverywhereMs> },
    { "cut_count", Unit::Count, "[LOAD...]", cutCount },
    { "double_owner_count", Unit::Count, "", withoutArguments<doubleOwnerCount> },
    { "duplicate_run_count", Unit::Count, "", withoutArguments<duplicateRunCount> },
    { "excess_count", Unit::Count, "", withoutArguments<excessCount> },
    { "false_not_run_count", Unit::Count, "", withoutArguments<falseNotRunCount> },
    { "imbalance", Unit::Ratio, "[LOAD...]", imbalance },
    { "lost_ack_count", Unit::Count, "", withoutArguments<lostAckCount> },
    { "other", Unit::Count, "[LOAD...]", count<Result::Other> },
    { "over_rate_count", Unit::Count, "", withoutArguments<overRateCount> },
    { "overlap_run_count", Unit::Count, "", withoutArguments<overlapRunCount> },
    { "p50_ms", Unit::Millis, "[LOAD...]", p50 },
    { "p99_ms", Unit::Millis, "[LOAD...]", p99 },
    { "p99_ratio", Unit::Ratio, "LOAD LOAD", p99Ratio },
    { "refused", Unit::Count, "[LOAD...]", count<Result::Refused> },
    { "refused_share", Unit::Ratio, "[LOAD...]", refusedShare },
    { "secret_seen_count", Unit::Count, "", withoutArguments<secretSeenCount> },
    { "served", Unit::Count, "[LOAD...]", count<Result::Served> },
    { "unavailable_after_loss_ms", Unit::Millis, "", withoutArguments<unavailableAfterLossMs> },
    { "unknown", Unit::Count, "[LOAD...]", count<Result::Unknown> },
    { "unreachable", Unit::Count, "[LOAD...]", count<Result::Unreachable> },
    { "withdrawn_key_ms", Unit::Millis, "[ACCOUNT]", withName<withdrawnKeyMs> },
    { "worst_account_ratio", Unit::Ratio, "[LOAD...]", worstAccountRatio },
    { "wrong_answer_count", Unit::Count, "", withoutArguments<wrongAnswerCount> },
    { "zone_new_work_ms", Unit::Millis, "[ZONE]", withName<zoneNewWorkMs> },
  };
  return sMeasures;
}

const Measure* findMeasure(const std::string& aName)
{
  const auto& measures = allMeasures();
  const auto it = std::find_if(measures.begin(), measures.end(),
                               [&](const Measure& aMeasure) { return aName == aMeasure.name; });
  return it == measures.end() ? nullptr : &*it;
}

} // namespace camphorcleat::harness
