// Blocking TCP client with time limits.

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
  enum class StreamEnd
  {
    Open,
    Closed,
    Reset
  };

  /// Connects to a server. Throws boost::system::system_error if the connection is refused.
  explicit TestSocket(const Endpoint& aServer)
    : mSocket(mLoop)
  {
    mSocket.connect(aServer);
  }

  void send(const std::string& aText) { boost::asio::write(mSocket, boost::asio::buffer(aText)); }

  /// Returns the bytes, at most aBytes, that arrive within aTimeout. Returns early at the end of
  /// the stream.
  std::string receive(std::size_t aBytes, Millis aTimeout)
  {
    std::string out;
    const TimePoint deadline = Clock::now() + aTimeout;
    while (out.size() < aBytes && mStreamEnd == StreamEnd::Open && Clock::now() < deadline) {
      receiveSome(out, aBytes - out.size(), deadline);
    }
    return out;
  }

  /// Returns how the stream ended, or Open if it didn't end within aTimeout. Discards the bytes
  /// that arrive meanwhile.
  StreamEnd waitForEnd(Millis aTimeout)
  {
    receive(1U << 30U, aTimeout);
    return mStreamEnd;
  }

private:
  void receiveSome(std::string& aOut, std::size_t aBytes, TimePoint aDeadline)
  {
    pollfd wait{ mSocket.native_handle(), POLLIN, 0 };
    const auto remaining = std::chrono::duration_cast<Millis>(aDeadline - Clock::now()).count();
    if (::poll(&wait, 1, static_cast<int>(std::max<std::int64_t>(remaining, 1))) <= 0) {
      return;
    }
    char buf[65536];
    const ssize_t n = ::recv(wait.fd, buf, std::min(aBytes, sizeof(buf)), 0);
    if (n > 0) {
      aOut.append(buf, static_cast<std::size_t>(n));
    } else {
      mStreamEnd = n == 0 ? StreamEnd::Closed : StreamEnd::Reset;
    }
  }

  boost::asio::io_context mLoop;
  boost::asio::ip::tcp::socket mSocket;
  StreamEnd mStreamEnd = StreamEnd::Open;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_TESTING_TESTSOCKET_H_
