// Real processes of a test, ended by process id whatever happens.
//
// Processes are started through the program child-starter, which asks the kernel to kill the
// process when its parent ends and then becomes the program. So nothing is left behind even if the
// runner itself is killed with SIGKILL.

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

/// What to start.
struct ProcessSpec
{
  std::string name;    ///< For messages.
  std::string program; ///< Path.
  std::vector<std::string> arguments;
  std::string outputFile; ///< Receives standard output and standard error, appended.
};

/// How a process ended.
struct ProcessEnd
{
  std::string name;
  pid_t pid = 0;
  bool wasExpected = false; ///< This group asked it to end before.
  int exitStatus = -1;      ///< -1 if a signal ended it.
  int signal = 0;
  /// "camphorcleatd node 2 (pid 17) exited with status 1".
  std::string message() const;
};

/// Not thread-safe; the thread that starts processes must live as long as they do.
class ProcessGroup
{
public:
  /// aStarter is the path of child-starter.
  explicit ProcessGroup(std::string aStarter);

  /// Kills and reaps all processes.
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  /// Starts a process. Fails with HarnessError.
  Result<pid_t> start(const ProcessSpec& aSpec);

  /// Sends a signal to a process of this group; does nothing if it has ended. SIGTERM, SIGKILL and
  /// SIGINT make its end expected.
  void signal(pid_t aPid, int aSignal);

  /// Whether the process has not ended yet.
  bool isRunning(pid_t aPid);

  /// Waits for the end of a process; empty if it still runs after the time.
  std::optional<ProcessEnd> wait(pid_t aPid, Millis aTimeout);

  /// Ends of processes since the last call, without waiting.
  std::vector<ProcessEnd> takeEnds();

  /// Asks all processes to end, then kills those that remain after the time.
  void endAll(Millis aGrace);

  std::size_t runningCount();

private:
  struct Child
  {
    std::string name;
    bool isEndExpected = false;
  };

  void reap();

  std::string mStarter;
  std::map<pid_t, Child> mRunning;
  std::map<pid_t, ProcessEnd> mEnded;
  std::vector<ProcessEnd> mNewEnds;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_PROCESSGROUP_H_
