// Implementation of the stand-ins.

#include "Platform.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stand {

namespace {

std::ofstream sRecord;
std::mutex sRecordMutex;

const std::chrono::steady_clock::time_point sStart = std::chrono::steady_clock::now();

std::mt19937_64& random()
{
  static thread_local std::mt19937_64 sRandom(std::random_device{}());
  return sRandom;
}

std::string lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(),
                 [](unsigned char aC) { return static_cast<char>(std::tolower(aC)); });
  return aText;
}

sockaddr_in endpointOf(const std::string& aAddress)
{
  sockaddr_in out = {};
  const auto colon = aAddress.rfind(':');
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(std::atoi(aAddress.c_str() + colon + 1)));
  if (inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &out.sin_addr) != 1 ||
      (ntohl(out.sin_addr.s_addr) >> 24U) != 127) {
    throw CannotRun{ "not a loopback address: " + aAddress };
  }
  return out;
}

bool isFree(const std::string& aAddress)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = endpointOf(aAddress);
  const bool isOk = ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
  ::close(fd);
  return isOk;
}

std::string readText(const std::string& aPath)
{
  std::ifstream in(aPath);
  std::stringstream out;
  out << in.rdbuf();
  if (!in) {
    throw CannotRun{ "can't read " + aPath };
  }
  return out.str();
}

void replaceAll(std::string& aText, const std::string& aFrom, const std::string& aTo)
{
  for (std::size_t at = aText.find(aFrom); at != std::string::npos;
       at = aText.find(aFrom, at + aTo.size())) {
    aText.replace(at, aFrom.size(), aTo);
  }
}

} // namespace

double now()
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - sStart).count();
}

void sleepFor(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

std::int64_t unixMillis()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string randomId(const std::string& aPrefix)
{
  char buf[32];
  std::snprintf(buf, sizeof(buf), "%016llx", static_cast<unsigned long long>(random()()));
  return aPrefix + buf;
}

void openRecord(const std::string& aPath)
{
  sRecord.open(aPath, std::ios::trunc);
}

void record(const std::string& aLine)
{
  char buf[32];
  std::snprintf(buf, sizeof(buf), "%9.3f ", now());
  const std::lock_guard<std::mutex> lock(sRecordMutex);
  sRecord << buf << aLine << std::endl;
}

std::string headerOf(const Headers& aHeaders, const std::string& aName)
{
  for (const auto& it : aHeaders) {
    if (lower(it.first) == lower(aName)) {
      return it.second;
    }
  }
  return {};
}

std::string trim(const std::string& aText)
{
  const auto from = aText.find_first_not_of(" \t\r\n");
  const auto to = aText.find_last_not_of(" \t\r\n");
  return from == std::string::npos ? std::string() : aText.substr(from, to - from + 1);
}

bool isTroubled()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Connections.

Connection::~Connection()
{
  if (mFd >= 0) {
    ::close(mFd);
  }
}

std::unique_ptr<Connection> Connection::dial(const std::string& aAddress, double aTimeout)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto out = std::make_unique<Connection>(fd);
  const sockaddr_in to = endpointOf(aAddress);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    pollfd wait{ fd, POLLOUT, 0 };
    int error = errno;
    if (error != EINPROGRESS || ::poll(&wait, 1, static_cast<int>(aTimeout * 1000)) <= 0) {
      return nullptr;
    }
    socklen_t size = sizeof(error);
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      return nullptr;
    }
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int yes = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  return out;
}

bool Connection::send(const std::string& aBytes)
{
  std::size_t done = 0;
  while (done < aBytes.size()) {
    const ssize_t n = ::send(mFd, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(n);
  }
  return true;
}

bool Connection::fill(double aUntil)
{
  const double left = aUntil - now();
  pollfd wait{ mFd, POLLIN, 0 };
  if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0) {
    return false;
  }
  char buf[65536];
  const ssize_t n = ::recv(mFd, buf, sizeof(buf), 0);
  mWasReset = mWasReset || n < 0;
  if (n <= 0) {
    return false;
  }
  mBuffer.append(buf, static_cast<std::size_t>(n));
  return true;
}

bool Connection::readLine(std::string& aLine, double aUntil)
{
  std::size_t end;
  while ((end = mBuffer.find('\n')) == std::string::npos) {
    if (!fill(aUntil)) {
      return false;
    }
  }
  aLine = mBuffer.substr(0, end);
  mBuffer.erase(0, end + 1);
  if (!aLine.empty() && aLine.back() == '\r') {
    aLine.pop_back();
  }
  return true;
}

