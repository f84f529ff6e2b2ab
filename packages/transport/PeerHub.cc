// The hub's thread: it dials, exchanges Hello messages, pings, detects lost links and passes
// messages between PeerLinkTable and websocketpp.

#include "transport/PeerHub.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <future>
#include <map>
#include <utility>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/steady_timer.hpp>

#include "base/DutyThread.h"
#include "base/Log.h"
#include "base/LoopDelay.h"
#include "transport/Endpoint.h"
#include "transport/PeerLink.h"
#include "transport/Ticker.h"
#include "wire/WireCodec.h"

namespace camphorcleat::transport {

namespace {

using LinkPtr = std::shared_ptr<PeerLink>;

constexpr Millis kMinBackoff{ 20 };
constexpr Millis kMaxBackoff{ 500 };
constexpr Millis kMinTickInterval{ 5 };
constexpr const char* kPathPrefix = "/camphorcleat/";
constexpr const char* kHubStopped = "hub stopped";

// Each message class (Lane) has its own link to a peer. The path of the link's WebSocket handshake
// states the class: "/camphorcleat/control" or "/camphorcleat/data".
std::string lanePath(Lane aLane)
{
  return kPathPrefix + std::string(enumName(aLane));
}

// Returns the lane named in the path of a WebSocket handshake, or nullopt for any other path.
std::optional<Lane> laneFromPath(const std::string& aPath)
{
  const std::string prefix = kPathPrefix;
  return aPath.compare(0, prefix.size(), prefix) == 0
           ? enumFromName<Lane>(std::string_view(aPath).substr(prefix.size()))
           : std::nullopt;
}

// websocketpp detects the byte order on first use and stores it in a variable without a lock. Two
// hubs in one process would race on it, so the first use is forced here.
void initializeByteOrder()
{
  static const std::uint64_t sConverted = websocketpp::lib::net::_htonll(0);
  static_cast<void>(sConverted);
}

// Longest time for which requests that were read late wait for the bytes behind them.
constexpr Millis kMaxHold{ 200 };

// Limit of a stop: for writing what was accepted and for peers to read it.
constexpr Millis kStopLimit{ 200 };

// How often a time limit of one peer and lane may be doubled.
constexpr int kMaxTimeoutFactor = 8;

// Multiplies connectTimeout on the accepting side, where the peer isn't known before its Hello.
constexpr int kAcceptTimeoutFactor = 4;

// What earlier links of one peer and lane have shown.
struct PeerHistory
{
  Millis dialDelay{ 0 };
  TimePoint dialNotBefore;
  // Multiplies the time limits. A peer that is short of processor time responds late, and closing
  // and dialing links costs it more of that time than the responses do.
  int timeoutFactor = 1;
};

enum class LossReason
{
  Closed,   ///< By the peer, by an error or by this hub.
  TimedOut, ///< A time limit has passed without a response.
};

} // namespace

struct PeerHub::Impl
{
  const PeerHubConfig config;
  PeerHandler& handler;
  PeerLinkTable links;
  DutyThread thread{ "peer" };
  PeerServer server;
  PeerClient client;
  Ticker ticker;
  LoopDelay loopDelay;
  Duration maxHelloWait{ 0 }; // Of the link that the handler is told of.
  // Accessed on the hub's thread only. At most two entries per node.
  std::map<PeerLinkTable::Key, PeerHistory> histories;
  unsigned short port = 0;
  bool isStarted = false;
  // Accessed on the hub's thread only.
  bool isReceiving = true;
  bool isStopping = false;
  bool isStopped = false;
  boost::asio::steady_timer stopTimer{ thread.context() };
  std::promise<void> stopped;
  std::array<std::atomic<std::uint64_t>, std::variant_size_v<wire::PeerMessage>> sentBytes{};

