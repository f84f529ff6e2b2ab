// Guards against an owner that starts requests of another service or after a planned stop has
// begun, refuses account keys that are newer than its view, or overloads a cold target. The duty
// runs in its own thread; the test simulates entry, agent and target.

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <thread>

#include <poll.h>

#include "base/Hash.h"
#include "daemon/NativeDialect.h"
#include "daemon/OwnerDuty.h"
#include "transport/HttpHeaders.h"
#include "transport/testing/TransportFakes.h"
#include "wire/WireCodec.h"

namespace camphorcleat::daemon {
namespace {

class HeartbeatDialect : public NativeDialect
{
public:
  bool needsConfiguration() const override { return true; }
  bool hasHeartbeats() const override { return true; }
};

class HealthDialect : public HeartbeatDialect
{
public:
  std::optional<Millis> parseColdTime(const std::vector<wire::Header>& aHeaders,
                                      const std::string& /*aInstance*/) const override
  {
    const std::string* text = transport::findHeader(aHeaders, "Cold-Ms");
    return Millis(text == nullptr ? 0 : std::stoi(*text));
  }
};

class CallDialect
  : public HeartbeatDialect
  , public OrderProtocol
{
public:
  const OrderProtocol* orderProtocol() const override { return this; }
  OrderRequest requestOf(const fleet::TargetOrder& /*aOrder*/) const override
  {
    return { "/order", {}, "{}" };
  }
  OrderResponse classify(fleet::OrderKind /*aKind*/, unsigned /*aStatus*/,
                         const std::vector<wire::Header>& /*aHeaders*/) const override
  {
    return {};
  }
};

// Accepts connections and doesn't respond, except by respondAndEnd(). Each connection therefore
// represents one request.
class SilentTarget
{
public:
  SilentTarget()
    : mSocket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* raw = reinterpret_cast<sockaddr*>(&address); // NOLINT: the socket API wants it.
    REQUIRE(::bind(mSocket, raw, size) == 0);
    REQUIRE(::listen(mSocket, 128) == 0);
    REQUIRE(::getsockname(mSocket, raw, &size) == 0);
    mAddress = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }
  ~SilentTarget()
  {
    for (const int it : mAccepted) {
      ::close(it);
    }
    ::close(mSocket);
  }
  SilentTarget(const SilentTarget&) = delete;
  SilentTarget& operator=(const SilentTarget&) = delete;

  const std::string& address() const { return mAddress; }

  // Accepts connections for this time and returns how many were accepted so far.
  std::size_t accept(Millis aTime)
  {
    const TimePoint end = Clock::now() + aTime;
    while (Clock::now() < end) {
      pollfd ready{ mSocket, POLLIN, 0 };
      if (::poll(&ready, 1, 10) > 0) {
        mAccepted.push_back(::accept(mSocket, nullptr, nullptr));
      }
    }
    return mAccepted.size();
  }

