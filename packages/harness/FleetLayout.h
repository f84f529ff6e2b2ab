// Nodes, zones, addresses and links of a test fleet, and the settings file of each daemon.

#ifndef CAMPHORCLEAT_HARNESS_FLEETLAYOUT_H_
#define CAMPHORCLEAT_HARNESS_FLEETLAYOUT_H_

#include <optional>
#include <string>
#include <vector>

#include "harness/Endpoint.h"
#include "harness/PortAllocator.h"
#include "harness/Scenario.h"

namespace camphorcleat::harness {

struct NodeLayout
{
  NodeId id = kNoNode;
  std::string zone;
  bool isControl = false;
  Endpoint callers;
  Endpoint peers;
  Endpoint operators;
  std::optional<ServiceStatement> service; ///< Absent: no target on this node.
  Endpoint target;
  Endpoint targetAdmin;
};

/// The proxied way on which one node dials another.
struct LinkLayout
{
  NodeId from = kNoNode;
  NodeId to = kNoNode;
  Endpoint listen;
  /// "FROM-TO".
  std::string name() const { return std::to_string(from) + "-" + std::to_string(to); }
};

/// Immutable once made.
class FleetLayout
{
public:
  /// Nodes 1..nodes carry the targets, filled service by service; zones are named a, b, c ... and
  /// dealt out in turn. Control members are the first nodes, or, if apart, further nodes without
  /// targets. Fails with HarnessError when ports run out.
  static Result<FleetLayout> make(const FleetStatement& aFleet, PortAllocator& aPorts);

  const FleetStatement& fleet() const { return mFleet; }
  const std::vector<NodeLayout>& nodes() const { return mNodes; }
  /// aNode must exist.
  const NodeLayout& node(NodeId aNode) const { return mNodes.at(aNode - 1); }
  /// Empty unless the fleet is proxied.
  const std::vector<LinkLayout>& links() const { return mLinks; }
  const Endpoint& proxyAdmin() const { return mProxyAdmin; }

  /// The text of a daemon's settings file.
  std::string settings(NodeId aNode, const std::string& aDataFolder) const;

  /// The control members' operator addresses, separated by commas.
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
