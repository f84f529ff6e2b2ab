// Estimates a quantile of recent latencies.
//
// Boost.Accumulators estimates quantiles in constant memory (P-square algorithm) but does not
// support sliding windows for them. This class therefore keeps two estimates, one of the current
// window and one of the last complete window. The latter is used until the current window has
// enough samples.

#ifndef CAMPHORCLEAT_TRAFFIC_LATENCYTRACKER_H_
#define CAMPHORCLEAT_TRAFFIC_LATENCYTRACKER_H_

#include <optional>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "base/Time.h"

namespace camphorcleat::traffic {

/// Not thread-safe. Times must not decrease between calls.
class LatencyTracker
{
public:
  /// Minimum number of samples for an estimate of a high quantile.
  static constexpr std::size_t kMinSamples = 100;

  /// Requires 0 < aQuantile < 1 and aWindow > 0.
  explicit LatencyTracker(double aQuantile = 0.95, Millis aWindow = Millis(5'000));

  void add(TimePoint aNow, Duration aLatency);

  /// Returns the quantile of the current window or, while that has too few samples, of the last
  /// complete window; nothing if neither has enough samples.
  std::optional<Duration> quantile(TimePoint aNow) const;

private:
  using Estimate = boost::accumulators::accumulator_set<
    double, boost::accumulators::stats<boost::accumulators::tag::count,
                                       boost::accumulators::tag::p_square_quantile>>;

  Estimate newEstimate() const;

  double mQuantile;
  Duration mWindow;
  Estimate mCurrent;
  std::optional<TimePoint> mWindowStart;
  std::optional<Duration> mPrevious;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_LATENCYTRACKER_H_
