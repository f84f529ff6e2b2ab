// HTTP/1.1 client for the target on this VM, with streaming, backpressure and exact outcomes.
//
// The client never sends a request twice, not even if a kept-alive connection turns out to be
// closed, because it can't know whether the target ran the request (R9). It reports whether the
// target may have run it and leaves the decision to retry to its user. Everything runs on the
// single thread that runs the io_context.

#ifndef CAMPHORCLEAT_TRANSPORT_TARGETCLIENT_H_
#define CAMPHORCLEAT_TRANSPORT_TARGETCLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Errors.h"
#include "base/Time.h"
#include "wire/PeerMessages.h"

namespace boost::asio {
class io_context;
}

namespace camphorcleat::transport {

/// Configures a TargetClient. Time limits are checked every 10 ms, so they take effect up to 10 ms
/// late; that of idle connections is checked every 250 ms.
struct TargetClientConfig
{
  std::string address;              ///< "ip:port" of the target.
  std::size_t maxConnections = 100; ///< Limit of the connections for exchanges, in use or idle.
  Millis connectTimeout{ 500 };
  Millis idleTimeout{ 30000 };         ///< For kept-alive connections without use.
  std::size_t chunkBytes = 64U << 10U; ///< Maximum size of a part of a response body.
  /// Whether a response may be close-delimited: without length or chunked coding, ended by an
  /// orderly close.
  bool allowsCloseDelimited = false;
};

struct TargetRequest
{
  std::string method;
  std::string path;
  std::vector<wire::Header> headers;              ///< Framing and hop-by-hop headers are ignored.
  std::optional<std::uint64_t> contentLength = 0; ///< No value: chunked.
};

/// Receives the events of one exchange, on the io_context's thread and never within a call of
/// TargetClient::start() or of a TargetExchange method. An exchange ends with exactly one call of
/// onBody() with aIsLast, or of onFailure(). The client then releases the handler.
class TargetHandler
{
public:
  virtual ~TargetHandler() = default;

  /// Returns whether the request may still be sent. Called immediately before the first byte is
  /// passed to the socket, since a connection may take up to connectTimeout to open. If false, the
  /// request isn't sent and the exchange fails with LeaseExpired and aMayHaveRun false.
  virtual bool mayStartWrite() { return true; }

  /// Returns whether a response belongs to the request of this exchange. Called for the head of
  /// each final response. If false, the response belongs to an earlier request of the connection;
  /// it is discarded and the next response is read.
  virtual bool matchesRequest(unsigned /*aStatus*/, const std::vector<wire::Header>& /*aHeaders*/)
  {
    return true;
  }

  /// Reports that the exchange accepts the next part of the request body. Called only if there is a
  /// body. The handler calls sendBody() from within this call or later.
  virtual void onWritable() = 0;

  /// Handles the head of the response, without hop-by-hop headers but with Content-Length. The
  /// handler then calls readMore().
  virtual void onHead(unsigned aStatus, std::vector<wire::Header> aHeaders,
                      std::optional<std::uint64_t> aContentLength) = 0;

  /// Handles the next part of the response body; called once for each readMore(). The last part may
  /// be empty.
  virtual void onBody(std::string aData, bool aIsLast) = 0;

  /// Reports that the exchange failed. aMayHaveRun: a byte of the request was passed to the socket.
  /// Codes: TargetDown (no connection), Overloaded (maxConnections in use), LeaseExpired
  /// (mayStartWrite() returned false), DeadlineExceeded, Cancelled, BadRequest (the body parts
  /// differ from contentLength), OutcomeUnknown (no response, or a malformed one),
  /// ResponseTruncated (the end of the response is missing, or the response is close-delimited, so
  /// that its end can't be distinguished from a truncation, and
  /// TargetClientConfig::allowsCloseDelimited isn't set).
  virtual void onFailure(bool aMayHaveRun, ErrorCode aCode, std::string aMessage) = 0;
};

/// One request in progress. All methods are called on the io_context's thread only; after the end
/// of the exchange they do nothing.
class TargetExchange
{
public:
  virtual ~TargetExchange() = default;

  /// Sends the next part of the request body; called once for each onWritable().
  virtual void sendBody(std::string aData, bool aIsLast) = 0;

  /// Reads the next part of the response body, at most TargetClientConfig::chunkBytes. Called once
  /// for onHead() and for each onBody(). At most one part is read ahead from the socket.
  virtual void readMore() = 0;

  /// Closes the connection at the end of the exchange instead of using it for another one. Called
  /// within onHead() or later.
  virtual void closeAfterResponse() = 0;

  /// Ends the exchange with Cancelled and closes the connection, so that the target can stop
  /// running the request.
  virtual void cancel() = 0;
};

/// Result of TargetClient::fetch().
struct FetchResult
{
  bool ok = false; ///< A complete response was received, with any status.
  unsigned status = 0;
  std::string body;
  /// The error if `ok` is false: TargetDown (no connection, or an invalid address), OutcomeUnknown
  /// (no response, or a malformed one), ResponseTruncated, DeadlineExceeded (the timeout passed,
  /// even while connecting) or BodyTooLarge.
  ErrorCode code = ErrorCode::None;
  std::string message;
  TimePoint sentAt;     ///< Clock reading before the first byte is passed to the socket.
  TimePoint receivedAt; ///< Clock reading after the last byte is received.
};

/// Whether a process listens on an address.
enum class ProbeResult
{
  Accepted,
  Refused,     ///< The host refuses connections: no process listens.
  Unreachable, ///< The connection attempt timed out or failed with another error.
};

class TargetClient
{
public:
  /// The context must outlive the client. If the address is invalid, every exchange fails with
  /// TargetDown.
  TargetClient(boost::asio::io_context& aIo, TargetClientConfig aConfig);

  /// Closes all connections and ends running exchanges without further calls to their handlers.
  /// Must be called on the io_context's thread, or while no thread runs it.
  ~TargetClient();

  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  /// Starts a request. The client keeps the handler until the exchange ends. Must be called on the
  /// io_context's thread.
  std::shared_ptr<TargetExchange> start(TargetRequest aRequest,
                                        std::shared_ptr<TargetHandler> aHandler,
                                        TimePoint aDeadline);

  /// Same as above, for a handler that outlives the exchange.
  std::shared_ptr<TargetExchange> start(TargetRequest aRequest, TargetHandler& aHandler,
                                        TimePoint aDeadline);

  /// Sends a request and reads the complete response on a separate connection that doesn't count
  /// towards maxConnections. For health checks and grant calls. Response bodies of more than 64 KiB
  /// fail with BodyTooLarge. The callback runs once, never within this call, and not at all if the
  /// client is destroyed first. Must be called on the io_context's thread.
  void fetch(std::string aMethod, std::string aPath, std::string aBody, Millis aTimeout,
             std::function<void(FetchResult)> aCallback);

  /// Opens a connection and closes it immediately. If the address is invalid, the result is
  /// Unreachable. The callback runs once, never within this call, and not at all if the client is
  /// destroyed first. Must be called on the io_context's thread.
  void probe(Millis aTimeout, std::function<void(ProbeResult)> aCallback);

  /// Returns the number of connections for exchanges, in use or idle. Thread-safe.
  std::size_t openConnections() const;

  /// Returns how often the target reset a connection, or closed it before a response was complete.
  /// A restart of the target increases this count. Thread-safe.
  std::uint64_t connectionLosses() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_TARGETCLIENT_H_
