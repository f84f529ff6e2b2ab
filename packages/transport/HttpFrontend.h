// HTTP/1.1 server for callers, with streaming bodies and back pressure in both directions.
//
// Boost.Beast parses and serializes; this class adds the limits that an exposed server needs and
// reads from a connection only when its handler asks. Everything runs on the one thread that runs
// the io_context, so neither the frontend nor the streams need locks.

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

/// Limits of one frontend. Time limits are checked every 50 ms, so they act up to 50 ms late.
struct HttpLimits
{
  /// Beast throws on a field of 64 KiB, so a frontend applies at most this.
  static constexpr std::size_t kMaxHeaderBytesLimit = 60U << 10U;

  std::size_t maxHeaderBytes = 16U << 10U;
  std::uint64_t maxBodyBytes = 1ULL << 30U;
  Millis headerTimeout{ 5000 };    ///< From the first byte of a request to its last header byte.
  Millis bodyIdleTimeout{ 10000 }; ///< Without progress, while a body is read or an answer written.
  Millis keepAliveTimeout{ 60000 }; ///< Between two requests on a connection.
  std::size_t maxConnections = 10000;
  std::size_t chunkBytes = 64U << 10U;
};

/// A part of a request body.
struct BodyPart
{
  std::string data;
  bool isLast = false;
  /// BadRequest: malformed framing. BodyTooLarge: more than maxBodyBytes. DeadlineExceeded: no
  /// bytes for bodyIdleTimeout. Cancelled: the connection is closed. No further part follows an
  /// error; after the first three an answer can still be sent.
  std::optional<ErrorCode> error;
};

/// One request of a caller and the way to answer it. All methods: on the io_context's thread only.
/// After the caller is gone, or the answer is complete, every method does nothing (callbacks that
/// are passed then still run, with an error). A stream that is released without a complete answer
/// is aborted.
class CallerStream
{
public:
  virtual ~CallerStream() = default;

  virtual const std::string& method() const = 0;

  /// The target as the caller sent it: path and query.
  virtual const std::string& path() const = 0;

  /// Headers in order, without hop-by-hop headers. Content-Length is among them.
  virtual const std::vector<wire::Header>& headers() const = 0;

  /// Length of the request body: 0 if there is none, no value if it is chunked.
  virtual std::optional<std::uint64_t> contentLength() const = 0;

  /// "ip:port" of the caller.
  virtual std::string callerAddress() const = 0;

  /// Reads the next part, at most HttpLimits::chunkBytes. The callback never runs within this call.
  /// One read at a time. Nothing is taken from the socket beyond one part unless asked.
  virtual void readBody(std::function<void(BodyPart)> aCallback) = 0;

  /// Starts the answer; once per request. Framing and hop-by-hop headers in aHeaders are ignored in
  /// favour of aContentLength (no value: chunked). aStatus: 200 to 999.
  virtual void sendHead(unsigned aStatus, std::vector<wire::Header> aHeaders,
                        std::optional<std::uint64_t> aContentLength) = 0;

  /// Sends a part of the answer's body, after sendHead(). aDone runs when the part was given to the
  /// socket (true) or the connection is closed (false), never within this call; send the next part
  /// then. If the sum of the parts differs from the announced length, the stream is aborted. Data
  /// is dropped where HTTP allows no body (HEAD, 204, 304).
  virtual void sendBody(std::string aData, bool aIsLast,
                        std::function<void(bool aIsOpen)> aDone) = 0;

  /// A complete answer.
  virtual void sendResponse(unsigned aStatus, std::vector<wire::Header> aHeaders,
                            std::string aBody) = 0;

  /// Resets the connection without the final chunk, so that the caller sees a truncated answer as
  /// an error.
  virtual void abort() = 0;

  /// Sets a function to call once if the caller closes its connection, in either direction, before
  /// the answer is complete. Noticed within 50 ms; if more of the body is unread than the socket's
  /// receive buffer holds, only once it is read, since TCP delivers the end after the data. Not
  /// called after abort().
  virtual void onDisconnect(std::function<void()> aCallback) = 0;
};

/// Receives requests.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;

  /// A request whose headers were read. On the io_context's thread.
  virtual void onRequest(std::shared_ptr<CallerStream> aStream) = 0;
};

class HttpFrontend
{
public:
  /// aListenAddress is "ip:port"; port 0 takes a free one. The context and the handler outlive the
  /// frontend.
  HttpFrontend(boost::asio::io_context& aIo, std::string aListenAddress, HttpLimits aLimits,
               HttpHandler& aHandler);

  /// Closes all connections. On the io_context's thread, or when no thread runs it.
  ~HttpFrontend();

  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  /// Listens. Fails with AddressError. On the io_context's thread, or before it runs.
  Result<void> start();

  /// Replaces the limits. Requests and waits that began before keep theirs. On the io_context's
  /// thread.
  void setLimits(const HttpLimits& aLimits);

  /// From now on each answer closes its connection, and idle connections are closed. New
  /// connections are still accepted, for one request each. On the io_context's thread.
  void beginDrain();

  /// Closes the listener; running requests continue. On the io_context's thread.
  void stopAccepting();

  /// Requests that were passed to the handler and aren't answered completely. Thread-safe.
  std::size_t openRequests() const;

  /// Open connections. Thread-safe.
  std::size_t openConnections() const;

  /// The port that is listened on; 0 before start(). Thread-safe after start().
  unsigned short port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_HTTPFRONTEND_H_
