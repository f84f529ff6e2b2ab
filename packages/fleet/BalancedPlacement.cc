// A greedy algorithm on weighted shares. Partitions that need a new owner go to the candidate with
// the smallest share. Then single partitions move from the largest to the smallest share while that
// reduces the difference between the two.
//
// A moving partition is counted at its receiver, so that a plan that was applied only partly is
// continued by the next one. Each balancing move lowers the larger of two shares, so the loop
// terminates.

#include "fleet/BalancedPlacement.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace camphorcleat::fleet {

namespace {

// Shares that differ by less are treated as equal, because sums of weights have rounding errors.
constexpr double kShareTolerance = 1e-9;

struct NodeState
{
  Candidate candidate;
  double reportedLoad = 0; // Reported load, used only to break ties.
  double assigned = 0;     // Weight of the partitions assigned to the node.
  std::vector<PartitionId> movable;

  double share() const { return assigned / candidate.weight; }
  double shareWith(double aWeight) const { return (assigned + aWeight) / candidate.weight; }
};

class Balancer
{
public:
  explicit Balancer(const PlacementInput& aInput)
    : mInput(aInput)
  {
    for (const auto& it : aInput.candidates) {
      NodeState state;
      state.candidate = it;
      const auto load = aInput.loads.find(it.node);
      state.reportedLoad = load == aInput.loads.end() ? 0 : load->second.requestsPerSecond;
      mStateIndex[it.node] = mStates.size();
      mStates.push_back(std::move(state));
    }
    mAnyAcceptsUnowned = std::any_of(mStates.begin(), mStates.end(), [](const NodeState& aState) {
      return aState.candidate.acceptsUnowned;
    });
  }

  std::vector<PlannedMove> run()
  {
    if (mStates.empty()) {
      return {};
    }
    sortPartitions();
    rebuildOrder();
    for (const PartitionId partition : mUnowned) {
      placeForced(partition, kNoNode);
    }
    for (const PartitionId partition : mMustMove) {
      placeForced(partition, (*mInput.grants)[partition].owner);
    }
    balance();
    return std::move(mMoves);
  }

private:
  using Rank = std::tuple<double, double, std::size_t>; // Share, reported load, index in mStates.

  Rank rankOf(std::size_t aState) const
  {
    return { mStates[aState].share(), mStates[aState].reportedLoad, aState };
  }

  void sortPartitions()
  {
    for (const PartitionId partition : mInput.partitions) {
      const wire::PartitionGrant& grant = (*mInput.grants)[partition];
      const bool isMoving = grant.movingTo != kNoNode;
      const auto holder = mStateIndex.find(isMoving ? grant.movingTo : grant.owner);
      if (grant.owner == kNoNode) {
        mUnowned.push_back(partition);
      } else if (holder == mStateIndex.end()) {
        mMustMove.push_back(partition);
      } else {
        NodeState& state = mStates[holder->second];
        state.assigned += weightOf(mInput, partition);
        if (!isMoving && partition < mInput.partitionCount) {
          state.movable.push_back(partition);
        }
      }
    }
    sortByWeight(mUnowned);
    sortByWeight(mMustMove);
  }

  // Sorts the heaviest first: heavy partitions fit best while the shares still differ most.
  void sortByWeight(std::vector<PartitionId>& aPartitions) const
  {
    if (!mInput.partitionWeights.empty()) {
      std::stable_sort(aPartitions.begin(), aPartitions.end(),
                       [this](PartitionId aLeft, PartitionId aRight) {
                         return weightOf(mInput, aLeft) > weightOf(mInput, aRight);
                       });
    }
  }

  void rebuildOrder()
  {
    mOrder.clear();
    for (std::size_t i = 0; i < mStates.size(); ++i) {
      mOrder.insert(rankOf(i));
    }
  }

  void addWeight(std::size_t aState, double aWeight)
  {
    mOrder.erase(rankOf(aState));
    mStates[aState].assigned += aWeight;
    mOrder.insert(rankOf(aState));
  }

