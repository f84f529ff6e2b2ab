// Placement of a ranged service: each target owns few, long ranges of neighbouring partitions.
//
// Busy keys lie side by side and a target is told its keys as ranges, so long ranges keep both the
// messages and the number of hand-overs small. What must move goes to the candidates with the least
// load for their weight, in pieces as long as possible. Balancing moves cut a piece off the end of
// the fullest target's ranges, and only if the gap is worth the move.

#ifndef CAMPHORCLEAT_FLEET_RANGEPLACEMENT_H_
#define CAMPHORCLEAT_FLEET_RANGEPLACEMENT_H_

#include "fleet/Placement.h"

namespace camphorcleat::fleet {

/// Not thread-safe.
class RangePlacement : public Placement
{
public:
  /// A crowded target keeps its keys if its part of its share is above that of the emptiest target
  /// by less than this.
  static constexpr double kTolerance = 0.3;
  /// The same for a target that has room: a move interrupts its keys, and rates measured over a few
  /// seconds differ by chance.
  static constexpr double kCalmTolerance = 0.8;
  /// A target that has less than this part of its share gets keys although nobody is crowded.
  static constexpr double kLeastPart = 0.5;

  std::vector<PlannedMove> place(const PlacementInput& aInput) const override;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_RANGEPLACEMENT_H_
