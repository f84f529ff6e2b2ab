// Guards against a proxy that doesn't inject the fault that a scenario asks for: the scenario would
// then pass without testing anything.

#include <atomic>

#include <catch2/catch.hpp>

#include "LoopThread.h"
#include "TestSocket.h"
#include "harness/FaultProxy.h"

namespace camphorcleat::harness {
namespace {

using tcp = boost::asio::ip::tcp;
constexpr Millis kTimeout{ 2000 };   // Time limit for expected events.
constexpr Millis kQuietPeriod{ 80 }; // How long a test checks that nothing happens.

// Returns the bytes that it receives and counts them.
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
      firstEndpoint = proxy->addLink({ "a-1", any, server->endpoint() });
      secondEndpoint = proxy->addLink({ "b-1", any, server->endpoint() });
    });
  }
  ~Fixture() { thread.stop(); }

  unsigned postSettings(const std::string& aQuery)
  {
    return thread.run([&] {
      return proxy->handleAdminRequest({ "POST", UrlQuery("/set?" + aQuery), "" }).status;
    });
  }

  LoopThread thread;
  std::optional<EchoServer> server;
  std::optional<FaultProxy> proxy;
  Endpoint firstEndpoint;
  Endpoint secondEndpoint;
};

std::string sendAndReceive(TestSocket& aSocket, const std::string& aText, Millis aTimeout)
{
  aSocket.send(aText);
  return aSocket.receive(aText.size(), aTimeout);
}

} // namespace

TEST_CASE("the proxy forwards in both directions and keeps the byte order despite jitter")
{
  Fixture f;
  REQUIRE(f.postSettings("link=a-1&delay_ms=1&jitter_ms=5") == 200);
  TestSocket client(f.firstEndpoint);
  std::string sent;
  for (int i = 0; i < 60; ++i) {
    const std::string part = std::to_string(i) + ",";
    client.send(part);
    sent += part;
  }
  REQUIRE(client.receive(sent.size(), kTimeout) == sent);
}

TEST_CASE("a delay applies to each direction")
{
  Fixture f;
  TestSocket client(f.firstEndpoint);
  REQUIRE(sendAndReceive(client, "x", kTimeout) == "x");
  REQUIRE(f.postSettings("link=a-1&delay_ms=40") == 200);
  const TimePoint start = Clock::now();
  REQUIRE(sendAndReceive(client, "y", kTimeout) == "y");
  REQUIRE(Clock::now() - start >= Millis(80));
}

TEST_CASE("a delayed link forwards large transfers completely")
{
  Fixture f;
  REQUIRE(f.postSettings("link=a-1&delay_ms=2") == 200);
  TestSocket client(f.firstEndpoint);
  const std::string sent(3U << 20U, 'z');
  std::thread sender([&] { client.send(sent); });
  const std::string received = client.receive(sent.size(), Millis(5000));
  sender.join();
  REQUIRE(received == sent);
}

TEST_CASE("a cut drops only the bytes of its direction and keeps connections open")
{
  Fixture f;
  TestSocket client(f.firstEndpoint);
  REQUIRE(sendAndReceive(client, "x", kTimeout) == "x");
  SECTION("to_server")
  {
    REQUIRE(f.postSettings("link=a-1&cut=to_server") == 200);
    REQUIRE(sendAndReceive(client, "yy", kQuietPeriod).empty());
    REQUIRE(f.server->received() == 1);
  }
  SECTION("to_client")
  {
    REQUIRE(f.postSettings("link=a-1&cut=to_client") == 200);
    REQUIRE(sendAndReceive(client, "yy", kQuietPeriod).empty());
    REQUIRE(f.server->received() == 3);
  }
  SECTION("both, including new connections")
  {
    REQUIRE(f.postSettings("link=a-1&cut=both") == 200);
    TestSocket later(f.firstEndpoint);
    REQUIRE(sendAndReceive(later, "yy", kQuietPeriod).empty());
    REQUIRE(f.server->received() == 1);
  }
  REQUIRE(client.waitForEnd(Millis(10)) == TestSocket::StreamEnd::Open);
  SECTION("other links are unaffected")
  {
    REQUIRE(f.postSettings("link=a-1&cut=both") == 200);
    TestSocket other(f.secondEndpoint);
    REQUIRE(sendAndReceive(other, "x", kTimeout) == "x");
  }
}

TEST_CASE("a stream that lost bytes never continues after the cut, but new connections work")
{
  Fixture f;
  TestSocket client(f.firstEndpoint);
  REQUIRE(f.postSettings("link=a-1&cut=to_server") == 200);
  REQUIRE(sendAndReceive(client, "lost", kQuietPeriod).empty());
  REQUIRE(f.postSettings("link=a-1&cut=none") == 200);
  REQUIRE(sendAndReceive(client, "after", kQuietPeriod).empty());
  REQUIRE(f.server->received() == 0);
  TestSocket later(f.firstEndpoint);
  REQUIRE(sendAndReceive(later, "new", kTimeout) == "new");
}

TEST_CASE("a connection that lost no bytes during a cut continues")
{
  Fixture f;
  TestSocket client(f.firstEndpoint);
  REQUIRE(sendAndReceive(client, "x", kTimeout) == "x");
  REQUIRE(f.postSettings("link=a-1&cut=both") == 200);
  REQUIRE(f.postSettings("link=a-1&cut=none") == 200);
  REQUIRE(sendAndReceive(client, "y", kTimeout) == "y");
}

