// Guards against messages that are lost without a report, delivered twice or out of order, and
// against peers that are unresponsive, belong to another fleet or don't read.

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>
#include <vector>

#include "TransportFakes.h"
#include "transport/PeerHub.h"
#include "wire/WireCodec.h"

namespace camphorcleat::transport::testing {
namespace {

struct Loss
{
  LinkId link;
  NodeId peer;
  bool wasDialed;
  bool isNotRun;
};

struct Opening
{
  LinkId link;
  Duration sentAt;
  Duration receivedAt;
  std::size_t messagesBefore;
};

class RecordingHandler final : public PeerHandler
{
public:
  void onLinkOpened(LinkId aLink, Lane, Duration aSentAt, Duration aReceivedAt) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mOpened.push_back({ aLink, aSentAt, aReceivedAt, mMessages.size() });
  }
  void onMessage(LinkId aLink, NodeId aFrom, Lane, wire::PeerMessage aMessage) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mLastLink = aLink;
    mLastSender = aFrom;
    mMessages.push_back(std::move(aMessage));
  }
  void onLinkSilent(LinkId aLink, NodeId) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mSilences.push_back(aLink);
  }
  void onLinkLost(LinkId aLink, NodeId aPeer, Lane, bool aWasDialed, bool aIsNotRun) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mLosses.push_back({ aLink, aPeer, aWasDialed, aIsNotRun });
  }

  std::size_t count() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mMessages.size();
  }
  std::vector<wire::PeerMessage> messages() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mMessages;
  }
  std::vector<Opening> openings() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mOpened;
  }
  std::vector<Loss> losses() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mLosses;
  }
  std::vector<LinkId> silences() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mSilences;
  }
  LinkId lastLink() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mLastLink;
  }
  NodeId lastSender() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mLastSender;
  }

private:
  mutable std::mutex mMutex;
  std::vector<wire::PeerMessage> mMessages;
  std::vector<Opening> mOpened;
  std::vector<LinkId> mSilences;
  std::vector<Loss> mLosses;
  LinkId mLastLink = 0;
  NodeId mLastSender = 0;
};

PeerHubConfig configOf(NodeId aNode, const std::string& aFleet = "tbilisi")
{
  PeerHubConfig config;
  config.self = aNode;
  config.incarnation = 1000 + aNode;
  config.fleet = aFleet;
  config.listenAddress = "127.0.0.1:0";
  return config;
}

std::string addressOf(const PeerHub& aHub)
{
  return "127.0.0.1:" + std::to_string(aHub.port());
}

struct NodeFixture
{
  explicit NodeFixture(PeerHubConfig aConfig)
    : hub(std::move(aConfig), handler)
  {
    REQUIRE(hub.start());
  }
  RecordingHandler handler;
  PeerHub hub;
};

wire::LeaseRenew numbered(std::uint64_t aSequence)
{
  return wire::LeaseRenew{ 1, 2, aSequence, 0, 0 };
}

wire::RequestHead request(std::uint64_t aCounter)
{
  wire::RequestHead out;
  out.id = { 1, aCounter };
  return out;
}

wire::BodyChunk chunk(std::uint64_t aSequence, std::size_t aBytes)
{
  wire::BodyChunk out;
  out.sequence = aSequence;
  out.data = Bytes(std::string(aBytes, 'x'));
  return out;
}

/// Returns one client frame with a mask of zero. aLength is the length in the frame header and may
/// differ from the payload's length.
std::string frame(unsigned char aOpcode, const std::string& aPayload, std::uint64_t aLength)
{
  std::string out(1, static_cast<char>(0x80U | aOpcode));
  // RFC 6455 requires the shortest of three encodings of the length.
  const int lengthBytes = aLength < 126 ? 0 : aLength <= 0xFFFF ? 2 : 8;
  const std::uint64_t code = lengthBytes == 0 ? aLength : lengthBytes == 2 ? 126 : 127;
  out += static_cast<char>(0x80U | code);
  for (int i = lengthBytes - 1; i >= 0; --i) {
    out += static_cast<char>((aLength >> (8U * static_cast<unsigned>(i))) & 0xFFU);
  }
  return out + std::string(4, '\0') + aPayload;
}

std::string binaryFrame(const std::string& aPayload)
{
  return frame(2, aPayload, aPayload.size());
}

/// Peer on a raw TCP connection, which can violate the protocol.
struct RawPeer
{
  explicit RawPeer(const PeerHub& aHub, const std::string& aPath = "/camphorcleat/control")
    : socket(aHub.port())
  {
    socket.write("GET " + aPath +
                 " HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                 "Sec-WebSocket-Version: 13\r\n"
                 "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n");
    head = socket.readUntil("\r\n\r\n");
  }
  void sayHello(const std::string& aFleet = "tbilisi")
  {
    socket.write(binaryFrame(wire::encodePeerMessage(wire::Hello{ 9, 99, aFleet })));
  }
  BlockingSocket socket;
  std::string head;
};

} // namespace

