// Guards against a load driver that misclassifies responses, sends requests twice, or deviates from
// its plan.

#include <map>

#include <catch2/catch.hpp>

#include "LoopThread.h"
#include "base/Hash.h"
#include "harness/HttpCall.h"
#include "harness/LoadDriver.h"
#include "harness/PatternBytes.h"
#include "harness/TargetServer.h"

namespace camphorcleat::harness {
namespace {

using tcp = boost::asio::ip::tcp;
const Endpoint kAnyPort(boost::asio::ip::address_v4::loopback(), 0);

CallRecord checkedRecord(const CallExpectation& aExpected, const CallResponse& aResponse)
{
  CallRecord out;
  out.id = "c1";
  out.key = "k1";
  out.method = "POST";
  checkResponse(aExpected, aResponse, out);
  return out;
}

std::string echo(const std::string& aId, const std::string& aKey, const std::string& aBody)
{
  return R"({"key":")" + aKey + R"(","method":"POST","path":"/s/k1/item?id=)" + aId +
         R"(","body_bytes":)" + std::to_string(aBody.size()) + R"(,"body_sha256":")" +
         sha256Hex(aBody) + "\"}";
}

LoadStreamPlan streamPlan(double aRate)
{
  LoadStreamPlan out;
  out.name = "shoppers";
  out.account = "acme";
  out.accountKey = "the-key";
  out.service = "storefront";
  out.ratePerSecond = aRate;
  out.responseBytes = 1000;
  return out;
}

// Runs a plan with one stream against an address and returns its statistics.
LoadStatistics runLoad(const Endpoint& aEntry, LoadStreamPlan aStream, Millis aDuration)
{
  boost::asio::io_context loop(1);
  LoadPlan plan;
  plan.name = "p";
  plan.entries = { endpointText(aEntry) };
  plan.streams = { std::move(aStream) };
  plan.duration = aDuration;
  auto driver = LoadDriver::create(loop, plan, JsonLineWriter()).value();
  driver->start([&] { loop.stop(); });
  loop.run_for(std::chrono::seconds(10));
  return driver->statistics();
}

std::uint64_t count(const LoadStatistics& aStatistics, const char* aResult)
{
  const auto it = aStatistics.all.byResult.find(aResult);
  return it == aStatistics.all.byResult.end() ? 0 : it->second;
}

// Responds to requests with bytes that the test chooses.
class ScriptedServer
{
public:
  // aRespond receives the number of the request, counted from 1, and its text. It returns the bytes
  // to send before the connection is closed.
  explicit ScriptedServer(std::function<std::string(unsigned, const std::string&)> aRespond)
    : mRespond(std::move(aRespond))
  {
    mThread.run([&] {
      mAcceptor.emplace(mThread.loop(), kAnyPort);
      accept();
    });
  }
  ~ScriptedServer() { mThread.stop(); }
  Endpoint endpoint() const { return mAcceptor->local_endpoint(); }
  unsigned requests()
  {
    return mThread.run([&] { return mRequests; });
  }
  std::string lastRequest()
  {
    return mThread.run([&] { return mLastRequest; });
  }

private:
  void accept()
  {
    mAcceptor->async_accept([this](boost::system::error_code aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      auto socket = std::make_shared<tcp::socket>(std::move(aSocket));
      auto buf = std::make_shared<std::string>(4096, '\0');
      socket->async_read_some(
        boost::asio::buffer(*buf),
        [this, socket, buf](boost::system::error_code, std::size_t aBytes) {
          mLastRequest = buf->substr(0, aBytes);
          boost::system::error_code ec;
          boost::asio::write(*socket, boost::asio::buffer(mRespond(++mRequests, mLastRequest)), ec);
        });
      accept();
    });
  }

  std::function<std::string(unsigned, const std::string&)> mRespond;
  LoopThread mThread;
  std::optional<tcp::acceptor> mAcceptor;
  unsigned mRequests = 0;
  std::string mLastRequest;
};

} // namespace

