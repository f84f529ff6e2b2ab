// Queue of bytes to write to an HTTP connection, in as few system calls as possible. Internal to
// the package.
//
// All parts that are queued when flush() is called go out in one write, such as a head and its
// first body part, or a complete response. The writer also records progress, so that a receiver
// that reads slowly can be distinguished from one that stopped reading.

#ifndef CAMPHORCLEAT_TRANSPORT_HTTPWRITER_H_
#define CAMPHORCLEAT_TRANSPORT_HTTPWRITER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "base/Time.h"

namespace camphorcleat::transport {

/// How the receiver finds the end of a body.
enum class BodyFraming
{
  None,           ///< No body.
  Length,         ///< Content-Length header.
  Chunked,        ///< Chunked transfer coding.
  CloseDelimited, ///< Ends when the connection closes; only for HTTP/1.0 callers.
};

class HttpWriter : public std::enable_shared_from_this<HttpWriter>
{
public:
  using DoneCallback = std::function<void(bool aIsOpen)>;

  /// aOnIdle runs after each write, unless the writer is closed; aIsOpen is false if the write
  /// failed. The socket must live as long as the owner that is passed to flush().
  HttpWriter(boost::asio::ip::tcp::socket& aSocket, std::function<void(bool aIsOpen)> aOnIdle);

  /// Queues raw bytes. aDone runs after the write; with false if it failed or the writer is closed.
  void queue(std::string aBytes, DoneCallback aDone = nullptr);

  /// Queues a part of a body and adds its framing.
  void queueBody(BodyFraming aFraming, std::string aData, bool aIsLast, DoneCallback aDone);

  /// Starts writing all queued parts, unless a write is in progress. aOwner, which owns the socket,
  /// is kept alive until the write ends.
  void flush(std::shared_ptr<void> aOwner);

  /// Stops writing. The callbacks of unwritten parts run with false, never within this call.
  void close();

  bool isWriting() const { return mIsWriting; }
  bool isIdle() const { return !mIsWriting && mQueue.empty(); }

  /// Returns when the socket last accepted bytes of the write in progress.
  TimePoint lastProgress() const { return mLastProgress; }

private:
  struct Part
  {
    std::string prefix;
    std::string data;
    const char* suffix = "";
    DoneCallback done;
  };

  void onWritten(bool aIsOpen);

  boost::asio::ip::tcp::socket& mSocket;
  std::function<void(bool)> mOnIdle;
  std::vector<Part> mQueue;
  std::vector<Part> mWriting;
  std::vector<boost::asio::const_buffer> mBuffers;
  TimePoint mLastProgress;
  bool mIsWriting = false;
  bool mIsClosed = false;
};

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_HTTPWRITER_H_