TEST_CASE("a link is reported as open, with the times of its hello, before its first message")
{
  NodeFixture a(configOf(1));
  NodeFixture b(configOf(2));
  a.hub.setAddress(2, addressOf(b.hub));
  const Duration before = timeSinceBoot();
  a.hub.send(2, Lane::Control, numbered(1));
  REQUIRE(waitFor([&] { return b.handler.count() == 1; }));
  const auto openings = b.handler.openings();
  REQUIRE(openings.size() == 1);
  CHECK(openings[0].link == b.handler.lastLink());
  CHECK(openings[0].messagesBefore == 0);
  CHECK(openings[0].sentAt + Millis(1) >= before);
  CHECK(openings[0].receivedAt >= openings[0].sentAt);
  CHECK(openings[0].receivedAt <= timeSinceBoot());
}

TEST_CASE("messages arrive once and in order, including those sent while the link is being dialed")
{
  NodeFixture a(configOf(1));
  NodeFixture b(configOf(2));
  a.hub.setAddress(2, addressOf(b.hub));
  constexpr std::uint64_t kCount = 2000;
  for (std::uint64_t i = 0; i < kCount; ++i) {
    REQUIRE(a.hub.send(2, Lane::Control, numbered(i)).status == SendStatus::Accepted);
  }
  REQUIRE(waitFor([&] { return b.handler.count() >= kCount; }));
  const auto got = b.handler.messages();
  REQUIRE(got.size() == kCount);
  for (std::uint64_t i = 0; i < kCount; ++i) {
    REQUIRE(std::get<wire::LeaseRenew>(got[i]).sequence == i);
  }
  REQUIRE(b.handler.lastSender() == 1);
  REQUIRE(a.hub.isConnected(2, Lane::Control));
  REQUIRE(!a.hub.isConnected(2, Lane::Data));

  // Replies use the same link, although b has no address of a.
  REQUIRE(b.hub.send(1, Lane::Control, numbered(1)).status == SendStatus::Unreachable);
  REQUIRE(b.hub.reply(b.handler.lastLink(), numbered(7)) == SendStatus::Accepted);
  REQUIRE(waitFor([&] { return a.handler.count() == 1; }));
}

// Guards against an account's home that is kept busy with connections (SHORT): all daemons of a
// large fleet ask it for tokens at the same time, although it has dialed most of them before.
TEST_CASE("a message that expects a reply uses an open link of either side instead of a dial")
{
  NodeFixture a(configOf(1));
  NodeFixture b(configOf(2));
  a.hub.setAddress(2, addressOf(b.hub));
  b.hub.setAddress(1, addressOf(a.hub));
  a.hub.send(2, Lane::Data, numbered(1));
  REQUIRE(waitFor([&] { return b.handler.count() == 1; }));
  const auto sent = b.hub.sendOnOpenLink(1, Lane::Data, numbered(2));
  REQUIRE(sent.status == SendStatus::Accepted);
  CHECK(sent.link == b.handler.lastLink());
  REQUIRE(waitFor([&] { return a.handler.count() == 1; }));
  CHECK_FALSE(b.hub.isConnected(1, Lane::Data));
  b.hub.sendOnOpenLink(1, Lane::Control, numbered(3)); // The peer has no link of this lane.
  REQUIRE(waitFor([&] { return a.handler.count() == 2; }));
  CHECK(b.hub.isConnected(1, Lane::Control));
}

// Guards against token requests that are sent on a silent link for as long as nothing else uses it.
TEST_CASE("a stalled link is detected by the side that accepted it after a message of its own")
{
  NodeFixture b(configOf(2));
  RawPeer peer(b.hub, "/camphorcleat/data");
  peer.sayHello();
  REQUIRE(waitFor([&] {
    return b.hub.sendOnOpenLink(9, Lane::Data, numbered(1)).status == SendStatus::Accepted;
  }));
  REQUIRE(waitFor([&] { return b.handler.losses().size() == 1; }));
}

// Guards against messages that are lost because their link is still being dialed.
TEST_CASE("messages that follow the first one on a link that is being dialed arrive with it")
{
  NodeFixture b(configOf(2));
  NodeFixture a(configOf(1));
  a.hub.setAddress(2, addressOf(b.hub));
  const auto sent = a.hub.send(2, Lane::Data, numbered(1));
  REQUIRE(a.hub.reply(sent.link, numbered(2)) == SendStatus::Accepted);
  REQUIRE(waitFor([&] { return b.handler.count() == 2; }));
  REQUIRE(std::get<wire::LeaseRenew>(b.handler.messages()[1]).sequence == 2);
}

