// Reports the timeline and the expectation results of a scenario as text on standard output and as
// JSON.

#ifndef CAMPHORCLEAT_HARNESS_SCENARIOREPORT_H_
#define CAMPHORCLEAT_HARNESS_SCENARIOREPORT_H_

#include <optional>
#include <string>
#include <vector>

#include "base/Codec.h"

namespace camphorcleat::harness {

/// An event of the run.
struct TimelineEntry
{
  double atSeconds = 0; ///< Since the report was created.
  std::string text;

  static constexpr auto fields()
  {
    return std::make_tuple(field("at_s", &TimelineEntry::atSeconds),
                           field("text", &TimelineEntry::text));
  }
};

/// The outcome of an `expect` statement.
struct ExpectationResult
{
  unsigned line = 0;
  std::string text;            ///< The expectation as written.
  std::optional<double> value; ///< Absent if the run recorded no data for the measure.
  std::string detail;          ///< See MeasureResult::detail.
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

  /// Adds an entry to the timeline and prints it.
  void addTimelineEntry(const std::string& aText);

  /// Adds the result of an expectation to the report and the timeline, and prints it.
  void addExpectation(ExpectationResult aExpectation);

  /// Adds a failure other than a failed expectation, and prints it.
  void addFailure(const std::string& aReason);

  /// Returns whether all expectations passed and no failure was added.
  bool passed() const;

  /// Prints the overall result, the seed, and the command that repeats the run.
  void printSummary(std::uint64_t aSeed, const std::string& aRepeatCommand) const;

  /// Returns the report as JSON. aFile is the path of the scenario.
  std::string json(const std::string& aFile, std::uint64_t aSeed) const;

private:
  std::int64_t mStartUs;
  std::vector<TimelineEntry> mTimeline;
  std::vector<ExpectationResult> mExpectations;
  std::vector<std::string> mFailures;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_SCENARIOREPORT_H_
