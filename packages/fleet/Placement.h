// Which node should own which partition of one service.
//
// Abstract, so that the balanced placement and the baseline can be measured against each other and
// exchanged. A placement is a pure function of its input.

#ifndef CAMPHORCLEAT_FLEET_PLACEMENT_H_
#define CAMPHORCLEAT_FLEET_PLACEMENT_H_

#include <map>
#include <string>
#include <vector>

#include "base/Time.h"
#include "fleet/FleetModel.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::fleet {

/// What a node reports of its load. A hint: it breaks ties and never decides who may own.
struct NodeLoad
{
  double requestsPerSecond = 0;
  std::vector<wire::PartitionLoad> partitionLoads{}; ///< Of partitions that it owns.
  Duration meanRun{ 0 };                             ///< Of a request; zero if not known.
  bool isCrowded = false;                            ///< More requests wait than it runs at once.
};

/// A node that may own partitions of the service.
struct Candidate
{
  NodeId node = kNoNode;
  double weight = 1;        ///< Its share is proportional to this; above 0.
  bool takesMoves = true;   ///< Whether owned partitions may be moved to it for balance.
  bool takesUnowned = true; ///< Whether partitions without an owner may go to it.
};

/// The present state of one service.
struct PlacementInput
{
  std::string service;
  const GrantTable* grants = nullptr;  ///< Must not be null.
  std::vector<PartitionId> partitions; ///< Those to place; slots of removed pins are left out.
  std::uint32_t partitionCount = 0;    ///< Partitions from here on are pins.
  std::vector<Candidate> candidates;   ///< Ascending by node.
  std::map<NodeId, NodeLoad> loads;
  std::vector<double> partitionWeights; ///< By partition; empty if all weigh the same.
};

/// One partition that should get another owner.
struct PlannedMove
{
  PartitionId partition = 0;
  NodeId from = kNoNode; ///< kNoNode: it has no owner.
  NodeId to = kNoNode;
  bool isUrgent = false; ///< The present owner or receiver must not keep it.
};

/// Not thread-safe.
class Placement
{
public:
  Placement() = default;
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;
  virtual ~Placement() = default;

  /// Moves that lead to the desired owners: first partitions without an owner, then urgent moves,
  /// then moves for balance. Equal input gives equal output. Without candidates: none.
  virtual std::vector<PlannedMove> place(const PlacementInput& aInput) const = 0;
};

/// The weight of a partition in an input.
inline double weightOf(const PlacementInput& aInput, PartitionId aPartition)
{
  return aPartition < aInput.partitionWeights.size() ? aInput.partitionWeights[aPartition] : 1;
}

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_PLACEMENT_H_
