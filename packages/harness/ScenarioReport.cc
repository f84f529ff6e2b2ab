// Printing of timelines and expectation results.

#include "harness/ScenarioReport.h"

#include <algorithm>
#include <cstdio>

#include "harness/JsonLines.h"

namespace camphorcleat::harness {

namespace {

struct ReportDocument
{
  std::string scenario;
  std::uint64_t seed = 0;
  bool passed = false;
  std::vector<std::string> failures;
  std::vector<ExpectationResult> expectations;
  std::vector<TimelineEntry> timeline;

  static constexpr auto fields()
  {
    return std::make_tuple(
      field("scenario", &ReportDocument::scenario), field("seed", &ReportDocument::seed),
      field("passed", &ReportDocument::passed), field("failures", &ReportDocument::failures),
      field("expectations", &ReportDocument::expectations),
      field("timeline", &ReportDocument::timeline));
  }
};

} // namespace

ScenarioReport::ScenarioReport()
  : mStartUs(monotonicMicros())
{
}

void ScenarioReport::addTimelineEntry(const std::string& aText)
{
  const double seconds = static_cast<double>(monotonicMicros() - mStartUs) / 1e6;
  mTimeline.push_back({ seconds, aText });
  std::printf("%8.3f s  %s\n", seconds, aText.c_str());
  std::fflush(stdout);
}

void ScenarioReport::addExpectation(ExpectationResult aExpectation)
{
  char value[64] = "no data";
  if (aExpectation.value) {
    std::snprintf(value, sizeof(value), "%.6g", *aExpectation.value);
  }
  addTimelineEntry(std::string(aExpectation.passed ? "pass" : "FAIL") + "  " + aExpectation.text +
                   "  [measured " + value +
                   (aExpectation.detail.empty() ? "" : "; " + aExpectation.detail) + "]");
  mExpectations.push_back(std::move(aExpectation));
}

void ScenarioReport::addFailure(const std::string& aReason)
{
  addTimelineEntry("FAIL  " + aReason);
  mFailures.push_back(aReason);
}

bool ScenarioReport::passed() const
{
  return mFailures.empty() &&
         std::all_of(mExpectations.begin(), mExpectations.end(),
                     [](const ExpectationResult& aExpectation) { return aExpectation.passed; });
}

void ScenarioReport::printSummary(std::uint64_t aSeed, const std::string& aRepeatCommand) const
{
  const auto passedCount =
    std::count_if(mExpectations.begin(), mExpectations.end(),
                  [](const ExpectationResult& aExpectation) { return aExpectation.passed; });
  std::printf("%s: %td of %zu expectations met, seed %llu\nrepeat with: %s\n",
              passed() ? "PASSED" : "FAILED", passedCount, mExpectations.size(),
              static_cast<unsigned long long>(aSeed), aRepeatCommand.c_str());
  std::fflush(stdout);
}

std::string ScenarioReport::json(const std::string& aFile, std::uint64_t aSeed) const
{
  ReportDocument out;
  out.scenario = aFile;
  out.seed = aSeed;
  out.passed = passed();
  out.failures = mFailures;
  out.expectations = mExpectations;
  out.timeline = mTimeline;
  return toJson(out);
}

} // namespace camphorcleat::harness
