// State machine of the connection of a caller.
//
// The connection is reused only if the request body was read to its end and the response was
// written to its end. Otherwise it is closed, because the next bytes on it could belong to either
// request.

#include "transport/HttpSession.h"

#include <algorithm>
#include <utility>

#include <poll.h>

#include <boost/asio/post.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>

#include "base/Log.h"
#include "transport/HttpHeaders.h"

namespace camphorcleat::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Space for body bytes or further requests that arrive together with a header.
constexpr std::size_t kReadAheadBytes = 64U << 10U;
// Limit of the buffer of an idle connection, so that 10,000 idle connections hold 40 MB.
constexpr std::size_t kIdleBufferBytes = 4U << 10U;
// After the last response, input is discarded until the caller closes the connection. Closing a
// socket with unread input resets the connection, and the caller could lose the response. If one of
// these limits is exceeded, the connection is closed nevertheless, so that a caller that keeps
// sending can't hold it.
constexpr std::size_t kMaxDiscardBytes = 1U << 20U;
constexpr Millis kLingerTimeout{ 1000 };
constexpr unsigned kHttp10 = 10;
constexpr unsigned kHttp11 = 11;

class RequestStream final : public CallerStream
{
public:
  RequestStream(std::shared_ptr<HttpSession> aSession, std::uint64_t aRequestNumber)
    : mSession(std::move(aSession))
    , mRequestNumber(aRequestNumber)
  {
  }
  ~RequestStream() override { mSession->abort(mRequestNumber); }
  RequestStream(const RequestStream&) = delete;
  RequestStream& operator=(const RequestStream&) = delete;

  const std::string& method() const override { return mMethod; }
  const std::string& path() const override { return mPath; }
  const std::vector<wire::Header>& headers() const override { return mHeaders; }
  std::optional<std::uint64_t> contentLength() const override { return mContentLength; }
  std::string callerAddress() const override { return mCallerAddress; }

  void readBody(std::function<void(BodyPart)> aCallback) override
  {
    mSession->readBody(mRequestNumber, std::move(aCallback));
  }
  void sendHead(unsigned aStatus, std::vector<wire::Header> aHeaders,
                std::optional<std::uint64_t> aContentLength) override
  {
    mSession->sendHead(mRequestNumber, aStatus, aHeaders, aContentLength);
  }
  void sendBody(std::string aData, bool aIsLast, std::function<void(bool aIsOpen)> aDone) override
  {
    mSession->sendBody(mRequestNumber, std::move(aData), aIsLast, std::move(aDone));
  }
  void sendResponse(unsigned aStatus, std::vector<wire::Header> aHeaders,
                    std::string aBody) override
  {
    const std::uint64_t length = aBody.size();
    mSession->sendHead(mRequestNumber, aStatus, aHeaders, length);
    mSession->sendBody(mRequestNumber, std::move(aBody), true, nullptr);
  }
  void abort() override { mSession->abort(mRequestNumber); }
  void onDisconnect(std::function<void()> aCallback) override
  {
    mSession->onDisconnect(mRequestNumber, std::move(aCallback));
  }
  bool hasDisconnected() const override { return mSession->hasDisconnected(mRequestNumber); }

private:
  friend class camphorcleat::transport::HttpSession;
  std::shared_ptr<HttpSession> mSession;
  std::uint64_t mRequestNumber;
  std::string mMethod;
  std::string mPath;
  std::string mCallerAddress;
  std::vector<wire::Header> mHeaders;
  std::optional<std::uint64_t> mContentLength;
};

std::string remoteAddress(const asio::ip::tcp::socket& aSocket)
{
  boost::system::error_code ec;
  const auto remote = aSocket.remote_endpoint(ec);
  if (ec) {
    return "";
  }
  const std::string ip = remote.address().to_string(ec);
  return (remote.address().is_v6() ? "[" + ip + "]" : ip) + ":" + std::to_string(remote.port());
}

