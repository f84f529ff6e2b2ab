// After a restart of the daemon beside it, a server that has left is in use again, because a
// heartbeat that it sent before it left arrives late.

#include "../common/Harness.h"

using namespace review;

namespace {

constexpr const char* kZones[] = { "z1", "z2", "z3", "z4" };
constexpr std::size_t kCoreCount = 5;
constexpr std::size_t kServerCount = 4;
constexpr int kDownMs = 500;
constexpr int kLateMs = 2000;    // From the sending of the heartbeat to its arrival.
constexpr int kContactMs = 3000; // contact_s of the site
constexpr int kDrainMs = 2000;   // drain_s
constexpr int kServesOnMs = 12000;

std::string configuration()
{
  return R"({"version":"00000005","services":[{"name":"svc","health_path":"/health",)"
         R"("max_connections":110,"protocol":"h1","tls":false}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,)"
         R"("idle_timeout_s":15},"virtual_hosts":[{"host":"a.example","paths":[{"name":"r-1",)"
         R"("path_prefix":"/r1/","kind":"unsafe","timeout_s":1.5,"target_latency_s":0.6,"priority":1,)"
         R"("service":"svc","max_attempts":2,"public":true}]}]})";
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
  for (std::size_t i = 0; i < kServerCount; ++i) {
    fleet.add("side-" + std::to_string(i + 1), kZones[i], "svc");
  }
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
          sendRequest(fleet, record, fleet.machine(i), "POST", "/r1/x", attempt, -1, "abc");
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

  sleepMs(2000);
  Server& leaving = *servers.front();
  Machine& machine = fleet.machine(kCoreCount);
  const std::int64_t sentLateAt = steadyMs();
  const auto lateHeartbeat = leaving.sendLateHeartbeat();
  record.line("%s sends a heartbeat%s", leaving.settings().id.c_str(),
              hasTrouble ? ", which is held up" : "");
  if (!hasTrouble) {
    lateHeartbeat();
  }
  sleepMs(200);
  if (!leaving.deregister()) {
    record.line("the deregistration was not acknowledged");
    endClients();
    return kCouldNotRun;
  }
  const std::int64_t leftAt = steadyMs();
  record.line("the deregistration of %s is acknowledged; it serves on for %.1f s",
              leaving.settings().id.c_str(), kServesOnMs / 1000.0);
  sleepMs(200);
  if (hasTrouble) {
    fleet.signal(machine, SIGKILL);
    sleepMs(kDownMs);
    if (!fleet.start(machine, false)) {
      endClients();
      return kCouldNotRun;
    }
  }
  const std::int64_t restartedAt = steadyMs();
  if (hasTrouble) {
    sleepMs(std::max<std::int64_t>(0, sentLateAt + kLateMs - steadyMs()));
    const Reply reply = lateHeartbeat();
    record.line("the heartbeat arrives %.1f s late and is answered with %d",
                static_cast<double>(steadyMs() - sentLateAt) / 1000, reply.status);
  }
  // The machine that was killed is in touch again contact_s later.
  const std::int64_t from = std::max(leftAt + kDrainMs, restartedAt + kContactMs) + 200;
  sleepMs(leftAt + kServesOnMs - steadyMs());
  leaving.stop();
  record.line("%s has ended", leaving.settings().id.c_str());
  endClients();
  int late = 0;
  for (const Run& run : leaving.runs()) {
    const auto sent = sentAt.find(run.attempt);
    if (run.atMs >= from && sent != sentAt.end() && sent->second >= from) {
      ++late;
      record.line("%s ran %s, sent %.3f s and run %.3f s after it was acknowledged to be gone",
                  leaving.settings().id.c_str(), run.attempt.c_str(),
                  static_cast<double>(sent->second - leftAt) / 1000,
                  static_cast<double>(run.atMs - leftAt) / 1000);
    }
  }
  for (const auto& it : servers) {
    record.line("%s ran %zu requests", it->settings().id.c_str(), it->runs().size());
  }
  record.line("%d of %zu requests were answered with 200", answered.load(), sentAt.size());
  record.line("requests that reached the server that had left: %d", late);
  if (answered.load() < 100) {
    return kCouldNotRun;
  }
  return late > 0 ? kBroken : kKept;
}
