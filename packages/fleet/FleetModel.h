// The replicated state of the fleet: services, accounts, nodes, zones, pins and grants.
//
// It changes only by wire::Change, in the order of revisions, so that all control members and
// daemons that have applied the same revision have the same state. Lookups for requests take
// constant or logarithmic time; the grant table is one vector per service.

#ifndef CAMPHORCLEAT_FLEET_FLEETMODEL_H_
#define CAMPHORCLEAT_FLEET_FLEETMODEL_H_

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet/RouteTable.h"
#include "wire/FleetMessages.h"

namespace camphorcleat::fleet {

/// Internal service whose keys are account names: the owner of a partition has the rate buckets of
/// its accounts. It always exists, and every daemon that is neither lost nor draining may own
/// partitions of it, with or without a target.
constexpr const char* kAccountService = "@accounts";

/// Maximum number of pinned keys; each one has a separate grant.
constexpr std::size_t kMaxPins = 1024;

/// Grants of one service: partitions 0 to partitionCount - 1, then one per pin slot.
using GrantTable = std::vector<wire::PartitionGrant>;

/// Not thread-safe; share a const copy between threads.
class FleetModel
{
public:
  /// Applies one change. Changes that name unknown objects are ignored, so that every replica
  /// has the same state.
  void apply(const wire::Change& aChange);

  /// Returns the changes that build the whole state from an empty model.
  std::vector<wire::Change> toChanges() const;

  /// Returns the number of partitions per keyed service; 0 until the fleet is created by its first
  /// log entry.
  std::uint32_t partitionCount() const { return mPartitionCount; }
  const std::map<std::string, wire::Service>& services() const { return mServices; }
  const std::map<std::string, wire::Account>& accounts() const { return mAccounts; }
  const std::map<NodeId, wire::Node>& nodes() const { return mNodes; }
  const std::map<std::string, wire::Zone>& zones() const { return mZones; }

  /// Returns the current configuration; version 0 if none was set. Copies of the model share it.
  const wire::Configuration& configuration() const { return *mConfiguration; }

  /// Returns the routes of the current configuration.
  const RouteTable& routes() const { return *mRoutes; }

  const std::map<std::pair<std::string, std::string>, wire::Pin>& pins() const { return mPins; }

  /// Returns the grants of a service or of kAccountService; empty if the service is unkeyed or
  /// unknown.
  const GrantTable& grants(const std::string& aService) const;

  /// Returns the grant of one partition, or nullptr if the service has no such partition.
  const wire::PartitionGrant* grant(const std::string& aService, PartitionId aPartition) const;

  /// Returns the names of all services that have grants, kAccountService first.
  std::vector<std::string> grantedServices() const;

  /// Returns the partition of a key, or that of its pin if it is pinned. Requires partitionCount()
  /// > 0. In a ranged service, a key that does not begin with a decimal number is treated as 0, and
  /// one above 65535 as 65535.
  PartitionId partitionOf(const std::string& aService, const std::string& aKey) const;

  /// Returns the first and last key of a partition of a ranged service. Requires aPartition <
  /// partitionCount() and partitionCount() <= 65536.
  std::pair<std::uint32_t, std::uint32_t> rangeOf(PartitionId aPartition) const;

  /// Returns the account that a key digest belongs to, or nullptr. The digest is looked up by its
  /// hash and then compared in constant time.
  const wire::Account* accountOfDigest(const std::string& aDigest) const;

  /// Returns the node, or nullptr.
  const wire::Node* node(NodeId aId) const;

  /// Returns whether operators have taken the zone out of service.
  bool isZoneOut(const std::string& aZone) const;

  /// Returns whether a node may own partitions of kAccountService: it is neither lost nor draining.
  bool mayOwnRateBuckets(const wire::Node& aNode) const;

  /// Returns whether a node's target may receive new requests while its zone is in service: the
  /// node is serving and not retired, and the target isn't leaving.
  bool isTargetUsable(const wire::Node& aNode) const;

  /// Returns whether a node's target may receive new requests: it is usable and its zone is in
  /// service.
  bool mayReceiveRequests(const wire::Node& aNode) const;

  /// Returns whether no target of the service may receive requests because operators have taken the
  /// zones of all usable ones out of service.
  bool isOutOfService(const std::string& aService) const;

  /// Returns whether a node may currently own partitions of the service.
  bool mayOwn(const wire::Node& aNode, const std::string& aService) const;

private:
  void applyOne(const wire::FleetCreated& aChange);
  void applyOne(const wire::ServiceSet& aChange);
  void applyOne(const wire::ServiceRemoved& aChange);
  void applyOne(const wire::AccountSet& aChange);
  void applyOne(const wire::AccountRemoved& aChange);
  void applyOne(const wire::NodeSet& aChange);
  void applyOne(const wire::NodeRemoved& aChange);
  void applyOne(const wire::ZoneSet& aChange);
  void applyOne(const wire::PartitionsSet& aChange);
  void applyOne(const wire::PinSet& aChange);
  void applyOne(const wire::PinRemoved& aChange);
  void applyOne(const wire::ConfigurationSet& aChange);
  void applyOne(const wire::ConfigurationChanged& aChange);
  void removeDigests(const std::string& aAccount);

  std::uint32_t mPartitionCount = 0;
  std::map<std::string, wire::Service> mServices;
  std::map<std::string, wire::Account> mAccounts;
  std::map<NodeId, wire::Node> mNodes;
  std::map<std::string, wire::Zone> mZones;
  std::map<std::pair<std::string, std::string>, wire::Pin> mPins;
  std::map<std::string, GrantTable> mGrants;
  std::unordered_map<std::string, std::string> mAccountOfDigest;
  std::shared_ptr<const wire::Configuration> mConfiguration =
    std::make_shared<const wire::Configuration>();
  std::shared_ptr<const RouteTable> mRoutes =
    std::make_shared<const RouteTable>(std::vector<wire::Route>());
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_FLEETMODEL_H_
