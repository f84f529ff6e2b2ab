// Times of the lease protocol. docs/design.md, section 4, argues for each.

#ifndef CAMPHORCLEAT_FLEET_LEASESETTINGS_H_
#define CAMPHORCLEAT_FLEET_LEASESETTINGS_H_

#include "base/Time.h"

namespace camphorcleat::fleet {

struct LeaseSettings
{
  Millis length{ 1000 };
  Millis renewInterval{ 200 };
  Millis uncheckedGrace{ 300 }; ///< Added for nodes whose target doesn't check grants.
  Millis confirmLimit{ 3000 };  ///< A view unconfirmed for longer takes no new work.

  /// Bound on how far two monotonic clocks drift apart during one lease, plus timer slack.
  Duration drift() const
  {
    constexpr int kDriftDivisor = 100; // 1 %
    constexpr Millis kTimerSlack{ 20 };
    return length / kDriftDivisor + kTimerSlack;
  }
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_LEASESETTINGS_H_
