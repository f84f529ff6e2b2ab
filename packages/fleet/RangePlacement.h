// Placement for a ranged service, in which each target owns a few ranges of adjacent partitions.
//
// Frequently used keys are adjacent, so with one long range per target all of them would be on one
// target. Grants list a target's keys as ranges, so many short ranges would make long messages.
// Partitions without an owner are therefore assigned in pieces of a sixteenth of a target's share,
// each to the candidate with the least load for its weight. Balancing moves take partitions from
// the end of the most loaded target's ranges, and only if the imbalance exceeds both a tolerance
// and what chance explains: the more targets there are, the further apart are the most and the
// least loaded one by chance.

#ifndef CAMPHORCLEAT_FLEET_RANGEPLACEMENT_H_
#define CAMPHORCLEAT_FLEET_RANGEPLACEMENT_H_

#include "fleet/Placement.h"

namespace camphorcleat::fleet {

/// Thread-safe, because it has no state.
class RangePlacement : public Placement
{
public:
  /// Number of pieces in a target's share. A target that takes over all keys of seven targets is
  /// granted 112 ranges, which fit into a response of 4 KiB.
  static constexpr int kPiecesPerShare = 16;
  /// A saturated target gives keys away only if its load, relative to its fair share, exceeds that
  /// of the least loaded target by more than this.
  static constexpr double kSaturatedTolerance = 0.3;
  /// The same tolerance for targets that aren't saturated. It is higher because a move interrupts
  /// service for the moved keys, and rates measured over a few seconds vary randomly.
  static constexpr double kUnsaturatedTolerance = 0.8;
  /// A target with less than this fraction of its fair share gets keys even if no target is
  /// saturated.
  static constexpr double kMinShareRatio = 0.5;

  std::vector<PlannedMove> place(const PlacementInput& aInput) const override;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_RANGEPLACEMENT_H_
