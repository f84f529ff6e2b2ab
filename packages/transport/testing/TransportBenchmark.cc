// Measures the throughput and CPU time of messages between two hubs and of requests to
// HttpFrontend, for two seconds each.
//
// CPU times are those of the process: sender, receiver and, for HTTP, the load generator.

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <sys/resource.h>

#include "TransportFakes.h"
#include "base/Log.h"
#include "transport/HttpFrontend.h"
#include "transport/PeerHub.h"

namespace {

using namespace camphorcleat;
using namespace camphorcleat::transport;
using namespace camphorcleat::transport::testing;

constexpr Millis kRunTime{ 2000 };

double cpuSeconds()
{
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) + static_cast<double>(aTime.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

class Meter
{
public:
  void report(const char* aName, std::uint64_t aCount, const char* aUnit) const
  {
    const double wallSeconds = toSeconds(Clock::now() - mStart);
    const double usedCpuSeconds = cpuSeconds() - mCpu;
    const auto count = static_cast<double>(aCount == 0 ? 1 : aCount);
    std::printf("%-34s %9.0f %s/s, %6.2f us CPU each, %4.2f cores\n", aName, count / wallSeconds,
                aUnit, usedCpuSeconds * 1e6 / count, usedCpuSeconds / wallSeconds);
  }

private:
  TimePoint mStart = Clock::now();
  double mCpu = cpuSeconds();
};

class CountingHandler final : public PeerHandler
{
public:
  void onLinkOpened(LinkId, Lane, Duration, Duration) override {}
  void onMessage(LinkId, NodeId, Lane, wire::PeerMessage) override { ++count; }
  void onLinkLost(LinkId, NodeId, Lane, bool, bool) override {}
  std::atomic<std::uint64_t> count{ 0 };
};

PeerHubConfig configOf(NodeId aNode)
{
  PeerHubConfig config;
  config.self = aNode;
  config.incarnation = aNode;
  config.fleet = "benchmark";
  config.listenAddress = "127.0.0.1:0";
  return config;
}

void require(bool aCondition, const char* aWhat)
{
  if (!aCondition) {
    std::fprintf(stderr, "benchmark failed: %s\n", aWhat);
    std::exit(1);
  }
}

/// Sends messages as fast as the link accepts them, or at aPerSecond if it isn't 0.
void measurePeers(const char* aName, const wire::PeerMessage& aMessage, unsigned aPerSecond = 0)
{
  CountingHandler senderHandler;
  CountingHandler receiverHandler;
  PeerHub a(configOf(1), senderHandler);
  PeerHub b(configOf(2), receiverHandler);
  require(!!a.start() && !!b.start(), "can't start hubs");
  a.setAddress(2, "127.0.0.1:" + std::to_string(b.port()));
  require(a.send(2, Lane::Data, aMessage).status == SendStatus::Accepted, "can't send");
  require(waitFor([&] { return receiverHandler.count == 1; }), "the first message did not arrive");
  const Meter meter;
  const TimePoint start = Clock::now();
  std::uint64_t sent = 1;
  for (TimePoint now = start; now - start < kRunTime; now = Clock::now()) {
    const bool isDue =
      aPerSecond == 0 || static_cast<double>(sent) < toSeconds(now - start) * aPerSecond;
    if (isDue && a.send(2, Lane::Data, aMessage).status == SendStatus::Accepted) {
      ++sent;
    } else {
      std::this_thread::sleep_for(Micros(200));
    }
  }
  require(waitFor([&] { return receiverHandler.count == sent; }, Millis(10000)),
          "messages missing");
  meter.report(aName, sent, "messages");
}

class FixedResponseHandler final : public HttpHandler
{
public:
  void onRequest(std::shared_ptr<CallerStream> aStream) override
  {
    aStream->sendResponse(200, { { "Content-Type", "text/plain" } }, "hello");
  }
};

void measureHttp(const char* aName, unsigned aConnections, unsigned aPipelined)
{
  FixedResponseHandler handler;
  DutyThread thread("http");
  HttpFrontend frontend(thread.context(), "127.0.0.1:0", {}, handler);
  require(!!frontend.start(), "can't listen");
  thread.start();
  std::atomic<std::uint64_t> responses{ 0 };
  std::string requests;
  for (unsigned i = 0; i < aPipelined; ++i) {
    requests += "GET /station-lookup/rustaveli HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer abc\r\n"
                "Accept: */*\r\n\r\n";
  }
  const Meter meter;
  const TimePoint end = Clock::now() + kRunTime;
  std::vector<std::thread> callers;
  for (unsigned n = 0; n < aConnections; ++n) {
    callers.emplace_back([&] {
      BlockingSocket socket(frontend.port());
      while (Clock::now() < end) {
        socket.write(requests);
        for (unsigned got = 0; got < aPipelined;) {
          const std::string buf = socket.readUntil("hello");
          require(!buf.empty(), "no response");
          for (std::size_t at = 0; (at = buf.find("hello", at)) != std::string::npos; ++at) {
            ++got;
          }
        }
        responses += aPipelined;
      }
    });
  }
  for (auto& it : callers) {
    it.join();
  }
  meter.report(aName, responses, "requests");
  thread.stop();
}

} // namespace

int main()
{
  setUpLog(LogLevel::Error, LogFormat::Text);
  wire::RequestHead head;
  head.service = "station-lookup";
  head.key = "rustaveli";
  head.method = "GET";
  head.path = "/station-lookup/rustaveli";
  head.headers = { { "Host", "x" }, { "Accept", "*/*" }, { "User-Agent", "benchmark" } };
  wire::BodyChunk chunk;
  chunk.data = Bytes(std::string(64U << 10U, 'x'));
  measurePeers("lease renewals", wire::LeaseRenew{ 1, 2, 3, 4, 5 });
  measurePeers("request heads", head);
  measurePeers("request heads at 8,300/s", head, 8300);
  measurePeers("body chunks of 64 KiB", chunk);
  measureHttp("HTTP, 4 connections", 4, 1);
  measureHttp("HTTP, 4 connections, 8 pipelined", 4, 8);
  return 0;
}
