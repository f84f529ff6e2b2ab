// Runs one exchange with the target.
//
// The response is read from the moment the head is written, because a target may refuse a request
// before it has read the whole body. A failed write therefore doesn't end the exchange: the pending
// read returns either the early response or the end of the connection.

#include "transport/HttpTargetExchange.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>

#include "transport/HttpHeaders.h"

namespace camphorcleat::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Maximum space that is reserved in the receive buffer for a read of the body.
constexpr std::size_t kReadAheadBytes = 64U << 10U;
constexpr std::uint32_t kMaxHeadBytes = 64U << 10U; // Responses with a larger head fail.
// The exchange fails after more than this many interim (1xx) responses, or responses to earlier
// requests of the connection.
constexpr unsigned kMaxInterimResponses = 8;
constexpr unsigned kMaxStaleResponses = 4;
constexpr unsigned kHttp11 = 11;

bool isInterim(unsigned aStatus)
{
  return aStatus >= 100 && aStatus < 200 && aStatus != 101;
}

// RFC 9110, section 15: other status codes are invalid.
bool isValidStatus(unsigned aStatus)
{
  return aStatus >= 100 && aStatus <= 599;
}

bool isConnectionLoss(const boost::system::error_code& aEc)
{
  return aEc == http::error::end_of_stream || aEc == http::error::partial_message ||
         aEc == asio::error::eof || aEc == asio::error::connection_reset ||
         aEc == asio::error::broken_pipe;
}

std::vector<wire::Header> headersOf(const http::response_header<>& aHead)
{
  std::vector<wire::Header> out;
  for (const auto& it : aHead) {
    out.push_back({ std::string(it.name_string().data(), it.name_string().size()),
                    std::string(it.value().data(), it.value().size()) });
  }
  removeHopByHopHeaders(out);
  return out;
}

} // namespace

HttpTargetExchange::HttpTargetExchange(std::shared_ptr<TargetConnectionPool> aPool,
                                       TargetRequest aRequest,
                                       std::shared_ptr<TargetHandler> aHandler, TimePoint aDeadline)
  : mPool(std::move(aPool))
  , mRequest(std::move(aRequest))
  , mHandler(std::move(aHandler))
  , mDeadline(aDeadline)
{
}

void HttpTargetExchange::begin()
{
  if (mIsDone) {
    return;
  }
  if (Clock::now() >= mDeadline) {
    reportFailure(false, ErrorCode::DeadlineExceeded,
                  "deadline passed before the request was sent");
    return;
  }
  if (!mPool->endpoint) {
    reportFailure(false, ErrorCode::TargetDown,
                  "target address '" + mPool->config.address + "' is not ip:port");
    return;
  }
  mConnection = mPool->acquireIdle();
  if (mConnection) {
    sendRequest();
    return;
  }
  mConnection = mPool->createConnection();
  if (!mConnection) {
    reportFailure(false, ErrorCode::Overloaded,
                  std::to_string(mPool->config.maxConnections) +
                    " connections to the target in use");
    return;
  }
  connect();
}

void HttpTargetExchange::connect()
{
  mConnectDeadline = Clock::now() + mPool->config.connectTimeout;
  mConnection->socket.async_connect(
    *mPool->endpoint, [self = shared_from_this()](const boost::system::error_code& aEc) {
      if (self->mIsDone) {
        return;
      }
      if (aEc) {
        self->reportFailure(false, ErrorCode::TargetDown,
                            "can't connect to the target: " + aEc.message());
        return;
      }
      self->onConnected();
    });
}

void HttpTargetExchange::onConnected()
{
  mConnectDeadline = TimePoint::max();
  // On a thread that was busy, this runs before the timer that checks the time limits.
  checkTimeouts(Clock::now());
  if (mIsDone) {
    return;
  }
  boost::system::error_code ec;
  mConnection->socket.set_option(asio::ip::tcp::no_delay(true), ec);
  sendRequest();
}

