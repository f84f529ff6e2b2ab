// Connects an input ring to a duty thread's event loop.

#ifndef CAMPHORCLEAT_DAEMON_RINGPUMP_H_
#define CAMPHORCLEAT_DAEMON_RINGPUMP_H_

#include <functional>
#include <utility>

#include "base/DutyThread.h"
#include "base/Ring.h"

namespace camphorcleat::daemon {

/// Hands each message of a ring to a function on the thread. Construct before the first push; the
/// ring must be closed and the thread stopped before it is destroyed.
template<class Message>
class RingPump
{
public:
  RingPump(Ring<Message>& aRing, DutyThread& aThread, std::function<void(Message)> aHandle)
    : mRing(aRing)
    , mThread(aThread)
    , mHandle(std::move(aHandle))
  {
    mRing.setWake([this] { mThread.post([this] { drain(); }); });
  }

  RingPump(const RingPump&) = delete;
  RingPump& operator=(const RingPump&) = delete;

private:
  // Messages handled before sockets and timers of the same loop get their turn.
  static constexpr std::size_t kBatch = 256;

  void drain()
  {
    for (auto& it : mRing.popMany(kBatch)) {
      mHandle(std::move(it));
    }
    // The ring wakes only when it turns from empty to not empty.
    if (mRing.size() > 0) {
      mThread.post([this] { drain(); });
    }
  }

  Ring<Message>& mRing;
  DutyThread& mThread;
  std::function<void(Message)> mHandle;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_RINGPUMP_H_
