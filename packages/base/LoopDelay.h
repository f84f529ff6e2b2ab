// Measures how late an event loop is, from the times of a periodic event on it.
//
// A thread that is busy, or gets no processor time, reads its sockets late. The kernel doesn't tell
// how long their bytes have waited, but it can't be longer than the loop was late.

#ifndef CAMPHORCLEAT_BASE_LOOPDELAY_H_
#define CAMPHORCLEAT_BASE_LOOPDELAY_H_

#include "base/Time.h"

namespace camphorcleat {

/// Used by one thread only.
class LoopDelay
{
public:
  /// aInterval is the time between two calls of tick() on a punctual thread.
  explicit LoopDelay(Duration aInterval)
    : mInterval(aInterval)
  {
  }

  /// Records the periodic event. If it is late by kReported or more, logs thread_late with the
  /// processor time that the thread and the process have used since the latest check, which is at
  /// most kCheckInterval old on a punctual thread. aNow must not decrease.
  void tick(TimePoint aNow);

  /// Forgets earlier ticks. Call it if ticks were stopped for some time.
  void reset();

  /// Returns for how long bytes that are read now may have waited unread; zero if the loop is
  /// punctual. Bytes that arrive while the loop is blocked are read after the next tick or just
  /// before it, so the time counts from the tick before the latest one.
  Duration maxUnread(TimePoint aNow) const;

  static constexpr Millis kReported{ 200 };
  static constexpr Millis kCheckInterval{ 1000 };

private:
  void check(TimePoint aNow);

  Duration mInterval;
  TimePoint mLatest;
  TimePoint mPrevious; ///< The tick before the latest one.
  TimePoint mCheckedAt;
  Duration mThreadTime{ 0 }; ///< Processor time at mCheckedAt.
  Duration mProcessTime{ 0 };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_LOOPDELAY_H_
