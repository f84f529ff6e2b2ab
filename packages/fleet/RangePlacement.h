// Placement of a ranged service: each target owns a few ranges of neighbouring partitions.
//
// Busy keys lie side by side, so one long range for each target would give all of them to one. A
// target is told its keys as ranges, so many short ones would make long messages. What has no owner
// goes to the candidates with the least load for their weight, in pieces of a sixteenth of a share.
// Balancing moves cut a piece off the end of the fullest target's ranges, and only if the gap is
// worth the move.

#ifndef CAMPHORCLEAT_FLEET_RANGEPLACEMENT_H_
#define CAMPHORCLEAT_FLEET_RANGEPLACEMENT_H_

#include "fleet/Placement.h"

namespace camphorcleat::fleet {

/// Not thread-safe.
class RangePlacement : public Placement
{
public:
  /// Pieces that make up a target's share. A target that is left with all keys of seven is told 112
  /// ranges, which fit an answer of 4 KiB.
  static constexpr int kPieces = 16;
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
