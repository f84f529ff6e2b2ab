// Utilities of the transport tests: calls on the thread under test, blocking sockets, a scripted
// server for failures at a chosen point of the protocol, and a proxy that stalls connections.

#ifndef CAMPHORCLEAT_TRANSPORT_TESTING_TRANSPORTFAKES_H_
#define CAMPHORCLEAT_TRANSPORT_TESTING_TRANSPORTFAKES_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "base/DutyThread.h"
#include "base/Time.h"

namespace camphorcleat::transport::testing {

using boost::asio::ip::tcp;

/// Waits until the condition is true. Returns false if it is still false after aLimit.
template<class Condition>
bool waitFor(Condition&& aCondition, Millis aLimit = Millis(3000))
{
  const TimePoint end = Clock::now() + aLimit;
  while (!aCondition()) {
    if (Clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(Millis(1));
  }
  return true;
}

/// Runs a function on a duty thread and returns its result.
template<class Function>
auto runOn(DutyThread& aThread, Function aFunction) -> decltype(aFunction())
{
  std::packaged_task<decltype(aFunction())()> task(std::move(aFunction));
  auto result = task.get_future();
  boost::asio::post(aThread.context(), [&] { task(); });
  return result.get();
}

/// Blocking TCP connection whose reads time out after two seconds.
class BlockingSocket
{
public:
  explicit BlockingSocket(unsigned short aPort)
    : mSocket(mIo)
  {
    mSocket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), aPort));
    limitReads();
  }
  explicit BlockingSocket(tcp::socket aSocket)
    : mSocket(std::move(aSocket))
  {
    limitReads();
  }

  void write(const std::string& aBytes)
  {
    boost::system::error_code ec;
    boost::asio::write(mSocket, boost::asio::buffer(aBytes), ec);
  }

  /// Reads the available bytes, at most aLimit. Returns an empty string at the end of the stream,
  /// after a reset or at the time limit.
  std::string readSome(std::size_t aLimit = 65536)
  {
    std::string buf(aLimit, '\0');
    const ssize_t n = ::recv(mSocket.native_handle(), buf.data(), buf.size(), 0);
    mWasReset = n < 0 && errno == ECONNRESET;
    mHasEnded = n == 0 || mWasReset;
    buf.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return buf;
  }

  /// Reads until the text is received or the connection ends.
  std::string readUntil(const std::string& aText)
  {
    std::string out;
    while (out.find(aText) == std::string::npos) {
      const std::string buf = readSome();
      if (buf.empty()) {
        break;
      }
      out += buf;
    }
    return out;
  }
  std::string readAll()
  {
    std::string out;
    for (std::string buf = readSome(); !buf.empty(); buf = readSome()) {
      out += buf;
    }
    return out;
  }

  void close()
  {
    boost::system::error_code ec;
    mSocket.close(ec);
  }
  void reset()
  {
    mSocket.set_option(boost::asio::socket_base::linger(true, 0));
    close();
  }
  bool hasEnded() const { return mHasEnded; }
  bool wasReset() const { return mWasReset; }
  int nativeHandle() { return mSocket.native_handle(); }

private:
  void limitReads()
  {
    const timeval limit{ 2, 0 };
    ::setsockopt(mSocket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }

  boost::asio::io_context mIo;
  tcp::socket mSocket;
  bool mHasEnded = false;
  bool mWasReset = false;
};

/// Server that runs a script for each connection, one after another, on a thread of its own.
class ScriptedServer
{
public:
  using Script = std::function<void(BlockingSocket&, int aConnection)>;