bool isHttpError(const boost::system::error_code& aEc)
{
  return aEc.category() == http::make_error_code(http::error::end_of_stream).category();
}

} // namespace

HttpSession::HttpSession(asio::ip::tcp::socket aSocket, std::shared_ptr<HttpFrontendState> aState)
  : mSocket(std::move(aSocket))
  , mState(std::move(aState))
  , mReceiveBuffer(mState->limits.maxHeaderBytes + kReadAheadBytes)
{
}

void HttpSession::start()
{
  // The writer holds a weak reference, since a strong one would form a cycle that leaks closed
  // sessions.
  mWriter = std::make_shared<HttpWriter>(mSocket, [weak = weak_from_this()](bool aIsOpen) {
    if (const auto self = weak.lock()) {
      self->onWriterIdle(aIsOpen);
    }
  });
  mState->sessions.insert(shared_from_this());
  mState->sessionCount = mState->sessions.size();
  boost::system::error_code ec;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ec);
  mCallerAddress = remoteAddress(mSocket);
  mReadDeadline = Clock::now() + mState->limits.headerTimeout;
  readHeader();
}

void HttpSession::refuse(unsigned aStatus, ErrorCode aCode, const std::string& aMessage)
{
  // No handler has seen the request, so the outcome "not-run" is correct.
  const std::string code(enumName(aCode));
  const std::string body = code + ": " + aMessage + "\n";
  mKeepAlive = false;
  mHeadSent = true;
  mResponseQueued = true;
  chooseFraming(aStatus, body.size());
  std::string bytes = serializeHead(aStatus,
                                    { { "Content-Type", "text/plain" },
                                      { "Camphorcleat-Outcome", "not-run" },
                                      { "Camphorcleat-Code", code } },
                                    body.size());
  mWriter->queue(std::move(bytes));
  if (!mIsHeadRequest) {
    mWriter->queue(body);
  }
  mReadDeadline = TimePoint::max();
  mPhase = Phase::Reading;
  mWriter->flush(shared_from_this());
}

bool HttpSession::isCurrent(std::uint64_t aRequestNumber) const
{
  return mPhase == Phase::Running && aRequestNumber == mRequestNumber;
}

// Waits for the first byte of the next request. headerTimeout applies only from that byte on.
void HttpSession::waitForRequest()
{
  if (mReceiveBuffer.size() > 0) {
    mReadDeadline = Clock::now() + mState->limits.headerTimeout;
    readHeader();
    return;
  }
  mPhase = Phase::Idle;
  mBodyBuffer = std::vector<char>();
  if (mReceiveBuffer.capacity() > kIdleBufferBytes) {
    mReceiveBuffer.shrink_to_fit();
  }
  mReadDeadline = Clock::now() + mState->limits.keepAliveTimeout;
  mSocket.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const boost::system::error_code& aEc) {
                       if (self->mPhase != Phase::Idle) {
                         return;
                       }
                       if (aEc) {
                         self->close(false);
                         return;
                       }
                       self->mReadDeadline = Clock::now() + self->mState->limits.headerTimeout;
                       self->readHeader();
                     });
}

void HttpSession::readHeader()
{
  mPhase = Phase::Reading;
  mReceiveBuffer.max_size(mState->limits.maxHeaderBytes + kReadAheadBytes);
  mParser.emplace();
  mParser->header_limit(static_cast<std::uint32_t>(mState->limits.maxHeaderBytes));
  mParser->body_limit(mState->limits.maxBodyBytes);
  http::async_read_header(mSocket, mReceiveBuffer, *mParser,
                          [self = shared_from_this()](const boost::system::error_code& aEc,
                                                      std::size_t) { self->onHeader(aEc); });
}

