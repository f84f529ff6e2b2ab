// Queue of bytes to write to one HTTP connection, written in as few system calls as possible.
// Internal to the package.
//
// Parts that are queued before the loop gets back to the event queue go out in one write: a head
// and its first body part, or a whole answer. The writer also notes progress, so that a receiver
// that reads slowly can be told from one that stopped reading.

#ifndef CAMPHORCLEAT_TRANSPORT_HTTPWRITER_H_
#define CAMPHORCLEAT_TRANSPORT_HTTPWRITER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "base/Time.h"

namespace camphorcleat::transport {

/// How the length of a body is told to the receiver.
enum class BodyFraming
{
  None,           ///< No body.
  Length,         ///< Content-Length.
  Chunked,        ///< Chunked coding.
  CloseDelimited, ///< Ends with the connection; only for HTTP/1.0 callers.
};

class HttpWriter : public std::enable_shared_from_this<HttpWriter>
{
public:
  using DoneCallback = std::function<void(bool aIsOpen)>;

  /// aOwner keeps the socket alive while a write runs.
  HttpWriter(boost::asio::ip::tcp::socket& aSocket, std::function<void(bool aIsOpen)> aOnIdle);

  /// Queues raw bytes. aDone runs after the write, or with false when the writer is closed.
  void queue(std::string aBytes, DoneCallback aDone = nullptr);

  /// Queues a part of a body with the framing around it.
  void queueBody(BodyFraming aFraming, std::string aData, bool aIsLast, DoneCallback aDone);

  /// Starts writing what is queued. aOwner is kept until the write ends.
  void flush(std::shared_ptr<void> aOwner);

  /// Ends all writing: parts that aren't written get their callbacks with false, not within this
  /// call.
  void close();

  bool isWriting() const { return mIsWriting; }
  bool isIdle() const { return !mIsWriting && mQueue.empty(); }

  /// When the socket last took bytes of the write that runs.
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
