// Stand-ins for servers, clients and the operator, a proxy, and the start of the project's daemons
// with the templates of deploy/. A case includes this file and is built by review/build.sh.

#ifndef CAMPHORCLEAT_REVIEW_COMMON_HARNESS_H_
#define CAMPHORCLEAT_REVIEW_COMMON_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

constexpr int kKept = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr int kKeys = 65536;

inline std::int64_t steadyMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

inline std::int64_t unixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void sleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

/// The file record.txt: one line an event, with the seconds since the start.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(std::fopen(aPath.c_str(), "w"))
    , mStart(steadyMs())
  {
  }
  ~Record()
  {
    if (mFile != nullptr) {
      std::fclose(mFile);
    }
  }
  void line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    char text[2048];
    va_list list;
    va_start(list, aFormat);
    std::vsnprintf(text, sizeof text, aFormat, list);
    va_end(list);
    const std::lock_guard<std::mutex> lock(mMutex);
    std::fprintf(mFile, "%9.3f  %s\n", static_cast<double>(steadyMs() - mStart) / 1000, text);
    std::fflush(mFile);
  }
  std::int64_t start() const { return mStart; }

private:
  std::FILE* mFile;
  std::int64_t mStart;
  std::mutex mMutex;
};

inline sockaddr_in addressOf(const std::string& aIp, int aPort)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &out.sin_addr);
  return out;
}

inline int listenOn(const std::string& aIp, int aPort)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address = addressOf(aIp, aPort);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 256) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline int connectTo(const std::string& aIp, int aPort, int aTimeoutMs)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = addressOf(aIp, aPort);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd waiting{ fd, POLLOUT, 0 };
    int error = errno == EINPROGRESS ? 0 : errno;
    socklen_t size = sizeof error;
    if (error != 0 || ::poll(&waiting, 1, aTimeoutMs) != 1 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      ::close(fd);
      return -1;
    }
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline bool sendAll(int aFd, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t n = ::send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

struct Message
{
  std::string firstLine;
  std::map<std::string, std::string> headers; ///< Names in lower case.
  std::string body;
  std::string header(const std::string& aName) const
  {
    const auto it = headers.find(aName);
    return it == headers.end() ? std::string() : it->second;
  }
};

/// Reads one message with a Content-Length, or without a body. Returns false after the time limit,
/// or if the connection ends. aRest holds the bytes that were read beyond the message.
inline bool readMessage(int aFd, std::string& aRest, Message& aOut, std::int64_t aUntilMs)
{
  aOut = Message();
  std::size_t end = std::string::npos;
  const auto readMore = [&] {
    const std::int64_t left = aUntilMs - steadyMs();
    pollfd waiting{ aFd, POLLIN, 0 };
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) != 1) {
      return false;
    }
    char buf[16384];
    const ssize_t n = ::recv(aFd, buf, sizeof buf, 0);
    if (n <= 0) {
      return false;
    }
    aRest.append(buf, static_cast<std::size_t>(n));
    return true;
  };
  while ((end = aRest.find("\r\n\r\n")) == std::string::npos) {
    if (!readMore()) {
      return false;
    }
  }
  std::istringstream head(aRest.substr(0, end));
  aRest.erase(0, end + 4);
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (aOut.firstLine.empty()) {
      aOut.firstLine = line;
    } else if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      aOut.headers[name] = line.substr(std::min(line.size(), colon + 2));
    }
  }
  const std::size_t length = std::strtoul(aOut.header("content-length").c_str(), nullptr, 10);
  while (aRest.size() < length) {
    if (!readMore()) {
      return false;
    }
  }
  aOut.body = aRest.substr(0, length);
  aRest.erase(0, length);
  return true;
}

struct Reply
{
  int status = 0; ///< 0: no complete response in time.
  Message message;
};