void HttpSession::onHeader(const boost::system::error_code& aEc)
{
  if (mPhase == Phase::Closed) {
    return;
  }
  mIsHeadRequest = mParser->get().method() == http::verb::head;
  if (aEc) {
    onHeaderError(aEc);
    return;
  }
  const std::string fault = findHeaderFault();
  if (!fault.empty()) {
    refuse(400, ErrorCode::BadRequest, fault);
    return;
  }
  const auto expect = mParser->get().find(http::field::expect);
  if (expect != mParser->get().end() &&
      !equalHeaderNames({ expect->value().data(), expect->value().size() }, "100-continue")) {
    refuse(417, ErrorCode::BadRequest, "only the expectation 100-continue is supported");
    return;
  }
  startRequest();
}

void HttpSession::onHeaderError(const boost::system::error_code& aEc)
{
  if (aEc == http::error::header_limit || aEc == http::error::buffer_overflow) {
    refuse(431, ErrorCode::HeaderTooLarge,
           "header is longer than " + std::to_string(mState->limits.maxHeaderBytes) + " bytes");
  } else if (aEc == http::error::body_limit) {
    refuse(413, ErrorCode::BodyTooLarge,
           "body is longer than " + std::to_string(mState->limits.maxBodyBytes) + " bytes");
  } else if (isHttpError(aEc) && aEc != http::error::end_of_stream &&
             aEc != http::error::partial_message) {
    refuse(400, ErrorCode::BadRequest, "malformed request: " + aEc.message());
  } else {
    close(false);
  }
}

// Returns why the header is refused, or "" if it is accepted. The rules are stricter than Beast's:
// all ambiguous framing is refused, because request smuggling is possible if two parsers disagree
// about where a message ends.
std::string HttpSession::findHeaderFault() const
{
  const auto& request = mParser->get();
  const auto lengths = request.equal_range(http::field::content_length);
  if (std::distance(lengths.first, lengths.second) > 1 ||
      (lengths.first != lengths.second &&
       lengths.first->value().find(',') != boost::beast::string_view::npos)) {
    return "more than one Content-Length";
  }
  const auto codings = request.equal_range(http::field::transfer_encoding);
  if (codings.first != codings.second) {
    if (lengths.first != lengths.second) {
      return "both Content-Length and Transfer-Encoding";
    }
    if (request.version() < kHttp11 || std::distance(codings.first, codings.second) > 1 ||
        !boost::beast::iequals(codings.first->value(), "chunked")) {
      return "Transfer-Encoding other than chunked";
    }
  }
  if (request.version() != kHttp10 && request.version() != kHttp11) {
    return "unsupported version of HTTP";
  }
  if (request.version() == kHttp11 && request.count(http::field::host) != 1) {
    return "expected one Host header";
  }
  return "";
}

bool HttpSession::hasCallerClosed()
{
  pollfd fd{ nativeSocket(), POLLRDHUP, 0 };
  return ::poll(&fd, 1, 0) > 0;
}

void HttpSession::startRequest()
{
  if (hasCallerClosed()) { // While its request waited to be read.
    close(false);
    return;
  }
  const auto& request = mParser->get();
  mPhase = Phase::Running;
  ++mRequestNumber;
  mReadDeadline = TimePoint::max();
  mFraming = BodyFraming::None;
  mBodyFailed = mBodyTimedOut = mHeadSent = mResponseQueued = false;
  mKeepAlive = request.keep_alive();
  mNeedsContinue = request.count(http::field::expect) > 0 && request.version() == kHttp11;
  ++mState->openRequests;

  auto stream = std::make_shared<RequestStream>(shared_from_this(), mRequestNumber);
  const auto method = request.method_string();
  stream->mMethod.assign(method.data(), method.size());
  stream->mPath.assign(request.target().data(), request.target().size());
  stream->mCallerAddress = mCallerAddress;
  for (const auto& it : request) {
    stream->mHeaders.push_back({ std::string(it.name_string().data(), it.name_string().size()),
                                 std::string(it.value().data(), it.value().size()) });
  }
  removeHopByHopHeaders(stream->mHeaders);
  if (!mParser->chunked()) {
    stream->mContentLength = mParser->content_length().value_or(0);
  }
  mState->handler.onRequest(std::move(stream));
}