// Guards against work for a caller that has left (GONE): the owner would start the request before
// it reads the cancellation.
TEST_CASE("a request that is cancelled while it waits for its link isn't sent")
{
  NodeFixture b(configOf(2));
  NodeFixture a(configOf(1));
  a.hub.setAddress(2, addressOf(b.hub));
  const auto sent = a.hub.send(2, Lane::Data, request(1));
  REQUIRE(a.hub.reply(sent.link, wire::CancelRequest{ { 1, 1 } }) == SendStatus::Accepted);
  REQUIRE(a.hub.reply(sent.link, request(2)) == SendStatus::Accepted);
  REQUIRE(a.hub.reply(sent.link, numbered(1)) == SendStatus::Accepted);
  const auto isLast = [](const wire::PeerMessage& aMessage) {
    return std::holds_alternative<wire::LeaseRenew>(aMessage);
  };
  REQUIRE(waitFor([&] {
    const auto got = b.handler.messages();
    return std::any_of(got.begin(), got.end(), isLast);
  }));
  std::vector<RequestId> started;
  for (const auto& it : b.handler.messages()) {
    if (const auto* head = std::get_if<wire::RequestHead>(&it)) {
      started.push_back(head->id);
    }
  }
  CHECK(started == std::vector<RequestId>{ { 1, 2 } });
}

TEST_CASE("the messages of each of several concurrent senders arrive in order")
{
  NodeFixture a(configOf(1));
  NodeFixture b(configOf(2));
  a.hub.setAddress(2, addressOf(b.hub));
  constexpr std::uint64_t kPerThread = 1000;
  constexpr unsigned kThreads = 3;
  std::vector<std::thread> threads;
  for (unsigned n = 0; n < kThreads; ++n) {
    threads.emplace_back([&, n] {
      for (std::uint64_t i = 0; i < kPerThread; ++i) {
        a.hub.send(2, Lane::Data, wire::LeaseRenew{ n, 2, i, 0, 0 });
      }
    });
  }
  for (auto& it : threads) {
    it.join();
  }
  REQUIRE(waitFor([&] { return b.handler.count() == kThreads * kPerThread; }));
  std::map<NodeId, std::uint64_t> next;
  for (const auto& it : b.handler.messages()) {
    const auto& message = std::get<wire::LeaseRenew>(it);
    REQUIRE(message.sequence == next[message.node]++);
  }
}

TEST_CASE("both sides detect a stalled link, and a new one is used")
{
  NodeFixture b(configOf(2));
  FreezingProxy proxy(b.hub.port());
  NodeFixture a(configOf(1));
  a.hub.setAddress(2, proxy.address());
  const auto first = a.hub.send(2, Lane::Control, request(1));
  REQUIRE(waitFor([&] { return b.handler.count() == 1; }));

  // Pings keep a link with a running request alive, so it must survive for longer than
  // receiveTimeout, which is 750 ms by default.
  std::this_thread::sleep_for(Millis(1000));
  REQUIRE(a.handler.losses().empty());
  REQUIRE(b.handler.losses().empty());

  proxy.freeze();
  const TimePoint frozenAt = Clock::now();
  REQUIRE(a.hub.send(2, Lane::Control, numbered(2)).link == first.link);
  REQUIRE(waitFor([&] { return a.handler.losses().size() == 1; }));
  REQUIRE(waitFor([&] { return b.handler.losses().size() == 1; }));
  REQUIRE(Clock::now() - frozenAt < Millis(1100));
  const Loss loss = a.handler.losses()[0];
  REQUIRE(loss.link == first.link);
  REQUIRE(loss.wasDialed);
  REQUIRE(!loss.isNotRun); // The message may have been delivered.

  const auto second = a.hub.send(2, Lane::Control, numbered(3));
  REQUIRE(second.link != first.link);
  REQUIRE(waitFor([&] { return b.handler.count() == 2; }));
  REQUIRE(std::get<wire::LeaseRenew>(b.handler.messages()[1]).sequence == 3);
}

// Guards against a peer without processor time that is dialed again and again and never reached,
// because each link is given up before the peer responds.
TEST_CASE("a peer that responds only every 900 ms is reached, and its links stay open")
{
  NodeFixture b(configOf(2));
  FreezingProxy proxy(b.hub.port());
  NodeFixture a(configOf(1));
  a.hub.setAddress(2, proxy.address());
  std::atomic<bool> isStopping{ false };
  std::thread slowness([&] {
    while (!isStopping) {
      proxy.freeze();
      std::this_thread::sleep_for(Millis(900));
      proxy.thaw();
      std::this_thread::sleep_for(Millis(20));
    }
  });
  const TimePoint limit = Clock::now() + std::chrono::seconds(20);
  std::uint64_t sequence = 0;
  while (b.handler.count() == 0 && Clock::now() < limit) {
    a.hub.send(2, Lane::Control, numbered(++sequence));
    std::this_thread::sleep_for(Millis(100));
  }
  const std::size_t reached = b.handler.count();
  const std::size_t losses = a.handler.losses().size();
  for (int i = 0; i < 60; ++i) {
    a.hub.send(2, Lane::Control, numbered(++sequence));
    std::this_thread::sleep_for(Millis(100));
  }
  isStopping = true;
  slowness.join();
  REQUIRE(reached > 0);
  // Time limits are doubled three times at most; with fixed ones a link is lost every second.
  REQUIRE(a.handler.losses().size() <= losses + 3);
}

