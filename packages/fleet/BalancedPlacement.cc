// Greedy by weighted share: what must move goes to the least full candidate, then single partitions
// go from the fullest to the least full candidate while that narrows the gap between the two.
//
// A partition that is moving already counts at its receiver, so a plan that is carried out in parts
// continues where it stopped. Each balancing move lowers the larger of two shares, so the loop
// ends.

#include "fleet/BalancedPlacement.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace camphorcleat::fleet {

namespace {

// Shares closer than this count as equal; sums of weights are not exact.
constexpr double kShareTolerance = 1e-9;

struct Seat
{
  Candidate candidate;
  double reported = 0; // Load report, for ties only.
  double held = 0;     // Weight of its partitions.
  std::vector<PartitionId> movable;

  double share() const { return held / candidate.weight; }
  double shareWith(double aWeight) const { return (held + aWeight) / candidate.weight; }
};

class Balancer
{
public:
  explicit Balancer(const PlacementInput& aInput)
    : mInput(aInput)
  {
    for (const auto& it : aInput.candidates) {
      Seat seat;
      seat.candidate = it;
      const auto load = aInput.loads.find(it.node);
      seat.reported = load == aInput.loads.end() ? 0 : load->second.requestsPerSecond;
      mSeatOf[it.node] = mSeats.size();
      mSeats.push_back(std::move(seat));
    }
    mTakesAnyUnowned = std::any_of(mSeats.begin(), mSeats.end(),
                                   [](const Seat& aSeat) { return aSeat.candidate.takesUnowned; });
  }

  std::vector<PlannedMove> run()
  {
    if (mSeats.empty()) {
      return {};
    }
    sortPartitions();
    rebuildOrder();
    for (const PartitionId partition : mUnowned) {
      placeForced(partition, kNoNode);
    }
    for (const PartitionId partition : mStranded) {
      placeForced(partition, (*mInput.grants)[partition].owner);
    }
    balance();
    return std::move(mMoves);
  }

private:
  using Rank = std::tuple<double, double, std::size_t>; // Share, reported load, seat.

  Rank rankOf(std::size_t aSeat) const
  {
    return { mSeats[aSeat].share(), mSeats[aSeat].reported, aSeat };
  }

  void sortPartitions()
  {
    for (const PartitionId partition : mInput.partitions) {
      const wire::PartitionGrant& grant = (*mInput.grants)[partition];
      const bool isMoving = grant.movingTo != kNoNode;
      const auto holder = mSeatOf.find(isMoving ? grant.movingTo : grant.owner);
      if (grant.owner == kNoNode) {
        mUnowned.push_back(partition);
      } else if (holder == mSeatOf.end()) {
        mStranded.push_back(partition);
      } else {
        Seat& seat = mSeats[holder->second];
        seat.held += weightOf(mInput, partition);
        if (!isMoving && partition < mInput.partitionCount) {
          seat.movable.push_back(partition);
        }
      }
    }
    sortByWeight(mUnowned);
    sortByWeight(mStranded);
  }

  // Heaviest first: large pieces fit best while the shares still differ.
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
    for (std::size_t i = 0; i < mSeats.size(); ++i) {
      mOrder.insert(rankOf(i));
    }
  }

  void addWeight(std::size_t aSeat, double aWeight)
  {
    mOrder.erase(rankOf(aSeat));
    mSeats[aSeat].held += aWeight;
    mOrder.insert(rankOf(aSeat));
  }

  // A partition can't move to its own owner, even if it is on its way to a lost receiver: a move
  // can't be called off. Its release leaves it without an owner, and then any node may get it.
  void placeForced(PartitionId aPartition, NodeId aFrom)
  {
    for (const auto& [share, reported, i] : mOrder) {
      const Candidate& candidate = mSeats[i].candidate;
      const bool isOpen = !mTakesAnyUnowned || candidate.takesUnowned;
      if (isOpen && candidate.node != aFrom) {
        mMoves.push_back({ aPartition, aFrom, candidate.node, aFrom != kNoNode });
        addWeight(i, weightOf(mInput, aPartition));
        return;
      }
    }
  }

  void balance()
  {
    double weight = 0;
    double held = 0;
    for (std::size_t i = 0; i < mSeats.size(); ++i) {
      sortByWeight(mSeats[i].movable);
      std::reverse(mSeats[i].movable.begin(), mSeats[i].movable.end()); // Cheap to erase.
      weight += mSeats[i].candidate.weight;
      held += mSeats[i].held;
    }
    mFairShare = held / weight;
    std::vector<bool> isSpent(mSeats.size(), false);
    for (auto donor = fullest(isSpent); donor; donor = fullest(isSpent)) {
      const auto receiver = leastFull(*donor);
      if (!receiver) {
        return;
      }
      if (!moveOne(*donor, *receiver)) {
        isSpent[*donor] = true;
      }
    }
  }

  std::optional<std::size_t> fullest(const std::vector<bool>& aIsSpent) const
  {
    for (auto it = mOrder.rbegin(); it != mOrder.rend(); ++it) {
      const std::size_t i = std::get<2>(*it);
      if (mSeats[i].share() <= mFairShare + kShareTolerance) {
        return std::nullopt;
      }
      if (!aIsSpent[i] && !mSeats[i].movable.empty()) {
        return i;
      }
    }
    return std::nullopt;
  }

  std::optional<std::size_t> leastFull(std::size_t aDonor) const
  {
    for (const auto& [share, reported, i] : mOrder) {
      if (share >= mFairShare - kShareTolerance) {
        return std::nullopt;
      }
      if (i != aDonor && mSeats[i].candidate.takesMoves) {
        return i;
      }
    }
    return std::nullopt;
  }

  // Moves the heaviest partition that leaves the receiver's share below the donor's present one.
  bool moveOne(std::size_t aDonor, std::size_t aReceiver)
  {
    std::vector<PartitionId>& movable = mSeats[aDonor].movable;
    const double limit = mSeats[aDonor].share() - kShareTolerance;
    const auto it = std::find_if(movable.rbegin(), movable.rend(), [&](PartitionId aPartition) {
      const double weight = weightOf(mInput, aPartition);
      return weight > 0 && mSeats[aReceiver].shareWith(weight) < limit;
    });
    if (it == movable.rend()) {
      return false;
    }
    const PartitionId partition = *it;
    movable.erase(std::next(it).base());
    mMoves.push_back(
      { partition, mSeats[aDonor].candidate.node, mSeats[aReceiver].candidate.node, false });
    addWeight(aDonor, -weightOf(mInput, partition));
    addWeight(aReceiver, weightOf(mInput, partition));
    return true;
  }

  const PlacementInput& mInput;
  std::vector<Seat> mSeats;
  std::unordered_map<NodeId, std::size_t> mSeatOf;
  std::set<Rank> mOrder;
  std::vector<PartitionId> mUnowned;
  std::vector<PartitionId> mStranded;
  std::vector<PlannedMove> mMoves;
  bool mTakesAnyUnowned = true;
  double mFairShare = 0;
};

} // namespace

std::vector<PlannedMove> BalancedPlacement::place(const PlacementInput& aInput) const
{
  return Balancer(aInput).run();
}

} // namespace camphorcleat::fleet
