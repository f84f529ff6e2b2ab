// Assigns nodes, zones, addresses and links of a test fleet, and generates the daemons' settings
// files.

#ifndef CAMPHORCLEAT_HARNESS_FLEETLAYOUT_H_
#define CAMPHORCLEAT_HARNESS_FLEETLAYOUT_H_

#include <optional>
#include <string>
#include <vector>

#include "harness/Endpoint.h"
#include "harness/PortAllocator.h"
#include "harness/Scenario.h"

namespace camphorcleat::harness {

/// The role and the addresses of a daemon and its target.
struct NodeLayout
{
  NodeId id = kNoNode;
  std::string zone;
  bool isControl = false;
  Endpoint callers;                        ///< Where the daemon listens for requests of callers.
  Endpoint peers;                          ///< Where it listens for other daemons.
  Endpoint operators;                      ///< Where it listens for operators.
  std::optional<ServiceStatement> service; ///< Absent if the node has no target.
  Endpoint target;                         ///< Reserved also if the node has no target.
  Endpoint targetAdmin;                    ///< Where the target listens for admin requests.
};

/// The proxy address through which one node connects to another.
struct LinkLayout
{
  NodeId from = kNoNode;
  NodeId to = kNoNode;
  Endpoint listen; ///< Where fault-proxy listens for connections of the node `from`.
  /// Returns "FROM-TO", the name of the link in fault-proxy.
  std::string name() const { return std::to_string(from) + "-" + std::to_string(to); }
};

/// Immutable.
class FleetLayout
{
public:
  /// Creates the layout. Nodes 1 to aFleet.nodes have the targets, in the order of the services.
  /// Zones are named a, b, c ... and assigned round-robin. The control members are the first nodes,
  /// or, with dedicated control, additional nodes without targets. Fails with HarnessError if no
  /// ports are left.
  static Result<FleetLayout> make(const FleetStatement& aFleet, PortAllocator& aPorts);

  const FleetStatement& fleet() const { return mFleet; }
  const std::vector<NodeLayout>& nodes() const { return mNodes; }
  /// Returns the layout of a node, which must exist.
  const NodeLayout& node(NodeId aNode) const { return mNodes.at(aNode - 1); }
  /// One link for each ordered pair of nodes. Empty unless the fleet is proxied.
  const std::vector<LinkLayout>& links() const { return mLinks; }
  const Endpoint& proxyAdmin() const { return mProxyAdmin; }

  /// Returns the text of a daemon's settings file in INI format. aDataFolder is used only for
  /// control members.
  std::string settings(NodeId aNode, const std::string& aDataFolder) const;

  /// Returns the operator addresses of the control members, separated by commas.
  std::string operatorAddresses() const;

private:
  Result<void> addNode(bool aIsControl, std::optional<ServiceStatement> aService,
                       PortAllocator& aPorts);

  FleetStatement mFleet;
  std::vector<NodeLayout> mNodes;
  std::vector<LinkLayout> mLinks;
  Endpoint mProxyAdmin;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_FLEETLAYOUT_H_
