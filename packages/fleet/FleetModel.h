// The state of the fleet as every daemon sees it: services, accounts, nodes, zones, pins and
// grants.
//
// It changes only by wire::Change, in the order of revisions, so that control members and daemons
// that have applied the same revision hold the same state. Lookups that requests need are constant
// or logarithmic in time; the grant table is one vector per service.

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

/// Service whose partitions decide where an account's rate bucket lives. It always exists and every
/// serving daemon may own a part of it, whether or not a target runs beside it.
constexpr const char* kAccountService = "@accounts";

/// Most pinned keys. Each one costs a grant of its own.
constexpr std::size_t kMaxPins = 1024;

/// Grants of one service: partitions 0 to partitionCount - 1, then one for each pin.
using GrantTable = std::vector<wire::PartitionGrant>;

/// Not thread-safe; share a const copy between threads.
class FleetModel
{
public:
  /// Applies one change. Changes that name unknown objects are ignored, so that every replica
  /// treats them alike.
  void apply(const wire::Change& aChange);

  /// The whole state as changes that build it from nothing.
  std::vector<wire::Change> toChanges() const;

  /// 0 before the fleet's first entry.
  std::uint32_t partitionCount() const { return mPartitionCount; }
  const std::map<std::string, wire::Service>& services() const { return mServices; }
  const std::map<std::string, wire::Account>& accounts() const { return mAccounts; }
  const std::map<NodeId, wire::Node>& nodes() const { return mNodes; }
  const std::map<std::string, wire::Zone>& zones() const { return mZones; }

  /// The configuration in force; version 0 if none was set. Unchanged while the model is copied.
  const wire::Configuration& configuration() const { return *mConfiguration; }

  /// The routes of the configuration.
  const RouteTable& routes() const { return *mRoutes; }

  const std::map<std::pair<std::string, std::string>, wire::Pin>& pins() const { return mPins; }

  /// Grants of a service, kAccountService included; empty for an unkeyed or unknown one.
  const GrantTable& grants(const std::string& aService) const;

  /// The grant of one partition, or nullptr if the service has no such partition.
  const wire::PartitionGrant* grant(const std::string& aService, PartitionId aPartition) const;

  /// Names of all services that have grants, kAccountService first.
  std::vector<std::string> grantedServices() const;

  /// The partition of a key, its pin considered. Requires partitionCount() > 0. A ranged service
  /// takes a key that is no number as 0, and one that is too large as 65535.
  PartitionId partitionOf(const std::string& aService, const std::string& aKey) const;

  /// First and last key of a partition of a ranged service. Requires a partition below
  /// partitionCount() and at most 65536 partitions.
  std::pair<std::uint32_t, std::uint32_t> rangeOf(PartitionId aPartition) const;

  /// The account that a key digest belongs to, or nullptr. The digest of a secret is looked up by
  /// hash and then compared in constant time.
  const wire::Account* accountOfDigest(const std::string& aDigest) const;

  /// The node, or nullptr.
  const wire::Node* node(NodeId aId) const;

  /// Whether operators have taken the zone out.
  bool isZoneOut(const std::string& aZone) const;

  /// Whether a node may be given partitions of kAccountService: its lease holds and it stays.
  bool mayOwnRateBuckets(const wire::Node& aNode) const;

  /// Whether a node's target may be given new work: serving, zone in, not retired.
  bool mayReceiveRequests(const wire::Node& aNode) const;

  /// Whether a node may own partitions of the service now.
  bool mayOwn(const wire::Node& aNode, const std::string& aService) const;

private:
  void applyOne(const wire::FleetBorn& aChange);
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
