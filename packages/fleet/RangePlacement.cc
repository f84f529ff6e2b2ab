// Partitions are assigned in ascending order, so that adjacent partitions stay together.

#include "fleet/RangePlacement.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace camphorcleat::fleet {

namespace {

// One candidate and the weight of the partitions assigned to it, including moves in progress.
struct NodeState
{
  Candidate candidate;
  double assigned = 0;
  double fairWeight = 0; ///< Its fair share of the total weight.
  bool isSaturated = false;
  bool isExhausted = false; ///< Has no partition light enough to move.

  double deficit() const { return fairWeight - assigned; }
};

class RangeBalancer
{
public:
  explicit RangeBalancer(const PlacementInput& aInput)
    : mInput(aInput)
  {
    for (const auto& it : aInput.candidates) {
      mStateIndex[it.node] = mStates.size();
      const auto load = aInput.loads.find(it.node);
      const bool isSaturated = load != aInput.loads.end() && load->second.isSaturated;
      mStates.push_back({ it, 0, 0, isSaturated });
    }
  }

  std::vector<PlannedMove> run()
  {
    if (mStates.empty()) {
      return {};
    }
    countAssigned();
    placeInPieces(false);
    placeInPieces(true);
    balance();
    return std::move(mMoves);
  }

private:
  enum class Ownership
  {
    Unowned,
    MustMove, ///< Its owner or receiver may no longer own it.
    Assigned,
  };

  NodeId holderOf(PartitionId aPartition) const
  {
    const wire::PartitionGrant& grant = (*mInput.grants)[aPartition];
    return grant.movingTo != kNoNode ? grant.movingTo : grant.owner;
  }

  Ownership ownershipOf(PartitionId aPartition) const
  {
    if ((*mInput.grants)[aPartition].owner == kNoNode) {
      return Ownership::Unowned;
    }
    return mStateIndex.count(holderOf(aPartition)) == 0 ? Ownership::MustMove : Ownership::Assigned;
  }

  void countAssigned()
  {
    double candidateWeights = 0;
    double totalWeight = 0;
    for (const auto& it : mStates) {
      candidateWeights += it.candidate.weight;
    }
    for (const PartitionId it : mInput.partitions) {
      totalWeight += weightOf(mInput, it);
      if (ownershipOf(it) == Ownership::Assigned) {
        mStates[mStateIndex[holderOf(it)]].assigned += weightOf(mInput, it);
      }
    }
    for (auto& it : mStates) {
      it.fairWeight = totalWeight * it.candidate.weight / candidateWeights;
    }
  }

  // Returns the candidate with the largest deficit for its weight. Candidates that don't accept
  // unowned partitions and the present owner aOwner are chosen only if there is no other.
  NodeState& leastLoaded(NodeId aOwner)
  {
    const bool mayChoose =
      std::any_of(mStates.begin(), mStates.end(), [&](const NodeState& aState) {
        return aState.candidate.acceptsUnowned && aState.candidate.node != aOwner;
      });
    NodeState* best = &mStates.front();
    double most = 0;
    bool isFound = false;
    for (auto& it : mStates) {
      if (mayChoose && (!it.candidate.acceptsUnowned || it.candidate.node == aOwner)) {
        continue;
      }
      const double deficit = it.deficit() / it.candidate.weight;
      if (!isFound || deficit > most) {
        best = &it;
        most = deficit;
        isFound = true;
      }
    }
    return *best;
  }

  // Assigns the partitions that need a new owner in pieces, each to the candidate with the largest
  // deficit.
  void placeInPieces(bool aMustMove)
  {
    const Ownership wanted = aMustMove ? Ownership::MustMove : Ownership::Unowned;
    NodeState* state = nullptr;
    PartitionId before = 0;
    NodeId ownerBefore = kNoNode;
    double piece = 0;
    for (const PartitionId it : mInput.partitions) {
      if (ownershipOf(it) != wanted) {
        continue;
      }
      const NodeId owner = (*mInput.grants)[it].owner;
      const double weight = weightOf(mInput, it);
      const bool isNextPiece = state == nullptr || it != before + 1 || owner != ownerBefore ||
                               state->deficit() < weight / 2 ||
                               piece >= state->fairWeight / RangePlacement::kPiecesPerShare;
      if (isNextPiece) {
        state = &leastLoaded(owner);
        piece = 0;
      }
      piece += weight;
      before = it;
      ownerBefore = owner;
      if (state->candidate.node != owner) {
        mMoves.push_back({ it, owner, state->candidate.node, aMustMove });
        state->assigned += weight;
      }
    }
  }

