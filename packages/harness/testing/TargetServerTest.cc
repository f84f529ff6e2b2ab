// Guards against records that don't show what a target did: every measure rests on them.

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

constexpr Millis kSoon{ 2000 };
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

  HttpReply get(const std::string& aTarget)
  {
    return httpCall(endpoint, "GET", aTarget, "", kSoon).value();
  }
  void control(const std::string& aTarget, const std::string& aBody = "")
  {
    REQUIRE(thread.run([&] {
      return server->control({ "POST", UrlQuery(aTarget), aBody }).status;
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
  // Waits for an event that the server records without an answer to wait for.
  bool sees(TargetEventKind aKind)
  {
    const TimePoint end = Clock::now() + kSoon;
    while (events(aKind).empty() && Clock::now() < end) {
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

TEST_CASE("work is echoed and recorded with its headers' names, not their values")
{
  Fixture f(settings());
  TestSocket client(f.endpoint);
  client.send("POST /storefront/k1/x?id=c1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
              "Camphorcleat-Request-Id: r1\r\nCamphorcleat-Service: storefront\r\n"
              "Camphorcleat-Key: k1\r\nCamphorcleat-Account: acme\r\nCamphorcleat-Fence: 17\r\n"
              "Idempotency-Key: i1\r\nX-Note: private\r\nConnection: close\r\n\r\nabc");
  const std::string answer = client.receive(1U << 20U, kSoon);
  for (const char* it : { R"("key":"k1")", R"("request":"r1")", R"("account":"acme")",
                          R"("body_bytes":3)", R"("target":3)", "ba7816bf8f01cfea" }) {
    REQUIRE(answer.find(it) != std::string::npos);
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

TEST_CASE("a secret in a header or in the path is noticed")
{
  Fixture f(settings());
  f.control("/secret", "hush");
  TestSocket client(f.endpoint);
  client.send("GET /storefront/k1/x HTTP/1.1\r\nHost: h\r\nX-A: a hush b\r\n"
              "Connection: close\r\n\r\n");
  client.receive(1U << 20U, kSoon);
  REQUIRE(f.get("/storefront/k1/hush").status == 200);
  REQUIRE(f.get("/storefront/k1/fine").status == 200);
  const auto starts = f.events(TargetEventKind::Start);
  REQUIRE(starts.size() == 3);
  REQUIRE(starts[0].secretSeen.value_or(false));
  REQUIRE(starts[1].secretSeen.value_or(false));
  REQUIRE_FALSE(starts[2].secretSeen.value_or(false));
}

TEST_CASE("a streamed answer is the pattern of the caller's id")
{
  Fixture f(settings());
  const HttpReply reply = f.get("/storefront/k1/x?id=c9&bytes=200001");
  REQUIRE(reply.body == patternBytes("c9", 0, 200001));
  REQUIRE(f.get("/storefront/k1/x?id=c8&bytes=200001").body != reply.body);
}

TEST_CASE("a pattern is the same whatever pieces it is made in")
{
  const std::string whole = patternBytes("seed", 0, 1000);
  REQUIRE(patternBytes("seed", 0, 333) + patternBytes("seed", 333, 667) == whole);
  REQUIRE(patternBytes("seed", 7, 5) == whole.substr(7, 5));
}

TEST_CASE("a closed connection cancels its work and frees the slot")
{
  Fixture f(settings());
  {
    TestSocket client(f.endpoint);
    client.send("GET /storefront/k1/x?work_ms=60000 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(f.sees(TargetEventKind::Start));
  }
  REQUIRE(f.sees(TargetEventKind::Cancel));
  REQUIRE(f.events(TargetEventKind::Cancel)[0].reason == std::string("closed"));
  REQUIRE(f.get("/health").body.find(R"("in_flight":0)") != std::string::npos);
}

TEST_CASE("work ends at its deadline, counted from receipt")
{
  Fixture f(settings());
  TestSocket client(f.endpoint);
  const TimePoint start = Clock::now();
  client.send("GET /storefront/k1/x?work_ms=60000 HTTP/1.1\r\nHost: h\r\n"
              "Camphorcleat-Deadline-Ms: 50\r\nConnection: close\r\n\r\n");
  REQUIRE(client.receive(1U << 20U, kSoon).find("504") != std::string::npos);
  REQUIRE(Clock::now() - start >= Millis(50));
  REQUIRE(f.events(TargetEventKind::Cancel)[0].reason == std::string("deadline"));
}

TEST_CASE("excess is recorded, and shed if asked for")
{
  TargetSettings shedding = settings();
  shedding.sheds = true;
  Fixture f(shedding);
  TestSocket first(f.endpoint);
  TestSocket second(f.endpoint);
  first.send("GET /a?work_ms=60000 HTTP/1.1\r\nHost: h\r\n\r\n");
  second.send("GET /a?work_ms=60000 HTTP/1.1\r\nHost: h\r\n\r\n");
  const TimePoint end = Clock::now() + kSoon;
  while (f.events(TargetEventKind::Start).size() < 2 && Clock::now() < end) {
    std::this_thread::sleep_for(Millis(5));
  }
  REQUIRE(f.get("/storefront/k1/x").status == 503);
  REQUIRE(f.events(TargetEventKind::Excess).size() == 1);
  REQUIRE(f.events(TargetEventKind::Shed).size() == 1);
  REQUIRE(f.events(TargetEventKind::Start).size() == 2);
}

TEST_CASE("grants are taken over HTTP and fenced work is refused and recorded")
{
  TargetSettings checking = settings();
  checking.checksGrants = true;
  Fixture f(checking);
  REQUIRE(f.get("/storefront/k1/x").status == 412);
  REQUIRE(f.events(TargetEventKind::Fenced).size() == 1);
  REQUIRE(f.events(TargetEventKind::Start).empty());
  const auto grant = [&](const std::string& aBody) {
    return httpCall(f.endpoint, "POST", "/grant", aBody, kSoon)->status;
  };
  REQUIRE(grant(R"({"token":5,"valid_until_clock_ms":1000000000000})") == 200);
  REQUIRE(f.get("/storefront/k1/x").status == 200);
  REQUIRE(grant(R"({"token":4,"valid_until_clock_ms":1000000000000})") == 409);
  REQUIRE(grant("nonsense") == 400);
}

TEST_CASE("a restart resets connections, cancels work and changes the incarnation")
{
  Fixture f(settings());
  const std::string before = f.get("/health").body;
  TestSocket client(f.endpoint);
  client.send("GET /a?work_ms=60000 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(f.sees(TargetEventKind::Start));
  f.control("/restart");
  REQUIRE(client.end(kSoon) == TestSocket::End::Reset);
  REQUIRE(f.events(TargetEventKind::Cancel)[0].reason == std::string("restart"));
  REQUIRE(f.events(TargetEventKind::Cold).size() == 2);
  const auto incarnation = [](const std::string& aHealth) {
    return aHealth.substr(aHealth.find("incarnation"), 30);
  };
  REQUIRE(incarnation(f.get("/health").body) != incarnation(before));
}

TEST_CASE("the last line of a killed writer is skipped, other damage is located")
{
  Fixture f(settings());
  REQUIRE(f.get("/storefront/k1/x").status == 200);
  const std::size_t whole = readJsonLines<TargetEvent>(f.path)->size();
  std::ofstream(f.path, std::ios::app) << R"({"t_us":1,"ev)";
  REQUIRE(readJsonLines<TargetEvent>(f.path)->size() == whole);
  std::ofstream(f.path, std::ios::app) << "\n{}\n";
  const std::string message = orElse(
    [&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(readJsonLines<TargetEvent>(f.path));
      return std::string();
    },
    [](const ErrorInfo& aInfo) { return aInfo.message; });
  REQUIRE(message.find(f.path + ":" + std::to_string(whole + 1)) != std::string::npos);
}

} // namespace camphorcleat::harness
