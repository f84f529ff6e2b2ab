// Keeps all latencies to compute exact quantiles, because tests compare the tails of a few thousand
// calls.

#include "harness/LoadSummary.h"

#include <algorithm>
#include <cmath>

namespace camphorcleat::harness {

double quantile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  const double rank = std::ceil(aFraction * static_cast<double>(aValues.size()));
  const std::size_t n =
    std::min(aValues.size() - 1, static_cast<std::size_t>(std::max(0.0, rank - 1)));
  std::nth_element(aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(n),
                   aValues.end());
  return aValues[n];
}

void LoadSummary::Group::add(const CallRecord& aCall)
{
  ++counts.calls;
  ++counts.byResult[std::string(enumName(aCall.result))];
  if (!aCall.code.empty()) {
    ++counts.byCode[aCall.code];
  }
  if (aCall.result == CallResult::Served) {
    latenciesMs.push_back(static_cast<double>(aCall.latencyUs) / 1000);
  }
}

CallStatistics LoadSummary::Group::statistics() const
{
  CallStatistics out = counts;
  out.p50Ms = quantile(latenciesMs, 0.5);
  out.p90Ms = quantile(latenciesMs, 0.9);
  out.p99Ms = quantile(latenciesMs, 0.99);
  out.maxMs = quantile(latenciesMs, 1);
  return out;
}

void LoadSummary::add(const CallRecord& aCall)
{
  mAll.add(aCall);
  mByAccount[aCall.account].add(aCall);
  mByService[aCall.service].add(aCall);
}

LoadStatistics LoadSummary::statistics() const
{
  LoadStatistics out;
  out.all = mAll.statistics();
  for (const auto& [name, group] : mByAccount) {
    out.byAccount[name] = group.statistics();
  }
  for (const auto& [name, group] : mByService) {
    out.byService[name] = group.statistics();
  }
  return out;
}

} // namespace camphorcleat::harness