void HttpTargetExchange::sendRequest()
{
  mWriter =
    std::make_shared<HttpWriter>(mConnection->socket, [weak = weak_from_this()](bool aIsOpen) {
      if (const auto self = weak.lock()) {
        self->onWriterIdle(aIsOpen);
      }
    });
  if (!mRequest.contentLength) {
    mFraming = BodyFraming::Chunked;
  } else if (*mRequest.contentLength > 0) {
    mFraming = BodyFraming::Length;
    mRequestBytesLeft = *mRequest.contentLength;
  }
  mWriter->queue(serializeHead());
  if (mFraming == BodyFraming::None) {
    mRequestQueued = true;
  } else {
    // A part that the handler sends within onWritable() goes out in the same write as the head.
    mAwaitsBodyPart = true;
    mHandler->onWritable();
  }
  if (!mIsDone) {
    startWrite();
  }
}

std::string HttpTargetExchange::serializeHead() const
{
  http::request<http::empty_body> head;
  head.version(kHttp11);
  head.method_string(mRequest.method);
  head.target(mRequest.path);
  for (const auto& it : mRequest.headers) {
    if (!isFramingHeader(it.name)) {
      head.insert(it.name, it.value);
    }
  }
  if (head.count(http::field::host) == 0) {
    head.set(http::field::host, mPool->config.address);
  }
  const auto verb = http::string_to_verb(mRequest.method);
  const bool expectsBody =
    verb == http::verb::post || verb == http::verb::put || verb == http::verb::patch;
  if (mFraming == BodyFraming::Chunked) {
    head.set(http::field::transfer_encoding, "chunked");
  } else if (mFraming == BodyFraming::Length || expectsBody) {
    head.set(http::field::content_length, std::to_string(*mRequest.contentLength));
  }
  http::request_serializer<http::empty_body> serializer(head);
  serializer.split(true);
  std::string out;
  boost::system::error_code ec;
  serializer.next(ec, [&](boost::system::error_code&, const auto& aBuffers) {
    out = boost::beast::buffers_to_string(aBuffers);
  });
  return out;
}

// Starts the write immediately after the check by mayStartWrite(): async_write() tries the socket
// within the call, so no time passes between check and write.
void HttpTargetExchange::startWrite()
{
  const bool mayStart = mHandler->mayStartWrite();
  if (mIsDone) {
    return;
  }
  if (!mayStart) {
    mWriter->close();
    mPool->release(std::move(mConnection)); // Still usable, since nothing was sent on it.
    reportFailure(false, ErrorCode::LeaseExpired,
                  "the lease or the grant ended before the request was sent");
    return;
  }
  mMayHaveRun = true;
  mWriter->flush(shared_from_this());
  readHead();
}

void HttpTargetExchange::onWriterIdle(bool aIsOpen)
{
  if (mIsDone) {
    return;
  }
  if (!aIsOpen) {
    mWriteFailed = true;
  } else if (!mWriter->isIdle()) {
    mWriter->flush(shared_from_this());
  }
}

void HttpTargetExchange::sendBody(std::string aData, bool aIsLast)
{
  if (mIsDone || !mAwaitsBodyPart) {
    return;
  }
  mAwaitsBodyPart = false;
  if (mFraming == BodyFraming::Length) {
    const bool isTooLong = aData.size() > mRequestBytesLeft;
    mRequestBytesLeft -= isTooLong ? 0 : aData.size();
    if (isTooLong || (aIsLast && mRequestBytesLeft > 0)) {
      postFailure(mMayHaveRun, ErrorCode::BadRequest,
                  "request body differs from its announced length");
      return;
    }
  }
  mRequestQueued = aIsLast;
  mWriter->queueBody(mFraming, std::move(aData), aIsLast,
                     [self = shared_from_this()](bool aIsOpen) { self->onPartWritten(aIsOpen); });
  if (mMayHaveRun) {
    mWriter->flush(shared_from_this());
  }
}

void HttpTargetExchange::onPartWritten(bool aIsOpen)
{
  if (!mIsDone && aIsOpen && !mRequestQueued) {
    mAwaitsBodyPart = true;
    mHandler->onWritable();
  }
}

