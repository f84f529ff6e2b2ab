// Sending, reading and the idle watch of one connection.

#include "harness/LoadConnection.h"

#include <sys/socket.h>

#include "harness/JsonLines.h"

namespace camphorcleat::harness {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t kMaxAnswerBytes = 32U
                                          << 20U; // Twice the largest answer a plan may ask for.

} // namespace

LoadConnection::LoadConnection(asio::io_context& aLoop, Endpoint aEntry, DoneFunction aDone,
                               LostFunction aLost)
  : mStream(aLoop)
  , mEntry(std::move(aEntry))
  , mDone(std::move(aDone))
  , mLost(std::move(aLost))
{
}

void LoadConnection::send(LoadCall aCall)
{
  mIsIdle = false;
  mCall = std::move(aCall);
  mCall.record.entry = endpointText(mEntry);
  mStream.expires_after(mCall.timeout);
  if (mIsConnected) {
    write();
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
    self->write();
  });
}

void LoadConnection::write()
{
  http::async_write(mStream, mCall.request,
                    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                      // A refusal may arrive before the whole body is sent, so the answer is read
                      // even if the peer has closed its side.
                      if (aError == boost::beast::error::timeout) {
                        self->finish(aError);
                      } else {
                        self->readAnswer();
                      }
                    });
}

void LoadConnection::readAnswer()
{
  mParser.emplace();
  mParser->body_limit(kMaxAnswerBytes);
  if (mCall.request.method() == http::verb::head) {
    mParser->skip(true);
  }
  http::async_read(mStream, mBuffer, *mParser,
                   [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                     self->finish(aError);
                   });
}

void LoadConnection::finish(boost::system::error_code aError)
{
  CallAnswer answer;
  answer.isComplete = !aError;
  answer.transportError = aError ? aError.message() : "";
  bool keepsAlive = false;
  if (mParser && mParser->is_header_done()) {
    const auto& response = mParser->get();
    answer.status = response.result_int();
    answer.outcome = std::string(response["Camphorcleat-Outcome"]);
    answer.body = response.body();
    keepsAlive = !aError && response.keep_alive();
  }
  judgeAnswer(mCall.expected, answer, mCall.record);
  mParser.reset();
  if (!keepsAlive) {
    close();
  }
  report();
}

void LoadConnection::finishUnreachable(const std::string& aReason)
{
  mCall.record.result = CallResult::Unreachable;
  mCall.record.fault = aReason;
  close();
  report();
}

void LoadConnection::report()
{
  mCall.record.doneUs = monotonicMicros();
  mCall.record.latencyUs = mCall.record.doneUs - mCall.record.sentUs;
  mDone(shared_from_this(), mCall.record);
}

void LoadConnection::watchIdle()
{
  mIsIdle = true;
  mStream.expires_never();
  mStream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                              [self = shared_from_this()](boost::system::error_code aError) {
                                if (!aError && self->mIsIdle && !self->isReusable()) {
                                  self->close();
                                  self->mLost(self);
                                }
                              });
}

bool LoadConnection::isReusable() const
{
  if (!mIsConnected) {
    return false;
  }
  // Anything to read on an idle connection is its end or bytes that nobody asked for.
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