void HttpSession::queueContinue()
{
  if (mNeedsContinue && !mHeadSent) {
    mWriter->queue("HTTP/1.1 100 Continue\r\n\r\n");
    scheduleFlush();
  }
  mNeedsContinue = false;
}

void HttpSession::readBody(std::uint64_t aRequestNumber, std::function<void(BodyPart)> aCallback)
{
  BodyPart part;
  if (!isCurrent(aRequestNumber) || mBodyFailed || mOnBody) {
    part.error = ErrorCode::Cancelled;
  } else if (mParser->is_done()) {
    part.isLast = true;
  } else {
    mOnBody = std::move(aCallback);
    queueContinue();
    readSome();
    return;
  }
  asio::post(mSocket.get_executor(),
             [callback = std::move(aCallback), part = std::move(part)] { callback(part); });
}

void HttpSession::readSome()
{
  mBodyBuffer.resize(mState->limits.chunkBytes);
  // Beast reads at most the free capacity of the buffer, which is 512 bytes unless it is reserved.
  mReceiveBuffer.reserve(std::min(mState->limits.chunkBytes, kReadAheadBytes));
  auto& body = mParser->get().body();
  body.data = mBodyBuffer.data();
  body.size = mBodyBuffer.size();
  mReadDeadline = Clock::now() + mState->limits.bodyIdleTimeout;
  http::async_read_some(mSocket, mReceiveBuffer, *mParser,
                        [self = shared_from_this()](const boost::system::error_code& aEc,
                                                    std::size_t) { self->onBodyRead(aEc); });
}

void HttpSession::onBodyRead(const boost::system::error_code& aEc)
{
  mReadDeadline = TimePoint::max();
  BodyPart part = makeBodyPart(aEc);
  if (!part.error && part.data.empty() && !part.isLast && mPhase == Phase::Running) {
    readSome(); // Only framing bytes were read.
    return;
  }
  if (part.error) {
    mBodyFailed = true;
    mKeepAlive = false;
  }
  const bool hasDisconnected = part.error == ErrorCode::Cancelled && mPhase == Phase::Running;
  deliverBodyPart(std::move(part));
  if (hasDisconnected) {
    handleDisconnect();
  }
}

BodyPart HttpSession::makeBodyPart(const boost::system::error_code& aEc)
{
  BodyPart part;
  if (mPhase != Phase::Running) {
    part.error = ErrorCode::Cancelled;
  } else if (mBodyTimedOut) {
    part.error = ErrorCode::DeadlineExceeded;
  } else if (aEc && aEc != http::error::need_buffer) {
    const bool isMalformed =
      isHttpError(aEc) && aEc != http::error::end_of_stream && aEc != http::error::partial_message;
    // All other errors mean that the connection is lost, which BodyPart reports as Cancelled.
    part.error = aEc == http::error::body_limit ? ErrorCode::BodyTooLarge
                 : isMalformed                  ? ErrorCode::BadRequest
                                                : ErrorCode::Cancelled;
  } else {
    part.data.assign(mBodyBuffer.data(), mBodyBuffer.size() - mParser->get().body().size);
    part.isLast = mParser->is_done();
  }
  return part;
}

void HttpSession::deliverBodyPart(BodyPart aPart)
{
  if (mOnBody) {
    const auto callback = std::exchange(mOnBody, nullptr);
    callback(std::move(aPart));
  }
}

void HttpSession::chooseFraming(unsigned aStatus, std::optional<std::uint64_t> aContentLength)
{
  const bool hasNoBody = mIsHeadRequest || aStatus == 204 || aStatus == 304;
  if (hasNoBody) {
    mFraming = BodyFraming::None;
  } else if (aContentLength) {
    mFraming = BodyFraming::Length;
    mResponseBytesLeft = *aContentLength;
  } else if (mParser && mParser->get().version() == kHttp10) {
    mFraming = BodyFraming::CloseDelimited;
    mKeepAlive = false;
  } else {
    mFraming = BodyFraming::Chunked;
  }
}