TEST_CASE("an echo counts as served only if it is complete and matches the request")
{
  const std::string body = patternBytes("c1", 0, 20);
  const CallExpectation expected{ 20, 0 };
  const auto result = [&](const std::string& aBody) {
    return checkedRecord(expected, { 200, "", aBody, true, "" }).result;
  };
  REQUIRE(result(echo("c1", "k1", body)) == CallResult::Served);
  REQUIRE(result(echo("c2", "k1", body)) == CallResult::Mismatched);
  REQUIRE(result(echo("c1", "k2", body)) == CallResult::Mismatched);
  REQUIRE(result(echo("c1", "k1", "another body")) == CallResult::Mismatched);
  REQUIRE(result("no echo") == CallResult::Mismatched);
  REQUIRE(checkedRecord(expected, { 200, "", echo("c1", "k1", body), false, "" }).result ==
          CallResult::Unknown);
}

TEST_CASE("streamed bytes count as served only if they equal the request's pattern")
{
  const CallExpectation expected{ 0, 5000 };
  const std::string pattern = patternBytes("c1", 0, 5000);
  const auto result = [&](const std::string& aBody) {
    return checkedRecord(expected, { 200, "", aBody, true, "" }).result;
  };
  REQUIRE(result(pattern) == CallResult::Served);
  REQUIRE(result(pattern.substr(0, 4999)) == CallResult::Mismatched);
  REQUIRE(result(patternBytes("c2", 0, 5000)) == CallResult::Mismatched);
  REQUIRE(result(pattern + "x") == CallResult::Mismatched);
  REQUIRE(checkedRecord(expected, { 200, "", pattern.substr(0, 900), false, "reset" }).error ==
          std::string("truncated: reset"));
}

TEST_CASE("failures are classified by their outcome header")
{
  const std::string body = R"({"code":"queue_full","message":"m"})";
  const CallRecord refused = checkedRecord({}, { 503, "not-run", body, true, "" });
  REQUIRE(refused.result == CallResult::Refused);
  REQUIRE(refused.code == "queue_full");
  REQUIRE(refused.message == std::string("m"));
  REQUIRE(checkedRecord({}, { 504, "unknown", body, true, "" }).result == CallResult::Unknown);
  REQUIRE(checkedRecord({}, { 500, "", "", true, "" }).result == CallResult::Other);
  REQUIRE(checkedRecord({}, { 0, "", "", false, "" }).result == CallResult::Unknown);
}

TEST_CASE("the driver sends at the planned rate and verifies streamed responses")
{
  LoopThread thread;
  std::optional<TargetServer> server;
  TargetSettings settings;
  settings.slots = 100;
  settings.coldSlots = 100;
  settings.serviceTimeMs = 1;
  thread.run([&] { server.emplace(thread.loop(), kAnyPort, settings, JsonLineWriter()); });
  LoadStreamPlan plan = streamPlan(400);
  plan.isSteady = true;
  const LoadStatistics statistics = runLoad(server->endpoint(), plan, Millis(500));
  REQUIRE(statistics.all.calls >= 198);
  REQUIRE(statistics.all.calls <= 200);
  REQUIRE(count(statistics, "served") == statistics.all.calls);
  REQUIRE(statistics.byAccount.at("acme").calls == statistics.all.calls);
  REQUIRE(statistics.byService.at("storefront").p50Ms > 0);
  thread.stop();
}

TEST_CASE("a request is sent only once even if the connection closes without a response")
{
  ScriptedServer server([](unsigned, const std::string&) { return std::string(); });
  LoadStreamPlan plan = streamPlan(100);
  plan.postShare = 0.5;
  const LoadStatistics statistics = runLoad(server.endpoint(), plan, Millis(300));
  REQUIRE(statistics.all.calls > 0);
  REQUIRE(count(statistics, "unknown") == statistics.all.calls);
  REQUIRE(server.requests() == statistics.all.calls);
}

TEST_CASE("no request fails because a keep-alive connection was closed while idle")
{
  ScriptedServer server([](unsigned, const std::string& aRequest) {
    const auto at = aRequest.find("id=") + 3;
    const std::string id = aRequest.substr(at, aRequest.find('&', at) - at);
    return "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + patternBytes(id, 0, 1000);
  });
  LoadStreamPlan plan = streamPlan(50);
  plan.isSteady = true;
  const LoadStatistics statistics = runLoad(server.endpoint(), plan, Millis(300));
  REQUIRE(statistics.all.calls > 10);
  REQUIRE(count(statistics, "served") == statistics.all.calls);
}