bool Connection::readBytes(std::size_t aCount, std::string& aOut, double aUntil)
{
  while (mBuffer.size() < aCount) {
    if (!fill(aUntil)) {
      return false;
    }
  }
  aOut += mBuffer.substr(0, aCount);
  mBuffer.erase(0, aCount);
  return true;
}

bool Connection::readToEnd(std::string& aOut, double aUntil)
{
  while (fill(aUntil)) {
  }
  aOut += mBuffer;
  mBuffer.clear();
  return !mWasReset && now() < aUntil;
}

void Connection::shutdownBoth()
{
  ::shutdown(mFd, SHUT_RDWR);
}

void Connection::reset()
{
  const linger off{ 1, 0 };
  ::setsockopt(mFd, SOL_SOCKET, SO_LINGER, &off, sizeof(off));
  ::close(mFd);
  mFd = -1;
}

bool readHead(Connection& aConnection, bool aIsResponse, Message& aOut, double aUntil)
{
  do {
    aOut = Message();
    if (!aConnection.readLine(aOut.first, aUntil)) {
      return false;
    }
    std::istringstream first(aOut.first);
    if (aIsResponse) {
      std::string version;
      first >> version >> aOut.status;
      if (version.compare(0, 5, "HTTP/") != 0) {
        aOut.status = 0;
        return false;
      }
    } else {
      first >> aOut.method >> aOut.path;
    }
    std::string line;
    while (true) {
      if (!aConnection.readLine(line, aUntil)) {
        return false;
      }
      if (line.empty()) {
        break;
      }
      const auto colon = line.find(':');
      aOut.headers.emplace_back(trim(line.substr(0, colon)), trim(line.substr(colon + 1)));
    }
  } while (aIsResponse && aOut.status >= 100 && aOut.status < 200);
  return true;
}

bool readBody(Connection& aConnection, bool aIsResponse, Message& aOut, double aUntil)
{
  const std::string length = headerOf(aOut.headers, "Content-Length");
  if (lower(headerOf(aOut.headers, "Transfer-Encoding")) == "chunked") {
    std::string line;
    while (aConnection.readLine(line, aUntil)) {
      const std::size_t n = std::strtoul(line.c_str(), nullptr, 16);
      if (n > 0 && !aConnection.readBytes(n, aOut.body, aUntil)) {
        return false;
      }
      if (!aConnection.readLine(line, aUntil)) {
        return false;
      }
      if (n == 0) {
        aOut.isComplete = true;
        return true;
      }
    }
    return false;
  }
  if (!length.empty()) {
    aOut.isComplete =
      aConnection.readBytes(std::strtoul(length.c_str(), nullptr, 10), aOut.body, aUntil);
    return aOut.isComplete;
  }
  if (aIsResponse && aOut.status != 204 && aOut.status != 304) {
    aOut.isComplete = aConnection.readToEnd(aOut.body, aUntil);
    return aOut.isComplete;
  }
  aOut.isComplete = true;
  return true;
}

Message call(const std::string& aAddress, const std::string& aMethod, const std::string& aPath,
             const Headers& aHeaders, const std::string& aBody, double aTimeout)
{
  const double until = now() + aTimeout;
  Message out;
  const auto connection = Connection::dial(aAddress, std::min(aTimeout, 1.0));
  if (!connection) {
    return out;
  }
  std::string text = aMethod + " " + aPath + " HTTP/1.1\r\n";
  bool hasHost = false;
  for (const auto& it : aHeaders) {
    text += it.first + ": " + it.second + "\r\n";
    hasHost = hasHost || lower(it.first) == "host";
  }
  if (!hasHost) {
    text += "Host: " + aAddress + "\r\n";
  }
  if (aMethod != "GET" || !aBody.empty()) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  text += "\r\n" + aBody;
  if (!connection->send(text) || !readHead(*connection, true, out, until) ||
      !readBody(*connection, true, out, until)) {
    out.isComplete = false;
  }
  return out;
}

// Daemons.

Ports Deployment::ports;
std::string Deployment::folder;
std::string Deployment::program;
std::string Deployment::deployFolder;

Daemon::Daemon(std::string aName, std::string aIp, bool aIsCore, std::string aZone,
               std::string aService)
  : name(std::move(aName))
  , ip(std::move(aIp))
  , isCore(aIsCore)
  , zone(std::move(aZone))
  , service(std::move(aService))
{
}

