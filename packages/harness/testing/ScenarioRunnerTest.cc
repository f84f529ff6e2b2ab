// Guards against a runner that passes what it must fail, or leaves processes behind. It runs the
// real program against the stand-ins for camphorcleatd and camphorcleatctl.

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

constexpr Millis kRunTime{ 30'000 };

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

// Runs of scenario-runner in a temporary folder.
class Runs
{
public:
  Runs()
    : mGroup(testingFolder() + "/child-starter")
  {
    mFolder = (std::filesystem::temp_directory_path() / "camphorcleat-runs-XXXXXX").string();
    REQUIRE(::mkdtemp(mFolder.data()) != nullptr);
  }
  // A run that no test waited for still writes to the folder, so it ends first.
  ~Runs()
  {
    mGroup.terminateAll(kRunTime);
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
  int status(pid_t aRun)
  {
    const auto end = mGroup.wait(aRun, kRunTime);
    return end ? end->exitStatus : -2;
  }
  void signal(pid_t aRun, int aSignal) { mGroup.signal(aRun, aSignal); }
  std::string output(const std::string& aName) { return readFile(mFolder + "/" + aName + ".out"); }
  std::string json(const std::string& aName) { return readFile(mFolder + "/" + aName + ".json"); }
  std::string workFolder(const std::string& aName) { return mFolder + "/" + aName + ".work"; }

private:
  std::string mFolder;
  ProcessGroup mGroup;
};

// Command lines of all processes that mention a text.
unsigned processesThatMention(const std::string& aText)
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

std::string scenario(const std::string& aFleet)
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

// The one expectation that a stand-in's deliberate fault must break.
void requireOnlyFailure(const std::string& aOutput, const std::string& aMeasure)
{
  INFO(aOutput);
  REQUIRE(aOutput.find("FAIL  expect " + aMeasure) != std::string::npos);
  REQUIRE(aOutput.find("6 of 7 expectations met") != std::string::npos);
}

// Scenarios whose runs overlap, because most of their time is waiting.
struct Batch
{
  Batch()
  {
    for (const char* it : { "sound", "leaky", "doubled", "lying" }) {
      pids[it] = runs.start(it, scenario(it));
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
    // The stand-in's entry can't reach its peers, so keys of other nodes fail until the healing.
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
    pids["signalled"] = runs.start("signalled", scenario("f") + "wait 60s\n");
    pids["orphaned"] = runs.start("orphaned", scenario("f") + "wait 60s\n");
    const std::string small = " zones 1 nodes 1 control 1 partitions 8\n"
                              "service storefront keyed\n"
                              "start\n";
    pids["refused"] = runs.start("refused", "fleet f" + small + "operator \"no such statement\"\n");
    pids["crashing"] = runs.start("crashing", "fleet crashing" + small + "wait 1s\n");
  }
  Runs runs;
  std::map<std::string, pid_t> pids;

  // Waits for a run and checks that it left no process behind.
  int status(const std::string& aName)
  {
    const int out = runs.status(pids[aName]);
    REQUIRE(processesThatMention(runs.workFolder(aName)) == 0);
    return out;
  }
};

Batch& batch()
{
  static Batch sBatch;
  return sBatch;
}

} // namespace

TEST_CASE("a sound fleet passes")
{
  const int status = batch().status("sound");
  const std::string output = batch().runs.output("sound");
  INFO(output);
  REQUIRE(status == 0);
  REQUIRE(output.find("PASSED: 7 of 7 expectations met, seed 7") != std::string::npos);
  REQUIRE(output.find("repeat with: ") != std::string::npos);
  REQUIRE(batch().runs.json("sound").find(R"("passed":true)") != std::string::npos);
}

TEST_CASE("each deliberate fault of the daemon fails its own expectation")
{
  REQUIRE(batch().status("leaky") == 1);
  requireOnlyFailure(batch().runs.output("leaky"), "secret_seen_count");
  REQUIRE(batch().status("doubled") == 1);
  requireOnlyFailure(batch().runs.output("doubled"), "duplicate_run_count");
  REQUIRE(batch().status("lying") == 1);
  requireOnlyFailure(batch().runs.output("lying"), "false_not_run_count");
}

TEST_CASE("a loss is measured by probes of the lost node's keys")
{
  const int status = batch().status("killed");
  INFO(batch().runs.output("killed"));
  REQUIRE(status == 0);
}

TEST_CASE("cuts, resets and delays reach the connections between daemons")
{
  const int status = batch().status("cut");
  INFO(batch().runs.output("cut"));
  REQUIRE(status == 0);
}

TEST_CASE("a bad scenario starts nothing and tells where it is bad")
{
  Runs runs;
  REQUIRE(runs.status(runs.start("bad", "fleet f nodes 2\nservic x\n")) == 3);
  REQUIRE(runs.output("bad").find("bad.scenario:2:1: expected a statement") != std::string::npos);
  REQUIRE_FALSE(std::filesystem::exists(runs.workFolder("bad")));
}

TEST_CASE("a signal, or the runner's own sudden end, ends everything it started")
{
  Runs& runs = batch().runs;
  for (const char* it : { "signalled", "orphaned" }) {
    const TimePoint end = Clock::now() + kRunTime;
    while (runs.output(it).find("wait 60s") == std::string::npos && Clock::now() < end) {
      std::this_thread::sleep_for(Millis(20));
    }
    REQUIRE(processesThatMention(runs.workFolder(it)) > 3);
  }
  runs.signal(batch().pids["signalled"], SIGTERM);
  runs.signal(batch().pids["orphaned"], SIGKILL);
  REQUIRE(batch().status("signalled") == 1);
  REQUIRE(runs.output("signalled").find("interrupted by a signal") != std::string::npos);
  runs.status(batch().pids["orphaned"]);
  const TimePoint end = Clock::now() + Millis(2000);
  while (processesThatMention(runs.workFolder("orphaned")) > 0 && Clock::now() < end) {
    std::this_thread::sleep_for(Millis(10));
  }
  REQUIRE(processesThatMention(runs.workFolder("orphaned")) == 0);
}

TEST_CASE("a statement that fails ends the run with its line")
{
  REQUIRE(batch().status("refused") == 1);
  const std::string output = batch().runs.output("refused");
  INFO(output);
  REQUIRE(output.find("line 4, operator") != std::string::npos);
  REQUIRE(output.find("camphorcleatctl exited with status 1") != std::string::npos);
}

TEST_CASE("a daemon that ends by itself fails the run")
{
  REQUIRE(batch().status("crashing") == 1);
  const std::string output = batch().runs.output("crashing");
  INFO(output);
  REQUIRE(output.find("node 1 (pid ") != std::string::npos);
  REQUIRE(output.find("exited with status 9 although nothing ended it") != std::string::npos);
}

} // namespace camphorcleat::harness
