// Limit on the number of requests in flight while a target warms up (slow start).
//
// After a cold start, the limit begins at the target's cold slots and grows linearly to its slots
// over the warm-up time. Another cold start, announced or detected, resets it to the cold slots.

#ifndef CAMPHORCLEAT_TRAFFIC_SLOWSTARTLIMIT_H_
#define CAMPHORCLEAT_TRAFFIC_SLOWSTARTLIMIT_H_

#include <optional>

#include "base/Time.h"

namespace camphorcleat::traffic {

/// Not thread-safe.
class SlowStartLimit
{
public:
  /// Sets the values that the target announces. aColdSlots is capped at aSlots. Does not start a
  /// warm-up.
  void configure(std::uint32_t aSlots, std::uint32_t aColdSlots, Millis aWarmUp);

  /// Starts the warm-up. Call it when a cold start is announced or detected.
  void start(TimePoint aNow);

  /// Returns the maximum number of requests in flight at aNow, between the cold slots and the
  /// slots.
  std::uint32_t limit(TimePoint aNow) const;

  /// Returns whether the limit is still below the slots at aNow.
  bool isWarming(TimePoint aNow) const { return limit(aNow) < mSlots; }

  /// Returns when the limit grows by one, or nothing if the target is warm.
  std::optional<TimePoint> nextStep(TimePoint aNow) const;

  std::uint32_t coldSlots() const { return mColdSlots; }

private:
  std::uint32_t mSlots = 0;
  std::uint32_t mColdSlots = 0;
  Duration mWarmUp{ 0 };
  std::optional<TimePoint> mStartedAt;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_SLOWSTARTLIMIT_H_
