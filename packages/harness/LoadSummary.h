// Computes counts and latency quantiles from call records.

#ifndef CAMPHORCLEAT_HARNESS_LOADSUMMARY_H_
#define CAMPHORCLEAT_HARNESS_LOADSUMMARY_H_

#include <map>
#include <string>
#include <vector>

#include "harness/CallRecord.h"

namespace camphorcleat::harness {

/// Returns the smallest of the values that at least the given fraction of the values doesn't
/// exceed, or 0 if there are no values. aFraction must be between 0 and 1. Thread-safe.
double quantile(std::vector<double> aValues, double aFraction);

/// Statistics of one group of calls. The quantiles cover served calls only.
struct CallStatistics
{
  std::uint64_t calls = 0;
  std::map<std::string, std::uint64_t> byResult;
  std::map<std::string, std::uint64_t> byCode; ///< By CallRecord::code, unless empty.
  double p50Ms = 0;
  double p90Ms = 0;
  double p99Ms = 0;
  double maxMs = 0;

  static constexpr auto fields()
  {
    return std::make_tuple(
      field("calls", &CallStatistics::calls), field("by_result", &CallStatistics::byResult),
      field("by_code", &CallStatistics::byCode), field("p50_ms", &CallStatistics::p50Ms),
      field("p90_ms", &CallStatistics::p90Ms), field("p99_ms", &CallStatistics::p99Ms),
      field("max_ms", &CallStatistics::maxMs));
  }
};

struct LoadStatistics
{
  CallStatistics all;
  std::map<std::string, CallStatistics> byAccount;
  std::map<std::string, CallStatistics> byService;

  static constexpr auto fields()
  {
    return std::make_tuple(field("all", &LoadStatistics::all),
                           field("by_account", &LoadStatistics::byAccount),
                           field("by_service", &LoadStatistics::byService));
  }
};

/// Collects calls. Its memory grows with the number of calls, which the plan's rates and duration
/// limit. Not thread-safe.
class LoadSummary
{
public:
  void add(const CallRecord& aCall);
  LoadStatistics statistics() const;

private:
  struct Group
  {
    CallStatistics counts;
    std::vector<double> latenciesMs;
    void add(const CallRecord& aCall);
    CallStatistics statistics() const;
  };
  Group mAll;
  std::map<std::string, Group> mByAccount;
  std::map<std::string, Group> mByService;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_LOADSUMMARY_H_
