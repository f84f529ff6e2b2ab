// Guards against child processes that outlive their test, ports allocated twice, and secrets that
// the scan of files misses.

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "harness/PortAllocator.h"
#include "harness/ProcessGroup.h"
#include "harness/SecretScan.h"

namespace camphorcleat::harness {
namespace {

constexpr Millis kExitTimeout{ 3000 };

const std::string& childStarterPath()
{
  static const std::string sPath =
    std::filesystem::read_symlink("/proc/self/exe").parent_path().string() + "/child-starter";
  return sPath;
}

ProcessSpec sleepCommand()
{
  return { "sleeper", "/bin/sleep", { "600" }, "/dev/null" };
}

// Returns whether a process is running. A zombie counts as ended, because an orphan stays a zombie
// until init reaps it.
bool isAlive(pid_t aPid)
{
  std::ifstream in("/proc/" + std::to_string(aPid) + "/stat");
  std::string stat;
  std::getline(in, stat);
  const auto name = stat.rfind(") ");
  return name != std::string::npos && stat[name + 2] != 'Z';
}

bool waitUntilGone(pid_t aPid)
{
  const TimePoint deadline = Clock::now() + kExitTimeout;
  while (isAlive(aPid) && Clock::now() < deadline) {
    std::this_thread::sleep_for(Millis(5));
  }
  return !isAlive(aPid);
}

} // namespace

TEST_CASE("the destructor kills and reaps all processes, stopped ones included")
{
  pid_t first = 0;
  pid_t second = 0;
  {
    ProcessGroup group(childStarterPath());
    first = group.start(sleepCommand()).value();
    second = group.start(sleepCommand()).value();
    group.signal(second, SIGSTOP);
    REQUIRE(group.runningCount() == 2);
    REQUIRE(isAlive(first));
  }
  REQUIRE_FALSE(isAlive(first));
  REQUIRE_FALSE(isAlive(second));
}

TEST_CASE("terminateAll sends SIGTERM, and SIGKILL to processes that ignore it")
{
  ProcessGroup group(childStarterPath());
  const pid_t pidHandlingTerm = group.start(sleepCommand()).value();
  const pid_t pidIgnoringTerm = group
                                  .start({ "stubborn",
                                           "/bin/sh",
                                           { "-c", "trap '' TERM; while :; do sleep 0.02; done" },
                                           "/dev/null" })
                                  .value();
  std::this_thread::sleep_for(Millis(100)); // The shell needs time to set its trap.
  group.terminateAll(Millis(150));
  REQUIRE(group.wait(pidHandlingTerm, Millis(0))->signal == SIGTERM);
  REQUIRE(group.wait(pidIgnoringTerm, Millis(0))->signal == SIGKILL);
}

TEST_CASE("processes are killed when their parent is killed")
{
  int pidPipe[2];
  REQUIRE(::pipe(pidPipe) == 0);
  const pid_t parent = ::fork();
  if (parent == 0) {
    ProcessGroup group(childStarterPath());
    const pid_t child = group.start(sleepCommand()).value();
    // Leaves the child time to request its parent-death signal and execute /bin/sleep.
    std::this_thread::sleep_for(Millis(200));
    if (::write(pidPipe[1], &child, sizeof(child)) != sizeof(child)) {
      ::_exit(1);
    }
    ::pause();
    ::_exit(0);
  }
  pid_t child = 0;
  REQUIRE(::read(pidPipe[0], &child, sizeof(child)) == sizeof(child));
  REQUIRE(isAlive(child));
  ::kill(parent, SIGKILL);
  ::waitpid(parent, nullptr, 0);
  REQUIRE(waitUntilGone(child));
  ::close(pidPipe[0]);
  ::close(pidPipe[1]);
}

TEST_CASE("an exit reports its status or signal, and whether it was requested")
{
  ProcessGroup group(childStarterPath());
  const pid_t failing =
    group.start({ "failing", "/bin/sh", { "-c", "exit 7" }, "/dev/null" }).value();
  const pid_t killed = group.start(sleepCommand()).value();
  REQUIRE(group.wait(failing, kExitTimeout)->exitStatus == 7);
  group.signal(killed, SIGKILL);
  REQUIRE(group.wait(killed, kExitTimeout)->signal == SIGKILL);
  const auto exits = group.takeExits();
  REQUIRE(exits.size() == 2);
  for (const auto& it : exits) {
    REQUIRE(it.wasRequested == (it.pid == killed));
  }
  REQUIRE(group.takeExits().empty());
  REQUIRE_FALSE(group.wait(group.start(sleepCommand()).value(), Millis(10)));
}

TEST_CASE("starting a program that doesn't exist fails with its path in the message")
{
  ProcessGroup group(childStarterPath());
  const std::string message = orElse(
    [&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(group.start({ "x", "/nonexistent/program", {}, "/dev/null" }));
      return std::string();
    },
    [](const ErrorInfo& aInfo) { return aInfo.message; });
  REQUIRE(message.find("/nonexistent/program") != std::string::npos);
  REQUIRE(group.runningCount() == 0);
}

TEST_CASE("two port allocators never return the same port")
{
  PortAllocator first;
  PortAllocator second;
  std::set<unsigned> ports;
  for (int i = 0; i < 150; ++i) {
    REQUIRE(ports.insert(first.allocate()->port()).second);
    REQUIRE(ports.insert(second.allocate()->port()).second);
  }
}

TEST_CASE("secrets are found in nested folders and across chunk boundaries")
{
  std::string folder =
    (std::filesystem::temp_directory_path() / "camphorcleat-scan-XXXXXX").string();
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  std::filesystem::create_directories(folder + "/a/b");
  std::ofstream(folder + "/a/b/log.txt") << "one hush two hush";
  std::ofstream(folder + "/a/clean.txt") << "nothing, hus h";
  // The secret starts 2 bytes before the end of the first chunk of 1 MiB.
  std::ofstream(folder + "/large.bin") << std::string((1U << 20U) - 2, 'x') + "hush";
  REQUIRE(countSecrets(folder, { "hush", "" }) == 3);
  REQUIRE(countSecrets(folder, { "absent" }) == 0);
  REQUIRE(countSecrets(folder + "/nowhere", { "hush" }) == 0);
  std::filesystem::remove_all(folder);
}

} // namespace camphorcleat::harness
