// One keep-alive connection of the load driver.
//
// Each request is sent at most once. If the connection fails before the response is complete, the
// request is reported with an unknown result and is not sent again.

#ifndef CAMPHORCLEAT_HARNESS_LOADCONNECTION_H_
#define CAMPHORCLEAT_HARNESS_LOADCONNECTION_H_

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "harness/Endpoint.h"
#include "harness/ResponseCheck.h"

namespace camphorcleat::harness {

/// A request to send, and the record of its result.
struct LoadCall
{
  CallRecord record;
  CallExpectation expected;
  Millis timeout{}; ///< For connecting, sending and receiving together.
  boost::beast::http::request<boost::beast::http::string_body> request;
};

/// All methods must be called on the event loop's thread.
class LoadConnection : public std::enable_shared_from_this<LoadConnection>
{
public:
  /// Called with the completed record of each request. If isReusable() holds, the connection can
  /// send another request.
  using DoneCallback =
    std::function<void(const std::shared_ptr<LoadConnection>&, const CallRecord&)>;
  /// Called when the peer has closed the connection while it was idle.
  using ClosedCallback = std::function<void(const std::shared_ptr<LoadConnection>&)>;

  LoadConnection(boost::asio::io_context& aLoop, Endpoint aEntry, DoneCallback aOnDone,
                 ClosedCallback aOnClosed);

  /// Connects if needed and sends the request. Must not be called while another request is
  /// outstanding.
  void send(LoadCall aCall);

  /// Marks the connection as idle. If the peer closes it before the next send(), the connection is
  /// closed and the owner is notified.
  void markIdle();

  /// Returns whether the connection is open and has no unread bytes, so that it can send another
  /// request.
  bool isReusable() const;

  /// Closes the connection. An outstanding request is then reported as unreachable or unknown.
  void close();

private:
  void writeRequest();
  void readResponse();
  void finishCall(boost::system::error_code aError);
  void finishUnreachable(const std::string& aReason);
  void reportDone();

  boost::beast::tcp_stream mStream;
  Endpoint mEntry;
  DoneCallback mOnDone;
  ClosedCallback mOnClosed;
  boost::beast::flat_buffer mBuffer;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> mParser;
  LoadCall mCall;
  bool mIsConnected = false;
  bool mIsIdle = false;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_LOADCONNECTION_H_
