// An adaptive limit on the number of requests in flight at a target.
//
// The limit grows additively while it is fully used. It shrinks multiplicatively when the target
// sheds a request for its load or when the smoothed latency is far above its floor. A shed shows
// that the target is overloaded only if the target hasn't recently accepted a request while it ran
// as many others; a target that refuses requests whatever its load would otherwise hardly be used.
// The floor is the minimum of the smoothed latency rather than of single latencies, because a
// target that serves both fast and slow kinds of requests would otherwise look overloaded. The
// slots that the target announces are a hard upper bound. A load report can lower the limit but
// never raises it, because reports lag and may be wrong.

#ifndef CAMPHORCLEAT_TRAFFIC_ADMISSIONLIMIT_H_
#define CAMPHORCLEAT_TRAFFIC_ADMISSIONLIMIT_H_

#include <cstdint>
#include <optional>

#include "base/EnumNames.h"
#include "base/Time.h"
#include "traffic/WindowMinimum.h"

namespace camphorcleat::traffic {

/// Why an AdmissionLimit shrank.
enum class LimitDecreaseCause
{
  Shed,   ///< The target shed a request.
  Latency ///< The smoothed latency is far above its floor.
};

/// Not thread-safe.
class AdmissionLimit
{
public:
  struct Config
  {
    double decreaseFactor = 0.7;
    double latencyFactor = 5; ///< The limit shrinks above this ratio of smoothed latency to floor.
    /// A cold start is assumed above this ratio of smoothed latency to floor.
    double jumpFactor = 10;
    Millis decreaseInterval{ 100 }; ///< Minimum time between two decreases.
    /// What the target accepted is the maximum over the last 1 to 2 windows.
    Millis acceptedWindow{ 2'000 };
    Millis floorWindow{ 10'000 }; ///< The floor is the minimum over the last 1 to 2 windows.
    /// Lower floors are raised to this value, because ratios of shorter latencies are mostly noise.
    Micros minFloor{ 1'000 };
    Millis reportLifetime{ 1'000 }; ///< A load report is ignored after this time.
  };

  AdmissionLimit()
    : AdmissionLimit(Config())
  {
  }
  explicit AdmissionLimit(const Config& aConfig)
    : mConfig(aConfig)
    , mMinusAccepted(aConfig.acceptedWindow)
    , mFloorSeconds(aConfig.floorWindow)
    , mMinSeconds(aConfig.floorWindow)
  {
  }

  /// Sets the number of slots that the target announces. The first call sets the limit to aSlots;
  /// later calls only lower it to aSlots if it is higher.
  void setSlots(std::uint32_t aSlots);

  /// Returns the maximum number of requests in flight at aNow: at least 1 and at most the slots, or
  /// 0 if the target has no slots.
  std::uint32_t limit(TimePoint aNow) const;

  /// Records a response that took aLatency. aInFlight is the number of requests in flight,
  /// including the answered one. aConcurrency is how many the target ran, including this one, when
  /// it accepted the request.
  void recordResponse(TimePoint aNow, Duration aLatency, std::uint32_t aInFlight,
                      std::uint32_t aConcurrency);

  /// Records that the target shed a request that would have been the aConcurrency-th to run.
  void shed(TimePoint aNow, std::uint32_t aConcurrency);

  /// Records a load report that asks for at most aLimit requests in flight. It cannot raise the
  /// limit, and expires after Config::reportLifetime.
  void loadReported(TimePoint aNow, std::uint32_t aLimit);

  /// Returns whether the latency has risen so far above its floor that a cold start is likely.
  /// Returning true resets the smoothed latency, so that each jump is reported only once.
  bool takeLatencyJump();

  /// Returns the minimum single latency of the last one to two windows, or nothing if there was no
  /// response.
  std::optional<Duration> minLatency() const;

  /// Returns how often the limit has shrunk.
  std::uint64_t decreases() const { return mDecreases; }

  /// Returns why it shrank last. Requires decreases() > 0.
  LimitDecreaseCause lastDecreaseCause() const { return mLastDecreaseCause; }

private:
  void decrease(TimePoint aNow, LimitDecreaseCause aCause);
  bool isAboveFloor(double aFactor) const;

  Config mConfig;
  std::uint32_t mSlots = 0;
  double mLimit = 0;
  std::uint32_t mReportedLimit = 0;
  std::optional<TimePoint> mReportedAt;
  std::optional<TimePoint> mDecreasedAt;
  std::uint64_t mDecreases = 0;
  LimitDecreaseCause mLastDecreaseCause = LimitDecreaseCause::Shed;
  double mSmoothedSeconds = 0;
  unsigned mSamples = 0;        // Samples since the smoothed latency was reset.
  WindowMinimum mMinusAccepted; // Negative of the largest concurrency that the target accepted.
  WindowMinimum mFloorSeconds;  // Minimum of the smoothed latency.
  WindowMinimum mMinSeconds;    // Minimum of single latencies.
};

} // namespace camphorcleat::traffic

namespace camphorcleat {

template<>
struct EnumNames<traffic::LimitDecreaseCause>
{
  static constexpr EnumName<traffic::LimitDecreaseCause> kTable[] = {
    { traffic::LimitDecreaseCause::Shed, "shed" },
    { traffic::LimitDecreaseCause::Latency, "latency" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_TRAFFIC_ADMISSIONLIMIT_H_
