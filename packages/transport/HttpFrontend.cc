// Accepts connections, checks time limits and drains connections.

#include "transport/HttpFrontend.h"

#include <algorithm>
#include <cerrno>

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/Log.h"
#include "base/LoopDelay.h"
#include "transport/Endpoint.h"
#include "transport/HttpSession.h"
#include "transport/Ticker.h"

namespace camphorcleat::transport {

namespace asio = boost::asio;

namespace {

constexpr Millis kTickInterval{ 50 };
// accept() can fail because the process has no free file descriptor. An immediate retry would fail
// again.
constexpr Millis kAcceptRetryDelay{ 100 };
// Longest time for which the destructor waits for callers to read complete responses.
constexpr Millis kCloseLimit{ 200 };
constexpr std::size_t kDiscardBytes = 64U << 10U;

HttpLimits clampLimits(HttpLimits aLimits)
{
  aLimits.maxHeaderBytes = std::min(aLimits.maxHeaderBytes, HttpLimits::kMaxHeaderBytesLimit);
  return aLimits;
}

} // namespace

struct HttpFrontend::Impl
{
  asio::io_context& io;
  std::string address;
  std::shared_ptr<HttpFrontendState> state;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer acceptTimer;
  Ticker ticker;
  LoopDelay loopDelay{ kTickInterval };
  unsigned short port = 0;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);

  Impl(asio::io_context& aIo, std::string aAddress, HttpLimits aLimits, HttpHandler& aHandler)
    : io(aIo)
    , address(std::move(aAddress))
    , state(std::make_shared<HttpFrontendState>(clampLimits(aLimits), aHandler))
    , acceptor(aIo)
    , acceptTimer(aIo)
    , ticker(aIo, kTickInterval, [this](TimePoint aNow) { tick(aNow); })
  {
  }

  void accept()
  {
    acceptor.async_accept(
      [this, alive = isAlive](const boost::system::error_code& aEc, asio::ip::tcp::socket aSocket) {
        if (!*alive || !acceptor.is_open()) {
          return;
        }
        if (aEc) {
          retryAccept(aEc);
          return;
        }
        startSession(std::move(aSocket));
        accept();
      });
  }

  void retryAccept(const boost::system::error_code& aEc)
  {
    logEvent(LogLevel::Warning, "http_accept_failed", { { "reason", aEc.message() } });
    acceptTimer.expires_after(kAcceptRetryDelay);
    acceptTimer.async_wait([this, alive = isAlive](const boost::system::error_code&) {
      if (*alive && acceptor.is_open()) {
        accept();
      }
    });
  }

  void startSession(asio::ip::tcp::socket aSocket)
  {
    const bool isFull = state->sessions.size() >= state->limits.maxConnections;
    if (isFull) {
      // An idle connection is closed in favor of a new caller.
      closeIdleSession();
    }
    if (state->sessions.size() >= state->limits.maxConnections) {
      logEvent(LogLevel::Warning, "http_connection_refused",
               { { "reason", "connection limit reached" } });
      return; // Destroying aSocket closes it.
    }
    std::make_shared<HttpSession>(std::move(aSocket), state)->start();
    ticker.start();
  }

  void closeIdleSession()
  {
    const auto it = std::find_if(state->sessions.begin(), state->sessions.end(),
                                 [](const auto& aSession) { return aSession->isIdle(); });
    if (it != state->sessions.end()) {
      std::shared_ptr<HttpSession>(*it)->closeIfIdle(); // Removes the session from the set.
    }
  }

  void tick(TimePoint aNow)
  {
    loopDelay.tick(aNow);
    const std::vector<std::shared_ptr<HttpSession>> sessions(state->sessions.begin(),
                                                             state->sessions.end());
    if (sessions.empty()) {
      ticker.stop();
      loopDelay.reset();
      return;
    }
    for (const auto& it : sessions) {
      it->checkTimeouts(aNow);
    }
    pollForDisconnects(sessions);
  }

