// Time limits of rate tokens that must be the same at the home of an account and at the daemons
// that request its tokens.

#ifndef CAMPHORCLEAT_TRAFFIC_TOKENTIMES_H_
#define CAMPHORCLEAT_TRAFFIC_TOKENTIMES_H_

#include "base/Time.h"

namespace camphorcleat::traffic {

/// A token expires this long after the drawing daemon sent the token request, on that daemon's
/// clock, unless the home paces token requests.
constexpr Millis kTokenLifetime{ 250 };

/// Longest lifetime of a token whose drawer is paced (RateHome.h).
constexpr Millis kMaxTokenLifetime{ 1'000 };

/// Returns for how long the home keeps a token parked (counted as one that may still be spent)
/// after the grant, on its own clock. The grant is later than the request, so only differences in
/// clock speed have to be covered, by 1 % + 20 ms.
constexpr Duration tokenHold(Duration aLifetime)
{
  constexpr int kPercent = 100;
  return aLifetime + aLifetime / kPercent + Duration(Millis(20));
}

constexpr Duration kTokenHold = tokenHold(kTokenLifetime);
constexpr Duration kMaxTokenHold = tokenHold(kMaxTokenLifetime);

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_TOKENTIMES_H_
