// Guards against target events that don't match what the target did: all measures are computed from
// them.

#include <cstdlib>
#include <filesystem>

#include <catch2/catch.hpp>

#include "LoopThread.h"
#include "TestSocket.h"
#include "harness/HttpCall.h"
#include "harness/PatternBytes.h"
#include "harness/TargetServer.h"

namespace camphorcleat::harness {
namespace {

constexpr Millis kTimeout{ 2000 };
const Endpoint kAnyPort(boost::asio::ip::address_v4::loopback(), 0);

struct Fixture
{
  explicit Fixture(TargetSettings aSettings)
  {
    path = (std::filesystem::temp_directory_path() / "camphorcleat-target-XXXXXX").string();
    REQUIRE(::close(::mkstemp(path.data())) == 0);
    thread.run([&] {
      server.emplace(thread.loop(), kAnyPort, std::move(aSettings),
                     JsonLineWriter::open(path).value());
      endpoint = server->endpoint();
    });
  }
  ~Fixture()
  {
    thread.stop();
    std::filesystem::remove(path);
  }

  HttpResponse get(const std::string& aTarget)
  {
    return httpCall(endpoint, "GET", aTarget, "", kTimeout).value();
  }
  void sendAdminRequest(const std::string& aTarget, const std::string& aBody = "")
  {
    REQUIRE(thread.run([&] {
      return server->handleAdminRequest({ "POST", UrlQuery(aTarget), aBody }).status;
    }) == 200);
  }
  std::vector<TargetEvent> events(TargetEventKind aKind)
  {
    std::vector<TargetEvent> out;
    const auto all = readJsonLines<TargetEvent>(path);
    for (const auto& it : all.value()) {
      if (it.kind == aKind) {
        out.push_back(it);
      }
    }
    return out;
  }
  // Waits until an event is recorded, for events that no HTTP response signals.
  bool waitForEvent(TargetEventKind aKind)
  {
    const TimePoint deadline = Clock::now() + kTimeout;
    while (events(aKind).empty() && Clock::now() < deadline) {
      std::this_thread::sleep_for(Millis(5));
    }
    return !events(aKind).empty();
  }

