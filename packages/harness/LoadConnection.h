// One kept-alive connection of the load driver. It sends each request once and never again: a
// request that was sent on a connection which then broke is reported as such.

#ifndef CAMPHORCLEAT_HARNESS_LOADCONNECTION_H_
#define CAMPHORCLEAT_HARNESS_LOADCONNECTION_H_

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "harness/CallJudge.h"
#include "harness/Endpoint.h"

namespace camphorcleat::harness {

/// A request to send and the record that it becomes.
struct LoadCall
{
  CallRecord record;
  CallExpectation expected;
  Millis timeout{};
  boost::beast::http::request<boost::beast::http::string_body> request;
};

/// All calls on the thread of the event loop.
class LoadConnection : public std::enable_shared_from_this<LoadConnection>
{
public:
  /// Receives the finished record; the connection is reusable if isReusable() holds.
  using DoneFunction =
    std::function<void(const std::shared_ptr<LoadConnection>&, const CallRecord&)>;
  /// Called when an idle connection was closed by its peer.
  using LostFunction = std::function<void(const std::shared_ptr<LoadConnection>&)>;

  LoadConnection(boost::asio::io_context& aLoop, Endpoint aEntry, DoneFunction aDone,
                 LostFunction aLost);

  /// Connects if needed and sends the request. Not while another call runs.
  void send(LoadCall aCall);

  /// Waits for the next call; notices when the peer closes the connection meanwhile.
  void watchIdle();

  /// Whether the connection is open and can carry another call.
  bool isReusable() const;

  /// Closes the connection.
  void close();

private:
  void write();
  void readAnswer();
  void finish(boost::system::error_code aError);
  void finishUnreachable(const std::string& aReason);
  void report();

  boost::beast::tcp_stream mStream;
  Endpoint mEntry;
  DoneFunction mDone;
  LostFunction mLost;
  boost::beast::flat_buffer mBuffer;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> mParser;
  LoadCall mCall;
  bool mIsConnected = false;
  bool mIsIdle = false;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_LOADCONNECTION_H_
