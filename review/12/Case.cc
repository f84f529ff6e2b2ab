// A server in trouble answers a long upload at once, without a length, sends a part of its answer and
// resets the connection while the upload is still being written. The rule MIXED: such an answer isn't
// complete, and the client must not get it as a success.

#include <map>
#include <random>

#include "Platform.h"

using namespace stand;

namespace {

constexpr double kRunSeconds = 80;
constexpr int kEnough = 2; // The script ends when so many answers were mixed.
constexpr int kClients = 10;
constexpr double kFaultyShare = 0.4; // x of the site's `garble`, how "early".
constexpr std::size_t kAnswerBytes = 40000;
constexpr std::size_t kMinUpload = 200000;
constexpr std::size_t kMaxUpload = 360000; // The site's largest upload.
constexpr std::size_t kPieceBytes = 40000;

const char* kConfiguration =
  "{\"version\":\"00000001\",\"services\":[{\"name\":\"intake\",\"health_path\":\"/health\","
  "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,"
  "\"warmup_per_s\":1000.0}],"
  "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
  "\"idle_timeout_s\":15},\"virtual_hosts\":[{\"host\":\"case.example\",\"paths\":[{\"name\":\"r\","
  "\"path_prefix\":\"/up/\",\"kind\":\"upload\",\"timeout_s\":2,\"target_latency_s\":0.8,"
  "\"priority\":1,\"service\":\"intake\",\"max_attempts\":2,\"public\":true}]}]}";

std::atomic<int> sFaulty{ 0 };

double draw(double aMost)
{
  static thread_local std::mt19937_64 sRandom(std::random_device{}());
  return std::uniform_real_distribution<double>(0, aMost)(sRandom);
}

bool serve(Server& aServer, Connection& aConnection, Message& aRequest)
{
  if (!isTroubled() || draw(1) >= kFaultyShare) {
    if (!readBody(aConnection, false, aRequest, now() + 5)) {
      return false;
    }
    const std::string body(kAnswerBytes, 'p');
    return aConnection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " +
                            headerOf(aRequest.headers, "Attempt-Id") + "\r\nServer-Seal: seal." +
                            aServer.id() + "\r\nContent-Length: " + std::to_string(body.size()) +
                            "\r\n\r\n" + body);
  }
  ++sFaulty;
  readBody(aConnection, false, aRequest, now() + draw(0.02)); // A part of the body, if any.
  const auto part = static_cast<std::size_t>(1 + draw(30000));
  record("server " + aServer.id() + " sends " + std::to_string(part) + " of " +
         std::to_string(kAnswerBytes) + " bytes without a length and resets: " +
         headerOf(aRequest.headers, "Attempt-Id"));
  aConnection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + headerOf(aRequest.headers, "Attempt-Id") +
                   "\r\nServer-Seal: seal." + aServer.id() + "\r\n\r\n" + std::string(part, 'p'));
  sleepFor(draw(0.03));
  aConnection.reset();
  return false;
}

bool runOne()
{
  Deployment fleet;
  for (const char* zone : { "zone-a", "zone-b", "zone-c" }) {
    fleet.addCore(zone);
  }
  fleet.addSidecar("zone-a", "intake");
  fleet.addSidecar("zone-b", "intake");
  fleet.startAll();
  std::vector<std::unique_ptr<Server>> servers;
  for (auto& it : fleet.sidecars) {
    Server::Options options;
    options.service = it->service;
    options.zone = it->zone;
    options.address = it->address(Deployment::ports.app);
    options.control = it->address(Deployment::ports.control);
    servers.push_back(std::make_unique<Server>(options));
    servers.back()->handler = serve;
    servers.back()->start();
  }
  fleet.putConfiguration("00000000", kConfiguration);
  sleepFor(3);

  const double end = now() + kRunSeconds;
  std::mutex mutex;
  std::map<int, int> counts; // By status; -1 for an answer that isn't complete.
  std::atomic<int> mixed{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      while (now() < end && mixed < kEnough) {
        const std::string attempt = randomId("");
        Daemon& entry = *fleet.sidecars[static_cast<std::size_t>(i % 2)];
        const auto connection =
          Connection::dial(entry.address(Deployment::ports.outbound), 1);
        if (!connection) {
          continue;
        }
        const auto bytes =
          kMinUpload + static_cast<std::size_t>(draw(double(kMaxUpload - kMinUpload)));
        connection->send("POST /up/x HTTP/1.1\r\nHost: case.example\r\nAttempt-Id: " + attempt +
                         "\r\nDeadline-Ms: 2000\r\nContent-Length: " + std::to_string(bytes) +
                         "\r\n\r\n");
        for (std::size_t at = 0; at < bytes; at += kPieceBytes) {
          if (!connection->send(std::string(std::min(kPieceBytes, bytes - at), 'b'))) {
            break;
          }
          if (draw(1) < 0.5) {
            sleepFor(draw(0.003));
          }
        }
        Message response;
        const bool isComplete = readHead(*connection, true, response, now() + 3) &&
                                readBody(*connection, true, response, now() + 3);
        const bool isMixed = isComplete && response.status / 100 == 2 &&
                             response.body != std::string(kAnswerBytes, 'p');
        if (isMixed) {
          record("client " + attempt + " got a complete " + std::to_string(response.status) +
                 " with " + std::to_string(response.body.size()) + " bytes");
        }
        if (!isComplete || response.status / 100 != 2) {
          record("client " + attempt + " -> " + std::to_string(response.status) +
                 (isComplete ? "" : ", cut off"));
        }
        const std::lock_guard<std::mutex> lock(mutex);
        ++counts[isComplete ? response.status : -1];
        mixed += isMixed ? 1 : 0;
      }
    });
  }
  for (auto& it : clients) {
    it.join();
  }
  std::string answers;
  for (const auto& it : counts) {
    answers += " " + std::to_string(it.first) + " x " + std::to_string(it.second);
  }
  record("answers:" + answers);
  record("SUMMARY answers cut by a reset: " + std::to_string(sFaulty) +
         ", given to clients as complete: " + std::to_string(mixed));
  return mixed == 0;
}

} // namespace

int main(int aArgCount, char** aArgs)
{
  return runCase(aArgCount, aArgs, runOne);
}
