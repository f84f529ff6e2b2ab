// Decides whether and when a request gets a second attempt (a hedge) while the first one is still
// running.
//
// Only idempotent unkeyed requests are hedged: a keyed request has only one owner, and a request
// that is not idempotent must not run twice. The second attempt starts after a high quantile of the
// measured latencies (kDelayQuantile). At most 5 % of the requests are hedged, so that hedges
// cannot overload targets that are already slow.

#ifndef CAMPHORCLEAT_TRAFFIC_HEDGEPOLICY_H_
#define CAMPHORCLEAT_TRAFFIC_HEDGEPOLICY_H_

#include <algorithm>
#include <optional>

#include "traffic/LatencyTracker.h"

namespace camphorcleat::traffic {

/// Not thread-safe. One instance serves all requests of an entry daemon to one service.
class HedgePolicy
{
public:
  static constexpr double kHedgesPerRequest = 0.05;
  /// Maximum number of unused hedges in the budget. The budget starts at 0, and each request that
  /// may be hedged adds kHedgesPerRequest.
  static constexpr double kMaxUnusedHedges = 20;
  /// The hedge starts after this quantile of the latencies. At 0.95, ordinary slow requests used up
  /// the whole budget of 5 %, and none was left when a target became slow.
  static constexpr double kDelayQuantile = 0.98;

  /// Returns whether a request of this kind may be hedged.
  static bool mayHedge(bool aIsKeyed, bool aIsIdempotent) { return !aIsKeyed && aIsIdempotent; }

  /// Records the start of a request that may be hedged, which adds to the budget.
  void recordRequest() { mHedges = std::min(mHedges + kHedgesPerRequest, kMaxUnusedHedges); }

  /// Records that the response to a request that may be hedged began after aLatency.
  void recordLatency(TimePoint aNow, Duration aLatency) { mLatencies.add(aNow, aLatency); }

  /// Returns how long to wait for the first attempt before hedging, or nothing if there are too few
  /// samples.
  std::optional<Duration> delay(TimePoint aNow) const { return mLatencies.quantile(aNow); }

  /// Takes one hedge from the budget. Returns false if the budget is empty.
  bool tryAcquire()
  {
    if (mHedges < 1) {
      return false;
    }
    mHedges -= 1;
    return true;
  }

private:
  LatencyTracker mLatencies{ kDelayQuantile };
  double mHedges = 0;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_HEDGEPOLICY_H_
