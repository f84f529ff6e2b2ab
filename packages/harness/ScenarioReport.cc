// Printing of timelines and verdicts.

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
  std::vector<Verdict> expectations;
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

void ScenarioReport::note(const std::string& aText)
{
  const double at = static_cast<double>(monotonicMicros() - mStartUs) / 1e6;
  mTimeline.push_back({ at, aText });
  std::printf("%8.3f s  %s\n", at, aText.c_str());
  std::fflush(stdout);
}

void ScenarioReport::add(Verdict aVerdict)
{
  char figure[64] = "no evidence";
  if (aVerdict.value) {
    std::snprintf(figure, sizeof(figure), "%.6g", *aVerdict.value);
  }
  note(std::string(aVerdict.passed ? "pass" : "FAIL") + "  " + aVerdict.text + "  [measured " +
       figure + (aVerdict.detail.empty() ? "" : "; " + aVerdict.detail) + "]");
  mVerdicts.push_back(std::move(aVerdict));
}

void ScenarioReport::fail(const std::string& aReason)
{
  note("FAIL  " + aReason);
  mFailures.push_back(aReason);
}

bool ScenarioReport::passed() const
{
  return mFailures.empty() && std::all_of(mVerdicts.begin(), mVerdicts.end(),
                                          [](const Verdict& aVerdict) { return aVerdict.passed; });
}

void ScenarioReport::printSummary(std::uint64_t aSeed, const std::string& aRepeatCommand) const
{
  const auto met = std::count_if(mVerdicts.begin(), mVerdicts.end(),
                                 [](const Verdict& aVerdict) { return aVerdict.passed; });
  std::printf("%s: %td of %zu expectations met, seed %llu\nrepeat with: %s\n",
              passed() ? "PASSED" : "FAILED", met, mVerdicts.size(),
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
  out.expectations = mVerdicts;
  out.timeline = mTimeline;
  return toJson(out);
}

} // namespace camphorcleat::harness