std::string HttpSession::serializeHead(unsigned aStatus, const std::vector<wire::Header>& aHeaders,
                                       std::optional<std::uint64_t> aContentLength)
{
  const bool isHttp10 = mParser && mParser->get().version() == kHttp10;
  http::response<http::empty_body> head;
  head.version(kHttp11);
  head.result(aStatus);
  for (const auto& it : aHeaders) {
    if (!isFramingHeader(it.name)) {
      head.insert(it.name, it.value);
    }
  }
  if (aContentLength && aStatus != 204) {
    head.set(http::field::content_length, std::to_string(*aContentLength));
  } else if (mFraming == BodyFraming::Chunked) {
    head.set(http::field::transfer_encoding, "chunked");
  }
  if (!mKeepAlive) {
    head.set(http::field::connection, "close");
  } else if (isHttp10) {
    head.set(http::field::connection, "keep-alive");
  }
  http::response_serializer<http::empty_body> serializer(head);
  serializer.split(true);
  std::string out;
  boost::system::error_code ec;
  serializer.next(ec, [&](boost::system::error_code&, const auto& aBuffers) {
    out = boost::beast::buffers_to_string(aBuffers);
  });
  return out;
}

void HttpSession::sendHead(std::uint64_t aRequestNumber, unsigned aStatus,
                           const std::vector<wire::Header>& aHeaders,
                           std::optional<std::uint64_t> aContentLength)
{
  if (!isCurrent(aRequestNumber) || mHeadSent) {
    return;
  }
  mHeadSent = true;
  mKeepAlive = mKeepAlive && !mState->isDraining && mParser->is_done();
  chooseFraming(aStatus, aContentLength);
  mWriter->queue(serializeHead(aStatus, aHeaders, aContentLength));
  scheduleFlush();
}

void HttpSession::sendBody(std::uint64_t aRequestNumber, std::string aData, bool aIsLast,
                           std::function<void(bool)> aDone)
{
  if (!isCurrent(aRequestNumber) || !mHeadSent || mResponseQueued) {
    if (aDone) {
      asio::post(mSocket.get_executor(), [done = std::move(aDone)] { done(false); });
    }
    return;
  }
  if (mFraming == BodyFraming::Length) {
    const bool isTooLong = aData.size() > mResponseBytesLeft;
    mResponseBytesLeft -= isTooLong ? 0 : aData.size();
    if (isTooLong || (aIsLast && mResponseBytesLeft > 0)) {
      logEvent(LogLevel::Warning, "answer_length_differs",
               { { "caller", mCallerAddress }, { "reason", isTooLong ? "longer" : "shorter" } });
      if (aDone) {
        asio::post(mSocket.get_executor(), [done = std::move(aDone)] { done(false); });
      }
      close(true);
      return;
    }
  }
  mResponseQueued = aIsLast;
  mWriter->queueBody(mFraming, std::move(aData), aIsLast, std::move(aDone));
  scheduleFlush();
}

void HttpSession::abort(std::uint64_t aRequestNumber)
{
  if (isCurrent(aRequestNumber) && !mResponseQueued) {
    mOnDisconnect = nullptr;
    close(true);
  }
}

void HttpSession::onDisconnect(std::uint64_t aRequestNumber, std::function<void()> aCallback)
{
  if (isCurrent(aRequestNumber)) {
    mOnDisconnect = std::move(aCallback);
  }
}

bool HttpSession::hasDisconnected(std::uint64_t aRequestNumber)
{
  return !isCurrent(aRequestNumber) || hasCallerClosed();
}

