// Delays between the attempts of one request: exponential with full jitter.
//
// Full jitter (uniform between nothing and a ceiling that doubles) spreads the retries of requests
// that failed together.

#ifndef CAMPHORCLEAT_TRAFFIC_BACKOFF_H_
#define CAMPHORCLEAT_TRAFFIC_BACKOFF_H_

#include <random>

#include "base/Time.h"

namespace camphorcleat::traffic {

/// Not thread-safe.
class Backoff
{
public:
  /// Ceilings go from aFirst, doubling, up to aLast; 0 < aFirst <= aLast. aRandom must outlive this
  /// object.
  Backoff(Millis aFirst, Millis aLast, std::mt19937_64& aRandom)
    : mCeiling(aFirst)
    , mLast(aLast)
    , mRandom(&aRandom)
  {
  }

  /// The delay before the next attempt, from 0 to the current ceiling.
  Duration next();

private:
  Duration mCeiling;
  Duration mLast;
  std::mt19937_64* mRandom;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_BACKOFF_H_
