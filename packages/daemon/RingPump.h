// Delivers messages from an input ring on a duty thread's event loop.

#ifndef CAMPHORCLEAT_DAEMON_RINGPUMP_H_
#define CAMPHORCLEAT_DAEMON_RINGPUMP_H_

#include <functional>
#include <utility>

#include "base/DutyThread.h"
#include "base/Ring.h"

namespace camphorcleat::daemon {

/// Calls a function on the duty thread for each message of a ring. Construct it before the first
/// push. Close the ring and stop the thread before destroying it.
template<class Message>
class RingPump
{
public:
  RingPump(Ring<Message>& aRing, DutyThread& aThread, std::function<void(Message)> aHandle)
    : mRing(aRing)
    , mThread(aThread)
    , mHandle(std::move(aHandle))
  {
    mRing.setWakeCallback([this] { mThread.post([this] { drain(); }); });
  }

  RingPump(const RingPump&) = delete;
  RingPump& operator=(const RingPump&) = delete;

private:
  // Maximum messages handled in one call, so that sockets and timers on the same loop are not
  // delayed.
  static constexpr std::size_t kBatch = 256;

  void drain()
  {
    for (auto& it : mRing.popMany(kBatch)) {
      mHandle(std::move(it));
    }
    // The ring calls the wake function only when it changes from empty to non-empty.
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
