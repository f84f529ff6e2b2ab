// The limit of requests in flight that follows the target's sheds and latency.
//
// Additive increase while the limit is in use, multiplicative decrease on a shed or when the
// smoothed latency is far above its floor. The floor is the least smoothed latency, not the least
// single one: a target with fast and slow kinds of requests would otherwise look overloaded. The
// announced slots are a hard cap. A load report may lower the limit and never raises it, because
// reports lag and may mislead.

#ifndef CAMPHORCLEAT_TRAFFIC_ADMISSIONLIMIT_H_
#define CAMPHORCLEAT_TRAFFIC_ADMISSIONLIMIT_H_

#include <optional>

#include "base/Time.h"
#include "traffic/WindowMinimum.h"

namespace camphorcleat::traffic {

/// Not thread-safe.
class AdmissionLimit
{
public:
  struct Config
  {
    double decreaseFactor = 0.7;
    double latencyFactor = 5;       ///< Smoothed latency over floor that lowers the limit.
    double jumpFactor = 10;         ///< Smoothed latency over floor that means a cold start.
    Millis decreaseInterval{ 100 }; ///< At most one decrease in this time.
    Millis floorWindow{ 10'000 };   ///< The floor is the least latency of 1 to 2 windows.
    Micros minFloor{ 1'000 };       ///< Below this, latency ratios are noise.
    Millis reportLifetime{ 1'000 }; ///< A load report counts for this time.
  };

  AdmissionLimit()
    : AdmissionLimit(Config())
  {
  }
  explicit AdmissionLimit(const Config& aConfig)
    : mConfig(aConfig)
    , mFloorSeconds(aConfig.floorWindow)
    , mMinSeconds(aConfig.floorWindow)
  {
  }

  /// Sets the announced slots. A first call starts at the cap; later calls keep the limit below it.
  void setSlots(std::uint32_t aSlots);

  /// Most requests in flight at aNow: at least 1 and at most the slots (0 if the slots are 0).
  std::uint32_t limit(TimePoint aNow) const;

  /// An answer came after aLatency, with aInFlight requests in flight before it ended.
  void answered(TimePoint aNow, Duration aLatency, std::uint32_t aInFlight);

  /// The target shed a request.
  void shed(TimePoint aNow);

  /// A load report asks for at most aLimit requests in flight. It can't raise the limit.
  void reported(TimePoint aNow, std::uint32_t aLimit);

  /// Whether latency has risen so far above its floor that a cold start is likely. Reading it
  /// forgets the smoothed latency, so that one jump is reported once.
  bool takeLatencyJump();

  /// The least single latency of the last one to two windows, if any answer came.
  std::optional<Duration> minLatency() const;

private:
  void decrease(TimePoint aNow);
  bool isAboveFloor(double aFactor) const;

  Config mConfig;
  std::uint32_t mSlots = 0;
  double mLimit = 0;
  std::uint32_t mReportedLimit = 0;
  std::optional<TimePoint> mReportedAt;
  std::optional<TimePoint> mDecreasedAt;
  double mSmoothedSeconds = 0;
  unsigned mSamples = 0;       // Since the smoothed latency was forgotten.
  WindowMinimum mFloorSeconds; // Of the smoothed latency.
  WindowMinimum mMinSeconds;   // Of single latencies.
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_ADMISSIONLIMIT_H_
