// Case 9: the daemon beside a cold server is killed and started again. It doesn't know what its earlier
// process sent to the server in the last second, and sends as much again.

#include "../common-2/Server.h"

using namespace rig;

namespace {

constexpr double kStartSeconds = 8;
constexpr double kCalmSeconds = 3;
constexpr int kRounds = 3;
constexpr double kRestartSeconds = 0.3; // The "short delay" before a killed process is restarted.
constexpr double kWarmUpSeconds = 3;    // warmup_s
constexpr int kColdRate = 18;           // warmup_per_s
constexpr double kExcess = 1.5;         // warmup_excess
constexpr double kSlack = 5;            // warmup_slack
constexpr const char* kService = "wuno96b";
constexpr const char* kHost = "ficu95.example";
constexpr const char* kKey = "3fexd9dnn2ctnfzs989a";

std::string document()
{
  return R"({"version":"00000001","services":[{"name":"wuno96b","health_path":"/health",)"
         R"("max_connections":110,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":18.0}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,)"
         R"("idle_timeout_s":15},"tenants":[{"name":"hule930","api_keys":["3fexd9dnn2ctnfzs989a"],)"
         R"("priority":1,"rate_per_s":5000,"burst":5000}],"virtual_hosts":[{"host":"ficu95.example",)"
         R"("paths":[{"name":"r-1","path_prefix":"/lohu930/","kind":"safe","timeout_s":1.2,)"
         R"("target_latency_s":0.6,"priority":1,"service":"wuno96b","max_attempts":2,)"
         R"("public":false}]}]})";
}

// Clients on the machines, each with a new connection for each request.
class Clients
{
public:
  Clients(const Deployment& aDeployment, std::vector<Machine*> aMachines, unsigned aThreads)
    : mDeployment(aDeployment)
    , mMachines(std::move(aMachines))
  {
    for (unsigned i = 0; i < aThreads; ++i) {
      mThreads.emplace_back([this, i] { run(i); });
    }
  }
  ~Clients()
  {
    mIsStopped = true;
    for (auto& it : mThreads) {
      it.join();
    }
  }
  std::map<std::string, double> sendTimes() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mSendTimes;
  }

private:
  void run(unsigned aThread)
  {
    for (unsigned i = 0; !mIsStopped; ++i) {
      const Machine& at = *mMachines[aThread % mMachines.size()];
      char id[32];
      std::snprintf(id, sizeof(id), "%08x%08x", aThread, i);
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mSendTimes[id] = secondsSinceStart();
      }
      const Message answer =
        call(at.ip, mDeployment.ports.outbound, "GET", "/lohu930/2f",
             { { "Attempt-Id", id },
               { "Deadline-Ms", "1500" },
               { "Authorization", std::string("Bearer ") + kKey } },
             "", 1.5, kHost);
      if (i % 50 == 0) {
        note("client: request %s to %s: %d %s", id, at.name.c_str(), answer.status,
             answer.body.substr(0, answer.body.find('\n')).c_str());
      }
      sleepSeconds(0.05);
    }
  }

  const Deployment& mDeployment;
  std::vector<Machine*> mMachines;
  std::atomic<bool> mIsStopped{ false };
  mutable std::mutex mMutex;
  std::map<std::string, double> mSendTimes;
  std::vector<std::thread> mThreads;
};

std::unique_ptr<Server> startServer(const Deployment& aDeployment, const Machine& aMachine,
                                    const std::string& aId, double aColdSeconds)
{
  Server::Settings settings;
  settings.id = aId;
  settings.service = kService;
  settings.zone = aMachine.zone;
  settings.ip = aMachine.ip;
  settings.appPort = aDeployment.ports.app;
  settings.controlPort = aDeployment.ports.control;
  settings.isSharded = false;
  settings.coldSeconds = aColdSeconds;
  note("server %s started, cold for %.1f s", aId.c_str(), aColdSeconds);
  return std::make_unique<Server>(settings);
}

// The most requests in one second that were both sent and arrived in it, while the server was cold.
int mostInOneSecond(const Server& aServer, const std::map<std::string, double>& aSendTimes,
                    double& aBegin)
{
  std::vector<std::pair<double, double>> requests; // Sent, arrived.
  for (const auto& it : aServer.arrivals()) {
    const auto sent = aSendTimes.find(it.id);
    if (it.at < aServer.coldUntil() && sent != aSendTimes.end()) {
      requests.emplace_back(sent->second, it.at);
    }
  }
  int most = 0;
  for (const auto& first : requests) {
    const double begin = first.first;
    const int n = static_cast<int>(
      std::count_if(requests.begin(), requests.end(), [&](const auto& aRequest) {
        return aRequest.first >= begin && aRequest.second < begin + 1;
      }));
    if (n > most) {
      most = n;
      aBegin = begin;
    }
  }
  return most;
}

int run()
{
  const char* variable = getenv("TROUBLE");
  const bool isKilled = variable == nullptr || std::string(variable) != "0";

  Deployment deployment;
  const char* zones[] = { "tb-vake", "tb-saburtalo", "tb-isani" };
  std::vector<Machine*> core;
  for (int i = 0; i < 3; ++i) {
    core.push_back(&deployment.add("core-" + std::to_string(i + 1), zones[i], ""));
  }
  Machine& first = deployment.add("sidecar-1", zones[0], kService);
  Machine& second = deployment.add("sidecar-2", zones[0], kService);
  for (Machine* it : core) {
    deployment.start(*it, core, true);
  }
  deployment.start(first, core, true);
  deployment.start(second, core, true);
  auto cold = startServer(deployment, first, "i-1", 0);
  const auto warm = startServer(deployment, second, "i-2", 0);
  if (order(deployment, core, "/Config.Put", "00000000", document(), 20) != 200) {
    cannotRun("the first configuration was not accepted");
  }
  sleepSeconds(kStartSeconds);
  Clients clients(deployment, { &first, &second }, 40);
  sleepSeconds(kCalmSeconds);

  const double bound = kColdRate * kExcess + kSlack;
  int most = 0;
  for (int i = 0; i < kRounds; ++i) {
    cold.reset();
    note("the server of sidecar-1 has ended");
    sleepSeconds(0.5);
    cold = startServer(deployment, first, "i-" + std::to_string(i + 10), kWarmUpSeconds);
    while (cold->arrivals().size() < kColdRate && secondsSinceStart() < cold->coldUntil()) {
      sleepSeconds(0.002);
    }
    if (isKilled) {
      note("sidecar-1's daemon is killed");
      first.process.kill();
      sleepSeconds(kRestartSeconds);
      deployment.start(first, core, false);
    }
    sleepSeconds(kWarmUpSeconds);
    double begin = 0;
    const int n = mostInOneSecond(*cold, clients.sendTimes(), begin);
    for (const auto& it : cold->arrivals()) {
      if (it.at < cold->coldUntil()) {
        note("cold server %s: request %s arrived at %.3f", cold->settings().id.c_str(), it.id.c_str(),
             it.at);
      }
    }
    note("round %d: %d requests in the second from %.3f on (bound %.0f)", i + 1, n, begin, bound);
    most = std::max(most, n);
    sleepSeconds(3);
  }
  if (most > bound) {
    note("broken: FAILBACK: %d requests in one second, bound %.0f", most, bound);
    return kBroken;
  }
  note("held: at most %d requests in one second, bound %.0f", most, bound);
  return kHeld;
}

} // namespace

int main(int aCount, char** aArguments)
{
  return runCase(aCount, aArguments, run);
}
