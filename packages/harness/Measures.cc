// The table of measures, and the measures that count calls or compute latency quantiles.

#include "harness/Measures.h"

#include <algorithm>
#include <set>

#include "harness/LoadSummary.h"

namespace camphorcleat::harness {

namespace {

using Arguments = std::vector<std::string>;

// Returns the calls of the given loads, or, without loads, of all loads but the probes.
std::vector<const CallRecord*> selectCalls(const RunRecord& aRecord, const Arguments& aLoads)
{
  std::set<std::string> probes;
  for (const auto& it : aRecord.losses) {
    probes.insert(it.probeLoad);
  }
  std::vector<const CallRecord*> out;
  for (const auto& it : aRecord.calls) {
    const bool isSelected = aLoads.empty() ? probes.count(it.load) == 0
                                           : std::count(aLoads.begin(), aLoads.end(), it.load) > 0;
    if (isSelected) {
      out.push_back(&it);
    }
  }
  return out;
}

MeasureResult countCalls(const RunRecord& aRecord, const Arguments& aLoads, CallResult aResult)
{
  const auto calls = selectCalls(aRecord, aLoads);
  if (calls.empty()) {
    return { std::nullopt, "no calls" };
  }
  const auto n = std::count_if(calls.begin(), calls.end(),
                               [&](const CallRecord* aCall) { return aCall->result == aResult; });
  return { static_cast<double>(n), "of " + std::to_string(calls.size()) + " calls" };
}

template<CallResult R>
MeasureResult countResult(const RunRecord& aRecord, const Arguments& aLoads)
{
  return countCalls(aRecord, aLoads, R);
}

// Counts calls that got neither a complete response nor a response that they did not run.
MeasureResult cutCount(const RunRecord& aRecord, const Arguments& aLoads)
{
  MeasureResult out = countCalls(aRecord, aLoads, CallResult::Unknown);
  for (const CallResult it :
       { CallResult::Other, CallResult::Unreachable, CallResult::Mismatched }) {
    if (out.value) {
      *out.value += *countCalls(aRecord, aLoads, it).value;
    }
  }
  return out;
}

MeasureResult refusedShare(const RunRecord& aRecord, const Arguments& aLoads)
{
  MeasureResult out = countCalls(aRecord, aLoads, CallResult::Refused);
  if (out.value) {
    *out.value /= static_cast<double>(selectCalls(aRecord, aLoads).size());
  }
  return out;
}

MeasureResult latencyQuantileMs(const RunRecord& aRecord, const Arguments& aLoads, double aFraction)
{
  std::vector<double> latenciesMs;
  for (const CallRecord* it : selectCalls(aRecord, aLoads)) {
    if (it->result == CallResult::Served) {
      latenciesMs.push_back(static_cast<double>(it->latencyUs) / 1000);
    }
  }
  if (latenciesMs.empty()) {
    return { std::nullopt, "no served calls" };
  }
  return { quantile(latenciesMs, aFraction),
           "of " + std::to_string(latenciesMs.size()) + " served calls" };
}

MeasureResult p50Ms(const RunRecord& aRecord, const Arguments& aLoads)
{
  return latencyQuantileMs(aRecord, aLoads, 0.5);
}

MeasureResult p99Ms(const RunRecord& aRecord, const Arguments& aLoads)
{
  return latencyQuantileMs(aRecord, aLoads, 0.99);
}

// Returns the 99th percentile latency of the first load divided by that of the second.
MeasureResult p99Ratio(const RunRecord& aRecord, const Arguments& aLoads)
{
  if (aLoads.size() != 2) {
    return { std::nullopt, "needs two loads" };
  }
  const MeasureResult first = p99Ms(aRecord, { aLoads[0] });
  const MeasureResult second = p99Ms(aRecord, { aLoads[1] });
  if (!first.value || !second.value || *second.value <= 0) {
    return { std::nullopt, "a load has no served calls" };
  }
  return { *first.value / *second.value,
           std::to_string(*first.value) + " ms over " + std::to_string(*second.value) + " ms" };
}

template<MeasureResult (*F)(const RunRecord&)>
MeasureResult ignoreArguments(const RunRecord& aRecord, const Arguments&)
{
  return F(aRecord);
}

template<MeasureResult (*F)(const RunRecord&, const std::string&)>
MeasureResult passFirstArgument(const RunRecord& aRecord, const Arguments& aArguments)
{
  return F(aRecord, aArguments.empty() ? "" : aArguments.front());
}

} // namespace

const std::vector<Measure>& allMeasures()
{
  using Unit = MeasureUnit;
  using Result = CallResult;
  static const std::vector<Measure> sMeasures = {
    { "config_everywhere_ms", Unit::Millis, "", ignoreArguments<configEverywhereMs> },
    { "cut_count", Unit::Count, "[LOAD...]", cutCount },
    { "double_owner_count", Unit::Count, "", ignoreArguments<doubleOwnerCount> },
    { "duplicate_run_count", Unit::Count, "", ignoreArguments<duplicateRunCount> },
    { "excess_count", Unit::Count, "", ignoreArguments<excessCount> },
    { "false_not_run_count", Unit::Count, "", ignoreArguments<falseNotRunCount> },
    { "imbalance", Unit::Ratio, "[LOAD...]", imbalance },
    { "lost_ack_count", Unit::Count, "", ignoreArguments<lostAckCount> },
    { "other", Unit::Count, "[LOAD...]", countResult<Result::Other> },
    { "over_rate_count", Unit::Count, "", ignoreArguments<overRateCount> },
    { "overlap_run_count", Unit::Count, "", ignoreArguments<overlapRunCount> },
    { "p50_ms", Unit::Millis, "[LOAD...]", p50Ms },
    { "p99_ms", Unit::Millis, "[LOAD...]", p99Ms },
    { "p99_ratio", Unit::Ratio, "LOAD LOAD", p99Ratio },
    { "refused", Unit::Count, "[LOAD...]", countResult<Result::Refused> },
    { "refused_share", Unit::Ratio, "[LOAD...]", refusedShare },
    { "secret_seen_count", Unit::Count, "", ignoreArguments<secretSeenCount> },
    { "served", Unit::Count, "[LOAD...]", countResult<Result::Served> },
    { "unavailable_after_loss_ms", Unit::Millis, "", ignoreArguments<unavailableAfterLossMs> },
    { "unknown", Unit::Count, "[LOAD...]", countResult<Result::Unknown> },
    { "unreachable", Unit::Count, "[LOAD...]", countResult<Result::Unreachable> },
    { "withdrawn_key_ms", Unit::Millis, "[ACCOUNT]", passFirstArgument<withdrawnKeyMs> },
    { "worst_account_ratio", Unit::Ratio, "[LOAD...]", worstAccountRatio },
    { "wrong_answer_count", Unit::Count, "", ignoreArguments<wrongResponseCount> },
    { "zone_new_work_ms", Unit::Millis, "[ZONE]", passFirstArgument<zoneNewWorkMs> },
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
