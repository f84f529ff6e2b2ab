// One connection to the target stand-in: reads requests one after the other and runs them.
//
// The slot of a request is given back before the last bytes of its answer are written. Otherwise a
// sender that reacts to the answer at once could be seen to exceed the slots without having done
// so.

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

/// All calls on the thread of the event loop.
class TargetSession : public std::enable_shared_from_this<TargetSession>
{
public:
  /// aServer must outlive the session or call abort() first.
  TargetSession(TargetServer& aServer, boost::asio::ip::tcp::socket aSocket);

  /// Starts to read requests.
  void read();

  /// Cancels running work if the peer has closed its connection.
  void checkPeer();

  /// Resets the connection and cancels running work, for a restart of the target.
  void abort();

private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  void handle();
  void handleHealth();
  void handleGrant();
  void handleWork();
  void refuse(Admission aAdmission);
  void watchPeer();
  void startWork(Admission aAdmission);
  void finishWork(bool aIsPastDeadline);
  void endSlot(TargetEventKind aKind, const char* aReason);
  void sendEcho();
  void startStream(std::uint64_t aBytes);
  void continueStream();
  void reply(unsigned aStatus, const std::string& aBody, const char* aRefused = nullptr);
  void closeSilently();
  std::optional<std::uint64_t> headerNumber(const char* aName) const;
  std::string header(const char* aName) const;
  TargetEvent event(TargetEventKind aKind) const;
  TargetEvent startEvent() const;

  TargetServer* mServer; ///< Null after abort().
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  boost::beast::flat_buffer mBuffer;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> mParser;
  Request mRequest;
  UrlQuery mQuery{ "" };
  boost::beast::http::response<boost::beast::http::string_body> mResponse;
  bool mHoldsSlot = false;
  std::uint64_t mWorkNumber = 0; ///< Tells callbacks of earlier work from those of this one.
  // The streamed answer.
  std::string mSeed;
  std::string mChunk;
  std::uint64_t mStreamOffset = 0;
  std::uint64_t mStreamBytes = 0;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_TARGETSESSION_H_
