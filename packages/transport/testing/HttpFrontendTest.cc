// Guards against accepting requests with ambiguous framing (request smuggling), against connections
// and memory held by slow or disconnected callers, and against truncated responses that look
// complete.

#include <catch2/catch.hpp>

#include <algorithm>

#include "TransportFakes.h"
#include "transport/HttpFrontend.h"
#include "transport/HttpHeaders.h"

namespace camphorcleat::transport::testing {
namespace {

using Stream = std::shared_ptr<CallerStream>;

/// Passes each request to a callback that the test sets.
class CallbackHandler final : public HttpHandler
{
public:
  void onRequest(Stream aStream) override
  {
    ++mRequests;
    mCallback(std::move(aStream));
  }
  void setCallback(std::function<void(Stream)> aCallback) { mCallback = std::move(aCallback); }
  int requests() const { return mRequests; }

private:
  std::function<void(Stream)> mCallback = [](const Stream& aStream) {
    aStream->sendResponse(200, {}, aStream->path());
  };
  std::atomic<int> mRequests{ 0 };
};

struct ServerFixture
{
  explicit ServerFixture(HttpLimits aLimits = {})
    : frontend(std::make_unique<HttpFrontend>(thread.context(), "127.0.0.1:0", aLimits, handler))
  {
    REQUIRE(frontend->start());
    thread.start();
  }
  ~ServerFixture()
  {
    runOn(thread, [&] { frontend.reset(); });
  }
  CallbackHandler handler;
  DutyThread thread{ "http" };
  std::unique_ptr<HttpFrontend> frontend;
};

/// Reads the complete body, then responds with its length or with the name of the error.
void countBody(const Stream& aStream, std::size_t aBytes = 0)
{
  aStream->readBody([aStream, aBytes](BodyPart aPart) {
    const std::size_t bytes = aBytes + aPart.data.size();
    if (aPart.error) {
      aStream->sendResponse(400, {}, std::string(enumName(*aPart.error)));
    } else if (aPart.isLast) {
      aStream->sendResponse(200, {}, std::to_string(bytes));
    } else {
      countBody(aStream, bytes);
    }
  });
}

HttpLimits shortLimits()
{
  HttpLimits limits;
  limits.headerTimeout = Millis(200);
  limits.bodyIdleTimeout = Millis(200);
  limits.keepAliveTimeout = Millis(200);
  return limits;
}

constexpr const char* kGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

TEST_CASE("pipelined requests on one connection get their responses in order")
{
  ServerFixture server;
  BlockingSocket caller(server.frontend->port());
  caller.write("GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n"
               "GET /c HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  const std::string got = caller.readAll();
  const auto a = got.find("\r\n\r\n/a");
  const auto b = got.find("\r\n\r\n/b");
  const auto c = got.find("\r\n\r\n/c");
  REQUIRE(a < b);
  REQUIRE(b < c);
  REQUIRE(c != std::string::npos);
}

TEST_CASE(
  "requests with ambiguous framing, malformed requests and requests that are too large are refused")
{
  struct Example
  {
    std::string text;
    std::string status;
  };
  const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
  const auto example = GENERATE_COPY(values<Example>({
    { post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", "400" },
    { post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc", "400" },
    { post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400" },
    { post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "400" },
    { post + "Content-Length: 3, 3\r\n\r\nabc", "400" },
    { post + "Content-Length: -3\r\n\r\nabc", "400" },
    { post + "Transfer-Encoding: gzip\r\n\r\n", "400" },
    { post + "Transfer-Encoding: gzip, chunked\r\n\r\n", "400" },
    { post + "Transfer-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc", "400" },
    { post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", "400" },
    { "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400" },
    { "GET / HTTP/1.1\r\n\r\n", "400" },
    { "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", "400" },
    { "GET / HTTP/1.1\r\nHost : x\r\n\r\n", "400" },
    { "GET /\r\n\r\n", "400" },
    { "GET / HTTP/2.0\r\nHost: x\r\n\r\n", "400" },
    { "GET / HTTP/1.1\r\nHost: x\r\nExpect: tea\r\n\r\n", "417" },
    { post + "A: " + std::string(20000, 'a') + "\r\n\r\n", "431" },
    { post + "A: " + std::string(200000, 'a'), "431" },
    { post + "Content-Length: 2000000000\r\n\r\n", "413" },
  }));
  CAPTURE(example.text.substr(0, 100));
  ServerFixture server;
  BlockingSocket caller(server.frontend->port());
  caller.write(example.text);
  const std::string got = caller.readAll();
  REQUIRE(got.substr(0, 13) == "HTTP/1.1 " + example.status + " ");
  REQUIRE(got.find("Camphorcleat-Outcome: not-run\r\n") != std::string::npos);
  REQUIRE(got.find("Connection: close\r\n") != std::string::npos);
  REQUIRE(server.handler.requests() == 0);
}

// Guards against limits of a new configuration that take effect only after a restart.
TEST_CASE("changed limits apply to requests and idle time on connections that are already open")
{
  ServerFixture server;
  BlockingSocket caller(server.frontend->port());
  const std::string head = "GET /a HTTP/1.1\r\nHost: x\r\nA: " + std::string(1000, 'a');
  caller.write(head + "\r\n\r\n");
  REQUIRE(caller.readUntil("/a").find("200 OK") != std::string::npos);
  HttpLimits limits;
  limits.maxHeaderBytes = 500;
  limits.keepAliveTimeout = Millis(200);
  runOn(server.thread, [&] { server.frontend->setLimits(limits); });
  caller.write(head + "\r\n\r\n");
  REQUIRE(caller.readAll().substr(0, 13) == "HTTP/1.1 431 ");

  // The parser throws on a header field of 64 KiB. A configured limit above that must not let a
  // caller terminate the process.
  limits.maxHeaderBytes = 1'000'000;
  runOn(server.thread, [&] { server.frontend->setLimits(limits); });
  BlockingSocket tooLong(server.frontend->port());
  tooLong.write("GET /a HTTP/1.1\r\nHost: x\r\nA: " + std::string(90'000, 'a') + "\r\n\r\n");
  REQUIRE(tooLong.readAll().substr(0, 13) == "HTTP/1.1 431 ");
  BlockingSocket second(server.frontend->port());
  second.write("GET /a HTTP/1.1\r\nHost: x\r\nA: " + std::string(50'000, 'a') + "\r\n\r\n");
  REQUIRE(second.readUntil("/a").find("200 OK") != std::string::npos);
  const TimePoint respondedAt = Clock::now();
  REQUIRE(second.readAll().empty());
  REQUIRE(second.hasEnded());
  REQUIRE(Clock::now() - respondedAt < Millis(1000));
}

TEST_CASE("errors within a body are reported to the handler, which can still send a response")
{
  HttpLimits limits = shortLimits();
  limits.maxBodyBytes = 100;
  ServerFixture server(limits);
  server.handler.setCallback([](const Stream& aStream) { countBody(aStream); });
  const std::string post = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  BlockingSocket caller(server.frontend->port());
  std::string expected;
  SECTION("malformed chunk")
  {
    caller.write(post + "3\r\nabc\r\nzz\r\n");
    expected = "bad_request";
  }
  SECTION("chunks longer than the limit")
  {
    caller.write(post + "c8\r\n" + std::string(200, 'a') + "\r\n0\r\n\r\n");
    expected = "body_too_large";
  }
  SECTION("body that stalls")
  {
    caller.write(post + "3\r\nabc\r\n");
    expected = "deadline_exceeded";
  }
  const std::string got = caller.readAll();
  REQUIRE(got.find("\r\n\r\n" + expected) != std::string::npos);
  REQUIRE(caller.hasEnded());
  REQUIRE(server.frontend->openRequests() == 0);
}

TEST_CASE("connections that send a header slowly or stay idle are closed")
{
  ServerFixture server(shortLimits());
  BlockingSocket caller(server.frontend->port());
  std::string expected;
  SECTION("one header byte at a time")
  {
    const TimePoint start = Clock::now();
    const std::string text = "GET / HTTP/1.1\r\nHost: x\r\nA: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
    for (const char it : text) {
      caller.write(std::string(1, it));
      std::this_thread::sleep_for(Millis(10));
    }
    REQUIRE(Clock::now() - start > Millis(300));
    REQUIRE(server.frontend->openConnections() == 0);
  }
  SECTION("nothing sent") {}
  SECTION("idle after a response")
  {
    caller.write(kGet);
    expected = "/a";
  }
  const std::string got = caller.readAll();
  REQUIRE(got.substr(got.size() - expected.size()) == expected);
  REQUIRE(caller.hasEnded());
  REQUIRE(waitFor([&] { return server.frontend->openConnections() == 0; }));
}

TEST_CASE("100 Continue is sent when the handler first reads the body, not before")
{
  ServerFixture server;
  Stream pendingStream;
  server.handler.setCallback([&](Stream aStream) { pendingStream = std::move(aStream); });
  BlockingSocket caller(server.frontend->port());
  caller.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n");
  REQUIRE(waitFor([&] { return server.handler.requests() == 1; }));
  char byte = 0;
  std::this_thread::sleep_for(Millis(50));
  REQUIRE(::recv(caller.nativeHandle(), &byte, 1, MSG_DONTWAIT) < 0);
  runOn(server.thread, [&] {
    REQUIRE(findHeader(pendingStream->headers(), "Expect") == nullptr);
    countBody(std::exchange(pendingStream, nullptr));
  });
  REQUIRE(caller.readUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
  caller.write("hello");
  REQUIRE(caller.readUntil("\r\n\r\n5").find("HTTP/1.1 200 OK") == 0);
}

TEST_CASE("hop-by-hop headers are removed, and Content-Length is kept")
{
  std::vector<wire::Header> headers = { { "Connection", "keep-alive, X-Hop, content-length" },
                                        { "x-hop", "1" },
                                        { "TE", "trailers" },
                                        { "Content-Length", "12" },
                                        { "X-Kept", "1" } };
  removeHopByHopHeaders(headers);
  REQUIRE(headers.size() == 2);
  REQUIRE(parseContentLength(headers) == 12U);
  REQUIRE(headers[1].name == "X-Kept");
}

TEST_CASE("a response sent before the complete body is read arrives, and the connection is closed")
{
  ServerFixture server;
  BlockingSocket caller(server.frontend->port());
  caller.write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n" +
               std::string(300000, 'a') + kGet);
  const std::string got = caller.readAll();
  REQUIRE(got.find("Connection: close\r\n") != std::string::npos);
  REQUIRE(got.substr(got.size() - 6) == "\r\n\r\n/a");
  REQUIRE(!caller.wasReset());
  REQUIRE(server.handler.requests() == 1);
}

TEST_CASE("a caller can detect that a handler abandoned its response")
{
  ServerFixture server;
  std::string expected;
  SECTION("abort within a chunked response")
  {
    server.handler.setCallback([](const Stream& aStream) {
      aStream->sendHead(200, {}, std::nullopt);
      aStream->sendBody("part", false, [aStream](bool) { aStream->abort(); });
    });
  }
  SECTION("stream destroyed without a response")
  {
    server.handler.setCallback([](const Stream&) {});
  }
  SECTION("fewer bytes than announced")
  {
    server.handler.setCallback([](const Stream& aStream) {
      aStream->sendHead(200, {}, 10);
      aStream->sendBody("part", true, nullptr);
    });
  }
  BlockingSocket caller(server.frontend->port());
  caller.write(kGet);
  const std::string got = caller.readAll();
  REQUIRE(got.find("\r\n0\r\n\r\n") == std::string::npos);
  REQUIRE(caller.wasReset());
  REQUIRE(server.frontend->openRequests() == 0);
}

TEST_CASE(
  "a caller that disconnects while its request runs is reported once, even with unread input")
{
  ServerFixture server;
  std::atomic<int> disconnects{ 0 };
  Stream pendingStream;
  server.handler.setCallback([&](Stream aStream) {
    pendingStream = std::move(aStream);
    pendingStream->onDisconnect([&] { ++disconnects; });
  });
  BlockingSocket caller(server.frontend->port());
  const auto write = [&](std::size_t aBytes) {
    caller.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 30000000\r\n\r\n" +
                 std::string(aBytes, 'a'));
  };
  const auto post = [&](std::size_t aBytes) {
    write(aBytes);
    REQUIRE(waitFor([&] { return server.handler.requests() == 1; }));
    REQUIRE(server.frontend->openRequests() == 1);
  };
  SECTION("close")
  {
    post(20000);
    caller.close();
  }
  SECTION("reset")
  {
    post(20000);
    caller.reset();
  }
  SECTION("close after more input than the socket buffer holds")
  {
    // TCP delivers the end of the stream only after the data, so the handler has to read.
    std::thread sender([&] { write(4000000); });
    REQUIRE(waitFor([&] { return server.handler.requests() == 1; }));
    std::function<void(BodyPart)> read = [&](const BodyPart& aPart) {
      if (!aPart.error && pendingStream) {
        pendingStream->readBody(read);
      }
    };
    runOn(server.thread, [&] { pendingStream->readBody(read); });
    sender.join();
    caller.close();
    REQUIRE(waitFor([&] { return disconnects == 1; }));
    runOn(server.thread, [] {});
  }
  REQUIRE(waitFor([&] { return disconnects == 1; }));
  std::atomic<int> refused{ 0 };
  runOn(server.thread, [&] {
    pendingStream->sendHead(200, {}, 5);
    pendingStream->sendBody("hello", true, [&](bool aIsOpen) { refused += aIsOpen ? 0 : 1; });
    pendingStream->readBody(
      [&](const BodyPart& aPart) { refused += aPart.error == ErrorCode::Cancelled ? 1 : 0; });
    pendingStream.reset();
  });
  REQUIRE(waitFor([&] { return refused == 2; }));
  REQUIRE(disconnects == 1);
  REQUIRE(server.frontend->openRequests() == 0);
}

// Guards against work for a caller that has left (GONE): its request lay unread while the
// frontend's thread was busy.
TEST_CASE("a request whose caller closed the connection before it was read isn't started")
{
  ServerFixture server;
  auto caller = std::make_unique<BlockingSocket>(server.frontend->port());
  std::string request = kGet;
  int served = 0;
  SECTION("on a new connection")
  {
    caller.reset();
  }
  SECTION("on a kept connection")
  {
    caller->write(kGet);
    REQUIRE(caller->readUntil("/a").find("200 OK") != std::string::npos);
    served = 1;
  }
  SECTION("with a body")
  {
    request = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
  }
  std::promise<void> release;
  server.thread.post([&] { release.get_future().wait(); });
  if (!caller) { // Stays in the accept queue until the thread is free.
    caller = std::make_unique<BlockingSocket>(server.frontend->port());
  }
  caller->write(request);
  caller->close();
  release.set_value();
  BlockingSocket next(server.frontend->port());
  next.write("GET /next HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(next.readUntil("/next").find("200 OK") != std::string::npos);
  REQUIRE(waitFor([&] { return server.frontend->openConnections() == 1; }));
  CHECK(server.handler.requests() == served + 1);
}

TEST_CASE("a caller that stops reading blocks the handler, and its connection is closed")
{
  HttpLimits limits;
  limits.bodyIdleTimeout = Millis(400);
  ServerFixture server(limits);
  std::atomic<std::size_t> sent{ 0 };
  std::atomic<bool> isDisconnected{ false };
  std::function<void(Stream)> sendMore = [&](const Stream& aStream) {
    aStream->sendBody(std::string(65536, 'a'), false, [&, aStream](bool aIsOpen) {
      if (aIsOpen) {
        sent += 65536;
        sendMore(aStream);
      }
    });
  };
  server.handler.setCallback([&](const Stream& aStream) {
    aStream->onDisconnect([&] { isDisconnected = true; });
    aStream->sendHead(200, {}, std::nullopt);
    sendMore(aStream);
  });
  BlockingSocket caller(server.frontend->port());
  caller.write(kGet);
  REQUIRE(waitFor([&] { return isDisconnected.load(); }));
  // 32 MiB is above what the kernel buffers on both ends of a loopback connection.
  REQUIRE(sent < (32U << 20U));
}

TEST_CASE("a drain closes every connection after its response")
{
  ServerFixture server;
  Stream pendingStream;
  BlockingSocket idle(server.frontend->port());
  idle.write(kGet);
  REQUIRE(idle.readUntil("/a").find("Connection: close") == std::string::npos);
  server.handler.setCallback([&](Stream aStream) { pendingStream = std::move(aStream); });
  BlockingSocket busy(server.frontend->port());
  busy.write(kGet);
  REQUIRE(waitFor([&] { return server.handler.requests() == 2; }));
  runOn(server.thread, [&] { server.frontend->beginDrain(); });
  REQUIRE(idle.readAll().empty());
  REQUIRE(idle.hasEnded());
  REQUIRE(server.frontend->openRequests() == 1);
  runOn(server.thread,
        [&] { std::exchange(pendingStream, nullptr)->sendResponse(200, {}, "late"); });
  const std::string got = busy.readAll();
  REQUIRE(got.find("Connection: close\r\n") != std::string::npos);
  REQUIRE(got.substr(got.size() - 4) == "late");

  server.handler.setCallback([](const Stream& aStream) { aStream->sendResponse(200, {}, "new"); });
  BlockingSocket fresh(server.frontend->port());
  fresh.write(kGet);
  REQUIRE(fresh.readAll().find("Connection: close\r\n") != std::string::npos);
  runOn(server.thread, [&] { server.frontend->stopAccepting(); });
  REQUIRE_THROWS(BlockingSocket(server.frontend->port()));
}

// Guards against a complete response that is cut off at the end of a planned stop (LOST): closing a
// socket with unread input resets the connection.
TEST_CASE("a complete response reaches its caller although the frontend is closed right after it")
{
  ServerFixture server;
  const std::string body(256U << 10U, 'r');
  server.handler.setCallback([&](const Stream& aStream) { aStream->sendResponse(200, {}, body); });
  runOn(server.thread, [&] { server.frontend->beginDrain(); });
  const std::string post = "POST /a HTTP/1.1\r\nHost: x\r\n";
  std::string request = kGet;
  std::string more; // Sent while the response is read.
  SECTION("no request body") {}
  SECTION("request body that is unread")
  {
    request = post + "Content-Length: 300000\r\n\r\n" + std::string(300000, 'a');
  }
  SECTION("chunked request body that the caller is still sending")
  {
    more = "5\r\nhello\r\n";
    request = post + "Transfer-Encoding: chunked\r\n\r\n" + more;
  }
  SECTION("next request that was sent before the response")
  {
    request += kGet;
  }
  SECTION("next requests that are sent after the drain began")
  {
    more = kGet;
  }
  BlockingSocket caller(server.frontend->port());
  caller.write(request);
  bool hasResponded = false;
  std::thread closer([&] {
    hasResponded = waitFor(
      [&] { return server.handler.requests() == 1 && server.frontend->openRequests() == 0; });
    runOn(server.thread, [&] { server.frontend.reset(); });
  });
  std::string got;
  for (std::string buf = caller.readSome(16U << 10U); !buf.empty();
       buf = caller.readSome(16U << 10U)) {
    got += buf;
    caller.write(more);
    std::this_thread::sleep_for(Millis(1));
  }
  caller.close();
  closer.join();
  CHECK(hasResponded);
  CHECK(!caller.wasReset());
  CHECK(std::count(got.begin(), got.end(), 'r') >= static_cast<std::ptrdiff_t>(body.size()));
  CHECK(server.handler.requests() == 1);
}

// Guards against a stop that waits for callers without bound.
TEST_CASE("closing the frontend waits only for callers of responses, and for a bounded time")
{
  ServerFixture server;
  BlockingSocket idle(server.frontend->port());
  idle.write(kGet);
  REQUIRE(idle.readUntil("/a").find("200 OK") != std::string::npos);
  BlockingSocket silent(server.frontend->port());
  REQUIRE(waitFor([&] { return server.frontend->openConnections() == 2; }));
  Millis limit(100);
  std::unique_ptr<BlockingSocket> unread;
  SECTION("idle and silent callers") {}
  SECTION("caller that keeps its connection open after the last response")
  {
    unread = std::make_unique<BlockingSocket>(server.frontend->port());
    unread->write("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    REQUIRE(unread->readUntil("/a").find("200 OK") != std::string::npos);
    limit = Millis(500);
  }
  const TimePoint start = Clock::now();
  runOn(server.thread, [&] { server.frontend.reset(); });
  CHECK(Clock::now() - start < limit);
}

// Guards against a truncated response that looks complete (R7).
TEST_CASE("a response that ends with its connection is reset when the frontend cuts it off")
{
  HttpLimits limits;
  limits.bodyIdleTimeout = Millis(200);
  ServerFixture server(limits);
  Stream pendingStream;
  std::string data = "part";
  SECTION("frontend closed") {}
  SECTION("caller that stops reading for too long")
  {
    data = std::string(32U << 20U, 'a'); // More than the kernel buffers.
  }
  server.handler.setCallback([&](Stream aStream) {
    pendingStream = std::move(aStream);
    pendingStream->sendHead(200, {}, std::nullopt);
    pendingStream->sendBody(data, false, nullptr);
  });
  BlockingSocket caller(server.frontend->port());
  caller.write("GET /a HTTP/1.0\r\n\r\n");
  if (data == "part") {
    REQUIRE(caller.readUntil("part").find("200 OK") != std::string::npos);
    runOn(server.thread, [&] { server.frontend.reset(); });
  } else {
    REQUIRE(waitFor([&] { return server.handler.requests() == 1; }));
    REQUIRE(waitFor([&] { return server.frontend->openRequests() == 0; }));
  }
  caller.readAll();
  CHECK(caller.wasReset());
  runOn(server.thread, [&] { pendingStream.reset(); });
}

TEST_CASE("at the connection limit an idle connection is closed for a new one, a busy one is kept")
{
  HttpLimits limits;
  limits.maxConnections = 1;
  ServerFixture server(limits);
  BlockingSocket idle(server.frontend->port());
  idle.write(kGet);
  idle.readUntil("/a");
  Stream pendingStream;
  server.handler.setCallback([&](Stream aStream) { pendingStream = std::move(aStream); });
  BlockingSocket busy(server.frontend->port());
  busy.write(kGet);
  REQUIRE(waitFor([&] { return server.handler.requests() == 2; }));
  BlockingSocket refused(server.frontend->port());
  REQUIRE(refused.readAll().empty());
  runOn(server.thread,
        [&] { std::exchange(pendingStream, nullptr)->sendResponse(200, {}, "kept"); });
  REQUIRE(busy.readUntil("kept").find("200 OK") != std::string::npos);
}

TEST_CASE("responses to HEAD and with status 204 have no body")
{
  ServerFixture server;
  BlockingSocket caller(server.frontend->port());
  caller.write("HEAD /abc HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(caller.readUntil("\r\n\r\n").find("Content-Length: 4\r\n") != std::string::npos);
  server.handler.setCallback([](const Stream& aStream) { aStream->sendResponse(204, {}, ""); });
  caller.write(kGet);
  const std::string got = caller.readUntil("\r\n\r\n");
  REQUIRE(got.find("HTTP/1.1 204") == 0);
  REQUIRE(got.find("Content-Length") == std::string::npos);
}

TEST_CASE("HTTP/1.0 callers get responses without chunked coding")
{
  ServerFixture server;
  server.handler.setCallback([](const Stream& aStream) {
    aStream->sendHead(200, {}, std::nullopt);
    aStream->sendBody("whole", true, nullptr);
  });
  BlockingSocket caller(server.frontend->port());
  caller.write("GET /a HTTP/1.0\r\n\r\n");
  const std::string got = caller.readAll();
  REQUIRE(got.find("Transfer-Encoding") == std::string::npos);
  REQUIRE(got.substr(got.size() - 9) == "\r\n\r\nwhole");
}

} // namespace camphorcleat::transport::testing
