// Reuse of target connections.

#include "transport/TargetPool.h"

#include <algorithm>
#include <cerrno>

#include <sys/socket.h>

#include "transport/Endpoint.h"

namespace camphorcleat::transport {

namespace {

// Larger heads of responses are failures.
constexpr std::size_t kMaxBufferBytes = 128U << 10U;

enum class SocketState
{
  Quiet,
  Closed,
  Reset,
};

SocketState probe(int aSocket)
{
  char byte = 0;
  const ssize_t n = ::recv(aSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    return SocketState::Quiet;
  }
  return n < 0 ? SocketState::Reset : SocketState::Closed;
}

} // namespace

TargetSocket::TargetSocket(boost::asio::io_context& aIo, std::atomic<std::size_t>& aOpen)
  : socket(aIo)
  , buffer(kMaxBufferBytes)
  , mOpen(aOpen)
{
  ++mOpen;
}

TargetSocket::~TargetSocket()
{
  close();
}

void TargetSocket::close()
{
  boost::system::error_code ec;
  socket.close(ec);
  if (mIsCounted) {
    mIsCounted = false;
    --mOpen;
  }
}

TargetPool::TargetPool(boost::asio::io_context& aIo, TargetClientConfig aConfig)
  : io(aIo)
  , config(std::move(aConfig))
{
  orElse(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(parsed, parseEndpoint(config.address));
      endpoint = parsed;
      return true;
    },
    [](const ErrorInfo&) { return false; });
}

std::unique_ptr<TargetSocket> TargetPool::takeIdle()
{
  while (!idle.empty()) {
    auto socket = std::move(idle.back());
    idle.pop_back();
    const SocketState state = probe(socket->socket.native_handle());
    if (state == SocketState::Quiet) {
      return socket;
    }
    resets += state == SocketState::Reset ? 1 : 0;
  }
  return nullptr;
}

std::unique_ptr<TargetSocket> TargetPool::makeSocket()
{
  return open < config.maxConnections ? std::make_unique<TargetSocket>(io, open) : nullptr;
}

void TargetPool::giveBack(std::unique_ptr<TargetSocket> aSocket)
{
  if (!isClosed) {
    aSocket->idleSince = Clock::now();
    idle.push_back(std::move(aSocket));
  }
}

void TargetPool::closeIdle(TimePoint aNow)
{
  idle.erase(std::remove_if(idle.begin(), idle.end(),
                            [&](const std::unique_ptr<TargetSocket>& aSocket) {
                              return aNow - aSocket->idleSince >= config.idleTimeout;
                            }),
             idle.end());
}

} // namespace camphorcleat::transport
