// A server becomes cold again at a moment when it has steady traffic. The rule FAILBACK: a cold
// server gets no more requests in one second than warmup_per_s x warmup_excess + warmup_slack. This
// one crashes when it gets 1.5 times as many.

#include <algorithm>
#include <deque>
#include <map>

#include "Platform.h"

using namespace stand;

namespace {

constexpr double kWarmUpPerSecond = 18;
constexpr double kExcess = 1.5;
constexpr double kSlack = 5;
constexpr double kLimit = kWarmUpPerSecond * kExcess + kSlack;
constexpr double kCrash = 1.5 * kLimit;
constexpr double kWarmUpSeconds = 3;
constexpr int kClients = 8;
constexpr double kRequestsPerSecond = 80; // Of all clients.

const char* kConfiguration =
  "{\"version\":\"00000001\",\"services\":[{\"name\":\"intake\",\"health_path\":\"/health\","
  "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,"
  "\"warmup_per_s\":18.0}],"
  "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
  "\"idle_timeout_s\":15},\"virtual_hosts\":[{\"host\":\"case.example\",\"paths\":[{\"name\":\"r\","
  "\"path_prefix\":\"/in/\",\"kind\":\"unsafe\",\"timeout_s\":1.2,\"target_latency_s\":0.5,"
  "\"priority\":1,\"service\":\"intake\",\"max_attempts\":2,\"public\":true}]}]}";

std::mutex sMutex;
double sColdFrom = 0;               // 0: warm.
std::deque<double> sLastSecond;     // Requests that arrived in the last second while it was cold.
std::size_t sMost = 0;              // The most of them at once.
std::atomic<bool> sHasCrashed{ false };

bool serve(Server& aServer, Connection& aConnection, Message& aRequest)
{
  {
    const std::lock_guard<std::mutex> lock(sMutex);
    const double at = now();
    if (sColdFrom > 0 && at < sColdFrom + kWarmUpSeconds) {
      sLastSecond.push_back(at);
      while (sLastSecond.front() <= at - 1) {
        sLastSecond.pop_front();
      }
      sMost = std::max(sMost, sLastSecond.size());
      sHasCrashed = sHasCrashed || static_cast<double>(sLastSecond.size()) > kCrash;
    }
  }
  return aServer.handleDefault(aConnection, aRequest);
}

bool runOne()
{
  Deployment fleet;
  for (const char* zone : { "zone-a", "zone-b", "zone-c" }) {
    fleet.addCore(zone);
  }
  Daemon& sidecar = fleet.addSidecar("zone-a", "intake");
  fleet.startAll();
  Server::Options options;
  options.service = sidecar.service;
  options.zone = sidecar.zone;
  options.address = sidecar.address(Deployment::ports.app);
  options.control = sidecar.address(Deployment::ports.control);
  options.workSeconds = 0.06;
  Server server(options);
  server.handler = serve;
  server.start();
  fleet.putConfiguration("00000000", kConfiguration);
  sleepFor(2);

  std::atomic<bool> stop{ false };
  std::mutex countMutex;
  std::map<int, int> counts;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      double next = now() + i / kRequestsPerSecond;
      while (!stop) {
        sleepFor(std::max(0.0, next - now()));
        next += kClients / kRequestsPerSecond;
        const std::string attempt = randomId("");
        const Message response = call(sidecar.address(Deployment::ports.outbound), "POST", "/in/x",
                                      { { "Host", "case.example" },
                                        { "Attempt-Id", attempt },
                                        { "Deadline-Ms", "1200" } },
                                      "x", 2);
        record("client " + attempt + " -> " + std::to_string(response.status));
        const std::lock_guard<std::mutex> lock(countMutex);
        ++counts[response.status];
      }
    });
  }
  sleepFor(8); // The slow start after the server's own start is over.
  if (isTroubled()) {
    // Any moment: here shortly after a heartbeat.
    const double last = server.lastAcknowledged();
    while (server.lastAcknowledged() == last) {
      sleepFor(0.005);
    }
    const std::lock_guard<std::mutex> lock(sMutex);
    sColdFrom = now();
    server.turnCold(kWarmUpSeconds);
    record("server " + server.id() + " is cold again for 3 s");
  }
  for (const double end = now() + 5; now() < end; sleepFor(0.005)) {
    if (sHasCrashed) {
      server.stop();
    }
  }
  stop = true;
  for (auto& it : clients) {
    it.join();
  }
  std::string answers;
  for (const auto& it : counts) {
    answers += " " + std::to_string(it.first) + " x " + std::to_string(it.second);
  }
  record("answers:" + answers);
  record("SUMMARY most requests in one second at the cold server: " + std::to_string(sMost) +
         ", allowed " + std::to_string(kLimit) + (sHasCrashed ? "; it crashed" : ""));
  return static_cast<double>(sMost) <= kLimit;
}

} // namespace

int main(int aArgCount, char** aArgs)
{
  return runCase(aArgCount, aArgs, runOne);
}
