// Helpers of the review's scripts: processes, settings files, HTTP over plain sockets, the record.
//
// Uses the C++ and C libraries only. All addresses are loopback addresses.

#ifndef REVIEW_COMMON_2_RIG_H_
#define REVIEW_COMMON_2_RIG_H_

#include <arpa/inet.h>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

enum ExitCode
{
  kHeld = 0,
  kBroken = 1,
  kCouldNotRun = 2,
};

inline double secondsSinceStart()
{
  static const auto sStart = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - sStart).count();
}

inline void sleepSeconds(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

inline long long unixMillis()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

// The record of what was sent, answered and run, one line each. Thread-safe.
class Record
{
public:
  static Record& instance()
  {
    static Record sRecord;
    return sRecord;
  }
  void open(const std::string& aPath) { mFile = std::fopen(aPath.c_str(), "w"); }
  void write(const std::string& aLine)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mFile != nullptr) {
      std::fprintf(mFile, "%9.3f %s\n", secondsSinceStart(), aLine.c_str());
      std::fflush(mFile);
    }
  }

private:
  std::mutex mMutex;
  std::FILE* mFile = nullptr;
};

__attribute__((format(printf, 1, 2))) inline void note(const char* aFormat, ...)
{
  char buf[2048];
  va_list args;
  va_start(args, aFormat);
  std::vsnprintf(buf, sizeof(buf), aFormat, args);
  va_end(args);
  Record::instance().write(buf);
}

// Thrown if the case can't run. runCase() ends with kCouldNotRun then, after all destructors.
struct CouldNotRun
{
};

[[noreturn]] inline void cannotRun(const std::string& aReason)
{
  note("could not run: %s", aReason.c_str());
  std::fprintf(stderr, "could not run: %s\n", aReason.c_str());
  throw CouldNotRun();
}

// aArguments: the program and the path of the record.
inline int runCase(int aCount, char** aArguments, int (*aCase)())
{
  if (aCount != 2) {
    return kCouldNotRun;
  }
  Record::instance().open(aArguments[1]);
  try {
    return aCase();
  } catch (const CouldNotRun&) {
    return kCouldNotRun;
  }
}

// ---------------------------------------------------------------- HTTP

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message
{
  std::string startLine;
  Headers headers;
  std::string body;
  int status = 0;          // Of a response; 0: no response.
  bool isComplete = false; // Head and body were read to their end.

  std::string header(const std::string& aName) const
  {
    for (const auto& [name, value] : headers) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
};

inline sockaddr_in addressOf(const std::string& aIp, int aPort)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &out.sin_addr);
  return out;
}

// One TCP connection with a read buffer.
class Connection
{
public:
  explicit Connection(int aSocket = -1)
    : mSocket(aSocket)
  {
  }
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool connect(const std::string& aIp, int aPort, double aTimeout, const std::string& aFromIp = "")
  {
    mSocket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!aFromIp.empty()) {
      const sockaddr_in from = addressOf(aFromIp, 0);
      ::bind(mSocket, reinterpret_cast<const sockaddr*>(&from), sizeof(from));
    }
    const int one = 1;
    ::setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    const sockaddr_in to = addressOf(aIp, aPort);
    ::fcntl(mSocket, F_SETFL, O_NONBLOCK);
    if (::connect(mSocket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
      pollfd fd{ mSocket, POLLOUT, 0 };
      int error = 0;
      socklen_t size = sizeof(error);
      if (errno != EINPROGRESS || ::poll(&fd, 1, static_cast<int>(aTimeout * 1000)) <= 0 ||
          ::getsockopt(mSocket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        close();
        return false;
      }
    }
    return true;
  }

  bool isOpen() const { return mSocket >= 0; }
  int socket() const { return mSocket; }

  void close()
  {
    if (mSocket >= 0) {
      ::close(mSocket);
      mSocket = -1;
    }
  }

  void reset()
  {
    if (mSocket >= 0) {
      const linger abort{ 1, 0 };
      ::setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
      close();
    }
  }

  bool send(const std::string& aBytes, double aTimeout = 5)
  {
    const double until = secondsSinceStart() + aTimeout;
    std::size_t done = 0;
    while (done < aBytes.size()) {
      const ssize_t n =
        ::send(mSocket, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) {
        done += static_cast<std::size_t>(n);
        continue;
      }
      if (n < 0 && errno != EAGAIN && errno != EINTR) {
        return false;
      }
      pollfd fd{ mSocket, POLLOUT, 0 };
      const double left = until - secondsSinceStart();
      if (left <= 0 || ::poll(&fd, 1, static_cast<int>(left * 1000) + 1) < 0) {
        return false;
      }
    }
    return true;
  }

  // Reads one message. A response may end with its connection.
  Message read(double aTimeout, bool aIsResponse)
  {
    Message out;
    const double until = secondsSinceStart() + aTimeout;
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(until)) {
        return out;
      }
    }
    std::istringstream head(mBuffer.substr(0, end));
    std::getline(head, out.startLine);
    trim(out.startLine);
    std::string line;
    while (std::getline(head, line)) {
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::string value = line.substr(colon + 1);
        trim(value);
        out.headers.emplace_back(line.substr(0, colon), value);
      }
    }
    mBuffer.erase(0, end + 4);
    if (aIsResponse && out.startLine.size() > 9) {
      out.status = std::atoi(out.startLine.c_str() + 9);
    }
    const std::string length = out.header("Content-Length");
    if (!length.empty()) {
      out.isComplete = take(std::strtoull(length.c_str(), nullptr, 10), until, out.body);
    } else if (strcasecmp(out.header("Transfer-Encoding").c_str(), "chunked") == 0) {
      out.isComplete = readChunks(until, out.body);
    } else if (aIsResponse && out.status != 204 && out.status != 304) {
      while (fill(until)) {
      }
      out.body = std::move(mBuffer);
      mBuffer.clear();
      out.isComplete = mHasEnded;
    } else {
      out.isComplete = true;
    }
    return out;
  }

  bool hasEnded() const { return mHasEnded; }

