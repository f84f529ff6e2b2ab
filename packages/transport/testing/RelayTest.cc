// Guards against unbounded buffering of bodies in a daemon. A request passes through HttpFrontend
// and TargetClient to a target, and its response passes back.

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <new>

#include <malloc.h>

#include "TransportFakes.h"
#include "transport/HttpFrontend.h"
#include "transport/TargetClient.h"

namespace {

std::atomic<std::size_t> sHeapBytes{ 0 };

} // namespace

// Counts the heap bytes in use. The resident set size would include the memory of the sanitizers
// and the free lists of the allocator.
[[gnu::noinline]] void* operator new(std::size_t aBytes)
{
  void* out = std::malloc(aBytes);
  if (out == nullptr) {
    throw std::bad_alloc();
  }
  sHeapBytes += ::malloc_usable_size(out);
  return out;
}

// Without this overload the one of AddressSanitizer would be used, whose memory must not be passed
// to free().
[[gnu::noinline]] void* operator new(std::size_t aBytes, const std::nothrow_t&) noexcept
{
  void* out = std::malloc(aBytes);
  sHeapBytes += out == nullptr ? 0 : ::malloc_usable_size(out);
  return out;
}

[[gnu::noinline]] void operator delete(void* aMemory) noexcept
{
  sHeapBytes -= aMemory == nullptr ? 0 : ::malloc_usable_size(aMemory);
  std::free(aMemory);
}

[[gnu::noinline]] void operator delete(void* aMemory, std::size_t) noexcept
{
  operator delete(aMemory);
}

