// The configuration has grown by many routes, and versions that change the time-outs follow. The
// core's processes keep every version in memory. The platform ends a process that uses more than
// memory_mb and starts it again. The rule "Fault": on half of the core, processes end by themselves
// three times in the day with no disruption there (memory over the limit counts).

#include <algorithm>
#include <condition_variable>
#include <csignal>
#include <cstring>
#include <fstream>
#include <map>
#include <memory>

#include "Platform.h"

using namespace stand;

namespace {

constexpr long kMemoryKilobytes = 256 * 1024; // memory_mb of a core machine.
constexpr int kFirstRoutes = 8;
constexpr int kGrowth = 426; // The largest count of big_config.
constexpr int kGrowths = 6;
constexpr int kOpenOrders = 4; // Up to eight orders may be in progress at once.
constexpr double kGap = 0.06;  // The smallest gap_s of config_storm.
constexpr int kMaxVersions = 999; // A day may contain hundreds of changes.
constexpr int kEndsForFault = 3;
constexpr double kRunSeconds = 92;

std::string configuration(int aVersion, int aRoutes, int aTimeoutMillis)
{
  std::string routes;
  for (int i = 0; i < aRoutes; ++i) {
    char text[512];
    std::snprintf(text, sizeof(text),
                  "%s{\"name\":\"station-crowding-outlook-%06d\",\"path_prefix\":"
                  "\"/station-crowding-outlooks/line-%06d/\",\"kind\":\"safe\",\"timeout_s\":%.3f,"
                  "\"target_latency_s\":0.6,\"priority\":2,\"weighted_services\":["
                  "{\"service\":\"feed-intake\",\"weight\":90},"
                  "{\"service\":\"feed-archive\",\"weight\":10}],\"max_attempts\":2,"
                  "\"public\":false}",
                  i == 0 ? "" : ",", i, i, aTimeoutMillis / 1000.0);
    routes += text;
  }
  const auto service = [](const std::string& aName) {
    return "{\"name\":\"" + aName +
           "\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\","
           "\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":18.0}";
  };
  char version[16];
  std::snprintf(version, sizeof(version), "%08x", aVersion);
  return std::string("{\"version\":\"") + version + "\",\"services\":[" + service("feed-intake") +
         "," + service("feed-archive") +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
         "\"header_timeout_s\":3,\"idle_timeout_s\":15},\"tenants\":[{\"name\":\"north\","
         "\"api_keys\":[\"3fexd9dnn2ctnfzs989a\"],\"priority\":1,\"rate_per_s\":144,"
         "\"burst\":144}],\"virtual_hosts\":[{\"host\":\"ficu95.example\",\"paths\":[" +
         routes + "]}]}";
}

// The process's own memory, without the pages of files, in kilobytes.
long memoryOf(pid_t aPid)
{
  std::ifstream in("/proc/" + std::to_string(aPid) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.compare(0, 8, "RssAnon:") == 0) {
      return std::atol(line.c_str() + 8);
    }
  }
  return 0;
}

// The platform: ends a core process that uses too much memory and starts it again after 0.3 s.
class MemoryWatch
{
public:
  explicit MemoryWatch(Deployment& aFleet)
    : mFleet(aFleet)
    , mEnds(aFleet.cores.size())
    , mPeak(aFleet.cores.size())
    , mThread([this] { run(); })
  {
  }
  ~MemoryWatch()
  {
    mStop = true;
    mThread.join();
  }
  bool isFault() const
  {
    const auto n = std::count_if(mEnds.begin(), mEnds.end(),
                                 [](const auto& aEnds) { return aEnds >= kEndsForFault; });
    return 2 * static_cast<std::size_t>(n) >= mEnds.size();
  }
  std::string text() const
  {
    std::string out;
    for (std::size_t i = 0; i < mEnds.size(); ++i) {
      out += (i == 0 ? "" : ", ") + mFleet.cores[i]->name + " ended " +
             std::to_string(mEnds[i]) + " times, most memory " + std::to_string(mPeak[i] / 1024) +
             " MB";
    }
    return out;
  }

private:
  void run()
  {
    std::vector<double> startAt(mEnds.size(), 0);
    while (!mStop) {
      for (std::size_t i = 0; i < mEnds.size(); ++i) {
        Daemon& core = *mFleet.cores[i];
        if (startAt[i] > 0) {
          if (now() >= startAt[i]) {
            startAt[i] = 0;
            core.writeSettings(mFleet.seeds(), false);
            core.start();
          }
          continue;
        }
        const long kilobytes = memoryOf(core.pid());
        mPeak[i] = std::max(mPeak[i].load(), kilobytes);
        if (kilobytes > kMemoryKilobytes) {
          record("platform: " + core.name + " uses " + std::to_string(kilobytes) +
                 " kB, more than memory_mb");
          core.kill(SIGKILL);
          core.awaitEnd(3);
          ++mEnds[i];
          startAt[i] = now() + 0.3;
        }
      }
      sleepFor(0.05);
    }
  }

