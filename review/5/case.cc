// A zone is evacuated that has all servers of a sharded service: its requests go on reaching them.

#include "../common/Harness.h"

using namespace review;

namespace {

constexpr const char* kZones[] = { "z1", "z2", "z3", "z4" };
constexpr std::size_t kCoreCount = 5;
constexpr const char* kEvacuated = "z2";
constexpr int kEvacuateMs = 5000; // evacuate_s of the site
constexpr int kWatchMs = 15000;

std::string configuration()
{
  return R"({"version":"00000005","services":[{"name":"svc","health_path":"/health",)"
         R"("max_connections":110,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":18.0,)"
         R"("sharded":true,"warm_s":3.0,"grants":"heartbeat"},{"name":"plain","health_path":"/health",)"
         R"("max_connections":110,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":18.0}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,)"
         R"("idle_timeout_s":15},"virtual_hosts":[{"host":"a.example","paths":[{"name":"r-1",)"
         R"("path_prefix":"/r1/","kind":"safe","timeout_s":1.5,"target_latency_s":0.6,"priority":1,)"
         R"("service":"svc","max_attempts":2,"public":true},{"name":"r-2","path_prefix":"/r2/",)"
         R"("kind":"safe","timeout_s":1.5,"target_latency_s":0.6,"priority":1,"service":"plain",)"
         R"("max_attempts":2,"public":true}]}]})";
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    return kCouldNotRun;
  }
  ::signal(SIGPIPE, SIG_IGN);
  const bool hasTrouble =
    std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
  Record record(std::string(aArguments[2]) + "/record.txt");
  Fleet fleet(aArguments[1], record);
  for (std::size_t i = 0; i < kCoreCount; ++i) {
    fleet.add("core-" + std::to_string(i + 1), kZones[i % 4], "");
  }
  fleet.add("side-1", "z2", "svc");
  fleet.add("side-2", "z2", "svc");
  fleet.add("side-3", "z1", "plain");
  fleet.add("side-4", "z3", "plain");
  if (!fleet.startAll()) {
    return kCouldNotRun;
  }
  std::vector<std::unique_ptr<Server>> servers;
  for (std::size_t i = kCoreCount; i < fleet.machines().size(); ++i) {
    const Machine& it = fleet.machine(i);
    Server::Settings settings;
    settings.id = "i-" + it.name;
    settings.service = it.service;
    settings.zone = it.zone;
    settings.ip = it.ip;
    settings.port = fleet.serverPort();
    settings.controlPort = fleet.controlPort();
    settings.isSharded = it.service == "svc";
    servers.push_back(std::make_unique<Server>(settings, record));
    if (!servers.back()->start()) {
      return kCouldNotRun;
    }
  }
  Operator op(fleet, record);
  if (op.order({ 0, 1, 2, 3 }, "/Config.Put",
               { { "Base-Version", "00000000" }, { "Content-Type", "application/json" } },
               configuration(), 15000) == 0) {
    record.line("the configuration was not acknowledged");
    return kCouldNotRun;
  }
  sleepMs(8000);
  // Clients on each machine send 10 requests a second.
  std::atomic<bool> isEnded{ false };
  std::mutex mutex;
  std::map<std::string, std::int64_t> sentAt;
  std::atomic<int> answered{ 0 };
  std::vector<std::thread> clients;
  for (std::size_t i = kCoreCount; i < fleet.machines().size(); ++i) {
    clients.emplace_back([&, i] {
      std::mt19937_64 random(std::random_device{}());
      while (!isEnded) {
        const std::string attempt = hex(random());
        {
          const std::lock_guard<std::mutex> lock(mutex);
          sentAt[attempt] = steadyMs();
        }
        const Reply reply =
          sendRequest(fleet, record, fleet.machine(i), "GET", random() % 2 == 0 ? "/r1/x" : "/r2/x",
                      attempt, static_cast<int>(random() % kKeys), "");
        answered += reply.status == 200 ? 1 : 0;
        sleepMs(100);
      }
    });
  }
  const auto endClients = [&] {
    isEnded = true;
    for (auto& it : clients) {
      it.join();
    }
    clients.clear();
  };

  sleepMs(1000);
  std::int64_t evacuated = steadyMs();
  if (hasTrouble) {
    evacuated =
      op.order({ 0, 1, 2, 3 }, std::string("/Evacuate.Start/") + kEvacuated, {}, "", 4000);
  }
  if (evacuated == 0) {
    endClients();
    return kCouldNotRun;
  }
  const std::int64_t from = evacuated + kEvacuateMs + 200;
  sleepMs(from + kWatchMs - steadyMs());
  endClients();
  int late = 0;
  for (const auto& server : servers) {
    for (const Run& run : server->runs()) {
      const auto sent = sentAt.find(run.attempt);
      if (server->settings().zone == kEvacuated && run.atMs >= from && run.atMs < from + kWatchMs &&
          sent != sentAt.end() && sent->second >= from) {
        ++late;
        if (hasTrouble) {
          record.line("%s in %s ran %s, sent %.3f s and run %.3f s after the evacuation was "
                      "acknowledged",
                      server->settings().id.c_str(), kEvacuated, run.attempt.c_str(),
                      static_cast<double>(sent->second - evacuated) / 1000,
                      static_cast<double>(run.atMs - evacuated) / 1000);
        }
      }
    }
    record.line("%s ran %zu requests", server->settings().id.c_str(), server->runs().size());
  }
  record.line("%d of %zu requests were answered with 200", answered.load(), sentAt.size());
  record.line(
    "requests that reached %s later than evacuate_s after its acknowledged evacuation: %d",
    kEvacuated, late);
  if (answered.load() < 100) {
    return kCouldNotRun;
  }
  return hasTrouble && late > 0 ? kBroken : kKept;
}
