// The hub's thread: dialing, Hello exchange, pings, silence, and the hand-over of messages between
// the table of links and websocketpp.

#include "transport/PeerHub.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "base/DutyThread.h"
#include "base/Log.h"
#include "transport/Endpoint.h"
#include "transport/PeerLink.h"
#include "transport/Ticker.h"
#include "wire/WireCodec.h"

namespace camphorcleat::transport {

namespace {

using LinkPtr = std::shared_ptr<PeerLink>;

constexpr Millis kMinBackoff{ 20 };
constexpr Millis kMaxBackoff{ 500 };
constexpr Millis kMinTick{ 5 };
constexpr const char* kPathPrefix = "/camphorcleat/";

std::string pathOf(Lane aLane)
{
  return kPathPrefix + std::string(enumName(aLane));
}

std::optional<Lane> laneOf(const std::string& aPath)
{
  const std::string prefix = kPathPrefix;
  return aPath.compare(0, prefix.size(), prefix) == 0
           ? enumFromName<Lane>(std::string_view(aPath).substr(prefix.size()))
           : std::nullopt;
}

// websocketpp finds out the byte order on first use and keeps it in a variable without a lock. With
// two hubs in one process that is a data race, so the first use happens here.
void prepareByteOrder()
{
  static const std::uint64_t sFirstUse = websocketpp::lib::net::_htonll(0);
  static_cast<void>(sFirstUse);
}

struct Backoff
{
  Millis delay{ 0 };
  TimePoint notBefore;
};

} // namespace

struct PeerHub::Impl
{
  const PeerHubConfig config;
  PeerHandler& handler;
  PeerLinks links;
  DutyThread thread{ "peer" };
  PeerServer server;
  PeerClient client;
  Ticker ticker;
  std::map<PeerLinks::Key, Backoff> backoffs; // Hub's thread only; at most two per node.
  unsigned short port = 0;
  bool isStarted = false;
  std::array<std::atomic<std::uint64_t>, std::variant_size_v<wire::PeerMessage>> sentBytes{};

  Impl(PeerHubConfig aConfig, PeerHandler& aHandler)
    : config(std::move(aConfig))
    , handler(aHandler)
    , links(config.maxBufferedBytes, config.derivedPort)
    , ticker(thread.context(), tickInterval(config), [this](TimePoint aNow) { tick(aNow); })
  {
  }

  static Millis tickInterval(const PeerHubConfig& aConfig)
  {
    constexpr int kTicksPerLimit = 5;
    const Millis shortest =
      std::min({ aConfig.pingInterval, aConfig.silenceLimit, aConfig.connectTimeout });
    return std::max(shortest / kTicksPerLimit, kMinTick);
  }

  // Accepted connections.

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
    prepare(link, socket);
    setNoDelay(*socket);
    if (links.acceptedCount() > config.maxAcceptedLinks) {
      lose(link, "too many connections");
      return;
    }
    socket->set_validate_handler([this, link](const websocketpp::connection_hdl&) {
      const auto lane = link->isLost ? std::nullopt : laneOf(link->socket->get_resource());
      if (lane) {
        links.setLane(*link, *lane);
      }
      return lane.has_value();
    });
  }

  // Dialed connections.

