// Guards against requests that are sent twice, outcomes that are reported wrongly, and responses
// that are taken for complete although their end is missing.

#include <catch2/catch.hpp>

#include "TransportFakes.h"
#include "transport/HttpFrontend.h"
#include "transport/TargetClient.h"

namespace camphorcleat::transport::testing {
namespace {

/// Sends a body given in advance and reads the whole response.
class RecordingTarget final : public TargetHandler
{
public:
  void onWritable() override
  {
    ++writable;
    if (exchange && !body.empty()) {
      exchange->sendBody(std::exchange(body, ""), true);
    }
  }
  void onHead(unsigned aStatus, std::vector<wire::Header>, std::optional<std::uint64_t>) override
  {
    status = aStatus;
    exchange->readMore();
  }
  void onBody(std::string aData, bool aIsLast) override
  {
    received += aData;
    if (aIsLast) {
      ++ends;
    } else {
      exchange->readMore();
    }
  }
  void onFailure(bool aMayHaveRun, ErrorCode aCode, std::string aMessage) override
  {
    mayHaveRun = aMayHaveRun;
    code = aCode;
    message = std::move(aMessage);
    ++failures;
  }
  bool isDone() const { return ends + failures > 0; }

  std::shared_ptr<TargetExchange> exchange;
  std::string body;
  std::string received;
  std::string message;
  std::atomic<unsigned> status{ 0 };
  std::atomic<int> writable{ 0 };
  std::atomic<int> ends{ 0 };
  std::atomic<int> failures{ 0 };
  bool mayHaveRun = false;
  ErrorCode code = ErrorCode::None;
};

struct Client
{
  explicit Client(const std::string& aAddress, std::size_t aMaxConnections = 100)
  {
    TargetClientConfig config;
    config.address = aAddress;
    config.maxConnections = aMaxConnections;
    client = std::make_unique<TargetClient>(thread.context(), config);
    thread.start();
  }
  ~Client()
  {
    runOn(thread, [&] { client.reset(); });
  }

  std::shared_ptr<RecordingTarget> start(const std::string& aMethod, const std::string& aBody = "",
                                         Millis aTime = Millis(2000))
  {
    auto target = std::make_shared<RecordingTarget>();
    target->body = aBody;
    runOn(thread, [&] {
      target->exchange = client->start(TargetRequest{ aMethod, "/x", {}, aBody.size() }, target,
                                       Clock::now() + aTime);
    });
    return target;
  }
  std::shared_ptr<RecordingTarget> run(const std::string& aMethod, const std::string& aBody = "",
                                       Millis aTime = Millis(2000))
  {
    auto target = start(aMethod, aBody, aTime);
    REQUIRE(waitFor([&] { return target->isDone(); }));
    return target;
  }

  DutyThread thread{ "target" };
  std::unique_ptr<TargetClient> client;
};

constexpr const char* kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("a request and its body reach the target, and the connection is used again")
{
  std::string got;
  FakeServer target([&](PlainSocket& aSocket, int) {
    got = aSocket.readUntil("hello");
    aSocket.write(kOk);
    aSocket.readUntil("\r\n\r\n");
    aSocket.write(kOk);
  });
  Client client(target.address());
  const auto first = client.run("POST", "hello");
  REQUIRE(first->ends == 1);
  REQUIRE(first->status == 200);
  REQUIRE(first->received == "ok");
  REQUIRE(got.find("Content-Length: 5\r\n") != std::string::npos);
  REQUIRE(client.run("GET")->received == "ok");
  REQUIRE(target.connections() == 1);
}

} // namespace camphorcleat::transport::testing
