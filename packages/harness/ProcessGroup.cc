// Starting, signalling and reaping of processes.

#include "harness/ProcessGroup.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "harness/HarnessErrors.h"

namespace camphorcleat::harness {

namespace {

constexpr Millis kPollInterval{ 2 };

// File actions and attributes of posix_spawn, freed at the end of the scope.
class SpawnSetup
{
public:
  explicit SpawnSetup(const std::string& aOutputFile)
  {
    posix_spawn_file_actions_init(&actions);
    posix_spawnattr_init(&attributes);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, aOutputFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The child must neither ignore nor block a signal because the runner does, and a Ctrl-C in
    // the terminal must reach the runner only.
    sigset_t none;
    sigset_t all;
    sigemptyset(&none);
    sigfillset(&all);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setsigdefault(&attributes, &all);
    posix_spawnattr_setpgroup(&attributes, 0);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF |
                                            POSIX_SPAWN_SETPGROUP);
  }
  ~SpawnSetup()
  {
    posix_spawn_file_actions_destroy(&actions);
    posix_spawnattr_destroy(&attributes);
  }
  SpawnSetup(const SpawnSetup&) = delete;
  SpawnSetup& operator=(const SpawnSetup&) = delete;

  posix_spawn_file_actions_t actions{};
  posix_spawnattr_t attributes{};
};

} // namespace

std::string ProcessEnd::message() const
{
  return name + " (pid " + std::to_string(pid) + ") " +
         (signal != 0 ? "was ended by signal " + std::to_string(signal)
                      : "exited with status " + std::to_string(exitStatus));
}

ProcessGroup::ProcessGroup(std::string aStarter)
  : mStarter(std::move(aStarter))
{
}

ProcessGroup::~ProcessGroup()
{
  endAll(Millis(0));
}

Result<pid_t> ProcessGroup::start(const ProcessSpec& aSpec)
{
  // child-starter could only report a missing program through its exit status.
  if (::access(aSpec.program.c_str(), X_OK) != 0) {
    return fail(HarnessError{ aSpec.program + " can't be started: " + std::strerror(errno) });
  }
  std::vector<std::string> words{ mStarter, std::to_string(::getpid()), aSpec.program };
  words.insert(words.end(), aSpec.arguments.begin(), aSpec.arguments.end());
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (auto& it : words) {
    arguments.push_back(it.data());
  }
  arguments.push_back(nullptr);
  const SpawnSetup setup(aSpec.outputFile);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, mStarter.c_str(), &setup.actions, &setup.attributes,
                                arguments.data(), environ);
  if (error != 0) {
    return fail(HarnessError{ aSpec.name + " can't be started by " + mStarter + ": " +
                              std::strerror(error) });
  }
  mEnded.erase(pid); // The system may use a number again.
  mRunning[pid] = Child{ aSpec.name, false };
  return pid;
}

void ProcessGroup::signal(pid_t aPid, int aSignal)
{
  reap();
  const auto it = mRunning.find(aPid);
  // Until it is reaped, the number of an ended child isn't used for another process, so the signal
  // can't reach a stranger.
  if (it != mRunning.end()) {
    it->second.isEndExpected =
      it->second.isEndExpected || aSignal == SIGTERM || aSignal == SIGKILL || aSignal == SIGINT;
    ::kill(aPid, aSignal);
  }
}

void ProcessGroup::reap()
{
  for (auto it = mRunning.begin(); it != mRunning.end();) {
    int status = 0;
    if (::waitpid(it->first, &status, WNOHANG) != it->first) {
      ++it;
      continue;
    }
    ProcessEnd end{ it->second.name, it->first, it->second.isEndExpected, -1, 0 };
    if (WIFSIGNALED(status)) {
      end.signal = WTERMSIG(status);
    } else {
      end.exitStatus = WEXITSTATUS(status);
    }
    mEnded[it->first] = end;
    mNewEnds.push_back(end);
    it = mRunning.erase(it);
  }
}

bool ProcessGroup::isRunning(pid_t aPid)
{
  reap();
  return mRunning.count(aPid) > 0;
}

std::optional<ProcessEnd> ProcessGroup::wait(pid_t aPid, Millis aTimeout)
{
  const TimePoint end = Clock::now() + aTimeout;
  while (isRunning(aPid) && Clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  const auto it = mEnded.find(aPid);
  return it == mEnded.end() ? std::nullopt : std::optional<ProcessEnd>(it->second);
}

std::vector<ProcessEnd> ProcessGroup::takeEnds()
{
  reap();
  return std::exchange(mNewEnds, {});
}

void ProcessGroup::endAll(Millis aGrace)
{
  const TimePoint end = Clock::now() + aGrace;
  reap();
  for (auto& [pid, child] : mRunning) {
    child.isEndExpected = true;
    if (aGrace.count() > 0) {
      ::kill(pid, SIGTERM);
      ::kill(pid, SIGCONT); // A stopped process handles SIGTERM only when it continues.
    }
  }
  while (runningCount() > 0 && Clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  for (const auto& [pid, child] : mRunning) {
    ::kill(pid, SIGKILL);
  }
  while (runningCount() > 0) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

std::size_t ProcessGroup::runningCount()
{
  reap();
  return mRunning.size();
}

} // namespace camphorcleat::harness
