// Starts load drivers and reads their record files.

#include "harness/LoadGroup.h"

#include <filesystem>
#include <fstream>
#include <iterator>

#include "harness/HarnessErrors.h"
#include "harness/Interruption.h"
#include "harness/JsonLines.h"

namespace camphorcleat::harness {

namespace {

// More than the default deadline (10 s) and the driver's timeout margin (2 s) together.
constexpr Millis kMaxOverrun{ 20'000 };

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
  const std::string basePath = mFolder + "/" + aPlan.name;
  std::ofstream(basePath + ".plan.json") << toJson(aPlan);
  BOOST_LEAF_AUTO(pid,
                  mProcesses.start({ "load " + aPlan.name,
                                     mProgram,
                                     { basePath + ".plan.json", "--record", basePath + ".jsonl" },
                                     basePath + ".out" }));
  mLoads.push_back({ aPlan.name, pid, Clock::now() + aPlan.duration });
  return {};
}

Result<void> LoadGroup::wait()
{
  for (const auto& it : mLoads) {
    const auto remaining =
      std::chrono::duration_cast<Millis>(it.lastDue + kMaxOverrun - Clock::now());
    BOOST_LEAF_CHECK(pollUntil("the end of load " + it.name, std::max(remaining, Millis(0)),
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
