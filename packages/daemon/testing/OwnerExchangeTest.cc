// Guards against request bodies that reach a target incomplete or reordered, flow control windows
// that are exceeded, and refusals by the target that are reported as responses.

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "daemon/NativeDialect.h"
#include "daemon/OwnerExchange.h"

namespace camphorcleat::daemon {
namespace {

using boost::asio::ip::tcp;

// Records the results of the exchange and the messages that it sends to the entry.
class FakeHost : public OwnerExchangeHost
{
public:
  bool mayStartWrite(const OwnerExchange& /*aExchange*/) override { return mayWrite; }
  TargetResponseKind classifyResponse(const OwnerExchange& aExchange, unsigned aStatus,
                                      const std::vector<wire::Header>& aHeaders) override
  {
    return dialect.classifyResponse(aExchange.head(), aStatus, aHeaders);
  }
  bool namesRequest(const OwnerExchange& /*aExchange*/,
                    const std::vector<wire::Header>& /*aHeaders*/) override
  {
    return true;
  }
  void responseStarted(OwnerExchange& /*aExchange*/, unsigned aStatus, bool aIsShed,
                       bool aIsFenced) override
  {
    status = aStatus;
    isShed = aIsShed;
    isFenced = aIsFenced;
  }
  void exchangeEnded(OwnerExchange& /*aExchange*/, wire::Outcome aOutcome, ErrorCode aCode,
                     std::string /*aMessage*/,
                     std::optional<traffic::StoredResponse> aResponse) override
  {
    REQUIRE_FALSE(outcome);
    outcome = aOutcome;
    code = aCode;
    response = std::move(aResponse);
  }
  Micros expectedTime() override { return Micros(0); }
  void askForBody(OwnerExchange& /*aExchange*/, std::uint64_t aBytes) override
  {
    creditBytes += aBytes;
  }
  void bodyReceived(OwnerExchange& /*aExchange*/, std::uint64_t /*aBytes*/, bool aIsLast) override
  {
    isBodyComplete = aIsLast;
  }
  void sendToEntry(OwnerExchange& /*aExchange*/, wire::PeerMessage aMessage) override
  {
    if (const auto* chunk = std::get_if<wire::BodyChunk>(&aMessage)) {
      chunks.push_back(*chunk);
      sentBytes += chunk->data.size();
    } else if (const auto* credit = std::get_if<wire::Credit>(&aMessage)) {
      creditBytes += credit->bytes;
    } else if (std::holds_alternative<wire::ResponseHead>(aMessage)) {
      ++heads;
    }
  }

  NativeDialect dialect;
  bool mayWrite = true;
  unsigned status = 0;
  bool isShed = false;
  bool isFenced = false;
  std::optional<wire::Outcome> outcome;
  ErrorCode code = ErrorCode::None;
  std::optional<traffic::StoredResponse> response;
  std::vector<wire::BodyChunk> chunks;
  std::uint64_t sentBytes = 0;
  std::uint64_t creditBytes = 0;
  bool isBodyComplete = false;
  int heads = 0;
};

wire::RequestHead requestHead(bool aHasBody)
{
  wire::RequestHead out;
  out.id = { 7, 1 };
  out.method = aHasBody ? "PUT" : "GET";
  out.path = "/lookup/k";
  out.hasBody = aHasBody;
  return out;
}

wire::BodyChunk chunkOf(std::uint64_t aSequence, std::size_t aBytes, bool aIsLast = false,
                        std::uint64_t aTotal = 0)
{
  wire::BodyChunk out;
  out.id = { 7, 1 };
  out.sequence = aSequence;
  out.isLast = aIsLast;
  out.totalBytes = aTotal;
  out.data = Bytes(std::string(aBytes, 'x'));
  return out;
}

// An exchange with a simulated target on loopback. Everything runs on the test's thread.
struct Run
{
  boost::asio::io_context io;
  tcp::acceptor acceptor{ io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0) };
  tcp::socket target{ io };
  FakeHost host;
  transport::TargetClient client{ io, config() };
  std::shared_ptr<OwnerExchange> exchange;

