// The load-driver processes of a scenario and their records.

#ifndef CAMPHORCLEAT_HARNESS_LOADGROUP_H_
#define CAMPHORCLEAT_HARNESS_LOADGROUP_H_

#include <string>
#include <vector>

#include "harness/CallRecord.h"
#include "harness/LoadPlan.h"
#include "harness/ProcessGroup.h"

namespace camphorcleat::harness {

/// Not thread-safe.
class LoadGroup
{
public:
  /// aProgram is the path of load-driver; aFolder is created.
  LoadGroup(std::string aProgram, std::string aFolder, ProcessGroup& aProcesses);

  /// Starts a load; its name must be new. Fails with HarnessError.
  Result<void> start(const LoadPlan& aPlan);

  /// Waits until all loads have ended. Fails with HarnessError if one ended with a fault, runs
  /// much longer than planned, or the runner is interrupted.
  Result<void> wait();

  /// The records of all loads. All must have ended.
  Result<std::vector<CallRecord>> records() const;

private:
  struct Load
  {
    std::string name;
    pid_t pid = 0;
    TimePoint end; ///< When its last request is due.
  };

  std::string mProgram;
  std::string mFolder;
  ProcessGroup& mProcesses;
  std::vector<Load> mLoads;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_LOADGROUP_H_