TEST_CASE("a truncated response counts as unknown, not as served")
{
  ScriptedServer server([](unsigned, const std::string&) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + std::string(500, 'x');
  });
  const LoadStatistics statistics = runLoad(server.endpoint(), streamPlan(50), Millis(200));
  REQUIRE(statistics.all.calls > 0);
  REQUIRE(count(statistics, "unknown") == statistics.all.calls);
}

TEST_CASE("requests contain the account key, idempotency key, deadline and body")
{
  ScriptedServer server([](unsigned, const std::string&) { return std::string(); });
  LoadStreamPlan plan = streamPlan(50);
  plan.postShare = 1;
  plan.hasIdempotencyKeys = true;
  plan.deadline = Millis(700);
  plan.bodyBytes = 12;
  runLoad(server.endpoint(), plan, Millis(100));
  const std::string request = server.lastRequest();
  REQUIRE(request.find("POST /storefront/k") == 0);
  REQUIRE(request.find("Authorization: Bearer the-key\r\n") != std::string::npos);
  REQUIRE(request.find("Idempotency-Key: p-") != std::string::npos);
  REQUIRE(request.find("Camphorcleat-Deadline-Ms: 700\r\n") != std::string::npos);
  REQUIRE(request.find("Content-Length: 12\r\n") != std::string::npos);
}

TEST_CASE("calls to an entry that refuses connections count as unreachable")
{
  Endpoint closed;
  {
    boost::asio::io_context loop;
    closed = tcp::acceptor(loop, kAnyPort).local_endpoint();
  }
  const LoadStatistics statistics = runLoad(closed, streamPlan(50), Millis(200));
  REQUIRE(statistics.all.calls > 0);
  REQUIRE(count(statistics, "unreachable") == statistics.all.calls);
}

TEST_CASE("keys follow Zipf's law with the given exponent, or a uniform distribution")
{
  std::mt19937_64 random(5);
  const auto fractionOfFirstKey = [&](std::optional<double> aZipf) {
    LoadStreamPlan plan = streamPlan(1);
    plan.keyCount = 100;
    plan.zipfExponent = aZipf;
    KeyChooser keys(plan);
    constexpr int kSamples = 20000;
    int firstKeyCount = 0;
    for (int i = 0; i < kSamples; ++i) {
      firstKeyCount += keys.nextKey(random) == "k0" ? 1 : 0;
    }
    return static_cast<double>(firstKeyCount) / kSamples;
  };
  REQUIRE(fractionOfFirstKey(std::nullopt) == Approx(0.01).margin(0.003));
  // 5.187 is the 100th harmonic number.
  REQUIRE(fractionOfFirstKey(1.0) == Approx(1 / 5.187).margin(0.01));
}

TEST_CASE("unkeyed streams have no key, and listed or numbered keys follow the plan")
{
  std::mt19937_64 random(5);
  LoadStreamPlan plan = streamPlan(1);
  plan.isKeyed = false;
  REQUIRE(KeyChooser(plan).nextKey(random).empty());
  plan.isKeyed = true;
  plan.keyList = std::vector<std::string>{ "only" };
  REQUIRE(KeyChooser(plan).nextKey(random) == "only");
  plan.keyList.reset();
  plan.keyCount = 1;
  plan.firstKey = 22;
  REQUIRE(KeyChooser(plan).nextKey(random) == "k22");
}

TEST_CASE("a plan with an invalid value is refused")
{
  const auto errorOf = [](const std::string& aStream) {
    return orElse(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(parseLoadPlan(
          R"({"name":"p","entries":["127.0.0.1:1"],"duration_ms":5,"streams":[)" + aStream + "]}"));
        return std::string();
      },
      [](const ErrorInfo& aInfo) { return aInfo.message; });
  };
  const std::string base = R"({"name":"s","account":"a","account_key":"","service":"x")";
  REQUIRE(errorOf(base + R"(,"rate_per_second":5})").empty());
  REQUIRE(errorOf(base + R"(,"rate_per_second":0})").find("rate_per_second") != std::string::npos);
  REQUIRE(errorOf(base + R"(,"rate_per_second":5,"keys":0})").find("keys") != std::string::npos);
  REQUIRE(errorOf(base + R"(,"rate_per_second":5,"key_list":[]})").find("key_list") !=
          std::string::npos);
  REQUIRE(errorOf(base + "}").find("missing") != std::string::npos);
}

} // namespace camphorcleat::harness
