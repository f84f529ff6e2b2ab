// The child processes of a test, which never outlive it.
//
// The program child-starter starts each process: it requests a parent-death signal from the kernel
// and then executes the program. So no process is left even if the runner is killed with SIGKILL. A
// ProcessGroup isn't a POSIX process group: each child is the leader of its own.

#ifndef CAMPHORCLEAT_HARNESS_PROCESSGROUP_H_
#define CAMPHORCLEAT_HARNESS_PROCESSGROUP_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "base/Errors.h"
#include "base/Time.h"

namespace camphorcleat::harness {

/// A command to start.
struct ProcessSpec
{
  std::string name;    ///< Used in messages.
  std::string program; ///< Path of the executable.
  std::vector<std::string> arguments;
  std::string outputFile; ///< Standard output and standard error are appended to it.
};

/// The exit status or terminating signal of a process.
struct ProcessExit
{
  std::string name;
  pid_t pid = 0;
  bool wasRequested = false; ///< The group sent it SIGTERM, SIGKILL or SIGINT before.
  int exitStatus = -1;       ///< -1 if a signal terminated it.
  int signal = 0;            ///< 0 if it exited.
  /// Returns a text such as "node 2 (pid 17) exited with status 1".
  std::string message() const;
};

/// Not thread-safe. The thread that starts a process must outlive it, because Linux sends the
/// parent-death signal when that thread ends.
class ProcessGroup
{
public:
  /// aChildStarter is the path of child-starter.
  explicit ProcessGroup(std::string aChildStarter);

  /// Kills and reaps all running processes.
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  /// Starts a process and returns its id. Fails with HarnessError if the program isn't executable
  /// or can't be spawned.
  Result<pid_t> start(const ProcessSpec& aSpec);

  /// Sends a signal to a process of this group. Does nothing if the process has ended. After
  /// SIGTERM, SIGKILL or SIGINT the exit counts as requested.
  void signal(pid_t aPid, int aSignal);

  /// Returns whether the process is still running.
  bool isRunning(pid_t aPid);

  /// Waits until a process has ended and returns its exit, or nullopt if it still runs after
  /// aTimeout.
  std::optional<ProcessExit> wait(pid_t aPid, Millis aTimeout);

  /// Returns the exits since the last call. Doesn't block.
  std::vector<ProcessExit> takeExits();

  /// Sends SIGTERM to all processes, kills those that still run after aGrace, and reaps all. With a
  /// grace of 0 the processes are killed at once.
  void terminateAll(Millis aGrace);

  /// Returns the number of running processes.
  std::size_t runningCount();

private:
  struct Child
  {
    std::string name;
    bool isExitRequested = false;
  };

  // Records the exits of all processes that have ended. Doesn't block.
  void reap();

  std::string mChildStarter;
  std::map<pid_t, Child> mRunning;
  std::map<pid_t, ProcessExit> mExits;
  std::vector<ProcessExit> mUnreportedExits;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_PROCESSGROUP_H_
