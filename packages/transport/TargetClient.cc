// Starts exchanges and checks their time limits.

#include "transport/TargetClient.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "transport/HttpTargetExchange.h"
#include "transport/TargetConnectionPool.h"
#include "transport/TargetFetch.h"
#include "transport/Ticker.h"

namespace camphorcleat::transport {

namespace {

// While exchanges run, and while there are only idle connections.
constexpr Millis kTickInterval{ 10 };
constexpr Millis kIdleTickInterval{ 250 };

} // namespace

struct TargetClient::Impl
{
  std::shared_ptr<TargetConnectionPool> pool;
  Ticker ticker;
  Ticker idleTicker;

  Impl(boost::asio::io_context& aIo, TargetClientConfig aConfig)
    : pool(std::make_shared<TargetConnectionPool>(aIo, std::move(aConfig)))
    , ticker(aIo, kTickInterval, [this](TimePoint aNow) { tick(aNow); })
    , idleTicker(aIo, kIdleTickInterval, [this](TimePoint aNow) { idleTick(aNow); })
  {
  }

  void idleTick(TimePoint aNow)
  {
    pool->closeIdle(aNow);
    if (pool->running.empty() && pool->idle.empty()) {
      idleTicker.stop();
    }
  }

  void tick(TimePoint aNow)
  {
    const std::vector<std::shared_ptr<HttpTargetExchange>> running(pool->running.begin(),
                                                                   pool->running.end());
    for (const auto& it : running) {
      it->checkTimeouts(aNow);
    }
    if (pool->running.empty()) {
      ticker.stop();
    }
  }
};

TargetClient::TargetClient(boost::asio::io_context& aIo, TargetClientConfig aConfig)
  : mImpl(std::make_unique<Impl>(aIo, std::move(aConfig)))
{
}

TargetClient::~TargetClient()
{
  mImpl->pool->isClosed = true;
  const auto running = mImpl->pool->running;
  for (const auto& it : running) {
    it->discard();
  }
  mImpl->pool->idle.clear();
}

std::shared_ptr<TargetExchange> TargetClient::start(TargetRequest aRequest,
                                                    std::shared_ptr<TargetHandler> aHandler,
                                                    TimePoint aDeadline)
{
  const auto exchange = std::make_shared<HttpTargetExchange>(mImpl->pool, std::move(aRequest),
                                                             std::move(aHandler), aDeadline);
  mImpl->pool->running.insert(exchange);
  mImpl->ticker.start();
  mImpl->idleTicker.start();
  boost::asio::post(mImpl->pool->io, [exchange] { exchange->begin(); });
  return exchange;
}

std::shared_ptr<TargetExchange> TargetClient::start(TargetRequest aRequest, TargetHandler& aHandler,
                                                    TimePoint aDeadline)
{
  return start(std::move(aRequest),
               std::shared_ptr<TargetHandler>(std::shared_ptr<void>(), &aHandler), aDeadline);
}

void TargetClient::fetch(std::string aMethod, std::string aPath, std::string aBody, Millis aTimeout,
                         std::function<void(FetchResult)> aCallback)
{
  auto guarded = [pool = std::weak_ptr<TargetConnectionPool>(mImpl->pool),
                  callback = std::move(aCallback)](FetchResult aResult) {
    const auto alive = pool.lock();
    if (alive && !alive->isClosed) {
      callback(std::move(aResult));
    }
  };
  if (!mImpl->pool->endpoint) {
    boost::asio::post(mImpl->pool->io, [guarded] {
      FetchResult result;
      result.code = ErrorCode::TargetDown;
      result.message = "target address is not ip:port";
      guarded(std::move(result));
    });
    return;
  }
  startFetch(mImpl->pool->io, *mImpl->pool->endpoint,
             FetchRequest{ mImpl->pool->config.address, std::move(aMethod), std::move(aPath),
                           std::move(aBody), aTimeout },
             std::move(guarded));
}

void TargetClient::probe(Millis aTimeout, std::function<void(ProbeResult)> aCallback)
{
  if (!mImpl->pool->endpoint) {
    boost::asio::post(mImpl->pool->io,
                      [callback = std::move(aCallback)] { callback(ProbeResult::Unreachable); });
    return;
  }
  auto stream = std::make_shared<boost::beast::tcp_stream>(mImpl->pool->io);
  stream->expires_after(aTimeout);
  stream->async_connect(*mImpl->pool->endpoint,
                        [pool = std::weak_ptr<TargetConnectionPool>(mImpl->pool), stream,
                         callback = std::move(aCallback)](const boost::system::error_code& aEc) {
                          const auto alive = pool.lock();
                          if (!alive || alive->isClosed) {
                            return;
                          }
                          const bool isRefused = aEc == boost::asio::error::connection_refused;
                          callback(
                            !aEc ? ProbeResult::Accepted
                                 : (isRefused ? ProbeResult::Refused : ProbeResult::Unreachable));
                        });
}

std::size_t TargetClient::openConnections() const
{
  return mImpl->pool->openCount;
}

std::uint64_t TargetClient::connectionLosses() const
{
  return mImpl->pool->connectionLosses;
}

} // namespace camphorcleat::transport
