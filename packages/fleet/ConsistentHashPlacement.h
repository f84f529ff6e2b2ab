// Consistent hashing: a hash ring with virtual nodes, as most key-routing systems use it.
//
// It is the baseline that BalancedPlacement is compared with.

#ifndef CAMPHORCLEAT_FLEET_CONSISTENTHASHPLACEMENT_H_
#define CAMPHORCLEAT_FLEET_CONSISTENTHASHPLACEMENT_H_

#include "fleet/Placement.h"

namespace camphorcleat::fleet {

/// Thread-safe, because its state is constant.
class ConsistentHashPlacement : public Placement
{
public:
  /// Each candidate gets aPointsPerWeight points on the ring per unit of weight, but at least one.
  explicit ConsistentHashPlacement(double aPointsPerWeight = 100);
  std::vector<PlannedMove> place(const PlacementInput& aInput) const override;

private:
  std::map<std::uint64_t, NodeId> ringOf(const std::vector<Candidate>& aCandidates) const;

  double mPointsPerWeight;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_CONSISTENTHASHPLACEMENT_H_
