// Pool of the connections to the target. Internal to the package.

#ifndef CAMPHORCLEAT_TRANSPORT_TARGETCONNECTIONPOOL_H_
#define CAMPHORCLEAT_TRANSPORT_TARGETCONNECTIONPOOL_H_

#include <atomic>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "transport/TargetClient.h"

namespace camphorcleat::transport {

class HttpTargetExchange;

/// One connection, counted as open until it is closed or destroyed.
struct TargetConnection
{
  TargetConnection(boost::asio::io_context& aIo, std::atomic<std::size_t>& aOpenCount);
  ~TargetConnection();
  TargetConnection(const TargetConnection&) = delete;
  TargetConnection& operator=(const TargetConnection&) = delete;

  /// Closes the connection. The object must not be destroyed before its pending operations have
  /// ended.
  void close();

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  TimePoint idleSince;

private:
  std::atomic<std::size_t>& mOpenCount;
  bool mIsCounted = true;
};

/// State shared by a client and its exchanges. Only the two counters are thread-safe; everything
/// else is used on the io_context's thread only.
struct TargetConnectionPool
{
  TargetConnectionPool(boost::asio::io_context& aIo, TargetClientConfig aConfig);

  /// Returns the most recently used idle connection that is still usable, or nullptr if there is
  /// none. Connections that the target closed, or on which it sent bytes without a request, are
  /// closed.
  std::unique_ptr<TargetConnection> acquireIdle();

  /// Returns a new, unconnected connection, or nullptr if maxConnections are open.
  std::unique_ptr<TargetConnection> createConnection();

  /// Keeps an idle connection for a later request.
  void release(std::unique_ptr<TargetConnection> aConnection);

  /// Closes the connections that have been idle for idleTimeout.
  void closeIdle(TimePoint aNow);

  boost::asio::io_context& io;
  const TargetClientConfig config;
  std::optional<boost::asio::ip::tcp::endpoint> endpoint; ///< No value if the address is invalid.
  std::atomic<std::size_t> openCount{ 0 };             ///< Number of connections, in use or idle.
  std::atomic<std::uint64_t> connectionLosses{ 0 };    ///< See TargetClient::connectionLosses().
  std::vector<std::unique_ptr<TargetConnection>> idle; ///< The most recently used one is the last.
  std::set<std::shared_ptr<HttpTargetExchange>> running;
  bool isClosed = false; ///< The client was destroyed; no callbacks may run.
};

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_TARGETCONNECTIONPOOL_H_
