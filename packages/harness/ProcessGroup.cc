// Spawning, signalling and reaping of child processes.

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

// Owns the file actions and attributes passed to posix_spawn.
class SpawnOptions
{
public:
  explicit SpawnOptions(const std::string& aOutputFile)
  {
    posix_spawn_file_actions_init(&actions);
    posix_spawnattr_init(&attributes);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, aOutputFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The child gets an empty signal mask and default dispositions, because it would inherit those
    // of the runner, and its own process group, so that Ctrl-C in the terminal signals only the
    // runner.
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
  ~SpawnOptions()
  {
    posix_spawn_file_actions_destroy(&actions);
    posix_spawnattr_destroy(&attributes);
  }
  SpawnOptions(const SpawnOptions&) = delete;
  SpawnOptions& operator=(const SpawnOptions&) = delete;

  posix_spawn_file_actions_t actions{};
  posix_spawnattr_t attributes{};
};

} // namespace

std::string ProcessExit::message() const
{
  return name + " (pid " + std::to_string(pid) + ") " +
         (signal != 0 ? "was terminated by signal " + std::to_string(signal)
                      : "exited with status " + std::to_string(exitStatus));
}

ProcessGroup::ProcessGroup(std::string aChildStarter)
  : mChildStarter(std::move(aChildStarter))
{
}

ProcessGroup::~ProcessGroup()
{
  terminateAll(Millis(0));
}

Result<pid_t> ProcessGroup::start(const ProcessSpec& aSpec)
{
  // Checked here because child-starter can report a missing program only through its exit status.
  if (::access(aSpec.program.c_str(), X_OK) != 0) {
    return fail(HarnessError{ aSpec.program + " can't be started: " + std::strerror(errno) });
  }
  std::vector<std::string> words{ mChildStarter, std::to_string(::getpid()), aSpec.program };
  words.insert(words.end(), aSpec.arguments.begin(), aSpec.arguments.end());
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (auto& it : words) {
    arguments.push_back(it.data());
  }
  arguments.push_back(nullptr);
  const SpawnOptions options(aSpec.outputFile);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, mChildStarter.c_str(), &options.actions, &options.attributes,
                                arguments.data(), environ);
  if (error != 0) {
    return fail(HarnessError{ aSpec.name + " can't be started by " + mChildStarter + ": " +
                              std::strerror(error) });
  }
  mExits.erase(pid); // The system may reuse a process id.
  mRunning[pid] = Child{ aSpec.name, false };
  return pid;
}

void ProcessGroup::signal(pid_t aPid, int aSignal)
{
  reap();
  const auto it = mRunning.find(aPid);
  // The process id of a child isn't reused before the child is reaped, so the signal can't reach
  // another process.
  if (it != mRunning.end()) {
    it->second.isExitRequested =
      it->second.isExitRequested || aSignal == SIGTERM || aSignal == SIGKILL || aSignal == SIGINT;
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
    ProcessExit processExit{ it->second.name, it->first, it->second.isExitRequested, -1, 0 };
    if (WIFSIGNALED(status)) {
      processExit.signal = WTERMSIG(status);
    } else {
      processExit.exitStatus = WEXITSTATUS(status);
    }
    mExits[it->first] = processExit;
    mUnreportedExits.push_back(processExit);
    it = mRunning.erase(it);
  }
}

bool ProcessGroup::isRunning(pid_t aPid)
{
  reap();
  return mRunning.count(aPid) > 0;
}

std::optional<ProcessExit> ProcessGroup::wait(pid_t aPid, Millis aTimeout)
{
  const TimePoint deadline = Clock::now() + aTimeout;
  while (isRunning(aPid) && Clock::now() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
  }
  const auto it = mExits.find(aPid);
  return it == mExits.end() ? std::nullopt : std::optional<ProcessExit>(it->second);
}

std::vector<ProcessExit> ProcessGroup::takeExits()
{
  reap();
  return std::exchange(mUnreportedExits, {});
}

void ProcessGroup::terminateAll(Millis aGrace)
{
  const TimePoint deadline = Clock::now() + aGrace;
  reap();
  for (auto& [pid, child] : mRunning) {
    child.isExitRequested = true;
    if (aGrace.count() > 0) {
      ::kill(pid, SIGTERM);
      ::kill(pid, SIGCONT); // A stopped process handles SIGTERM only after SIGCONT.
    }
  }
  while (runningCount() > 0 && Clock::now() < deadline) {
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