void Daemon::writeSettings(const std::vector<std::string>& aSeeds, bool aBootstrap)
{
  const Ports& ports = Deployment::ports;
  std::string seeds;
  for (const auto& it : aSeeds) {
    seeds += (seeds.empty() ? "" : ",") + it;
  }
  std::string text =
    readText(Deployment::deployFolder + (isCore ? "/control.ini" : "/node.ini"));
  const std::vector<std::pair<std::string, std::string>> values = {
    { "{{zone}}", zone },
    { "{{service}}", service },
    { "{{ip}}", ip },
    { "{{port_range.0}}", std::to_string(ports.peers) },
    { "{{listen.control}}", address(ports.control) },
    { "{{listen.outbound}}", address(ports.outbound) },
    { "{{listen.readiness}}", address(ports.readiness) },
    { "{{app_addr}}", address(ports.app) },
    { "{{seed_nodes}}", seeds },
    { "{{bootstrap}}", aBootstrap ? "true" : "false" },
    { "{{data_dir}}", Deployment::folder + "/" + name },
    { "{{bounds.quota_window_s}}", "5" },
    { "{{bounds.grace_s}}", "6" },
    { "{{limits.cpu_share}}", isCore ? "0.6" : "0.2" },
    { "{{limits.link_mbps}}", "1000" },
  };
  for (const auto& it : values) {
    replaceAll(text, it.first, it.second);
  }
  if (text.find("{{") != std::string::npos) {
    throw CannotRun{ "a placeholder of the template is unknown" };
  }
  std::ofstream(Deployment::folder + "/" + name + ".json") << text;
}

void Daemon::start()
{
  if (isCore) {
    ::mkdir((Deployment::folder + "/" + name).c_str(), 0750);
  }
  const std::string config = Deployment::folder + "/" + name + ".json";
  const std::string log =
    Deployment::folder + "/" + name + "-" + std::to_string(++mStarts) + ".log";
  mPid = ::fork();
  if (mPid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    ::setenv("CAMPHORCLEAT_NODE_FILE", config.c_str(), 1);
    ::execl(Deployment::program.c_str(), Deployment::program.c_str(), "--config", config.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  record("process " + name + " (" + ip + ") started, start " + std::to_string(mStarts));
}

void Daemon::kill(int aSignal)
{
  if (mPid > 0) {
    record("signal " + std::to_string(aSignal) + " to " + name);
    ::kill(mPid, aSignal);
  }
}

bool Daemon::awaitEnd(double aTimeout)
{
  const double until = now() + aTimeout;
  while (isRunning()) {
    if (now() >= until) {
      return false;
    }
    sleepFor(0.01);
  }
  return true;
}

bool Daemon::isRunning()
{
  if (mPid <= 0) {
    return false;
  }
  int status = 0;
  if (::waitpid(mPid, &status, WNOHANG) == mPid) {
    record("process " + name + " ended, status " +
           std::to_string(WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status)));
    mPid = -1;
  }
  return mPid > 0;
}

// Servers.

Server::Server(Options aOptions)
  : mOptions(std::move(aOptions))
  , mHolds(65536)
  , mSeenFence(65536)
{
  if (mOptions.id.empty()) {
    mOptions.id = randomId("i-").substr(0, 12);
  }
}

Server::~Server()
{
  stop();
}

void Server::start()
{
  mBorn = unixMillis();
  mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  ::setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  const sockaddr_in at = endpointOf(mOptions.address);
  if (::bind(mListener, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
      ::listen(mListener, 256) != 0) {
    throw CannotRun{ "can't listen at " + mOptions.address };
  }
  mIsUp = true;
  turnCold(mOptions.warmUpSeconds);
  record("server " + mOptions.id + " started at " + mOptions.address);
  mAcceptThread = std::thread([this] { acceptLoop(); });
  mBeatThread = std::thread([this] { beatLoop(); });
}

void Server::stop()
{
  if (!mIsUp.exchange(false)) {
    return;
  }
  record("server " + mOptions.id + " ends");
  ::shutdown(mListener, SHUT_RDWR);
  mAcceptThread.join();
  ::close(mListener);
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const auto& it : mConnections) {
      if (const auto connection = it.lock()) {
        connection->shutdownBoth();
      }
    }
  }
  while (mOpen > 0) {
    sleepFor(0.005);
  }
  mBeatThread.join();
  const std::lock_guard<std::mutex> lock(mMutex);
  std::fill(mHolds.begin(), mHolds.end(), Hold());
}