// Guards against time limits that stay long after a peer was late once: a link that goes silent
// later would be found only after up to eight times as long.
TEST_CASE("time limits that were doubled are halved while a link stays open")
{
  PeerHubConfig config = configOf(1);
  config.timeoutHalvingInterval = Millis(300);
  NodeFixture b(configOf(2));
  FreezingProxy proxy(b.hub.port());
  NodeFixture a(config);
  a.hub.setAddress(2, proxy.address());
  for (std::size_t losses = 1; losses <= 2; ++losses) {
    const std::size_t before = b.handler.count();
    a.hub.send(2, Lane::Control, numbered(losses));
    REQUIRE(waitFor([&] { return b.handler.count() > before; }));
    std::this_thread::sleep_for(Millis(800));
    proxy.freeze();
    const TimePoint frozenAt = Clock::now();
    a.hub.send(2, Lane::Control, numbered(10 + losses));
    REQUIRE(waitFor([&] { return a.handler.losses().size() == losses; }));
    REQUIRE(Clock::now() - frozenAt < Millis(1100));
    proxy.thaw();
  }
}

// Guards against requests that fail although their targets are at work on them (LOST, issue 59): a
// link that was silent for a moment was closed with all that ran on it.
TEST_CASE("a silent link is kept for the requests on it, and new ones use another link")
{
  NodeFixture b(configOf(2));
  FreezingProxy proxy(b.hub.port());
  NodeFixture a(configOf(1));
  a.hub.setAddress(2, proxy.address());
  const auto first = a.hub.send(2, Lane::Data, request(1));
  REQUIRE(waitFor([&] { return b.handler.count() == 1; }));
  const LinkId serving = b.handler.lastLink();
  proxy.freeze();
  REQUIRE(waitFor([&] { return a.handler.silences().size() == 1; }));
  CHECK(a.handler.silences()[0] == first.link);
  std::this_thread::sleep_for(Millis(1000)); // Until the accepting side has noticed it, too.
  const auto second = a.hub.send(2, Lane::Data, numbered(2));
  REQUIRE(second.status == SendStatus::Accepted);
  CHECK(second.link != first.link);
  REQUIRE(waitFor([&] { return b.handler.count() == 2; }));
  wire::RequestFailed response;
  response.id = request(1).id;
  REQUIRE(b.hub.reply(serving, response) == SendStatus::Accepted);
  CHECK(a.handler.losses().empty());
  CHECK(b.handler.losses().empty());
  proxy.thaw();
  REQUIRE(waitFor([&] { return a.handler.count() == 1; }));
  CHECK(a.handler.lastLink() == first.link);
  // The link ends with its last request; the new one stays.
  REQUIRE(waitFor([&] { return a.handler.losses().size() == 1; }));
  CHECK(a.handler.losses()[0].link == first.link);
  CHECK(a.hub.isConnected(2, Lane::Data));
}

// Guards against a stalled idle link that isn't detected: the next request on it would be lost.
TEST_CASE("a stalled idle link is detected by the side that dialed it, then by the other")
{
  PeerHubConfig acceptor = configOf(2);
  acceptor.acceptedIdleTimeout = Millis(2000);
  NodeFixture b(acceptor);
  FreezingProxy proxy(b.hub.port());
  NodeFixture a(configOf(1));
  a.hub.setAddress(2, proxy.address());
  a.hub.send(2, Lane::Control, request(1));
  REQUIRE(waitFor([&] { return b.handler.count() == 1; }));
  wire::RequestFailed failed;
  failed.id = { 1, 1 };
  b.hub.reply(b.handler.lastLink(), failed);
  REQUIRE(waitFor([&] { return a.handler.count() == 1; }));
  std::this_thread::sleep_for(Millis(1000));
  REQUIRE(a.handler.losses().empty());
  REQUIRE(b.handler.losses().empty());
  proxy.freeze();
  const TimePoint frozenAt = Clock::now();
  REQUIRE(waitFor([&] { return a.handler.losses().size() == 1; }));
  REQUIRE(Clock::now() - frozenAt < Millis(1100));
  REQUIRE(waitFor([&] { return b.handler.losses().size() == 1; }));
}