namespace camphorcleat::transport::testing {
namespace {

using Stream = std::shared_ptr<CallerStream>;

/// Connects a caller's stream with an exchange. Each part is read only after the previous one was
/// written.
class Relay final
  : public TargetHandler
  , public std::enable_shared_from_this<Relay>
{
public:
  explicit Relay(Stream aStream)
    : mStream(std::move(aStream))
  {
  }

  static void start(const Stream& aStream, TargetClient& aClient)
  {
    const auto relay = std::make_shared<Relay>(aStream);
    relay->mExchange = aClient.start(
      { aStream->method(), aStream->path(), aStream->headers(), aStream->contentLength() }, relay,
      Clock::now() + std::chrono::seconds(20));
    aStream->onDisconnect([weak = std::weak_ptr<TargetExchange>(relay->mExchange)] {
      if (const auto exchange = weak.lock()) {
        exchange->cancel();
      }
    });
  }

  void onWritable() override
  {
    mStream->readBody([self = shared_from_this()](BodyPart aPart) {
      if (aPart.error) {
        self->mExchange->cancel();
      } else {
        self->mExchange->sendBody(std::move(aPart.data), aPart.isLast);
      }
    });
  }
  void onHead(unsigned aStatus, std::vector<wire::Header> aHeaders,
              std::optional<std::uint64_t> aContentLength) override
  {
    mStream->sendHead(aStatus, std::move(aHeaders), aContentLength);
    mExchange->readMore();
  }
  void onBody(std::string aData, bool aIsLast) override
  {
    mStream->sendBody(std::move(aData), aIsLast,
                      [self = shared_from_this(), aIsLast](bool aIsOpen) {
                        if (aIsOpen && !aIsLast) {
                          self->mExchange->readMore();
                        }
                      });
  }
  void onFailure(bool, ErrorCode, std::string) override { mStream->abort(); }

private:
  Stream mStream;
  std::shared_ptr<TargetExchange> mExchange;
};

/// Target of these tests, which returns each request body part by part.
class EchoHandler final : public HttpHandler
{
public:
  void onRequest(Stream aStream) override
  {
    aStream->onDisconnect([this] { ++disconnects; });
    aStream->sendHead(200, {}, aStream->contentLength());
    echoBody(aStream);
  }
  std::atomic<std::size_t> bytes{ 0 };
  std::atomic<int> disconnects{ 0 };

private:
  void echoBody(const Stream& aStream)
  {
    aStream->readBody([this, aStream](BodyPart aPart) {
      if (aPart.error) {
        aStream->abort();
        return;
      }
      bytes += aPart.data.size();
      const bool isLast = aPart.isLast;
      aStream->sendBody(std::move(aPart.data), isLast, [this, aStream, isLast](bool aIsOpen) {
        if (aIsOpen && !isLast) {
          echoBody(aStream);
        }
      });
    });
  }
};

class RelayHandler final : public HttpHandler
{
public:
  void onRequest(Stream aStream) override { Relay::start(aStream, *client); }
  std::unique_ptr<TargetClient> client;
};

struct RelayFixture
{
  RelayFixture()
    : target(thread.context(), "127.0.0.1:0", {}, echo)
    , daemon(thread.context(), "127.0.0.1:0", {}, relay)
  {
    REQUIRE(target.start());
    REQUIRE(daemon.start());
    TargetClientConfig config;
    config.address = "127.0.0.1:" + std::to_string(target.port());
    relay.client = std::make_unique<TargetClient>(thread.context(), config);
    thread.start();
  }
  ~RelayFixture() { thread.stop(); }
  DutyThread thread{ "relay" };
  EchoHandler echo;
  RelayHandler relay;
  HttpFrontend target;
  HttpFrontend daemon;
};

constexpr std::size_t kBodyBytes = 64U << 20U;

} // namespace

TEST_CASE("64 MiB are relayed in both directions in bounded memory")
{
  const bool isChunked = GENERATE(false, true);
  RelayFixture chain;
  BlockingSocket caller(chain.daemon.port());
  const std::size_t before = sHeapBytes.load();
  std::thread sender([&] {
    const std::string block(1U << 20U, 'z');
    caller.write("POST /x HTTP/1.1\r\nHost: x\r\n" +
                 (isChunked ? std::string("Transfer-Encoding: chunked")
                            : "Content-Length: " + std::to_string(kBodyBytes)) +
                 "\r\n\r\n");
    for (std::size_t n = 0; n < kBodyBytes; n += block.size()) {
      caller.write(isChunked ? "100000\r\n" + block + "\r\n" : block);
    }
    caller.write(isChunked ? "0\r\n\r\n" : "");
  });
  std::size_t received = 0;
  std::size_t peak = 0;
  for (std::string buf = caller.readSome(); !buf.empty(); buf = caller.readSome()) {
    received += static_cast<std::size_t>(std::count(buf.begin(), buf.end(), 'z'));
    peak = std::max(peak, sHeapBytes.load());
    if (received >= kBodyBytes) {
      break;
    }
  }
  sender.join();
  REQUIRE(received == kBodyBytes);
  REQUIRE(chain.echo.bytes == kBodyBytes);
  CAPTURE(peak - before);
  // The blocks of the test itself take about 4 MiB of this.
  REQUIRE(peak - std::min(peak, before) < (8U << 20U));
}

TEST_CASE("a caller that stops reading blocks the target, and its disconnect reaches the target")
{
  RelayFixture chain;
  BlockingSocket caller(chain.daemon.port());
  std::atomic<bool> isClosing{ false };
  std::thread sender([&] {
    caller.write("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                 std::to_string(10 * kBodyBytes) + "\r\n\r\n");
    const std::string block(1U << 20U, 'z');
    while (!isClosing) {
      // Non-blocking, so that the test can close the connection.
      ::send(caller.nativeHandle(), block.data(), block.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      std::this_thread::sleep_for(Millis(1));
    }
  });
  // The transfer has stopped if no bytes are transferred for 300 ms.
  std::size_t last = 0;
  const bool hasStopped = waitFor(
    [&] {
      std::this_thread::sleep_for(Millis(300));
      const std::size_t before = std::exchange(last, chain.echo.bytes.load());
      return before == last && last > 0;
    },
    Millis(5000));
  isClosing = true;
  sender.join();
  CAPTURE(last);
  REQUIRE(hasStopped);
  REQUIRE(chain.echo.bytes < kBodyBytes);
  caller.reset();
  REQUIRE(waitFor([&] { return chain.echo.disconnects == 1; }));
  REQUIRE(waitFor([&] { return chain.daemon.openRequests() == 0; }));
}

} // namespace camphorcleat::transport::testing
