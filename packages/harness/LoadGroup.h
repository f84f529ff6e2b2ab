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
  /// aProgram is the path of the load-driver program. aFolder receives the plans and records;
  /// start() creates it.
  LoadGroup(std::string aProgram, std::string aFolder, ProcessGroup& aProcesses);

  /// Starts a load driver with a plan, whose name must be unique in the group. Fails with
  /// HarnessError.
  Result<void> start(const LoadPlan& aPlan);

  /// Waits until all load drivers have exited. Fails with HarnessError if one exits with a failure
  /// status or runs 20 s longer than planned, or if the runner is interrupted.
  Result<void> wait();

  /// Returns the records of all loads. Requires that all load drivers have exited. Fails with
  /// StorageError or DecodeError.
  Result<std::vector<CallRecord>> records() const;

private:
  struct Load
  {
    std::string name;
    pid_t pid = 0;
    TimePoint lastDue; ///< When the last request is due.
  };

  std::string mProgram;
  std::string mFolder;
  ProcessGroup& mProcesses;
  std::vector<Load> mLoads;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_LOADGROUP_H_