// Guards against ping traffic that grows with the square of the fleet's size: n daemons have on the
// order of n * n idle links.
TEST_CASE("an accepted link is pinged only while a request runs on it")
{
  NodeFixture a(configOf(1));
  RawPeer peer(a.hub, "/camphorcleat/data");
  peer.sayHello();
  peer.socket.readUntil("tbilisi");
  std::this_thread::sleep_for(Millis(800));
  peer.socket.write(binaryFrame(wire::encodePeerMessage(request(1))));
  REQUIRE(waitFor([&] { return a.handler.count() == 1; }));
  const TimePoint startedAt = Clock::now();
  // The first bytes after Hello are the ping due to the request: none was sent while the link was
  // idle.
  REQUIRE(peer.socket.readSome(2) == std::string("\x89\x00", 2));
  REQUIRE(Clock::now() - startedAt > Millis(200));
  REQUIRE(Clock::now() - startedAt < Millis(500));
  peer.socket.write(frame(10, "", 0));
  peer.socket.write(binaryFrame(wire::encodePeerMessage(wire::CancelRequest{ { 1, 1 } })));
  REQUIRE(waitFor([&] { return a.handler.count() == 2; }));
  REQUIRE(peer.socket.readSome(2).empty()); // Until the read times out after 2 s.
}

TEST_CASE(
  "a peer that accepts a connection and sends nothing is lost, and no message counts as delivered")
{
  std::promise<void> done;
  ScriptedServer silent(
    [finished = done.get_future().share()](BlockingSocket&, int) { finished.wait(); });
  NodeFixture a(configOf(1));
  a.hub.setAddress(2, silent.address());
  const auto sent = a.hub.send(2, Lane::Data, numbered(1));
  REQUIRE(sent.status == SendStatus::Accepted);
  REQUIRE(waitFor([&] { return !a.handler.losses().empty(); }));
  REQUIRE(a.handler.losses()[0].link == sent.link);
  REQUIRE(a.handler.losses()[0].isNotRun);
  done.set_value();
}

TEST_CASE(
  "a refused connection is reported once with the loss of its messages, and is dialed again")
{
  unsigned short port = 0;
  {
    NodeFixture gone(configOf(2));
    port = gone.hub.port();
  }
  NodeFixture a(configOf(1));
  a.hub.setAddress(2, "127.0.0.1:" + std::to_string(port));
  const auto first = a.hub.send(2, Lane::Control, numbered(1));
  REQUIRE(waitFor([&] { return a.handler.losses().size() == 1; }));
  REQUIRE(a.handler.losses()[0].isNotRun);
  REQUIRE(a.handler.losses()[0].link == first.link);

  auto config = configOf(2);
  config.listenAddress = "127.0.0.1:" + std::to_string(port);
  NodeFixture b(config);
  REQUIRE(a.hub.send(2, Lane::Control, numbered(2)).link != first.link);
  REQUIRE(waitFor([&] { return b.handler.count() == 1; }));
  REQUIRE(a.handler.losses().size() == 1);
}

// Guards against requests that wait for a connection attempt to a VM that no longer exists.
TEST_CASE(
  "requests for a peer whose latest dial failed are refused immediately, until the peer returns")
{
  unsigned short port = 0;
  {
    NodeFixture gone(configOf(2));
    port = gone.hub.port();
  }
  NodeFixture a(configOf(1));
  a.hub.setAddress(2, "127.0.0.1:" + std::to_string(port));
  REQUIRE(a.hub.send(2, Lane::Data, numbered(1)).status == SendStatus::Accepted);
  REQUIRE(waitFor([&] { return a.handler.losses().size() == 1; }));
  REQUIRE(a.hub.send(2, Lane::Data, numbered(2)).status == SendStatus::Unreachable);
  REQUIRE(a.hub.send(2, Lane::Control, numbered(3)).status == SendStatus::Accepted);

  auto config = configOf(2);
  config.listenAddress = "127.0.0.1:" + std::to_string(port);
  NodeFixture b(config);
  // Refused messages still cause dials, no more often than the backoff allows.
  REQUIRE(
    waitFor([&] { return a.hub.send(2, Lane::Data, numbered(4)).status == SendStatus::Accepted; }));
  REQUIRE(waitFor([&] { return b.handler.count() >= 1; }));
  for (const auto& it : b.handler.messages()) {
    REQUIRE(std::get<wire::LeaseRenew>(it).sequence != 2);
  }
}

TEST_CASE("dials are not repeated more often than the backoff allows")
{
  ScriptedServer closing([](BlockingSocket&, int) {});
  NodeFixture a(configOf(1));
  a.hub.setAddress(2, closing.address());
  const TimePoint end = Clock::now() + Millis(600);
  while (Clock::now() < end) {
    a.hub.send(2, Lane::Control, numbered(1));
    std::this_thread::sleep_for(Millis(2));
  }
  // Delays of 20, 40, 80, 160 and 320 ms: six dials in 600 ms. One more is allowed for timing.
  REQUIRE(closing.connections() >= 3);
  REQUIRE(closing.connections() <= 7);
}

