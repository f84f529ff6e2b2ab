// Starting load drivers and collecting what they recorded.

#include "harness/LoadGroup.h"

#include <filesystem>
#include <fstream>
#include <iterator>

#include "harness/HarnessErrors.h"
#include "harness/Interruption.h"
#include "harness/JsonLines.h"

namespace camphorcleat::harness {

namespace {

constexpr Millis kAnswerTime{ 20'000 }; // More than the default deadline and the driver's margin.

} // namespace

LoadGroup::LoadGroup(std::string aProgram, std::string aFolder, ProcessGroup& aProcesses)
  : mProgram(std::move(aProgram))
  , mFolder(std::move(aFolder))
  , mProcesses(aProcesses)
{
}

Result<void> LoadGroup::start(const LoadPlan& aPlan)
{
  std::filesystem::create_directories(mFolder);
  const std::string base = mFolder + "/" + aPlan.name;
  std::ofstream(base + ".plan.json") << toJson(aPlan);
  BOOST_LEAF_AUTO(pid, mProcesses.start({ "load " + aPlan.name,
                                          mProgram,
                                          { base + ".plan.json", "--record", base + ".jsonl" },
                                          base + ".out" }));
  mLoads.push_back({ aPlan.name, pid, Clock::now() + aPlan.duration });
  return {};
}

Result<void> LoadGroup::wait()
{
  for (const auto& it : mLoads) {
    const auto left = std::chrono::duration_cast<Millis>(it.end + kAnswerTime - Clock::now());
    BOOST_LEAF_CHECK(pollUntil("the end of load " + it.name, std::max(left, Millis(0)),
                               [&] { return !mProcesses.isRunning(it.pid); }));
    const auto end = mProcesses.wait(it.pid, Millis(0));
    if (end && end->exitStatus != 0) {
      return fail(HarnessError{ end->message() });
    }
  }
  return {};
}

Result<std::vector<CallRecord>> LoadGroup::records() const
{
  std::vector<CallRecord> out;
  for (const auto& it : mLoads) {
    BOOST_LEAF_AUTO(calls, readJsonLines<CallRecord>(mFolder + "/" + it.name + ".jsonl"));
    std::move(calls.begin(), calls.end(), std::back_inserter(out));
  }
  return out;
}

} // namespace camphorcleat::harness
