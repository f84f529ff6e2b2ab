// Draws random delays below a ceiling that doubles.

#include "traffic/Backoff.h"

#include <algorithm>

namespace camphorcleat::traffic {

Duration Backoff::next()
{
  std::uniform_int_distribution<Duration::rep> delays(0, mCeiling.count());
  const Duration out(delays(*mRandom));
  mCeiling = std::min(mCeiling * 2, mLast);
  return out;
}

} // namespace camphorcleat::traffic
