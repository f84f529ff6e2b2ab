// Placement that keeps the nodes' shares proportional to their slots with the fewest moves.
//
// A hash ring spreads partitions unevenly (PlacementTest: with 100 points per node, the most loaded
// of 7 nodes has 22 % more than the mean of 16,384 partitions). The control members store the whole
// partition table, so partitions can be counted exactly at no extra cost. A join moves only the new
// node's share, and a loss moves only the partitions of the lost node.

#ifndef CAMPHORCLEAT_FLEET_BALANCEDPLACEMENT_H_
#define CAMPHORCLEAT_FLEET_BALANCEDPLACEMENT_H_

#include "fleet/Placement.h"

namespace camphorcleat::fleet {

/// Thread-safe, because it has no state.
class BalancedPlacement : public Placement
{
public:
  std::vector<PlannedMove> place(const PlacementInput& aInput) const override;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_BALANCEDPLACEMENT_H_
