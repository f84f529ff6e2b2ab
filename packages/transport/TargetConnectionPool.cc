// Reuse of connections to the target.

#include "transport/TargetConnectionPool.h"

#include <algorithm>
#include <cerrno>

#include <sys/socket.h>

#include "transport/Endpoint.h"

namespace camphorcleat::transport {

namespace {

// Limit of the bytes that are received and not parsed yet. A response with a larger head fails.
constexpr std::size_t kMaxBufferBytes = 128U << 10U;

enum class SocketState
{
  Usable,
  Unusable,
  Reset,
};

// Unusable: the target closed the connection, or bytes arrived without a request.
SocketState checkIdleSocket(int aSocket)
{
  char byte = 0;
  const ssize_t n = ::recv(aSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    return SocketState::Usable;
  }
  return n < 0 ? SocketState::Reset : SocketState::Unusable;
}

} // namespace

TargetConnection::TargetConnection(boost::asio::io_context& aIo,
                                   std::atomic<std::size_t>& aOpenCount)
  : socket(aIo)
  , buffer(kMaxBufferBytes)
  , mOpenCount(aOpenCount)
{
  ++mOpenCount;
}

TargetConnection::~TargetConnection()
{
  close();
}

void TargetConnection::close()
{
  boost::system::error_code ec;
  socket.close(ec);
  if (mIsCounted) {
    mIsCounted = false;
    --mOpenCount;
  }
}

TargetConnectionPool::TargetConnectionPool(boost::asio::io_context& aIo, TargetClientConfig aConfig)
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

std::unique_ptr<TargetConnection> TargetConnectionPool::acquireIdle()
{
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    const SocketState state = checkIdleSocket(connection->socket.native_handle());
    if (state == SocketState::Usable) {
      return connection;
    }
    connectionLosses += state == SocketState::Reset ? 1 : 0;
  }
  return nullptr;
}

std::unique_ptr<TargetConnection> TargetConnectionPool::createConnection()
{
  return openCount < config.maxConnections ? std::make_unique<TargetConnection>(io, openCount)
                                           : nullptr;
}

void TargetConnectionPool::release(std::unique_ptr<TargetConnection> aConnection)
{
  if (!isClosed) {
    aConnection->idleSince = Clock::now();
    idle.push_back(std::move(aConnection));
  }
}

void TargetConnectionPool::closeIdle(TimePoint aNow)
{
  idle.erase(std::remove_if(idle.begin(), idle.end(),
                            [&](const std::unique_ptr<TargetConnection>& aConnection) {
                              return aNow - aConnection->idleSince >= config.idleTimeout;
                            }),
             idle.end());
}

} // namespace camphorcleat::transport
