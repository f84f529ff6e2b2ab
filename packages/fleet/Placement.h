// Interface of the algorithms that decide which node should own which partition of a service.
//
// The interface lets the balanced placement and the baseline be compared and exchanged. A placement
// is a pure function of its input.

#ifndef CAMPHORCLEAT_FLEET_PLACEMENT_H_
#define CAMPHORCLEAT_FLEET_PLACEMENT_H_

#include <map>
#include <string>
#include <vector>

#include "base/Time.h"
#include "fleet/FleetModel.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::fleet {

/// The load that a node reports. It influences which node is chosen, but never which nodes may own
/// a partition.
struct NodeLoad
{
  double requestsPerSecond = 0;
  std::vector<wire::PartitionLoad> partitionLoads{}; ///< Loads of the partitions that it owns.
  Duration meanRun{ 0 };    ///< Mean run time of a request; zero if unknown.
  bool isSaturated = false; ///< More requests are queued than it runs at once.
};

/// A node that may own partitions of the service.
struct Candidate
{
  NodeId node = kNoNode;
  double weight = 1;          ///< Its share is proportional to this. Must be above 0.
  bool acceptsMoves = true;   ///< Whether owned partitions may be moved to it for balance.
  bool acceptsUnowned = true; ///< Whether partitions without an owner may go to it.
};

/// The present state of one service.
struct PlacementInput
{
  std::string service;
  const GrantTable* grants = nullptr; ///< Must not be null.
  /// Partitions to place, in ascending order, without those of removed pins.
  std::vector<PartitionId> partitions;
  std::uint32_t partitionCount = 0;  ///< Partitions with this number or a higher one are pins.
  std::vector<Candidate> candidates; ///< In ascending order of node.
  std::map<NodeId, NodeLoad> loads;
  std::vector<double> partitionWeights; ///< Indexed by partition; empty if all weights are equal.
  /// Number of counted requests that a weight of 1 stands for, which decides how much weights vary
  /// by chance; 0 if they are exact.
  double samplesPerWeight = 0;
  /// Indexed by partition: whether it gets no balancing move now. Empty if none is excluded.
  std::vector<bool> staysAtOwner;
};

/// One partition that should get another owner.
struct PlannedMove
{
  PartitionId partition = 0;
  NodeId from = kNoNode; ///< The owner, or kNoNode if there is none.
  NodeId to = kNoNode;
  bool isUrgent = false; ///< The present owner or receiver may no longer own it.
};

/// Not thread-safe.
class Placement
{
public:
  Placement() = default;
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;
  virtual ~Placement() = default;

  /// Returns the moves that lead to the desired owners: first those of partitions without an owner,
  /// then urgent moves, then moves for balance. Equal inputs give equal results. Returns no moves
  /// if there are no candidates.
  virtual std::vector<PlannedMove> place(const PlacementInput& aInput) const = 0;
};

/// Returns the weight of a partition, which is 1 if the input has no weights.
inline double weightOf(const PlacementInput& aInput, PartitionId aPartition)
{
  return aPartition < aInput.partitionWeights.size() ? aInput.partitionWeights[aPartition] : 1;
}

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_PLACEMENT_H_