  explicit ScriptedServer(Script aScript)
    : mAcceptor(mIo, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , mScript(std::move(aScript))
    , mThread([this] { run(); })
  {
  }
  ~ScriptedServer()
  {
    mIsStopping = true;
    boost::asio::io_context io;
    tcp::socket wake(io);
    boost::system::error_code ec;
    wake.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port()), ec);
    mThread.join();
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  unsigned short port() const { return mAcceptor.local_endpoint().port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  int connections() const { return mConnections; }

private:
  void run()
  {
    for (;;) {
      tcp::socket socket(mIo);
      boost::system::error_code ec;
      mAcceptor.accept(socket, ec);
      if (mIsStopping || ec) {
        return;
      }
      BlockingSocket connection(std::move(socket));
      mScript(connection, ++mConnections);
    }
  }

  boost::asio::io_context mIo;
  tcp::acceptor mAcceptor;
  Script mScript;
  std::atomic<bool> mIsStopping{ false };
  std::atomic<int> mConnections{ 0 };
  std::thread mThread;
};

/// Proxy that forwards TCP connections to a port. freeze() stops forwarding on the open connections
/// without closing them; new connections are forwarded.
class FreezingProxy
{
public:
  explicit FreezingProxy(unsigned short aPort)
    : mAcceptor(mThread.context(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , mTarget(boost::asio::ip::address_v4::loopback(), aPort)
  {
    accept();
    mThread.start();
  }
  ~FreezingProxy() { mThread.stop(); }
  FreezingProxy(const FreezingProxy&) = delete;
  FreezingProxy& operator=(const FreezingProxy&) = delete;

  std::string address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }
  void freeze() { setFrozen(true); }
  void thaw() { setFrozen(false); }

private:
  struct Pipe
  {
    std::shared_ptr<tcp::socket> from;
    std::shared_ptr<tcp::socket> to;
    bool isFrozen = false;
    bool isWaiting = false; ///< Bytes in the buffer are sent at thaw().
    std::size_t bytes = 0;
    std::string buffer = std::string(65536, '\0');
  };

  void setFrozen(bool aIsFrozen)
  {
    runOn(mThread, [&] {
      for (const auto& it : mPipes) {
        it->isFrozen = aIsFrozen;
        if (!aIsFrozen && std::exchange(it->isWaiting, false)) {
          writeOrHold(it);
        }
      }
    });
  }

  void accept()
  {
    mAcceptor.async_accept([this](const boost::system::error_code& aEc, tcp::socket aSocket) {
      if (aEc) {
        return;
      }
      const auto accepted = std::make_shared<tcp::socket>(std::move(aSocket));
      const auto forwarded = std::make_shared<tcp::socket>(mThread.context());
      boost::system::error_code ec;
      forwarded->connect(mTarget, ec);
      for (const auto& it :
           { std::make_pair(accepted, forwarded), std::make_pair(forwarded, accepted) }) {
        mPipes.push_back(std::make_shared<Pipe>());
        mPipes.back()->from = it.first;
        mPipes.back()->to = it.second;
        forward(mPipes.back());
      }
      accept();
    });
  }

  void forward(const std::shared_ptr<Pipe>& aPipe)
  {
    aPipe->from->async_read_some(
      boost::asio::buffer(aPipe->buffer),
      [this, aPipe](const boost::system::error_code& aEc, std::size_t aBytes) {
        if (aEc && !aPipe->isFrozen) {
          boost::system::error_code ec;
          aPipe->to->shutdown(tcp::socket::shutdown_send, ec);
        }
        if (!aEc) {
          aPipe->bytes = aBytes;
          writeOrHold(aPipe);
        }
      });
  }

  void writeOrHold(const std::shared_ptr<Pipe>& aPipe)
  {
    if (aPipe->isFrozen) {
      aPipe->isWaiting = true;
      return;
    }
    boost::asio::async_write(
      *aPipe->to, boost::asio::buffer(aPipe->buffer, aPipe->bytes),
      [this, aPipe](const boost::system::error_code&, std::size_t) { forward(aPipe); });
  }

  DutyThread mThread{ "proxy" };
  tcp::acceptor mAcceptor;
  tcp::endpoint mTarget;
  std::vector<std::shared_ptr<Pipe>> mPipes;
};

} // namespace camphorcleat::transport::testing

#endif // CAMPHORCLEAT_TRANSPORT_TESTING_TRANSPORTFAKES_H_
