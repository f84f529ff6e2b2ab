// An order to take a zone back that was given up by the operator is carried out seconds later, on
// top of a newer evacuation of the same zone that has been acknowledged.

#include <set>

#include "../common/Harness.h"

using namespace review;

namespace {

constexpr const char* kZones[] = { "z1", "z2", "z3", "z4" };
constexpr std::size_t kCoreCount = 5;
constexpr std::size_t kCutMember = 4; // Not a seed, so it rarely leads.
constexpr const char* kEvacuated = "z2";
constexpr int kEvacuateMs = 5000; // evacuate_s of the site
constexpr int kContactMs = 3000;  // contact_s
constexpr int kCutMs = 4000;      // At most 5.5 s in the site file.
constexpr int kWatchMs = 6000;

std::string configuration()
{
  return R"({"version":"00000005","services":[{"name":"svc","health_path":"/health",)"
         R"("max_connections":110,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":18.0}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,)"
         R"("idle_timeout_s":15},"virtual_hosts":[{"host":"a.example","paths":[{"name":"r-1",)"
         R"("path_prefix":"/r1/","kind":"safe","timeout_s":1.5,"target_latency_s":0.6,"priority":1,)"
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
  for (int i = 0; i < 4; ++i) {
    fleet.add("side-" + std::to_string(i + 1), kZones[i], "svc");
  }
  // The daemon that will be cut off listens on a port of its own, and dials the others there. So
  // each connection between it and the others passes through a proxy.
  Machine& cutOff = fleet.machine(kCutMember);
  cutOff.peersPort = fleet.otherPeersPort();
  std::vector<std::unique_ptr<Proxy>> coreLinks;
  std::vector<std::unique_ptr<Proxy>> otherLinks;
  coreLinks.push_back(
    std::make_unique<Proxy>(cutOff.ip, fleet.peersPort(), cutOff.ip, fleet.otherPeersPort()));
  for (auto& it : fleet.machines()) {
    if (&it != &cutOff) {
      (it.service.empty() ? coreLinks : otherLinks)
        .push_back(
          std::make_unique<Proxy>(it.ip, fleet.otherPeersPort(), it.ip, fleet.peersPort()));
    }
  }
  for (auto* links : { &coreLinks, &otherLinks }) {
    for (auto& it : *links) {
      if (!it->start()) {
        return kCouldNotRun;
      }
    }
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
  Machine* leader = fleet.leader();
  if (leader == nullptr || leader == &cutOff) {
    record.line("the member to be cut off leads the group, so this run shows nothing");
    return kCouldNotRun;
  }
  record.line("leader: %s; member to be cut off: %s", leader->name.c_str(), cutOff.name.c_str());

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
          sendRequest(fleet, record, fleet.machine(i), "GET", "/r1/x", attempt, -1, "");
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

  const std::string start = std::string("/Evacuate.Start/") + kEvacuated;
  const std::string end = std::string("/Evacuate.End/") + kEvacuated;
  sleepMs(1000);
  if (op.order({ 0 }, start, {}, "", 4000) == 0) {
    endClients();
    return kCouldNotRun;
  }
  sleepMs(3000);
  const std::int64_t cutAt = steadyMs();
  if (hasTrouble) {
    record.line("cut: %s from the other core machines", cutOff.name.c_str());
    for (auto& it : coreLinks) {
      it->setCut(true);
    }
    sleepMs(50);
  }
  // The order to take the zone back goes to the member that is cut off first, then to others.
  const std::int64_t takenBack = op.order({ kCutMember, 0, 1, 2, 3 }, end, {}, "", 4000);
  sleepMs(500);
  const std::int64_t evacuated = op.order({ 1, 2, 3, 0 }, start, {}, "", 4000);
  if (hasTrouble) {
    sleepMs(std::max<std::int64_t>(0, cutAt + kCutMs - steadyMs()));
    record.line("the cut has healed");
    for (auto& it : coreLinks) {
      it->setCut(false);
    }
  }
  const std::int64_t healedAt = steadyMs();
  if (takenBack == 0 || evacuated == 0 || evacuated < takenBack) {
    record.line("the orders were not acknowledged");
    endClients();
    return kCouldNotRun;
  }
  // All machines are in touch contact_s after the cut has healed.
  const std::int64_t from = std::max(evacuated + kEvacuateMs, healedAt + kContactMs) + 200;
  sleepMs(from + kWatchMs - steadyMs());
  endClients();
  int late = 0;
  for (const auto& server : servers) {
    for (const Run& run : server->runs()) {
      const auto sent = sentAt.find(run.attempt);
      if (server->settings().zone == kEvacuated && run.atMs >= from && run.atMs < from + kWatchMs &&
          sent != sentAt.end() && sent->second >= from) {
        ++late;
        record.line("%s in %s ran %s, sent %.3f s and run %.3f s after the evacuation was "
                    "acknowledged",
                    server->settings().id.c_str(), kEvacuated, run.attempt.c_str(),
                    static_cast<double>(sent->second - evacuated) / 1000,
                    static_cast<double>(run.atMs - evacuated) / 1000);
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
  return late > 0 ? kBroken : kKept;
}