  Impl(PeerHubConfig aConfig, PeerHandler& aHandler)
    : config(std::move(aConfig))
    , handler(aHandler)
    , links(config.maxBufferedBytes, config.derivedAddressPort)
    , ticker(thread.context(), tickInterval(config), [this](TimePoint aNow) { tick(aNow); })
    , loopDelay(tickInterval(config))
  {
  }

  static Millis tickInterval(const PeerHubConfig& aConfig)
  {
    constexpr int kTicksPerLimit = 5;
    const Millis shortest =
      std::min({ aConfig.pingInterval, aConfig.receiveTimeout, aConfig.connectTimeout });
    return std::max(shortest / kTicksPerLimit, kMinTickInterval);
  }

  // Accepted links.

  Result<void> listen()
  {
    BOOST_LEAF_AUTO(endpoint, parseEndpoint(config.listenAddress));
    websocketpp::lib::error_code ec;
    server.init_asio(&thread.context(), ec);
    if (!ec) {
      client.init_asio(&thread.context(), ec);
    }
    if (!ec) {
      server.set_reuse_addr(true);
      server.listen(endpoint, ec);
    }
    boost::system::error_code bec;
    if (!ec) {
      port = server.get_local_endpoint(bec).port();
      server.set_tcp_post_init_handler(
        [this](const websocketpp::connection_hdl& aHandle) { onAccepted(aHandle); });
      server.start_accept(ec);
    }
    if (ec) {
      return fail(AddressError{ config.listenAddress, "can't listen: " + ec.message() });
    }
    return {};
  }

  void onAccepted(const websocketpp::connection_hdl& aHandle)
  {
    websocketpp::lib::error_code ec;
    const auto socket = server.get_con_from_hdl(aHandle, ec);
    if (ec) {
      return;
    }
    const LinkPtr link = links.addAccepted();
    configureSocket(link, socket);
    setNoDelay(*socket);
    if (isStopping || links.acceptedCount() > config.maxAcceptedLinks) {
      closeLink(link, isStopping ? kHubStopped : "limit of accepted links reached");
      return;
    }
    socket->set_validate_handler([this, link](const websocketpp::connection_hdl&) {
      link->setUpSince = Clock::now();
      const auto lane = link->isLost ? std::nullopt : laneFromPath(link->socket->get_resource());
      if (lane) {
        links.setLane(*link, *lane);
      }
      return lane.has_value();
    });
  }

  // Dialed links.