void Server::setState(const std::string& aState)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mState = aState;
  mMustBeatSoon = true;
}

void Server::turnCold(double aSeconds)
{
  mColdUntil = now() + aSeconds;
}

bool Server::deregister(double aTimeout)
{
  const Message out =
    call(mOptions.control, "POST", "/Instances.Deregister/" + mOptions.id,
         { { "Content-Type", "application/json" } }, "{\"born\":" + std::to_string(mBorn) + "}",
         aTimeout);
  record("server " + mOptions.id + " deregisters: " + std::to_string(out.status));
  return out.status >= 200 && out.status < 300;
}

Hold Server::holdOf(unsigned aKey) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Hold& hold = mHolds[aKey];
  return mIsUp && hold.until > now() ? hold : Hold();
}

std::size_t Server::heldKeys() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const double at = now();
  return static_cast<std::size_t>(std::count_if(
    mHolds.begin(), mHolds.end(), [&](const Hold& aHold) { return aHold.until > at; }));
}

std::map<std::string, int> Server::runs() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRuns;
}

void Server::acceptLoop()
{
  while (mIsUp) {
    const int fd = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      if (!mIsUp) {
        return;
      }
      continue;
    }
    const int yes = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    const auto connection = std::make_shared<Connection>(fd);
    const std::lock_guard<std::mutex> lock(mMutex);
    mConnections.erase(std::remove_if(mConnections.begin(), mConnections.end(),
                                      [](const auto& aIt) { return aIt.expired(); }),
                       mConnections.end());
    mConnections.push_back(connection);
    ++mOpen;
    std::thread([this, connection] {
      serve(connection);
      --mOpen;
    }).detach();
  }
}

void Server::serve(std::shared_ptr<Connection> aConnection)
{
  while (mIsUp) {
    Message request;
    if (!readHead(*aConnection, false, request, now() + 10)) {
      return; // Idle connections are closed after 10 s.
    }
    const bool isKept = handler ? handler(*this, *aConnection, request)
                                : handleDefault(*aConnection, request);
    if (!isKept) {
      return;
    }
  }
}

bool Server::handleDefault(Connection& aConnection, Message& aRequest)
{
  if (!readBody(aConnection, false, aRequest, now() + 10)) {
    return false;
  }
  const std::string target = headerOf(aRequest.headers, "Target-Instance");
  if (!target.empty() && target != mOptions.id) {
    return refuse(aConnection, aRequest, 421);
  }
  if (mOptions.isKeyed) {
    const unsigned key =
      static_cast<unsigned>(std::atoi(headerOf(aRequest.headers, "Shard-Key").c_str())) % 65536;
    if (holdOf(key).until == 0) {
      return refuse(aConnection, aRequest, 421);
    }
  }
  recordRun(aRequest);
  sleepFor(mOptions.workSeconds);
  return answer(aConnection, aRequest, "done " + headerOf(aRequest.headers, "Attempt-Id"));
}

void Server::recordRun(const Message& aRequest)
{
  const std::string attempt = headerOf(aRequest.headers, "Attempt-Id");
  const std::lock_guard<std::mutex> lock(mMutex);
  const int times = ++mRuns[attempt];
  record("server " + mOptions.id + " runs " + attempt + " " + aRequest.method + " " +
         aRequest.path + " key " + headerOf(aRequest.headers, "Shard-Key") +
         (times > 1 ? " AGAIN" : ""));
}

bool Server::answer(Connection& aConnection, const Message& aRequest, const std::string& aBody,
                    const std::string& aExtraHeaders)
{
  const std::string attempt = headerOf(aRequest.headers, "Attempt-Id");
  record("server " + mOptions.id + " answers 200 to " + attempt);
  return aConnection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: seal." +
                          attempt + "." + mOptions.id + "\r\n" + aExtraHeaders +
                          "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
}

