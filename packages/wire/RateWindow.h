// Time constant of the request rates that owners report to the control leader.

#ifndef CAMPHORCLEAT_WIRE_RATEWINDOW_H_
#define CAMPHORCLEAT_WIRE_RATEWINDOW_H_

#include "base/Time.h"

namespace camphorcleat::wire {

/// A reported rate decays exponentially: after this time without requests, it has fallen to 37 %.
/// The leader must know it to correct the rate of a partition that has just moved.
constexpr Millis kRateWindow{ 1500 };

} // namespace camphorcleat::wire

#endif // CAMPHORCLEAT_WIRE_RATEWINDOW_H_
