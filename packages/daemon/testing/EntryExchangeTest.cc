// Guards against truncated responses that look complete to the caller, wrong outcomes after a lost
// connection, and unbounded buffering of request bodies.

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include "daemon/EntryExchange.h"
#include "daemon/NativeDialect.h"
#include "daemon/OwnerExchange.h"
#include "daemon/RequestPath.h"
#include "transport/HttpFrontend.h"
#include "transport/testing/TransportFakes.h"

namespace camphorcleat::daemon {
namespace {

// Revision of the view from which FakeHost selects an owner.
constexpr Revision kViewOfEntry = 10;

// Records the response. The test completes a pending read of the request body by deliverBody().
class FakeCaller : public transport::CallerStream
{
public:
  const std::string& method() const override { return mMethod; }
  const std::string& path() const override { return mPath; }
  const std::vector<wire::Header>& headers() const override { return mHeaders; }
  std::optional<std::uint64_t> contentLength() const override { return length; }
  std::string callerAddress() const override { return "127.0.0.1:1"; }
  void readBody(std::function<void(transport::BodyPart)> aCallback) override
  {
    REQUIRE_FALSE(pendingRead); // Only one read may be pending.
    pendingRead = std::move(aCallback);
  }
  void sendHead(unsigned aStatus, std::vector<wire::Header> /*aHeaders*/,
                std::optional<std::uint64_t> /*aContentLength*/) override
  {
    REQUIRE(status == 0);
    status = aStatus;
  }
  void sendBody(std::string aData, bool aIsLast, std::function<void(bool)> aDone) override
  {
    body += aData;
    isComplete = isComplete || aIsLast;
    writeCallbacks.push_back(std::move(aDone));
  }
  void sendResponse(unsigned aStatus, std::vector<wire::Header> aHeaders,
                    std::string aBody) override
  {
    REQUIRE(status == 0);
    status = aStatus;
    body = std::move(aBody);
    isComplete = true;
    for (const auto& it : aHeaders) {
      if (it.name == "Camphorcleat-Outcome") {
        outcome = it.value;
      }
    }
  }
  void abort() override { isAborted = true; }
  void onDisconnect(std::function<void()> aCallback) override
  {
    disconnectCallback = std::move(aCallback);
  }
  bool hasDisconnected() const override { return false; }

  void deliverBody(std::size_t aBytes, bool aIsLast)
  {
    REQUIRE(pendingRead);
    std::exchange(pendingRead, nullptr)({ std::string(aBytes, 'x'), aIsLast, std::nullopt });
  }

  std::optional<std::uint64_t> length = 0;
  std::function<void(transport::BodyPart)> pendingRead;
  std::function<void()> disconnectCallback;
  std::vector<std::function<void(bool)>> writeCallbacks;
  unsigned status = 0;
  std::string outcome;
  std::string body;
  bool isComplete = false;
  bool isAborted = false;

private:
  std::string mMethod;
  std::string mPath;
  std::vector<wire::Header> mHeaders;
};

// Records the messages that the exchange sends to owners.
class FakeHost : public EntryExchangeHost
{
public:
  traffic::RouteKnown selectRoute(const EntryExchange& /*aExchange*/,
                                  const std::vector<NodeId>& /*aExcluded*/,
                                  bool /*aNeedsNewerView*/) override
  {
    return { owner, 1, revision, false };
  }
  void awaitView(const std::shared_ptr<EntryExchange>& aExchange) override
  {
    REQUIRE(awaiting.expired());
    awaiting = aExchange;
  }
  RequestId newAttempt(const std::shared_ptr<EntryExchange>& /*aExchange*/,
                       NodeId /*aNode*/) override
  {
    ids.push_back({ 77, ids.size() + 1 });
    return ids.back();
  }
  transport::SendResult sendTo(NodeId /*aNode*/, wire::PeerMessage aMessage) override
  {
    if (status != transport::SendStatus::Accepted) {
      return { status, 0 };
    }
    heads.push_back(std::get<wire::RequestHead>(aMessage));
    return { status, 10 + heads.size() };
  }
  transport::SendStatus replyTo(transport::LinkId /*aLink*/, wire::PeerMessage aMessage) override
  {
    if (const auto* chunk = std::get_if<wire::BodyChunk>(&aMessage)) {
      if (chunkStatus != transport::SendStatus::Accepted) {
        return chunkStatus;
      }
      chunks.push_back(*chunk);
    } else if (const auto* credit = std::get_if<wire::Credit>(&aMessage)) {
      credits.push_back(*credit);
    } else if (const auto* cancel = std::get_if<wire::CancelRequest>(&aMessage)) {
      cancelled.push_back(cancel->id);
    } else if (const auto* withdraw = std::get_if<wire::WithdrawRequest>(&aMessage)) {
      withdrawn.push_back(withdraw->id);
      isWithdrawnBodyIncomplete = withdraw->isBodyIncomplete;
    }
    return transport::SendStatus::Accepted;
  }
  void attemptHedged(const RequestId&) override {}
  void attemptEnded(const RequestId& /*aId*/, bool /*aHasCompleteResponse*/) override {}
  void exchangeFinished(EntryExchange& /*aExchange*/, ErrorCode aCode) override
  {
    REQUIRE_FALSE(end);
    end = aCode;
  }
  const Dialect& dialect() const override { return native; }

