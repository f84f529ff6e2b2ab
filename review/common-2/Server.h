// A stand-in for a server of the platform: heartbeats, holds of keys, requests.
//
// Follows PROTOCOL.md, "Servers", "Service discovery" and "Keys that servers hold": a heartbeat about
// every heartbeat_s, a response counts if it arrives within a second and has at most 4 KiB, what a
// response leaves out is released and reported with a handover, a request runs only while its key is
// held, any other gets 421 and Not-Executed.

#ifndef REVIEW_COMMON_2_SERVER_H_
#define REVIEW_COMMON_2_SERVER_H_

#include "Rig.h"

namespace rig {

struct Row
{
  int from = 0;
  int to = 0;
  long long fence = 0;
  std::string handover;
};

// The rows of "holds" in a response, or nothing if it has none. aHoldSeconds: "hold_s".
inline std::optional<std::vector<Row>> parseHolds(const std::string& aBody, double& aHoldSeconds)
{
  const std::size_t length = aBody.find("\"hold_s\":");
  const std::size_t holds = aBody.find("\"holds\":[");
  if (length == std::string::npos || holds == std::string::npos) {
    return std::nullopt;
  }
  aHoldSeconds = std::atof(aBody.c_str() + length + 9);
  std::vector<Row> out;
  const char* at = aBody.c_str() + holds + 9;
  while (*at == '[' || *at == ',') {
    at += *at == ',' ? 1 : 0;
    Row row;
    int used = 0;
    if (std::sscanf(at, "[%d,%d,%lld,\"%n", &row.from, &row.to, &row.fence, &used) != 3) {
      break;
    }
    at += used;
    const char* end = std::strchr(at, '"');
    row.handover.assign(at, end);
    at = std::strchr(end, ']') + 1;
    out.push_back(row);
  }
  return out;
}

class Server
{
public:
  struct Settings
  {
    std::string id;
    std::string service;
    std::string zone;
    std::string ip;
    int appPort = 0;
    int controlPort = 0;
    int slots = 18;
    double workSeconds = 0.02;
    bool isSharded = true;
    double heartbeatSeconds = 0.87;
    double coldSeconds = 0;  // Since the start.
    double coldFactor = 1;   // Work takes this many times as long while the server is cold.
    double lateSeconds = 0;  // Delay of the 504 after the request's deadline.
  };

  // A request that reached the server and wasn't answered with 421.
  struct Arrival
  {
    std::string id;
    double at = 0;
  };

  explicit Server(Settings aSettings)
    : mSettings(std::move(aSettings))
    , mBorn(unixMillis())
    , mStartedAt(secondsSinceStart())
  {
    mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = addressOf(mSettings.ip, mSettings.appPort);
    if (::bind(mListener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(mListener, 256) != 0) {
      cannotRun("a server can't listen");
    }
    mAcceptThread = std::thread([this] { acceptAll(); });
    mHeartbeatThread = std::thread([this] { sendHeartbeats(); });
  }

  ~Server()
  {
    mIsStopped = true;
    ::shutdown(mListener, SHUT_RDWR);
    mAcceptThread.join();
    mHeartbeatThread.join();
    ::close(mListener);
    while (mOpenConnections > 0) {
      sleepSeconds(0.01);
    }
  }

  const Settings& settings() const { return mSettings; }

  std::vector<Row> held() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return secondsSinceStart() < mHoldUntil ? mHeld : std::vector<Row>();
  }
  bool holds(int aKey) const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return secondsSinceStart() < mHoldUntil && rowOf(mHeld, aKey) != nullptr;
  }
  std::size_t largestResponse() const { return mLargestResponse; }
  std::size_t largestRowCount() const { return mLargestRowCount; }
  std::size_t tooLargeCount() const { return mTooLargeCount; }
  double coldUntil() const { return mStartedAt + mSettings.coldSeconds; }
  std::vector<Arrival> arrivals() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mArrivals;
  }
  std::size_t runCount() const { return mRunCount; }
  std::size_t misdirectedCount() const { return mMisdirectedCount; }