void HttpTargetExchange::readHead()
{
  mParser.emplace();
  mParser->header_limit(kMaxHeadBytes);
  mParser->body_limit(boost::none);
  if (http::string_to_verb(mRequest.method) == http::verb::head) {
    mParser->skip(true);
  }
  http::async_read_header(mConnection->socket, mConnection->buffer, *mParser,
                          [self = shared_from_this()](const boost::system::error_code& aEc,
                                                      std::size_t) { self->onHeadRead(aEc); });
}

void HttpTargetExchange::onHeadRead(const boost::system::error_code& aEc)
{
  if (mIsDone) {
    return;
  }
  if (aEc) {
    onReadError(aEc);
    return;
  }
  const unsigned status = mParser->get().result_int();
  if (!isValidStatus(status)) {
    reportFailure(true, ErrorCode::OutcomeUnknown,
                  "target sent the invalid status " + std::to_string(status));
    return;
  }
  if (isInterim(status)) {
    if (++mInterimResponses > kMaxInterimResponses) {
      reportFailure(true, ErrorCode::OutcomeUnknown, "too many interim responses");
      return;
    }
    readHead();
    return;
  }
  if (status == 101) {
    reportFailure(true, ErrorCode::OutcomeUnknown,
                  "target sent status 101 without a request to switch protocols");
    return;
  }
  auto headers = headersOf(mParser->get().base());
  if (!mHandler->matchesRequest(status, headers)) {
    if (++mStaleResponses > kMaxStaleResponses || mParser->need_eof()) {
      reportFailure(true, ErrorCode::OutcomeUnknown,
                    "the connection carries responses to other requests");
      return;
    }
    discardStaleResponse();
    return;
  }
  if (!mParser->is_done() && mParser->need_eof() && !mPool->config.allowsCloseDelimited) {
    reportFailure(
      true, ErrorCode::ResponseTruncated,
      "response has neither Content-Length nor chunked coding, so a truncation can't be detected");
    return;
  }
  mHeadDelivered = true;
  std::optional<std::uint64_t> length;
  if (const auto n = mParser->content_length()) {
    length = *n;
  }
  mHandler->onHead(status, std::move(headers), length);
}

// Reads and discards the rest of a response to an earlier request.
void HttpTargetExchange::discardStaleResponse()
{
  if (mParser->is_done()) {
    readHead();
    return;
  }
  mBodyBuffer.resize(mPool->config.chunkBytes);
  auto& body = mParser->get().body();
  body.data = mBodyBuffer.data();
  body.size = mBodyBuffer.size();
  http::async_read_some(mConnection->socket, mConnection->buffer, *mParser,
                        [self = shared_from_this()](const boost::system::error_code& aEc,
                                                    std::size_t) { self->onStaleRead(aEc); });
}

void HttpTargetExchange::onStaleRead(const boost::system::error_code& aEc)
{
  if (mIsDone) {
    return;
  }
  if (aEc && aEc != http::error::need_buffer) {
    onReadError(aEc);
    return;
  }
  discardStaleResponse();
}

void HttpTargetExchange::readMore()
{
  if (mIsDone || !mHeadDelivered || mIsReading) {
    return;
  }
  mIsReading = true;
  if (mParser->is_done()) {
    asio::post(mPool->io, [self = shared_from_this()] {
      if (!self->mIsDone) {
        self->complete("");
      }
    });
    return;
  }
  readSome();
}

void HttpTargetExchange::readSome()
{
  mBodyBuffer.resize(mPool->config.chunkBytes);
  // Beast reads at most the free capacity of the buffer, which is 512 bytes unless it is reserved.
  mConnection->buffer.reserve(std::min(mPool->config.chunkBytes, kReadAheadBytes));
  auto& body = mParser->get().body();
  body.data = mBodyBuffer.data();
  body.size = mBodyBuffer.size();
  http::async_read_some(mConnection->socket, mConnection->buffer, *mParser,
                        [self = shared_from_this()](const boost::system::error_code& aEc,
                                                    std::size_t) { self->onBodyRead(aEc); });
}

