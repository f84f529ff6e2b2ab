// Periodic timer on an io_context. Internal to the package.
//
// One scan over all connections per tick replaces a timer per connection and operation. At 8,300
// requests/s, each with several time limits, setting and cancelling timers would cost more.

#ifndef CAMPHORCLEAT_TRANSPORT_TICKER_H_
#define CAMPHORCLEAT_TRANSPORT_TICKER_H_

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "base/Time.h"

namespace camphorcleat::transport {

class Ticker
{
public:
  /// aFunction runs on the context's thread every aInterval, from start() until the ticker is
  /// stopped or destroyed.
  Ticker(boost::asio::io_context& aIo, Duration aInterval, std::function<void(TimePoint)> aFunction)
    : mState(std::make_shared<State>(aIo, aInterval, std::move(aFunction)))
  {
  }
  ~Ticker() { stop(); }

  Ticker(const Ticker&) = delete;
  Ticker& operator=(const Ticker&) = delete;

  /// Starts the timer; does nothing if it is running. Must be called on the context's thread.
  void start()
  {
    if (!mState->isRunning) {
      mState->isRunning = true;
      arm(mState);
    }
  }

  /// Stops the timer; the function isn't called again. Must be called on the context's thread.
  void stop()
  {
    mState->isRunning = false;
    mState->timer.cancel();
  }

private:
  struct State
  {
    State(boost::asio::io_context& aIo, Duration aInterval, std::function<void(TimePoint)> aTick)
      : timer(aIo)
      , interval(aInterval)
      , tick(std::move(aTick))
    {
    }
    boost::asio::steady_timer timer;
    Duration interval;
    std::function<void(TimePoint)> tick;
    bool isRunning = false;
    unsigned generation = 0;
  };

  static void arm(const std::shared_ptr<State>& aState)
  {
    // If the ticker is restarted after its timer expired and before the handler ran, the handler of
    // the earlier start must not continue: there would be two series of ticks.
    const unsigned generation = ++aState->generation;
    aState->timer.expires_after(aState->interval);
    aState->timer.async_wait([state = aState, generation](const boost::system::error_code& aEc) {
      if (aEc || !state->isRunning || state->generation != generation) {
        return;
      }
      state->tick(Clock::now());
      if (state->isRunning && state->generation == generation) {
        arm(state);
      }
    });
  }

  std::shared_ptr<State> mState;
};

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_TICKER_H_