  void scheduleDial(const LinkPtr& aLink)
  {
    const TimePoint due = histories[{ aLink->peer, aLink->lane }].dialNotBefore;
    if (due <= Clock::now()) {
      dial(aLink);
      return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(thread.context(), due);
    timer->async_wait([this, aLink, timer](const boost::system::error_code& aEc) {
      if (!aEc && !aLink->isLost) {
        dial(aLink);
      }
    });
  }

  void dial(const LinkPtr& aLink)
  {
    if (aLink->isLost) {
      return;
    }
    websocketpp::lib::error_code ec;
    const auto socket =
      client.get_connection("ws://" + links.address(aLink->peer) + lanePath(aLink->lane), ec);
    if (ec) {
      closeLink(aLink, "can't dial: " + ec.message());
      return;
    }
    configureSocket(aLink, socket);
    aLink->setUpSince = Clock::now();
    socket->set_tcp_post_init_handler([aLink](const websocketpp::connection_hdl&) {
      if (aLink->socket) {
        setNoDelay(*aLink->socket);
      }
    });
    client.connect(socket);
  }

  static void setNoDelay(PeerSocket& aSocket)
  {
    boost::system::error_code ec;
    aSocket.get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
  }

  // Accepted and dialed links.

  void configureSocket(const LinkPtr& aLink, const std::shared_ptr<PeerSocket>& aSocket)
  {
    aLink->socket = aSocket;
    aLink->handshakeDeadline = Clock::now() + handshakeTimeout(*aLink);
    aSocket->set_max_message_size(config.maxMessageBytes);
    aSocket->set_pong_timeout(0); // checkLiveness() applies receiveTimeout instead.
    aSocket->set_open_handshake_timeout(0);
    aSocket->set_open_handler(
      [this, aLink, socket = std::weak_ptr<PeerSocket>(aSocket)](
        const websocketpp::connection_hdl&) { onSocketOpen(aLink, socket.lock()); });
    const auto onClosed = [this, aLink](const websocketpp::connection_hdl&) {
      const auto ec = aLink->socket ? aLink->socket->get_ec() : websocketpp::lib::error_code();
      const bool isAnswer = aLink->hasStoppedSending && ec == websocketpp::transport::error::eof;
      closeLink(aLink, isAnswer ? kHubStopped : ec.message());
    };
    aSocket->set_fail_handler(onClosed);
    aSocket->set_close_handler(onClosed);
    aSocket->set_message_handler(
      [this, aLink](const websocketpp::connection_hdl&, const PeerSocket::message_ptr& aMessage) {
        onFrame(aLink, *aMessage);
      });
    aSocket->set_ping_handler([this, aLink](const websocketpp::connection_hdl&,
                                            const std::string&) { return maySendPong(*aLink); });
    aSocket->setOnWritten([this, link = std::weak_ptr<PeerLink>(aLink)] {
      if (const auto it = link.lock()) {
        onWritten(it);
      }
    });
  }

  int timeoutFactor(const PeerLink& aLink) const
  {
    const auto it = histories.find({ aLink.peer, aLink.lane });
    return it == histories.end() ? 1 : it->second.timeoutFactor;
  }

  Duration handshakeTimeout(const PeerLink& aLink) const
  {
    return config.connectTimeout * (aLink.wasDialed ? timeoutFactor(aLink) : kAcceptTimeoutFactor);
  }

  void doubleTimeouts(const PeerLink& aLink)
  {
    if (aLink.peer != kNoNode) {
      int& factor = histories[{ aLink.peer, aLink.lane }].timeoutFactor;
      factor = std::min(2 * factor, kMaxTimeoutFactor);
    }
  }

  // A link that stays open shows that shorter limits may suffice again.
  void halveTimeoutsIfStable(PeerLink& aLink, TimePoint aNow)
  {
    if (aNow - aLink.stableSince < config.timeoutHalvingInterval) {
      return;
    }
    aLink.stableSince = aNow;
    const auto it = histories.find({ aLink.peer, aLink.lane });
    if (it != histories.end()) {
      it->second.timeoutFactor = std::max(it->second.timeoutFactor / 2, 1);
    }
  }

  // Returns whether a ping is answered. If a write has been blocked for receiveTimeout, it isn't: a
  // peer that sends pings and reads nothing would otherwise grow the queue of pongs without bound.
  // During a stop, a write could fail and end the connection before the peer has read all.
  bool maySendPong(const PeerLink& aLink) const
  {
    if (isStopping) {
      return false;
    }
    const TimePoint since = aLink.socket ? aLink.socket->writingSince() : TimePoint::min();
    return since == TimePoint::max() || Clock::now() - since < config.receiveTimeout;
  }

  void onWritten(const LinkPtr& aLink)
  {
    if (!aLink->socket) {
      return;
    }
    links.setSocketBytes(*aLink, aLink->socket->get_buffered_amount());
    if (isStopping) {
      stopSendingSoon(aLink);
    }
  }

  void onSocketOpen(const LinkPtr& aLink, const std::shared_ptr<PeerSocket>& aSocket)
  {
    // websocketpp connects even if the link was closed while it resolved the address.
    if (aLink->isLost) {
      closeSocket(aSocket);
      return;
    }
    wire::Hello hello{ config.self, config.incarnation, config.fleet };
    hello.sentAt = std::chrono::duration_cast<Micros>(timeSinceBoot());
    sendFrame(aLink, wire::encodePeerMessage(hello));
  }

  void onFrame(const LinkPtr& aLink, const PeerSocket::message_type& aFrame)
  {
    if (aLink->isLost || !isReceiving) {
      return;
    }
    if (aFrame.get_opcode() != websocketpp::frame::opcode::binary) {
      closeLink(aLink, "text frame received");
      return;
    }
    std::string fault;
    auto message = orElse(
      [&]() -> Result<wire::PeerMessage> { return wire::decodePeerMessage(aFrame.get_payload()); },
      [&](const ErrorInfo& aInfo) {
        fault = aInfo.message.empty() ? "undecodable message" : aInfo.message;
        return wire::PeerMessage();
      });
    if (!fault.empty()) {
      closeLink(aLink, fault);
      return;
    }
    const auto* hello = std::get_if<wire::Hello>(&message);
    if ((hello != nullptr) == aLink->isOpen) {
      closeLink(aLink, aLink->isOpen ? "second hello received" : "message before hello received");
    } else if (hello != nullptr) {
      onHello(aLink, *hello);
    } else if (std::holds_alternative<wire::Goodbye>(message)) {
      aLink->hasPeerSaidGoodbye = true;
      closeLink(aLink, "peer said goodbye");
    } else {
      links.recordRequestEvent(*aLink, requestEventOf(message));
      deliverOrHold(aLink, std::move(message));
    }
  }

  // The cancellation of a request that was read late may have arrived as well, unread. So the
  // messages of the link are held from such a request on until what has arrived is read.
  void deliverOrHold(const LinkPtr& aLink, wire::PeerMessage aMessage)
  {
    const TimePoint now = Clock::now();
    const bool isLateRequest = std::holds_alternative<wire::RequestHead>(aMessage) &&
                               loopDelay.maxUnread(now) > Duration::zero();
    if (aLink->held.empty() && !isLateRequest) {
      handler.onMessage(aLink->id, aLink->peer, aLink->lane, std::move(aMessage));
      return;
    }
    const auto* cancel = std::get_if<wire::CancelRequest>(&aMessage);
    if (cancel != nullptr && removeHeld(*aLink, cancel->id)) {
      return;
    }
    if (aLink->held.empty()) {
      thread.post([this, aLink] { releaseHeld(aLink, false); });
    }
    aLink->held.push_back({ std::move(aMessage), now });
  }

  // Removes a request that is held. The receiver ignores parts of its body.
  static bool removeHeld(PeerLink& aLink, const RequestId& aId)
  {
    const auto it =
      std::find_if(aLink.held.begin(), aLink.held.end(), [&](const HeldMessage& aHeld) {
        const auto* head = std::get_if<wire::RequestHead>(&aHeld.message);
        return head != nullptr && head->id == aId;
      });
    if (it == aLink.held.end()) {
      return false;
    }
    aLink.held.erase(it);
    return true;
  }

  // aWasRead: nothing was unread in the previous call. The bytes that it found read may still be in
  // a completed read operation, whose handler runs before this call.
  void releaseHeld(const LinkPtr& aLink, bool aWasRead)
  {
    if (aLink->isLost || aLink->held.empty()) {
      return;
    }
    boost::system::error_code ec;
    const bool isRead = aLink->socket->get_raw_socket().available(ec) == 0 || ec;
    const bool mayHold = Clock::now() - aLink->held.front().readAt < kMaxHold;
    if (mayHold && !(isRead && aWasRead)) {
      thread.post([this, aLink, isRead] { releaseHeld(aLink, isRead); });
      return;
    }
    for (auto& it : std::exchange(aLink->held, {})) {
      handler.onMessage(aLink->id, aLink->peer, aLink->lane, std::move(it.message));
    }
  }

  void onHello(const LinkPtr& aLink, const wire::Hello& aHello)
  {
    const bool isWrongNode =
      aLink->wasDialed ? aHello.node != aLink->peer
                       : aHello.node == kNoNode ||
                           (aHello.node == config.self && aHello.incarnation != config.incarnation);
    if (aHello.fleet != config.fleet) {
      closeLink(aLink, "peer belongs to fleet '" + aHello.fleet + "'");
    } else if (isWrongNode) {
      closeLink(aLink, "peer identifies itself as node " + std::to_string(aHello.node));
    } else {
      aLink->handshakeDeadline = TimePoint::max();
      aLink->stableSince = Clock::now();
      if (aLink->wasDialed) {
        histories[{ aLink->peer, aLink->lane }].dialDelay = Millis(0);
      }
      const bool hasQueued = links.markOpen(*aLink, aHello.node);
      maxHelloWait = Clock::now() - aLink->setUpSince;
      handler.onLinkOpened(aLink->id, aLink->lane, aHello.sentAt, timeSinceBoot());
      if (hasQueued) {
        flush(aLink);
      }
    }
  }

  void flush(const LinkPtr& aLink)
  {
    if (aLink->isLost) {
      return;
    }
    for (auto& it : links.takeOutbox(*aLink)) {
      if (!sendFrame(aLink, it.bytes)) {
        return;
      }
    }
  }

  bool sendFrame(const LinkPtr& aLink, const std::string& aBytes)
  {
    aLink->lastSent = Clock::now();
    const auto ec = aLink->socket->send(aBytes, websocketpp::frame::opcode::binary);
    if (ec) {
      closeLink(aLink, "can't send: " + ec.message());
    }
    return !ec;
  }

  void tick(TimePoint aNow)
  {
    loopDelay.tick(aNow);
    const auto all = links.all();
    const Millis idleInterval = idlePingInterval(all);
    for (const auto& it : all) {
      if (it->isLost || !it->socket) {
        continue;
      }
      if (aNow >= it->handshakeDeadline) {
        closeLink(it, "connection setup timed out", LossReason::TimedOut);
      } else if (it->isOpen) {
        halveTimeoutsIfStable(*it, aNow);
        checkLiveness(it, aNow, idleInterval);
      }
    }
  }

  // Returns the interval between pings on an idle link that keeps to idlePingsPerSecond.
  Millis idlePingInterval(const std::vector<LinkPtr>& aLinks) const
  {
    const auto dialed = std::count_if(aLinks.begin(), aLinks.end(),
                                      [](const LinkPtr& aLink) { return aLink->wasDialed; });
    const Millis boundedInterval(std::chrono::seconds(dialed) / config.idlePingsPerSecond);
    return std::max(config.pingInterval, boundedInterval);
  }

  // Closes or retires the link if nothing was received for too long; otherwise sends a ping if one
  // is due.
  void checkLiveness(const LinkPtr& aLink, TimePoint aNow, Millis aIdleInterval)
  {
    const TimePoint lastReceived = aLink->socket->lastReceived();
    const Duration idleTime = aNow - lastReceived;
    if (aLink->isRetired) {
      closeIfDone(aLink, idleTime);
      return;
    }
    if (idleTime < config.pingInterval) {
      return;
    }
    // The accepting side expects bytes only while a request runs or after it has sent one of its
    // own, because its replies aren't acknowledged.
    const bool sendsRequests = aLink->wasDialed || aLink->expectsReplies;
    const bool expectsBytes =
      links.hasRunningRequests(*aLink) || (sendsRequests && aLink->lastSent > lastReceived);
    const bool hasUnansweredPing = aLink->firstUnansweredPing > lastReceived;
    const Duration responseTimeout =
      (config.receiveTimeout - config.pingInterval) * timeoutFactor(*aLink);
    const bool isLost = hasUnansweredPing
                          ? aNow - aLink->firstUnansweredPing >= responseTimeout
                          : !aLink->wasDialed && idleTime >= config.acceptedIdleTimeout;
    if (isLost && aLink->lane == Lane::Data && links.hasRunningRequests(*aLink)) {
      retire(aLink, idleTime);
      return;
    }
    if (isLost) {
      closeLink(aLink, silenceText(idleTime), LossReason::TimedOut);
      return;
    }
    const bool isDue = expectsBytes || (aLink->wasDialed && idleTime >= aIdleInterval);
    if (isDue && aNow - aLink->lastPing >= config.pingInterval) {
      aLink->lastPing = aNow;
      aLink->firstUnansweredPing = hasUnansweredPing ? aLink->firstUnansweredPing : aNow;
      websocketpp::lib::error_code ec;
      aLink->socket->ping("", ec);
    }
  }

  static std::string silenceText(Duration aIdleTime)
  {
    return "nothing received for " + std::to_string(toMillis(aIdleTime)) + " ms";
  }

  // Keeps a silent link for the requests that run on it: the peer may only be slow, and may be at
  // work on them.
  void retire(const LinkPtr& aLink, Duration aIdleTime)
  {
    aLink->isRetired = true;
    doubleTimeouts(*aLink);
    if (aLink->wasDialed) {
      delayNextDial(*aLink);
    }
    links.retire(*aLink);
    logEvent(LogLevel::Info, "peer_link_retired",
             { { "peer", std::to_string(aLink->peer) },
               { "dialed", aLink->wasDialed ? "yes" : "no" },
               { "reason", silenceText(aIdleTime) } });
    handler.onLinkSilent(aLink->id, aLink->peer);
  }

  void closeIfDone(const LinkPtr& aLink, Duration aIdleTime)
  {
    if (!links.hasRunningRequests(*aLink) && !hasUnwritten(*aLink->socket)) {
      closeLink(aLink, "all requests on the retired link have ended");
    } else if (aIdleTime >= config.acceptedIdleTimeout) {
      closeLink(aLink, silenceText(aIdleTime));
    }
  }

  // Closes a link and reports its loss, whichever side closed the connection. Later events of the
  // connection are ignored.
  void closeLink(const LinkPtr& aLink, const std::string& aReason,
                 LossReason aKind = LossReason::Closed)
  {
    if (aLink->isLost) {
      return;
    }
    aLink->isLost = true;
    aLink->held.clear();
    if (aKind == LossReason::TimedOut) {
      doubleTimeouts(*aLink);
    }
    logEvent(LogLevel::Info, "peer_link_lost",
             { { "peer", std::to_string(aLink->peer) },
               { "lane", std::string(enumName(aLink->lane)) },
               { "dialed", aLink->wasDialed ? "yes" : "no" },
               { "reason", aReason } });
    if (aLink->wasDialed) {
      delayNextDial(*aLink);
    }
    links.remove(*aLink);
    closeSocket(std::exchange(aLink->socket, nullptr));
    if (aLink->wasDialed || aLink->isOpen) {
      handler.onLinkLost(aLink->id, aLink->peer, aLink->lane, aLink->wasDialed,
                         !aLink->isOpen || aLink->hasPeerSaidGoodbye);
    }
    if (isStopping) {
      finishStop();
    }
  }

  void delayNextDial(const PeerLink& aLink)
  {
    PeerHistory& history = histories[{ aLink.peer, aLink.lane }];
    history.dialDelay = std::clamp(history.dialDelay * 2, kMinBackoff, kMaxBackoff);
    history.dialNotBefore = Clock::now() + history.dialDelay;
  }

  // Closes the connection without a closing handshake, which an unresponsive peer wouldn't
  // complete.
  static void closeSocket(const std::shared_ptr<PeerSocket>& aSocket)
  {
    if (aSocket) {
      boost::system::error_code ec;
      aSocket->get_raw_socket().close(ec);
    }
  }

  // Drops the messages that arrive from now on, and those that are held.
  void stopReceiving()
  {
    isReceiving = false;
    for (const auto& it : links.all()) {
      for (const auto& held : std::exchange(it->held, {})) {
        const RequestEvent event = requestEventOf(held.message);
        if (event.kind == RequestEvent::Kind::Started) {
          links.recordRequestEvent(*it, { RequestEvent::Kind::Ended, event.request });
        }
      }
    }
  }

  // Queues the last message of a link on which all requests that were received are answered.
  void sayGoodbye(const LinkPtr& aLink)
  {
    if (!aLink->wasDialed && aLink->lane == Lane::Data && !links.hasRunningRequests(*aLink)) {
      sendFrame(aLink, wire::encodePeerMessage(wire::Goodbye{}));
    }
  }

  // Stops the hub. The promise is fulfilled when all links are closed.
  void beginStop()
  {
    ticker.stop();
    websocketpp::lib::error_code ec;
    if (server.is_listening()) {
      server.stop_listening(ec);
    }
    isStopping = true;
    stopReceiving();
    stopTimer.expires_after(kStopLimit);
    stopTimer.async_wait([this](const boost::system::error_code& aEc) {
      for (const auto& it : aEc ? std::vector<LinkPtr>() : links.all()) {
        closeLink(it, "hub stopped before the peer has read all");
      }
    });
    for (const auto& it : links.all()) {
      if (!it->isOpen) {
        closeLink(it, kHubStopped);
        continue;
      }
      flush(it); // A sender may have queued a message and not posted its flush yet.
      if (!it->isLost) {
        sayGoodbye(it);
      }
      stopSendingSoon(it);
    }
    finishStop();
  }

  void finishStop()
  {
    if (!isStopped && links.isEmpty()) {
      isStopped = true;
      stopTimer.cancel();
      stopped.set_value();
    }
  }

  // Runs after writes that are queued: websocketpp queues the next write when one has ended.
  void stopSendingSoon(const LinkPtr& aLink)
  {
    thread.post([this, aLink] { stopSending(aLink); });
  }

  // Shuts down the sending side when all is written. The peer then reads to the end and closes.
  // Until then the connection stays open and is read, because closing a socket with unread input
  // resets it, and the peer could lose what it hasn't read.
  void stopSending(const LinkPtr& aLink)
  {
    if (aLink->isLost || aLink->hasStoppedSending || hasUnwritten(*aLink->socket)) {
      return;
    }
    aLink->hasStoppedSending = true;
    const bool isAwaited = mayBeUnread(*aLink->socket);
    boost::system::error_code ec;
    aLink->socket->get_raw_socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    if (ec || !isAwaited) {
      closeLink(aLink, kHubStopped);
    }
  }

  static bool hasUnwritten(const PeerSocket& aSocket)
  {
    return aSocket.get_buffered_amount() > 0 || aSocket.writingSince() != TimePoint::max();
  }

  // Returns whether the peer may still have to read something: the kernel hasn't delivered it, or
  // has done so only lately. So a stop doesn't wait for an unresponsive peer on a link that is idle
  // and gets no goodbye.
  static bool mayBeUnread(PeerSocket& aSocket)
  {
    int undelivered = 0;
    const bool isKnown =
      ::ioctl(aSocket.get_raw_socket().native_handle(), SIOCOUTQ, &undelivered) == 0;
    return !isKnown || undelivered > 0 || Clock::now() - aSocket.lastWritten() < kStopLimit;
  }

  SendStatus notifyThread(const PeerLinkTable::QueueResult& aQueued)
  {
    if (aQueued.needsDial) {
      thread.post([this, link = aQueued.link] { scheduleDial(link); });
    } else if (aQueued.needsFlush) {
      thread.post([this, link = aQueued.link] { flush(link); });
    }
    return aQueued.result.status;
  }
};

PeerHub::PeerHub(PeerHubConfig aConfig, PeerHandler& aHandler)
  : mImpl(std::make_unique<Impl>(std::move(aConfig), aHandler))
{
}

PeerHub::~PeerHub()
{
  stop();
}

Result<void> PeerHub::start()
{
  initializeByteOrder();
  BOOST_LEAF_CHECK(mImpl->listen());
  mImpl->isStarted = true;
  mImpl->thread.post([impl = mImpl.get()] { impl->loopDelay.tick(Clock::now()); });
  mImpl->ticker.start();
  mImpl->thread.start();
  return {};
}

void PeerHub::stopReceiving()
{
  if (!mImpl->isStarted) {
    return;
  }
  const auto done = std::make_shared<std::promise<void>>();
  mImpl->thread.post([impl = mImpl.get(), done] {
    impl->stopReceiving();
    done->set_value();
  });
  done->get_future().wait();
}

void PeerHub::stop()
{
  mImpl->links.close();
  if (std::exchange(mImpl->isStarted, false)) {
    mImpl->thread.post([impl = mImpl.get()] { impl->beginStop(); });
    mImpl->stopped.get_future().wait();
  }
  mImpl->thread.stop();
}

void PeerHub::setAddress(NodeId aNode, std::string aAddress)
{
  const auto old = mImpl->links.setAddress(aNode, std::move(aAddress));
  if (!old.empty()) {
    mImpl->thread.post([impl = mImpl.get(), old, aNode] {
      for (const auto& it : old) {
        impl->closeLink(it, "address changed");
      }
      impl->histories.erase({ aNode, Lane::Control });
      impl->histories.erase({ aNode, Lane::Data });
    });
  }
}

bool PeerHub::isConnected(NodeId aNode, Lane aLane) const
{
  return mImpl->links.isConnected({ aNode, aLane });
}

SendResult PeerHub::send(NodeId aNode, Lane aLane, const wire::PeerMessage& aMessage)
{
  std::string bytes = wire::encodePeerMessage(aMessage);
  if (bytes.size() > mImpl->config.maxMessageBytes) {
    return { SendStatus::TooLarge, 0 };
  }
  mImpl->sentBytes[aMessage.index()] += bytes.size();
  const auto queued =
    mImpl->links.queueForPeer({ aNode, aLane }, std::move(bytes), requestEventOf(aMessage));
  mImpl->notifyThread(queued);
  return queued.result;
}

SendResult PeerHub::sendOnOpenLink(NodeId aNode, Lane aLane, const wire::PeerMessage& aMessage)
{
  std::string bytes = wire::encodePeerMessage(aMessage);
  if (bytes.size() > mImpl->config.maxMessageBytes) {
    return { SendStatus::TooLarge, 0 };
  }
  mImpl->sentBytes[aMessage.index()] += bytes.size();
  const auto queued = mImpl->links.queueForOpenLink({ aNode, aLane }, std::move(bytes));
  mImpl->notifyThread(queued);
  return queued.result;
}

SendStatus PeerHub::reply(LinkId aLink, const wire::PeerMessage& aMessage)
{
  return replyAll({ aLink }, aMessage).front();
}

std::vector<SendStatus> PeerHub::replyAll(const std::vector<LinkId>& aLinks,
                                          const wire::PeerMessage& aMessage)
{
  const std::string bytes = wire::encodePeerMessage(aMessage);
  if (bytes.size() > mImpl->config.maxMessageBytes) {
    return std::vector<SendStatus>(aLinks.size(), SendStatus::TooLarge);
  }
  mImpl->sentBytes[aMessage.index()] += bytes.size() * aLinks.size();
  std::vector<SendStatus> out;
  out.reserve(aLinks.size());
  for (const LinkId it : aLinks) {
    out.push_back(
      mImpl->notifyThread(mImpl->links.queueForLink(it, bytes, requestEventOf(aMessage))));
  }
  return out;
}

Duration PeerHub::maxHelloWait() const
{
  return mImpl->maxHelloWait;
}

std::uint64_t PeerHub::sentBytes(std::size_t aMessageIndex) const
{
  return mImpl->sentBytes.at(aMessageIndex);
}

unsigned short PeerHub::port() const
{
  return mImpl->port;
}

} // namespace camphorcleat::transport