private:
  static void trim(std::string& aText)
  {
    while (!aText.empty() && (aText.back() == '\r' || aText.back() == ' ')) {
      aText.pop_back();
    }
    aText.erase(0, std::min(aText.find_first_not_of(' '), aText.size()));
  }

  bool fill(double aUntil)
  {
    while (true) {
      const double left = aUntil - secondsSinceStart();
      if (left <= 0) {
        return false;
      }
      pollfd fd{ mSocket, POLLIN, 0 };
      if (::poll(&fd, 1, static_cast<int>(left * 1000) + 1) <= 0) {
        continue;
      }
      char buf[65536];
      const ssize_t n = ::recv(mSocket, buf, sizeof(buf), MSG_DONTWAIT);
      if (n > 0) {
        mBuffer.append(buf, static_cast<std::size_t>(n));
        return true;
      }
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        continue;
      }
      mHasEnded = n == 0;
      return false;
    }
  }

  bool take(std::size_t aBytes, double aUntil, std::string& aOut)
  {
    while (mBuffer.size() < aBytes) {
      if (!fill(aUntil)) {
        return false;
      }
    }
    aOut += mBuffer.substr(0, aBytes);
    mBuffer.erase(0, aBytes);
    return true;
  }

  bool readChunks(double aUntil, std::string& aOut)
  {
    while (true) {
      std::size_t end = 0;
      while ((end = mBuffer.find("\r\n")) == std::string::npos) {
        if (!fill(aUntil)) {
          return false;
        }
      }
      const std::size_t size = std::strtoull(mBuffer.c_str(), nullptr, 16);
      mBuffer.erase(0, end + 2);
      std::string crlf;
      if (!take(size, aUntil, aOut) || !take(2, aUntil, crlf)) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
  }

  int mSocket;
  std::string mBuffer;
  bool mHasEnded = false;
};

inline std::string requestText(const std::string& aMethod, const std::string& aPath,
                               const std::string& aHost, const Headers& aHeaders,
                               const std::string& aBody)
{
  std::string out = aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    out += name + ": " + value + "\r\n";
  }
  if (!aBody.empty() || aMethod == "PUT") {
    out += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return out + "\r\n" + aBody;
}

// Sends one request on a new connection.
inline Message call(const std::string& aIp, int aPort, const std::string& aMethod,
                    const std::string& aPath, const Headers& aHeaders, const std::string& aBody,
                    double aTimeout, const std::string& aHost = "")
{
  Connection connection;
  Message out;
  if (!connection.connect(aIp, aPort, std::min(aTimeout, 1.0))) {
    return out;
  }
  const std::string host = aHost.empty() ? aIp + ":" + std::to_string(aPort) : aHost;
  if (!connection.send(requestText(aMethod, aPath, host, aHeaders, aBody), aTimeout)) {
    return out;
  }
  return connection.read(aTimeout, true);
}

// ---------------------------------------------------------------- Processes

