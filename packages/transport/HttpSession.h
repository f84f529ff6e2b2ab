// Connection of a caller, which handles its requests in order, one at a time. Internal to the
// package.

#ifndef CAMPHORCLEAT_TRANSPORT_HTTPSESSION_H_
#define CAMPHORCLEAT_TRANSPORT_HTTPSESSION_H_

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "transport/HttpFrontend.h"
#include "transport/HttpWriter.h"

namespace camphorcleat::transport {

class HttpSession;

/// State shared by a frontend and its sessions, which keep it alive.
struct HttpFrontendState
{
  HttpFrontendState(HttpLimits aLimits, HttpHandler& aHandler)
    : limits(aLimits)
    , handler(aHandler)
  {
  }
  HttpLimits limits;
  HttpHandler& handler;
  std::unordered_set<std::shared_ptr<HttpSession>> sessions;
  std::atomic<std::size_t> sessionCount{ 0 };
  std::atomic<std::size_t> openRequests{ 0 };
  bool isDraining = false;
  bool isClosed = false;
};

class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  HttpSession(boost::asio::ip::tcp::socket aSocket, std::shared_ptr<HttpFrontendState> aState);

  /// Starts reading the first request. The session is registered in HttpFrontendState until it is
  /// closed.
  void start();

  /// Sends an error response to a request that no handler has seen, then closes the connection.
  void refuse(unsigned aStatus, ErrorCode aCode, const std::string& aMessage);

  /// Applies the time limits. Called every 50 ms.
  void checkTimeouts(TimePoint aNow);

  /// Returns whether the handler has a request whose response is incomplete.
  bool isRunning() const { return mPhase == Phase::Running; }

  /// Returns whether the session waits for the next request.
  bool isIdle() const { return mPhase == Phase::Idle; }

  /// Returns whether the last response is sent and the caller hasn't closed the connection yet.
  bool isLingering() const { return mPhase == Phase::Lingering; }

  /// Returns the file descriptor, to be polled for a close by the caller.
  int nativeSocket() { return mSocket.native_handle(); }

  /// Returns whether the caller has closed its connection, in either direction.
  bool hasCallerClosed();

  /// Closes the connection and calls the function set with onDisconnect(). For a connection that
  /// the caller closed or that exceeded a time limit.
  void handleDisconnect();

  /// Closes the connection if it waits for the next request.
  void closeIfIdle();

  /// Closes the connection immediately, with a TCP reset if aReset or if a truncated response would
  /// look complete.
  void close(bool aReset);

  // The methods of CallerStream that act on the connection. aRequestNumber counts the requests of
  // the connection; calls for an earlier request only run their callbacks, with an error.
  void readBody(std::uint64_t aRequestNumber, std::function<void(BodyPart)> aCallback);
  void sendHead(std::uint64_t aRequestNumber, unsigned aStatus,
                const std::vector<wire::Header>& aHeaders,
                std::optional<std::uint64_t> aContentLength);
  void sendBody(std::uint64_t aRequestNumber, std::string aData, bool aIsLast,
                std::function<void(bool)> aDone);
  void abort(std::uint64_t aRequestNumber);
  void onDisconnect(std::uint64_t aRequestNumber, std::function<void()> aCallback);
  bool hasDisconnected(std::uint64_t aRequestNumber);

private:
  enum class Phase
  {
    Idle,      ///< Waiting for the first byte of a request.
    Reading,   ///< Reading a header, or sending an error response to it.
    Running,   ///< The handler has a request whose response is incomplete.
    Lingering, ///< The last response is sent; input is discarded until the caller closes.
    Closed,
  };
  using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

  bool isCurrent(std::uint64_t aRequestNumber) const;
  void waitForRequest();
  void readHeader();
  void onHeader(const boost::system::error_code& aEc);
  void onHeaderError(const boost::system::error_code& aEc);
  std::string findHeaderFault() const;
  void startRequest();
  void queueContinue();
  void readSome();
  void onBodyRead(const boost::system::error_code& aEc);
  BodyPart makeBodyPart(const boost::system::error_code& aEc);
  void deliverBodyPart(BodyPart aPart);
  std::string serializeHead(unsigned aStatus, const std::vector<wire::Header>& aHeaders,
                            std::optional<std::uint64_t> aContentLength);
  void chooseFraming(unsigned aStatus, std::optional<std::uint64_t> aContentLength);
  void scheduleFlush();
  void onWriterIdle(bool aIsOpen);
  void finishRequest();
  void linger();
  void readAndDiscard();
  void unregisterRequest();

  boost::asio::ip::tcp::socket mSocket;
  std::shared_ptr<HttpFrontendState> mState;
  std::shared_ptr<HttpWriter> mWriter;
  boost::beast::flat_buffer mReceiveBuffer; // Received bytes that mParser hasn't parsed yet.
  std::optional<Parser> mParser;
  std::string mCallerAddress;
  std::vector<char> mBodyBuffer;
  std::function<void(BodyPart)> mOnBody;
  std::function<void()> mOnDisconnect;
  Phase mPhase = Phase::Idle;
  TimePoint mReadDeadline = TimePoint::max();
  std::uint64_t mRequestNumber = 0;
  std::uint64_t mResponseBytesLeft = 0;
  std::size_t mDiscardedBytes = 0;
  BodyFraming mFraming = BodyFraming::None;
  bool mIsHeadRequest = false;
  bool mKeepAlive = false;
  bool mNeedsContinue = false;
  bool mBodyFailed = false;
  bool mBodyTimedOut = false;
  bool mHeadSent = false;
  bool mResponseQueued = false;
  bool mFlushScheduled = false;
};

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_HTTPSESSION_H_