  // Finds callers that closed their connection while a request runs. A single poll() covers all of
  // them and also works while backpressure leaves input unread, when a read couldn't reach the end
  // of the stream.
  void pollForDisconnects(const std::vector<std::shared_ptr<HttpSession>>& aSessions)
  {
    std::vector<pollfd> fds;
    std::vector<std::shared_ptr<HttpSession>> polled;
    for (const auto& it : aSessions) {
      if (it->isRunning()) {
        fds.push_back(pollfd{ it->nativeSocket(), POLLRDHUP, 0 });
        polled.push_back(it);
      }
    }
    if (fds.empty() || ::poll(fds.data(), fds.size(), 0) <= 0) {
      return;
    }
    for (std::size_t i = 0; i < fds.size(); ++i) {
      if ((fds[i].revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0 && polled[i]->isRunning()) {
        polled[i]->handleDisconnect();
      }
    }
  }

  void closeAll()
  {
    *isAlive = false;
    state->isClosed = true;
    boost::system::error_code ec;
    acceptor.close(ec);
    const auto sessions = std::exchange(state->sessions, {});
    std::vector<pollfd> lingering;
    for (const auto& it : sessions) {
      if (it->isLingering()) {
        lingering.push_back(pollfd{ it->nativeSocket(), POLLIN, 0 });
      } else {
        it->close(false);
      }
    }
    awaitCallers(std::move(lingering));
    for (const auto& it : sessions) {
      it->close(false);
    }
    state->sessionCount = 0;
  }

  // Discards input until the callers close their connections or kCloseLimit has passed. A socket
  // that is closed earlier is reset if its caller is still sending, and the response is cut off.
  static void awaitCallers(std::vector<pollfd> aSockets)
  {
    const TimePoint end = Clock::now() + kCloseLimit;
    std::vector<char> buf(kDiscardBytes);
    const auto hasEnded = [&](const pollfd& aSocket) {
      if (aSocket.revents == 0) {
        return false;
      }
      const ssize_t n = ::recv(aSocket.fd, buf.data(), buf.size(), MSG_DONTWAIT);
      return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
    };
    for (TimePoint now = Clock::now(); !aSockets.empty() && now < end; now = Clock::now()) {
      const auto left = static_cast<int>(toMillis(end - now)) + 1;
      if (::poll(aSockets.data(), aSockets.size(), left) > 0) {
        aSockets.erase(std::remove_if(aSockets.begin(), aSockets.end(), hasEnded), aSockets.end());
      }
    }
  }
};

HttpFrontend::HttpFrontend(asio::io_context& aIo, std::string aListenAddress, HttpLimits aLimits,
                           HttpHandler& aHandler)
  : mImpl(std::make_unique<Impl>(aIo, std::move(aListenAddress), aLimits, aHandler))
{
}

HttpFrontend::~HttpFrontend()
{
  mImpl->closeAll();
}

Result<void> HttpFrontend::start()
{
  BOOST_LEAF_AUTO(endpoint, parseEndpoint(mImpl->address));
  boost::system::error_code ec;
  auto& acceptor = mImpl->acceptor;
  acceptor.open(endpoint.protocol(), ec);
  if (!ec) {
    acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  }
  if (!ec) {
    acceptor.bind(endpoint, ec);
  }
  if (!ec) {
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    boost::system::error_code ignored;
    acceptor.close(ignored);
    return fail(AddressError{ mImpl->address, "can't listen: " + ec.message() });
  }
  mImpl->port = acceptor.local_endpoint(ec).port();
  mImpl->accept();
  return {};
}

void HttpFrontend::setLimits(const HttpLimits& aLimits)
{
  mImpl->state->limits = clampLimits(aLimits);
}

void HttpFrontend::beginDrain()
{
  mImpl->state->isDraining = true;
  const auto sessions = mImpl->state->sessions;
  for (const auto& it : sessions) {
    it->closeIfIdle();
  }
}

void HttpFrontend::stopAccepting()
{
  boost::system::error_code ec;
  mImpl->acceptor.close(ec);
  mImpl->acceptTimer.cancel();
}

std::size_t HttpFrontend::openRequests() const
{
  return mImpl->state->openRequests;
}

std::size_t HttpFrontend::openConnections() const
{
  return mImpl->state->sessionCount;
}

unsigned short HttpFrontend::port() const
{
  return mImpl->port;
}

} // namespace camphorcleat::transport
