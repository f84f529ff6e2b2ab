// Guards against a runner that passes a run with a violation, or leaves processes behind. The tests
// run scenario-runner with stand-ins for camphorcleatd and camphorcleatctl.

#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>

#include <unistd.h>

#include <catch2/catch.hpp>

#include "harness/ProcessGroup.h"

namespace camphorcleat::harness {
namespace {

constexpr Millis kRunTimeout{ 30'000 };

std::string testingFolder()
{
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

std::string readFile(const std::string& aPath)
{
  std::ifstream in(aPath);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

// Starts scenario-runner in a temporary folder.
class Runs
{
public:
  Runs()
    : mGroup(testingFolder() + "/child-starter")
  {
    mFolder = (std::filesystem::temp_directory_path() / "camphorcleat-runs-XXXXXX").string();
    REQUIRE(::mkdtemp(mFolder.data()) != nullptr);
  }
  // A run that no test waited for still writes to the folder, so it is terminated first.
  ~Runs()
  {
    mGroup.terminateAll(kRunTimeout);
    std::filesystem::remove_all(mFolder);
  }

  pid_t start(const std::string& aName, const std::string& aText)
  {
    const std::string base = mFolder + "/" + aName;
    std::ofstream(base + ".scenario") << aText;
    return mGroup
      .start(
        { aName,
          testingFolder() + "/scenario-runner",
          { base + ".scenario", "--seed", "7", "--bin-dir", CAMPHORCLEAT_STANDINS, "--testing-dir",
            testingFolder(), "--work-dir", base + ".work", "--json", base + ".json" },
          base + ".out" })
      .value();
  }
  // Waits for a run and returns its exit status: -1 if a signal terminated it, -2 if it still runs
  // after kRunTimeout.
  int status(pid_t aRun)
  {
    const auto processExit = mGroup.wait(aRun, kRunTimeout);
    return processExit ? processExit->exitStatus : -2;
  }
  void signal(pid_t aRun, int aSignal) { mGroup.signal(aRun, aSignal); }
  std::string output(const std::string& aName) { return readFile(mFolder + "/" + aName + ".out"); }
  std::string json(const std::string& aName) { return readFile(mFolder + "/" + aName + ".json"); }
  std::string workFolder(const std::string& aName) { return mFolder + "/" + aName + ".work"; }

private:
  std::string mFolder;
  ProcessGroup mGroup;
};

// Returns the number of processes with the text in their command line.
unsigned countProcessesMentioning(const std::string& aText)
{
  unsigned out = 0;
  for (const auto& it : std::filesystem::directory_iterator("/proc")) {
    const std::string name = it.path().filename().string();
    if (name.find_first_not_of("0123456789") == std::string::npos && name != "self") {
      out += readFile(it.path().string() + "/cmdline").find(aText) != std::string::npos ? 1 : 0;
    }
  }
  return out;
}

std::string makeScenario(const std::string& aFleet)
{
  return "fleet " + aFleet +
         " zones 2 nodes 2 control 2 partitions 8 proxied\n"
         "service storefront keyed slots 20 cold-slots 20 service-time 2ms\n"
         "start\n"
         "operator \"create service storefront keyed\"\n"
         "operator \"create service storefront keyed\" expect-code object_exists\n"
         "wait owned storefront\n"
         "account acme rate 1000 burst 1000\n"
         "load shoppers account acme service storefront rate 40/s keys 20 post 50% for 1s\n"
         "wait loads\n"
         "expect served shoppers >= 1\n"
         "expect double_owner_count == 0\n"
         "expect wrong_answer_count == 0\n"
         "expect duplicate_run_count == 0\n"
         "expect false_not_run_count == 0\n"
         "expect secret_seen_count == 0\n"
         "expect over_rate_count == 0\n";
}

// Checks that the expectation on aMeasure failed and that the other six were met.
void requireOnlyFailedExpectation(const std::string& aOutput, const std::string& aMeasure)
{
  INFO(aOutput);
  REQUIRE(aOutput.find("FAIL  expect " + aMeasure) != std::string::npos);
  REQUIRE(aOutput.find("6 of 7 expectations met") != std::string::npos);
}

// Runs of several scenarios, started together because they mostly wait.
struct SharedRuns
{
  SharedRuns()
  {
    // The name of the fleet selects a fault of the stand-in for camphorcleatd; "sound" has none.
    for (const char* it : { "sound", "leaky", "doubled", "lying" }) {
      pids[it] = runs.start(it, makeScenario(it));
    }
    const std::string head = "fleet faulty zones 3 nodes 3 control 3 partitions 12 proxied\n"
                             "service storefront keyed slots 20 cold-slots 20 service-time 2ms\n"
                             "start\n"
                             "operator \"create service storefront keyed\"\n"
                             "wait owned storefront\n";
    pids["killed"] = runs.start("killed", head + "kill vm 2\n"
                                                 "expect unavailable_after_loss_ms <= 3 s\n"
                                                 "expect unavailable_after_loss_ms >= 500 ms\n"
                                                 "expect double_owner_count == 0\n");
    // While its connections are cut, the entry can't reach its peers, so requests for their keys
    // fail.
    pids["cut"] = runs.start(
      "cut", head + "account acme rate 1000 burst 1000\n"
                    "cut node 1 -> node 2\n"
                    "cut node 1 -> node 3\n"
                    "load during account acme service storefront rate 40/s via node 1 for 500ms\n"
                    "wait 500ms\n"
                    "heal\n"
                    "reset node 1 -> all\n"
                    "delay all 20ms\n"
                    "load after account acme service storefront rate 40/s via node 1 for 1s\n"
                    "expect unknown during >= 3\n"
                    "expect unknown after == 0\n"
                    "expect served after >= 20\n"
                    "expect p99_ms after >= 40 ms\n");
    pids["signalled"] = runs.start("signalled", makeScenario("f") + "wait 60s\n");
    pids["orphaned"] = runs.start("orphaned", makeScenario("f") + "wait 60s\n");
    const std::string small = " zones 1 nodes 1 control 1 partitions 8\n"
                              "service storefront keyed\n"
                              "start\n";
    pids["refused"] = runs.start("refused", "fleet f" + small + "operator \"no such statement\"\n");
    pids["crashing"] = runs.start("crashing", "fleet crashing" + small + "wait 1s\n");
  }
  Runs runs;
  std::map<std::string, pid_t> pids;

  // Waits for a run, checks that it left no process behind, and returns its exit status.
  int status(const std::string& aName)
  {
    const int out = runs.status(pids[aName]);
    REQUIRE(countProcessesMentioning(runs.workFolder(aName)) == 0);
    return out;
  }
};

SharedRuns& sharedRuns()
{
  static SharedRuns sRuns;
  return sRuns;
}

} // namespace

TEST_CASE("a run without violations passes")
{
  const int status = sharedRuns().status("sound");
  const std::string output = sharedRuns().runs.output("sound");
  INFO(output);
  REQUIRE(status == 0);
  REQUIRE(output.find("PASSED: 7 of 7 expectations met, seed 7") != std::string::npos);
  REQUIRE(output.find("repeat with: ") != std::string::npos);
  REQUIRE(sharedRuns().runs.json("sound").find(R"("passed":true)") != std::string::npos);
}

TEST_CASE("each injected fault of the daemon fails exactly the expectation for it")
{
  REQUIRE(sharedRuns().status("leaky") == 1);
  requireOnlyFailedExpectation(sharedRuns().runs.output("leaky"), "secret_seen_count");
  REQUIRE(sharedRuns().status("doubled") == 1);
  requireOnlyFailedExpectation(sharedRuns().runs.output("doubled"), "duplicate_run_count");
  REQUIRE(sharedRuns().status("lying") == 1);
  requireOnlyFailedExpectation(sharedRuns().runs.output("lying"), "false_not_run_count");
}

TEST_CASE("a loss is measured by probes of the lost node's keys")
{
  const int status = sharedRuns().status("killed");
  INFO(sharedRuns().runs.output("killed"));
  REQUIRE(status == 0);
}

TEST_CASE("cuts, resets and delays reach the connections between daemons")
{
  const int status = sharedRuns().status("cut");
  INFO(sharedRuns().runs.output("cut"));
  REQUIRE(status == 0);
}

TEST_CASE("a syntax error is reported with its location, and no process is started")
{
  Runs runs;
  REQUIRE(runs.status(runs.start("bad", "fleet f nodes 2\nservic x\n")) == 3);
  REQUIRE(runs.output("bad").find("bad.scenario:2:1: expected a statement") != std::string::npos);
  REQUIRE_FALSE(std::filesystem::exists(runs.workFolder("bad")));
}

TEST_CASE("all processes end when the runner is terminated or killed by a signal")
{
  Runs& runs = sharedRuns().runs;
  for (const char* it : { "signalled", "orphaned" }) {
    const TimePoint deadline = Clock::now() + kRunTimeout;
    while (runs.output(it).find("wait 60s") == std::string::npos && Clock::now() < deadline) {
      std::this_thread::sleep_for(Millis(20));
    }
    REQUIRE(countProcessesMentioning(runs.workFolder(it)) > 3);
  }
  runs.signal(sharedRuns().pids["signalled"], SIGTERM);
  runs.signal(sharedRuns().pids["orphaned"], SIGKILL);
  REQUIRE(sharedRuns().status("signalled") == 1);
  REQUIRE(runs.output("signalled").find("interrupted by a signal") != std::string::npos);
  runs.status(sharedRuns().pids["orphaned"]);
  const TimePoint deadline = Clock::now() + Millis(2000);
  while (countProcessesMentioning(runs.workFolder("orphaned")) > 0 && Clock::now() < deadline) {
    std::this_thread::sleep_for(Millis(10));
  }
  REQUIRE(countProcessesMentioning(runs.workFolder("orphaned")) == 0);
}

TEST_CASE("a failed statement ends the run and is reported with its line")
{
  REQUIRE(sharedRuns().status("refused") == 1);
  const std::string output = sharedRuns().runs.output("refused");
  INFO(output);
  REQUIRE(output.find("line 4, operator") != std::string::npos);
  REQUIRE(output.find("camphorcleatctl exited with status 1") != std::string::npos);
}

TEST_CASE("a daemon that exits unexpectedly fails the run")
{
  REQUIRE(sharedRuns().status("crashing") == 1);
  const std::string output = sharedRuns().runs.output("crashing");
  INFO(output);
  REQUIRE(output.find("node 1 (pid ") != std::string::npos);
  REQUIRE(output.find("exited with status 9 although the scenario did not stop it") !=
          std::string::npos);
}

} // namespace camphorcleat::harness
