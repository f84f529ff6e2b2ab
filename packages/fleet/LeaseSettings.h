// Times of the lease protocol. docs/design.md, section 4, gives the reason for each.

#ifndef CAMPHORCLEAT_FLEET_LEASESETTINGS_H_
#define CAMPHORCLEAT_FLEET_LEASESETTINGS_H_

#include "base/Time.h"

namespace camphorcleat::fleet {

struct LeaseSettings
{
  Millis length{ 1000 };
  Millis renewInterval{ 200 };
  /// The control leader waits for this additional time before it declares a node lost whose target
  /// doesn't check grants.
  Millis uncheckedGrace{ 300 };
  /// No new work is admitted if the view was last confirmed longer ago than this.
  Millis confirmLimit{ 3000 };
  /// A route or account key is refused as unknown only if the view was confirmed within this time.
  Millis absenceLimit{ 1000 };

  /// Returns the upper bound of the drift between two monotonic clocks during one lease, plus timer
  /// slack.
  Duration drift() const
  {
    constexpr int kDriftDivisor = 100; // 1 %
    constexpr Millis kTimerSlack{ 20 };
    return length / kDriftDivisor + kTimerSlack;
  }
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_LEASESETTINGS_H_
