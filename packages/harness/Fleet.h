// The running processes of a test fleet: targets, daemons, fault proxy and operators' commands.

#ifndef CAMPHORCLEAT_HARNESS_FLEET_H_
#define CAMPHORCLEAT_HARNESS_FLEET_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/Codec.h"
#include "harness/FleetLayout.h"
#include "harness/ProcessGroup.h"

namespace camphorcleat::harness {

/// Where programs and files of a run are.
struct RunFolders
{
  std::string bin;     ///< camphorcleatd and camphorcleatctl.
  std::string testing; ///< The programs of this package.
  std::string work;    ///< Exists.

  std::string targetRecordPath(NodeId aNode) const;
  std::string nodeFolder(NodeId aNode) const;
};

/// How an operator's command ended.
struct CommandResult
{
  int exitStatus = -1;
  std::string output; ///< JSON of camphorcleatctl.
};

/// The value of a successful command's answer. camphorcleatctl puts it into the field "result",
/// beside code, message and revision; an answer without that field is the value itself.
/// Fails with DecodeError. Thread-safe.
Result<QCborValue> commandResultValue(const std::string& aOutput);

/// The owner of each partition; partitions without an owner are missing.
using PartitionOwners = std::map<PartitionId, NodeId>;

/// Not thread-safe. Node numbers passed in must exist.
class Fleet
{
public:
  Fleet(FleetLayout aLayout, RunFolders aFolders, std::uint64_t aSeed, ProcessGroup& aProcesses);

  const FleetLayout& layout() const { return mLayout; }

  /// Starts everything and waits until all daemons are ready and a leader exists.
  Result<void> start();

  /// Waits until every running daemon says that it is ready.
  Result<void> waitUntilReady();

  /// Waits until every running daemon says that it has applied a revision.
  Result<void> waitForRevision(Revision aRevision);

  /// Runs one operators' statement with camphorcleatctl.
  Result<CommandResult> runCommand(const std::string& aText);

  /// Owners of a service's partitions, as the control leader sees them.
  Result<PartitionOwners> queryOwners(const std::string& aService);

  /// The node that says it is the control leader, among those that answer.
  Result<NodeId> waitForLeader();

  /// Sends a signal to a daemon, or to the target of a node.
  void signalDaemon(NodeId aNode, int aSignal);
  void signalTarget(NodeId aNode, int aSignal);

  /// Asks a daemon to stop (SIGTERM) and waits for its end.
  Result<void> stopDaemon(NodeId aNode);

  /// Starts a daemon again, after stopping it if it runs.
  Result<void> restartDaemon(NodeId aNode, bool aWithEmptyDisk);

  /// Starts the target of a node again if it has ended.
  Result<void> restartTargetProcess(NodeId aNode);

  /// Drops the bytes that one node sends to another, on connections dialled by either.
  Result<void> cut(NodeId aFrom, NodeId aTo);
  /// Lifts all cuts.
  Result<void> heal();
  /// Silences, or resets, the connections open now between two nodes.
  Result<void> silence(NodeId aFrom, NodeId aTo);
  Result<void> reset(NodeId aFrom, NodeId aTo);
  /// Delays the bytes on all links.
  Result<void> delayAll(Millis aDelay, Millis aJitter);

  /// Posts to the admin port of a target.
  Result<void> postToTarget(NodeId aNode, const std::string& aPathAndQuery,
                            const std::string& aBody = "");

  /// Makes every target watch for a text that must not reach it.
  Result<void> addSecret(const std::string& aText);

private:
  Result<void> startProxy();
  Result<void> startTarget(const NodeLayout& aNode);
  Result<void> startDaemon(const NodeLayout& aNode);
  Result<void> setProxyLink(const std::string& aLink, const std::string& aQuery);
  bool isReady(const NodeLayout& aNode) const;

  FleetLayout mLayout;
  RunFolders mFolders;
  std::uint64_t mSeed;
  ProcessGroup& mProcesses;
  std::map<NodeId, pid_t> mDaemonPids;
  std::map<NodeId, pid_t> mTargetPids;
  std::map<std::string, std::set<std::string>> mCutDirections; ///< Directions cut, by link.
  std::vector<std::string> mSecrets;
  unsigned mCommandCount = 0;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_FLEET_H_