void HttpTargetExchange::onBodyRead(const boost::system::error_code& aEc)
{
  if (mIsDone) {
    return;
  }
  if (aEc && aEc != http::error::need_buffer) {
    onReadError(aEc);
    return;
  }
  std::string data(mBodyBuffer.data(), mBodyBuffer.size() - mParser->get().body().size);
  if (mParser->is_done() && mParser->need_eof()) {
    onConnectionEnd(std::move(data));
  } else if (mParser->is_done()) {
    complete(std::move(data));
  } else if (data.empty()) {
    readSome(); // Only framing bytes were read.
  } else {
    mIsReading = false;
    mHandler->onBody(std::move(data), false);
  }
}

// The end of the connection says that the body is complete, unless the connection was reset. The
// system reports a reset to one call only. If a write got it, the read sees a regular end. That
// write ended before the read, but its handler may still be queued, behind the handler of the read.
void HttpTargetExchange::onConnectionEnd(std::string aData)
{
  if (!mWriter->isWriting()) {
    finishUnframed(std::move(aData));
    return;
  }
  asio::post(mPool->io, [self = shared_from_this(), data = std::move(aData)]() mutable {
    if (!self->mIsDone) {
      self->finishUnframed(std::move(data));
    }
  });
}

void HttpTargetExchange::finishUnframed(std::string aData)
{
  if (mWriteFailed) {
    reportFailure(true, ErrorCode::ResponseTruncated,
                  "the connection failed before the end of a response without a length");
  } else {
    complete(std::move(aData));
  }
}

void HttpTargetExchange::onReadError(const boost::system::error_code& aEc)
{
  if (isConnectionLoss(aEc)) {
    ++mPool->connectionLosses;
  }
  // partial_message: the connection was closed within the response.
  if (mHeadDelivered || aEc == http::error::partial_message) {
    reportFailure(true, ErrorCode::ResponseTruncated, "response ended early: " + aEc.message());
  } else {
    reportFailure(true, ErrorCode::OutcomeUnknown, "no response from the target: " + aEc.message());
  }
}

void HttpTargetExchange::complete(std::string aData)
{
  const bool isReusable = mMayReuseConnection && mRequestQueued && mWriter->isIdle() &&
                          !mWriteFailed && mParser->keep_alive() && mConnection->buffer.size() == 0;
  if (isReusable) {
    mWriter->close();
    mPool->release(std::move(mConnection));
  }
  const auto handler = mHandler;
  close();
  handler->onBody(std::move(aData), true);
}

void HttpTargetExchange::cancel()
{
  postFailure(mMayHaveRun, ErrorCode::Cancelled, "request was cancelled");
}

void HttpTargetExchange::checkTimeouts(TimePoint aNow)
{
  if (mIsDone) {
    return;
  }
  if (aNow >= mDeadline) {
    reportFailure(mMayHaveRun, ErrorCode::DeadlineExceeded,
                  "no complete response before the deadline");
  } else if (aNow >= mConnectDeadline) {
    reportFailure(false, ErrorCode::TargetDown, "connecting to the target timed out");
  }
}

// Reports a failure that is detected within a call by the user. The handler must not be called
// within that call, so onFailure() is posted.
void HttpTargetExchange::postFailure(bool aMayHaveRun, ErrorCode aCode, std::string aMessage)
{
  if (mIsDone) {
    return;
  }
  const auto handler = mHandler;
  close();
  asio::post(mPool->io, [handler, aMayHaveRun, aCode, message = std::move(aMessage)] {
    handler->onFailure(aMayHaveRun, aCode, message);
  });
}

void HttpTargetExchange::reportFailure(bool aMayHaveRun, ErrorCode aCode, std::string aMessage)
{
  const auto handler = mHandler;
  close();
  handler->onFailure(aMayHaveRun, aCode, std::move(aMessage));
}

void HttpTargetExchange::discard()
{
  close();
}

// Ends the exchange. A connection that wasn't released to the pool is closed. Its pending
// operations end with an error; until then they keep this object, and with it the socket, alive.
void HttpTargetExchange::close()
{
  const auto self = shared_from_this();
  mIsDone = true;
  if (mWriter) {
    mWriter->close();
  }
  if (mConnection) {
    mConnection->close();
  }
  mHandler.reset();
  mPool->running.erase(self);
}

} // namespace camphorcleat::transport
