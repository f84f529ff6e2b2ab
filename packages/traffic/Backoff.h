// Exponential backoff with full jitter between the attempts of one request.
//
// Each delay is drawn uniformly between zero and a ceiling that doubles after each attempt. This
// spreads the retries of requests that failed together.

#ifndef CAMPHORCLEAT_TRAFFIC_BACKOFF_H_
#define CAMPHORCLEAT_TRAFFIC_BACKOFF_H_

#include <random>

#include "base/Time.h"

namespace camphorcleat::traffic {

/// Not thread-safe.
class Backoff
{
public:
  /// Creates delays whose ceiling starts at aFirst and doubles up to aLast; 0 < aFirst <= aLast.
  /// aRandom must outlive this object.
  Backoff(Millis aFirst, Millis aLast, std::mt19937_64& aRandom)
    : mCeiling(aFirst)
    , mLast(aLast)
    , mRandom(&aRandom)
  {
  }

  /// Returns the delay before the next attempt, between 0 and the current ceiling, and doubles the
  /// ceiling.
  Duration next();

private:
  Duration mCeiling;
  Duration mLast;
  std::mt19937_64* mRandom;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_BACKOFF_H_