TEST_CASE("the loss of a link is reported exactly once on each side")
{
  NodeFixture a(configOf(1));
  {
    NodeFixture b(configOf(2));
    a.hub.setAddress(2, addressOf(b.hub));
    a.hub.send(2, Lane::Control, numbered(1));
    a.hub.send(2, Lane::Data, numbered(1));
    REQUIRE(waitFor([&] { return b.handler.count() == 2; }));
    b.hub.stop();
    b.hub.stop();
    REQUIRE(b.handler.losses().size() == 2);
    REQUIRE(b.hub.send(1, Lane::Control, numbered(1)).status == SendStatus::Unreachable);
    REQUIRE(b.hub.reply(b.handler.lastLink(), numbered(1)) == SendStatus::Unreachable);
  }
  REQUIRE(waitFor([&] { return a.handler.losses().size() == 2; }));
  std::this_thread::sleep_for(Millis(100));
  REQUIRE(a.handler.losses().size() == 2);
  REQUIRE(!a.hub.isConnected(2, Lane::Control));
}

// Guards against a response that its owner counts as delivered and its entry never gets (LOST),
// because the owner's daemon stopped while the last messages waited in its hub.
TEST_CASE("messages accepted before a stop arrive at a peer that reads, even one that is sending")
{
  const bool isSending = GENERATE(false, true);
  CAPTURE(isSending);
  NodeFixture a(configOf(1));
  NodeFixture b(configOf(2));
  b.hub.setAddress(1, addressOf(a.hub));
  REQUIRE(b.hub.send(1, Lane::Data, numbered(1)).status == SendStatus::Accepted);
  REQUIRE(waitFor([&] { return a.handler.count() == 1; }));
  std::atomic<bool> isStopping{ false };
  std::thread sender([&] {
    while (isSending && !isStopping) {
      if (b.hub.send(1, Lane::Data, chunk(0, 16U << 10U)).status != SendStatus::Accepted) {
        std::this_thread::sleep_for(Millis(1));
      }
    }
  });
  const bool hasReceived =
    !isSending || waitFor([&] { return a.handler.count() > 10; }); // So that more is on its way.
  constexpr std::uint64_t kCount = 40;
  std::uint64_t accepted = 0;
  for (std::uint64_t i = 0; i < kCount; ++i) {
    const auto status = a.hub.reply(a.handler.lastLink(), chunk(i, 16U << 10U));
    accepted += status == SendStatus::Accepted ? 1 : 0;
  }
  a.hub.stop();
  isStopping = true;
  sender.join();
  REQUIRE(hasReceived);
  REQUIRE(accepted == kCount);
  CHECK(waitFor([&] { return !b.handler.losses().empty(); }));
  const auto got = b.handler.messages();
  REQUIRE(got.size() == kCount);
  for (std::uint64_t i = 0; i < kCount; ++i) {
    REQUIRE(std::get<wire::BodyChunk>(got[i]).sequence == i);
  }
}

// Guards against an unknown outcome (502) of requests that a stopping owner has never read.
TEST_CASE("a stop tells its peers that the requests it hasn't read don't run")
{
  const bool isAnswered = GENERATE(false, true);
  CAPTURE(isAnswered);
  NodeFixture a(configOf(1));
  NodeFixture b(configOf(2));
  b.hub.setAddress(1, addressOf(a.hub));
  REQUIRE(b.hub.send(1, Lane::Data, request(1)).status == SendStatus::Accepted);
  REQUIRE(waitFor([&] { return a.handler.count() == 1; }));
  if (isAnswered) {
    wire::RequestFailed failed;
    failed.id = { 1, 1 };
    REQUIRE(a.hub.reply(a.handler.lastLink(), failed) == SendStatus::Accepted);
  }
  a.hub.stopReceiving();
  REQUIRE(b.hub.send(1, Lane::Data, request(2)).status == SendStatus::Accepted);
  std::this_thread::sleep_for(Millis(50)); // The request arrives.
  a.hub.stop();
  REQUIRE(waitFor([&] { return b.handler.losses().size() == 1; }));
  CHECK(a.handler.count() == 1);
  CHECK(b.handler.losses()[0].isNotRun == isAnswered); // Otherwise, request 1 may run.
}

// Guards against the same loss where the bytes are in the kernel already: closing a socket with
// unread input resets the connection.
TEST_CASE("a peer that reads slowly while it sends gets all that was accepted before a stop")
{
  const Millis pause = GENERATE(Millis(0), Millis(300)); // Before the stop, without reading.
  CAPTURE(pause.count());
  NodeFixture a(configOf(1));
  RawPeer peer(a.hub, "/camphorcleat/data");
  peer.sayHello();
  peer.socket.readUntil("tbilisi");
  const std::string message = binaryFrame(wire::encodePeerMessage(numbered(1)));
  peer.socket.write(message);
  REQUIRE(waitFor([&] { return a.handler.count() == 1; }));
  constexpr std::uint64_t kCount = 64;
  constexpr std::size_t kBytes = 16U << 10U;
  for (std::uint64_t i = 0; i < kCount; ++i) {
    REQUIRE(a.hub.reply(a.handler.lastLink(), chunk(i, kBytes)) == SendStatus::Accepted);
  }
  std::this_thread::sleep_for(pause);
  std::thread stopper([&] { a.hub.stop(); });
  std::string got;
  for (std::string buf = peer.socket.readSome(); !buf.empty(); buf = peer.socket.readSome()) {
    got += buf;
    peer.socket.write(message);
    std::this_thread::sleep_for(Millis(2));
  }
  peer.socket.close();
  stopper.join();
  CHECK(!peer.socket.wasReset());
  CHECK(static_cast<std::size_t>(std::count(got.begin(), got.end(), 'x')) >= kCount * kBytes);
}

