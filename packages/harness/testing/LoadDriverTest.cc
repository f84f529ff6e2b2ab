// Guards against a driver that judges wrongly, sends twice, or sends other load than planned.

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

CallRecord judged(const CallExpectation& aExpected, const CallAnswer& aAnswer)
{
  CallRecord out;
  out.id = "c1";
  out.key = "k1";
  out.method = "POST";
  judgeAnswer(aExpected, aAnswer, out);
  return out;
}

std::string echo(const std::string& aId, const std::string& aKey, const std::string& aBody)
{
  return R"({"key":")" + aKey + R"(","method":"POST","path":"/s/k1/item?id=)" + aId +
         R"(","body_bytes":)" + std::to_string(aBody.size()) + R"(,"body_sha256":")" +
         sha256Hex(aBody) + "\"}";
}

LoadStreamPlan stream(double aRate)
{
  LoadStreamPlan out;
  out.name = "shoppers";
  out.account = "acme";
  out.accountKey = "the-key";
  out.service = "storefront";
  out.ratePerSecond = aRate;
  out.answerBytes = 1000;
  return out;
}

// Runs a plan of one stream against an address and returns what happened.
LoadFigures drive(const Endpoint& aEntry, LoadStreamPlan aStream, Millis aDuration)
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
  return driver->figures();
}

std::uint64_t count(const LoadFigures& aFigures, const char* aResult)
{
  const auto it = aFigures.all.byResult.find(aResult);
  return it == aFigures.all.byResult.end() ? 0 : it->second;
}

// Accepts connections and treats each request as the test says.
class RawServer
{
public:
  // aAnswer gets the number of the request, from 1, and its text, and returns the bytes to send
  // before the connection is closed.
  explicit RawServer(std::function<std::string(unsigned, const std::string&)> aAnswer)
    : mAnswer(std::move(aAnswer))
  {
    mThread.run([&] {
      mAcceptor.emplace(mThread.loop(), kAnyPort);
      accept();
    });
  }
  ~RawServer() { mThread.stop(); }
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
          boost::asio::write(*socket, boost::asio::buffer(mAnswer(++mRequests, mLastRequest)), ec);
        });
      accept();
    });
  }

  std::function<std::string(unsigned, const std::string&)> mAnswer;
  LoopThread mThread;
  std::optional<tcp::acceptor> mAcceptor;
  unsigned mRequests = 0;
  std::string mLastRequest;
};

} // namespace

TEST_CASE("an echo must be complete and of this very request")
{
  const std::string body = patternBytes("c1", 0, 20);
  const CallExpectation expected{ 20, 0 };
  const auto result = [&](const std::string& aBody) {
    return judged(expected, { 200, "", aBody, true, "" }).result;
  };
  REQUIRE(result(echo("c1", "k1", body)) == CallResult::Served);
  REQUIRE(result(echo("c2", "k1", body)) == CallResult::Wrong);
  REQUIRE(result(echo("c1", "k2", body)) == CallResult::Wrong);
  REQUIRE(result(echo("c1", "k1", "another body")) == CallResult::Wrong);
  REQUIRE(result("no echo") == CallResult::Wrong);
  REQUIRE(judged(expected, { 200, "", echo("c1", "k1", body), false, "" }).result ==
          CallResult::Unknown);
}

TEST_CASE("streamed bytes must be the pattern of this request, all of them")
{
  const CallExpectation expected{ 0, 5000 };
  const std::string right = patternBytes("c1", 0, 5000);
  const auto result = [&](const std::string& aBody) {
    return judged(expected, { 200, "", aBody, true, "" }).result;
  };
  REQUIRE(result(right) == CallResult::Served);
  REQUIRE(result(right.substr(0, 4999)) == CallResult::Wrong);
  REQUIRE(result(patternBytes("c2", 0, 5000)) == CallResult::Wrong);
  REQUIRE(result(right + "x") == CallResult::Wrong);
  REQUIRE(judged(expected, { 200, "", right.substr(0, 900), false, "reset" }).fault ==
          std::string("truncated: reset"));
}

TEST_CASE("failures are told apart by their outcome header")
{
  const std::string body = R"({"code":"queue_full","message":"m"})";
  const CallRecord refused = judged({}, { 503, "not-run", body, true, "" });
  REQUIRE(refused.result == CallResult::Refused);
  REQUIRE(refused.code == "queue_full");
  REQUIRE(refused.message == std::string("m"));
  REQUIRE(judged({}, { 504, "unknown", body, true, "" }).result == CallResult::Unknown);
  REQUIRE(judged({}, { 500, "", "", true, "" }).result == CallResult::Other);
  REQUIRE(judged({}, { 0, "", "", false, "" }).result == CallResult::Unknown);
}

TEST_CASE("the driver sends the planned rate and checks streamed answers")
{
  LoopThread thread;
  std::optional<TargetServer> server;
  TargetSettings settings;
  settings.slots = 100;
  settings.coldSlots = 100;
  settings.serviceTimeMs = 1;
  thread.run([&] { server.emplace(thread.loop(), kAnyPort, settings, JsonLineWriter()); });
  LoadStreamPlan plan = stream(400);
  plan.steady = true;
  const LoadFigures figures = drive(server->endpoint(), plan, Millis(500));
  REQUIRE(figures.all.calls >= 198);
  REQUIRE(figures.all.calls <= 200);
  REQUIRE(count(figures, "served") == figures.all.calls);
  REQUIRE(figures.byAccount.at("acme").calls == figures.all.calls);
  REQUIRE(figures.byService.at("storefront").p50Ms > 0);
  thread.stop();
}