  std::string path;
  LoopThread thread;
  std::optional<TargetServer> server;
  Endpoint endpoint;
};

TargetSettings settings()
{
  TargetSettings out;
  out.id = 3;
  out.service = "storefront";
  out.slots = 2;
  out.coldSlots = 2;
  out.serviceTimeMs = 1;
  return out;
}

} // namespace

TEST_CASE("a request is echoed and recorded with the names of its headers, not their values")
{
  Fixture f(settings());
  TestSocket client(f.endpoint);
  client.send("POST /storefront/k1/x?id=c1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
              "Camphorcleat-Request-Id: r1\r\nCamphorcleat-Service: storefront\r\n"
              "Camphorcleat-Key: k1\r\nCamphorcleat-Account: acme\r\nCamphorcleat-Fence: 17\r\n"
              "Idempotency-Key: i1\r\nX-Note: private\r\nConnection: close\r\n\r\nabc");
  const std::string response = client.receive(1U << 20U, kTimeout);
  // The last text is the start of the SHA-256 hash of "abc".
  for (const char* it : { R"("key":"k1")", R"("request":"r1")", R"("account":"acme")",
                          R"("body_bytes":3)", R"("target":3)", "ba7816bf8f01cfea" }) {
    REQUIRE(response.find(it) != std::string::npos);
  }
  const auto starts = f.events(TargetEventKind::Start);
  REQUIRE(starts.size() == 1);
  REQUIRE(starts[0].fence == FencingToken(17));
  REQUIRE(starts[0].request == "r1");
  REQUIRE(starts[0].idempotencyKey == std::string("i1"));
  REQUIRE(starts[0].path == "/storefront/k1/x?id=c1");
  REQUIRE(starts[0].inFlight == 1);
  REQUIRE_FALSE(starts[0].secretSeen);
  const auto& names = starts[0].headerNames.value();
  REQUIRE(std::count(names.begin(), names.end(), "X-Note") == 1);
  REQUIRE(std::count(names.begin(), names.end(), "private") == 0);
  REQUIRE(f.events(TargetEventKind::End).size() == 1);
}

TEST_CASE("a secret in a header or in the path is reported")
{
  Fixture f(settings());
  f.sendAdminRequest("/secret", "hush");
  TestSocket client(f.endpoint);
  client.send("GET /storefront/k1/x HTTP/1.1\r\nHost: h\r\nX-A: a hush b\r\n"
              "Connection: close\r\n\r\n");
  client.receive(1U << 20U, kTimeout);
  REQUIRE(f.get("/storefront/k1/hush").status == 200);
  REQUIRE(f.get("/storefront/k1/fine").status == 200);
  const auto starts = f.events(TargetEventKind::Start);
  REQUIRE(starts.size() == 3);
  REQUIRE(starts[0].secretSeen.value_or(false));
  REQUIRE(starts[1].secretSeen.value_or(false));
  REQUIRE_FALSE(starts[2].secretSeen.value_or(false));
}

TEST_CASE("a streamed response is the pattern of the caller's id")
{
  Fixture f(settings());
  const HttpResponse response = f.get("/storefront/k1/x?id=c9&bytes=200001");
  REQUIRE(response.body == patternBytes("c9", 0, 200001));
  REQUIRE(f.get("/storefront/k1/x?id=c8&bytes=200001").body != response.body);
}

TEST_CASE("a pattern doesn't depend on the sizes of the parts it is generated in")
{
  const std::string expected = patternBytes("seed", 0, 1000);
  REQUIRE(patternBytes("seed", 0, 333) + patternBytes("seed", 333, 667) == expected);
  REQUIRE(patternBytes("seed", 7, 5) == expected.substr(7, 5));
}

TEST_CASE("closing a connection cancels its request and frees the slot")
{
  Fixture f(settings());
  {
    TestSocket client(f.endpoint);
    client.send("GET /storefront/k1/x?work_ms=60000 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(f.waitForEvent(TargetEventKind::Start));
  }
  REQUIRE(f.waitForEvent(TargetEventKind::Cancel));
  REQUIRE(f.events(TargetEventKind::Cancel)[0].reason == std::string("closed"));
  REQUIRE(f.get("/health").body.find(R"("in_flight":0)") != std::string::npos);
}

TEST_CASE("a request is cancelled at its deadline, measured from its arrival")
{
  Fixture f(settings());
  TestSocket client(f.endpoint);
  const TimePoint start = Clock::now();
  client.send("GET /storefront/k1/x?work_ms=60000 HTTP/1.1\r\nHost: h\r\n"
              "Camphorcleat-Deadline-Ms: 50\r\nConnection: close\r\n\r\n");
  REQUIRE(client.receive(1U << 20U, kTimeout).find("504") != std::string::npos);
  REQUIRE(Clock::now() - start >= Millis(50));
  REQUIRE(f.events(TargetEventKind::Cancel)[0].reason == std::string("deadline"));
}

TEST_CASE("a request above the limit is recorded, and refused if the target sheds load")
{
  TargetSettings sheddingSettings = settings();
  sheddingSettings.shedsLoad = true;
  Fixture f(sheddingSettings);
  TestSocket first(f.endpoint);
  TestSocket second(f.endpoint);
  first.send("GET /a?work_ms=60000 HTTP/1.1\r\nHost: h\r\n\r\n");
  second.send("GET /a?work_ms=60000 HTTP/1.1\r\nHost: h\r\n\r\n");
  const TimePoint deadline = Clock::now() + kTimeout;
  while (f.events(TargetEventKind::Start).size() < 2 && Clock::now() < deadline) {
    std::this_thread::sleep_for(Millis(5));
  }
  REQUIRE(f.get("/storefront/k1/x").status == 503);
  REQUIRE(f.events(TargetEventKind::Excess).size() == 1);
  REQUIRE(f.events(TargetEventKind::Shed).size() == 1);
  REQUIRE(f.events(TargetEventKind::Start).size() == 2);
}

TEST_CASE("grants are applied over HTTP, and fenced requests are refused and recorded")
{
  TargetSettings grantCheckingSettings = settings();
  grantCheckingSettings.checksGrants = true;
  Fixture f(grantCheckingSettings);
  REQUIRE(f.get("/storefront/k1/x").status == 412);
  REQUIRE(f.events(TargetEventKind::Fenced).size() == 1);
  REQUIRE(f.events(TargetEventKind::Start).empty());
  const auto grant = [&](const std::string& aBody) {
    return httpCall(f.endpoint, "POST", "/grant", aBody, kTimeout)->status;
  };
  REQUIRE(grant(R"({"token":5,"valid_until_clock_ms":1000000000000})") == 200);
  REQUIRE(f.get("/storefront/k1/x").status == 200);
  REQUIRE(grant(R"({"token":4,"valid_until_clock_ms":1000000000000})") == 409);
  REQUIRE(grant("nonsense") == 400);
}

TEST_CASE("a restart resets connections, cancels requests and changes the incarnation")
{
  Fixture f(settings());
  const std::string before = f.get("/health").body;
  TestSocket client(f.endpoint);
  client.send("GET /a?work_ms=60000 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(f.waitForEvent(TargetEventKind::Start));
  f.sendAdminRequest("/restart");
  REQUIRE(client.waitForEnd(kTimeout) == TestSocket::StreamEnd::Reset);
  REQUIRE(f.events(TargetEventKind::Cancel)[0].reason == std::string("restart"));
  REQUIRE(f.events(TargetEventKind::Cold).size() == 2);
  const auto incarnation = [](const std::string& aHealth) {
    return aHealth.substr(aHealth.find("incarnation"), 30);
  };
  REQUIRE(incarnation(f.get("/health").body) != incarnation(before));
}

TEST_CASE("an incomplete last line is skipped, and a damaged line is reported with its number")
{
  Fixture f(settings());
  REQUIRE(f.get("/storefront/k1/x").status == 200);
  const std::size_t lineCount = readJsonLines<TargetEvent>(f.path)->size();
  std::ofstream(f.path, std::ios::app) << R"({"t_us":1,"ev)";
  REQUIRE(readJsonLines<TargetEvent>(f.path)->size() == lineCount);
  std::ofstream(f.path, std::ios::app) << "\n{}\n";
  const std::string message = orElse(
    [&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(readJsonLines<TargetEvent>(f.path));
      return std::string();
    },
    [](const ErrorInfo& aInfo) { return aInfo.message; });
  REQUIRE(message.find(f.path + ":" + std::to_string(lineCount + 1)) != std::string::npos);
}

} // namespace camphorcleat::harness
