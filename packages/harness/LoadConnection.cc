// Sends requests, reads responses and detects idle connections that the peer closes.

#include "harness/LoadConnection.h"

#include <sys/socket.h>

#include "harness/JsonLines.h"

namespace camphorcleat::harness {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Twice the largest response that a plan may ask for (16 MiB).
constexpr std::uint64_t kMaxResponseBytes = 32U << 20U;

} // namespace

LoadConnection::LoadConnection(asio::io_context& aLoop, Endpoint aEntry, DoneCallback aOnDone,
                               ClosedCallback aOnClosed)
  : mStream(aLoop)
  , mEntry(std::move(aEntry))
  , mOnDone(std::move(aOnDone))
  , mOnClosed(std::move(aOnClosed))
{
}

void LoadConnection::send(LoadCall aCall)
{
  mIsIdle = false;
  mCall = std::move(aCall);
  mCall.record.entry = endpointText(mEntry);
  mStream.expires_after(mCall.timeout);
  if (mIsConnected) {
    writeRequest();
    return;
  }
  mStream.async_connect(mEntry, [self = shared_from_this()](boost::system::error_code aError) {
    if (aError) {
      self->finishUnreachable(aError.message());
      return;
    }
    self->mIsConnected = true;
    boost::system::error_code ec;
    self->mStream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    self->writeRequest();
  });
}

void LoadConnection::writeRequest()
{
  http::async_write(mStream, mCall.request,
                    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                      // The entry may refuse the request and close the connection before it has
                      // read the whole body, so the response is read even if the write failed.
                      if (aError == boost::beast::error::timeout) {
                        self->finishCall(aError);
                      } else {
                        self->readResponse();
                      }
                    });
}

void LoadConnection::readResponse()
{
  mParser.emplace();
  mParser->body_limit(kMaxResponseBytes);
  if (mCall.request.method() == http::verb::head) {
    mParser->skip(true);
  }
  http::async_read(mStream, mBuffer, *mParser,
                   [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                     self->finishCall(aError);
                   });
}

void LoadConnection::finishCall(boost::system::error_code aError)
{
  CallResponse callResponse;
  callResponse.isComplete = !aError;
  callResponse.transportError = aError ? aError.message() : "";
  bool isKeptAlive = false;
  if (mParser && mParser->is_header_done()) {
    const auto& response = mParser->get();
    callResponse.status = response.result_int();
    callResponse.outcome = std::string(response["Camphorcleat-Outcome"]);
    callResponse.body = response.body();
    isKeptAlive = !aError && response.keep_alive();
  }
  checkResponse(mCall.expected, callResponse, mCall.record);
  mParser.reset();
  if (!isKeptAlive) {
    close();
  }
  reportDone();
}

void LoadConnection::finishUnreachable(const std::string& aReason)
{
  mCall.record.result = CallResult::Unreachable;
  mCall.record.error = aReason;
  close();
  reportDone();
}

void LoadConnection::reportDone()
{
  mCall.record.doneUs = monotonicMicros();
  mCall.record.latencyUs = mCall.record.doneUs - mCall.record.scheduledUs;
  mOnDone(shared_from_this(), mCall.record);
}

void LoadConnection::markIdle()
{
  mIsIdle = true;
  mStream.expires_never();
  mStream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                              [self = shared_from_this()](boost::system::error_code aError) {
                                if (!aError && self->mIsIdle && !self->isReusable()) {
                                  self->close();
                                  self->mOnClosed(self);
                                }
                              });
}

bool LoadConnection::isReusable() const
{
  if (!mIsConnected) {
    return false;
  }
  // An idle connection that is readable was closed by the peer or holds unexpected bytes.
  char byte = 0;
  const auto socket = const_cast<boost::beast::tcp_stream&>(mStream).socket().native_handle();
  const ssize_t n = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void LoadConnection::close()
{
  mIsConnected = false;
  boost::system::error_code ec;
  mStream.socket().close(ec);
}

} // namespace camphorcleat::harness
