// HTTP/1.1 client for the one target on this VM, with streaming, back pressure and true outcomes.
//
// The client never sends a request twice, not even when a kept-alive connection turns out to be
// closed: it can't know whether the target ran the request (R9). Instead it reports whether the
// target may have run it, and leaves the decision to retry to its user. Everything runs on the one
// thread that runs the io_context.

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

/// Time limits are checked every 10 ms, so they act up to 10 ms late.
struct TargetClientConfig
{
  std::string address; ///< "ip:port" of the target.
  std::size_t maxConnections = 100;
  Millis connectTimeout{ 500 };
  Millis idleTimeout{ 30000 }; ///< Kept-alive connections are closed after this time without use.
  std::size_t chunkBytes = 64U << 10U;
  /// Whether a response may have neither length nor chunks and end with an orderly close.
  bool allowsCloseDelimited = false;
};

struct TargetRequest
{
  std::string method;
  std::string path;
  std::vector<wire::Header> headers;              ///< Framing and hop-by-hop headers are ignored.
  std::optional<std::uint64_t> contentLength = 0; ///< No value: chunked.
};

/// Receives the course of one exchange, on the io_context's thread and never within a call of
/// TargetClient::start() or of a TargetExchange method. An exchange ends with exactly one of
/// onBody() with aIsLast, or onFailure(); the client then releases the handler.
class TargetHandler
{
public:
  virtual ~TargetHandler() = default;

  /// Asked immediately before the first byte is given to the socket, since a connection may take up
  /// to connectTimeout to open. If false, the request isn't sent and the exchange fails with
  /// LeaseExpired and aMayHaveRun false.
  virtual bool mayStartWrite() { return true; }

  /// Asked for the head of each final response. If false, it answers an earlier request of the
  /// connection: it is discarded, and the next one awaited.
  virtual bool matchesRequest(unsigned /*aStatus*/, const std::vector<wire::Header>& /*aHeaders*/)
  {
    return true;
  }

  /// The exchange can take the next part of the request's body. Called only if there is a body.
  /// Unlike the other calls this one may be answered by sendBody() at once or later.
  virtual void onWritable() = 0;

  /// The response's head, without hop-by-hop headers; Content-Length stays. Call readMore() then.
  virtual void onHead(unsigned aStatus, std::vector<wire::Header> aHeaders,
                      std::optional<std::uint64_t> aContentLength) = 0;

  /// The next part of the response's body; one for each readMore(). The last part may be empty.
  virtual void onBody(std::string aData, bool aIsLast) = 0;

  /// The exchange failed. aMayHaveRun: a byte of the request was given to the socket. Codes:
  /// TargetDown (no connection), Overloaded (maxConnections in use), LeaseExpired (mayStartWrite()
  /// refused), DeadlineExceeded, Cancelled, BadRequest (body parts differ from contentLength),
  /// OutcomeUnknown (no response, or a malformed one), AnswerTruncated (the response's end is
  /// missing, or can't be told from a truncation because it has neither length nor chunks and
  /// TargetClientConfig::allowsCloseDelimited is not set).
  virtual void onFailure(bool aMayHaveRun, ErrorCode aCode, std::string aMessage) = 0;
};

/// One request in progress. All methods: on the io_context's thread only; after the end of the
/// exchange they do nothing.
class TargetExchange
{
public:
  virtual ~TargetExchange() = default;

  /// The next part of the request's body; one for each onWritable().
  virtual void sendBody(std::string aData, bool aIsLast) = 0;

  /// Reads the next part of the response's body, at most TargetClientConfig::chunkBytes; one for
  /// onHead() and each onBody(). Nothing is taken from the socket beyond one part unless asked.
  virtual void readMore() = 0;

  /// Closes the connection, so that the target can stop, and ends the exchange with Cancelled.
  virtual void cancel() = 0;
};

struct FetchResult
{
  bool ok = false; ///< A complete response arrived, whatever its status.
  unsigned status = 0;
  std::string body;
  ErrorCode code = ErrorCode::None;
  std::string message;
  TimePoint sentAt;     ///< Read before the first byte was given to the socket.
  TimePoint receivedAt; ///< Read after the last byte arrived.
};

/// Whether somebody listens at an address.
enum class ProbeResult
{
  Accepted,
  Refused,     ///< The host answers that nobody listens.
  Unreachable, ///< No answer in time, or another error.
};

class TargetClient
{
public:
  /// The context outlives the client. A wrong address makes every exchange fail with TargetDown.
  TargetClient(boost::asio::io_context& aIo, TargetClientConfig aConfig);

  /// Closes all connections; exchanges that run end without a further call to their handlers. On
  /// the io_context's thread, or when no thread runs it.
  ~TargetClient();

  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  /// Starts a request. The handler is kept until the exchange ends. On the io_context's thread.
  std::shared_ptr<TargetExchange> start(TargetRequest aRequest,
                                        std::shared_ptr<TargetHandler> aHandler,
                                        TimePoint aDeadline);

  /// As above, for a handler that outlives the exchange.
  std::shared_ptr<TargetExchange> start(TargetRequest aRequest, TargetHandler& aHandler,
                                        TimePoint aDeadline);

  /// A whole request on a connection of its own, outside maxConnections, for health and grant
  /// calls. Responses with more than 64 KiB of body fail with BodyTooLarge. The callback runs once,
  /// never within this call; not at all if the client is destroyed first. On the io_context's
  /// thread.
  void fetch(std::string aMethod, std::string aPath, std::string aBody, Millis aTimeout,
             std::function<void(FetchResult)> aCallback);

  /// Opens a connection and closes it at once. The callback runs once, never within this call; not
  /// at all if the client is destroyed first. On the io_context's thread.
  void probe(Millis aTimeout, std::function<void(ProbeResult)> aCallback);

  /// Connections for exchanges, in use or idle. Thread-safe.
  std::size_t openConnections() const;

  /// Times that the target reset a connection, or closed it before a response was complete. A
  /// restart of the target shows here. Thread-safe.
  std::uint64_t connectionLosses() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_TARGETCLIENT_H_
