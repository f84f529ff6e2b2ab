// Applies changes to the model and implements its lookups.

#include "fleet/FleetModel.h"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <tuple>
#include <variant>

#include "base/Hash.h"
#include "fleet/ConfigurationDifference.h"

namespace camphorcleat::fleet {

namespace {

const GrantTable kEmptyTable;

using GrantFields = std::tuple<NodeId, Incarnation, FencingToken, NodeId, std::string>;

// Keys of ranged services are numbers below this limit. Each partition has a range of them.
constexpr std::uint64_t kRangedKeys = 65536;

GrantFields grantFields(const wire::PartitionGrant& aGrant)
{
  return { aGrant.owner, aGrant.incarnation, aGrant.token, aGrant.movingTo, aGrant.handover };
}

PartitionId rangePartitionOf(const std::string& aKey, std::uint32_t aPartitionCount)
{
  const std::uint64_t number =
    std::min<std::uint64_t>(std::strtoull(aKey.c_str(), nullptr, 10), kRangedKeys - 1);
  return static_cast<PartitionId>(number * aPartitionCount / kRangedKeys);
}

// Appends one PartitionsSet for each distinct grant of a service.
void appendGrants(const std::string& aService, const GrantTable& aTable,
                  std::vector<wire::Change>& aOut)
{
  std::map<GrantFields, wire::PartitionsSet> groups;
  for (PartitionId i = 0; i < aTable.size(); ++i) {
    if (aTable[i].token == 0) {
      continue;
    }
    wire::PartitionsSet& group = groups[grantFields(aTable[i])];
    group.service = aService;
    group.grant = aTable[i];
    group.partitions.push_back(i);
  }
  for (auto& [key, group] : groups) {
    aOut.emplace_back(std::move(group));
  }
}

} // namespace

void FleetModel::apply(const wire::Change& aChange)
{
  std::visit([this](const auto& aBody) { applyOne(aBody); }, aChange);
}

std::vector<wire::Change> FleetModel::toChanges() const
{
  std::vector<wire::Change> out;
  if (mPartitionCount > 0) {
    out.emplace_back(wire::FleetCreated{ mPartitionCount });
  }
  if (mConfiguration->version > 0) {
    out.emplace_back(wire::ConfigurationSet{ *mConfiguration });
  }
  for (const auto& [name, service] : mServices) {
    out.emplace_back(wire::ServiceSet{ service });
  }
  for (const auto& [name, account] : mAccounts) {
    out.emplace_back(wire::AccountSet{ account });
  }
  for (const auto& [id, node] : mNodes) {
    out.emplace_back(wire::NodeSet{ node });
  }
  for (const auto& [name, zone] : mZones) {
    out.emplace_back(wire::ZoneSet{ zone });
  }
  for (const auto& [name, pin] : mPins) {
    out.emplace_back(wire::PinSet{ pin });
  }
  for (const auto& [service, table] : mGrants) {
    appendGrants(service, table, out);
  }
  return out;
}

const GrantTable& FleetModel::grants(const std::string& aService) const
{
  const auto it = mGrants.find(aService);
  return it == mGrants.end() ? kEmptyTable : it->second;
}

const wire::PartitionGrant* FleetModel::grant(const std::string& aService,
                                              PartitionId aPartition) const
{
  const GrantTable& table = grants(aService);
  return aPartition < table.size() ? &table[aPartition] : nullptr;
}

std::vector<std::string> FleetModel::grantedServices() const
{
  std::vector<std::string> out;
  for (const auto& [service, table] : mGrants) {
    out.push_back(service);
  }
  return out;
}

PartitionId FleetModel::partitionOf(const std::string& aService, const std::string& aKey) const
{
  if (!mPins.empty()) {
    const auto it = mPins.find({ aService, aKey });
    if (it != mPins.end()) {
      return it->second.partition;
    }
  }
  const auto service = mServices.find(aService);
  if (service != mServices.end() && service->second.isRanged) {
    return rangePartitionOf(aKey, mPartitionCount);
  }
  return camphorcleat::partitionOf(aService, aKey, mPartitionCount);
}

std::pair<std::uint32_t, std::uint32_t> FleetModel::rangeOf(PartitionId aPartition) const
{
  const std::uint64_t n = mPartitionCount;
  const std::uint64_t first = (aPartition * kRangedKeys + n - 1) / n;
  const std::uint64_t next = ((aPartition + 1) * kRangedKeys + n - 1) / n;
  return { static_cast<std::uint32_t>(first), static_cast<std::uint32_t>(next - 1) };
}

const wire::Account* FleetModel::accountOfDigest(const std::string& aDigest) const
{
  const auto it = mAccountOfDigest.find(aDigest);
  if (it == mAccountOfDigest.end() || !equalConstantTime(it->first, aDigest)) {
    return nullptr;
  }
  const auto account = mAccounts.find(it->second);
  return account == mAccounts.end() ? nullptr : &account->second;
}

const wire::Node* FleetModel::node(NodeId aId) const
{
  const auto it = mNodes.find(aId);
  return it == mNodes.end() ? nullptr : &it->second;
}

bool FleetModel::isZoneOut(const std::string& aZone) const
{
  const auto it = mZones.find(aZone);
  return it != mZones.end() && it->second.isOut;
}

bool FleetModel::mayOwnRateBuckets(const wire::Node& aNode) const
{
  return aNode.status == wire::NodeStatus::Serving || aNode.status == wire::NodeStatus::TargetDown;
}

bool FleetModel::isTargetUsable(const wire::Node& aNode) const
{
  return aNode.hasTarget && aNode.status == wire::NodeStatus::Serving && !aNode.isRetired &&
         !aNode.isTargetLeaving();
}

bool FleetModel::mayReceiveRequests(const wire::Node& aNode) const
{
  return isTargetUsable(aNode) && !isZoneOut(aNode.zone);
}

bool FleetModel::isOutOfService(const std::string& aService) const
{
  bool hasTargetInZoneOut = false;
  for (const auto& [id, node] : mNodes) {
    if (node.target.service != aService || !isTargetUsable(node)) {
      continue;
    }
    if (!isZoneOut(node.zone)) {
      return false;
    }
    hasTargetInZoneOut = true;
  }
  return hasTargetInZoneOut;
}

bool FleetModel::mayOwn(const wire::Node& aNode, const std::string& aService) const
{
  if (aService == kAccountService) {
    return mayOwnRateBuckets(aNode);
  }
  return mayReceiveRequests(aNode) && aNode.target.service == aService;
}

void FleetModel::applyOne(const wire::FleetCreated& aChange)
{
  if (mPartitionCount != 0) {
    return;
  }
  mPartitionCount = aChange.partitionCount;
  mGrants[kAccountService].resize(mPartitionCount);
}

void FleetModel::applyOne(const wire::ServiceSet& aChange)
{
  const wire::Service& service = aChange.service;
  mServices[service.name] = service;
  if (service.isKeyed) {
    GrantTable& table = mGrants[service.name];
    if (table.size() < mPartitionCount) {
      table.resize(mPartitionCount);
    }
  }
}

void FleetModel::applyOne(const wire::ServiceRemoved& aChange)
{
  mServices.erase(aChange.name);
  mGrants.erase(aChange.name);
}

void FleetModel::applyOne(const wire::AccountSet& aChange)
{
  removeDigests(aChange.account.name);
  mAccounts[aChange.account.name] = aChange.account;
  for (const auto& [keyName, digest] : aChange.account.keyDigests) {
    mAccountOfDigest[digest] = aChange.account.name;
  }
}

void FleetModel::applyOne(const wire::AccountRemoved& aChange)
{
  removeDigests(aChange.name);
  mAccounts.erase(aChange.name);
}

void FleetModel::applyOne(const wire::NodeSet& aChange)
{
  mNodes[aChange.node.id] = aChange.node;
}

void FleetModel::applyOne(const wire::NodeRemoved& aChange)
{
  mNodes.erase(aChange.id);
}

void FleetModel::applyOne(const wire::ZoneSet& aChange)
{
  mZones[aChange.zone.name] = aChange.zone;
}

void FleetModel::applyOne(const wire::PartitionsSet& aChange)
{
  const auto it = mGrants.find(aChange.service);
  if (it == mGrants.end()) {
    return;
  }
  for (const PartitionId partition : aChange.partitions) {
    if (partition < it->second.size()) {
      it->second[partition] = aChange.grant;
    }
  }
}

void FleetModel::applyOne(const wire::PinSet& aChange)
{
  const wire::Pin& pin = aChange.pin;
  const auto it = mGrants.find(pin.service);
  if (it == mGrants.end() || pin.partition >= mPartitionCount + kMaxPins) {
    return;
  }
  mPins[{ pin.service, pin.key }] = pin;
  if (it->second.size() <= pin.partition) {
    it->second.resize(pin.partition + 1);
  }
}

void FleetModel::applyOne(const wire::PinRemoved& aChange)
{
  mPins.erase({ aChange.service, aChange.key });
}

// Services that are also in the new configuration keep their grants.
void FleetModel::applyOne(const wire::ConfigurationSet& aChange)
{
  mConfiguration = std::make_shared<const wire::Configuration>(aChange.configuration);
  mRoutes = std::make_shared<const RouteTable>(mConfiguration->routes);
  std::set<std::string> kept;
  for (const auto& it : mConfiguration->services) {
    kept.insert(it.name);
    applyOne(wire::ServiceSet{ it });
  }
  for (auto it = mServices.begin(); it != mServices.end();) {
    const std::string name = (it++)->first;
    if (kept.count(name) == 0) {
      applyOne(wire::ServiceRemoved{ name });
    }
  }
  mAccounts.clear();
  mAccountOfDigest.clear();
  for (const auto& it : mConfiguration->accounts) {
    applyOne(wire::AccountSet{ it });
  }
}

void FleetModel::applyOne(const wire::ConfigurationChanged& aChange)
{
  if (mConfiguration->version == aChange.fromVersion) {
    applyOne(wire::ConfigurationSet{ applyDifference(*mConfiguration, aChange) });
  }
}

void FleetModel::removeDigests(const std::string& aAccount)
{
  const auto it = mAccounts.find(aAccount);
  if (it == mAccounts.end()) {
    return;
  }
  for (const auto& [keyName, digest] : it->second.keyDigests) {
    mAccountOfDigest.erase(digest);
  }
}

} // namespace camphorcleat::fleet