  Deployment& mFleet;
  std::vector<std::atomic<int>> mEnds;
  std::vector<std::atomic<long>> mPeak;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

// The operator: sends versions, each on top of the one before, with a few orders in progress.
class Operator
{
public:
  explicit Operator(Deployment& aFleet)
    : mFleet(aFleet)
  {
  }
  // Sends the next version. Waits while too many orders are in progress.
  void send(int aRoutes, int aTimeoutMillis)
  {
    {
      std::unique_lock<std::mutex> lock(mMutex);
      mChanged.wait(lock, [this] { return mOpen < kOpenOrders; });
      ++mOpen;
    }
    const int version = mVersion + 1;
    char base[16];
    std::snprintf(base, sizeof(base), "%08x", mVersion);
    const std::string body = configuration(version, aRoutes, aTimeoutMillis);
    Daemon& core = *mFleet.cores[mCore];
    const std::shared_ptr<Connection> connection =
      Connection::dial(core.address(Deployment::ports.control), 1);
    const bool isSent =
      connection &&
      connection->send("POST /Config.Put HTTP/1.1\r\nHost: platform\r\nBase-Version: " +
                       std::string(base) + "\r\nContent-Type: application/json\r\n" +
                       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    mVersion = version;
    ++mSent;
    mThreads.emplace_back([this, connection, isSent, version, name = core.name] {
      Message response;
      if (isSent) {
        readHead(*connection, true, response, now() + 4);
      }
      record("Config.Put " + std::to_string(version) + " to " + name + " -> " +
             std::to_string(response.status));
      const std::lock_guard<std::mutex> lock(mMutex);
      --mOpen;
      mAcked += response.status == 200 ? 1 : 0;
      mHasFailed = mHasFailed || response.status != 200;
      mChanged.notify_all();
    });
  }
  // After a failure: awaits the orders in progress and reads the version in force.
  void recover(double aUntil)
  {
    if (!mHasFailed) {
      return;
    }
    awaitAll();
    mHasFailed = false;
    for (std::size_t i = 0; now() < aUntil; ++i) {
      mCore = i % mFleet.cores.size();
      const Message response = call(mFleet.cores[mCore]->address(Deployment::ports.control), "GET",
                                    "/Config.Get", {}, "", 1);
      if (response.status == 200) {
        mVersion = static_cast<int>(
          std::strtol(response.body.c_str() + response.body.find(":\"") + 2, nullptr, 16));
        record("Config.Get at " + mFleet.cores[mCore]->name + " -> version " +
               std::to_string(mVersion));
        return;
      }
      sleepFor(0.1);
    }
  }
  void awaitAll()
  {
    for (auto& it : mThreads) {
      it.join();
    }
    mThreads.clear();
  }
  int sent() const { return mSent; }
  int acked() const { return mAcked; }

private:
  Deployment& mFleet;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::vector<std::thread> mThreads;
  std::size_t mCore = 0;
  int mVersion = 0;
  int mOpen = 0;
  int mSent = 0;
  int mAcked = 0;
  std::atomic<bool> mHasFailed{ false };
};

bool runOne()
{
  Deployment fleet;
  for (const char* zone : { "zone-a", "zone-b", "zone-c" }) {
    fleet.addCore(zone);
  }
  fleet.addSidecar("zone-a", "feed-intake");
  fleet.startAll();
  sleepFor(3);
  MemoryWatch platform(fleet);
  Operator orders(fleet);
  const double end = now() + kRunSeconds;
  int routes = kFirstRoutes;
  double next = now();
  for (int i = 0; now() < end && orders.sent() < kMaxVersions && !platform.isFault(); ++i) {
    orders.send(routes, 1500 + i % 900);
    orders.recover(end);
    if (isTroubled() && i < kGrowths) {
      routes += kGrowth;
    }
    next = std::max(next + kGap, now());
    sleepFor(next - now());
  }
  orders.awaitAll();
  record("SUMMARY versions sent " + std::to_string(orders.sent()) + ", acknowledged " +
         std::to_string(orders.acked()) + ", routes " + std::to_string(routes) + ": " +
         platform.text());
  return !platform.isFault();
}

} // namespace

int main(int aArgCount, char** aArgs)
{
  return runCase(aArgCount, aArgs, runOne);
}
