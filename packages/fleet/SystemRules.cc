// Rules of command bodies that the system sends, and functions shared by all rules.
//
// These commands may be delayed or duplicated, so each rule checks that the grant, incarnation or
// fencing token in the command is still current.

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

#include "fleet/CommandRules.h"

namespace camphorcleat::fleet {

namespace {

using Verdict = CommandRules::Verdict;

Refusal refuse(ErrorCode aCode, std::string aMessage)
{
  return Refusal{ aCode, std::move(aMessage), false };
}

std::string nodeName(NodeId aNode)
{
  return "node " + std::to_string(aNode);
}

// Collects new grants of one service and emits one change per distinct grant.
class GrantGroups
{
public:
  void add(PartitionId aPartition, const wire::PartitionGrant& aGrant)
  {
    wire::PartitionsSet& group =
      mGroups[{ aGrant.owner, aGrant.incarnation, aGrant.token, aGrant.movingTo, aGrant.handover }];
    group.grant = aGrant;
    group.partitions.push_back(aPartition);
  }
  void emit(const std::string& aService, std::vector<wire::Change>& aOut)
  {
    for (auto& [key, group] : mGroups) {
      group.service = aService;
      aOut.emplace_back(std::move(group));
    }
  }

private:
  std::map<std::tuple<NodeId, Incarnation, FencingToken, NodeId, std::string>, wire::PartitionsSet>
    mGroups;
};

// Removes duplicates, so that a partition number that is repeated in a command has no effect.
std::set<PartitionId> distinct(const std::vector<PartitionId>& aPartitions)
{
  return { aPartitions.begin(), aPartitions.end() };
}

Verdict checkTarget(const wire::Node& aNode)
{
  const wire::Announcement& target = aNode.target;
  if (!aNode.hasTarget) {
    return std::nullopt;
  }
  if (!isValidName(target.service)) {
    return refuse(ErrorCode::InvalidCommand, "the target's service name is not valid");
  }
  if (target.slots == 0 || target.coldSlots == 0) {
    return refuse(ErrorCode::InvalidCommand, "a target has at least 1 slot, also when cold");
  }
  return std::nullopt;
}

Verdict checkNode(const wire::Node& aNode)
{
  if (aNode.id == kNoNode || aNode.incarnation == 0) {
    return refuse(ErrorCode::InvalidCommand, "a node has an id and an incarnation above 0");
  }
  if (!isValidName(aNode.zone)) {
    return refuse(ErrorCode::InvalidCommand,
                  "the zone name of " + nodeName(aNode.id) + " is not valid");
  }
  if (aNode.status == wire::NodeStatus::Lost) {
    return refuse(ErrorCode::InvalidCommand, "a node can't register as lost");
  }
  return checkTarget(aNode);
}

} // namespace

CommandRules::CommandRules(const FleetModel& aModel, Revision aRevision,
                           std::vector<wire::Change>& aOut)
  : mModel(aModel)
  , mRevision(aRevision)
  , mOut(aOut)
{
}

Verdict CommandRules::decide(const wire::CommandBody& aBody)
{
  return std::visit([this](const auto& aAlternative) { return (*this)(aAlternative); }, aBody);
}

bool isOperatorBody(const wire::CommandBody& aBody)
{
  // In the variant, operators' bodies come first and UnpinKey is the last of them.
  static const std::size_t sLast = wire::CommandBody(wire::UnpinKey()).index();
  return aBody.index() <= sLast;
}

Verdict CommandRules::operator()(const wire::CreateFleet& aBody)
{
  if (mModel.partitionCount() != 0) {
    return std::nullopt;
  }
  if (aBody.partitionCount == 0 || aBody.partitionCount > kMaxPartitions) {
    return refuse(ErrorCode::InvalidCommand, "a fleet has 1 to 1,048,576 partitions");
  }
  mOut.emplace_back(wire::FleetCreated{ aBody.partitionCount });
  return std::nullopt;
}

// A registration that names the registered incarnation as ended replaces it at once: its target's
// process no longer exists, so there is no need to wait until its lease expires. A second
// registration of the same incarnation may be a delayed duplicate of the first one. It must not
// revert a later status, so it only replaces addresses and the announcement.
Verdict CommandRules::operator()(const wire::RegisterNode& aBody)
{
  if (auto verdict = checkNode(aBody.node)) {
    return verdict;
  }
  wire::Node node = aBody.node;
  node.registeredAt = mRevision;
  node.isRetired = false;
  node.leavingTarget.reset();
  if (const wire::Node* old = mModel.node(node.id)) {
    const bool isSame = old->incarnation == node.incarnation;
    const bool isEnded = !isSame && old->status != wire::NodeStatus::Lost &&
                         old->incarnation == aBody.endedIncarnation;
    if (isEnded) {
      releaseAllGrants(node.id);
    } else if (isSame == (old->status == wire::NodeStatus::Lost)) {
      return refuse(ErrorCode::IncarnationRefused,
                    isSame ? "this incarnation of " + nodeName(node.id) + " was declared lost"
                           : nodeName(node.id) + " has another incarnation that is not lost yet");
    }
    node.isRetired = old->isRetired;
    node.leavingTarget = old->leavingTarget;
    if (isSame) {
      node.status = old->status;
      node.registeredAt = old->registeredAt;
    }
  } else {
    evictLostNodeIfFull();
  }
  if (mModel.zones().count(node.zone) == 0) {
    mOut.emplace_back(wire::ZoneSet{ wire::Zone{ node.zone, false } });
  }
  mOut.emplace_back(wire::NodeSet{ node });
  return std::nullopt;
}

// Lost nodes are kept, so that a retired target is still retired when its VM returns. When the
// limit is reached, the lost node with the oldest registration is removed.
void CommandRules::evictLostNodeIfFull()
{
  if (mModel.nodes().size() < kMaxNodes) {
    return;
  }
  const wire::Node* oldest = nullptr;
  for (const auto& [id, node] : mModel.nodes()) {
    if (node.status == wire::NodeStatus::Lost &&
        (oldest == nullptr || node.registeredAt < oldest->registeredAt)) {
      oldest = &node;
    }
  }
  if (oldest != nullptr) {
    mOut.emplace_back(wire::NodeRemoved{ oldest->id });
  }
}

Verdict CommandRules::checkIncarnation(NodeId aNode, Incarnation aIncarnation) const
{
  const wire::Node* node = mModel.node(aNode);
  if (node == nullptr) {
    return refuse(ErrorCode::UnknownObject, nodeName(aNode) + " is not registered");
  }
  if (node->incarnation != aIncarnation) {
    return refuse(ErrorCode::IncarnationRefused, nodeName(aNode) + " has another incarnation now");
  }
  return std::nullopt;
}

Verdict CommandRules::operator()(const wire::SetNodeStatus& aBody)
{
  if (auto verdict = checkIncarnation(aBody.node, aBody.incarnation)) {
    return verdict;
  }
  wire::Node node = *mModel.node(aBody.node);
  if (node.status == wire::NodeStatus::Lost) {
    return refuse(ErrorCode::IncarnationRefused, nodeName(aBody.node) + " was declared lost");
  }
  if (aBody.status == wire::NodeStatus::Lost) {
    return refuse(ErrorCode::InvalidCommand, "only the end of its lease makes a node lost");
  }
  if (node.status != aBody.status) {
    node.status = aBody.status;
    mOut.emplace_back(wire::NodeSet{ node });
  }
  return std::nullopt;
}

// A process that was replaced needs no record. A newer one may leave before it is registered.
Verdict CommandRules::operator()(const wire::SetTargetLeaving& aBody)
{
  const wire::Node* found = mModel.node(aBody.node);
  if (found == nullptr) {
    return refuse(ErrorCode::UnknownObject, nodeName(aBody.node) + " is not registered");
  }
  if (aBody.process.instance.empty()) {
    return refuse(ErrorCode::InvalidCommand, "a process that leaves has a name");
  }
  if (!found->hasLeft(aBody.process)) {
    wire::Node node = *found;
    node.leavingTarget = aBody.process;
    mOut.emplace_back(wire::NodeSet{ node });
  }
  return std::nullopt;
}

Verdict CommandRules::operator()(const wire::NodeLost& aBody)
{
  if (auto verdict = checkIncarnation(aBody.node, aBody.incarnation)) {
    return verdict;
  }
  wire::Node node = *mModel.node(aBody.node);
  if (node.status == wire::NodeStatus::Lost) {
    return std::nullopt;
  }
  node.status = wire::NodeStatus::Lost;
  mOut.emplace_back(wire::NodeSet{ node });
  releaseAllGrants(aBody.node);
  return std::nullopt;
}

void CommandRules::releaseAllGrants(NodeId aNode)
{
  for (const auto& service : mModel.grantedServices()) {
    GrantGroups groups;
    const GrantTable& table = mModel.grants(service);
    for (PartitionId i = 0; i < table.size(); ++i) {
      if (table[i].owner == aNode) {
        groups.add(i, wire::PartitionGrant{ kNoNode, 0, table[i].token, kNoNode, {} });
      }
    }
    groups.emit(service, mOut);
  }
}

Verdict CommandRules::checkReceiver(const std::string& aService, NodeId aNode) const
{
  const wire::Node* node = mModel.node(aNode);
  if (node == nullptr) {
    return refuse(ErrorCode::UnknownObject, nodeName(aNode) + " is not registered");
  }
  if (!mModel.mayOwn(*node, aService)) {
    return refuse(ErrorCode::InvalidCommand,
                  nodeName(aNode) + " may not own keys of service '" + aService + "' now");
  }
  return std::nullopt;
}

Verdict CommandRules::operator()(const wire::AssignPartitions& aBody)
{
  if (auto verdict = checkIncarnation(aBody.node, aBody.incarnation)) {
    return verdict;
  }
  if (auto verdict = checkReceiver(aBody.service, aBody.node)) {
    return verdict;
  }
  GrantGroups groups;
  for (const PartitionId partition : distinct(aBody.partitions)) {
    const wire::PartitionGrant* grant = mModel.grant(aBody.service, partition);
    if (grant != nullptr && grant->owner == kNoNode && isPartitionInUse(aBody.service, partition)) {
      groups.add(partition, wire::PartitionGrant{ aBody.node, aBody.incarnation, mRevision, kNoNode,
                                                  grant->handover });
    }
  }
  groups.emit(aBody.service, mOut);
  return std::nullopt;
}

// The receiver of a move can be changed, but the move can't be cancelled: the owner may already
// have stopped and sent its release, which would then end the grant of an owner that has resumed.
Verdict CommandRules::operator()(const wire::BeginPartitionMove& aBody)
{
  if (auto verdict = checkReceiver(aBody.service, aBody.to)) {
    return verdict;
  }
  GrantGroups groups;
  for (const PartitionId partition : distinct(aBody.partitions)) {
    const wire::PartitionGrant* found = mModel.grant(aBody.service, partition);
    if (found == nullptr || found->owner == kNoNode || found->owner == aBody.to ||
        found->movingTo == aBody.to) {
      continue;
    }
    wire::PartitionGrant grant = *found;
    grant.movingTo = aBody.to;
    groups.add(partition, grant);
  }
  groups.emit(aBody.service, mOut);
  return std::nullopt;
}

Verdict CommandRules::operator()(const wire::ReleasePartitions& aBody)
{
  GrantGroups groups;
  std::set<PartitionId> seen;
  for (const auto& it : aBody.grants) {
    const wire::PartitionGrant* grant = mModel.grant(aBody.service, it.partition);
    if (grant == nullptr || grant->owner != aBody.node || aBody.node == kNoNode ||
        grant->incarnation != aBody.incarnation || grant->token != it.token ||
        !seen.insert(it.partition).second) {
      continue;
    }
    const wire::Node* to = mModel.node(grant->movingTo);
    if (to != nullptr && mModel.mayOwn(*to, aBody.service)) {
      groups.add(it.partition,
                 wire::PartitionGrant{ to->id, to->incarnation, mRevision, kNoNode, it.handover });
    } else {
      groups.add(it.partition,
                 wire::PartitionGrant{ kNoNode, 0, grant->token, kNoNode, it.handover });
    }
  }
  groups.emit(aBody.service, mOut);
  return std::nullopt;
}

const wire::Service* CommandRules::keyedService(const std::string& aName) const
{
  const auto it = mModel.services().find(aName);
  return it != mModel.services().end() && it->second.isKeyed ? &it->second : nullptr;
}

bool CommandRules::isPartitionInUse(const std::string& aService, PartitionId aPartition) const
{
  return aPartition < mModel.partitionCount() ||
         std::any_of(mModel.pins().begin(), mModel.pins().end(), [&](const auto& aPin) {
           return aPin.second.service == aService && aPin.second.partition == aPartition;
         });
}

void CommandRules::setGrant(const std::string& aService, PartitionId aPartition,
                            const wire::PartitionGrant& aGrant)
{
  mOut.emplace_back(wire::PartitionsSet{ aService, aGrant, { aPartition } });
}

} // namespace camphorcleat::fleet
