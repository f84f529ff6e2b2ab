// Starts and controls the processes of a test fleet: targets, daemons, fault proxy, operator
// commands.

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

/// Folders of the programs and of the files of a run.
struct RunFolders
{
  std::string bin;     ///< Contains camphorcleatd and camphorcleatctl.
  std::string testing; ///< Contains the programs of this package.
  std::string work;    ///< Receives logs, records and data. Must exist.

  /// Returns the path of the file in which the target of a node records its events.
  std::string targetRecordPath(NodeId aNode) const;
  /// Returns the folder of a daemon's settings, log and data.
  std::string nodeFolder(NodeId aNode) const;
};

/// The exit status and output of camphorcleatctl.
struct CommandResult
{
  int exitStatus = -1; ///< -1 if a signal terminated it.
  std::string output;  ///< JSON.
};

/// Returns the value in the output of a successful command: the field "result", which
/// camphorcleatctl prints next to code, message and revision, or the whole output if there is no
/// such field. Fails with DecodeError. Thread-safe.
Result<QCborValue> commandResultValue(const std::string& aOutput);

/// The owner of each partition. Partitions without an owner are absent.
using PartitionOwners = std::map<PartitionId, NodeId>;

/// Not thread-safe. Node ids passed to the methods must exist in the layout. Methods fail with
/// HarnessError if a process can't be started, an HTTP request fails, a timeout expires or the
/// runner is interrupted. cut(), silence(), reset() and delayAll() require a proxied fleet.
class Fleet
{
public:
  Fleet(FleetLayout aLayout, RunFolders aFolders, std::uint64_t aSeed, ProcessGroup& aProcesses);

  const FleetLayout& layout() const { return mLayout; }

  /// Starts the proxy, the targets and the daemons, and waits until all daemons are ready and a
  /// control leader exists. Must be called once, before the other methods.
  Result<void> start();

  /// Waits until /readyz of every running daemon returns status 200.
  Result<void> waitUntilReady();

  /// Waits until every running daemon reports that it has applied aRevision.
  Result<void> waitForRevision(Revision aRevision);

  /// Runs one operator statement with camphorcleatctl. A refused statement is no failure here; see
  /// CommandResult::exitStatus.
  Result<CommandResult> runCommand(const std::string& aText);

  /// Returns the owners of a service's partitions according to the control leader. Also fails with
  /// DecodeError.
  Result<PartitionOwners> queryOwners(const std::string& aService);

  /// Waits until a node reports that it is the control leader, and returns its id.
  Result<NodeId> waitForLeader();

  /// Sends a signal to the daemon, or to the target, of a node. Does nothing if that process has
  /// ended or the node has no target.
  void signalDaemon(NodeId aNode, int aSignal);
  void signalTarget(NodeId aNode, int aSignal);

  /// Sends SIGTERM to a daemon and waits until it has ended. Fails with HarnessError if it exits
  /// with a status other than 0 or is terminated by a signal other than SIGKILL, which an earlier
  /// call of signalDaemon() may have sent.
  Result<void> stopDaemon(NodeId aNode);

  /// Restarts a daemon; stops it first if it is running. With aWithEmptyDisk its data folder is
  /// deleted before the start.
  Result<void> restartDaemon(NodeId aNode, bool aWithEmptyDisk);

  /// Restarts the target of a node if it has ended. Does nothing if the node has none.
  Result<void> restartTargetProcess(NodeId aNode);

  /// Drops the bytes sent from aFrom to aTo, whichever of the two opened the connection.
  Result<void> cut(NodeId aFrom, NodeId aTo);
  /// Ends the effect of all calls of cut().
  Result<void> heal();
  /// Permanently drops all bytes on, or resets, the connections now open between two nodes.
  Result<void> silence(NodeId aFrom, NodeId aTo);
  Result<void> reset(NodeId aFrom, NodeId aTo);
  /// Delays the bytes on all links of the proxy.
  Result<void> delayAll(Millis aDelay, Millis aJitter);

  /// Sends a POST request to the admin port of a target. Fails with HarnessError unless the
  /// response has status 200.
  Result<void> postToTarget(NodeId aNode, const std::string& aPathAndQuery,
                            const std::string& aBody = "");

  /// Registers a text, such as an account key, with every target. The targets report requests that
  /// contain it.
  Result<void> addSecret(const std::string& aText);

private:
  Result<void> startProxy();
  Result<void> startTarget(const NodeLayout& aNode);
  Result<void> startDaemon(const NodeLayout& aNode);
  // Changes the parameters of a link, or of all links if aLink is "*".
  Result<void> setProxyLink(const std::string& aLink, const std::string& aQuery);
  bool isReady(const NodeLayout& aNode) const;

  FleetLayout mLayout;
  RunFolders mFolders;
  std::uint64_t mSeed;
  ProcessGroup& mProcesses;
  std::map<NodeId, pid_t> mDaemonPids;
  std::map<NodeId, pid_t> mTargetPids;
  /// Directions in which the proxy drops bytes, by link.
  std::map<std::string, std::set<std::string>> mCutDirections;
  std::vector<std::string> mSecrets; ///< Also passed to targets that are started later.
  unsigned mCommandCount = 0;        ///< Numbers the output files of camphorcleatctl.
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_FLEET_H_
