// Timeline and verdicts of a scenario, for people on standard output and as JSON.

#ifndef CAMPHORCLEAT_HARNESS_SCENARIOREPORT_H_
#define CAMPHORCLEAT_HARNESS_SCENARIOREPORT_H_

#include <optional>
#include <string>
#include <vector>

#include "base/Codec.h"

namespace camphorcleat::harness {

struct TimelineEntry
{
  double atSeconds = 0; ///< Since the runner started.
  std::string text;

  static constexpr auto fields()
  {
    return std::make_tuple(field("at_s", &TimelineEntry::atSeconds),
                           field("text", &TimelineEntry::text));
  }
};

struct ExpectationResult
{
  unsigned line = 0;
  std::string text;            ///< The expectation as written.
  std::optional<double> value; ///< Absent if there was no evidence.
  std::string detail;
  bool passed = false;

  static constexpr auto fields()
  {
    return std::make_tuple(
      field("line", &ExpectationResult::line), field("text", &ExpectationResult::text),
      field("value", &ExpectationResult::value), field("detail", &ExpectationResult::detail),
      field("passed", &ExpectationResult::passed));
  }
};

/// Not thread-safe.
class ScenarioReport
{
public:
  ScenarioReport();

  /// Adds a line to the timeline and prints it.
  void addTimelineEntry(const std::string& aText);

  /// Adds the verdict of an expectation and prints it.
  void addExpectation(ExpectationResult aExpectation);

  /// Records that the scenario could not go on and prints why.
  void addFailure(const std::string& aReason);

  /// Whether all expectations passed and nothing failed.
  bool passed() const;

  /// Prints the verdict with the seed and the command that repeats the run.
  void printSummary(std::uint64_t aSeed, const std::string& aRepeatCommand) const;

  std::string json(const std::string& aFile, std::uint64_t aSeed) const;

private:
  std::int64_t mStartUs;
  std::vector<TimelineEntry> mTimeline;
  std::vector<ExpectationResult> mExpectations;
  std::vector<std::string> mFailures;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_SCENARIOREPORT_H_
