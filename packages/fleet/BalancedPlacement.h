// Placement that keeps shares proportional to slots and moves as little as possible.
//
// A hash ring spreads partitions unevenly (with 100 virtual nodes each, the fullest of 7 nodes has
// about 15 % more than its share) and can't be corrected. Control holds the whole table anyway, so
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
