// A partition is placed on the node of the first ring point at or after the partition's hash.

#include "fleet/ConsistentHashPlacement.h"

#include <algorithm>
#include <set>

#include "base/Hash.h"

namespace camphorcleat::fleet {

ConsistentHashPlacement::ConsistentHashPlacement(double aPointsPerWeight)
  : mPointsPerWeight(aPointsPerWeight)
{
}

std::map<std::uint64_t, NodeId> ConsistentHashPlacement::ringOf(
  const std::vector<Candidate>& aCandidates) const
{
  std::map<std::uint64_t, NodeId> ring;
  for (const auto& it : aCandidates) {
    const auto points = std::max(1U, static_cast<unsigned>(mPointsPerWeight * it.weight));
    for (unsigned i = 0; i < points; ++i) {
      ring.emplace(hash64(std::to_string(it.node) + "/" + std::to_string(i)), it.node);
    }
  }
  return ring;
}

std::vector<PlannedMove> ConsistentHashPlacement::place(const PlacementInput& aInput) const
{
  std::vector<PlannedMove> moves;
  if (aInput.candidates.empty()) {
    return moves;
  }
  const auto ring = ringOf(aInput.candidates);
  std::set<NodeId> candidates;
  for (const auto& it : aInput.candidates) {
    candidates.insert(it.node);
  }
  for (const PartitionId partition : aInput.partitions) {
    const wire::PartitionGrant& grant = (*aInput.grants)[partition];
    const auto point = ring.lower_bound(hash64(std::to_string(partition)));
    const NodeId to = point == ring.end() ? ring.begin()->second : point->second;
    const NodeId holder = grant.movingTo == kNoNode ? grant.owner : grant.movingTo;
    if (holder != to && grant.owner != to) {
      const bool isUrgent = grant.owner != kNoNode && candidates.count(holder) == 0;
      moves.push_back({ partition, grant.owner, to, isUrgent });
    }
  }
  std::stable_sort(moves.begin(), moves.end(),
                   [](const PlannedMove& aLeft, const PlannedMove& aRight) {
                     const auto rank = [](const PlannedMove& aMove) {
                       return aMove.from == kNoNode ? 0 : aMove.isUrgent ? 1 : 2;
                     };
                     return rank(aLeft) < rank(aRight);
                   });
  return moves;
}

} // namespace camphorcleat::fleet