inline std::string readFile(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

inline std::string fill(std::string aTemplate, const std::map<std::string, std::string>& aValues)
{
  for (const auto& [name, value] : aValues) {
    const std::string placeholder = "{{" + name + "}}";
    for (std::size_t at = 0; (at = aTemplate.find(placeholder, at)) != std::string::npos;) {
      aTemplate.replace(at, placeholder.size(), value);
      at += value.size();
    }
  }
  if (aTemplate.find("{{") != std::string::npos) {
    cannotRun("a template has a placeholder without a value:\n" + aTemplate);
  }
  return aTemplate;
}

// The program of the run line of a role in deploy/system.toml; its settings file is --config.
inline std::string programOf(const std::string& aRole)
{
  std::istringstream in(readFile("deploy/system.toml"));
  std::string line;
  bool isRole = false;
  while (std::getline(in, line)) {
    if (!line.empty() && line.front() == '[') {
      isRole = line == "[roles." + aRole + "]";
    } else if (isRole && line.rfind("run = \"", 0) == 0) {
      const std::size_t begin = line.find('"') + 1;
      return line.substr(begin, line.find(' ', begin) - begin);
    }
  }
  cannotRun("deploy/system.toml has no role " + aRole);
}

// A process that ends the daemons and removes the folder when the case itself ends, also if that was
// killed. It learns of them through a pipe, whose other end only the case holds.
class Guard
{
public:
  static Guard& instance()
  {
    static Guard sGuard;
    return sGuard;
  }
  void start(const std::string& aFolder)
  {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) {
      cannotRun("no pipe");
    }
    mPid = ::fork();
    if (mPid == 0) {
      ::setsid();
      ::close(ends[1]);
      std::set<pid_t> running;
      for (pid_t it = 0; ::read(ends[0], &it, sizeof(it)) == sizeof(it);) {
        if (it > 0) {
          running.insert(it);
        } else {
          running.erase(-it);
        }
      }
      for (const pid_t it : running) {
        ::kill(it, SIGKILL);
      }
      ::usleep(200'000);
      std::error_code ec;
      std::filesystem::remove_all(aFolder, ec);
      ::_exit(0);
    }
    ::close(ends[0]);
    mPipe = ends[1];
  }
  void started(pid_t aPid) { write(aPid); }
  void ended(pid_t aPid) { write(-aPid); }
  void stop()
  {
    ::close(mPipe);
    ::waitpid(mPid, nullptr, 0);
  }

private:
  void write(pid_t aPid)
  {
    if (::write(mPipe, &aPid, sizeof(aPid)) != sizeof(aPid)) {
      cannotRun("the guard has ended");
    }
  }
  pid_t mPid = 0;
  int mPipe = -1;
};

class Process
{
public:
  void start(const std::vector<std::string>& aWords, const std::string& aLog,
             const std::string& aSettings)
  {
    std::vector<char*> words;
    for (const auto& it : aWords) {
      words.push_back(const_cast<char*>(it.c_str()));
    }
    words.push_back(nullptr);
    const std::string variable = "CAMPHORCLEAT_NODE_FILE=" + aSettings;
    const std::string path = std::string("PATH=") + (getenv("PATH") ? getenv("PATH") : "");
    std::vector<char*> environment = { const_cast<char*>(variable.c_str()),
                                       const_cast<char*>(path.c_str()), nullptr };
    mPid = ::fork();
    if (mPid == 0) {
      const int log = ::open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execve(words[0], words.data(), environment.data());
      ::_exit(127);
    }
    Guard::instance().started(mPid);
  }
  bool isRunning()
  {
    if (mPid <= 0) {
      return false;
    }
    int status = 0;
    if (::waitpid(mPid, &status, WNOHANG) == mPid) {
      Guard::instance().ended(mPid);
      mStatus = status;
      mPid = 0;
    }
    return mPid > 0;
  }
  void signal(int aSignal)
  {
    if (isRunning()) {
      ::kill(mPid, aSignal);
    }
  }
  bool waitEnd(double aTimeout)
  {
    const double until = secondsSinceStart() + aTimeout;
    while (isRunning() && secondsSinceStart() < until) {
      sleepSeconds(0.005);
    }
    return !isRunning();
  }
  void kill()
  {
    signal(SIGKILL);
    waitEnd(5);
  }
  int status() const { return mStatus; }

private:
  pid_t mPid = 0;
  int mStatus = 0;
};

// ---------------------------------------------------------------- Machines

struct Ports
{
  int control = 0;
  int outbound = 0;
  int readiness = 0;
  int peers = 0;
  int app = 0;
  int metrics = 0;
};

// One machine of the deployment with the daemon of its role.
struct Machine
{
  std::string name;
  std::string ip;
  std::string zone;
  std::string service; // Empty on a core machine.
  Process process;
  bool isCore() const { return service.empty(); }
};

class Deployment
{
public:
  Deployment()
  {
    char folder[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(folder) == nullptr) {
      cannotRun("no temporary folder");
    }
    mFolder = folder;
    Guard::instance().start(mFolder);
    mSubnet = "127." + std::to_string(20 + ::getpid() % 200) + "." +
              std::to_string(::getpid() / 200 % 250) + ".";
    for (int* port : { &ports.control, &ports.outbound, &ports.readiness, &ports.peers, &ports.app,
                       &ports.metrics }) {
      *port = freePort();
    }
  }
  ~Deployment()
  {
    for (auto& it : mMachines) {
      it->process.signal(SIGTERM);
    }
    sleepSeconds(0.05);
    for (auto& it : mMachines) {
      it->process.kill();
    }
    std::error_code ec;
    if (getenv("KEEP_LOGS") != nullptr) {
      std::filesystem::create_directories(getenv("KEEP_LOGS"), ec);
      for (const auto& it : std::filesystem::directory_iterator(mFolder)) {
        if (it.path().extension() == ".log") {
          std::filesystem::copy_file(it.path(),
                                     std::filesystem::path(getenv("KEEP_LOGS")) /
                                       it.path().filename(),
                                     std::filesystem::copy_options::overwrite_existing, ec);
        }
      }
    }
    std::filesystem::remove_all(mFolder, ec);
    Guard::instance().stop();
  }

  Machine& add(const std::string& aName, const std::string& aZone, const std::string& aService)
  {
    mMachines.push_back(std::make_unique<Machine>());
    Machine& out = *mMachines.back();
    out.name = aName;
    out.zone = aZone;
    out.service = aService;
    out.ip = mSubnet + std::to_string(mMachines.size());
    return out;
  }

  // Writes the settings and starts the machine's daemon.
  void start(Machine& aMachine, const std::vector<Machine*>& aSeeds, bool aIsBootstrap)
  {
    std::string seeds;
    for (const Machine* it : aSeeds) {
      seeds += (seeds.empty() ? "" : ",") + it->ip + ":" + std::to_string(ports.control);
    }
    const auto here = [&](int aPort) { return aMachine.ip + ":" + std::to_string(aPort); };
    const std::string role = aMachine.isCore() ? "control" : "node";
    const std::string dataFolder = pathOf(aMachine, ".data");
    std::string text = fill(readFile("deploy/" + role + ".ini"),
                            { { "zone", aMachine.zone },
                              { "ip", aMachine.ip },
                              { "service", aMachine.service },
                              { "port_range.0", std::to_string(ports.peers) },
                              { "listen.control", here(ports.control) },
                              { "listen.outbound", here(ports.outbound) },
                              { "listen.readiness", here(ports.readiness) },
                              { "app_addr", here(ports.app) },
                              { "seed_nodes", seeds },
                              { "bootstrap", aIsBootstrap ? "true" : "false" },
                              { "data_dir", dataFolder },
                              { "bounds.quota_window_s", "5" },
                              { "bounds.grace_s", "6" } });
    std::filesystem::create_directories(dataFolder);
    std::ofstream(pathOf(aMachine, ".ini")) << text;
    aMachine.process.start({ programOf(role), "--config", pathOf(aMachine, ".ini") },
                           pathOf(aMachine, ".log"), pathOf(aMachine, ".ini"));
    note("%s (%s, zone %s) started, bootstrap %s", aMachine.name.c_str(), aMachine.ip.c_str(),
         aMachine.zone.c_str(), aIsBootstrap ? "true" : "false");
  }

  void loseDisk(const Machine& aMachine)
  {
    std::filesystem::remove_all(pathOf(aMachine, ".data"));
  }

  std::string log(const Machine& aMachine) const { return readFile(pathOf(aMachine, ".log")); }

  std::string pathOf(const Machine& aMachine, const std::string& aSuffix) const
  {
    return mFolder + "/" + aMachine.name + aSuffix;
  }

  Ports ports;

private:
  static int freePort()
  {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = addressOf("0.0.0.0", 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
  }

  std::string mFolder;
  std::string mSubnet;
  std::vector<std::unique_ptr<Machine>> mMachines;
};

// ---------------------------------------------------------------- Operator

// Sends an order to one core machine after the other until one gives a clear answer.
inline int order(const Deployment& aDeployment, const std::vector<Machine*>& aCore,
                 const std::string& aPath, const std::string& aBase, const std::string& aBody,
                 double aTimeout)
{
  const double until = secondsSinceStart() + aTimeout;
  double pause = 0.05;
  for (std::size_t i = 0; secondsSinceStart() < until; ++i) {
    const Machine& to = *aCore[i % aCore.size()];
    Headers headers = { { "Content-Type", "application/json" } };
    if (!aBase.empty()) {
      headers.emplace_back("Base-Version", aBase);
    }
    const Message answer =
      call(to.ip, aDeployment.ports.control, "POST", aPath, headers, aBody, 1.0);
    note("operator: POST %s (base %s) to %s: %d", aPath.c_str(), aBase.c_str(), to.name.c_str(),
         answer.status);
    const int s = answer.status;
    if (s / 100 == 2 || s == 400 || s == 409 || s == 412 || s == 413 || s == 422) {
      return s;
    }
    sleepSeconds(pause);
    pause = std::min(pause * 1.5, 0.5);
  }
  return 0;
}

} // namespace rig

#endif // REVIEW_COMMON_2_RIG_H_
