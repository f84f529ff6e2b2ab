// Forwarding, delaying and dropping of one connection's bytes.

#include "harness/ProxyConnection.h"

#include <algorithm>

#include <boost/asio/write.hpp>

namespace camphorcleat::harness {

namespace asio = boost::asio;

namespace {

// Bytes waiting in one direction. With 5 ms of delay this still carries 50 MB/s.
constexpr std::size_t kMaxQueuedBytes = 256U << 10U;

void setReset(asio::ip::tcp::socket& aSocket)
{
  boost::system::error_code ec;
  aSocket.set_option(asio::socket_base::linger(true, 0), ec);
}

} // namespace

ProxyConnection::ProxyConnection(Socket aClient, std::shared_ptr<LinkState> aLink,
                                 ClosedFunction aClosed)
  : mClient(std::move(aClient))
  , mServer(mClient.get_executor())
  , mLink(std::move(aLink))
  , mClosed(std::move(aClosed))
  , mToServer(ProxyDirection::ToServer, mClient, mServer)
  , mToClient(ProxyDirection::ToClient, mServer, mClient)
{
}

void ProxyConnection::start(const Endpoint& aServer)
{
  mServer.async_connect(aServer,
                        [this, self = shared_from_this()](boost::system::error_code aError) {
                          if (mIsOver) {
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

bool ProxyConnection::drops(const Pipe& aPipe) const
{
  return mIsSilent || aPipe.hasLostBytes || mLink->settings.isCut(aPipe.direction);
}

void ProxyConnection::readMore(Pipe& aPipe)
{
  if (mIsOver || aPipe.isReading || aPipe.hasReadEnd || aPipe.queuedBytes >= kMaxQueuedBytes) {
    return;
  }
  aPipe.isReading = true;
  aPipe.from.async_read_some(
    asio::buffer(aPipe.buffer), [this, &aPipe, self = shared_from_this()](
                                  boost::system::error_code aError, std::size_t aBytes) {
      aPipe.isReading = false;
      if (mIsOver) {
        return;
      }
      if (aError) {
        aPipe.hasReadEnd = true;
        enqueue(aPipe, Piece{ "", {}, aError != asio::error::eof });
        return;
      }
      if (drops(aPipe)) {
        drop(aPipe, aBytes);
      } else {
        enqueue(aPipe, Piece{ std::string(aPipe.buffer.data(), aBytes), {}, false });
      }
      readMore(aPipe);
    });
}

void ProxyConnection::drop(Pipe& aPipe, std::size_t aBytes)
{
  aPipe.hasLostBytes = true;
  mLink->stats.droppedBytes += aBytes;
}

void ProxyConnection::enqueue(Pipe& aPipe, Piece aPiece)
{
  const LinkSettings& settings = mLink->settings;
  std::uniform_int_distribution<std::int64_t> jitterUs(
    0, std::chrono::duration_cast<Micros>(settings.jitter).count());
  const TimePoint due = Clock::now() + settings.delay + Micros(jitterUs(*mLink->random));
  aPiece.due = std::max(due, aPipe.lastDue);
  aPipe.lastDue = aPiece.due;
  aPipe.queuedBytes += aPiece.bytes.size();
  aPipe.queue.push_back(std::move(aPiece));
  deliverNext(aPipe);
}

void ProxyConnection::deliverNext(Pipe& aPipe)
{
  if (mIsOver || aPipe.isDelivering || aPipe.queue.empty()) {
    return;
  }
  aPipe.isDelivering = true;
  if (aPipe.queue.front().due <= Clock::now()) {
    deliverFront(aPipe);
    return;
  }
  aPipe.timer.expires_at(aPipe.queue.front().due);
  aPipe.timer.async_wait(
    [this, &aPipe, self = shared_from_this()](boost::system::error_code aError) {
      if (!aError && !mIsOver) {
        deliverFront(aPipe);
      }
    });
}

void ProxyConnection::deliverFront(Pipe& aPipe)
{
  Piece piece = std::move(aPipe.queue.front());
  aPipe.queue.pop_front();
  aPipe.queuedBytes -= piece.bytes.size();
  if (piece.bytes.empty()) {
    deliverEnd(aPipe, piece.isReset);
    return;
  }
  if (drops(aPipe)) {
    drop(aPipe, piece.bytes.size());
    aPipe.isDelivering = false;
    readMore(aPipe);
    deliverNext(aPipe);
    return;
  }
  deliverBytes(aPipe, std::move(piece));
}

std::size_t ProxyConnection::limitByCount(const Pipe& aPipe, std::size_t aBytes) const
{
  const LinkSettings& settings = mLink->settings;
  if (!settings.closeAfterBytes || settings.closeDirection != aPipe.direction) {
    return aBytes;
  }
  const std::uint64_t limit = *settings.closeAfterBytes;
  const std::uint64_t left = limit - std::min(limit, aPipe.countedBytes);
  return static_cast<std::size_t>(std::min<std::uint64_t>(left, aBytes));
}

void ProxyConnection::deliverBytes(Pipe& aPipe, Piece aPiece)
{
  const std::size_t allowed = limitByCount(aPipe, aPiece.bytes.size());
  const bool closesAfter =
    allowed < aPiece.bytes.size() || (limitByCount(aPipe, allowed + 1) == allowed && allowed > 0);
  auto bytes = std::make_shared<std::string>(std::move(aPiece.bytes));
  asio::async_write(aPipe.to, asio::buffer(bytes->data(), allowed),
                    [this, &aPipe, bytes, closesAfter, self = shared_from_this()](
                      boost::system::error_code aError, std::size_t aWritten) {
                      if (mIsOver) {
                        return;
                      }
                      aPipe.isDelivering = false;
                      aPipe.countedBytes += aWritten;
                      (aPipe.direction == ProxyDirection::ToServer ? mLink->stats.toServerBytes
                                                                   : mLink->stats.toClientBytes) +=
                        aWritten;
                      if (closesAfter) {
                        close();
                      } else if (aError) {
                        reset();
                      } else {
                        readMore(aPipe);
                        deliverNext(aPipe);
                      }
                    });
}

void ProxyConnection::deliverEnd(Pipe& aPipe, bool aIsReset)
{
  aPipe.isDelivering = false;
  if (drops(aPipe)) {
    aPipe.hasHeldEnd = true;
    finishIfOver();
    return;
  }
  if (aIsReset) {
    reset();
    return;
  }
  boost::system::error_code ec;
  aPipe.to.shutdown(asio::socket_base::shutdown_send, ec);
  aPipe.hasDelivered = true;
  finishIfOver();
}

void ProxyConnection::finishIfOver()
{
  const auto isOver = [](const Pipe& aPipe) { return aPipe.hasHeldEnd || aPipe.hasDelivered; };
  if (isOver(mToServer) && isOver(mToClient)) {
    close();
  }
}

void ProxyConnection::silence()
{
  mIsSilent = true;
}

void ProxyConnection::settingsChanged()
{
  for (Pipe* it : { &mToServer, &mToClient }) {
    if (it->hasHeldEnd && !mIsSilent && !mLink->settings.isCut(it->direction)) {
      reset();
      return;
    }
  }
}

void ProxyConnection::restartByteCount()
{
  mToServer.countedBytes = 0;
  mToClient.countedBytes = 0;
}

void ProxyConnection::reset()
{
  setReset(mClient);
  if (mServer.is_open()) {
    setReset(mServer);
  }
  close();
}

void ProxyConnection::close()
{
  if (mIsOver) {
    return;
  }
  mIsOver = true;
  boost::system::error_code ec;
  mClient.close(ec);
  mServer.close(ec);
  mToServer.timer.cancel();
  mToClient.timer.cancel();
  mClosed(shared_from_this());
}

} // namespace camphorcleat::harness