// Guards against a stop that waits for a peer that never reads: the platform would end the process.
TEST_CASE("a peer that doesn't read holds up a stop for a bounded time only")
{
  NodeFixture a(configOf(1));
  RawPeer peer(a.hub, "/camphorcleat/data");
  peer.sayHello();
  peer.socket.readUntil("tbilisi");
  peer.socket.write(binaryFrame(wire::encodePeerMessage(numbered(1))));
  REQUIRE(waitFor([&] { return a.handler.count() == 1; }));
  const LinkId link = a.handler.lastLink();
  int refused = 0;
  while (refused < 50) { // More than the buffers of the kernel hold.
    const bool isAccepted = a.hub.reply(link, chunk(0, 64U << 10U)) == SendStatus::Accepted;
    refused = isAccepted ? 0 : refused + 1;
    std::this_thread::sleep_for(Millis(isAccepted ? 0 : 2));
  }
  const TimePoint start = Clock::now();
  a.hub.stop();
  CHECK(Clock::now() - start < Millis(500));
  CHECK(a.handler.losses().size() == 1);
  CHECK(a.hub.reply(link, numbered(1)) == SendStatus::Unreachable);
}

// Guards against restarts that become slower by the time limit of a stop.
TEST_CASE("a stop waits neither for peers that have received all nor for idle ones that stall")
{
  const bool isStalled = GENERATE(false, true);
  CAPTURE(isStalled);
  auto config = configOf(1);
  config.pingInterval = Millis(5000); // A ping would be unanswered.
  config.receiveTimeout = Millis(10000);
  std::vector<Duration> durations;
  for (int i = 0; i < 7; ++i) {
    NodeFixture b(configOf(2));
    FreezingProxy proxy(b.hub.port());
    NodeFixture a(config);
    a.hub.setAddress(2, proxy.address());
    a.hub.send(2, Lane::Control, numbered(1));
    a.hub.send(2, Lane::Data, numbered(1));
    REQUIRE(waitFor([&] { return b.handler.count() == 2; }));
    if (isStalled) {
      std::this_thread::sleep_for(Millis(300));
      proxy.freeze();
    }
    const TimePoint start = Clock::now();
    a.hub.stop();
    durations.push_back(Clock::now() - start);
    CHECK(a.handler.losses().size() == 2);
  }
  std::sort(durations.begin(), durations.end());
  const Duration median = durations[durations.size() / 2];
  CHECK(std::chrono::duration_cast<Micros>(median).count() <= 10000);
}

TEST_CASE("a changed address closes the link to the old address")
{
  NodeFixture a(configOf(1));
  NodeFixture before(configOf(2));
  NodeFixture after(configOf(2));
  a.hub.setAddress(2, addressOf(before.hub));
  a.hub.send(2, Lane::Control, numbered(1));
  REQUIRE(waitFor([&] { return before.handler.count() == 1; }));
  a.hub.setAddress(2, addressOf(after.hub));
  a.hub.send(2, Lane::Control, numbered(2));
  REQUIRE(waitFor([&] { return after.handler.count() == 1; }));
  REQUIRE(waitFor([&] { return a.handler.losses().size() == 1; }));
  REQUIRE(before.handler.count() == 1);
  a.hub.setAddress(2, "");
  REQUIRE(a.hub.send(2, Lane::Control, numbered(3)).status == SendStatus::Unreachable);
}

TEST_CASE("a peer that doesn't read fills its link, and no accepted message is lost")
{
  auto config = configOf(1);
  config.receiveTimeout = Millis(10000); // The stalled link has to stay open.
  config.maxBufferedBytes = 1U << 20U;
  auto peerConfig = configOf(2);
  peerConfig.receiveTimeout = Millis(10000);
  NodeFixture b(peerConfig);
  FreezingProxy proxy(b.hub.port());
  NodeFixture a(config);
  a.hub.setAddress(2, proxy.address());
  a.hub.send(2, Lane::Data, chunk(0, 1));
  REQUIRE(waitFor([&] { return b.handler.count() == 1; }));
  proxy.freeze();

  std::uint64_t accepted = 1;
  std::uint64_t refusedInARow = 0;
  while (refusedInARow < 50 && accepted < 2000) {
    const auto status = a.hub.send(2, Lane::Data, chunk(accepted, 64U << 10U)).status;
    if (status == SendStatus::Accepted) {
      ++accepted;
      refusedInARow = 0;
    } else {
      REQUIRE(status == SendStatus::Full);
      ++refusedInARow;
      std::this_thread::sleep_for(Millis(2));
    }
  }
  // 1 MiB waits in the hub; the rest of the accepted messages is in the kernel's socket buffers.
  REQUIRE(accepted < 500);
  REQUIRE(a.hub.send(2, Lane::Control, numbered(1)).status == SendStatus::Accepted);

  proxy.thaw();
  REQUIRE(waitFor([&] { return b.handler.count() == accepted + 1; }));
  REQUIRE(a.hub.send(2, Lane::Data, chunk(accepted, 1)).status == SendStatus::Accepted);
  std::uint64_t next = 0;
  for (const auto& it : b.handler.messages()) {
    if (const auto* body = std::get_if<wire::BodyChunk>(&it)) {
      REQUIRE(body->sequence == next++);
    }
  }
}

