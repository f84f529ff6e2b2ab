// A heartbeat of another writer lacks the field "version". It names no server to use, and the
// server beside the daemon goes on as before. The rule OWNER: two servers that are up don't hold
// the same keys for over half a second.

#include <map>

#include "Platform.h"

using namespace stand;

namespace {

constexpr double kMaxOverlap = 0.5;

const char* kConfiguration =
  "{\"version\":\"00000001\",\"services\":[{\"name\":\"lookup\",\"health_path\":\"/health\","
  "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,"
  "\"warmup_per_s\":18.0,\"sharded\":true,\"warm_s\":3.0,\"grants\":\"heartbeat\"}],"
  "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
  "\"idle_timeout_s\":15},\"virtual_hosts\":[{\"host\":\"case.example\",\"paths\":[{\"name\":\"r\","
  "\"path_prefix\":\"/look/\",\"kind\":\"safe\",\"timeout_s\":1.5,\"target_latency_s\":0.6,"
  "\"priority\":1,\"service\":\"lookup\",\"max_attempts\":2,\"public\":true}]}]}";

// Compares the holds of both servers every 20 ms. Returns the longest time for which both held the
// same key.
class Watch
{
public:
  Watch(const Server& aOne, const Server& aOther)
    : mOne(aOne)
    , mOther(aOther)
    , mSince(65536, -1)
  {
  }
  void look()
  {
    const double at = now();
    unsigned shared = 0;
    for (unsigned key = 0; key < 65536; key += 64) { // Grants are of whole ranges of 64 keys.
      const Hold one = mOne.holdOf(key);
      const Hold other = mOther.holdOf(key);
      if (one.until == 0 || other.until == 0) {
        mSince[key] = -1;
        continue;
      }
      ++shared;
      if (mSince[key] < 0) {
        mSince[key] = at;
        if (!mIsReported) {
          mIsReported = true;
          record("key " + std::to_string(key) + " is held by " + mOne.id() + " with fence " +
                 std::to_string(one.fence) + " for " + std::to_string(one.until - at) +
                 " s more, and by " + mOther.id() + " with fence " + std::to_string(other.fence) +
                 " for " + std::to_string(other.until - at) + " s more");
        }
      }
      mLongest = std::max(mLongest, at - mSince[key]);
    }
    mMostShared = std::max(mMostShared, shared);
  }
  double longest() const { return mLongest; }
  unsigned mostShared() const { return mMostShared; }

private:
  const Server& mOne;
  const Server& mOther;
  std::vector<double> mSince;
  double mLongest = 0;
  unsigned mMostShared = 0;
  bool mIsReported = false;
};

bool runOne()
{
  Deployment fleet;
  for (const char* zone : { "zone-a", "zone-b", "zone-c" }) {
    fleet.addCore(zone);
  }
  fleet.addSidecar("zone-a", "lookup");
  fleet.addSidecar("zone-b", "lookup");
  fleet.startAll();
  std::vector<std::unique_ptr<Server>> servers;
  for (auto& it : fleet.sidecars) {
    Server::Options options;
    options.service = it->service;
    options.zone = it->zone;
    options.address = it->address(Deployment::ports.app);
    options.control = it->address(Deployment::ports.control);
    options.isKeyed = true;
    servers.push_back(std::make_unique<Server>(options));
    servers.back()->start();
  }
  fleet.putConfiguration("00000000", kConfiguration);
  const double until = now() + 30;
  while (servers[0]->heldKeys() + servers[1]->heldKeys() < 65536 || servers[0]->heldKeys() == 0 ||
         servers[1]->heldKeys() == 0) {
    if (now() > until) {
      throw CannotRun{ "the keys were not granted" };
    }
    sleepFor(0.05);
  }
  sleepFor(2);
  record("all keys are held: " + std::to_string(servers[0]->heldKeys()) + " and " +
         std::to_string(servers[1]->heldKeys()));

  const auto ask = [&](int aNumber) {
    const std::string key = std::to_string((aNumber * 7919) % 65536);
    const std::string attempt = randomId("");
    Daemon& entry = *fleet.sidecars[static_cast<std::size_t>(aNumber % 2)];
    const Message response = call(entry.address(Deployment::ports.outbound), "GET", "/look/x",
                                  { { "Host", "case.example" },
                                    { "Attempt-Id", attempt },
                                    { "Deadline-Ms", "1500" },
                                    { "Shard-Key", key } },
                                  "", 2);
    record("client " + attempt + " key " + key + " via " + entry.name + " -> " +
           std::to_string(response.status));
    return response.status;
  };
  Watch watch(*servers[0], *servers[1]);
  int number = 0;
  std::map<int, int> before;
  std::map<int, int> after;
  for (int i = 0; i < 60; ++i) {
    ++before[ask(number++)];
    watch.look();
    sleepFor(0.02);
  }
  if (isTroubled()) {
    const Server::Options& options = servers[0]->options();
    // All fields are as the pages say, but "version" is missing. Its server says that it leaves.
    const std::string body =
      "{\"service\":\"" + options.service + "\",\"address\":\"" + options.address +
      "\",\"zone\":\"" + options.zone +
      "\",\"slots\":18,\"state\":\"draining\",\"warmup_left_s\":0,\"sequence\":1,\"born\":" +
      std::to_string(unixMillis()) + ",\"holds\":[],\"released\":[]}";
    const Message response =
      call(options.control, "POST", "/Instances.Heartbeat/i-otherwriter",
           { { "Content-Type", "application/json" } }, body, 1.0);
    record("other writer: beat i-otherwriter " + body + " -> " + std::to_string(response.status) +
           " " + response.body);
  }
  const double end = now() + 12;
  while (now() < end) {
    ++after[ask(number++)];
    watch.look();
    sleepFor(0.02);
  }
  const auto tell = [](const std::string& aWhen, const std::map<int, int>& aCounts) {
    std::string text = aWhen + ":";
    for (const auto& it : aCounts) {
      text += " " + std::to_string(it.first) + " x " + std::to_string(it.second);
    }
    record(text);
  };
  tell("answers before", before);
  tell("answers after", after);
  record("longest time for which both servers held one key: " + std::to_string(watch.longest()) +
         " s; most ranges of 64 keys at once: " + std::to_string(watch.mostShared()));
  return watch.longest() <= kMaxOverlap;
}

} // namespace

int main(int aArgCount, char** aArgs)
{
  return runCase(aArgCount, aArgs, runOne);
}