  std::uint64_t sentBytes() const
  {
    std::uint64_t out = 0;
    for (const auto& it : chunks) {
      out += it.data.size();
    }
    return out;
  }

  NativeDialect native;
  NodeId owner = 2;
  Revision revision = kViewOfEntry;
  std::weak_ptr<EntryExchange> awaiting;
  transport::SendStatus status = transport::SendStatus::Accepted;      // Result of sendTo().
  transport::SendStatus chunkStatus = transport::SendStatus::Accepted; // Result for body chunks.
  std::vector<RequestId> ids;
  std::vector<wire::RequestHead> heads;
  std::vector<wire::BodyChunk> chunks;
  std::vector<wire::Credit> credits;
  std::vector<RequestId> cancelled;
  std::vector<RequestId> withdrawn;
  bool isWithdrawnBodyIncomplete = false; // Of the last withdrawal.
  std::optional<ErrorCode> end;
};

// A request for a keyed service whose exchange has started.
struct Run
{
  boost::asio::io_context io;
  std::mt19937_64 random{ 5 };
  traffic::RetryBudget budget;
  traffic::HedgePolicy hedge;
  FakeHost host;
  std::shared_ptr<FakeCaller> caller = std::make_shared<FakeCaller>();
  std::shared_ptr<EntryExchange> exchange;

  explicit Run(const std::string& aMethod, std::optional<std::uint64_t> aLength = 0,
               Millis aDeadline = Millis(10000), NodeId aOwner = 2,
               transport::SendStatus aStatus = transport::SendStatus::Accepted)
  {
    host.owner = aOwner;
    host.status = aStatus;
    caller->length = aLength;
    wire::RequestHead head;
    head.service = "lookup";
    head.key = "k";
    head.method = aMethod;
    head.path = "/lookup/k";
    head.isIdempotent = isIdempotentMethod(aMethod);
    ExchangePlan plan;
    plan.isKeyed = true;
    plan.deadline = Clock::now() + aDeadline;
    exchange = std::make_shared<EntryExchange>(host, io, caller, head, plan,
                                               traffic::EntryShared{ budget, hedge, random });
    exchange->start();
  }

