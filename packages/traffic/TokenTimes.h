// Time limits of rate tokens that must be the same at the home of an account and at the daemons
// that request its tokens.

#ifndef CAMPHORCLEAT_TRAFFIC_TOKENTIMES_H_
#define CAMPHORCLEAT_TRAFFIC_TOKENTIMES_H_

#include "base/Time.h"

namespace camphorcleat::traffic {

/// A token expires this long after the drawing daemon sent the token request, on that daemon's
/// clock.
constexpr Millis kTokenLifetime{ 250 };

/// The home keeps a token parked (counted as one that may still be spent) for this time after the
/// grant, on its own clock. The grant is later than the request, so only differences in clock speed
/// have to be covered, by 1 % + 20 ms.
constexpr Duration kTokenHold =
  kTokenLifetime + Duration(kTokenLifetime) / 100 + Duration(Millis(20));

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_TOKENTIMES_H_
