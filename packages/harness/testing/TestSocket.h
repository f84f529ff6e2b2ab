// A blocking TCP client with time limits.

#ifndef CAMPHORCLEAT_HARNESS_TESTING_TESTSOCKET_H_
#define CAMPHORCLEAT_HARNESS_TESTING_TESTSOCKET_H_

#include <string>

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include "base/Time.h"
#include "harness/Endpoint.h"

namespace camphorcleat::harness {

class TestSocket
{
public:
  enum class End
  {
    Open,
    Closed,
    Reset
  };

  /// Throws boost::system::system_error if the connection is refused.
  explicit TestSocket(const Endpoint& aServer)
    : mSocket(mLoop)
  {
    mSocket.connect(aServer);
  }

  void send(const std::string& aText) { boost::asio::write(mSocket, boost::asio::buffer(aText)); }

  /// Up to aBytes bytes that arrive within the time. Ends early at the end of the stream.
  std::string receive(std::size_t aBytes, Millis aTimeout)
  {
    std::string out;
    const TimePoint end = Clock::now() + aTimeout;
    while (out.size() < aBytes && mEnd == End::Open && Clock::now() < end) {
      receiveSome(out, aBytes - out.size(), end);
    }
    return out;
  }

  /// How the stream ended, if it did within the time. Bytes that arrive meanwhile are dropped.
  End end(Millis aTimeout)
  {
    receive(1U << 30U, aTimeout);
    return mEnd;
  }

private:
  void receiveSome(std::string& aOut, std::size_t aBytes, TimePoint aEnd)
  {
    pollfd wait{ mSocket.native_handle(), POLLIN, 0 };
    const auto left = std::chrono::duration_cast<Millis>(aEnd - Clock::now()).count();
    if (::poll(&wait, 1, static_cast<int>(std::max<std::int64_t>(left, 1))) <= 0) {
      return;
    }
    char buf[65536];
    const ssize_t n = ::recv(wait.fd, buf, std::min(aBytes, sizeof(buf)), 0);
    if (n > 0) {
      aOut.append(buf, static_cast<std::size_t>(n));
    } else {
      mEnd = n == 0 ? End::Closed : End::Reset;
    }
  }

  boost::asio::io_context mLoop;
  boost::asio::ip::tcp::socket mSocket;
  End mEnd = End::Open;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_TESTING_TESTSOCKET_H_