  explicit Run(const wire::RequestHead& aHead)
    : exchange(std::make_shared<OwnerExchange>(host, 3, aHead))
  {
    acceptor.async_accept(target, [](boost::system::error_code) {});
  }
  transport::TargetClientConfig config() const
  {
    transport::TargetClientConfig out;
    out.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    return out;
  }
  void begin() { exchange->begin(client, {}, Clock::now() + Millis(3000)); }
  template<class Condition>
  bool runUntil(Condition&& aCondition, Millis aLimit = Millis(1500))
  {
    const TimePoint end = Clock::now() + aLimit;
    while (!aCondition() && Clock::now() < end) {
      io.restart();
      io.run_for(Millis(2));
    }
    return aCondition();
  }
  // Writes asynchronously, because the exchange may stop reading.
  void respond(std::string aBytes, bool aIsEnd = false)
  {
    REQUIRE(runUntil([&] { return target.is_open() && target.available() > 0; }));
    auto bytes = std::make_shared<std::string>(std::move(aBytes));
    boost::asio::async_write(target, boost::asio::buffer(*bytes),
                             [this, bytes, aIsEnd](boost::system::error_code, std::size_t) {
                               if (aIsEnd) {
                                 target.close();
                               }
                             });
  }
};

} // namespace

TEST_CASE("a request body chunk that is out of order, duplicate or unexpected is refused")
{
  FakeHost host;
  auto exchange = std::make_shared<OwnerExchange>(host, 3, requestHead(true));
  CHECK(exchange->addBody(chunkOf(0, 10)));
  SECTION("skipped")
  {
    CHECK_FALSE(exchange->addBody(chunkOf(2, 10)));
  }
  SECTION("duplicate")
  {
    CHECK_FALSE(exchange->addBody(chunkOf(0, 10)));
  }
  SECTION("no body was announced")
  {
    auto other = std::make_shared<OwnerExchange>(host, 3, requestHead(false));
    CHECK_FALSE(other->addBody(chunkOf(0, 10)));
  }
}

TEST_CASE("a last request chunk is refused if its total differs from the received bytes")
{
  FakeHost host;
  auto exchange = std::make_shared<OwnerExchange>(host, 3, requestHead(true));
  CHECK(exchange->addBody(chunkOf(0, 10)));
  SECTION("differs")
  {
    CHECK_FALSE(exchange->addBody(chunkOf(1, 10, true, 21)));
  }
  SECTION("agrees")
  {
    CHECK(exchange->addBody(chunkOf(1, 10, true, 20)));
    CHECK(host.isBodyComplete); // Releases the credit that the body leaves unused.
  }
}

TEST_CASE("a request body beyond the initial credit is refused while the target reads nothing")
{
  FakeHost host;
  auto exchange = std::make_shared<OwnerExchange>(host, 3, requestHead(true));
  CHECK(exchange->addBody(chunkOf(0, kFirstCreditBytes)));
  CHECK_FALSE(exchange->addBody(chunkOf(1, 1)));
  CHECK(host.creditBytes == 0);
}

TEST_CASE("credit is granted up to one window beyond the received bytes")
{
  Run run(requestHead(true));
  REQUIRE(run.exchange->addBody(chunkOf(0, kFirstCreditBytes)));
  run.begin();
  REQUIRE(run.runUntil([&] { return run.host.creditBytes > 0; }));
  std::uint64_t sent = kFirstCreditBytes;
  // The target reads nothing, so its socket buffer fills up and no more credit is granted.
  std::uint64_t sequence = 1;
  for (int i = 0; i < 2000; ++i) {
    const std::uint64_t credit = kFirstCreditBytes + run.host.creditBytes;
    REQUIRE(credit <= sent + kWindowBytes);
    if (credit - sent < kFirstCreditBytes) {
      run.runUntil([&] { return kFirstCreditBytes + run.host.creditBytes > credit; }, Millis(50));
      if (kFirstCreditBytes + run.host.creditBytes == credit) {
        break;
      }
      continue;
    }
    REQUIRE(run.exchange->addBody(chunkOf(sequence++, kFirstCreditBytes)));
    sent += kFirstCreditBytes;
  }
  const std::uint64_t left = kFirstCreditBytes + run.host.creditBytes - sent;
  CHECK(left < kFirstCreditBytes);
  CHECK_FALSE(run.exchange->addBody(chunkOf(sequence, left + 1)));
  run.exchange->cancel();
  CHECK(run.runUntil([&] { return run.host.outcome.has_value(); }));
  CHECK(run.host.outcome == wire::Outcome::Unknown);
}

TEST_CASE("a response is limited by the entry's credit and ends with its total")
{
  constexpr std::size_t kBytes = 1U << 20U;
  Run run(requestHead(false));
  run.begin();
  run.respond("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBytes) + "\r\n\r\n" +
              std::string(kBytes, 'y'));
  REQUIRE(run.runUntil([&] { return run.host.sentBytes >= kWindowBytes; }));
  run.runUntil([] { return false; }, Millis(50));
  // A read starts if any credit is left, so the last chunk may exceed the window.
  CHECK(run.host.sentBytes < kWindowBytes + kFirstCreditBytes);
  CHECK_FALSE(run.host.outcome);
  std::uint64_t credited = 0;
  REQUIRE(run.runUntil([&] {
    run.exchange->addCredit(run.host.sentBytes - credited);
    credited = run.host.sentBytes;
    return run.host.outcome.has_value();
  }));
  CHECK(run.host.outcome == wire::Outcome::Answered);
  CHECK(run.host.chunks.back().isLast);
  CHECK(run.host.chunks.back().totalBytes == kBytes);
  for (std::size_t i = 0; i < run.host.chunks.size(); ++i) {
    REQUIRE(run.host.chunks[i].sequence == i);
  }
}

