// Counts and latency quantiles of call records.

#ifndef CAMPHORCLEAT_HARNESS_LOADSUMMARY_H_
#define CAMPHORCLEAT_HARNESS_LOADSUMMARY_H_

#include <map>
#include <string>
#include <vector>

#include "harness/CallRecord.h"

namespace camphorcleat::harness {

/// The smallest value that at least the given share of the values doesn't exceed; 0 without
/// values. aShare in 0..1. Thread-safe.
double quantile(std::vector<double> aValues, double aShare);

/// Figures of one group of calls.
struct CallFigures
{
  std::uint64_t calls = 0;
  std::map<std::string, std::uint64_t> byResult;
  std::map<std::string, std::uint64_t> byCode;
  double p50Ms = 0; ///< Of served calls, as are the next ones.
  double p90Ms = 0;
  double p99Ms = 0;
  double maxMs = 0;

  static constexpr auto fields()
  {
    return std::make_tuple(
      field("calls", &CallFigures::calls), field("by_result", &CallFigures::byResult),
      field("by_code", &CallFigures::byCode), field("p50_ms", &CallFigures::p50Ms),
      field("p90_ms", &CallFigures::p90Ms), field("p99_ms", &CallFigures::p99Ms),
      field("max_ms", &CallFigures::maxMs));
  }
};

struct LoadFigures
{
  CallFigures all;
  std::map<std::string, CallFigures> byAccount;
  std::map<std::string, CallFigures> byService;

  static constexpr auto fields()
  {
    return std::make_tuple(field("all", &LoadFigures::all),
                           field("by_account", &LoadFigures::byAccount),
                           field("by_service", &LoadFigures::byService));
  }
};

/// Collects calls. Memory grows with the number of calls, which the plan bounds. Not thread-safe.
class LoadSummary
{
public:
  void add(const CallRecord& aCall);
  LoadFigures figures() const;

private:
  struct Group
  {
    CallFigures counts;
    std::vector<double> latenciesMs;
    void add(const CallRecord& aCall);
    CallFigures figures() const;
  };
  Group mAll;
  std::map<std::string, Group> mByAccount;
  std::map<std::string, Group> mByService;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_LOADSUMMARY_H_