  // Writes bytes on the newest connection.
  void write(const std::string& aBytes)
  {
    REQUIRE(::send(mAccepted.back(), aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(aBytes.size()));
  }

  // Returns the bytes that arrive on the newest connection within a time.
  std::string read(Millis aTime)
  {
    std::string out;
    const TimePoint end = Clock::now() + aTime;
    while (Clock::now() < end) {
      pollfd ready{ mAccepted.back(), POLLIN, 0 };
      if (::poll(&ready, 1, 10) <= 0) {
        continue;
      }
      std::string buf(4096, '\0');
      const ssize_t n = ::recv(mAccepted.back(), buf.data(), buf.size(), 0);
      if (n <= 0) {
        break;
      }
      out.append(buf, 0, static_cast<std::size_t>(n));
    }
    return out;
  }

  // Refuses further connections, as a target that drains may do.
  void closeListener()
  {
    ::close(mSocket);
    mSocket = -1;
  }

  void closeConnections()
  {
    for (const int it : mAccepted) {
      ::close(it);
    }
    mAccepted.clear();
  }

  // Simulates the end of the process: writes a response on the newest connection, then closes the
  // listener and the sending side while the response is still in transit.
  void respondAndEnd(std::size_t aBytes)
  {
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBytes) +
                                 "\r\n\r\n" + std::string(aBytes, 'x');
    for (std::size_t sent = 0; sent < response.size();) {
      const ssize_t n =
        ::send(mAccepted.back(), response.data() + sent, response.size() - sent, MSG_NOSIGNAL);
      REQUIRE(n > 0);
      sent += static_cast<std::size_t>(n);
    }
    ::close(mSocket);
    mSocket = -1;
    ::shutdown(mAccepted.back(), SHUT_WR);
  }

private:
  int mSocket;
  std::string mAddress;
  std::vector<int> mAccepted;
};

constexpr std::uint64_t kLinkBytesPerSecond = 525'000;

Settings settingsFor(const std::string& aTarget)
{
  Settings out;
  out.id = 1;
  out.zone = "a";
  out.targetAddress = aTarget;
  out.maxHold = Millis(10'000);
  out.maxQueuedRequests = 1000;
  out.linkBytesPerSecond = kLinkBytesPerSecond;
  out.targetDrain = Millis(1600);
  out.bridgePercent = 50;
  out.lease.confirmLimit = Millis(60'000);
  return out;
}

/// Passes messages on to a router, and keeps its hub's thread busy for a time at a JoinRequest.
class BusyHandler final : public transport::PeerHandler
{
public:
  BusyHandler(PeerRouter& aRouter, Millis aTime)
    : mRouter(aRouter)
    , mTime(aTime)
  {
  }

  void onLinkOpened(transport::LinkId aLink, transport::Lane aLane, Duration aSentAt,
                    Duration aReceivedAt) override
  {
    mRouter.onLinkOpened(aLink, aLane, aSentAt, aReceivedAt);
  }

  void onMessage(transport::LinkId aLink, NodeId aFrom, transport::Lane aLane,
                 wire::PeerMessage aMessage) override
  {
    if (std::holds_alternative<wire::JoinRequest>(aMessage)) {
      mBusy.set_value();
      std::this_thread::sleep_for(mTime);
    } else {
      mRouter.onMessage(aLink, aFrom, aLane, std::move(aMessage));
    }
  }

  void onLinkLost(transport::LinkId aLink, NodeId aPeer, transport::Lane aLane, bool aWasDialed,
                  bool aIsNotRun) override
  {
    mRouter.onLinkLost(aLink, aPeer, aLane, aWasDialed, aIsNotRun);
  }

  bool waitUntilBusy(Millis aTime)
  {
    return mBusy.get_future().wait_for(aTime) == std::future_status::ready;
  }

private:
  PeerRouter& mRouter;
  Millis mTime;
  std::promise<void> mBusy;
};

/// Records the first failed request.
class FailureRecorder final : public transport::PeerHandler
{
public:
  void onLinkOpened(transport::LinkId /*aLink*/, transport::Lane /*aLane*/, Duration /*aSentAt*/,
                    Duration /*aReceivedAt*/) override
  {
  }

  void onMessage(transport::LinkId /*aLink*/, NodeId /*aFrom*/, transport::Lane /*aLane*/,
                 wire::PeerMessage aMessage) override
  {
    if (const auto* failed = std::get_if<wire::RequestFailed>(&aMessage)) {
      mFailure.set_value(*failed);
    }
  }

  void onLinkLost(transport::LinkId /*aLink*/, NodeId /*aPeer*/, transport::Lane /*aLane*/,
                  bool /*aWasDialed*/, bool /*aIsNotRun*/) override
  {
  }

  std::optional<wire::RequestFailed> failure(Millis aTime)
  {
    auto result = mFailure.get_future();
    return result.wait_for(aTime) == std::future_status::ready
             ? std::optional<wire::RequestFailed>(result.get())
             : std::nullopt;
  }

private:
  std::promise<wire::RequestFailed> mFailure;
};

/// Counts the bytes of response bodies and records the end of the last one.
class ResponseCounter final : public transport::PeerHandler
{
public:
  void onLinkOpened(transport::LinkId /*aLink*/, transport::Lane /*aLane*/, Duration /*aSentAt*/,
                    Duration /*aReceivedAt*/) override
  {
  }

  void onMessage(transport::LinkId /*aLink*/, NodeId /*aFrom*/, transport::Lane /*aLane*/,
                 wire::PeerMessage aMessage) override
  {
    if (const auto* chunk = std::get_if<wire::BodyChunk>(&aMessage)) {
      mBytes += chunk->data.size();
      mHasEnded = mHasEnded || chunk->isLast;
    }
  }

  void onLinkLost(transport::LinkId /*aLink*/, NodeId /*aPeer*/, transport::Lane /*aLane*/,
                  bool /*aWasDialed*/, bool /*aNeverOpened*/) override
  {
    mIsLost = true;
  }

  std::size_t bytes() const { return mBytes; }
  bool hasEnded() const { return mHasEnded; }
  bool isLost() const { return mIsLost; }

private:
  std::atomic<std::size_t> mBytes{ 0 };
  std::atomic<bool> mHasEnded{ false };
  std::atomic<bool> mIsLost{ false };
};

// Returns a binary WebSocket frame with a mask of zero.
std::string clientFrame(const std::string& aPayload)
{
  // RFC 6455 requires the shortest encoding of the length.
  const std::size_t n = aPayload.size();
  std::string out = "\x82";
  if (n < 126) {
    out += static_cast<char>(0x80U | n);
  } else {
    out += { '\xFE', static_cast<char>(n >> 8U), static_cast<char>(n & 0xFFU) };
  }
  return out + std::string(4, '\0') + aPayload;
}

constexpr const char* kDataLaneUpgrade =
  "GET /camphorcleat/data HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
  "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
  "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n";

transport::PeerHubConfig hubConfig(NodeId aSelf)
{
  transport::PeerHubConfig config;
  config.self = aSelf;
  config.incarnation = 1000 + aSelf;
  config.fleet = "fleet";
  config.listenAddress = "127.0.0.1:0";
  config.connectTimeout = Millis(10'000);
  config.receiveTimeout = Millis(10'000);
  return config;
}

template<class DialectType>
struct FixtureOf
{
  SilentTarget target;
  Settings settings = settingsFor(target.address());
  DialectType dialect;
  Rings rings;
  SharedView view;
  Metrics metrics;
  PeerRouter router{ settings.id, rings };
  OwnerDuty owner{ settings, dialect, rings, router, view, metrics };
  std::uint64_t counter = 0;

  explicit FixtureOf(Millis aHeartbeatWait = Millis(0))
  {
    settings.heartbeatWait = aHeartbeatWait;
    owner.start();
  }

  // Publishes a view with the service "intake" and the account "acme", or another one, whose only
  // key is "known".
  void publish(Revision aRevision, const std::string& aAccount = "acme")
  {
    wire::Configuration configuration;
    configuration.version = 1;
    wire::Service service;
    service.name = "intake";
    service.isKeyed = false;
    service.coldRequestsPerSecond = 5;
    service.healthPath = "/health";
    configuration.services = { service };
    wire::Account account;
    account.name = aAccount;
    account.keyDigests["known"] = sha256Hex("secret");
    configuration.accounts = { account };
    auto model = std::make_shared<fleet::FleetModel>();
    model->apply(wire::FleetCreated{ 16 });
    model->apply(wire::ConfigurationSet{ configuration });
    view.publishTimes(Clock::now() + Millis(60'000), Clock::now());
    view.publish({ model, aRevision, 7 });
    push(ViewPublished{});
  }

  // Publishes a view in which this node owns all partitions of the ranged service "lookup" under a
  // token.
  void publishGrants(Revision aRevision, Incarnation aIncarnation, FencingToken aToken)
  {
    setGrants(aRevision, aIncarnation, aToken, wire::GrantMode::Heartbeat, kNoNode);
    push(ViewPublished{});
  }

  // Same as above, without telling the owner. With aMovingTo, all partitions are being handed over.
  // With aOwner, another node owns them.
  void setGrants(Revision aRevision, Incarnation aIncarnation, FencingToken aToken,
                 wire::GrantMode aMode, NodeId aMovingTo, NodeId aOwner = kNoNode)
  {
    auto model = std::make_shared<fleet::FleetModel>();
    model->apply(wire::FleetCreated{ 16 });
    wire::Service service;
    service.name = "lookup";
    service.isRanged = true;
    service.grantMode = aMode;
    wire::Configuration configuration;
    configuration.version = 1;
    configuration.services = { service };
    model->apply(wire::ConfigurationSet{ configuration });
    wire::Node node;
    node.id = settings.id;
    node.incarnation = aIncarnation;
    model->apply(wire::NodeSet{ node });
    wire::PartitionsSet grants;
    grants.service = "lookup";
    grants.grant.owner = aOwner == kNoNode ? settings.id : aOwner;
    grants.grant.incarnation = aIncarnation;
    grants.grant.token = aToken;
    grants.grant.movingTo = aMovingTo;
    for (PartitionId i = 0; i < 16; ++i) {
      grants.partitions.push_back(i);
    }
    model->apply(grants);
    view.publishTimes(Clock::now() + Millis(60'000), Clock::now());
    view.publish({ model, aRevision, aIncarnation });
  }

  // Publishes the same view with a record of this node that says which process has left.
  void publishLeaving(Revision aRevision, const wire::TargetProcess& aProcess)
  {
    const auto state = view.state();
    auto model = std::make_shared<fleet::FleetModel>(*state->model);
    wire::Node node;
    node.id = settings.id;
    node.incarnation = state->incarnation;
    node.target.instance = "i-1";
    node.leavingTarget = aProcess;
    model->apply(wire::NodeSet{ node });
    view.publish({ model, aRevision, state->incarnation });
    push(ViewPublished{});
  }

  // Deregisters a process. The result says whether it was acknowledged.
  std::future<bool> deregister(const std::string& aInstance,
                               std::optional<std::int64_t> aStartedAt = std::nullopt)
  {
    auto result = std::make_shared<std::promise<bool>>();
    push(TargetDeregistration{ aInstance, aStartedAt,
                               [result](bool aIsRecorded) { result->set_value(aIsRecorded); } });
    return result->get_future();
  }

  // Returns the next event of a type that the agent gets within a time.
  template<class Event>
  std::optional<Event> agentEvent(Millis aTime)
  {
    const TimePoint end = Clock::now() + aTime;
    while (auto message = rings.agent.popUntil(end)) {
      if (const auto* event = std::get_if<Event>(&*message)) {
        return *event;
      }
    }
    return std::nullopt;
  }

  std::future<fleet::GrantResponse> sendHeartbeat(Millis aColdFor, const std::string& aService,
                                                  const std::string& aInstance,
                                                  const fleet::HeartbeatRanges& aHolds = {})
  {
    auto response = std::make_shared<std::promise<fleet::GrantResponse>>();
    TargetHeartbeat heartbeat;
    heartbeat.announcement.service = aService;
    heartbeat.announcement.slots = 100;
    heartbeat.announcement.instance = aInstance;
    heartbeat.sequence = ++counter;
    heartbeat.coldFor = aColdFor;
    heartbeat.holds = aHolds;
    heartbeat.reply = [response](const fleet::GrantResponse& aResponse) {
      response->set_value(aResponse);
    };
    push(heartbeat);
    return response->get_future();
  }

  // Sends a heartbeat and returns the owner's response.
  fleet::GrantResponse exchangeHeartbeat(Millis aColdFor, const std::string& aService = "intake",
                                         const std::string& aInstance = "i-1")
  {
    auto response = sendHeartbeat(aColdFor, aService, aInstance);
    REQUIRE(response.wait_for(Millis(2000)) == std::future_status::ready);
    return response.get();
  }

  // A request that waited on its way has a deadline of 3 s.
  void sendRequest(const std::string& aService, const std::string& aKeyName,
                   Revision aRouteRevision, Millis aWaited = Millis(0),
                   const std::string& aKey = "")
  {
    wire::RequestHead head;
    head.id = { 9, ++counter };
    head.key = aKey;
    head.service = aService;
    head.account = aKeyName.empty() ? "" : "acme";
    head.keyName = aKeyName;
    head.keyDigest = aKeyName == "known" ? Bytes(sha256("secret")) : Bytes();
    head.method = "GET";
    head.path = "/";
    head.contentLength = 0;
    head.deadline = aWaited > Millis(0) ? Millis(3000) : Millis(30'000);
    head.sentAt = std::chrono::duration_cast<Micros>(timeSinceBoot() - aWaited);
    head.routeRevision = aRouteRevision;
    push(ReceivedMessage{ kLocalLink, 1, head });
  }

  // Passes a message of the entry of this daemon to the owner, as the router does.
  void send(wire::PeerMessage aMessage)
  {
    const auto sent = router.send(settings.id, transport::Lane::Data, std::move(aMessage));
    REQUIRE(sent.status == transport::SendStatus::Accepted);
  }

  // Returns the body of the next complete response, or nothing if none is complete in time.
  std::optional<std::string> responseBody(Millis aTime)
  {
    std::string body;
    const TimePoint end = Clock::now() + aTime;
    while (auto message = rings.entry.popUntil(end)) {
      const auto* peer = std::get_if<ReceivedMessage>(&*message);
      const auto* chunk = peer == nullptr ? nullptr : std::get_if<wire::BodyChunk>(&peer->message);
      if (chunk != nullptr) {
        body += chunk->data.data;
        if (chunk->isLast) {
          return body;
        }
      }
    }
    return std::nullopt;
  }

  // Returns the next refusal or failure that arrives within a time.
  std::optional<wire::RequestFailed> failure(Millis aTime)
  {
    const TimePoint end = Clock::now() + aTime;
    while (auto message = rings.entry.popUntil(end)) {
      if (const auto* peer = std::get_if<ReceivedMessage>(&*message)) {
        if (const auto* failed = std::get_if<wire::RequestFailed>(&peer->message)) {
          return *failed;
        }
      }
    }
    return std::nullopt;
  }

  // Returns whether the owner reports the end of the target's process within a time.
  bool waitForTargetEnd(Millis aTime)
  {
    const TimePoint end = Clock::now() + aTime;
    while (auto message = rings.agent.popUntil(end)) {
      const auto* changed = std::get_if<fleet::agent::TargetChanged>(&*message);
      if (changed != nullptr && changed->hasEnded) {
        return true;
      }
    }
    return false;
  }

  void push(OwnerMessage aMessage)
  {
    const bool isQueued = rings.owner.tryPush(std::move(aMessage));
    REQUIRE(isQueued);
  }
};

using Fixture = FixtureOf<HeartbeatDialect>;

// After this time, a cold target gets requests that don't add to those of an earlier process.
constexpr Millis kEarlierProcessTime{ 1100 };

} // namespace

TEST_CASE("a request for a service that the target doesn't run is refused as not run")
{
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  f.sendRequest("lookup", "", 5);
  const auto failed = f.failure(Millis(2000));
  REQUIRE(failed);
  CHECK(failed->outcome == wire::Outcome::NotRun);
  CHECK(failed->code == ErrorCode::NotOwner);
  CHECK(f.target.accept(Millis(50)) == 0);
}

TEST_CASE("an account key is refused only by an owner whose view is as new as the entry's")
{
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  f.sendRequest("intake", "withdrawn", 5);
  const auto failed = f.failure(Millis(2000));
  REQUIRE(failed);
  CHECK(failed->code == ErrorCode::UnknownAccountKey);
  f.sendRequest("intake", "granted-later", 6);
  CHECK(f.target.accept(Millis(300)) == 1);
  CHECK_FALSE(f.failure(Millis(50)));
}

// Guards against more requests than a cold target bears (FAILBACK, review/14), and against a warm
// target that is taken for one that may be cold.
TEST_CASE("a target under steady traffic is asked whether it is cold")
{
  const bool isCold = GENERATE(false, true);
  CAPTURE(isCold);
  FixtureOf<HealthDialect> f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  constexpr int kRequests = 5;
  for (int i = 0; i < kRequests; ++i) {
    f.sendRequest("intake", "", 5);
  }
  REQUIRE(f.target.accept(Millis(100)) == kRequests + 1);
  const std::string check = f.target.read(Millis(50));
  REQUIRE(check.substr(0, check.find("\r\n")) == "GET /health HTTP/1.1");
  f.target.write(std::string("HTTP/1.1 200 OK\r\n") + (isCold ? "Cold-Ms: 500\r\n" : "") +
                 "Content-Length: 0\r\n\r\n");
  f.target.accept(Millis(50));
  for (int i = 0; i < kRequests; ++i) {
    f.sendRequest("intake", "", 5);
  }
  CHECK(f.target.accept(Millis(300)) == 1 + (isCold ? kRequests : 2 * kRequests));
}

// Guards against requests that are refused with "unknown account key" although their key is valid
// before, during and after a change (DENIED, review/15).
TEST_CASE("a request that waits while its account is renamed runs under the new name")
{
  const bool waitsAtOwner = GENERATE(true, false);
  CAPTURE(waitsAtOwner);
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(3000)); // Nothing is sent to a cold target at first.
  if (waitsAtOwner) {
    f.sendRequest("intake", "known", 5);
    CHECK_FALSE(f.failure(Millis(50)));
  }
  f.publish(6, "renamed");
  if (!waitsAtOwner) {
    f.sendRequest("intake", "known", 5); // By an entry with an older view.
  }
  REQUIRE(f.target.accept(Millis(1500)) == 1);
  const std::string request = f.target.read(Millis(50));
  CHECK(request.find("renamed") != std::string::npos);
  CHECK(request.find("acme") == std::string::npos);
  CHECK_FALSE(f.failure(Millis(50)));
}

// Guards against two processes of a target that have grants with the same token.
TEST_CASE("a restarted target gets no grants of its previous process")
{
  Fixture f;
  f.publishGrants(5, 7, 41);
  CHECK(f.exchangeHeartbeat(Millis(0), "lookup", "i-1").granted.size() == 1);
  // The view contains the grants of the first process until the second one is registered.
  CHECK(f.exchangeHeartbeat(Millis(0), "lookup", "i-2").granted.empty());
  CHECK(f.exchangeHeartbeat(Millis(0), "lookup", "i-2").granted.empty());
  f.publishGrants(6, 8, 42);
  const auto response = f.exchangeHeartbeat(Millis(0), "lookup", "i-2");
  REQUIRE(response.granted.size() == 1);
  CHECK(response.granted[0].token == 42);
}

// Guards against two targets with one key: an earlier process of this daemon may have granted it,
// and the heartbeat may be handled before the message that tells of the first view.
TEST_CASE("keys of a first view that is read with a heartbeat aren't passed on as never granted")
{
  FixtureOf<CallDialect> f;
  f.setGrants(5, 7, 4, wire::GrantMode::Call, 2);
  f.exchangeHeartbeat(Millis(0), "lookup", "i-1");
  const TimePoint end = Clock::now() + Millis(300);
  while (auto message = f.rings.agent.popUntil(end)) {
    CHECK_FALSE(std::holds_alternative<fleet::agent::PartitionIdle>(*message));
  }
}

// Guards against keys that stay unserved until the next heartbeat of their new target.
TEST_CASE("a heartbeat without changes is answered when the grants change or its wait expires")
{
  Fixture f(Millis(400));
  f.publishGrants(5, 7, 41);
  CHECK(f.exchangeHeartbeat(Millis(0), "lookup").granted.at(0).token == 41);
  const TimePoint begin = Clock::now();
  CHECK(f.exchangeHeartbeat(Millis(0), "lookup").granted.at(0).token == 41);
  CHECK(Clock::now() - begin >= Millis(400));
  auto waiting = f.sendHeartbeat(Millis(0), "lookup", "i-1");
  CHECK(waiting.wait_for(Millis(100)) == std::future_status::timeout);
  f.publishGrants(6, 7, 43);
  REQUIRE(waiting.wait_for(Millis(200)) == std::future_status::ready);
  CHECK(waiting.get().granted.at(0).token == 43);
}

// Guards against refusals by the owner that the log names, between the end of a handover and the
// next heartbeat of its target.
TEST_CASE("a request waits at the new owner until its target is granted the key")
{
  Fixture f;
  f.publishGrants(5, 7, 41);
  f.exchangeHeartbeat(Millis(0), "lookup");
  f.publishGrants(6, 7, 43);
  f.sendRequest("lookup", "", 6, Millis(0), "k");
  CHECK_FALSE(f.failure(Millis(100)));
  CHECK(f.target.accept(Millis(50)) == 0);
  f.exchangeHeartbeat(Millis(0), "lookup");
  CHECK(f.target.accept(Millis(300)) == 1);
  CHECK_FALSE(f.failure(Millis(50)));
}

// Guards against refusals by a new owner that learns of the handover later than the entry.
TEST_CASE("a request waits at an owner whose view is older than the entry's")
{
  Fixture f;
  f.publishGrants(5, 6, 41);
  f.exchangeHeartbeat(Millis(0), "lookup");
  f.setGrants(5, 6, 41, wire::GrantMode::Heartbeat, kNoNode, 2);
  f.push(ViewPublished{});
  f.sendRequest("lookup", "", 6, Millis(0), "k");
  CHECK_FALSE(f.failure(Millis(100)));
  f.publishGrants(6, 6, 43);
  f.exchangeHeartbeat(Millis(0), "lookup");
  CHECK(f.target.accept(Millis(300)) == 1);
}

// Guards against requests that wait at a node for keys that it won't get.
TEST_CASE("a request is refused as not run if its owner isn't granted the key in time")
{
  Fixture f;
  f.publishGrants(5, 7, 41);
  f.exchangeHeartbeat(Millis(0), "lookup");
  f.publishGrants(6, 7, 43);
  const TimePoint begin = Clock::now();
  f.sendRequest("lookup", "", 6, Millis(2500), "k"); // 500 ms are left.
  auto failed = f.failure(Millis(2000));
  REQUIRE(failed);
  CHECK(failed->outcome == wire::Outcome::NotRun);
  CHECK(failed->code == ErrorCode::NotOwner);
  CHECK(Clock::now() - begin >= Millis(200));
  CHECK(Clock::now() - begin <= Millis(400));
  f.sendRequest("lookup", "", 6, Millis(0), "k");
  CHECK_FALSE(f.failure(Millis(50)));
  f.setGrants(7, 7, 44, wire::GrantMode::Heartbeat, kNoNode, 2); // The key goes to another node.
  f.push(ViewPublished{});
  failed = f.failure(Millis(200));
  REQUIRE(failed);
  CHECK(failed->code == ErrorCode::NotOwner);
  CHECK(f.target.accept(Millis(50)) == 0);
}

// Guards against handovers that last until the wait of a heartbeat expires: the target reports the
// release of its keys with the next heartbeat, which it sends after the response to this one.
TEST_CASE("a heartbeat of a target that still holds withdrawn keys is answered at once")
{
  Fixture f(Millis(5000));
  f.publishGrants(5, 7, 41);
  CHECK(f.exchangeHeartbeat(Millis(0), "lookup").granted.size() == 1);
  f.setGrants(6, 7, 41, wire::GrantMode::Heartbeat, 2);
  f.push(ViewPublished{});
  const fleet::HeartbeatRanges holds{ { { 0, 65535, 41 } }, {} };
  auto withdrawal = f.sendHeartbeat(Millis(0), "lookup", "i-1", holds);
  REQUIRE(withdrawal.wait_for(Millis(500)) == std::future_status::ready);
  CHECK(withdrawal.get().granted.empty());
  auto next = f.sendHeartbeat(Millis(0), "lookup", "i-1", holds);
  CHECK(next.wait_for(Millis(500)) == std::future_status::ready);
  auto idle = f.sendHeartbeat(Millis(0), "lookup", "i-1");
  CHECK(idle.wait_for(Millis(200)) == std::future_status::timeout);
}

// Guards against keys that reach their next owner without the handover data of their last holder,
// because another response to a heartbeat was sent before the release was in the view.
TEST_CASE("the release of a key is reported once, with its handover data")
{
  Fixture f;
  f.publishGrants(5, 7, 41);
  f.exchangeHeartbeat(Millis(0), "lookup");
  f.setGrants(6, 7, 41, wire::GrantMode::Heartbeat, 2);
  f.push(ViewPublished{});
  for (PartitionId i = 0; i < 16; ++i) {
    f.push(fleet::agent::StopPartition{ { "lookup", i }, 41 });
  }
  const std::vector<fleet::HeartbeatRanges> heartbeats = { { { { 0, 65535, 41 } }, {} },
                                                           { {}, { { 0, 65535, "seal" } } },
                                                           {} };
  for (const auto& it : heartbeats) {
    auto response = f.sendHeartbeat(Millis(0), "lookup", "i-1", it);
    REQUIRE(response.wait_for(Millis(500)) == std::future_status::ready);
  }
  std::size_t released = 0;
  const TimePoint end = Clock::now() + Millis(100);
  while (auto message = f.rings.agent.popUntil(end)) {
    if (const auto* idle = std::get_if<fleet::agent::PartitionIdle>(&*message)) {
      CHECK(idle->handover == "seal");
      ++released;
    }
  }
  CHECK(released == 16);
}

TEST_CASE("a pending heartbeat gets no grants after another process has announced itself")
{
  Fixture f(Millis(5000));
  f.publishGrants(5, 7, 41);
  CHECK(f.exchangeHeartbeat(Millis(0), "lookup").granted.size() == 1);
  auto waiting = f.sendHeartbeat(Millis(0), "lookup", "i-1");
  CHECK(f.exchangeHeartbeat(Millis(0), "lookup", "i-2").granted.empty());
  REQUIRE(waiting.wait_for(Millis(2000)) == std::future_status::ready);
  CHECK(waiting.get().granted.empty());
}

TEST_CASE(
  "a cold target is rate limited even if its heartbeat arrived before the view with its rate")
{
  Fixture f;
  std::this_thread::sleep_for(kEarlierProcessTime);
  f.exchangeHeartbeat(Millis(5000));
  f.publish(5);
  for (int i = 0; i < 60; ++i) {
    f.sendRequest("intake", "", 5);
  }
  CHECK(f.target.accept(Millis(500)) == 5);
}

// Guards against more requests in a second than a cold target bears (FAILBACK): a restarted daemon
// doesn't know what its earlier process sent.
TEST_CASE("a daemon that has just started sends a cold target nothing for a second")
{
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(5000));
  for (int i = 0; i < 60; ++i) {
    f.sendRequest("intake", "", 5);
  }
  CHECK(f.target.accept(Millis(500)) == 0);
  CHECK(f.target.accept(Millis(1000)) == 5);
}

std::string responseTo(const std::string& aRequestId, const std::string& aBody)
{
  const std::string name =
    aRequestId.empty() ? "" : "Camphorcleat-Request-Id: " + aRequestId + "\r\n";
  return "HTTP/1.1 200 OK\r\n" + name + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

// Guards against a second copy of a response, sent late on a connection that is in use again, which
// reaches the next caller.
TEST_CASE("a late second copy of a response isn't the response to the next request")
{
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  f.sendRequest("intake", "", 5);
  REQUIRE(f.target.accept(Millis(300)) == 1);
  const std::string first = responseTo("9-" + std::to_string(f.counter), "first");
  f.target.write(first);
  REQUIRE(f.responseBody(Millis(2000)) == "first");
  f.sendRequest("intake", "", 5);
  REQUIRE(f.target.accept(Millis(300)) == 1); // The response named its request.
  f.target.write(first);
  CHECK_FALSE(f.responseBody(Millis(200)));
  f.target.write(responseTo("9-" + std::to_string(f.counter), "second"));
  CHECK(f.responseBody(Millis(2000)) == "second");
}

TEST_CASE("a connection isn't used again after a response that doesn't name its request")
{
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  f.sendRequest("intake", "", 5);
  REQUIRE(f.target.accept(Millis(300)) == 1);
  f.target.write(responseTo("", "first"));
  REQUIRE(f.responseBody(Millis(2000)) == "first");
  f.sendRequest("intake", "", 5);
  CHECK(f.target.accept(Millis(300)) == 2);
}

// Guards against requests that run after their caller has left, because the time that they spent
// between the daemons isn't counted.
TEST_CASE("the time that a request waited on its way is subtracted from its deadline")
{
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  f.sendRequest("intake", "", 5, Millis(2500)); // 500 ms are left.
  REQUIRE(f.target.accept(Millis(100)) == 1);
  const auto late = f.failure(Millis(1500)); // The owner cancels the run at the deadline.
  REQUIRE(late);
  CHECK(late->outcome == wire::Outcome::Unknown);
  f.sendRequest("intake", "", 5, Millis(3500));
  const auto expired = f.failure(Millis(1000));
  REQUIRE(expired);
  CHECK(expired->outcome == wire::Outcome::NotRun);
  CHECK(expired->code == ErrorCode::DeadlineExceeded);
}

// Guards against requests that run after their caller has left, because they waited for the set-up
// of a link between the daemons.
TEST_CASE("the time that a request waited for its link to open is subtracted from its deadline")
{
  constexpr Millis kBusy{ 1500 };
  std::unique_ptr<transport::PeerHub> ownerHub; // Outlives the owner's thread, which replies on it.
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  BusyHandler ownerHandler(f.router, kBusy);
  ownerHub = std::make_unique<transport::PeerHub>(hubConfig(1), ownerHandler);
  REQUIRE(ownerHub->start());
  f.router.setHub(ownerHub.get());
  FailureRecorder entryHandler;
  transport::PeerHub entryHub(hubConfig(2), entryHandler);
  REQUIRE(entryHub.start());
  entryHub.setAddress(1, "127.0.0.1:" + std::to_string(ownerHub->port()));
  entryHub.send(1, transport::Lane::Control, wire::JoinRequest{});
  REQUIRE(ownerHandler.waitUntilBusy(Millis(2000)));
  wire::RequestHead head;
  head.id = { 2, 1 };
  head.service = "intake";
  head.method = "GET";
  head.path = "/";
  head.deadline = Millis(1000);
  head.routeRevision = 5;
  head.sentAt = std::chrono::duration_cast<Micros>(timeSinceBoot());
  entryHub.send(1, transport::Lane::Data, head);
  const auto failed = entryHandler.failure(Millis(5000));
  CHECK(f.target.accept(Millis(100)) == 0);
  REQUIRE(failed);
  CHECK(failed->outcome == wire::Outcome::NotRun);
  CHECK(failed->code == ErrorCode::DeadlineExceeded);
}

// Guards against a response that its owner counts as finished and its entry never gets (LOST),
// because the owner's daemon stops at once.
TEST_CASE("a finished response reaches its entry although the owner's daemon stops")
{
  using transport::testing::waitFor;
  const int round = GENERATE(range(0, 5)); // The loss depends on the threads' timing.
  CAPTURE(round);
  std::unique_ptr<transport::PeerHub> ownerHub; // Outlives the owner's thread, which replies on it.
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  ownerHub = std::make_unique<transport::PeerHub>(hubConfig(1), f.router);
  REQUIRE(ownerHub->start());
  f.router.setHub(ownerHub.get());
  ResponseCounter counter;
  transport::PeerHub entryHub(hubConfig(2), counter);
  REQUIRE(entryHub.start());
  entryHub.setAddress(1, "127.0.0.1:" + std::to_string(ownerHub->port()));
  wire::RequestHead head;
  head.id = { 2, 1 };
  head.service = "intake";
  head.method = "GET";
  head.path = "/";
  head.deadline = Millis(5000);
  head.routeRevision = 5;
  head.sentAt = std::chrono::duration_cast<Micros>(timeSinceBoot());
  const auto sent = entryHub.send(1, transport::Lane::Data, head);
  REQUIRE(f.target.accept(Millis(2000)) == 1);
  const std::string body(200U << 10U, 'r');
  f.target.write(responseTo("2-1", body));
  std::atomic<bool> isStopping{ false };
  std::thread sender([&] { // Parts of other requests, which the owner ignores.
    wire::BodyChunk other;
    other.id = { 2, 2 };
    other.data = Bytes(body);
    while (!isStopping) {
      entryHub.reply(sent.link, other);
    }
  });
  const bool isFinished = waitFor([&] { return f.owner.openRequests() == 0; });
  ownerHub->stop();
  isStopping = true;
  sender.join();
  CHECK(isFinished);
  CHECK(waitFor([&] { return counter.isLost(); }));
  CHECK(counter.bytes() == body.size());
  CHECK(counter.hasEnded());
}

// Guards against work for a caller that has left (GONE): the cancellation already waits behind the
// request when the owner's thread handles the request.
TEST_CASE("a request whose cancellation arrived before it was handled isn't sent to the target")
{
  constexpr std::uint64_t kMessagesBetween = 1000;
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  f.sendRequest("intake", "", 5);
  REQUIRE(f.target.accept(Millis(300)) == 1);
  REQUIRE(f.target.read(Millis(50)).find("GET / ") == 0);
  f.target.write(responseTo("9-" + std::to_string(f.counter), "first"));
  REQUIRE(f.responseBody(Millis(2000)) == "first"); // The connection is kept.
  std::promise<void> isBusy;
  std::promise<void> release;
  f.push(TargetDeregistration{ "other", std::nullopt, [&](bool) {
                                isBusy.set_value();
                                release.get_future().wait();
                              } });
  REQUIRE(isBusy.get_future().wait_for(Millis(2000)) == std::future_status::ready);
  f.sendRequest("intake", "", 5);
  const RequestId id{ 9, f.counter };
  for (std::uint64_t i = 0; i < kMessagesBetween; ++i) {
    f.push(
      ReceivedMessage{ kLocalLink, 1, wire::Credit{ { 8, i }, wire::Direction::ToCaller, 1 } });
  }
  f.send(wire::CancelRequest{ id });
  release.set_value();
  CHECK(f.target.read(Millis(300)).empty());
  CHECK(f.target.accept(Millis(50)) == 1);
}

// Guards against work for a caller that has left (GONE): the Hello of a new link, which is the
// first sample of its clocks, waited as long as the request behind it.
TEST_CASE("the time that a request waited together with the hello of its link is subtracted")
{
  using transport::testing::BlockingSocket;
  constexpr Millis kBusy{ 1500 };
  std::unique_ptr<transport::PeerHub> ownerHub; // Outlives the owner's thread, which replies on it.
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  BusyHandler ownerHandler(f.router, kBusy);
  ownerHub = std::make_unique<transport::PeerHub>(hubConfig(1), ownerHandler);
  REQUIRE(ownerHub->start());
  f.router.setHub(ownerHub.get());
  FailureRecorder otherHandler;
  transport::PeerHub otherHub(hubConfig(3), otherHandler);
  REQUIRE(otherHub.start());
  otherHub.setAddress(1, "127.0.0.1:" + std::to_string(ownerHub->port()));

  BlockingSocket entry(ownerHub->port());
  entry.write(kDataLaneUpgrade);
  REQUIRE(entry.readUntil("fleet").find("101") != std::string::npos); // Up to the owner's Hello.
  otherHub.send(1, transport::Lane::Control, wire::JoinRequest{});
  REQUIRE(ownerHandler.waitUntilBusy(Millis(2000)));
  wire::Hello hello{ 2, 1002, "fleet" };
  hello.sentAt = std::chrono::duration_cast<Micros>(timeSinceBoot());
  wire::RequestHead head;
  head.id = { 2, 1 };
  head.service = "intake";
  head.method = "GET";
  head.path = "/";
  head.deadline = Millis(1000);
  head.routeRevision = 5;
  head.sentAt = hello.sentAt;
  entry.write(clientFrame(wire::encodePeerMessage(hello)) +
              clientFrame(wire::encodePeerMessage(head)));
  CHECK(f.target.accept(kBusy + Millis(500)) == 0);
  CHECK(entry.readUntil("deadline").find("deadline") != std::string::npos);
  ownerHub->stop(); // Before its handler is destroyed.
}

// Guards against work for callers that have left (GONE): a link was dialed while the way to the
// owner was full, so its Hello waited on its way as long as the request behind it.
TEST_CASE("the time that a request waited on its way together with the hello of its link is "
          "subtracted")
{
  using transport::testing::BlockingSocket;
  constexpr Millis kOnTheWay{ 1500 };
  std::unique_ptr<transport::PeerHub> ownerHub; // Outlives the owner's thread, which replies on it.
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  ownerHub = std::make_unique<transport::PeerHub>(hubConfig(1), f.router);
  REQUIRE(ownerHub->start());
  f.router.setHub(ownerHub.get());

  BlockingSocket entry(ownerHub->port());
  entry.write(kDataLaneUpgrade);
  REQUIRE(entry.readUntil("fleet").find("101") != std::string::npos);
  wire::Hello hello{ 2, 1002, "fleet" };
  hello.sentAt = std::chrono::duration_cast<Micros>(timeSinceBoot());
  wire::RequestHead head;
  head.id = { 2, 1 };
  head.service = "intake";
  head.method = "GET";
  head.path = "/";
  head.deadline = Millis(1000);
  head.routeRevision = 5;
  head.sentAt = hello.sentAt;
  std::this_thread::sleep_for(kOnTheWay);
  entry.write(clientFrame(wire::encodePeerMessage(hello)) +
              clientFrame(wire::encodePeerMessage(head)));
  CHECK(f.target.accept(Millis(300)) == 0);
  CHECK(entry.readUntil("deadline").find("deadline") != std::string::npos);
  ownerHub->stop(); // Before its handler is destroyed.
}

// Guards against work for a caller that has left (GONE): the cancellation lies unread in the
// socket, behind its request and more than one read.
TEST_CASE("a request whose cancellation waits unread behind it isn't sent to the target")
{
  using transport::testing::BlockingSocket;
  constexpr Millis kBusy{ 1000 };
  constexpr std::uint64_t kMessagesBetween = 3000;
  std::unique_ptr<transport::PeerHub> ownerHub; // Outlives the owner's thread, which replies on it.
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  BusyHandler ownerHandler(f.router, kBusy);
  ownerHub = std::make_unique<transport::PeerHub>(hubConfig(1), ownerHandler);
  REQUIRE(ownerHub->start());
  f.router.setHub(ownerHub.get());
  FailureRecorder otherHandler;
  transport::PeerHub otherHub(hubConfig(3), otherHandler);
  REQUIRE(otherHub.start());
  otherHub.setAddress(1, "127.0.0.1:" + std::to_string(ownerHub->port()));

  BlockingSocket entry(ownerHub->port());
  entry.write(kDataLaneUpgrade);
  REQUIRE(entry.readUntil("fleet").find("101") != std::string::npos);
  wire::Hello hello{ 2, 1002, "fleet" };
  hello.sentAt = std::chrono::duration_cast<Micros>(timeSinceBoot());
  entry.write(clientFrame(wire::encodePeerMessage(hello)));
  otherHub.send(1, transport::Lane::Control, wire::JoinRequest{});
  REQUIRE(ownerHandler.waitUntilBusy(Millis(2000)));
  wire::RequestHead head;
  head.id = { 2, 1 };
  head.service = "intake";
  head.method = "GET";
  head.path = "/";
  head.deadline = Millis(20'000);
  head.routeRevision = 5;
  head.sentAt = std::chrono::duration_cast<Micros>(timeSinceBoot());
  std::string frames = clientFrame(wire::encodePeerMessage(head));
  for (std::uint64_t i = 0; i < kMessagesBetween; ++i) {
    frames +=
      clientFrame(wire::encodePeerMessage(wire::Credit{ { 8, i }, wire::Direction::ToCaller, 1 }));
  }
  entry.write(frames + clientFrame(wire::encodePeerMessage(wire::CancelRequest{ head.id })));
  CHECK(f.target.accept(kBusy + Millis(500)) == 0);
  head.id = { 2, 2 };
  entry.write(clientFrame(wire::encodePeerMessage(head)));
  CHECK(f.target.accept(Millis(500)) == 1);
  ownerHub->stop(); // Before its handler is destroyed.
}

// Guards against work for callers that have left (GONE): bodies of refused requests filled the
// owner's link, so that cancellations arrived seconds late.
TEST_CASE("the body of a request is asked for when the request is accepted, not if it is refused")
{
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  const auto firstReply = [&](const std::string& aService) {
    wire::RequestHead head;
    head.id = { 9, ++f.counter };
    head.service = aService;
    head.method = "PUT";
    head.path = "/";
    head.hasBody = true;
    head.contentLength = 60'000;
    head.awaitsBodyCredit = true;
    head.deadline = Millis(30'000);
    head.routeRevision = 5;
    f.push(ReceivedMessage{ kLocalLink, 1, head });
    const auto message = f.rings.entry.popUntil(Clock::now() + Millis(2000));
    REQUIRE(message);
    return std::get<ReceivedMessage>(*message).message;
  };
  const auto accepted = firstReply("intake");
  const auto* credit = std::get_if<wire::Credit>(&accepted);
  REQUIRE(credit != nullptr);
  CHECK(credit->bytes == 60'000 - kUnsolicitedBytes);
  const auto refused = firstReply("lookup");
  CHECK(std::holds_alternative<wire::RequestFailed>(refused));
  CHECK_FALSE(f.rings.entry.popUntil(Clock::now() + Millis(100)));
}

// Guards against work for callers that have left (GONE) and sound links that are closed for silence
// (LOST): the bodies of the accepted requests filled the owner's link for seconds.
TEST_CASE("the bodies that an owner asks for at a time take its link for a fraction of a second")
{
  constexpr int kUploads = 28;
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  std::uint64_t credit = 0;
  for (int i = 0; i < kUploads; ++i) {
    wire::RequestHead head;
    head.id = { 9, ++f.counter };
    head.service = "intake";
    head.method = "PUT";
    head.path = "/";
    head.hasBody = true;
    head.contentLength = 60'000;
    head.awaitsBodyCredit = true;
    head.deadline = Millis(30'000);
    head.routeRevision = 5;
    f.push(ReceivedMessage{ kLocalLink, 1, head });
  }
  while (const auto message = f.rings.entry.popUntil(Clock::now() + Millis(300))) {
    const auto& received = std::get<ReceivedMessage>(*message).message;
    if (const auto* it = std::get_if<wire::Credit>(&received)) {
      credit += it->bytes;
    }
  }
  CHECK(credit > 0);
  CHECK(credit <= kLinkBytesPerSecond / 4);
}

// Guards against keys that are passed on while a draining target, which accepts no connections any
// more, still runs a request for them.
TEST_CASE("a target that refuses connections has not ended while it runs a request")
{
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  f.sendRequest("intake", "", 5);
  REQUIRE(f.target.accept(Millis(300)) == 1);
  f.target.closeListener();
  f.push(TargetDeregistration{ "i-1", std::nullopt, [](bool) {} });
  CHECK_FALSE(f.waitForTargetEnd(Millis(700)));
  f.target.closeConnections();
  CHECK(f.waitForTargetEnd(Millis(1000)));
}

// Guards against truncating a response because the target's process ended after writing it.
TEST_CASE("a response that a target wrote before its process ended reaches the entry completely")
{
  constexpr std::size_t kBytes = 400'000; // More than one window, so the owner waits for credit.
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  f.sendRequest("intake", "", 5);
  REQUIRE(f.target.accept(Millis(300)) == 1);
  f.target.respondAndEnd(kBytes);
  f.deregister("i-1");
  REQUIRE(f.agentEvent<fleet::agent::TargetLeaving>(Millis(1000)));
  std::this_thread::sleep_for(Millis(100)); // Time for the probe to find the port closed.
  std::size_t arrived = 0;
  bool isWhole = false;
  const TimePoint end = Clock::now() + Millis(2000);
  while (auto message = f.rings.entry.popUntil(end)) {
    const auto* peer = std::get_if<ReceivedMessage>(&*message);
    REQUIRE(peer != nullptr);
    REQUIRE_FALSE(std::holds_alternative<wire::RequestFailed>(peer->message));
    if (const auto* chunk = std::get_if<wire::BodyChunk>(&peer->message)) {
      arrived += chunk->data.size();
      isWhole = chunk->isLast;
      f.push(ReceivedMessage{
        kLocalLink, 1, wire::Credit{ chunk->id, wire::Direction::ToCaller, chunk->data.size() } });
    }
    if (isWhole) {
      break;
    }
  }
  CHECK(isWhole);
  CHECK(arrived == kBytes);
}

// Guards against an acknowledgement that binds only this process of the daemon (DRAIN): a kill
// right after it would leave the target in use.
TEST_CASE("a deregistration is acknowledged once the fleet's state says that the target is leaving")
{
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  auto acknowledged = f.deregister("i-1");
  const auto leaving = f.agentEvent<fleet::agent::TargetLeaving>(Millis(1000));
  REQUIRE(leaving);
  CHECK(leaving->process == wire::TargetProcess{ "i-1", 0 });
  CHECK(acknowledged.wait_for(Millis(300)) == std::future_status::timeout);
  f.publishLeaving(6, leaving->process);
  REQUIRE(acknowledged.wait_for(Millis(300)) == std::future_status::ready);
  CHECK(acknowledged.get());
}

TEST_CASE("a deregistration that can't be recorded isn't acknowledged, but stops new requests")
{
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  auto acknowledged = f.deregister("i-1");
  f.sendRequest("intake", "", 5);
  const auto refusal = f.failure(Millis(1000));
  REQUIRE(refusal);
  CHECK(refusal->code == ErrorCode::Draining);
  REQUIRE(acknowledged.wait_for(Millis(2000)) == std::future_status::ready);
  CHECK_FALSE(acknowledged.get());
  // Nothing is known about a process of another name that doesn't state its start time.
  CHECK_FALSE(f.deregister("i-2").get());
}

TEST_CASE("a heartbeat that says that the target drains is acknowledged once that is recorded")
{
  for (const bool isRecorded : { true, false }) {
    Fixture f;
    f.publish(5);
    f.exchangeHeartbeat(Millis(0));
    auto result = std::make_shared<std::promise<bool>>();
    TargetHeartbeat heartbeat;
    heartbeat.announcement.service = "intake";
    heartbeat.announcement.slots = 100;
    heartbeat.announcement.instance = "i-1";
    heartbeat.sequence = ++f.counter;
    heartbeat.isDraining = true;
    heartbeat.reply = [result](const fleet::GrantResponse&) { result->set_value(true); };
    heartbeat.refuse = [result] { result->set_value(false); };
    f.push(heartbeat);
    auto acknowledged = result->get_future();
    REQUIRE(f.agentEvent<fleet::agent::TargetLeaving>(Millis(1000)));
    CHECK(acknowledged.wait_for(Millis(300)) == std::future_status::timeout);
    if (isRecorded) {
      f.publishLeaving(6, { "i-1", 0 });
    }
    REQUIRE(acknowledged.wait_for(Millis(2000)) == std::future_status::ready);
    CHECK(acknowledged.get() == isRecorded);
  }
}

// Guards against requests to a server that has left (DRAIN): the daemon restarted meanwhile and
// gets a heartbeat late that the server sent before it left.
TEST_CASE("after a restart, a heartbeat doesn't bring a target back that has left")
{
  for (const bool hasViewFirst : { true, false }) {
    Fixture f;
    f.publish(5);
    if (hasViewFirst) {
      f.publishLeaving(6, { "i-1", 0 });
    }
    f.exchangeHeartbeat(Millis(0));
    if (!hasViewFirst) {
      f.publishLeaving(6, { "i-1", 0 });
    }
    std::this_thread::sleep_for(Millis(100));
    f.sendRequest("intake", "", 6);
    const auto refusal = f.failure(Millis(1000));
    REQUIRE(refusal);
    CHECK(refusal->code == ErrorCode::Draining);
    CHECK(f.target.accept(Millis(50)) <= 1); // The probe.
    // The next process of the target is in use at once.
    f.exchangeHeartbeat(Millis(0), "intake", "i-2");
    f.sendRequest("intake", "", 6);
    CHECK_FALSE(f.failure(Millis(100)));
  }
}

// Guards against requests that run in a zone that operators have taken out (EVAC): they waited at
// the owner, or for a connection to the target.
TEST_CASE("an owner refuses requests while the zones of all targets of its service are out")
{
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  const auto state = f.view.state();
  const auto publishZone = [&](Revision aRevision, bool aIsOut) {
    auto model = std::make_shared<fleet::FleetModel>(*state->model);
    wire::Node node;
    node.id = f.settings.id;
    node.incarnation = state->incarnation;
    node.zone = "z";
    node.target.service = "intake";
    model->apply(wire::NodeSet{ node });
    model->apply(wire::ZoneSet{ wire::Zone{ "z", aIsOut, aRevision } });
    f.view.publish({ model, aRevision, state->incarnation });
    f.push(ViewPublished{});
  };
  publishZone(6, false);
  f.sendRequest("intake", "", 6);
  CHECK_FALSE(f.failure(Millis(100)));
  publishZone(7, true);
  f.sendRequest("intake", "", 7);
  const auto refusal = f.failure(Millis(500));
  REQUIRE(refusal);
  CHECK(refusal->outcome == wire::Outcome::NotRun);
  CHECK(refusal->code == ErrorCode::ZoneOut);
  publishZone(8, false);
  f.sendRequest("intake", "", 8);
  CHECK_FALSE(f.failure(Millis(100)));
}

// Guards against requests that stay at an owner for an entry whose daemon ends (LOST, issue 44).
TEST_CASE("a withdrawn request that waits for its key is refused as not run")
{
  Fixture f;
  f.publishGrants(5, 7, 41);
  f.exchangeHeartbeat(Millis(0), "lookup");
  f.publishGrants(6, 7, 43);
  f.sendRequest("lookup", "", 6, Millis(0), "k");
  CHECK_FALSE(f.failure(Millis(50)));
  f.send(wire::WithdrawRequest{ { 9, f.counter }, false });
  const auto failed = f.failure(Millis(2000));
  REQUIRE(failed);
  CHECK(failed->outcome == wire::Outcome::NotRun);
  CHECK(failed->code == ErrorCode::Draining);
}

// Guards against runs that nobody waits for, and against the end of runs that can't be repeated
// (GONE, LOST, issue 59).
TEST_CASE("on a silent link, only runs of requests that may be repeated are cancelled")
{
  const bool isIdempotent = GENERATE(false, true);
  CAPTURE(isIdempotent);
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  wire::RequestHead head;
  head.id = { 9, ++f.counter };
  head.service = "intake";
  head.method = "GET";
  head.path = "/";
  head.isIdempotent = isIdempotent;
  head.contentLength = 0;
  head.deadline = Millis(30'000);
  head.routeRevision = 5;
  f.send(head);
  REQUIRE(f.target.accept(Millis(200)) == 1);
  f.push(LinkSilent{ kLocalLink });
  const auto failed = f.failure(isIdempotent ? Millis(2000) : Millis(200));
  REQUIRE(failed.has_value() == isIdempotent);
  if (failed) {
    CHECK(failed->outcome == wire::Outcome::Unknown);
  }
}

// Guards against runs that begin late in a stop, when the rest of a long body has arrived, and are
// cut off at its end (LOST, issue 44).
TEST_CASE("a withdrawn request is cancelled at its target only while its body is incomplete")
{
  const bool isComplete = GENERATE(false, true);
  CAPTURE(isComplete);
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  wire::RequestHead head;
  head.id = { 9, ++f.counter };
  head.service = "intake";
  head.method = "POST";
  head.path = "/";
  head.hasBody = true;
  head.deadline = Millis(30'000);
  head.routeRevision = 5;
  f.send(head);
  wire::BodyChunk chunk;
  chunk.id = head.id;
  chunk.direction = wire::Direction::ToTarget;
  chunk.data = Bytes("part");
  chunk.totalBytes = 4;
  chunk.isLast = isComplete;
  f.send(chunk);
  REQUIRE(f.target.accept(Millis(2000)) == 1);
  f.send(wire::WithdrawRequest{ head.id, !isComplete });
  const auto failed = f.failure(isComplete ? Millis(200) : Millis(2000));
  REQUIRE(failed.has_value() != isComplete);
  if (failed) {
    CHECK(failed->outcome == wire::Outcome::Unknown);
  }
}

TEST_CASE("after a planned stop has begun, no new request starts")
{
  Fixture f;
  f.publish(5);
  f.exchangeHeartbeat(Millis(0));
  f.push(BeginStop{});
  f.sendRequest("intake", "", 5);
  const auto failed = f.failure(Millis(2000));
  REQUIRE(failed);
  CHECK(failed->outcome == wire::Outcome::NotRun);
  CHECK(failed->code == ErrorCode::Draining);
}

} // namespace camphorcleat::daemon
