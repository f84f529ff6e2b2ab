// Pieces are chosen along the order of partitions, so that neighbours stay together.

#include "fleet/RangePlacement.h"

#include <algorithm>
#include <map>
#include <set>

namespace camphorcleat::fleet {

namespace {

// One candidate with what it holds or is about to hold.
struct Seat
{
  Candidate candidate;
  double held = 0;
  double target = 0; ///< Its fair part of the whole weight.
  bool isCrowded = false;
  bool isExhausted = false; ///< Has no partition light enough to move.

  double missing() const { return target - held; }
};

class Pieces
{
public:
  explicit Pieces(const PlacementInput& aInput)
    : mInput(aInput)
  {
    for (const auto& it : aInput.candidates) {
      mSeatOf[it.node] = mSeats.size();
      const auto load = aInput.loads.find(it.node);
      const bool isCrowded = load != aInput.loads.end() && load->second.isCrowded;
      mSeats.push_back({ it, 0, 0, isCrowded });
    }
  }

  std::vector<PlannedMove> run()
  {
    if (mSeats.empty()) {
      return {};
    }
    countHeld();
    placeRuns(false);
    placeRuns(true);
    balance();
    return std::move(mMoves);
  }

private:
  enum class State
  {
    Unowned,
    Stranded, ///< Its owner must not keep it.
    Held,
  };

  NodeId holderOf(PartitionId aPartition) const
  {
    const wire::PartitionGrant& grant = (*mInput.grants)[aPartition];
    return grant.movingTo != kNoNode ? grant.movingTo : grant.owner;
  }

  State stateOf(PartitionId aPartition) const
  {
    if ((*mInput.grants)[aPartition].owner == kNoNode) {
      return State::Unowned;
    }
    return mSeatOf.count(holderOf(aPartition)) == 0 ? State::Stranded : State::Held;
  }

  void countHeld()
  {
    double weights = 0;
    double all = 0;
    for (const auto& it : mSeats) {
      weights += it.candidate.weight;
    }
    for (const PartitionId it : mInput.partitions) {
      all += weightOf(mInput, it);
      if (stateOf(it) == State::Held) {
        mSeats[mSeatOf[holderOf(it)]].held += weightOf(mInput, it);
      }
    }
    for (auto& it : mSeats) {
      it.target = all * it.candidate.weight / weights;
    }
  }

  // The candidate that lacks most, or the first one if all are full.
  Seat& neediest(NodeId aNot)
  {
    const bool mayChoose = std::any_of(mSeats.begin(), mSeats.end(), [&](const Seat& aSeat) {
      return aSeat.candidate.takesUnowned && aSeat.candidate.node != aNot;
    });
    Seat* best = &mSeats.front();
    double most = 0;
    bool isFound = false;
    for (auto& it : mSeats) {
      if (mayChoose && (!it.candidate.takesUnowned || it.candidate.node == aNot)) {
        continue;
      }
      const double missing = it.missing() / it.candidate.weight;
      if (!isFound || missing > most) {
        best = &it;
        most = missing;
        isFound = true;
      }
    }
    return *best;
  }

  // Gives the partitions in need to candidates in pieces, to the one that lacks most each time.
  void placeRuns(bool aIsStranded)
  {
    const State wanted = aIsStranded ? State::Stranded : State::Unowned;
    Seat* seat = nullptr;
    PartitionId before = 0;
    NodeId ownerBefore = kNoNode;
    double piece = 0;
    for (const PartitionId it : mInput.partitions) {
      if (stateOf(it) != wanted) {
        continue;
      }
      const NodeId owner = (*mInput.grants)[it].owner;
      const double weight = weightOf(mInput, it);
      const bool isNextPiece = seat == nullptr || it != before + 1 || owner != ownerBefore ||
                               seat->missing() < weight / 2 ||
                               piece >= seat->target / RangePlacement::kPieces;
      if (isNextPiece) {
        seat = &neediest(owner);
        piece = 0;
      }
      piece += weight;
      before = it;
      ownerBefore = owner;
      if (seat->candidate.node != owner) {
        mMoves.push_back({ it, owner, seat->candidate.node, aIsStranded });
        seat->held += weight;
      }
    }
  }

  // From the targets that are fullest for their weight to those that are emptiest. One that can't
  // give a piece is passed over: the others still have more than their share.
  void balance()
  {
    const auto ratio = [](const Seat& aSeat) {
      return aSeat.target > 0 ? aSeat.held / aSeat.target : 0.0;
    };
    for (std::size_t i = 0; i < mSeats.size(); ++i) {
      Seat* full = nullptr;
      Seat* empty = nullptr;
      for (auto& it : mSeats) {
        if (!it.isExhausted && (full == nullptr || ratio(it) > ratio(*full))) {
          full = &it;
        }
        if (it.candidate.takesMoves && (empty == nullptr || ratio(it) < ratio(*empty))) {
          empty = &it;
        }
      }
      if (full == nullptr || empty == nullptr || empty == full || full->held <= full->target) {
        return;
      }
      const bool isWorthIt = full->isCrowded || ratio(*empty) < RangePlacement::kLeastPart;
      const double tolerance =
        isWorthIt ? RangePlacement::kTolerance : RangePlacement::kCalmTolerance;
      if (ratio(*full) - ratio(*empty) <= tolerance) {
        return;
      }
      full->isExhausted =
        !shift(*full, *empty, std::min(full->held - full->target, empty->missing()));
    }
  }

  // Moves pieces of at most aWeight in all off the end of the giver's ranges. A partition that is
  // too heavy stays, and lighter ones leave it.
  bool shift(Seat& aFrom, Seat& aTo, double aWeight)
  {
    double moved = 0;
    for (auto it = mInput.partitions.rbegin(); it != mInput.partitions.rend(); ++it) {
      const wire::PartitionGrant& grant = (*mInput.grants)[*it];
      const bool isMovable = grant.owner == aFrom.candidate.node && grant.movingTo == kNoNode &&
                             *it < mInput.partitionCount && mPlanned.count(*it) == 0;
      const double weight = weightOf(mInput, *it);
      if (!isMovable || moved + weight > aWeight) {
        continue;
      }
      moved += weight;
      mPlanned.insert(*it);
      mMoves.push_back({ *it, aFrom.candidate.node, aTo.candidate.node, false });
    }
    aFrom.held -= moved;
    aTo.held += moved;
    return moved > 0;
  }

  const PlacementInput& mInput;
  std::vector<Seat> mSeats;
  std::map<NodeId, std::size_t> mSeatOf;
  std::set<PartitionId> mPlanned; // Partitions of balancing moves.
  std::vector<PlannedMove> mMoves;
};

} // namespace

std::vector<PlannedMove> RangePlacement::place(const PlacementInput& aInput) const
{
  return Pieces(aInput).run();
}

} // namespace camphorcleat::fleet
