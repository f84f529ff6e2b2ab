// The control leader's table of lease expiry times.
//
// A node's lease starts when the node sends a renewal. The leader counts from the arrival of the
// renewal and adds clock drift, so at the leader a lease never expires before it expires at the
// node. A new leader can't know which leases its predecessor granted, so it gives every registered
// node a full lease from its own election. That is safe because a lease is granted only after a
// quorum round that started after the renewal arrived. If that round succeeds, no later leader had
// been elected by then.

#ifndef CAMPHORCLEAT_FLEET_LEASETABLE_H_
#define CAMPHORCLEAT_FLEET_LEASETABLE_H_

#include <map>
#include <vector>

#include "fleet/FleetModel.h"
#include "fleet/LeaseSettings.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::fleet {

/// Stores one record per registered node. Not thread-safe.
class LeaseTable
{
public:
  explicit LeaseTable(LeaseSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /// Starts a term of leadership. Every node that isn't lost gets a full lease from aNow.
  void startTerm(TimePoint aNow, const FleetModel& aModel);

  /// Updates the record of a node after a registration or a loss was applied to the model.
  void updateNode(TimePoint aNow, const wire::Node& aNode);

  /// Extends the lease for a renewal that arrived at aNow. Returns the status for the reply if a
  /// quorum round that starts later succeeds.
  wire::LeaseStatus recordRenewal(TimePoint aNow, const FleetModel& aModel,
                                  const wire::LeaseRenew& aRenew);

  /// Returns the current status for the reply to an incarnation whose renewal arrived earlier.
  wire::LeaseStatus status(const FleetModel& aModel, NodeId aNode, Incarnation aIncarnation) const;

  /// Returns the incarnations to declare lost because their leases expired. Their renewals are
  /// refused from now on, because the proposed loss may be committed at any time. An incarnation
  /// that is still registered after 200 ms is returned again.
  std::vector<wire::NodeLost> takeExpired(TimePoint aNow, const FleetModel& aModel);

  /// Returns when a node's lease expires at the leader, or the epoch for an unknown node.
  TimePoint expiry(NodeId aNode) const;

private:
  struct Record
  {
    Incarnation incarnation = 0;
    TimePoint expiry;
    bool isFenced = false; ///< Its loss was proposed, so its renewals are refused.
    TimePoint proposedAt;  ///< When its loss was last proposed.
  };

  TimePoint leaseEnd(TimePoint aStart, const wire::Node& aNode) const;

  LeaseSettings mSettings;
  std::map<NodeId, Record> mRecords;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_LEASETABLE_H_
