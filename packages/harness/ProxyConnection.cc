// Forwards, delays and drops the bytes of one connection.

#include "harness/ProxyConnection.h"

#include <algorithm>

#include <boost/asio/write.hpp>

namespace camphorcleat::harness {

namespace asio = boost::asio;

namespace {

// Limit on the queued bytes of one direction. At a delay of 5 ms it allows 50 MB/s.
constexpr std::size_t kMaxQueuedBytes = 256U << 10U;

void setResetOnClose(asio::ip::tcp::socket& aSocket)
{
  boost::system::error_code ec;
  aSocket.set_option(asio::socket_base::linger(true, 0), ec);
}

} // namespace

ProxyConnection::ProxyConnection(Socket aClient, std::shared_ptr<LinkState> aLink,
                                 ClosedCallback aOnClosed)
  : mClient(std::move(aClient))
  , mServer(mClient.get_executor())
  , mLink(std::move(aLink))
  , mOnClosed(std::move(aOnClosed))
  , mToServer(ProxyDirection::ToServer, mClient, mServer)
  , mToClient(ProxyDirection::ToClient, mServer, mClient)
{
}

void ProxyConnection::start(const Endpoint& aServer)
{
  mServer.async_connect(aServer,
                        [this, self = shared_from_this()](boost::system::error_code aError) {
                          if (mIsClosed) {
                            return;
                          }
                          if (aError) {
                            reset();
                            return;
                          }
                          boost::system::error_code ec;
                          mClient.set_option(asio::ip::tcp::no_delay(true), ec);
                          mServer.set_option(asio::ip::tcp::no_delay(true), ec);
                          readMore(mToServer);
                          readMore(mToClient);
                        });
}

bool ProxyConnection::isDropping(const Pipe& aPipe) const
{
  return mIsSilenced || aPipe.hasDroppedBytes || mLink->settings.isCut(aPipe.direction);
}

void ProxyConnection::readMore(Pipe& aPipe)
{
  if (mIsClosed || aPipe.isReading || aPipe.hasReadEnd || aPipe.queuedBytes >= kMaxQueuedBytes) {
    return;
  }
  aPipe.isReading = true;
  aPipe.from.async_read_some(
    asio::buffer(aPipe.buffer), [this, &aPipe, self = shared_from_this()](
                                  boost::system::error_code aError, std::size_t aBytes) {
      aPipe.isReading = false;
      if (mIsClosed) {
        return;
      }
      if (aError) {
        aPipe.hasReadEnd = true;
        enqueue(aPipe, Chunk{ "", {}, aError != asio::error::eof });
        return;
      }
      if (isDropping(aPipe)) {
        recordDrop(aPipe, aBytes);
      } else {
        enqueue(aPipe, Chunk{ std::string(aPipe.buffer.data(), aBytes), {}, false });
      }
      readMore(aPipe);
    });
}

void ProxyConnection::recordDrop(Pipe& aPipe, std::size_t aBytes)
{
  aPipe.hasDroppedBytes = true;
  mLink->stats.droppedBytes += aBytes;
}

void ProxyConnection::enqueue(Pipe& aPipe, Chunk aChunk)
{
  const LinkSettings& settings = mLink->settings;
  std::uniform_int_distribution<std::int64_t> jitterUs(
    0, std::chrono::duration_cast<Micros>(settings.jitter).count());
  const TimePoint due = Clock::now() + settings.delay + Micros(jitterUs(*mLink->random));
  aChunk.due = std::max(due, aPipe.lastDue);
  aPipe.lastDue = aChunk.due;
  aPipe.queuedBytes += aChunk.bytes.size();
  aPipe.queue.push_back(std::move(aChunk));
  forwardNext(aPipe);
}

void ProxyConnection::forwardNext(Pipe& aPipe)
{
  if (mIsClosed || aPipe.isForwarding || aPipe.queue.empty()) {
    return;
  }
  aPipe.isForwarding = true;
  if (aPipe.queue.front().due <= Clock::now()) {
    forwardFront(aPipe);
    return;
  }
  aPipe.timer.expires_at(aPipe.queue.front().due);
  aPipe.timer.async_wait(
    [this, &aPipe, self = shared_from_this()](boost::system::error_code aError) {
      if (!aError && !mIsClosed) {
        forwardFront(aPipe);
      }
    });
}

void ProxyConnection::forwardFront(Pipe& aPipe)
{
  Chunk chunk = std::move(aPipe.queue.front());
  aPipe.queue.pop_front();
  aPipe.queuedBytes -= chunk.bytes.size();
  if (chunk.bytes.empty()) {
    forwardEnd(aPipe, chunk.isReset);
    return;
  }
  if (isDropping(aPipe)) {
    recordDrop(aPipe, chunk.bytes.size());
    aPipe.isForwarding = false;
    readMore(aPipe);
    forwardNext(aPipe);
    return;
  }
  forwardBytes(aPipe, std::move(chunk));
}

// Returns how many of the next aBytes bytes LinkSettings::closeAfterBytes allows to forward.
std::size_t ProxyConnection::forwardableBytes(const Pipe& aPipe, std::size_t aBytes) const
{
  const LinkSettings& settings = mLink->settings;
  if (!settings.closeAfterBytes || settings.closeDirection != aPipe.direction) {
    return aBytes;
  }
  const std::uint64_t limit = *settings.closeAfterBytes;
  const std::uint64_t remaining = limit - std::min(limit, aPipe.forwardedBytes);
  return static_cast<std::size_t>(std::min<std::uint64_t>(remaining, aBytes));
}

void ProxyConnection::forwardBytes(Pipe& aPipe, Chunk aChunk)
{
  const std::size_t allowed = forwardableBytes(aPipe, aChunk.bytes.size());
  // The connection is closed if the limit truncates this chunk or is reached exactly at its end.
  const bool closesAfter = allowed < aChunk.bytes.size() ||
                           (forwardableBytes(aPipe, allowed + 1) == allowed && allowed > 0);
  auto bytes = std::make_shared<std::string>(std::move(aChunk.bytes));
  asio::async_write(aPipe.to, asio::buffer(bytes->data(), allowed),
                    [this, &aPipe, bytes, closesAfter, self = shared_from_this()](
                      boost::system::error_code aError, std::size_t aWritten) {
                      if (mIsClosed) {
                        return;
                      }
                      aPipe.isForwarding = false;
                      aPipe.forwardedBytes += aWritten;
                      (aPipe.direction == ProxyDirection::ToServer ? mLink->stats.toServerBytes
                                                                   : mLink->stats.toClientBytes) +=
                        aWritten;
                      if (closesAfter) {
                        close();
                      } else if (aError) {
                        reset();
                      } else {
                        readMore(aPipe);
                        forwardNext(aPipe);
                      }
                    });
}

void ProxyConnection::forwardEnd(Pipe& aPipe, bool aIsReset)
{
  aPipe.isForwarding = false;
  if (isDropping(aPipe)) {
    aPipe.isEndWithheld = true;
    closeIfFinished();
    return;
  }
  if (aIsReset) {
    reset();
    return;
  }
  boost::system::error_code ec;
  aPipe.to.shutdown(asio::socket_base::shutdown_send, ec);
  aPipe.hasForwardedEnd = true;
  closeIfFinished();
}

void ProxyConnection::closeIfFinished()
{
  const auto isFinished = [](const Pipe& aPipe) {
    return aPipe.isEndWithheld || aPipe.hasForwardedEnd;
  };
  if (isFinished(mToServer) && isFinished(mToClient)) {
    close();
  }
}

void ProxyConnection::silence()
{
  mIsSilenced = true;
}

void ProxyConnection::onSettingsChanged()
{
  for (Pipe* it : { &mToServer, &mToClient }) {
    if (it->isEndWithheld && !mIsSilenced && !mLink->settings.isCut(it->direction)) {
      reset();
      return;
    }
  }
}

void ProxyConnection::restartByteCount()
{
  mToServer.forwardedBytes = 0;
  mToClient.forwardedBytes = 0;
}

void ProxyConnection::reset()
{
  setResetOnClose(mClient);
  if (mServer.is_open()) {
    setResetOnClose(mServer);
  }
  close();
}

void ProxyConnection::close()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  boost::system::error_code ec;
  mClient.close(ec);
  mServer.close(ec);
  mToServer.timer.cancel();
  mToClient.timer.cancel();
  mOnClosed(shared_from_this());
}

} // namespace camphorcleat::harness