  // Moves partitions from the targets with the highest load for their weight to those with the
  // lowest. A target without a partition light enough to move is skipped, so that other overloaded
  // targets can still give partitions away.
  void balance()
  {
    const auto ratio = [](const NodeState& aState) {
      return aState.fairWeight > 0 ? aState.assigned / aState.fairWeight : 0.0;
    };
    for (std::size_t i = 0; i < mStates.size(); ++i) {
      NodeState* donor = nullptr;
      NodeState* receiver = nullptr;
      for (auto& it : mStates) {
        if (!it.isExhausted && (donor == nullptr || ratio(it) > ratio(*donor))) {
          donor = &it;
        }
        if (it.candidate.acceptsMoves && (receiver == nullptr || ratio(it) < ratio(*receiver))) {
          receiver = &it;
        }
      }
      if (donor == nullptr || receiver == nullptr || receiver == donor ||
          donor->assigned <= donor->fairWeight) {
        return;
      }
      const bool isNeeded = donor->isSaturated || ratio(*receiver) < RangePlacement::kMinShareRatio;
      const double tolerance =
        isNeeded ? RangePlacement::kSaturatedTolerance : RangePlacement::kUnsaturatedTolerance;
      const double difference = ratio(*donor) - ratio(*receiver);
      const double byChance = differenceByChance(*donor, *receiver);
      if (difference <= tolerance || difference <= byChance) {
        return;
      }
      const double certain = 1 - byChance / difference;
      donor->isExhausted =
        !shift(*donor, *receiver,
               std::min(donor->assigned - donor->fairWeight, receiver->deficit()), certain);
    }
  }

  // Returns the largest difference between the ratios of two targets that chance alone may cause in
  // kTrials measurements: the largest of n normal deviations is about sqrt(2 ln n) standard
  // deviations. Weights are counts of requests, whose variance is their mean.
  double differenceByChance(const NodeState& aDonor, const NodeState& aReceiver) const
  {
    const bool isEmpty = aReceiver.assigned <= 0; // That is certain.
    if (isEmpty || mInput.samplesPerWeight <= 0 || aDonor.fairWeight <= 0 ||
        aReceiver.fairWeight <= 0) {
      return 0;
    }
    constexpr double kTrials = 20;
    const auto variance = [&](const NodeState& aState) {
      return aState.assigned / (aState.fairWeight * aState.fairWeight * mInput.samplesPerWeight);
    };
    const double deviations =
      std::sqrt(2 * std::log(kTrials * static_cast<double>(mStates.size())));
    return deviations * std::sqrt(variance(aDonor) + variance(aReceiver));
  }

  // Moves partitions with a total weight of at most aShare of aWeight, or one partition of at most
  // aWeight, starting at the end of the donor's ranges. A partition that is too heavy stays at the
  // donor, and lighter ones are moved instead. Returns false if none could be moved.
  bool shift(NodeState& aFrom, NodeState& aTo, double aWeight, double aShare)
  {
    double moved = 0;
    for (auto it = mInput.partitions.rbegin(); it != mInput.partitions.rend(); ++it) {
      const wire::PartitionGrant& grant = (*mInput.grants)[*it];
      const bool isMovable = grant.owner == aFrom.candidate.node && grant.movingTo == kNoNode &&
                             *it < mInput.partitionCount && mPlanned.count(*it) == 0 &&
                             (mInput.staysAtOwner.empty() || !mInput.staysAtOwner[*it]);
      const double weight = weightOf(mInput, *it);
      if (!isMovable || moved + weight > (moved > 0 ? aShare : 1) * aWeight) {
        continue;
      }
      moved += weight;
      mPlanned.insert(*it);
      mMoves.push_back({ *it, aFrom.candidate.node, aTo.candidate.node, false });
    }
    aFrom.assigned -= moved;
    aTo.assigned += moved;
    return moved > 0;
  }

  const PlacementInput& mInput;
  std::vector<NodeState> mStates;
  std::map<NodeId, std::size_t> mStateIndex;
  std::set<PartitionId> mPlanned; // Partitions that balancing moves already include.
  std::vector<PlannedMove> mMoves;
};

} // namespace

std::vector<PlannedMove> RangePlacement::place(const PlacementInput& aInput) const
{
  return RangeBalancer(aInput).run();
}

} // namespace camphorcleat::fleet