TEST_CASE("the queue of a link that is being dialed is bounded")
{
  std::promise<void> done;
  ScriptedServer silent(
    [finished = done.get_future().share()](BlockingSocket&, int) { finished.wait(); });
  auto config = configOf(1);
  config.maxBufferedBytes = 256U << 10U;
  NodeFixture a(config);
  a.hub.setAddress(2, silent.address());
  int accepted = 0;
  while (a.hub.send(2, Lane::Data, chunk(0, 64U << 10U)).status == SendStatus::Accepted) {
    ++accepted;
    REQUIRE(accepted < 10);
  }
  REQUIRE(accepted == 3);
  done.set_value();
}

TEST_CASE("links to peers of another fleet or with another node id are not opened")
{
  const bool isOtherFleet = GENERATE(true, false);
  NodeFixture a(configOf(1));
  NodeFixture b(isOtherFleet ? configOf(2, "lagos") : configOf(3));
  a.hub.setAddress(2, addressOf(b.hub));
  REQUIRE(a.hub.send(2, Lane::Control, numbered(1)).status == SendStatus::Accepted);
  REQUIRE(waitFor([&] { return a.handler.losses().size() == 1; }));
  REQUIRE(a.handler.losses()[0].isNotRun);
  REQUIRE(b.handler.count() == 0);
}

TEST_CASE("frames that violate the protocol close the connection")
{
  auto config = configOf(1);
  config.maxMessageBytes = 4096;
  NodeFixture a(config);
  RawPeer peer(a.hub);
  REQUIRE(peer.head.find(" 101 ") != std::string::npos);
  bool isReported = true;
  SECTION("message before hello")
  {
    isReported = false;
    peer.socket.write(binaryFrame(wire::encodePeerMessage(numbered(1))));
  }
  SECTION("hello of another fleet")
  {
    isReported = false;
    peer.sayHello("lagos");
  }
  SECTION("second hello")
  {
    peer.sayHello();
    peer.sayHello();
  }
  SECTION("text frame")
  {
    peer.sayHello();
    peer.socket.write(frame(1, "hello", 5));
  }
  SECTION("undecodable message")
  {
    peer.sayHello();
    peer.socket.write(binaryFrame("\x01\x02\x03"));
  }
  SECTION("frame that announces more than the limit")
  {
    peer.sayHello();
    peer.socket.write(frame(2, "x", 1ULL << 40U));
  }
  peer.socket.readAll();
  REQUIRE(peer.socket.hasEnded());
  REQUIRE(a.handler.count() == 0);
  if (isReported) {
    REQUIRE(waitFor([&] { return a.handler.losses().size() == 1; }));
    REQUIRE(a.handler.losses()[0].peer == 9);
  } else {
    REQUIRE(a.handler.losses().empty());
  }
}

TEST_CASE("a connection for an unknown lane, or one on which nothing is sent, is closed")
{
  NodeFixture a(configOf(1));
  RawPeer other(a.hub, "/other");
  REQUIRE(other.head.find(" 101 ") == std::string::npos);
  BlockingSocket unused(a.hub.port());
  unused.readAll();
  REQUIRE(unused.hasEnded());
}

TEST_CASE("a message longer than the limit is refused on the sending side")
{
  const PeerHubConfig config = configOf(1);
  NodeFixture a(config);
  a.hub.setAddress(2, "127.0.0.1:1");
  REQUIRE(a.hub.send(2, Lane::Data, chunk(0, config.maxMessageBytes)).status ==
          SendStatus::TooLarge);
}

TEST_CASE("a hub whose address is in use or invalid fails to start")
{
  NodeFixture a(configOf(1));
  RecordingHandler handler;
  for (const std::string& address : { addressOf(a.hub), std::string("nowhere") }) {
    auto config = configOf(2);
    config.listenAddress = address;
    PeerHub hub(config, handler);
    const auto code = orElse(
      [&]() -> Result<ErrorCode> {
        BOOST_LEAF_CHECK(hub.start());
        return ErrorCode::None;
      },
      [](const ErrorInfo& aInfo) { return aInfo.code; });
    REQUIRE(code == ErrorCode::SettingsInvalid);
  }
}

} // namespace camphorcleat::transport::testing