bool Server::refuse(Connection& aConnection, const Message& aRequest, int aStatus)
{
  const std::string attempt = headerOf(aRequest.headers, "Attempt-Id");
  record("server " + mOptions.id + " refuses " + attempt + " with " + std::to_string(aStatus));
  return aConnection.send("HTTP/1.1 " + std::to_string(aStatus) + " Refused\r\nAttempt-Id: " +
                          attempt + "\r\nInstance-Id: " + mOptions.id +
                          "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
}

std::string Server::heartbeatBody(std::int64_t aSequence) const
{
  // Called with mMutex locked.
  std::string holds;
  const double at = now();
  for (unsigned i = 0; i < 65536;) {
    if (mHolds[i].until <= at) {
      ++i;
      continue;
    }
    const unsigned from = i;
    while (i < 65536 && mHolds[i].until > at && mHolds[i].fence == mHolds[from].fence) {
      ++i;
    }
    holds += (holds.empty() ? "[" : ",[") + std::to_string(from) + "," + std::to_string(i - 1) +
             "," + std::to_string(mHolds[from].fence) + "]";
  }
  std::string released;
  for (const auto& it : mReleased) {
    released += (released.empty() ? "" : ",") + it;
  }
  std::string out = "{\"service\":\"" + mOptions.service + "\",\"address\":\"" +
                    mOptions.address + "\",\"zone\":\"" + mOptions.zone +
                    "\",\"version\":\"v1\",\"slots\":" + std::to_string(mOptions.slots) +
                    ",\"state\":\"" + mState + "\",\"warmup_left_s\":" +
                    std::to_string(std::max(0.0, mColdUntil - now())) +
                    ",\"sequence\":" + std::to_string(aSequence) +
                    ",\"born\":" + std::to_string(mBorn);
  if (mOptions.isKeyed) {
    out += ",\"holds\":[" + holds + "],\"released\":[" + released + "]";
  }
  return out + "}";
}

void Server::beatLoop()
{
  while (mIsUp) {
    const double begin = now();
    if (!beat()) {
      sleepFor(0.05);
    }
    const double next = begin + mOptions.beatSeconds;
    while (mIsUp && now() < next) {
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        if (mMustBeatSoon && now() >= begin + 0.05) {
          mMustBeatSoon = false;
          break;
        }
      }
      sleepFor(0.01);
    }
  }
}

bool Server::beat()
{
  std::string body;
  std::size_t told = 0;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    body = heartbeatBody(++mSequence);
    told = mReleased.size();
  }
  const double sentAt = now();
  const Message response = call(mOptions.control, "POST", "/Instances.Heartbeat/" + mOptions.id,
                                { { "Content-Type", "application/json" } }, body, 1.0);
  const bool isAcked = response.isComplete && response.status >= 200 && response.status < 300 &&
                       response.body.size() <= 4096;
  record("beat " + mOptions.id + " " + body.substr(0, 400) + " -> " +
         std::to_string(response.status) + " " + response.body.substr(0, 300));
  if (!isAcked || !mIsUp) {
    return false;
  }
  mAcked = true;
  mAckedAt = now();
  const std::lock_guard<std::mutex> lock(mMutex);
  mReleased.erase(mReleased.begin(), mReleased.begin() + static_cast<std::ptrdiff_t>(told));
  if (mOptions.isKeyed) {
    applyResponse(response.body, sentAt);
  }
  return true;
}

// Reads "holds" and "hold_s" of {"holds":[[from,to,fence,"handover"],...],"hold_s":4}.
void Server::applyResponse(const std::string& aBody, double aSentAt)
{
  const auto at = aBody.find("\"holds\"");
  const auto length = aBody.find("\"hold_s\"");
  if (at == std::string::npos || length == std::string::npos) {
    return; // Renews nothing.
  }
  const double until =
    aSentAt + std::strtod(aBody.c_str() + aBody.find(':', length) + 1, nullptr);
  std::vector<Hold> next(65536);
  const char* text = aBody.c_str() + aBody.find('[', at) + 1;
  while (*text == '[' || *text == ',') {
    if (*text == ',') {
      ++text;
      continue;
    }
    char* end = nullptr;
    const unsigned long from = std::strtoul(text + 1, &end, 10);
    const unsigned long to = std::strtoul(end + 1, &end, 10);
    const std::int64_t fence = std::strtoll(end + 1, &end, 10);
    bool isAccepted = from <= to && to < 65536;
    for (unsigned long i = from; isAccepted && i <= to; ++i) {
      isAccepted = mSeenFence[i] <= fence;
    }
    for (unsigned long i = from; isAccepted && i <= to; ++i) {
      next[i] = Hold{ fence, until };
      mSeenFence[i] = fence;
    }
    text = std::strchr(end, ']') + 1;
  }
  const double at2 = now();
  for (unsigned i = 0; i < 65536;) {
    const bool isReleased = mHolds[i].until > at2 && next[i].until == 0;
    if (!isReleased) {
      ++i;
      continue;
    }
    const unsigned from = i;
    while (i < 65536 && mHolds[i].until > at2 && next[i].until == 0) {
      ++i;
    }
    mReleased.push_back("[" + std::to_string(from) + "," + std::to_string(i - 1) + ",\"" +
                        randomId("") + "\"]");
    mMustBeatSoon = true;
  }
  mHolds.swap(next);
}