// Flushes after the handlers that are already queued, so that a head and its body go out in one
// write.
void HttpSession::scheduleFlush()
{
  if (mFlushScheduled || mWriter->isWriting()) {
    return; // When the write in progress ends, it flushes the queue.
  }
  mFlushScheduled = true;
  asio::post(mSocket.get_executor(), [self = shared_from_this()] {
    self->mFlushScheduled = false;
    self->mWriter->flush(self);
  });
}

void HttpSession::onWriterIdle(bool aIsOpen)
{
  if (mPhase == Phase::Closed) {
    return;
  }
  if (!aIsOpen) {
    handleDisconnect();
    return;
  }
  if (!mWriter->isIdle()) {
    mWriter->flush(shared_from_this());
  } else if (mResponseQueued) {
    finishRequest();
  }
}

void HttpSession::finishRequest()
{
  const bool isReusable = mKeepAlive && mParser->is_done() && !mState->isDraining;
  unregisterRequest();
  mResponseQueued = false;
  if (isReusable) {
    waitForRequest();
  } else {
    linger();
  }
}

// Marks the current request as ended, so that later calls for it do nothing.
void HttpSession::unregisterRequest()
{
  if (mPhase == Phase::Running) {
    --mState->openRequests;
    mPhase = Phase::Reading;
  }
  mOnDisconnect = nullptr;
}

// Closes the sending side and discards input until the caller closes the connection.
void HttpSession::linger()
{
  mPhase = Phase::Lingering;
  mReadDeadline = Clock::now() + kLingerTimeout;
  boost::system::error_code ec;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  if (mOnBody) {
    mSocket.cancel(ec); // Ends the handler's body read, whose callback gets Cancelled.
  }
  readAndDiscard();
}

void HttpSession::readAndDiscard()
{
  mBodyBuffer.resize(mState->limits.chunkBytes);
  mSocket.async_read_some(
    asio::buffer(mBodyBuffer),
    [self = shared_from_this()](const boost::system::error_code& aEc, std::size_t aBytes) {
      if (self->mPhase != Phase::Lingering) {
        return;
      }
      self->mDiscardedBytes += aBytes;
      if (aEc || self->mDiscardedBytes > kMaxDiscardBytes) {
        self->close(false);
      } else {
        self->readAndDiscard();
      }
    });
}

void HttpSession::checkTimeouts(TimePoint aNow)
{
  const auto& limits = mState->limits;
  if (mWriter->isWriting() && aNow - mWriter->lastProgress() >= limits.bodyIdleTimeout) {
    handleDisconnect();
  } else if (aNow >= mReadDeadline) {
    if (mPhase == Phase::Running && !mWriter->isWriting()) {
      // Cancels only the body read, so that the handler can still send a response.
      mBodyTimedOut = true;
      mReadDeadline = TimePoint::max();
      boost::system::error_code ec;
      mSocket.cancel(ec);
    } else {
      handleDisconnect();
    }
  }
}

void HttpSession::handleDisconnect()
{
  const auto self = shared_from_this();
  const auto callback = std::exchange(mOnDisconnect, nullptr);
  close(false);
  if (callback) {
    callback();
  }
}

void HttpSession::closeIfIdle()
{
  if (mPhase == Phase::Idle) {
    close(false);
  }
}

void HttpSession::close(bool aReset)
{
  if (mPhase == Phase::Closed) {
    return;
  }
  const auto self = shared_from_this();
  const bool looksComplete = isRunning() && mHeadSent && mFraming == BodyFraming::CloseDelimited;
  unregisterRequest();
  mPhase = Phase::Closed;
  mReadDeadline = TimePoint::max();
  boost::system::error_code ec;
  if (aReset || looksComplete) {
    mSocket.set_option(asio::socket_base::linger(true, 0), ec);
  }
  mSocket.close(ec);
  mWriter->close();
  if (!mState->isClosed) {
    mState->sessions.erase(self);
    mState->sessionCount = mState->sessions.size();
  }
}

} // namespace camphorcleat::transport
