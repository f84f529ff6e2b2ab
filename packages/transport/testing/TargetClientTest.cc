// Guards against requests that are sent twice, outcomes that are reported wrongly, and truncated
// responses that are reported as complete.

#include <catch2/catch.hpp>

#include <boost/asio/ip/udp.hpp>

#include "TransportFakes.h"
#include "transport/Endpoint.h"
#include "transport/HttpFrontend.h"
#include "transport/TargetClient.h"
#include "transport/TargetFetch.h"

namespace camphorcleat::transport::testing {
namespace {

/// Sends a predefined body and reads the complete response.
class RecordingTargetHandler : public TargetHandler
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
    if (readsAtOnce) {
      exchange->readMore();
    }
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
  bool readsAtOnce = true; ///< Otherwise the test asks for the response's body.
  std::string received;
  std::string message;
  std::atomic<unsigned> status{ 0 };
  std::atomic<int> writable{ 0 };
  std::atomic<int> ends{ 0 };
  std::atomic<int> failures{ 0 };
  bool mayHaveRun = false;
  ErrorCode code = ErrorCode::None;
};

struct ClientFixture
{
  explicit ClientFixture(const std::string& aAddress, std::size_t aMaxConnections = 100,
                         bool aAllowsCloseDelimited = false)
  {
    TargetClientConfig config;
    config.address = aAddress;
    config.maxConnections = aMaxConnections;
    config.allowsCloseDelimited = aAllowsCloseDelimited;
    client = std::make_unique<TargetClient>(thread.context(), config);
    thread.start();
  }
  ~ClientFixture()
  {
    runOn(thread, [&] { client.reset(); });
  }

