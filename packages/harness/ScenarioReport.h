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

struct Verdict
{
  unsigned line = 0;
  std::string text;            ///< The expectation as written.
  std::optional<double> value; ///< Absent if there was no evidence.
  std::string detail;
  bool passed = false;

  static constexpr auto fields()
  {
    return std::make_tuple(field("line", &Verdict::line), field("text", &Verdict::text),
                           field("value", &Verdict::value), field("detail", &Verdict::detail),
                           field("passed", &Verdict::passed));
  }
};

/// Not thread-safe.
class ScenarioReport
{
public:
  ScenarioReport();

  /// Adds a line to the timeline and prints it.
  void note(const std::string& aText);

  /// Adds the verdict of an expectation and prints it.
  void add(Verdict aVerdict);

  /// Records that the scenario could not go on and prints why.
  void fail(const std::string& aReason);

  /// Whether all expectations passed and nothing failed.
  bool passed() const;

  /// Prints the verdict with the seed and the command that repeats the run.
  void printSummary(std::uint64_t aSeed, const std::string& aRepeatCommand) const;

  std::string json(const std::string& aFile, std::uint64_t aSeed) const;

private:
  std::int64_t mStartUs;
  std::vector<TimelineEntry> mTimeline;
  std::vector<Verdict> mVerdicts;
  std::vector<std::string> mFailures;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_SCENARIOREPORT_H_
