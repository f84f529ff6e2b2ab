// Lease expiry at the leader.

#include "fleet/LeaseTable.h"

#include <algorithm>

namespace camphorcleat::fleet {

namespace {

// A proposal may be dropped because a queue is full. Proposing a loss twice has no further effect.
constexpr Millis kReproposalInterval{ 200 };

} // namespace

TimePoint LeaseTable::leaseEnd(TimePoint aStart, const wire::Node& aNode) const
{
  const bool needsGrace = aNode.hasTarget && !aNode.target.checksGrants;
  return aStart + mSettings.length + mSettings.drift() +
         (needsGrace ? Duration(mSettings.uncheckedGrace) : Duration::zero());
}

void LeaseTable::startTerm(TimePoint aNow, const FleetModel& aModel)
{
  mRecords.clear();
  for (const auto& [id, node] : aModel.nodes()) {
    updateNode(aNow, node);
  }
}

void LeaseTable::updateNode(TimePoint aNow, const wire::Node& aNode)
{
  if (aNode.status == wire::NodeStatus::Lost) {
    mRecords.erase(aNode.id);
    return;
  }
  Record& record = mRecords[aNode.id];
  if (record.incarnation != aNode.incarnation) {
    record = Record{ aNode.incarnation, leaseEnd(aNow, aNode), false, {} };
  }
}

wire::LeaseStatus LeaseTable::status(const FleetModel& aModel, NodeId aNode,
                                     Incarnation aIncarnation) const
{
  const wire::Node* node = aModel.node(aNode);
  if (node == nullptr) {
    return wire::LeaseStatus::Unregistered;
  }
  if (node->incarnation != aIncarnation) {
    // An older incarnation was replaced; a newer one has yet to register.
    return wire::LeaseStatus::Unregistered;
  }
  const auto it = mRecords.find(aNode);
  if (node->status == wire::NodeStatus::Lost || it == mRecords.end() || it->second.isFenced) {
    return wire::LeaseStatus::Refused;
  }
  return wire::LeaseStatus::Granted;
}

wire::LeaseStatus LeaseTable::recordRenewal(TimePoint aNow, const FleetModel& aModel,
                                            const wire::LeaseRenew& aRenew)
{
  const wire::LeaseStatus replyStatus = status(aModel, aRenew.node, aRenew.incarnation);
  if (replyStatus == wire::LeaseStatus::Granted) {
    Record& record = mRecords[aRenew.node];
    record.expiry = std::max(record.expiry, leaseEnd(aNow, *aModel.node(aRenew.node)));
  }
  return replyStatus;
}

std::vector<wire::NodeLost> LeaseTable::takeExpired(TimePoint aNow, const FleetModel& aModel)
{
  std::vector<wire::NodeLost> out;
  for (auto& [id, record] : mRecords) {
    const wire::Node* node = aModel.node(id);
    const bool isRegistered = node != nullptr && node->incarnation == record.incarnation &&
                              node->status != wire::NodeStatus::Lost;
    if (!isRegistered || aNow < record.expiry) {
      continue;
    }
    if (record.isFenced && aNow - record.proposedAt < kReproposalInterval) {
      continue;
    }
    record.isFenced = true;
    record.proposedAt = aNow;
    out.push_back({ id, record.incarnation });
  }
  return out;
}

TimePoint LeaseTable::expiry(NodeId aNode) const
{
  const auto it = mRecords.find(aNode);
  return it == mRecords.end() ? TimePoint() : it->second.expiry;
}

} // namespace camphorcleat::fleet