  std::shared_ptr<RecordingTargetHandler> start(const std::string& aMethod,
                                                const std::string& aBody = "",
                                                Millis aTime = Millis(2000),
                                                bool aReadsAtOnce = true)
  {
    auto target = std::make_shared<RecordingTargetHandler>();
    target->body = aBody;
    target->readsAtOnce = aReadsAtOnce;
    runOn(thread, [&] {
      target->exchange = client->start(TargetRequest{ aMethod, "/x", {}, aBody.size() }, target,
                                       Clock::now() + aTime);
    });
    return target;
  }
  std::shared_ptr<RecordingTargetHandler> run(const std::string& aMethod,
                                              const std::string& aBody = "",
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

TEST_CASE("a request and its body reach the target, and the connection is reused")
{
  std::string got;
  ScriptedServer target([&](BlockingSocket& aSocket, int) {
    got = aSocket.readUntil("hello");
    aSocket.write(kOk);
    aSocket.readUntil("\r\n\r\n");
    aSocket.write(kOk);
  });
  ClientFixture client(target.address());
  const auto first = client.run("POST", "hello");
  REQUIRE(first->ends == 1);
  REQUIRE(first->status == 200);
  REQUIRE(first->received == "ok");
  REQUIRE(got.find("Content-Length: 5\r\n") != std::string::npos);
  REQUIRE(client.run("GET")->received == "ok");
  REQUIRE(target.connections() == 1);
}

TEST_CASE(
  "a request is sent once and its outcome is correct, at whatever point the connection ends")
{
  struct Example
  {
    std::string name;
    std::string response; ///< What the target sends before it closes the connection.
    bool isRead = true;   ///< Whether the target reads the request first.
    bool isReset = false;
    ErrorCode code = ErrorCode::None;
  };
  const auto example = GENERATE(values<Example>({
    { "before reading", "", false, false, ErrorCode::OutcomeUnknown },
    { "before reading, with a reset", "", false, true, ErrorCode::OutcomeUnknown },
    { "before the response", "", true, false, ErrorCode::OutcomeUnknown },
    { "before the response, with a reset", "", true, true, ErrorCode::OutcomeUnknown },
    { "within the head", "HTTP/1.1 200 OK\r\nContent-", true, false, ErrorCode::ResponseTruncated },
    { "after the head", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true, false,
      ErrorCode::ResponseTruncated },
    { "within the body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", true, false,
      ErrorCode::ResponseTruncated },
    { "within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", true, false,
      ErrorCode::ResponseTruncated },
    { "before the final chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
      true, false, ErrorCode::ResponseTruncated },
    { "without a length", "HTTP/1.1 200 OK\r\n\r\nabc", true, false, ErrorCode::ResponseTruncated },
    { "malformed response", "HELLO\r\n\r\n", true, false, ErrorCode::OutcomeUnknown },
  }));
  const bool isKept = GENERATE(false, true);
  CAPTURE(example.name, isKept);
  std::atomic<int> requests{ 0 };
  ScriptedServer target([&](BlockingSocket& aSocket, int) {
    if (isKept && requests == 0) {
      aSocket.readUntil("\r\n\r\n");
      ++requests;
      aSocket.write(kOk);
    }
    if (example.isRead) {
      requests += aSocket.readUntil("hello").empty() ? 0 : 1;
    } else {
      // Waits until the request has arrived, without reading it.
      char byte = 0;
      ::recv(aSocket.nativeHandle(), &byte, 1, MSG_PEEK);
    }
    aSocket.write(example.response);
    if (example.isReset) {
      aSocket.reset();
    }
  });
  ClientFixture client(target.address());
  if (isKept) {
    REQUIRE(client.run("GET")->ends == 1);
  }
  const auto handler = client.run("POST", "hello");
  REQUIRE(handler->failures == 1);
  REQUIRE(handler->mayHaveRun);
  REQUIRE(handler->code == example.code);
  std::this_thread::sleep_for(Millis(20));
  REQUIRE(handler->ends + handler->failures == 1);
  REQUIRE(target.connections() == 1);
  REQUIRE(requests == (isKept ? 1 : 0) + (example.isRead ? 1 : 0));
  REQUIRE(waitFor([&] { return client.client->openConnections() == 0; }));
}

TEST_CASE("an idle connection that was closed, or on which unrequested data arrived, isn't reused")
{
  const bool isData = GENERATE(false, true);
  ScriptedServer target([&](BlockingSocket& aSocket, int aConnection) {
    aSocket.readUntil("\r\n\r\n");
    aSocket.write(kOk);
    if (aConnection == 1) {
      std::this_thread::sleep_for(Millis(20));
      aSocket.write(isData ? "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong" : "");
      if (isData) {
        std::this_thread::sleep_for(Millis(100));
      }
    }
  });
  ClientFixture client(target.address());
  REQUIRE(client.run("GET")->ends == 1);
  std::this_thread::sleep_for(Millis(60));
  REQUIRE(client.run("POST", "hello")->received == "ok");
  REQUIRE(target.connections() == 2);
}

TEST_CASE("a request of which no byte was sent is reported as not run")
{
  SECTION("no process listens")
  {
    ClientFixture client("127.0.0.1:1");
    const auto handler = client.run("GET");
    REQUIRE(handler->code == ErrorCode::TargetDown);
    REQUIRE(!handler->mayHaveRun);
  }
  SECTION("all connections are in use")
  {
    std::promise<void> done;
    ScriptedServer target(
      [finished = done.get_future().share()](BlockingSocket&, int) { finished.wait(); });
    ClientFixture client(target.address(), 1);
    const auto first = client.start("GET");
    const auto second = client.run("GET");
    REQUIRE(second->code == ErrorCode::Overloaded);
    REQUIRE(!second->mayHaveRun);
    REQUIRE(!first->isDone());
    done.set_value();
  }
  SECTION("permission to send ends before the write")
  {
    class Refusing final : public RecordingTargetHandler
    {
    public:
      bool mayStartWrite() override { return false; }
    };
    std::string got;
    std::atomic<bool> isRead{ false };
    ScriptedServer target([&](BlockingSocket& aSocket, int) {
      got = aSocket.readUntil("\r\n\r\n");
      isRead = true;
    });
    auto refusing = std::make_shared<Refusing>();
    {
      ClientFixture client(target.address());
      runOn(client.thread, [&] {
        client.client->start({ "GET", "/x", {}, 0 }, refusing, Clock::now() + Millis(1000));
      });
      REQUIRE(waitFor([&] { return refusing->isDone(); }));
    }
    REQUIRE(refusing->code == ErrorCode::LeaseExpired);
    REQUIRE(!refusing->mayHaveRun);
    REQUIRE(waitFor([&] { return isRead.load(); }));
    REQUIRE(got.empty());
  }
}

TEST_CASE(
  "a deadline or a cancellation closes the connection, so that the target can stop the request")
{
  std::atomic<bool> hasEnded{ false };
  ScriptedServer target([&](BlockingSocket& aSocket, int) {
    aSocket.readUntil("\r\n\r\n");
    aSocket.readAll();
    hasEnded = aSocket.hasEnded();
  });
  ClientFixture client(target.address());
  SECTION("deadline")
  {
    const auto handler = client.run("GET", "", Millis(100));
    REQUIRE(handler->code == ErrorCode::DeadlineExceeded);
    REQUIRE(handler->mayHaveRun);
  }
  SECTION("cancellation")
  {
    const auto handler = client.start("GET");
    REQUIRE(waitFor([&] { return target.connections() == 1; }));
    std::this_thread::sleep_for(Millis(20));
    runOn(client.thread, [&] {
      handler->exchange->cancel();
      handler->exchange->cancel();
    });
    REQUIRE(waitFor([&] { return handler->isDone(); }));
    REQUIRE(handler->failures == 1);
    REQUIRE(handler->code == ErrorCode::Cancelled);
    REQUIRE(handler->mayHaveRun);
  }
  REQUIRE(waitFor([&] { return hasEnded.load(); }));
}

// Guards against a faulty target that sends bytes without end in a head or a body: the exchange
// would hold its slot and memory until the target ends.
TEST_CASE("a response without end ends at the deadline, or at once if it is no response")
{
  const auto [start, isBody] = GENERATE(table<std::string, bool>(
    { { "", false },
      { "HTTP/1.1 200 OK\r\nX: ", false },
      { "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", true },
      { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", true },
      { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", true } }));
  INFO("begins with '" << start << "'");
  constexpr std::size_t kMaxHeadBytes = 8U << 20U; // Socket buffers and the limit of a head.
  std::atomic<bool> wasClosed{ false };
  std::atomic<std::size_t> sentBytes{ 0 };
  {
    ScriptedServer target([&, first = start](BlockingSocket& aSocket, int) {
      aSocket.readUntil("\r\n\r\n");
      aSocket.write(first);
      const std::string bytes(4096, 'x');
      const TimePoint limit = Clock::now() + std::chrono::seconds(5);
      while (!wasClosed && Clock::now() < limit) {
        const ssize_t n = ::send(aSocket.nativeHandle(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        wasClosed = n < 0;
        sentBytes += n > 0 ? static_cast<std::size_t>(n) : 0;
      }
    });
    ClientFixture client(target.address());
    const TimePoint startedAt = Clock::now();
    const auto exchange = client.run("GET", "", Millis(500));
    CHECK(exchange->failures == 1);
    CHECK(exchange->mayHaveRun);
    CHECK(Clock::now() - startedAt < Millis(2000));
    CHECK(waitFor([&] { return wasClosed.load(); }));
  }
  CHECK((isBody || sentBytes < kMaxHeadBytes));
}

// Guards against a faulty target that sends bytes without end in response to a health request or an
// order: keeping them would use up the memory of the daemon.
TEST_CASE("a fetch reads a bounded part of a response without end")
{
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string start = GENERATE_COPY(
    std::string(), std::string("HTTP/1.1 200 OK\r\nX: "), std::string("HTTP/1.1 200 OK\r\n\r\n"),
    std::string("HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n"), chunked + "ffffff\r\n",
    chunked + "1;x=", chunked + "0\r\nX: ");
  INFO("begins with '" << start << "'");
  constexpr std::size_t kMaxSentBytes = 16U << 20U; // Socket buffers and the limit of a response.
  std::atomic<bool> wasClosed{ false };
  std::atomic<std::size_t> sentBytes{ 0 };
  {
    ScriptedServer target([&](BlockingSocket& aSocket, int) {
      aSocket.readUntil("\r\n\r\n");
      aSocket.write(start);
      const std::string bytes(65536, 'x');
      const TimePoint limit = Clock::now() + std::chrono::seconds(5);
      while (!wasClosed && Clock::now() < limit) {
        const ssize_t n = ::send(aSocket.nativeHandle(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        wasClosed = n < 0;
        sentBytes += n > 0 ? static_cast<std::size_t>(n) : 0;
      }
    });
    DutyThread thread("fetch");
    thread.start();
    std::promise<FetchResult> result;
    FetchRequest request;
    request.address = target.address();
    request.method = "GET";
    request.path = "/health";
    request.timeout = Millis(1000);
    const auto endpoint = parseEndpoint(request.address);
    REQUIRE(endpoint);
    startFetch(thread.context(), *endpoint, request,
               [&](FetchResult aResult) { result.set_value(std::move(aResult)); });
    auto done = result.get_future();
    REQUIRE(done.wait_for(std::chrono::seconds(3)) == std::future_status::ready);
    CHECK_FALSE(done.get().ok);
    CHECK(waitFor([&] { return wasClosed.load(); }));
  }
  CHECK(sentBytes < kMaxSentBytes);
}

TEST_CASE("interim responses are skipped, and responses without a body end after their head")
{
  ScriptedServer target([](BlockingSocket& aSocket, int) {
    aSocket.readUntil("\r\n\r\n");
    aSocket.write("HTTP/1.1 100 Continue\r\n\r\n" + std::string(kOk));
    aSocket.readUntil("\r\n\r\n");
    aSocket.write("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n");
    aSocket.readUntil("\r\n\r\n");
    aSocket.write("HTTP/1.1 204 No Content\r\n\r\n");
  });
  ClientFixture client(target.address());
  REQUIRE(client.run("GET")->received == "ok");
  REQUIRE(client.run("HEAD")->ends == 1);
  REQUIRE(client.run("GET")->status == 204U);
  REQUIRE(target.connections() == 1);
}

TEST_CASE("a response sent before the complete body arrives, and the connection isn't reused")
{
  ScriptedServer target([](BlockingSocket& aSocket, int aConnection) {
    aSocket.readUntil("\r\n\r\n");
    aSocket.write(aConnection == 1 ? "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n" : kOk);
    aSocket.readSome();
  });
  ClientFixture client(target.address());
  auto early = std::make_shared<RecordingTargetHandler>();
  runOn(client.thread, [&] {
    early->exchange =
      client.client->start({ "POST", "/x", {}, 5 }, early, Clock::now() + Millis(2000));
  });
  REQUIRE(waitFor([&] { return early->isDone(); }));
  REQUIRE(early->status == 413U);
  REQUIRE(early->ends == 1);
  REQUIRE(client.run("GET")->received == "ok");
  REQUIRE(target.connections() == 2);
}

// Guards against a part of a response that reaches the caller as complete (MIXED): a write that is
// pending when the connection is reset takes the error, and the read after it sees a regular end.
TEST_CASE("a response without a length is truncated if its connection is reset during the upload")
{
  const bool readsAtOnce = GENERATE(true, false);
  CAPTURE(readsAtOnce);
  std::atomic<bool> isReset{ false };
  ScriptedServer target([&](BlockingSocket& aSocket, int) {
    aSocket.readUntil("\r\n\r\n");
    aSocket.write("HTTP/1.1 200 OK\r\n\r\npart");
    std::this_thread::sleep_for(Millis(50)); // The upload fills the buffers of the connection.
    aSocket.reset();
    isReset = true;
  });
  ClientFixture client(target.address(), 100, true);
  const auto response =
    client.start("POST", std::string(32U << 20U, 'x'), Millis(5000), readsAtOnce);
  if (!readsAtOnce) {
    REQUIRE(waitFor([&] { return isReset && response->status == 200; }));
    std::this_thread::sleep_for(Millis(50));
    runOn(client.thread, [&] { response->exchange->readMore(); });
  }
  REQUIRE(waitFor([&] { return response->isDone(); }));
  CHECK(response->ends == 0);
  CHECK(response->code == ErrorCode::ResponseTruncated);
  CHECK(response->mayHaveRun);
}

// Guards against a part of a response that reaches the caller as complete (MIXED): the write that
// got the reset had ended, but its handler was queued behind the handler of the read.
TEST_CASE("a response without a length is truncated if the handler of a write that was reset runs "
          "after the read")
{
  std::atomic<bool> mayReset{ false };
  std::atomic<bool> isReset{ false };
  ScriptedServer target([&](BlockingSocket& aSocket, int) {
    aSocket.readUntil("\r\n\r\n");
    aSocket.write("HTTP/1.1 200 OK\r\n\r\npart");
    waitFor([&] { return mayReset.load(); });
    aSocket.reset();
    isReset = true;
  });
  ClientFixture client(target.address(), 100, true);
  const auto response = std::make_shared<RecordingTargetHandler>();
  boost::asio::ip::udp::socket signal(client.thread.context(),
                                      { boost::asio::ip::address_v4::loopback(), 0 });
  runOn(client.thread, [&] {
    response->exchange = client.client->start(TargetRequest{ "POST", "/x", {}, 2000 }, response,
                                              Clock::now() + Millis(5000));
    signal.async_wait(boost::asio::socket_base::wait_read, [&](const boost::system::error_code&) {
      response->exchange->sendBody(std::string(1000, 'x'), false);
    });
  });
  REQUIRE(waitFor([&] {
    bool hasRead = false;
    runOn(client.thread, [&] { hasRead = response->received == "part"; });
    return hasRead;
  }));
  runOn(client.thread, [&] {
    // The signal arrives before the reset, so its handler, which writes, is queued first.
    signal.send_to(boost::asio::buffer("x", 1), signal.local_endpoint());
    mayReset = true;
    waitFor([&] { return isReset.load(); });
    std::this_thread::sleep_for(Millis(20));
  });
  REQUIRE(waitFor([&] { return response->isDone(); }));
  CHECK(response->ends == 0);
  CHECK(response->code == ErrorCode::ResponseTruncated);
  runOn(client.thread, [&] { signal.close(); });
}

TEST_CASE("a response without a length that ends regularly during the upload is complete")
{
  ScriptedServer target([&](BlockingSocket& aSocket, int) {
    aSocket.readUntil("\r\n\r\n");
    aSocket.write("HTTP/1.1 200 OK\r\n\r\nwhole");
    ::shutdown(aSocket.nativeHandle(), SHUT_WR);
    aSocket.readAll();
  });
  ClientFixture client(target.address(), 100, true);
  const auto response = client.run("POST", std::string(32U << 20U, 'x'), Millis(5000));
  CHECK(response->ends == 1);
  CHECK(response->received == "whole");
}

// Guards against a response that isn't one (MIXED): a status outside the range of HTTP reached the
// caller.
TEST_CASE("a response with a status outside the range of HTTP fails the exchange")
{
  const std::string status = GENERATE("000", "001", "099", "600", "999");
  CAPTURE(status);
  ScriptedServer target([&](BlockingSocket& aSocket, int) {
    aSocket.readUntil("\r\n\r\n");
    aSocket.write("HTTP/1.1 " + status + " Trouble\r\nContent-Length: 2\r\n\r\nno");
    aSocket.readAll();
  });
  ClientFixture client(target.address());
  const auto response = client.run("GET");
  CHECK(response->failures == 1);
  CHECK(response->status == 0);
  CHECK(response->code == ErrorCode::OutcomeUnknown);
  CHECK(response->mayHaveRun);
}

TEST_CASE("a body whose size differs from the announced length fails the exchange")
{
  ScriptedServer target([](BlockingSocket& aSocket, int) { aSocket.readAll(); });
  ClientFixture client(target.address());
  auto handler = std::make_shared<RecordingTargetHandler>();
  handler->body = "too long";
  runOn(client.thread, [&] {
    handler->exchange =
      client.client->start({ "POST", "/x", {}, 3 }, handler, Clock::now() + Millis(2000));
  });
  REQUIRE(waitFor([&] { return handler->isDone(); }));
  REQUIRE(handler->code == ErrorCode::BadRequest);
  REQUIRE(!handler->mayHaveRun);
}

TEST_CASE("fetch returns a complete small response, and an error otherwise")
{
  std::string response;
  ErrorCode expected = ErrorCode::None;
  SECTION("complete")
  {
    response = kOk;
  }
  SECTION("truncated")
  {
    response = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
    expected = ErrorCode::ResponseTruncated;
  }
  SECTION("too large")
  {
    response = "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n";
    expected = ErrorCode::BodyTooLarge;
  }
  SECTION("no response in time")
  {
    expected = ErrorCode::DeadlineExceeded;
  }
  ScriptedServer target([&](BlockingSocket& aSocket, int) {
    aSocket.readUntil("\r\n\r\n");
    if (response.empty()) {
      aSocket.readSome();
    }
    aSocket.write(response);
  });
  ClientFixture client(target.address());
  std::promise<FetchResult> done;
  const TimePoint start = Clock::now();
  runOn(client.thread, [&] {
    client.client->fetch("POST", "/grant", "{}", Millis(200),
                         [&](FetchResult aResult) { done.set_value(std::move(aResult)); });
  });
  const FetchResult result = done.get_future().get();
  REQUIRE(result.ok == (expected == ErrorCode::None));
  REQUIRE(result.code == expected);
  if (result.ok) {
    REQUIRE(result.status == 200);
    REQUIRE(result.body == "ok");
    REQUIRE(result.sentAt >= start);
    REQUIRE(result.receivedAt >= result.sentAt);
  }
  REQUIRE(client.client->openConnections() == 0);
}

// Guards against work for a caller that has left (GONE): the deadline passed while the client's
// thread was busy and the connection to the target was being set up.
TEST_CASE("a request whose deadline passes while its connection is set up isn't sent")
{
  std::promise<std::string> got;
  ScriptedServer target([&](BlockingSocket& aSocket, int) { got.set_value(aSocket.readSome()); });
  ClientFixture client(target.address());
  const auto handler = std::make_shared<RecordingTargetHandler>();
  runOn(client.thread, [&] {
    handler->exchange =
      client.client->start(TargetRequest{ "GET", "/x", {}, 0 }, handler, Clock::now() + Millis(50));
    client.thread.post([] { std::this_thread::sleep_for(Millis(200)); });
  });
  REQUIRE(waitFor([&] { return handler->isDone(); }));
  CHECK(handler->code == ErrorCode::DeadlineExceeded);
  CHECK_FALSE(handler->mayHaveRun);
  CHECK(got.get_future().get().empty());
}

} // namespace camphorcleat::transport::testing
