// Whether and when a request gets a second attempt while the first still runs.
//
// Only idempotent unkeyed requests are hedged: a keyed one has one owner, and any other one must
// not run twice. The second attempt starts after the measured 95th percentile, for at most 5 % of
// requests, so that hedges can't overload the targets that are already slow.

#ifndef CAMPHORCLEAT_TRAFFIC_HEDGEPOLICY_H_
#define CAMPHORCLEAT_TRAFFIC_HEDGEPOLICY_H_

#include <algorithm>
#include <optional>

#include "traffic/LatencyTracker.h"

namespace camphorcleat::traffic {

/// Not thread-safe. One for all requests of an entry daemon to one service.
class HedgePolicy
{
public:
  static constexpr double kHedgesPerRequest = 0.05;
  static constexpr double kMaxSaved = 20; ///< Hedges that can be saved up; the start is 0.
  /// A hedge after this quantile. At 0.95 the ordinary tail alone took the whole budget of 5 %, and
  /// none was left when a target was slow.
  static constexpr double kDelayQuantile = 0.98;

  /// Whether a request of this kind may be hedged.
  static bool mayHedge(bool aIsKeyed, bool aIsIdempotent) { return !aIsKeyed && aIsIdempotent; }

  /// A request that may be hedged has begun.
  void recordRequest() { mHedges = std::min(mHedges + kHedgesPerRequest, kMaxSaved); }

  /// The first answer to such a request began after aLatency.
  void recordLatency(TimePoint aNow, Duration aLatency) { mLatencies.add(aNow, aLatency); }

  /// How long to wait for the first attempt; nothing if too little is known.
  std::optional<Duration> delay(TimePoint aNow) const { return mLatencies.quantile(aNow); }

  /// Takes one hedge from the budget; false if there is none.
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