// The deployment.

Deployment::Deployment()
{
  // Other addresses and ports than those of any other run on this machine.
  for (int i = 0; i < 200 && mPrefix.empty(); ++i) {
    const std::string prefix = "127." + std::to_string(20 + random()() % 200) + "." +
                               std::to_string(random()() % 250) + ".";
    const int base = 20000 + static_cast<int>(random()() % 9000);
    bool isUsable = true;
    for (int n = 1; n <= 12 && isUsable; ++n) {
      for (int port : { base, base + 1, base + 2, base + 3, base + 4, 19464 }) {
        isUsable = isUsable && isFree(prefix + std::to_string(n) + ":" + std::to_string(port));
      }
    }
    if (isUsable) {
      mPrefix = prefix;
      ports = Ports{ base, base + 1, base + 2, base + 3, base + 4 };
    }
  }
  if (mPrefix.empty()) {
    throw CannotRun{ "no free ports" };
  }
}

Deployment::~Deployment()
{
  for (auto* list : { &sidecars, &cores }) {
    for (auto& it : *list) {
      if (it->isRunning()) {
        it->kill(SIGCONT);
        it->kill(SIGKILL);
      }
    }
    for (auto& it : *list) {
      it->awaitEnd(5);
    }
  }
}

Daemon& Deployment::addCore(const std::string& aZone)
{
  const std::string name = "core-" + std::to_string(cores.size() + 1);
  cores.push_back(
    std::make_unique<Daemon>(name, mPrefix + std::to_string(mNext++), true, aZone, ""));
  return *cores.back();
}

Daemon& Deployment::addSidecar(const std::string& aZone, const std::string& aService)
{
  const std::string name = "sidecar-" + std::to_string(sidecars.size() + 1);
  sidecars.push_back(
    std::make_unique<Daemon>(name, mPrefix + std::to_string(mNext++), false, aZone, aService));
  return *sidecars.back();
}

std::vector<std::string> Deployment::seeds() const
{
  std::vector<std::string> out;
  for (std::size_t i = 0; i < cores.size() && i < 3; ++i) {
    out.push_back(cores[i]->address(ports.control));
  }
  return out;
}

void Deployment::startAll()
{
  for (auto* list : { &cores, &sidecars }) {
    for (auto& it : *list) {
      it->writeSettings(seeds(), true);
      it->start();
    }
  }
}

int Deployment::put(Daemon& aCore, const std::string& aBase, const std::string& aBody,
                    double aTimeout)
{
  const Message response =
    call(aCore.address(ports.control), "POST", "/Config.Put",
         { { "Base-Version", aBase }, { "Content-Type", "application/json" } }, aBody, aTimeout);
  record("Config.Put on " + aBase + " to " + aCore.name + " -> " +
         std::to_string(response.status));
  return response.status;
}

void Deployment::putConfiguration(const std::string& aBase, const std::string& aBody)
{
  const double until = now() + 30;
  for (std::size_t i = 0; now() < until; ++i) {
    if (put(*cores[i % cores.size()], aBase, aBody, 1.0) == 200) {
      return;
    }
    sleepFor(0.2);
  }
  throw CannotRun{ "the configuration was not acknowledged" };
}

int runCase(int aArgCount, char** aArgs, const std::function<bool()>& aCase)
{
  ::signal(SIGPIPE, SIG_IGN);
  if (aArgCount != 5) {
    std::fprintf(stderr, "usage: CASE PROGRAM DEPLOY_FOLDER TEMPORARY_FOLDER RECORD\n");
    return 2;
  }
  Deployment::program = aArgs[1];
  Deployment::deployFolder = aArgs[2];
  Deployment::folder = aArgs[3];
  openRecord(aArgs[4]);
  try {
    record(std::string("disruption: ") + (isTroubled() ? "yes" : "no"));
    const bool isHeld = aCase();
    record(isHeld ? "RESULT: the rule held" : "RESULT: the rule was broken");
    return isHeld ? 0 : 1;
  } catch (const CannotRun& fault) {
    record("RESULT: could not run: " + fault.reason);
    return 2;
  }
}

} // namespace stand