/// Sends a request on a new connection and closes it after the response or after the time limit.
inline Reply call(const std::string& aIp, int aPort, const std::string& aMethod,
                  const std::string& aPath,
                  const std::vector<std::pair<std::string, std::string>>& aHeaders,
                  const std::string& aBody, int aTimeoutMs)
{
  Reply out;
  const std::int64_t until = steadyMs() + aTimeoutMs;
  const int fd = connectTo(aIp, aPort, aTimeoutMs);
  if (fd < 0) {
    return out;
  }
  std::string bytes = aMethod + " " + aPath + " HTTP/1.1\r\n";
  bool hasHost = false;
  for (const auto& [name, value] : aHeaders) {
    bytes += name + ": " + value + "\r\n";
    hasHost = hasHost || name == "Host";
  }
  if (!hasHost) {
    bytes += "Host: " + aIp + "\r\n";
  }
  if (aMethod != "GET") {
    bytes += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  bytes += "\r\n" + aBody;
  std::string rest;
  if (sendAll(fd, bytes) && readMessage(fd, rest, out.message, until) &&
      out.message.firstLine.size() > 12) {
    out.status = std::atoi(out.message.firstLine.c_str() + 9);
  }
  ::close(fd);
  return out;
}

inline std::string hex(std::uint64_t aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(aValue));
  return text;
}

struct Machine
{
  std::string name;
  std::string ip;
  std::string zone;
  std::string service;  ///< Empty: a core machine.
  int peersPort = 0;    ///< The port that its daemon listens on for other daemons, and dials.
  bool isSpare = false; ///< startAll() leaves it out.
  pid_t pid = 0;
};

struct Row
{
  int from = 0;
  int to = 0;
  std::uint64_t fence = 0;
  std::string handover;
};

/// One run of a request.
struct Run
{
  std::string attempt;
  std::int64_t atMs = 0;
  int key = -1;
};

/// A server of the platform as PROTOCOL.md describes it: it runs requests, sends heartbeats, and
/// holds the keys that the responses to them grant.
class Server
{
public:
  struct Settings
  {
    std::string id;
    std::string service;
    std::string zone;
    std::string ip;
    int port = 0;
    int controlPort = 0;
    bool isSharded = false;
    int slots = 16;
    int workMs = 20;
    int heartbeatMs = 870;
    /// If set, sends the response instead of the server. Returns whether the connection stays open.
    std::function<bool(int aFd, const std::string& aResponse)> send;
  };

  Server(Settings aSettings, Record& aRecord)
    : mSettings(std::move(aSettings))
    , mRecord(aRecord)
    , mBorn(unixMs())
    , mRandom(std::random_device{}())
    , mFence(kKeys, 0)
    , mSeen(kKeys, 0)
    , mUntil(kKeys, 0)
    , mRunningOn(kKeys, 0)
  {
  }
  ~Server() { stop(); }

  bool start()
  {
    mListener = listenOn(mSettings.ip, mSettings.port);
    if (mListener < 0) {
      return false;
    }
    mThreads.emplace_back([this] { acceptLoop(); });
    mThreads.emplace_back([this] { heartbeatLoop(); });
    mRecord.line("server %s (%s, %s) starts at %s:%d", mSettings.id.c_str(),
                 mSettings.service.c_str(), mSettings.zone.c_str(), mSettings.ip.c_str(),
                 mSettings.port);
    return true;
  }

  void stop()
  {
    mIsStopped = true;
    for (auto& it : mThreads) {
      if (it.joinable()) {
        it.join();
      }
    }
    mThreads.clear();
    while (mOpen > 0) {
      sleepMs(5);
    }
    if (mListener >= 0) {
      ::close(std::exchange(mListener, -1));
    }
  }

  /// Reports that the server leaves. It serves on until stop().
  void drain()
  {
    mRecord.line("server %s reports draining", mSettings.id.c_str());
    mIsDraining = true;
  }

