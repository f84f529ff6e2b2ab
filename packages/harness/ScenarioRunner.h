// Executes the statements of a scenario in order and evaluates its expectations.

#ifndef CAMPHORCLEAT_HARNESS_SCENARIORUNNER_H_
#define CAMPHORCLEAT_HARNESS_SCENARIORUNNER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "harness/Fleet.h"
#include "harness/LoadGroup.h"
#include "harness/RunRecord.h"
#include "harness/ScenarioParser.h"
#include "harness/ScenarioReport.h"

namespace camphorcleat::harness {

/// Settings of a run.
struct RunnerSettings
{
  RunFolders folders;
  std::uint64_t seed = 1; ///< Of loads, targets and the fault proxy's jitter.
  /// How long the keys of a lost node are probed after the loss. Longer than the 2000 ms allowed by
  /// R13, so that the duration of a slower recovery is measured too.
  Millis probeDuration{ 6000 };
};

/// An operator command whose acceptance was reported.
struct AcceptedCommand
{
  std::string text;
  std::int64_t acceptedUs = 0; ///< CLOCK_MONOTONIC; when camphorcleatctl had exited.
  Revision revision = 0;       ///< The revision at which the command was accepted.
};

/// Not thread-safe. The destructor terminates all processes that the runner started.
class ScenarioRunner
{
public:
  ScenarioRunner(RunnerSettings aSettings, ScenarioReport& aReport);

  /// Executes all statements and adds the results to the report. Stops at the first statement that
  /// fails; an expectation that isn't met is no failure of its statement. Terminates all processes.
  /// Must be called only once.
  void run(const Scenario& aScenario);

private:
  Result<void> executeStatement(const Statement& aStatement);

  Result<void> execute(const FleetStatement& aFleet);
  Result<void> execute(const ServiceStatement& aService);
  Result<void> execute(const StartStatement& aStart);
  Result<void> execute(const OperatorStatement& aOperator);
  Result<void> execute(const AccountStatement& aAccount);
  Result<void> execute(const LoadStatement& aLoad);
  Result<void> execute(const WaitStatement& aWait);
  Result<void> execute(const WaitOwnedStatement& aWait);
  Result<void> execute(const WaitLoadsStatement& aWait);
  Result<void> execute(const WaitReadyStatement& aWait);
  Result<void> execute(const WaitConfigStatement& aWait);
  Result<void> execute(const ProcessStatement& aProcess);
  Result<void> execute(const CutStatement& aCut);
  Result<void> execute(const HealStatement& aHeal);
  Result<void> execute(const SilenceStatement& aSilence);
  Result<void> execute(const ResetStatement& aReset);
  Result<void> execute(const DelayStatement& aDelay);
  Result<void> execute(const TargetStatement& aTarget);
  Result<void> execute(const ExpectStatement& aExpect);

  Result<std::vector<NodeId>> resolveNodes(const NodeReference& aReference);
  Result<NodeId> findOwner(const std::string& aService, const std::string& aKey);
  Result<std::vector<std::pair<NodeId, NodeId>>> resolveNodePairs(const NodeReference& aFrom,
                                                                  const NodeReference& aTo);
  Result<void> applyAction(const ProcessStatement& aProcess, NodeId aNode);
  Result<void> createAccount(const std::string& aName, double aRate, double aBurst);
  Result<void> recordCommand(const std::string& aText, std::int64_t aAtUs);
  Result<void> startLossProbes(const std::string& aDescription, NodeId aNode);
  Result<std::vector<std::string>> probeKeysOf(const std::string& aService, NodeId aNode);
  std::vector<std::string> entryAddresses(NodeId aVia, NodeId aExcept) const;
  // Null if no service is keyed.
  const ServiceStatement* firstKeyedService() const;
  void recordAcceptedSetting(const std::string& aObject, const std::string& aExpected);
  Result<void> queryAcceptedSettings();
  Result<void> collectRunRecord();
  void reportUnexpectedExits();

  RunFolders mFolders;
  std::uint64_t mSeed;
  Millis mProbeDuration;
  ScenarioReport& mReport;
  PortAllocator mPorts;
  ProcessGroup mProcesses;
  LoadGroup mLoads;
  FleetStatement mFleetStatement; ///< Includes the services declared so far.
  std::optional<Fleet> mFleet;
  std::map<std::string, std::string> mAccountKeys; ///< By account.
  RunRecord mRunRecord;
  std::map<std::string, std::string> mAcceptedSettings; ///< Latest value, by object.
  std::optional<AcceptedCommand> mLastAccepted;
  bool mIsRunRecordCurrent = false;             ///< No statement ran since collectRunRecord().
  const Statement* mCurrentStatement = nullptr; ///< The one being executed.
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_SCENARIORUNNER_H_
