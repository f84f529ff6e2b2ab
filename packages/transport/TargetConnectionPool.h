// Connections to the target that wait for their next request. Internal to the package.

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

/// One connection. Counts itself as open until it is closed or destroyed.
struct TargetConnection
{
  TargetConnection(boost::asio::io_context& aIo, std::atomic<std::size_t>& aOpen);
  ~TargetConnection();
  TargetConnection(const TargetConnection&) = delete;
  TargetConnection& operator=(const TargetConnection&) = delete;

  /// Closes the connection. The object has to live on until its operations have ended.
  void close();

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  TimePoint idleSince;

private:
  std::atomic<std::size_t>& mOpen;
  bool mIsCounted = true;
};

/// What the exchanges of one client share.
struct TargetConnectionPool
{
  TargetConnectionPool(boost::asio::io_context& aIo, TargetClientConfig aConfig);

  /// The idle connection used last that is still usable. A connection that the target closed, or
  /// on which it sent something unasked, is discarded.
  std::unique_ptr<TargetConnection> acquireIdle();

  /// A new, unconnected socket; nullptr if maxConnections are open.
  std::unique_ptr<TargetConnection> createConnection();

  /// Keeps a connection for the next request.
  void release(std::unique_ptr<TargetConnection> aConnection);

  void closeIdle(TimePoint aNow);

  boost::asio::io_context& io;
  const TargetClientConfig config;
  std::optional<boost::asio::ip::tcp::endpoint> endpoint;
  std::atomic<std::size_t> open{ 0 };
  std::atomic<std::uint64_t> connectionLosses{ 0 };
  std::vector<std::unique_ptr<TargetConnection>> idle;
  std::set<std::shared_ptr<HttpTargetExchange>> running;
  bool isClosed = false;
};

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_TARGETCONNECTIONPOOL_H_