  /// Sends a heartbeat that is held up on its way. Returns a function with which it arrives.
  std::function<Reply()> sendLateHeartbeat()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const std::string body = heartbeatBody(mReleased);
    return [this, body] { return post(body); };
  }

  /// Leaves without having reported "draining": sends no more heartbeats, and serves on until
  /// stop(). Returns whether the deregistration was acknowledged.
  bool deregister()
  {
    mHasLeft = true;
    sleepMs(50); // A heartbeat that is on its way arrives first.
    const Reply reply = call(
      mSettings.ip, mSettings.controlPort, "POST", "/Instances.Deregister/" + mSettings.id,
      { { "Content-Type", "application/json" } }, "{\"born\":" + std::to_string(mBorn) + "}", 1000);
    return reply.status >= 200 && reply.status < 300;
  }

  const Settings& settings() const { return mSettings; }
  std::int64_t born() const { return mBorn; }

  /// Returns whether the server holds the key now, with work in progress counted as holding.
  bool holds(int aKey) const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return holdsLocked(aKey);
  }
  std::vector<char> heldKeys() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::vector<char> out(kKeys, 0);
    for (int i = 0; i < kKeys; ++i) {
      out[i] = holdsLocked(i) ? 1 : 0;
    }
    return out;
  }
  std::uint64_t fenceOf(int aKey) const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mFence[aKey];
  }
  std::size_t heldCount() const
  {
    const auto held = heldKeys();
    return static_cast<std::size_t>(std::count(held.begin(), held.end(), 1));
  }
  /// The length of the longest response to a heartbeat.
  std::size_t longestResponse() const { return mLongestResponse; }
  std::vector<Run> runs() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mRuns;
  }