TEST_CASE("the end of a stream is withheld while its direction is cut")
{
  Fixture f;
  std::optional<TestSocket> client(f.firstEndpoint);
  REQUIRE(sendAndReceive(*client, "x", kTimeout) == "x");
  REQUIRE(f.postSettings("link=a-1&cut=to_server") == 200);
  client.reset();
  std::this_thread::sleep_for(kQuietPeriod);
  const auto hasOneConnection = [&] {
    const std::string stats = f.thread.run([&] {
      return f.proxy->handleAdminRequest({ "GET", UrlQuery("/stats"), "" }).body;
    });
    return stats.find(R"("connections":1)") != std::string::npos;
  };
  REQUIRE(hasOneConnection());
  REQUIRE(f.postSettings("link=a-1&cut=none") == 200);
  REQUIRE_FALSE(hasOneConnection());
}

TEST_CASE("silence_open permanently silences open connections, but not new ones")
{
  Fixture f;
  TestSocket client(f.firstEndpoint);
  REQUIRE(sendAndReceive(client, "x", kTimeout) == "x");
  REQUIRE(f.postSettings("link=a-1&silence_open=1") == 200);
  REQUIRE(sendAndReceive(client, "y", kQuietPeriod).empty());
  REQUIRE(f.postSettings("link=a-1&cut=none") == 200);
  REQUIRE(sendAndReceive(client, "z", kQuietPeriod).empty());
  REQUIRE(client.waitForEnd(Millis(10)) == TestSocket::StreamEnd::Open);
  TestSocket later(f.firstEndpoint);
  REQUIRE(sendAndReceive(later, "new", kTimeout) == "new");
}

TEST_CASE("close_after_bytes closes after exactly that many bytes of the direction")
{
  Fixture f;
  SECTION("to_client")
  {
    REQUIRE(f.postSettings("link=a-1&close_after_bytes=5&direction=to_client") == 200);
    TestSocket client(f.firstEndpoint);
    client.send("0123456789");
    REQUIRE(client.receive(10, kTimeout) == "01234");
    REQUIRE(client.waitForEnd(kTimeout) != TestSocket::StreamEnd::Open);
  }
  SECTION("to_server, with exactly as many bytes as the limit")
  {
    REQUIRE(f.postSettings("link=a-1&close_after_bytes=4&direction=to_server") == 200);
    TestSocket client(f.firstEndpoint);
    client.send("0123");
    REQUIRE(client.waitForEnd(kTimeout) != TestSocket::StreamEnd::Open);
    for (int i = 0; i < 100 && f.server->received() < 4; ++i) {
      std::this_thread::sleep_for(Millis(10));
    }
    REQUIRE(f.server->received() == 4);
  }
  SECTION("none removes the limit")
  {
    REQUIRE(f.postSettings("link=a-1&close_after_bytes=4") == 200);
    REQUIRE(f.postSettings("link=a-1&close_after_bytes=none") == 200);
    TestSocket client(f.firstEndpoint);
    REQUIRE(sendAndReceive(client, "0123456789", kTimeout) == "0123456789");
  }
}

TEST_CASE("reset immediately resets the open connections")
{
  Fixture f;
  TestSocket client(f.firstEndpoint);
  REQUIRE(sendAndReceive(client, "x", kTimeout) == "x");
  REQUIRE(f.postSettings("link=a-1&reset=1") == 200);
  REQUIRE(client.waitForEnd(kTimeout) == TestSocket::StreamEnd::Reset);
}

TEST_CASE("refuse refuses new connections, keeps open ones and can be disabled")
{
  Fixture f;
  TestSocket client(f.firstEndpoint);
  REQUIRE(sendAndReceive(client, "x", kTimeout) == "x");
  REQUIRE(f.postSettings("link=a-1&refuse=1") == 200);
  REQUIRE_THROWS_AS(TestSocket(f.firstEndpoint), boost::system::system_error);
  REQUIRE(sendAndReceive(client, "y", kTimeout) == "y");
  REQUIRE(f.postSettings("link=a-1&refuse=0") == 200);
  TestSocket later(f.firstEndpoint);
  REQUIRE(sendAndReceive(later, "z", kTimeout) == "z");
}

TEST_CASE("a prefix selects all links with it, and an invalid parameter changes no link")
{
  Fixture f;
  REQUIRE(f.postSettings("link=*&refuse=1") == 200);
  REQUIRE_THROWS_AS(TestSocket(f.firstEndpoint), boost::system::system_error);
  REQUIRE_THROWS_AS(TestSocket(f.secondEndpoint), boost::system::system_error);
  REQUIRE(f.postSettings("link=b*&refuse=0") == 200);
  REQUIRE_THROWS_AS(TestSocket(f.firstEndpoint), boost::system::system_error);
  REQUIRE_NOTHROW(TestSocket(f.secondEndpoint));
  REQUIRE(f.postSettings("link=b-1&refuse=1&cut=sideways") == 400);
  REQUIRE(f.postSettings("link=b-1&refuse=1&delay_ms=-3") == 400);
  REQUIRE_NOTHROW(TestSocket(f.secondEndpoint));
  REQUIRE(f.postSettings("link=c&refuse=1") == 404);
}

TEST_CASE("a link is parsed from NAME=listen>server, and invalid syntax is refused")
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