  // Assigns a partition that needs a new owner. It can't move back to its owner, even if its
  // receiver was lost, because a move can't be cancelled. Once it is released, it has no owner and
  // may be assigned to any node.
  void placeForced(PartitionId aPartition, NodeId aFrom)
  {
    for (const auto& [share, reportedLoad, i] : mOrder) {
      const Candidate& candidate = mStates[i].candidate;
      const bool isEligible = !mAnyAcceptsUnowned || candidate.acceptsUnowned;
      if (isEligible && candidate.node != aFrom) {
        mMoves.push_back({ aPartition, aFrom, candidate.node, aFrom != kNoNode });
        addWeight(i, weightOf(mInput, aPartition));
        return;
      }
    }
  }

  void balance()
  {
    double weight = 0;
    double assigned = 0;
    for (std::size_t i = 0; i < mStates.size(); ++i) {
      sortByWeight(mStates[i].movable);
      std::reverse(mStates[i].movable.begin(),
                   mStates[i].movable.end()); // Erasing at the end is cheap.
      weight += mStates[i].candidate.weight;
      assigned += mStates[i].assigned;
    }
    mFairShare = assigned / weight;
    std::vector<bool> isExhausted(mStates.size(), false);
    for (auto donor = findDonor(isExhausted); donor; donor = findDonor(isExhausted)) {
      const auto receiver = findReceiver(*donor);
      if (!receiver) {
        return;
      }
      if (!moveOne(*donor, *receiver)) {
        isExhausted[*donor] = true;
      }
    }
  }

  std::optional<std::size_t> findDonor(const std::vector<bool>& aIsExhausted) const
  {
    for (auto it = mOrder.rbegin(); it != mOrder.rend(); ++it) {
      const std::size_t i = std::get<2>(*it);
      if (mStates[i].share() <= mFairShare + kShareTolerance) {
        return std::nullopt;
      }
      if (!aIsExhausted[i] && !mStates[i].movable.empty()) {
        return i;
      }
    }
    return std::nullopt;
  }

  std::optional<std::size_t> findReceiver(std::size_t aDonor) const
  {
    for (const auto& [share, reportedLoad, i] : mOrder) {
      if (share >= mFairShare - kShareTolerance) {
        return std::nullopt;
      }
      if (i != aDonor && mStates[i].candidate.acceptsMoves) {
        return i;
      }
    }
    return std::nullopt;
  }

  // Moves the heaviest partition with which the receiver's share stays below the donor's present
  // one. Returns false if there is none.
  bool moveOne(std::size_t aDonor, std::size_t aReceiver)
  {
    std::vector<PartitionId>& movable = mStates[aDonor].movable;
    const double limit = mStates[aDonor].share() - kShareTolerance;
    const auto it = std::find_if(movable.rbegin(), movable.rend(), [&](PartitionId aPartition) {
      const double weight = weightOf(mInput, aPartition);
      return weight > 0 && mStates[aReceiver].shareWith(weight) < limit;
    });
    if (it == movable.rend()) {
      return false;
    }
    const PartitionId partition = *it;
    movable.erase(std::next(it).base());
    mMoves.push_back(
      { partition, mStates[aDonor].candidate.node, mStates[aReceiver].candidate.node, false });
    addWeight(aDonor, -weightOf(mInput, partition));
    addWeight(aReceiver, weightOf(mInput, partition));
    return true;
  }

  const PlacementInput& mInput;
  std::vector<NodeState> mStates;
  std::unordered_map<NodeId, std::size_t> mStateIndex;
  std::set<Rank> mOrder;
  std::vector<PartitionId> mUnowned;
  std::vector<PartitionId> mMustMove;
  std::vector<PlannedMove> mMoves;
  bool mAnyAcceptsUnowned = true;
  double mFairShare = 0;
};

} // namespace

std::vector<PlannedMove> BalancedPlacement::place(const PlacementInput& aInput) const
{
  return Balancer(aInput).run();
}

} // namespace camphorcleat::fleet