TEST_CASE("a request is sent once even if the connection closes without an answer")
{
  RawServer server([](unsigned, const std::string&) { return std::string(); });
  LoadStreamPlan plan = stream(100);
  plan.postShare = 0.5;
  const LoadFigures figures = drive(server.endpoint(), plan, Millis(300));
  REQUIRE(figures.all.calls > 0);
  REQUIRE(count(figures, "unknown") == figures.all.calls);
  REQUIRE(server.requests() == figures.all.calls);
}

TEST_CASE("a kept-alive connection that was closed while idle costs no request")
{
  RawServer server([](unsigned, const std::string& aRequest) {
    const auto at = aRequest.find("id=") + 3;
    const std::string id = aRequest.substr(at, aRequest.find('&', at) - at);
    return "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + patternBytes(id, 0, 1000);
  });
  LoadStreamPlan plan = stream(50);
  plan.steady = true;
  const LoadFigures figures = drive(server.endpoint(), plan, Millis(300));
  REQUIRE(figures.all.calls > 10);
  REQUIRE(count(figures, "served") == figures.all.calls);
}

TEST_CASE("an answer that is cut short is unknown, not served")
{
  RawServer server([](unsigned, const std::string&) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + std::string(500, 'x');
  });
  const LoadFigures figures = drive(server.endpoint(), stream(50), Millis(200));
  REQUIRE(figures.all.calls > 0);
  REQUIRE(count(figures, "unknown") == figures.all.calls);
}

TEST_CASE("requests carry account key, idempotency key, deadline and body")
{
  RawServer server([](unsigned, const std::string&) { return std::string(); });
  LoadStreamPlan plan = stream(50);
  plan.postShare = 1;
  plan.idempotencyKey = true;
  plan.deadline = Millis(700);
  plan.bodyBytes = 12;
  drive(server.endpoint(), plan, Millis(100));
  const std::string request = server.lastRequest();
  REQUIRE(request.find("POST /storefront/k") == 0);
  REQUIRE(request.find("Authorization: Bearer the-key\r\n") != std::string::npos);
  REQUIRE(request.find("Idempotency-Key: p-") != std::string::npos);
  REQUIRE(request.find("Camphorcleat-Deadline-Ms: 700\r\n") != std::string::npos);
  REQUIRE(request.find("Content-Length: 12\r\n") != std::string::npos);
}

TEST_CASE("nothing is sent to an entry that refuses connections, and that is told apart")
{
  Endpoint closed;
  {
    boost::asio::io_context loop;
    closed = tcp::acceptor(loop, kAnyPort).local_endpoint();
  }
  const LoadFigures figures = drive(closed, stream(50), Millis(200));
  REQUIRE(figures.all.calls > 0);
  REQUIRE(count(figures, "unreachable") == figures.all.calls);
}

TEST_CASE("Zipf keys are as skewed as asked, uniform ones are not")
{
  std::mt19937_64 random(5);
  const auto shareOfFirst = [&](std::optional<double> aZipf) {
    LoadStreamPlan plan = stream(1);
    plan.keys = 100;
    plan.zipf = aZipf;
    KeyChooser keys(plan);
    constexpr int kSamples = 20000;
    int first = 0;
    for (int i = 0; i < kSamples; ++i) {
      first += keys.next(random) == "k0" ? 1 : 0;
    }
    return static_cast<double>(first) / kSamples;
  };
  REQUIRE(shareOfFirst(std::nullopt) == Approx(0.01).margin(0.003));
  REQUIRE(shareOfFirst(1.0) == Approx(1 / 5.187).margin(0.01)); // The 100th harmonic number.
}

TEST_CASE("unkeyed services get no key and lists are used as they are")
{
  std::mt19937_64 random(5);
  LoadStreamPlan plan = stream(1);
  plan.keyed = false;
  REQUIRE(KeyChooser(plan).next(random).empty());
  plan.keyed = true;
  plan.keyList = std::vector<std::string>{ "only" };
  REQUIRE(KeyChooser(plan).next(random) == "only");
  plan.keyList.reset();
  plan.keys = 1;
  plan.firstKey = 22;
  REQUIRE(KeyChooser(plan).next(random) == "k22");
}

TEST_CASE("a plan with an impossible value is refused")
{
  const auto faultOf = [](const std::string& aStream) {
    return orElse(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(parseLoadPlan(
          R"({"name":"p","entries":["127.0.0.1:1"],"duration_ms":5,"streams":[)" + aStream + "]}"));
        return std::string();
      },
      [](const ErrorInfo& aInfo) { return aInfo.message; });
  };
  const std::string base = R"({"name":"s","account":"a","account_key":"","service":"x")";
  REQUIRE(faultOf(base + R"(,"rate_per_second":5})").empty());
  REQUIRE(faultOf(base + R"(,"rate_per_second":0})").find("rate_per_second") != std::string::npos);
  REQUIRE(faultOf(base + R"(,"rate_per_second":5,"keys":0})").find("keys") != std::string::npos);
  REQUIRE(faultOf(base + R"(,"rate_per_second":5,"key_list":[]})").find("key_list") !=
          std::string::npos);
  REQUIRE(faultOf(base + "}").find("missing") != std::string::npos);
}

} // namespace camphorcleat::harness
