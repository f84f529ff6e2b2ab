// Guards against a proxy that doesn't do what a scenario asked for: a fault that isn't injected
// makes every scenario about it pass for nothing.

#include <atomic>

#include <catch2/catch.hpp>

#include "LoopThread.h"
#include "TestSocket.h"
#include "harness/FaultProxy.h"

namespace camphorcleat::harness {
namespace {

using tcp = boost::asio::ip::tcp;
constexpr Millis kSoon{ 2000 }; // For what must happen.
constexpr Millis kQuiet{ 80 };  // For what must not happen.

// Sends back what it receives and counts it.
class EchoServer
{
public:
  explicit EchoServer(boost::asio::io_context& aLoop)
    : mAcceptor(aLoop, Endpoint(boost::asio::ip::address_v4::loopback(), 0))
  {
    accept();
  }
  Endpoint endpoint() const { return mAcceptor.local_endpoint(); }
  std::size_t received() const { return mReceived; }

private:
  struct Session
  {
    explicit Session(tcp::socket aSocket)
      : socket(std::move(aSocket))
    {
    }
    tcp::socket socket;
    std::array<char, 4096> buffer{};
  };

  void accept()
  {
    mAcceptor.async_accept([this](boost::system::error_code aError, tcp::socket aSocket) {
      if (!aError) {
        echo(std::make_shared<Session>(std::move(aSocket)));
        accept();
      }
    });
  }

  void echo(const std::shared_ptr<Session>& aSession)
  {
    aSession->socket.async_read_some(
      boost::asio::buffer(aSession->buffer),
      [this, aSession](boost::system::error_code aError, std::size_t aBytes) {
        if (aError) {
          return;
        }
        mReceived += aBytes;
        boost::asio::async_write(aSession->socket, boost::asio::buffer(aSession->buffer, aBytes),
                                 [this, aSession](boost::system::error_code aError, std::size_t) {
                                   if (!aError) {
                                     echo(aSession);
                                   }
                                 });
      });
  }

  tcp::acceptor mAcceptor;
  std::atomic<std::size_t> mReceived{ 0 };
};

// An echo server behind two links, "a-1" and "b-1".
struct Fixture
{
  Fixture()
  {
    thread.run([&] {
      server.emplace(thread.loop());
      proxy.emplace(thread.loop(), 1);
      const Endpoint any(boost::asio::ip::address_v4::loopback(), 0);
      first = proxy->add({ "a-1", any, server->endpoint() });
      second = proxy->add({ "b-1", any, server->endpoint() });
    });
  }
  ~Fixture() { thread.stop(); }

  unsigned post(const std::string& aQuery)
  {
    return thread.run([&] {
      return proxy->control({ "POST", UrlQuery("/set?" + aQuery), "" }).status;
    });
  }

