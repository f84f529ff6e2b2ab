// One connection to the target stand-in, which reads and runs requests one at a time.
//
// A request releases its slot before the last bytes of its response are written. Otherwise a client
// that sends the next request as soon as it has the response would be recorded as exceeding the
// concurrency limit although it didn't.

#ifndef CAMPHORCLEAT_HARNESS_TARGETSESSION_H_
#define CAMPHORCLEAT_HARNESS_TARGETSESSION_H_

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "harness/TargetEvent.h"
#include "harness/TargetModel.h"
#include "harness/UrlQuery.h"

namespace camphorcleat::harness {

class TargetServer;

/// All methods must be called on the event loop's thread.
class TargetSession : public std::enable_shared_from_this<TargetSession>
{
public:
  /// aServer must outlive the session or call abort() before it is destroyed.
  TargetSession(TargetServer& aServer, boost::asio::ip::tcp::socket aSocket);

  /// Starts reading the next request.
  void readRequest();

  /// Cancels the running request if the peer has closed the connection.
  void cancelIfPeerClosed();

  /// Resets the connection and cancels the running request. Used when the target restarts.
  void abort();

private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  void handleRequest();
  void handleHealth();
  void handleGrant();
  void handleWork();
  void refuse(AdmissionDecision aDecision);
  void watchForPeerClose();
  void startWork(AdmissionDecision aDecision);
  void finishWork(bool aIsPastDeadline);
  void releaseSlot(TargetEventKind aKind, const char* aReason);
  void sendEchoResponse();
  void startStreamedResponse(std::uint64_t aBytes);
  void sendNextChunk();
  void sendResponse(unsigned aStatus, const std::string& aBody,
                    const char* aRefusedHeader = nullptr);
  void closeConnection();
  std::optional<std::uint64_t> numericHeader(const char* aName) const;
  std::string header(const char* aName) const;
  TargetEvent makeEvent(TargetEventKind aKind) const;
  TargetEvent makeStartEvent() const;

  TargetServer* mServer; ///< Null after abort().
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  boost::beast::flat_buffer mBuffer;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> mParser;
  Request mRequest;
  UrlQuery mQuery{ "" };
  boost::beast::http::response<boost::beast::http::string_body> mResponse;
  bool mHoldsSlot = false;
  std::uint64_t mRequestNumber = 0; ///< Lets callbacks of earlier requests be ignored.
  // State of a streamed response.
  std::string mPatternSeed;
  std::string mChunk;
  std::uint64_t mStreamOffset = 0;
  std::uint64_t mStreamSize = 0;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_TARGETSESSION_H_