  void runFor(Millis aTime)
  {
    io.restart();
    io.run_for(aTime);
  }
  // Runs timers until the request has ended; returns false after two seconds.
  bool runToEnd()
  {
    const TimePoint limit = Clock::now() + Millis(2000);
    while (!host.end && Clock::now() < limit) {
      io.restart();
      io.run_for(Millis(5));
    }
    return host.end.has_value();
  }
  bool runUntilAttempts(std::size_t aCount)
  {
    const TimePoint limit = Clock::now() + Millis(2000);
    while (host.heads.size() < aCount && Clock::now() < limit) {
      io.restart();
      io.run_for(Millis(5));
    }
    return host.heads.size() >= aCount;
  }
  // Grants the first credit, as the owner does when it accepts the request.
  void acceptBody()
  {
    const RequestId id = host.ids.back();
    exchange->handle(
      id, wire::Credit{ id, wire::Direction::ToTarget, kFirstCreditBytes - kUnsolicitedBytes });
  }
  void sendResponseHead()
  {
    exchange->handle(host.ids.back(), wire::ResponseHead{ host.ids.back(), 200, {} });
  }
  void sendResponseBody(std::uint64_t aSequence, const std::string& aData, bool aIsLast,
                        std::uint64_t aTotal)
  {
    wire::BodyChunk chunk;
    chunk.id = host.ids.back();
    chunk.direction = wire::Direction::ToCaller;
    chunk.sequence = aSequence;
    chunk.isLast = aIsLast;
    chunk.totalBytes = aTotal;
    chunk.data = Bytes(aData);
    exchange->handle(chunk.id, chunk);
  }
  void refuse(wire::Outcome aOutcome, ErrorCode aCode, Revision aRevision = 0)
  {
    wire::RequestFailed failed;
    failed.revision = aRevision;
    failed.id = host.ids.back();
    failed.outcome = aOutcome;
    failed.code = aCode;
    failed.message = "test";
    exchange->handle(failed.id, failed);
  }
  void checkTruncated() const
  {
    CHECK(caller->isAborted);
    CHECK_FALSE(caller->isComplete);
    CHECK(host.end == ErrorCode::ResponseTruncated);
  }
};

/// Makes the first attempt of a request, then keeps the thread busy until it is released.
class FirstAttempt final : public transport::HttpHandler
{
public:
  FirstAttempt(DutyThread& aThread, FakeHost& aHost)
    : mThread(aThread)
    , mHost(aHost)
  {
  }

  void onRequest(std::shared_ptr<transport::CallerStream> aStream) override
  {
    wire::RequestHead head;
    head.service = "lookup";
    head.key = "k";
    head.method = "GET";
    head.path = "/lookup/k";
    head.isIdempotent = true;
    ExchangePlan plan;
    plan.isKeyed = true;
    plan.deadline = Clock::now() + Millis(10000);
    std::make_shared<EntryExchange>(mHost, mThread.context(), std::move(aStream), head, plan,
                                    traffic::EntryShared{ mBudget, mHedge, mRandom })
      ->start();
    mMade.set_value();
    mReleased.get_future().wait();
  }

