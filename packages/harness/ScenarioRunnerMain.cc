// scenario-runner: executes a scenario against a fleet of processes and evaluates its expectations.

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

#include <CLI/CLI.hpp>

#include "harness/HarnessErrors.h"
#include "harness/Interruption.h"
#include "harness/Program.h"
#include "harness/ScenarioRunner.h"

namespace camphorcleat::harness {
namespace {

struct Arguments
{
  std::string file;
  std::optional<std::uint64_t> seed;
  std::string json;
  bool isCheckOnly = false;
  std::int64_t probeMs = 6000;
  RunFolders folders{ "build/bin", "build/testing", "" };
};

// Creates a folder in the system's temporary folder and returns its path.
Result<std::string> createWorkFolder()
{
  std::string path =
    (std::filesystem::temp_directory_path() / "camphorcleat-scenario-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) {
    return fail(StorageError{ path, "creating", errno });
  }
  return path;
}

std::string repeatCommand(const Arguments& aArguments, std::uint64_t aSeed)
{
  return aArguments.folders.testing + "/scenario-runner " + aArguments.file + " --seed " +
         std::to_string(aSeed) + " --bin-dir " + aArguments.folders.bin + " --testing-dir " +
         aArguments.folders.testing;
}

Result<int> run(Arguments aArguments)
{
  BOOST_LEAF_AUTO(scenario, loadScenario(aArguments.file));
  if (aArguments.isCheckOnly) {
    return kExitSuccess;
  }
  const bool isTemporary = aArguments.folders.work.empty();
  if (isTemporary) {
    BOOST_LEAF_ASSIGN(aArguments.folders.work, createWorkFolder());
  }
  std::filesystem::create_directories(aArguments.folders.work);
  // Records are appended to files, so the measures would include those of an earlier run.
  if (!std::filesystem::is_empty(aArguments.folders.work)) {
    return fail(UsageError{ "work folder " + aArguments.folders.work + " is not empty" });
  }
  const std::uint64_t seed = aArguments.seed.value_or(std::random_device()());
  installSignalHandlers();
  ScenarioReport report;
  {
    ScenarioRunner runner({ aArguments.folders, seed, Millis(aArguments.probeMs) }, report);
    runner.run(scenario);
  }
  report.printSummary(seed, repeatCommand(aArguments, seed));
  if (!aArguments.json.empty()) {
    std::ofstream(aArguments.json) << report.json(aArguments.file, seed) << '\n';
  }
  if (report.passed() && isTemporary) {
    std::filesystem::remove_all(aArguments.folders.work);
  } else {
    std::cout << "logs and records: " << aArguments.folders.work << std::endl;
  }
  return report.passed() ? kExitSuccess : kExitFailedExpectation;
}

} // namespace
} // namespace camphorcleat::harness

int main(int argc, char** argv)
{
  using namespace camphorcleat::harness;
  Arguments arguments;
  CLI::App app("Executes a scenario against a fleet of processes");
  app.add_option("file", arguments.file, "scenario file")->required();
  app.add_option("--seed", arguments.seed, "seed of loads, targets and faults; random by default");
  app.add_option("--bin-dir", arguments.folders.bin, "folder of camphorcleatd and camphorcleatctl");
  app.add_option("--testing-dir", arguments.folders.testing, "folder of the test programs");
  app.add_option("--work-dir", arguments.folders.work,
                 "empty folder for logs and records; a new temporary one by default");
  app.add_option("--json", arguments.json, "file to write the report to, as JSON");
  app.add_option("--probe-ms", arguments.probeMs,
                 "how long the keys of a lost node are probed, in milliseconds");
  app.add_flag("--check", arguments.isCheckOnly, "only parse and check the scenario");
  CLI11_PARSE(app, argc, argv);
  return runProgram("scenario-runner", [&] { return run(arguments); });
}