private:
  bool holdsLocked(int aKey) const
  {
    return mFence[aKey] != 0 && (steadyMs() < mUntil[aKey] || mRunningOn[aKey] > 0);
  }

  void acceptLoop()
  {
    while (!mIsStopped) {
      pollfd waiting{ mListener, POLLIN, 0 };
      if (::poll(&waiting, 1, 50) != 1) {
        continue;
      }
      const int fd = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        ++mOpen;
        std::thread([this, fd] {
          serve(fd);
          ::close(fd);
          --mOpen;
        }).detach();
      }
    }
  }

  void serve(int aFd)
  {
    std::string rest;
    Message request;
    while (!mIsStopped) {
      pollfd waiting{ aFd, POLLIN, 0 };
      if (rest.empty() && ::poll(&waiting, 1, 50) == 0) {
        continue;
      }
      if (!readMessage(aFd, rest, request, steadyMs() + 3000)) {
        return;
      }
      const std::string response = respond(request);
      if (!(mSettings.send ? mSettings.send(aFd, response) : sendAll(aFd, response))) {
        return;
      }
    }
  }

  std::string respond(const Message& aRequest)
  {
    const std::string attempt = aRequest.header("attempt-id");
    if (aRequest.firstLine.find(" /health ") != std::string::npos) {
      return write(200, { { "Instance-Id", mSettings.id } }, "");
    }
    const std::string instance = aRequest.header("target-instance");
    const std::string keyText = aRequest.header("shard-key");
    const int number = std::atoi(keyText.c_str());
    const bool isKey = !keyText.empty() && number >= 0 && number < kKeys;
    const int key = mSettings.isSharded && isKey ? number : -1;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      const bool isOther = !instance.empty() && instance != mSettings.id;
      const bool isUnheld =
        mSettings.isSharded && (key < 0 || mFence[key] == 0 || steadyMs() >= mUntil[key]);
      if (isOther || isUnheld) {
        mRecord.line("%s rejects %s, key %d: 421", mSettings.id.c_str(), attempt.c_str(), key);
        return write(421, { { "Attempt-Id", attempt }, { "Not-Executed", "1" } }, "");
      }
      mRuns.push_back({ attempt, steadyMs(), key });
      mRecord.line("%s runs %s, key %d", mSettings.id.c_str(), attempt.c_str(), key);
      if (key >= 0) {
        ++mRunningOn[key];
      }
    }
    sleepMs(mSettings.workMs);
    const std::lock_guard<std::mutex> lock(mMutex);
    if (key >= 0) {
      --mRunningOn[key];
    }
    return write(200, { { "Attempt-Id", attempt }, { "Server-Seal", "seal-" + attempt } },
                 "answer of " + mSettings.id + " to " + attempt);
  }

  static std::string write(int aStatus,
                           const std::vector<std::pair<std::string, std::string>>& aHeaders,
                           const std::string& aBody)
  {
    std::string out = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
    for (const auto& [name, value] : aHeaders) {
      out += name + ": " + value + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  void heartbeatLoop()
  {
    while (!mIsStopped && !mHasLeft) {
      const bool mustReport = heartbeat();
      const std::int64_t next = steadyMs() + (mustReport ? 80 : mSettings.heartbeatMs);
      while (!mIsStopped && !mHasLeft && steadyMs() < next) {
        sleepMs(10);
      }
    }
  }

  Reply post(const std::string& aBody) const
  {
    return call(mSettings.ip, mSettings.controlPort, "POST", "/Instances.Heartbeat/" + mSettings.id,
                { { "Content-Type", "application/json" } }, aBody, 1000);
  }

  // Writes the next heartbeat. Must be called with the lock held.
  std::string heartbeatBody(const std::vector<Row>& released)
  {
    std::ostringstream body;
    {
      body << "{\"service\":\"" << mSettings.service << "\",\"address\":\"" << mSettings.ip << ":"
           << mSettings.port << "\",\"zone\":\"" << mSettings.zone
           << "\",\"version\":\"v1\",\"slots\":" << mSettings.slots << ",\"state\":\""
           << (mIsDraining ? "draining" : "ready")
           << "\",\"warmup_left_s\":0,\"sequence\":" << ++mSequence << ",\"born\":" << mBorn;
      if (mSettings.isSharded) {
        body << ",\"holds\":[";
        const char* comma = "";
        for (int i = 0; i < kKeys;) {
          if (!holdsLocked(i)) {
            ++i;
            continue;
          }
          int last = i;
          while (last + 1 < kKeys && holdsLocked(last + 1) && mFence[last + 1] == mFence[i]) {
            ++last;
          }
          body << comma << "[" << i << "," << last << "," << mFence[i] << "]";
          comma = ",";
          i = last + 1;
        }
        body << "],\"released\":[";
        comma = "";
        for (const auto& it : released) {
          body << comma << "[" << it.from << "," << it.to << ",\"" << it.handover << "\"]";
          comma = ",";
        }
        body << "]";
      }
      body << "}";
    }
    return body.str();
  }

  // Returns whether another heartbeat is due within 100 ms.
  bool heartbeat()
  {
    std::string body;
    std::vector<Row> released;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      released = mReleased;
      body = heartbeatBody(released);
    }
    const std::int64_t sentAt = steadyMs();
    const Reply reply = post(body);
    // A longer response doesn't acknowledge the heartbeat.
    constexpr std::size_t kMaxResponseBytes = 4096;
    const std::size_t bytes = reply.message.body.size();
    mLongestResponse = std::max<std::size_t>(mLongestResponse, bytes);
    if (reply.status < 200 || reply.status >= 300 || !mSettings.isSharded ||
        bytes > kMaxResponseBytes) {
      return false;
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    mReleased.erase(mReleased.begin(), mReleased.begin() + static_cast<long>(released.size()));
    return accept(reply.message.body, sentAt);
  }

  bool accept(const std::string& aBody, std::int64_t aSentAt)
  {
    const std::size_t at = aBody.find("\"holds\"");
    const std::size_t length = aBody.find("\"hold_s\"");
    if (at == std::string::npos || length == std::string::npos) {
      return !mReleased.empty();
    }
    const double holdSeconds = std::strtod(aBody.c_str() + aBody.find(':', length) + 1, nullptr);
    const std::int64_t until = aSentAt + static_cast<std::int64_t>(holdSeconds * 1000);
    std::vector<char> isGranted(kKeys, 0);
    for (const auto& it : parseRows(aBody.substr(aBody.find('[', at)))) {
      const auto isOld = [&](int aKey) { return mSeen[aKey] > it.fence; };
      bool isRefused = false;
      for (int i = it.from; i <= it.to && !isRefused; ++i) {
        isRefused = isOld(i);
      }
      for (int i = it.from; i <= it.to && !isRefused; ++i) {
        isGranted[i] = 1;
        mFence[i] = mSeen[i] = it.fence;
        mUntil[i] = until;
      }
    }
    // Whatever is left out is released as soon as no work is running on it.
    bool isReleasing = false;
    for (int i = 0; i < kKeys;) {
      if (mFence[i] == 0 || isGranted[i] != 0) {
        ++i;
        continue;
      }
      if (mRunningOn[i] > 0) {
        isReleasing = true;
        ++i;
        continue;
      }
      const bool isExpired = steadyMs() >= mUntil[i];
      int last = i;
      const std::uint64_t fence = mFence[i];
      while (last + 1 < kKeys && mFence[last + 1] == fence && isGranted[last + 1] == 0 &&
             mRunningOn[last + 1] == 0 && (steadyMs() >= mUntil[last + 1]) == isExpired) {
        ++last;
      }
      for (int k = i; k <= last; ++k) {
        mFence[k] = 0;
        mUntil[k] = 0;
      }
      if (!isExpired) {
        mReleased.push_back({ i, last, 0, hex(mRandom()) });
      }
      i = last + 1;
    }
    std::size_t held = 0;
    for (int i = 0; i < kKeys; ++i) {
      held += holdsLocked(i) ? 1 : 0;
    }
    if (std::exchange(mLastHeld, held) != held) {
      mRecord.line("%s holds %zu keys after the response to a heartbeat, for %.3f s",
                   mSettings.id.c_str(), held, holdSeconds);
    }
    return isReleasing || !mReleased.empty();
  }

  // Parses [[from,to,fence,"handover"],...].
  static std::vector<Row> parseRows(const std::string& aText)
  {
    std::vector<Row> out;
    std::size_t at = 1;
    while (at < aText.size() && aText[at] != ']') {
      if (aText[at] != '[') {
        ++at;
        continue;
      }
      char* end = nullptr;
      Row row;
      row.from = static_cast<int>(std::strtol(aText.c_str() + at + 1, &end, 10));
      row.to = static_cast<int>(std::strtol(end + 1, &end, 10));
      row.fence = std::strtoull(end + 1, &end, 10);
      at = aText.find(']', static_cast<std::size_t>(end - aText.c_str())) + 1;
      out.push_back(row);
    }
    return out;
  }

  Settings mSettings;
  Record& mRecord;
  std::int64_t mBorn;
  mutable std::mutex mMutex;
  std::mt19937_64 mRandom;
  std::vector<std::uint64_t> mFence; ///< By key; 0: not held.
  std::vector<std::uint64_t> mSeen;  ///< By key: the highest fencing token.
  std::vector<std::int64_t> mUntil;
  std::vector<int> mRunningOn;
  std::vector<Row> mReleased;
  std::vector<Run> mRuns;
  std::uint64_t mSequence = 0;
  std::size_t mLastHeld = 0;
  std::atomic<std::size_t> mLongestResponse{ 0 };
  int mListener = -1;
  std::atomic<bool> mIsDraining{ false };
  std::atomic<bool> mHasLeft{ false };
  std::atomic<bool> mIsStopped{ false };
  std::atomic<int> mOpen{ 0 };
  std::vector<std::thread> mThreads;
};

/// Forwards connections from one address to another. While it is cut, it passes nothing on in
/// either direction, like a partition: bytes that arrived wait until the cut has ended, unless
/// their sender resets the connection. A connection that was opened and closed during the cut is
/// never passed on.
class Proxy
{
public:
  Proxy(std::string aIp, int aPort, std::string aToIp, int aToPort)
    : mIp(std::move(aIp))
    , mPort(aPort)
    , mToIp(std::move(aToIp))
    , mToPort(aToPort)
  {
  }
  ~Proxy()
  {
    mIsStopped = true;
    if (mThread.joinable()) {
      mThread.join();
    }
  }
  bool start()
  {
    mListener = listenOn(mIp, mPort);
    if (mListener < 0) {
      return false;
    }
    mThread = std::thread([this] { run(); });
    return true;
  }
  void setCut(bool aIsCut) { mIsCut = aIsCut; }

private:
  struct Pair
  {
    int from = -1;
    int to = -1;
    bool isFromEnded = false;
    bool isToEnded = false;
  };

  void run()
  {
    std::vector<Pair> pairs;
    while (!mIsStopped) {
      std::vector<pollfd> fds{ { mListener, POLLIN, 0 } };
      const bool isCut = mIsCut;
      for (const auto& it : pairs) {
        const bool isUsable = !isCut && it.to >= 0;
        fds.push_back({ isUsable && !it.isFromEnded ? it.from : -1, POLLIN, 0 });
        fds.push_back({ isUsable && !it.isToEnded ? it.to : -1, POLLIN, 0 });
      }
      ::poll(fds.data(), fds.size(), 5);
      for (std::size_t i = 0; i < pairs.size(); ++i) {
        Pair& it = pairs[i];
        if (!isCut && it.to < 0 && !open(it)) {
          continue;
        }
        if (fds[1 + 2 * i].revents != 0) {
          it.isFromEnded = !pass(it.from, it.to);
        }
        if (fds[2 + 2 * i].revents != 0) {
          it.isToEnded = !pass(it.to, it.from);
        }
      }
      pairs.erase(std::remove_if(pairs.begin(), pairs.end(),
                                 [](Pair& aPair) {
                                   // Daemons close whole connections, never one direction.
                                   const bool isEnded = aPair.isFromEnded || aPair.isToEnded;
                                   if (isEnded) {
                                     ::close(aPair.from);
                                     if (aPair.to >= 0) {
                                       ::close(aPair.to);
                                     }
                                   }
                                   return isEnded;
                                 }),
                  pairs.end());
      if (fds[0].revents != 0) {
        Pair next;
        next.from = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
        if (next.from >= 0) {
          const int one = 1;
          ::setsockopt(next.from, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
          pairs.push_back(next);
        }
      }
    }
    for (const auto& it : pairs) {
      ::close(it.from);
      if (it.to >= 0) {
        ::close(it.to);
      }
    }
    ::close(mListener);
  }

  bool open(Pair& aPair) const
  {
    pollfd state{ aPair.from, POLLRDHUP, 0 };
    const bool isGone = ::poll(&state, 1, 0) != 0;
    aPair.to = isGone ? -1 : connectTo(mToIp, mToPort, 200);
    aPair.isFromEnded = aPair.to < 0;
    return aPair.to >= 0;
  }

  static bool pass(int aFrom, int aTo)
  {
    char buf[65536];
    const ssize_t n = ::recv(aFrom, buf, sizeof buf, 0);
    return n > 0 && sendAll(aTo, std::string(buf, static_cast<std::size_t>(n)));
  }

  std::string mIp;
  int mPort;
  std::string mToIp;
  int mToPort;
  int mListener = -1;
  std::atomic<bool> mIsCut{ false };
  std::atomic<bool> mIsStopped{ false };
  std::thread mThread;
};

/// The machines of a small deployment, each with a loopback address of its own, and the daemons
/// that run on them.
class Fleet
{
public:
  /// aRoot is the repository's root; files are written to a temporary folder.
  Fleet(std::string aRoot, Record& aRecord)
    : mRoot(std::move(aRoot))
    , mRecord(aRecord)
    , mRandom(std::random_device{}())
  {
    const char* temporary = std::getenv("TMPDIR");
    std::string folder =
      std::string(temporary == nullptr ? "/tmp" : temporary) + "/camphorcleat-review-XXXXXX";
    mFolder = ::mkdtemp(folder.data());
    mNetwork = "127." + std::to_string(20 + mRandom() % 200) + "." +
               std::to_string(1 + mRandom() % 250) + ".";
    do {
      mBasePort = 20000 + static_cast<int>(mRandom() % 10000);
    } while (!arePortsFree());
  }
  ~Fleet()
  {
    for (const auto& it : mMachines) {
      if (it.pid > 0) {
        ::kill(it.pid, SIGCONT);
        ::kill(it.pid, SIGKILL);
        ::waitpid(it.pid, nullptr, 0);
      }
    }
    const std::string remove = "rm -rf '" + mFolder + "'";
    if (std::getenv("KEEP") == nullptr && std::system(remove.c_str()) != 0) {
      std::fprintf(stderr, "could not remove %s\n", mFolder.c_str());
    }
  }

  int controlPort() const { return mBasePort; }
  int outboundPort() const { return mBasePort + 1; }
  int readinessPort() const { return mBasePort + 2; }
  int serverPort() const { return mBasePort + 3; }
  int peersPort() const { return mBasePort + 4; }
  int otherPeersPort() const { return mBasePort + 5; }

  /// Adds a machine. All machines must be added before startAll().
  Machine& add(const std::string& aName, const std::string& aZone, const std::string& aService)
  {
    Machine it;
    it.name = aName;
    it.ip = mNetwork + std::to_string(mMachines.size() + 1);
    it.zone = aZone;
    it.service = aService;
    it.peersPort = peersPort();
    mMachines.push_back(it);
    return mMachines.back();
  }
  Machine& machine(std::size_t aIndex) { return mMachines[aIndex]; }
  std::deque<Machine>& machines() { return mMachines; }

  bool startAll()
  {
    for (auto& it : mMachines) {
      if (!it.isSpare && !start(it, it.service.empty())) {
        return false;
      }
    }
    return true;
  }

  bool start(Machine& aMachine, bool aIsFirst)
  {
    const std::string path = mFolder + "/" + aMachine.name;
    ::mkdir((path + ".data").c_str(), 0700);
    std::ofstream(path + ".ini") << settingsOf(aMachine, aIsFirst, path + ".data");
    const std::string program = mRoot + "/target/bin/camphorcleatd";
    if (::access(program.c_str(), X_OK) != 0) {
      return false;
    }
    const std::string config = path + ".ini";
    const std::string log = path + ".log";
    const std::string node = "CAMPHORCLEAT_NODE_FILE=" + config;
    const pid_t pid = ::fork();
    if (pid == 0) {
      // Ends the daemon with this program, also if a time limit ends that.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      if (::chdir(mRoot.c_str()) != 0) {
        ::_exit(127);
      }
      char* const arguments[] = { const_cast<char*>(program.c_str()), const_cast<char*>("--config"),
                                  const_cast<char*>(config.c_str()), nullptr };
      char* const environment[] = { const_cast<char*>(node.c_str()),
                                    const_cast<char*>("PATH=/usr/bin:/bin"),
                                    const_cast<char*>("HOME=/tmp"), nullptr };
      ::execve(program.c_str(), arguments, environment);
      ::_exit(127);
    }
    aMachine.pid = pid;
    mRecord.line("daemon on %s (%s, %s) starts, process %d", aMachine.name.c_str(),
                 aMachine.ip.c_str(), aMachine.zone.c_str(), static_cast<int>(pid));
    return true;
  }

  void signal(Machine& aMachine, int aSignal)
  {
    mRecord.line("signal %d to the daemon on %s", aSignal, aMachine.name.c_str());
    ::kill(aMachine.pid, aSignal);
    if (aSignal == SIGKILL) {
      ::waitpid(aMachine.pid, nullptr, 0);
      aMachine.pid = 0;
    }
  }

  /// Returns whether the daemon still runs.
  bool isRunning(Machine& aMachine)
  {
    if (aMachine.pid > 0 && ::waitpid(aMachine.pid, nullptr, WNOHANG) == aMachine.pid) {
      aMachine.pid = 0;
    }
    return aMachine.pid > 0;
  }

  std::string logOf(const Machine& aMachine) const
  {
    std::ifstream in(mFolder + "/" + aMachine.name + ".log");
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
  }

  /// Returns the machine whose log has the largest term with "became_leader", or nullptr.
  Machine* leader()
  {
    Machine* out = nullptr;
    long best = -1;
    for (auto& it : mMachines) {
      std::istringstream log(it.service.empty() ? logOf(it) : "");
      std::string line;
      while (std::getline(log, line)) {
        const std::size_t at = line.find("\"term\":\"");
        if (line.find("became_leader") != std::string::npos && at != std::string::npos) {
          const long term = std::atol(line.c_str() + at + 8);
          if (term > best) {
            best = term;
            out = &it;
          }
        }
      }
    }
    return out;
  }

private:
  bool arePortsFree() const
  {
    for (int i = 0; i < 6; ++i) {
      const int fd = listenOn("0.0.0.0", mBasePort + i);
      if (fd < 0) {
        return false;
      }
      ::close(fd);
    }
    return true;
  }

  std::string settingsOf(const Machine& aMachine, bool aIsFirst, const std::string& aData) const
  {
    std::string seeds;
    int count = 0;
    for (const auto& it : mMachines) {
      if (it.service.empty() && count < 3) {
        seeds += (count++ == 0 ? "" : ",") + it.ip + ":" + std::to_string(controlPort());
      }
    }
    const auto here = [&](int aPort) { return aMachine.ip + ":" + std::to_string(aPort); };
    const std::map<std::string, std::string> values = {
      { "zone", aMachine.zone },
      { "ip", aMachine.ip },
      { "service", aMachine.service },
      { "port_range.0", std::to_string(aMachine.peersPort) },
      { "listen.control", here(controlPort()) },
      { "listen.outbound", here(outboundPort()) },
      { "listen.readiness", here(readinessPort()) },
      { "app_addr", here(serverPort()) },
      { "seed_nodes", seeds },
      { "bootstrap", aIsFirst ? "true" : "false" },
      { "data_dir", aData },
      { "bounds.quota_window_s", "5" },
    };
    std::ifstream in(mRoot + "/deploy/" + (aMachine.service.empty() ? "control" : "node") + ".ini");
    std::ostringstream text;
    text << in.rdbuf();
    std::string out = text.str();
    for (const auto& [name, value] : values) {
      const std::string placeholder = "{{" + name + "}}";
      for (std::size_t at = 0; (at = out.find(placeholder, at)) != std::string::npos;) {
        out.replace(at, placeholder.size(), value);
      }
    }
    return out;
  }

  std::string mRoot;
  Record& mRecord;
  std::mt19937_64 mRandom;
  std::string mFolder;
  std::string mNetwork;
  int mBasePort = 0;
  std::deque<Machine> mMachines;
};

/// A client: sends a request to the daemon on a machine, on a new connection, and waits for the
/// response for as long as its deadline.
inline Reply sendRequest(Fleet& aFleet, Record& aRecord, const Machine& aMachine,
                         const std::string& aMethod, const std::string& aPath,
                         const std::string& aAttempt, int aKey, const std::string& aBody)
{
  constexpr int kDeadlineMs = 1500;
  std::vector<std::pair<std::string, std::string>> headers = { { "Host", "a.example" },
                                                               { "Attempt-Id", aAttempt },
                                                               { "Deadline-Ms",
                                                                 std::to_string(kDeadlineMs) } };
  if (aKey >= 0) {
    headers.emplace_back("Shard-Key", std::to_string(aKey));
  }
  aRecord.line("client sends %s to %s: %s %s, key %d", aAttempt.c_str(), aMachine.name.c_str(),
               aMethod.c_str(), aPath.c_str(), aKey);
  const Reply reply =
    call(aMachine.ip, aFleet.outboundPort(), aMethod, aPath, headers, aBody, kDeadlineMs);
  aRecord.line("client gets %s%d for %s", reply.status == 0 ? "no answer, " : "", reply.status,
               aAttempt.c_str());
  return reply;
}

/// An operator: sends an order to one member, and after 1 s without a response to the next one.
class Operator
{
public:
  Operator(Fleet& aFleet, Record& aRecord)
    : mFleet(aFleet)
    , mRecord(aRecord)
  {
  }

  /// Sends the order to the members in turn until one acknowledges it. Returns the time of the
  /// acknowledgement, or 0 if there was none within aLimitMs.
  std::int64_t order(const std::vector<std::size_t>& aMembers, const std::string& aPath,
                     const std::vector<std::pair<std::string, std::string>>& aHeaders,
                     const std::string& aBody, int aLimitMs)
  {
    const std::int64_t until = steadyMs() + aLimitMs;
    int backoff = 50;
    for (std::size_t i = 0; steadyMs() < until; ++i) {
      Machine& member = mFleet.machine(aMembers[std::min(i, aMembers.size() - 1)]);
      mRecord.line("operator sends POST %s to %s", aPath.c_str(), member.name.c_str());
      const Reply reply =
        call(member.ip, mFleet.controlPort(), "POST", aPath, aHeaders, aBody, 1000);
      mRecord.line("operator gets %s%d for %s from %s", reply.status == 0 ? "no answer, " : "",
                   reply.status, aPath.c_str(), member.name.c_str());
      if (reply.status >= 200 && reply.status < 300) {
        return steadyMs();
      }
      sleepMs(backoff);
      backoff = std::min(backoff * 2, 400);
    }
    return 0;
  }

private:
  Fleet& mFleet;
  Record& mRecord;
};

} // namespace review

#endif // CAMPHORCLEAT_REVIEW_COMMON_HARNESS_H_