private:
  static constexpr std::size_t kMaxResponseBytes = 4096;
  static constexpr double kRetrySeconds = 0.1;

  static const Row* rowOf(const std::vector<Row>& aRows, int aKey)
  {
    for (const auto& it : aRows) {
      if (it.from <= aKey && aKey <= it.to) {
        return &it;
      }
    }
    return nullptr;
  }

  void sendHeartbeats()
  {
    while (!mIsStopped) {
      const double sentAt = secondsSinceStart();
      const std::string body = heartbeat();
      const Message answer = call(mSettings.ip, mSettings.controlPort, "POST",
                                  "/Instances.Heartbeat/" + mSettings.id,
                                  { { "Content-Type", "application/json" } }, body, 1.0);
      bool mustHurry = false;
      if (answer.status / 100 == 2 && answer.isComplete) {
        mustHurry = acknowledge(answer.body, sentAt);
      }
      if (answer.status == 0 && secondsSinceStart() - sentAt < kRetrySeconds) {
        // Nobody listens. Another attempt follows soon, since there is no other node to call.
        sleepSeconds(kRetrySeconds);
        continue;
      }
      const double next = mustHurry ? secondsSinceStart() + 0.08
                                    : std::max(sentAt + mSettings.heartbeatSeconds,
                                               secondsSinceStart() + 0.02);
      while (!mIsStopped && secondsSinceStart() < next) {
        sleepSeconds(0.01);
      }
    }
  }

  std::string heartbeat()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::string out = "{\"service\":\"" + mSettings.service + "\",\"address\":\"" + mSettings.ip +
                      ":" + std::to_string(mSettings.appPort) + "\",\"zone\":\"" + mSettings.zone +
                      "\",\"version\":\"v1\",\"slots\":" + std::to_string(mSettings.slots) +
                      ",\"state\":\"ready\",\"warmup_left_s\":" +
                      std::to_string(std::max(0.0, coldUntil() - secondsSinceStart())) +
                      ",\"sequence\":" + std::to_string(++mSequence) + ",\"born\":" + std::to_string(mBorn);
    if (mSettings.isSharded) {
      std::string rows;
      if (secondsSinceStart() < mHoldUntil) {
        for (const auto& it : mHeld) {
          rows += (rows.empty() ? "[" : ",[") + std::to_string(it.from) + "," +
                  std::to_string(it.to) + "," + std::to_string(it.fence) + "]";
        }
      } else {
        mHeld.clear(); // An expired lease isn't reported in released.
      }
      std::string released;
      for (const auto& it : mReleased) {
        released += (released.empty() ? "[" : ",[") + std::to_string(it.from) + "," +
                    std::to_string(it.to) + ",\"" + it.handover + "\"]";
      }
      out += ",\"holds\":[" + rows + "],\"released\":[" + released + "]";
    }
    return out + "}";
  }

  // Returns whether another heartbeat is due within 100 ms.
  bool acknowledge(const std::string& aBody, double aSentAt)
  {
    double seconds = 0;
    const auto granted = parseHolds(aBody, seconds);
    const std::size_t rowCount = granted ? granted->size() : 0;
    if (aBody.size() > mLargestResponse) {
      mLargestResponse = aBody.size();
    }
    mLargestRowCount = std::max<std::size_t>(mLargestRowCount, rowCount);
    if (aBody.size() > kMaxResponseBytes) {
      if (mTooLargeCount++ % 10 == 0) {
        note("server %s: a heartbeat got a response of %zu bytes with %zu rows, which isn't an "
             "acknowledgement",
             mSettings.id.c_str(), aBody.size(), rowCount);
      }
      return false;
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    mReleased.clear();
    if (!granted) {
      return false;
    }
    std::vector<Row> next;
    for (const auto& it : *granted) {
      // A row is not accepted if the server has seen a higher fencing token on one of its keys.
      bool isAccepted = true;
      for (int key = it.from; key <= it.to; ++key) {
        isAccepted = isAccepted && mFences[key] <= it.fence;
      }
      if (isAccepted) {
        std::fill(mFences.begin() + it.from, mFences.begin() + it.to + 1, it.fence);
        next.push_back(it);
      }
    }
    for (const auto& it : mHeld) {
      int from = it.from;
      for (int key = it.from; key <= it.to + 1; ++key) {
        const bool isKept = key <= it.to && rowOf(next, key) != nullptr;
        if ((isKept || key > it.to) && key > from) {
          mReleased.push_back({ from, key - 1, it.fence, handover() });
        }
        from = isKept || key > it.to ? key + 1 : from;
      }
    }
    mHeld = std::move(next);
    mHoldUntil = aSentAt + seconds;
    return !mReleased.empty();
  }

  // 16 hexadecimal digits, another one for each range.
  std::string handover()
  {
    char buf[17];
    std::snprintf(buf, sizeof(buf), "%08x%08x", static_cast<unsigned>(mBorn) * 2654435761U,
                  ++mHandoverCount * 2654435761U);
    return buf;
  }

  void acceptAll()
  {
    while (!mIsStopped) {
      const int fd = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        sleepSeconds(0.005);
        continue;
      }
      ++mOpenConnections;
      std::thread([this, fd] {
        serve(fd);
        --mOpenConnections;
      }).detach();
    }
  }

  void serve(int aSocket)
  {
    Connection connection(aSocket);
    const int one = 1;
    ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    while (!mIsStopped) {
      pollfd fd{ aSocket, POLLIN, 0 };
      if (::poll(&fd, 1, 100) <= 0) {
        continue;
      }
      const Message request = connection.read(5, false);
      if (!request.isComplete) {
        return;
      }
      const std::string id = request.header("Attempt-Id");
      const int key = std::atoi(request.header("Shard-Key").c_str());
      std::string answer;
      if (request.header("Target-Instance") != mSettings.id ||
          (mSettings.isSharded && !holds(key))) {
        ++mMisdirectedCount;
        answer = "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nAttempt-Id: " + id +
                 "\r\nContent-Length: 0\r\n\r\n";
      } else {
        ++mRunCount;
        {
          const std::lock_guard<std::mutex> lock(mMutex);
          mArrivals.push_back({ id, secondsSinceStart() });
        }
        const double work = mSettings.workSeconds *
                            (secondsSinceStart() < coldUntil() ? mSettings.coldFactor : 1);
        const double left = std::atof(request.header("Deadline-Ms").c_str()) / 1000;
        if (left > 0 && work > left) {
          sleepSeconds(left + mSettings.lateSeconds);
          if (!connection.send("HTTP/1.1 504 Gateway Timeout\r\nAttempt-Id: " + id +
                               "\r\nServer-Seal: seal-" + id + "\r\nContent-Length: 0\r\n\r\n")) {
            return;
          }
          continue;
        }
        sleepSeconds(work);
        const std::string body = "run by " + mSettings.id + " for " + id;
        answer = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: seal-" + id +
                 "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      }
      if (!connection.send(answer)) {
        return;
      }
    }
  }

  const Settings mSettings;
  const long long mBorn;
  const double mStartedAt;
  int mListener = -1;
  std::atomic<bool> mIsStopped{ false };
  std::atomic<int> mOpenConnections{ 0 };
  std::thread mAcceptThread;
  std::thread mHeartbeatThread;
  mutable std::mutex mMutex;
  long long mSequence = 0;
  unsigned mHandoverCount = 0;
  std::vector<Row> mHeld;
  std::vector<Row> mReleased;
  std::vector<Arrival> mArrivals;
  std::vector<long long> mFences = std::vector<long long>(65536);
  double mHoldUntil = 0;
  std::atomic<std::size_t> mLargestResponse{ 0 };
  std::atomic<std::size_t> mLargestRowCount{ 0 };
  std::atomic<std::size_t> mTooLargeCount{ 0 };
  std::atomic<std::size_t> mRunCount{ 0 };
  std::atomic<std::size_t> mMisdirectedCount{ 0 };
};

} // namespace rig

#endif // REVIEW_COMMON_2_SERVER_H_