  void dialWhenDue(const LinkPtr& aLink)
  {
    const TimePoint due = backoffs[{ aLink->peer, aLink->lane }].notBefore;
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
      client.get_connection("ws://" + links.address(aLink->peer) + pathOf(aLink->lane), ec);
    if (ec) {
      lose(aLink, "can't dial: " + ec.message());
      return;
    }
    prepare(aLink, socket);
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

  // Common to both kinds.

  void prepare(const LinkPtr& aLink, const std::shared_ptr<PeerSocket>& aSocket)
  {
    aLink->socket = aSocket;
    aLink->setUpDeadline = Clock::now() + config.connectTimeout;
    aSocket->set_max_message_size(config.maxMessageBytes);
    aSocket->set_pong_timeout(0); // The hub judges silence itself.
    aSocket->set_open_handshake_timeout(0);
    aSocket->set_open_handler(
      [this, aLink, socket = std::weak_ptr<PeerSocket>(aSocket)](
        const websocketpp::connection_hdl&) { onSocketOpen(aLink, socket.lock()); });
    const auto onEnd = [this, aLink](const websocketpp::connection_hdl&) {
      lose(aLink, aLink->socket ? aLink->socket->get_ec().message() : "closed");
    };
    aSocket->set_fail_handler(onEnd);
    aSocket->set_close_handler(onEnd);
    aSocket->set_message_handler(
      [this, aLink](const websocketpp::connection_hdl&, const PeerSocket::message_ptr& aMessage) {
        onFrame(aLink, *aMessage);
      });
    aSocket->set_ping_handler([this, aLink](const websocketpp::connection_hdl&,
                                            const std::string&) { return mayAnswerPing(*aLink); });
    aSocket->setOnWritten([this, link = std::weak_ptr<PeerLink>(aLink)] {
      if (const auto it = link.lock()) {
        onWritten(*it);
      }
    });
  }

  // A peer that sends pings and reads nothing must not grow the queue of answers.
  bool mayAnswerPing(const PeerLink& aLink) const
  {
    const TimePoint since = aLink.socket ? aLink.socket->writingSince() : TimePoint::min();
    return since == TimePoint::max() || Clock::now() - since < config.silenceLimit;
  }

  void onWritten(PeerLink& aLink)
  {
    if (aLink.socket) {
      links.setSocketBytes(aLink, aLink.socket->get_buffered_amount());
    }
  }

  void onSocketOpen(const LinkPtr& aLink, const std::shared_ptr<PeerSocket>& aSocket)
  {
    if (aLink->isLost) { // Lost while websocketpp looked up the address: it connected regardless.
      closeSocket(aSocket);
      return;
    }
    sendFrame(
      aLink, wire::encodePeerMessage(wire::Hello{ config.self, config.incarnation, config.fleet }));
  }

  void onFrame(const LinkPtr& aLink, const PeerSocket::message_type& aFrame)
  {
    if (aLink->isLost) {
      return;
    }
    if (aFrame.get_opcode() != websocketpp::frame::opcode::binary) {
      lose(aLink, "text frame received");
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
      lose(aLink, fault);
      return;
    }
    const auto* hello = std::get_if<wire::Hello>(&message);
    if ((hello != nullptr) == aLink->isOpen) {
      lose(aLink, aLink->isOpen ? "second hello received" : "message before hello received");
    } else if (hello != nullptr) {
      onHello(aLink, *hello);
    } else {
      links.noteWork(*aLink, workNoteOf(message));
      handler.onMessage(aLink->id, aLink->peer, aLink->lane, std::move(message));
    }
  }

  void onHello(const LinkPtr& aLink, const wire::Hello& aHello)
  {
    const bool isWrongNode =
      aLink->wasDialed ? aHello.node != aLink->peer
                       : aHello.node == kNoNode ||
                           (aHello.node == config.self && aHello.incarnation != config.incarnation);
    if (aHello.fleet != config.fleet) {
      lose(aLink, "peer belongs to fleet '" + aHello.fleet + "'");
    } else if (isWrongNode) {
      lose(aLink, "peer says it is node " + std::to_string(aHello.node));
    } else {
      aLink->setUpDeadline = TimePoint::max();
      if (aLink->wasDialed) {
        backoffs[{ aLink->peer, aLink->lane }].delay = Millis(0);
      }
      if (links.open(*aLink, aHello.node)) {
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
      if (!sendFrame(aLink, it)) {
        return;
      }
    }
  }

  bool sendFrame(const LinkPtr& aLink, const std::string& aBytes)
  {
    aLink->lastSent = Clock::now();
    const auto ec = aLink->socket->send(aBytes, websocketpp::frame::opcode::binary);
    if (ec) {
      lose(aLink, "can't send: " + ec.message());
    }
    return !ec;
  }

  void tick(TimePoint aNow)
  {
    const auto all = links.all();
    const Millis idleInterval = idlePingInterval(all);
    for (const auto& it : all) {
      if (it->isLost || !it->socket) {
        continue;
      }
      if (aNow >= it->setUpDeadline) {
        lose(it, "set-up took too long");
      } else if (it->isOpen) {
        checkSilence(it, aNow, idleInterval);
      }
    }
  }

  Millis idlePingInterval(const std::vector<LinkPtr>& aLinks) const
  {
    const auto dialed = std::count_if(aLinks.begin(), aLinks.end(),
                                      [](const LinkPtr& aLink) { return aLink->wasDialed; });
    const Millis fair(std::chrono::seconds(dialed) / config.idlePingsPerSecond);
    return std::max(config.pingInterval, fair);
  }

  void checkSilence(const LinkPtr& aLink, TimePoint aNow, Millis aIdleInterval)
  {
    const TimePoint heard = aLink->socket->lastReceived();
    const Duration silence = aNow - heard;
    if (silence < config.pingInterval) {
      return;
    }
    // The accepting side expects something only while a request runs: its answers need none.
    const bool isExpecting = links.hasWork(*aLink) || (aLink->wasDialed && aLink->lastSent > heard);
    const bool isPinged = aLink->unansweredPing > heard;
    const bool isLost =
      isPinged ? aNow - aLink->unansweredPing >= config.silenceLimit - config.pingInterval
               : !aLink->wasDialed && silence >= config.abandonedLimit;
    if (isLost) {
      lose(aLink, "no bytes for " + std::to_string(toMillis(silence)) + " ms");
      return;
    }
    const bool isDue = isExpecting || (aLink->wasDialed && silence >= aIdleInterval);
    if (isDue && aNow - aLink->lastPing >= config.pingInterval) {
      aLink->lastPing = aNow;
      aLink->unansweredPing = isPinged ? aLink->unansweredPing : aNow;
      websocketpp::lib::error_code ec;
      aLink->socket->ping("", ec);
    }
  }

  // Ends a link, whoever ended the connection. Later events of the connection are ignored.
  void lose(const LinkPtr& aLink, const std::string& aReason)
  {
    if (aLink->isLost) {
      return;
    }
    aLink->isLost = true;
    logEvent(LogLevel::Info, "peer_link_lost",
             { { "peer", std::to_string(aLink->peer) },
               { "lane", std::string(enumName(aLink->lane)) },
               { "dialed", aLink->wasDialed ? "yes" : "no" },
               { "reason", aReason } });
    if (aLink->wasDialed) {
      noteBackoff(*aLink);
    }
    links.remove(*aLink);
    closeSocket(std::exchange(aLink->socket, nullptr));
    if (aLink->wasDialed || aLink->isOpen) {
      handler.onLinkLost(aLink->id, aLink->peer, aLink->lane, aLink->wasDialed, !aLink->isOpen);
    }
  }

  void noteBackoff(const PeerLink& aLink)
  {
    auto& backoff = backoffs[{ aLink.peer, aLink.lane }];
    backoff.delay = std::clamp(backoff.delay * 2, kMinBackoff, kMaxBackoff);
    backoff.notBefore = Clock::now() + backoff.delay;
  }

  // Without a closing handshake: the peer may be the one that doesn't answer.
  static void closeSocket(const std::shared_ptr<PeerSocket>& aSocket)
  {
    if (aSocket) {
      boost::system::error_code ec;
      aSocket->get_raw_socket().close(ec);
    }
  }

  void shutDown()
  {
    ticker.stop();
    websocketpp::lib::error_code ec;
    if (server.is_listening()) {
      server.stop_listening(ec);
    }
    for (const auto& it : links.all()) {
      lose(it, "hub stopped");
    }
  }

  SendStatus tellThread(const PeerLinks::Queued& aQueued)
  {
    if (aQueued.isNew) {
      thread.post([this, link = aQueued.link] { dialWhenDue(link); });
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
  prepareByteOrder();
  BOOST_LEAF_CHECK(mImpl->listen());
  mImpl->isStarted = true;
  mImpl->ticker.start();
  mImpl->thread.start();
  return {};
}

void PeerHub::stop()
{
  mImpl->links.close();
  if (std::exchange(mImpl->isStarted, false)) {
    mImpl->thread.post([impl = mImpl.get()] { impl->shutDown(); });
  }
  mImpl->thread.stop();
}

void PeerHub::setAddress(NodeId aNode, std::string aAddress)
{
  const auto old = mImpl->links.setAddress(aNode, std::move(aAddress));
  if (!old.empty()) {
    mImpl->thread.post([impl = mImpl.get(), old, aNode] {
      for (const auto& it : old) {
        impl->lose(it, "address changed");
      }
      impl->backoffs.erase({ aNode, Lane::Control });
      impl->backoffs.erase({ aNode, Lane::Data });
    });
  }
}

bool PeerHub::isLinked(NodeId aNode, Lane aLane) const
{
  return mImpl->links.isLinked({ aNode, aLane });
}

SendResult PeerHub::send(NodeId aNode, Lane aLane, const wire::PeerMessage& aMessage)
{
  std::string bytes = wire::encodePeerMessage(aMessage);
  if (bytes.size() > mImpl->config.maxMessageBytes) {
    return { SendStatus::TooLarge, 0 };
  }
  mImpl->sentBytes[aMessage.index()] += bytes.size();
  const auto queued =
    mImpl->links.queueForPeer({ aNode, aLane }, std::move(bytes), workNoteOf(aMessage));
  mImpl->tellThread(queued);
  return queued.result;
}

SendStatus PeerHub::reply(LinkId aLink, const wire::PeerMessage& aMessage)
{
  std::string bytes = wire::encodePeerMessage(aMessage);
  if (bytes.size() > mImpl->config.maxMessageBytes) {
    return SendStatus::TooLarge;
  }
  mImpl->sentBytes[aMessage.index()] += bytes.size();
  return mImpl->tellThread(
    mImpl->links.queueForLink(aLink, std::move(bytes), workNoteOf(aMessage)));
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
