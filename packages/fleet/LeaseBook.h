// When each node's lease has certainly run out, as the control leader counts it.
//
// A node counts its lease from the moment it sent a renewal, the leader from the moment the renewal
// arrived plus drift, so the leader's end is never before the node's. A new leader can't know what
// its predecessor granted; it counts every registered node from its own election. That is safe
// because a grant needs a quorum round that started after the renewal arrived: a round that
// succeeded shows that no later leader had been elected by then.

#ifndef CAMPHORCLEAT_FLEET_LEASEBOOK_H_
#define CAMPHORCLEAT_FLEET_LEASEBOOK_H_

#include <map>
#include <vector>

#include "fleet/FleetModel.h"
#include "fleet/LeaseSettings.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::fleet {

/// Memory: one record per registered node. Not thread-safe.
class LeaseBook
{
public:
  explicit LeaseBook(LeaseSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /// Starts a term of leadership: every node that isn't lost gets a full lease from aNow.
  void startTerm(TimePoint aNow, const FleetModel& aModel);

  /// Follows a registration or a loss that was applied to the model.
  void nodeChanged(TimePoint aNow, const wire::Node& aNode);

  /// Counts a renewal from its arrival at aNow. Returns what may be answered after a quorum round.
  wire::LeaseStatus renewalArrived(TimePoint aNow, const FleetModel& aModel,
                                   const wire::LeaseRenew& aRenew);

  /// What may be answered now to an incarnation whose renewal arrived earlier.
  wire::LeaseStatus status(const FleetModel& aModel, NodeId aNode, Incarnation aIncarnation) const;

  /// Incarnations to declare lost. They are refused from now on, because the proposal may already
  /// be on its way to commitment. One that is still registered is returned again after 200 ms.
  std::vector<wire::NodeLost> takeExpired(TimePoint aNow, const FleetModel& aModel);

  /// End of a node's lease as the leader counts it, or the epoch for an unknown node.
  TimePoint expiry(NodeId aNode) const;

private:
  struct Record
  {
    Incarnation incarnation = 0;
    TimePoint expiry;
    bool isFenced = false;
    TimePoint proposedAt;
  };

  TimePoint leaseEnd(TimePoint aStart, const wire::Node& aNode) const;

  LeaseSettings mSettings;
  std::map<NodeId, Record> mRecords;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_LEASEBOOK_H_
