// Placement that keeps shares proportional to slots and moves as little as possible.
//
// A hash ring spreads partitions unevenly (PlacementTest: with 100 points each, the fullest of 7
// nodes has 22 % more than the mean of 16,384 partitions). Control holds the whole table anyway, so
// exact counting costs nothing: a join moves only what the new node should have, a loss only what
// the lost node had.

#ifndef CAMPHORCLEAT_FLEET_BALANCEDPLACEMENT_H_
#define CAMPHORCLEAT_FLEET_BALANCEDPLACEMENT_H_

#include "fleet/Placement.h"

namespace camphorcleat::fleet {

/// Thread-safe: has no state.
class BalancedPlacement : public Placement
{
public:
  std::vector<PlannedMove> place(const PlacementInput& aInput) const override;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_BALANCEDPLACEMENT_H_
