// The limit of requests in flight while a target warms up after a cold start.
//
// The limit starts at the target's cold slots and climbs linearly to its slots over the warm-up
// time. A new cold start, announced or detected, begins again at the cold slots.

#ifndef CAMPHORCLEAT_TRAFFIC_SLOWSTARTLIMIT_H_
#define CAMPHORCLEAT_TRAFFIC_SLOWSTARTLIMIT_H_

#include <optional>

#include "base/Time.h"

namespace camphorcleat::traffic {

/// Not thread-safe.
class SlowStartLimit
{
public:
  /// Sets what the target announces. Cold slots above aSlots count as aSlots. Does not start a
  /// ramp.
  void configure(std::uint32_t aSlots, std::uint32_t aColdSlots, Millis aWarmUp);

  /// A cold start begins, or is noticed, at aNow.
  void start(TimePoint aNow);

  /// Most requests in flight at aNow, between the cold slots and the slots.
  std::uint32_t limit(TimePoint aNow) const;

  /// Whether the ramp is still below the slots at aNow.
  bool isWarming(TimePoint aNow) const { return limit(aNow) < mSlots; }

  /// When the limit next grows, while warming.
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
