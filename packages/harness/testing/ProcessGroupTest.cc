// Guards against processes that outlive their test.

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

constexpr Millis kSoon{ 3000 };

const std::string& starter()
{
  static const std::string sPath =
    std::filesystem::read_symlink("/proc/self/exe").parent_path().string() + "/child-starter";
  return sPath;
}

ProcessSpec sleeper()
{
  return { "sleeper", "/bin/sleep", { "600" }, "/dev/null" };
}

// Whether a process runs. A zombie has ended: an orphan stays one until init reaps it.
bool exists(pid_t aPid)
{
  std::ifstream in("/proc/" + std::to_string(aPid) + "/stat");
  std::string stat;
  std::getline(in, stat);
  const auto name = stat.rfind(") ");
  return name != std::string::npos && stat[name + 2] != 'Z';
}

bool vanishes(pid_t aPid)
{
  const TimePoint end = Clock::now() + kSoon;
  while (exists(aPid) && Clock::now() < end) {
    std::this_thread::sleep_for(Millis(5));
  }
  return !exists(aPid);
}

} // namespace

TEST_CASE("the end of the group ends and reaps its processes, stopped ones too")
{
  pid_t first = 0;
  pid_t second = 0;
  {
    ProcessGroup group(starter());
    first = group.start(sleeper()).value();
    second = group.start(sleeper()).value();
    group.signal(second, SIGSTOP);
    REQUIRE(group.runningCount() == 2);
    REQUIRE(exists(first));
  }
  REQUIRE_FALSE(exists(first));
  REQUIRE_FALSE(exists(second));
}

TEST_CASE("endAll lets processes end by themselves, and kills those that ignore it")
{
  ProcessGroup group(starter());
  const pid_t polite = group.start(sleeper()).value();
  const pid_t stubborn = group
                           .start({ "stubborn",
                                    "/bin/sh",
                                    { "-c", "trap '' TERM; while :; do sleep 0.02; done" },
                                    "/dev/null" })
                           .value();
  std::this_thread::sleep_for(Millis(100)); // The shell must have set its trap.
  group.terminateAll(Millis(150));
  REQUIRE(group.wait(polite, Millis(0))->signal == SIGTERM);
  REQUIRE(group.wait(stubborn, Millis(0))->signal == SIGKILL);
}

TEST_CASE("processes end with their parent even if it is killed")
{
  int report[2];
  REQUIRE(::pipe(report) == 0);
  const pid_t parent = ::fork();
  if (parent == 0) {
    ProcessGroup group(starter());
    const pid_t child = group.start(sleeper()).value();
    // The child must have become /bin/sleep, so that the parent's death finds it prepared.
    std::this_thread::sleep_for(Millis(200));
    if (::write(report[1], &child, sizeof(child)) != sizeof(child)) {
      ::_exit(1);
    }
    ::pause();
    ::_exit(0);
  }
  pid_t child = 0;
  REQUIRE(::read(report[0], &child, sizeof(child)) == sizeof(child));
  REQUIRE(exists(child));
  ::kill(parent, SIGKILL);
  ::waitpid(parent, nullptr, 0);
  REQUIRE(vanishes(child));
  ::close(report[0]);
  ::close(report[1]);
}

TEST_CASE("an end tells whether it was asked for, and how")
{
  ProcessGroup group(starter());
  const pid_t failing =
    group.start({ "failing", "/bin/sh", { "-c", "exit 7" }, "/dev/null" }).value();
  const pid_t killed = group.start(sleeper()).value();
  REQUIRE(group.wait(failing, kSoon)->exitStatus == 7);
  group.signal(killed, SIGKILL);
  REQUIRE(group.wait(killed, kSoon)->signal == SIGKILL);
  const auto ends = group.takeExits();
  REQUIRE(ends.size() == 2);
  for (const auto& it : ends) {
    REQUIRE(it.wasRequested == (it.pid == killed));
  }
  REQUIRE(group.takeExits().empty());
  REQUIRE_FALSE(group.wait(group.start(sleeper()).value(), Millis(10)));
}

TEST_CASE("a program that doesn't exist is a failure that names it")
{
  ProcessGroup group(starter());
  const std::string message = orElse(
    [&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(group.start({ "x", "/nonexistent/program", {}, "/dev/null" }));
      return std::string();
    },
    [](const ErrorInfo& aInfo) { return aInfo.message; });
  REQUIRE(message.find("/nonexistent/program") != std::string::npos);
  REQUIRE(group.runningCount() == 0);
}

TEST_CASE("two port blocks never hand out the same port")
{
  PortAllocator first;
  PortAllocator second;
  std::set<unsigned> ports;
  for (int i = 0; i < 150; ++i) {
    REQUIRE(ports.insert(first.allocate()->port()).second);
    REQUIRE(ports.insert(second.allocate()->port()).second);
  }
}

TEST_CASE("secrets are found in files of any depth and across pieces")
{
  std::string folder =
    (std::filesystem::temp_directory_path() / "camphorcleat-scan-XXXXXX").string();
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  std::filesystem::create_directories(folder + "/a/b");
  std::ofstream(folder + "/a/b/log.txt") << "one hush two hush";
  std::ofstream(folder + "/a/clean.txt") << "nothing, hus h";
  // Starts 2 bytes before the end of the first piece of 1 MiB.
  std::ofstream(folder + "/large.bin") << std::string((1U << 20U) - 2, 'x') + "hush";
  REQUIRE(countSecrets(folder, { "hush", "" }) == 3);
  REQUIRE(countSecrets(folder, { "absent" }) == 0);
  REQUIRE(countSecrets(folder + "/nowhere", { "hush" }) == 0);
  std::filesystem::remove_all(folder);
}

} // namespace camphorcleat::harness