TEST_CASE("a truncated response gets no last chunk")
{
  Run run(requestHead(false));
  run.begin();
  run.respond("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", true);
  REQUIRE(run.runUntil([&] { return run.host.outcome.has_value(); }));
  CHECK(run.host.outcome == wire::Outcome::Unknown);
  CHECK(run.host.code == ErrorCode::ResponseTruncated);
  for (const auto& it : run.host.chunks) {
    CHECK_FALSE(it.isLast);
  }
}

// Guards against a target that writes its refusal once more when the same request is sent again:
// the caller would be told that a running request has not run, or it would run at a second target.
TEST_CASE("a connection on which the target refused a request isn't used again")
{
  const bool isRefused = GENERATE(true, false);
  Run run(requestHead(false));
  run.begin();
  run.respond(std::string("HTTP/1.1 503 Busy\r\n") +
              (isRefused ? "Camphorcleat-Refused: shed\r\n" : "") + "Content-Length: 2\r\n\r\nno");
  REQUIRE(run.runUntil([&] { return run.host.outcome.has_value(); }));
  CHECK(run.client.openConnections() == (isRefused ? 0 : 1));
}

TEST_CASE("a fenced or shed request is reported as not run and not as a response")
{
  const bool isFence = GENERATE(true, false);
  Run run(requestHead(false));
  run.begin();
  run.respond(std::string("HTTP/1.1 ") + (isFence ? "412 Precondition Failed" : "503 Busy") +
              "\r\nCamphorcleat-Refused: " + (isFence ? "fence" : "shed") +
              "\r\nContent-Length: 2\r\n\r\nno");
  REQUIRE(run.runUntil([&] { return run.host.outcome.has_value(); }));
  CHECK(run.host.outcome == wire::Outcome::NotRun);
  CHECK(run.host.code == (isFence ? ErrorCode::TargetFenced : ErrorCode::TargetShed));
  CHECK(run.host.isFenced == isFence);
  CHECK(run.host.isShed != isFence);
  CHECK(run.host.heads == 0);
  CHECK(run.host.chunks.empty());
}

TEST_CASE("status 412 or 503 without a refusal header is a response")
{
  const std::string status = GENERATE("412 Precondition Failed", "503 Busy");
  Run run(requestHead(false));
  run.begin();
  run.respond("HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nno");
  REQUIRE(run.runUntil([&] { return run.host.outcome.has_value(); }));
  CHECK(run.host.outcome == wire::Outcome::Answered);
  CHECK(run.host.heads == 1);
}

TEST_CASE("nothing is written to the target after the lease has expired")
{
  Run run(requestHead(false));
  run.host.mayWrite = false;
  run.begin();
  REQUIRE(run.runUntil([&] { return run.host.outcome.has_value(); }));
  CHECK(run.host.outcome == wire::Outcome::NotRun);
  CHECK(run.host.code == ErrorCode::LeaseExpired);
}

TEST_CASE("a complete response is stored for its idempotency key only if it is small")
{
  wire::RequestHead head = requestHead(false);
  head.idempotencyKey = "k1";
  const std::size_t size =
    GENERATE(std::size_t{ 10 }, kMaxStoredResponseBytes, kMaxStoredResponseBytes + 1);
  Run run(head);
  run.begin();
  run.respond("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
              std::string(size, 'y'));
  REQUIRE(run.runUntil([&] { return run.host.outcome.has_value(); }));
  CHECK(run.host.response.has_value() == (size <= kMaxStoredResponseBytes));
  if (run.host.response) {
    CHECK(run.host.response->status == 200);
  }
}

TEST_CASE("the end of an exchange is reported only once")
{
  FakeHost host; // Fails the test if the end is reported twice.
  auto exchange = std::make_shared<OwnerExchange>(host, 3, requestHead(false));
  exchange->onHead(200, {}, std::nullopt);
  exchange->onBody("x", true);
  exchange->onFailure(true, ErrorCode::OutcomeUnknown, "late");
  CHECK(host.outcome == wire::Outcome::Answered);
}

} // namespace camphorcleat::daemon
