// Times that the home of an account and the drawers of its tokens agree on.

#ifndef CAMPHORCLEAT_TRAFFIC_TOKENTIMES_H_
#define CAMPHORCLEAT_TRAFFIC_TOKENTIMES_H_

#include "base/Time.h"

namespace camphorcleat::traffic {

/// A token expires so long after its drawer sent the draw, on the drawer's clock.
constexpr Millis kTokenLifetime{ 250 };

/// The home counts a token as parked so long after the grant, on its own clock. The grant is later
/// than the draw, so only the difference in clock speed has to be covered: 1 % + 20 ms.
constexpr Duration kTokenHold =
  kTokenLifetime + Duration(kTokenLifetime) / 100 + Duration(Millis(20));

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_TOKENTIMES_H_