  bool waitUntilMade(Millis aTime)
  {
    return mMade.get_future().wait_for(aTime) == std::future_status::ready;
  }
  void release() { mReleased.set_value(); }

private:
  DutyThread& mThread;
  FakeHost& mHost;
  std::mt19937_64 mRandom{ 5 };
  traffic::RetryBudget mBudget;
  traffic::HedgePolicy mHedge;
  std::promise<void> mMade;
  std::promise<void> mReleased;
};

} // namespace

TEST_CASE(
  "a complete response reaches the caller, and credit is sent after each write to its socket")
{
  Run run("GET");
  run.sendResponseHead();
  run.sendResponseBody(0, "hello ", false, 0);
  CHECK(run.host.credits.empty());
  run.caller->writeCallbacks.at(0)(true);
  REQUIRE(run.host.credits.size() == 1);
  CHECK(run.host.credits[0].bytes == 6);
  run.sendResponseBody(1, "world", true, 11);
  CHECK(run.caller->body == "hello world");
  CHECK(run.caller->isComplete);
  CHECK_FALSE(run.caller->isAborted);
  CHECK(run.host.end == ErrorCode::None);
  CHECK(run.host.cancelled.empty());
}

TEST_CASE("a response chunk out of order truncates the response and cancels the attempt")
{
  Run run("GET");
  run.sendResponseHead();
  run.sendResponseBody(0, "a", false, 0);
  run.sendResponseBody(2, "c", true, 3);
  run.checkTruncated();
  CHECK(run.host.cancelled == run.host.ids);
}

TEST_CASE("a duplicate response chunk truncates the response")
{
  Run run("GET");
  run.sendResponseHead();
  run.sendResponseBody(0, "a", false, 0);
  run.sendResponseBody(0, "a", false, 0);
  run.checkTruncated();
}

TEST_CASE("a response whose total differs from the received bytes is truncated")
{
  Run run("GET");
  run.sendResponseHead();
  run.sendResponseBody(0, "abc", true, 4);
  run.checkTruncated();
}

TEST_CASE("a response that fails after its head is truncated and not retried")
{
  Run run("GET");
  run.sendResponseHead();
  run.sendResponseBody(0, "a", false, 0);
  SECTION("the owner reports a failure")
  {
    run.refuse(wire::Outcome::Unknown, ErrorCode::ResponseTruncated);
  }
  SECTION("the link is lost")
  {
    run.exchange->linkLost(run.host.ids.back(), false);
  }
  run.checkTruncated();
  CHECK(run.host.heads.size() == 1);
}

TEST_CASE("messages for another request are ignored")
{
  Run run("GET");
  const RequestId other{ 78, 1 };
  run.exchange->handle(other, wire::ResponseHead{ other, 500, {} });
  wire::BodyChunk chunk;
  chunk.id = other;
  chunk.isLast = true;
  run.exchange->handle(other, chunk);
  run.exchange->linkLost(other, false);
  CHECK(run.caller->status == 0);
  CHECK_FALSE(run.host.end);
}

TEST_CASE("a lost link leaves the outcome of a POST unknown")
{
  Run run("POST");
  run.exchange->linkLost(run.host.ids.back(), false);
  CHECK(run.caller->status == 502);
  CHECK(run.caller->outcome == "unknown");
  CHECK(run.host.heads.size() == 1);
}

// Guards against 502 for requests whose targets are at work on them (LOST, issue 59).
TEST_CASE("a POST waits for its response on a silent link")
{
  Run run("POST");
  run.exchange->linkSilent(run.host.ids.back());
  CHECK(run.caller->status == 0);
  CHECK(run.host.heads.size() == 1);
  CHECK(run.host.cancelled.empty());
  run.sendResponseHead();
  run.sendResponseBody(0, "ok", true, 2);
  CHECK(run.caller->body == "ok");
  CHECK(run.host.end == ErrorCode::None);
}

TEST_CASE("an idempotent request is cancelled on a silent link and sent again")
{
  Run run("GET");
  const RequestId first = run.host.ids.back();
  run.exchange->linkSilent(first);
  CHECK(run.host.cancelled == std::vector<RequestId>{ first });
  REQUIRE(run.runUntilAttempts(2));
  CHECK(run.host.heads[1].isResend);
}

TEST_CASE("a POST on a link that never opened was not run and is attempted again")
{
  Run run("POST", 0, Millis(400));
  run.exchange->linkLost(run.host.ids.back(), true);
  REQUIRE(run.runUntilAttempts(2));
  CHECK_FALSE(run.host.heads[1].isResend);
  CHECK(run.host.heads[0].id != run.host.heads[1].id);
  run.host.status = transport::SendStatus::Unreachable;
  run.exchange->linkLost(run.host.ids.back(), true);
  REQUIRE(run.runToEnd());
  CHECK(run.caller->outcome == "not-run");
}

TEST_CASE("an idempotent request is sent again after a lost link and marked as a resend")
{
  Run run("GET");
  run.exchange->linkLost(run.host.ids.back(), false);
  REQUIRE(run.runUntilAttempts(2));
  CHECK(run.host.heads[1].isResend);
  run.sendResponseHead();
  run.sendResponseBody(0, "ok", true, 2);
  CHECK(run.caller->body == "ok");
  CHECK(run.host.end == ErrorCode::None);
}

TEST_CASE("a request that may have run is never reported as not run")
{
  Run run("GET", 0, Millis(300));
  run.exchange->linkLost(run.host.ids.back(), false);
  run.host.status = transport::SendStatus::Full;
  REQUIRE(run.runToEnd());
  CHECK(run.caller->outcome == "unknown");
}

TEST_CASE("a request that was only refused or found a full link is reported as not run")
{
  Run run("POST", 0, Millis(200));
  CHECK(run.host.heads.size() == 1);
  run.host.status = transport::SendStatus::Full;
  run.refuse(wire::Outcome::NotRun, ErrorCode::NotOwner);
  REQUIRE(run.runToEnd());
  CHECK(run.caller->outcome == "not-run");
  CHECK(run.caller->status == 503);
}

// Guards against a request that waits until its deadline although its key got an owner before.
TEST_CASE("a route that was unknown at first is looked up again before the deadline")
{
  Run run("GET", 0, Millis(10'000), kNoNode);
  CHECK(run.host.heads.empty());
  run.runFor(Millis(20));
  run.host.owner = 2;
  CHECK(run.runUntilAttempts(1));
}

// Guards against entries that keep asking the previous owner of a key until their view changes.
TEST_CASE("an entry asks a previous owner once, not again from the same view")
{
  Run run("GET");
  run.refuse(wire::Outcome::NotRun, ErrorCode::NotOwner, kViewOfEntry + 1);
  const TimePoint end = Clock::now() + Millis(100);
  while (Clock::now() < end) {
    const std::size_t attempts = run.host.heads.size();
    run.runFor(Millis(10));
    if (run.host.heads.size() > attempts) {
      run.refuse(wire::Outcome::NotRun, ErrorCode::NotOwner, kViewOfEntry + 1);
    }
  }
  CHECK(run.host.heads.size() == 1);
  run.host.owner = 3;
  ++run.host.revision;
  const auto waiting = std::exchange(run.host.awaiting, {}).lock();
  REQUIRE(waiting);
  waiting->viewChanged();
  CHECK(run.host.heads.size() == 2);
}

// Guards against work for callers that have left (GONE): bodies of refused requests filled the
// owner's link, so that cancellations arrived seconds late.
TEST_CASE("only the beginning of a body is sent before the owner has accepted the request")
{
  constexpr std::size_t kBytes = 60'000;
  Run run("PUT", kBytes);
  run.caller->deliverBody(kBytes, true);
  REQUIRE(run.host.heads.size() == 1);
  CHECK(run.host.heads[0].awaitsBodyCredit);
  CHECK(run.host.sentBytes() == kUnsolicitedBytes);
  run.refuse(wire::Outcome::NotRun, ErrorCode::TargetDown);
  REQUIRE(run.runUntilAttempts(2));
  CHECK(run.host.sentBytes() == 2 * kUnsolicitedBytes);
  run.acceptBody();
  CHECK(run.host.sentBytes() == kUnsolicitedBytes + kBytes);
  CHECK(run.host.chunks.back().isLast);
  CHECK(run.host.chunks.back().totalBytes == kBytes);
}

TEST_CASE("beyond the buffer, the request body is read only within the owner's credit")
{
  Run run("PUT", std::nullopt);
  run.caller->deliverBody(kFirstCreditBytes, false);
  REQUIRE(run.host.heads.size() == 1);
  run.acceptBody();
  CHECK(run.host.sentBytes() == kFirstCreditBytes);
  CHECK_FALSE(run.caller->pendingRead);
  run.exchange->handle(run.host.ids[0],
                       wire::Credit{ run.host.ids[0], wire::Direction::ToTarget, 1000 });
  REQUIRE(run.caller->pendingRead);
  run.caller->deliverBody(1000, false);
  CHECK(run.host.sentBytes() == kFirstCreditBytes + 1000);
  CHECK_FALSE(run.caller->pendingRead);
  run.exchange->handle(run.host.ids[0],
                       wire::Credit{ run.host.ids[0], wire::Direction::ToTarget, 1000 });
  run.caller->deliverBody(10, true);
  REQUIRE(run.host.chunks.size() == 4);
  for (std::size_t i = 0; i < 4; ++i) {
    CHECK(run.host.chunks[i].sequence == i);
    CHECK(run.host.chunks[i].isLast == (i == 3));
  }
  CHECK(run.host.chunks.back().totalBytes == kFirstCreditBytes + 1010);
}

TEST_CASE("the chunks of a request body never exceed the credit")
{
  Run run("PUT", std::nullopt);
  run.caller->deliverBody(kFirstCreditBytes, false);
  run.acceptBody();
  run.exchange->handle(run.host.ids[0],
                       wire::Credit{ run.host.ids[0], wire::Direction::ToTarget, 1000 });
  // The stream returns data in sizes of its own, regardless of the remaining credit.
  run.caller->deliverBody(kFirstCreditBytes, false);
  CHECK(run.host.sentBytes() <= kFirstCreditBytes + 1000);
}

TEST_CASE("buffered data beyond the initial credit is sent completely when more credit arrives")
{
  Run run("PUT", std::nullopt);
  run.caller->deliverBody(kFirstCreditBytes - 1, false);
  run.caller->deliverBody(5000, true);
  run.acceptBody();
  CHECK(run.host.sentBytes() == kFirstCreditBytes);
  CHECK_FALSE(run.host.chunks.back().isLast);
  const RequestId id = run.host.ids[0];
  run.exchange->handle(id, wire::Credit{ id, wire::Direction::ToTarget, 4000 });
  CHECK(run.host.sentBytes() == kFirstCreditBytes + 4000);
  run.exchange->handle(id, wire::Credit{ id, wire::Direction::ToTarget, 4000 });
  CHECK(run.host.sentBytes() == kFirstCreditBytes + 4999);
  REQUIRE(run.host.chunks.size() == 4);
  CHECK(run.host.chunks[3].sequence == 3);
  CHECK(run.host.chunks[3].isLast);
  CHECK(run.host.chunks[3].totalBytes == kFirstCreditBytes + 4999);
}

TEST_CASE("an empty last chunk of a request body needs no credit")
{
  Run run("PUT", std::nullopt);
  run.caller->deliverBody(kFirstCreditBytes, false);
  run.acceptBody();
  const RequestId id = run.host.ids[0];
  run.exchange->handle(id, wire::Credit{ id, wire::Direction::ToTarget, 10 });
  run.caller->deliverBody(10, false);
  run.exchange->handle(id, wire::Credit{ id, wire::Direction::ToTarget, 10 });
  run.caller->deliverBody(0, true);
  CHECK(run.host.chunks.back().isLast);
  CHECK(run.host.chunks.back().totalBytes == kFirstCreditBytes + 10);
}

TEST_CASE("a request body that exceeded the buffer is not sent again")
{
  Run run("PUT", std::nullopt);
  run.caller->deliverBody(kFirstCreditBytes, false);
  run.acceptBody();
  run.exchange->handle(run.host.ids[0],
                       wire::Credit{ run.host.ids[0], wire::Direction::ToTarget, 5000 });
  run.caller->deliverBody(5000, false);
  run.exchange->linkLost(run.host.ids[0], false);
  REQUIRE(run.runToEnd());
  CHECK(run.host.heads.size() == 1);
  CHECK(run.caller->outcome == "unknown");
}

// Guards against access to an attempt that was removed because a chunk of its body could not be
// sent.
TEST_CASE("a request body chunk that can't be sent ends the attempt and the reading of the body")
{
  Run run("PUT", std::nullopt);
  run.caller->deliverBody(kFirstCreditBytes, false);
  run.acceptBody();
  const RequestId id = run.host.ids[0];
  run.exchange->handle(id, wire::Credit{ id, wire::Direction::ToTarget, 5000 });
  run.host.chunkStatus = transport::SendStatus::Full;
  run.caller->deliverBody(1000, false);
  REQUIRE(run.runToEnd());
  CHECK_FALSE(run.caller->pendingRead);
  CHECK(run.host.cancelled == std::vector<RequestId>{ id });
  CHECK(run.host.heads.size() == 1);
  CHECK(run.caller->outcome == "unknown");
}

TEST_CASE("a buffered body is sent again completely, with new chunk numbers")
{
  Run run("PUT", 100);
  run.caller->deliverBody(100, true);
  run.exchange->linkLost(run.host.ids.back(), false);
  REQUIRE(run.runUntilAttempts(2));
  REQUIRE(run.host.chunks.size() == 2);
  for (std::size_t i = 0; i < 2; ++i) {
    CHECK(run.host.chunks[i].id == run.host.ids[i]);
    CHECK(run.host.chunks[i].sequence == 0);
    CHECK(run.host.chunks[i].isLast);
    CHECK(run.host.chunks[i].totalBytes == 100);
  }
}

TEST_CASE("an attempt is cancelled when its caller disconnects")
{
  Run run("GET");
  run.caller->disconnectCallback();
  CHECK(run.host.cancelled == run.host.ids);
  CHECK(run.host.end == ErrorCode::Cancelled);
  run.sendResponseHead();
  CHECK(run.caller->status == 0);
}

// Guards against requests that still wait when the daemon of their entry ends (LOST, issue 44).
TEST_CASE("a stop withdraws a request from its owner, also one whose body is still being read")
{
  Run run("POST", 100);
  run.exchange->withdrawAt(Clock::now() + Millis(50));
  run.caller->deliverBody(100, true);
  REQUIRE(run.host.heads.size() == 1);
  CHECK(run.host.withdrawn.empty());
  run.runFor(Millis(100));
  CHECK(run.host.withdrawn == run.host.ids);
  run.refuse(wire::Outcome::NotRun, ErrorCode::Draining);
  CHECK(run.caller->status == 503);
  CHECK(run.caller->outcome == "not-run");
}

// Guards against runs that begin late in a stop, when the rest of a long body has arrived (LOST).
TEST_CASE("a withdrawal says whether the caller is still sending the body")
{
  const bool isComplete = GENERATE(false, true);
  CAPTURE(isComplete);
  Run run("POST", std::nullopt);
  run.caller->deliverBody(kFirstCreditBytes, false);
  REQUIRE(run.host.heads.size() == 1);
  run.acceptBody();
  run.acceptBody(); // Credit for the rest.
  if (isComplete) {
    run.caller->deliverBody(10, true);
  }
  run.exchange->withdrawAt(Clock::now());
  REQUIRE(run.host.withdrawn == run.host.ids);
  CHECK(run.host.isWithdrawnBodyIncomplete != isComplete);
}

// Guards against connections that are closed without a response at the end of a stop (LOST).
TEST_CASE("the end of a stop gives each open request a response")
{
  SECTION("an owner has it")
  {
    Run run("POST");
    run.exchange->end();
    CHECK(run.caller->status == 502);
    CHECK(run.host.cancelled == run.host.ids);
  }
  SECTION("no owner has it")
  {
    Run run("POST", 100);
    run.exchange->end();
    CHECK(run.caller->status == 503);
    CHECK(run.caller->outcome == "not-run");
  }
  SECTION("its response has begun")
  {
    Run run("POST");
    run.sendResponseHead();
    run.exchange->end();
    run.sendResponseBody(0, "whole", true, 5);
    CHECK(run.caller->isComplete);
  }
}

// Guards against requests that are held until their deadline (SHORT): the timer of the retry was
// replaced by an earlier one, because the attempt failed within the step that started it.
TEST_CASE("a request whose first attempt can't be sent is tried again before its deadline")
{
  Run run("GET", 0, Millis(10000), 2, transport::SendStatus::Unreachable);
  REQUIRE(run.host.heads.empty());
  run.host.status = transport::SendStatus::Accepted;
  CHECK(run.runUntilAttempts(1)); // Waits for 2 s.
}

// Guards against work for a caller that has left (GONE): it left between two attempts, while the
// entry's thread was busy.
TEST_CASE("no further attempt is made for a caller that has closed its connection")
{
  using namespace transport::testing;
  DutyThread thread("entry");
  FakeHost host;
  host.status = transport::SendStatus::Unreachable;
  FirstAttempt handler(thread, host);
  transport::HttpFrontend frontend(thread.context(), "127.0.0.1:0", {}, handler);
  REQUIRE(frontend.start());
  thread.start();
  BlockingSocket caller(frontend.port());
  caller.write("GET /lookup/k HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(handler.waitUntilMade(Millis(2000)));
  caller.close();
  std::this_thread::sleep_for(Millis(200)); // The next attempt is due.
  host.status = transport::SendStatus::Accepted;
  handler.release();
  CHECK(waitFor([&] { return frontend.openRequests() == 0; }));
  thread.stop();
  CHECK(host.end == ErrorCode::Cancelled);
  CHECK(host.heads.empty());
}

} // namespace camphorcleat::daemon
