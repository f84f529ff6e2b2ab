// HTTP/1.1 server for callers, with streaming bodies and backpressure in both directions.
//
// Boost.Beast parses and serializes messages. This class adds the limits that a server for
// untrusted callers needs, and reads from a connection only when the handler asks for data.
// Everything runs on the single thread that runs the io_context, so neither the frontend nor the
// streams need locks.

#ifndef CAMPHORCLEAT_TRANSPORT_HTTPFRONTEND_H_
#define CAMPHORCLEAT_TRANSPORT_HTTPFRONTEND_H_

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

/// Limits of one frontend. Time limits are checked every 50 ms, so they take effect up to 50 ms
/// late.
struct HttpLimits
{
  /// Upper bound of maxHeaderBytes; larger values are reduced to it. Beast throws an exception on a
  /// header field of 64 KiB, so the bound is below that.
  static constexpr std::size_t kMaxHeaderBytesLimit = 60U << 10U;

  std::size_t maxHeaderBytes = 16U << 10U;
  std::uint64_t maxBodyBytes = 1ULL << 30U;
  Millis headerTimeout{ 5000 };    ///< From the first byte of a request to its last header byte.
  Millis bodyIdleTimeout{ 10000 }; ///< Without progress while a body is read or a response written.
  Millis keepAliveTimeout{ 60000 }; ///< Between two requests on a connection.
  /// At this limit, a new connection replaces an idle one; if there is none, it is closed.
  std::size_t maxConnections = 10000;
  std::size_t chunkBytes = 64U << 10U; ///< Maximum size of a part of a request body.
};

/// Part of a request body.
struct BodyPart
{
  std::string data;
  bool isLast = false;
  /// BadRequest: malformed framing. BodyTooLarge: more than maxBodyBytes. DeadlineExceeded: no
  /// bytes for bodyIdleTimeout. Cancelled: the connection is closed. No part follows an error.
  /// Except after Cancelled, a response can still be sent.
  std::optional<ErrorCode> error;
};

/// One request of a caller and its response. All methods are called on the io_context's thread
/// only. After the caller has disconnected, or the response is complete, they do nothing, except
/// that callbacks passed to them run with an error. A stream that is destroyed without a complete
/// response is aborted.
class CallerStream
{
public:
  virtual ~CallerStream() = default;

  /// Returns the request method as the caller sent it.
  virtual const std::string& method() const = 0;

  /// Returns the request target as the caller sent it: path and query.
  virtual const std::string& path() const = 0;

  /// Returns the headers in order, without hop-by-hop headers. Content-Length is included.
  virtual const std::vector<wire::Header>& headers() const = 0;

  /// Returns the length of the request body: 0 if there is none, no value if it is chunked.
  virtual std::optional<std::uint64_t> contentLength() const = 0;

  /// Returns "ip:port" of the caller.
  virtual std::string callerAddress() const = 0;

  /// Reads the next part of the body, at most HttpLimits::chunkBytes. The callback never runs
  /// within this call. Only one read may be in progress. At most one part is read ahead from the
  /// socket.
  virtual void readBody(std::function<void(BodyPart)> aCallback) = 0;

  /// Starts the response; called once per request. Framing and hop-by-hop headers in aHeaders are
  /// ignored; aContentLength determines the framing (no value: chunked). aStatus is 200 to 999.
  virtual void sendHead(unsigned aStatus, std::vector<wire::Header> aHeaders,
                        std::optional<std::uint64_t> aContentLength) = 0;

  /// Sends a part of the response body, after sendHead(). aDone runs, never within this call, when
  /// the part has been passed to the socket (true) or the connection is closed (false); the caller
  /// sends the next part then. If the sum of the parts differs from the announced length, the
  /// stream is aborted. Data is discarded where HTTP allows no body (HEAD, 204, 304).
  virtual void sendBody(std::string aData, bool aIsLast,
                        std::function<void(bool aIsOpen)> aDone) = 0;

  /// Sends a complete response.
  virtual void sendResponse(unsigned aStatus, std::vector<wire::Header> aHeaders,
                            std::string aBody) = 0;

  /// Resets the connection without sending the final chunk, so that the caller detects that the
  /// response is truncated.
  virtual void abort() = 0;

  /// Sets a function to call once if the caller closes its connection, in either direction, or a
  /// time limit ends it before the response is complete. A close is detected within 50 ms. If more
  /// of the body is unread than the socket's receive buffer holds, it is detected only after that
  /// data is read, since TCP delivers the end of the stream after the data. Not called after
  /// abort().
  virtual void onDisconnect(std::function<void()> aCallback) = 0;

  /// Returns whether the caller has closed its connection, which may be before the function set
  /// with onDisconnect() is called.
  virtual bool hasDisconnected() const = 0;
};

/// Receives the requests of a frontend.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;

  /// Handles a request whose headers have been read. Called on the io_context's thread.
  virtual void onRequest(std::shared_ptr<CallerStream> aStream) = 0;
};

class HttpFrontend
{
public:
  /// aListenAddress is "ip:port"; port 0 selects a free port. The context and the handler must
  /// outlive the frontend.
  HttpFrontend(boost::asio::io_context& aIo, std::string aListenAddress, HttpLimits aLimits,
               HttpHandler& aHandler);

  /// Closes all connections. Waits for at most 200 ms until the callers of complete responses on
  /// connections that aren't kept have read them. Must be called on the io_context's thread, or
  /// while no thread runs it.
  ~HttpFrontend();

  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  /// Starts listening. Fails with AddressError. Must be called on the io_context's thread, or
  /// before it runs.
  Result<void> start();

  /// Replaces the limits. Requests and waits that have already started keep the previous ones. Must
  /// be called on the io_context's thread.
  void setLimits(const HttpLimits& aLimits);

  /// Closes idle connections, and from then on closes each connection after its response. New
  /// connections are still accepted, for one request each. Must be called on the io_context's
  /// thread.
  void beginDrain();

  /// Closes the listening socket; running requests continue. Must be called on the io_context's
  /// thread.
  void stopAccepting();

  /// Returns the number of requests that were passed to the handler and whose response is
  /// incomplete. Thread-safe.
  std::size_t openRequests() const;

  /// Returns the number of open connections. Thread-safe.
  std::size_t openConnections() const;

  /// Returns the port on which the frontend listens; 0 before start(). Thread-safe after start().
  unsigned short port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_HTTPFRONTEND_H_