  LoopThread thread;
  std::optional<EchoServer> server;
  std::optional<FaultProxy> proxy;
  Endpoint first;
  Endpoint second;
};

std::string exchange(TestSocket& aSocket, const std::string& aText, Millis aTimeout)
{
  aSocket.send(aText);
  return aSocket.receive(aText.size(), aTimeout);
}

} // namespace

TEST_CASE("the proxy forwards both ways and bytes keep their order under jitter")
{
  Fixture f;
  REQUIRE(f.post("link=a-1&delay_ms=1&jitter_ms=5") == 200);
  TestSocket client(f.first);
  std::string sent;
  for (int i = 0; i < 60; ++i) {
    const std::string piece = std::to_string(i) + ",";
    client.send(piece);
    sent += piece;
  }
  REQUIRE(client.receive(sent.size(), kSoon) == sent);
}

TEST_CASE("a delay holds each direction back")
{
  Fixture f;
  TestSocket client(f.first);
  REQUIRE(exchange(client, "x", kSoon) == "x");
  REQUIRE(f.post("link=a-1&delay_ms=40") == 200);
  const TimePoint start = Clock::now();
  REQUIRE(exchange(client, "y", kSoon) == "y");
  REQUIRE(Clock::now() - start >= Millis(80));
}

TEST_CASE("large transfers pass a delayed link completely")
{
  Fixture f;
  REQUIRE(f.post("link=a-1&delay_ms=2") == 200);
  TestSocket client(f.first);
  const std::string sent(3U << 20U, 'z');
  std::thread sender([&] { client.send(sent); });
  const std::string received = client.receive(sent.size(), Millis(5000));
  sender.join();
  REQUIRE(received == sent);
}

TEST_CASE("a cut drops the bytes of its direction only and keeps connections")
{
  Fixture f;
  TestSocket client(f.first);
  REQUIRE(exchange(client, "x", kSoon) == "x");
  SECTION("to_server")
  {
    REQUIRE(f.post("link=a-1&cut=to_server") == 200);
    REQUIRE(exchange(client, "yy", kQuiet).empty());
    REQUIRE(f.server->received() == 1);
  }
  SECTION("to_client")
  {
    REQUIRE(f.post("link=a-1&cut=to_client") == 200);
    REQUIRE(exchange(client, "yy", kQuiet).empty());
    REQUIRE(f.server->received() == 3);
  }
  SECTION("both, for new connections too")
  {
    REQUIRE(f.post("link=a-1&cut=both") == 200);
    TestSocket later(f.first);
    REQUIRE(exchange(later, "yy", kQuiet).empty());
    REQUIRE(f.server->received() == 1);
  }
  REQUIRE(client.end(Millis(10)) == TestSocket::End::Open);
  SECTION("other links are not touched")
  {
    REQUIRE(f.post("link=a-1&cut=both") == 200);
    TestSocket other(f.second);
    REQUIRE(exchange(other, "x", kSoon) == "x");
  }
}

TEST_CASE("a stream with a hole never continues after the cut, but new connections work")
{
  Fixture f;
  TestSocket client(f.first);
  REQUIRE(f.post("link=a-1&cut=to_server") == 200);
  REQUIRE(exchange(client, "lost", kQuiet).empty());
  REQUIRE(f.post("link=a-1&cut=none") == 200);
  REQUIRE(exchange(client, "after", kQuiet).empty());
  REQUIRE(f.server->received() == 0);
  TestSocket later(f.first);
  REQUIRE(exchange(later, "new", kSoon) == "new");
}

TEST_CASE("a connection that lost nothing during a cut continues")
{
  Fixture f;
  TestSocket client(f.first);
  REQUIRE(exchange(client, "x", kSoon) == "x");
  REQUIRE(f.post("link=a-1&cut=both") == 200);
  REQUIRE(f.post("link=a-1&cut=none") == 200);
  REQUIRE(exchange(client, "y", kSoon) == "y");
}

TEST_CASE("the end of a stream is withheld while its direction is cut")
{
  Fixture f;
  std::optional<TestSocket> client(f.first);
  REQUIRE(exchange(*client, "x", kSoon) == "x");
  REQUIRE(f.post("link=a-1&cut=to_server") == 200);
  client.reset();
  std::this_thread::sleep_for(kQuiet);
  const auto connections = [&] {
    const std::string stats = f.thread.run([&] {
      return f.proxy->control({ "GET", UrlQuery("/stats"), "" }).body;
    });
    return stats.find(R"("connections":1)") != std::string::npos;
  };
  REQUIRE(connections());
  REQUIRE(f.post("link=a-1&cut=none") == 200);
  REQUIRE_FALSE(connections());
}

TEST_CASE("silence_open silences the connections open now for good, not new ones")
{
  Fixture f;
  TestSocket client(f.first);
  REQUIRE(exchange(client, "x", kSoon) == "x");
  REQUIRE(f.post("link=a-1&silence_open=1") == 200);
  REQUIRE(exchange(client, "y", kQuiet).empty());
  REQUIRE(f.post("link=a-1&cut=none") == 200);
  REQUIRE(exchange(client, "z", kQuiet).empty());
  REQUIRE(client.end(Millis(10)) == TestSocket::End::Open);
  TestSocket later(f.first);
  REQUIRE(exchange(later, "new", kSoon) == "new");
}

TEST_CASE("close_after_bytes closes after exactly that many bytes of the direction")
{
  Fixture f;
  SECTION("to_client")
  {
    REQUIRE(f.post("link=a-1&close_after_bytes=5&direction=to_client") == 200);
    TestSocket client(f.first);
    client.send("0123456789");
    REQUIRE(client.receive(10, kSoon) == "01234");
    REQUIRE(client.end(kSoon) != TestSocket::End::Open);
  }
  SECTION("to_server, with an exact fit")
  {
    REQUIRE(f.post("link=a-1&close_after_bytes=4&direction=to_server") == 200);
    TestSocket client(f.first);
    client.send("0123");
    REQUIRE(client.end(kSoon) != TestSocket::End::Open);
    for (int i = 0; i < 100 && f.server->received() < 4; ++i) {
      std::this_thread::sleep_for(Millis(10));
    }
    REQUIRE(f.server->received() == 4);
  }
  SECTION("none lifts it")
  {
    REQUIRE(f.post("link=a-1&close_after_bytes=4") == 200);
    REQUIRE(f.post("link=a-1&close_after_bytes=none") == 200);
    TestSocket client(f.first);
    REQUIRE(exchange(client, "0123456789", kSoon) == "0123456789");
  }
}

TEST_CASE("reset resets the open connections at once")
{
  Fixture f;
  TestSocket client(f.first);
  REQUIRE(exchange(client, "x", kSoon) == "x");
  REQUIRE(f.post("link=a-1&reset=1") == 200);
  REQUIRE(client.end(kSoon) == TestSocket::End::Reset);
}

TEST_CASE("refuse refuses new connections, keeps open ones and can be lifted")
{
  Fixture f;
  TestSocket client(f.first);
  REQUIRE(exchange(client, "x", kSoon) == "x");
  REQUIRE(f.post("link=a-1&refuse=1") == 200);
  REQUIRE_THROWS_AS(TestSocket(f.first), boost::system::system_error);
  REQUIRE(exchange(client, "y", kSoon) == "y");
  REQUIRE(f.post("link=a-1&refuse=0") == 200);
  TestSocket later(f.first);
  REQUIRE(exchange(later, "z", kSoon) == "z");
}

TEST_CASE("a prefix means all its links, and a wrong parameter changes nothing")
{
  Fixture f;
  REQUIRE(f.post("link=*&refuse=1") == 200);
  REQUIRE_THROWS_AS(TestSocket(f.first), boost::system::system_error);
  REQUIRE_THROWS_AS(TestSocket(f.second), boost::system::system_error);
  REQUIRE(f.post("link=b*&refuse=0") == 200);
  REQUIRE_THROWS_AS(TestSocket(f.first), boost::system::system_error);
  REQUIRE_NOTHROW(TestSocket(f.second));
  REQUIRE(f.post("link=b-1&refuse=1&cut=sideways") == 400);
  REQUIRE(f.post("link=b-1&refuse=1&delay_ms=-3") == 400);
  REQUIRE_NOTHROW(TestSocket(f.second));
  REQUIRE(f.post("link=c&refuse=1") == 404);
}

TEST_CASE("a link is read from NAME=listen>server and a wrong one is refused")
{
  const auto route = LinkRoute::parse("1-2=127.0.0.1:7001>127.0.0.1:7002");
  REQUIRE(route->name == "1-2");
  REQUIRE(endpointText(route->listen) == "127.0.0.1:7001");
  REQUIRE(endpointText(route->server) == "127.0.0.1:7002");
  for (const char* it : { "127.0.0.1:1>127.0.0.1:2", "a=127.0.0.1:1", "a=x>127.0.0.1:2",
                          "a=127.0.0.1:1>127.0.0.1:70000" }) {
    REQUIRE_FALSE(orElse(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(LinkRoute::parse(it));
        return true;
      },
      [](const ErrorInfo&) { return false; }));
  }
}

} // namespace camphorcleat::harness
