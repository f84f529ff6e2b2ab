// Assigns services, zones and ports, and generates the settings in INI format.

#include "harness/FleetLayout.h"

#include <sstream>

namespace camphorcleat::harness {

namespace {

// Returns the service of each node. Nodes left over after the last service have none. The first
// service without a node count gets all nodes that the others don't need.
std::vector<std::optional<ServiceStatement>> assignServices(const FleetStatement& aFleet)
{
  unsigned assigned = 0;
  for (const auto& it : aFleet.services) {
    assigned += it.nodes;
  }
  std::vector<std::optional<ServiceStatement>> out;
  for (const auto& it : aFleet.services) {
    const unsigned count = it.nodes != 0 ? it.nodes : aFleet.nodes - assigned;
    assigned += it.nodes != 0 ? 0 : count;
    out.insert(out.end(), count, it);
  }
  out.resize(aFleet.nodes);
  return out;
}

} // namespace

Result<FleetLayout> FleetLayout::make(const FleetStatement& aFleet, PortAllocator& aPorts)
{
  FleetLayout out;
  out.mFleet = aFleet;
  for (const auto& service : assignServices(aFleet)) {
    const bool isControl = !aFleet.hasDedicatedControl && out.mNodes.size() < aFleet.control;
    BOOST_LEAF_CHECK(out.addNode(isControl, service, aPorts));
  }
  for (unsigned i = 0; aFleet.hasDedicatedControl && i < aFleet.control; ++i) {
    BOOST_LEAF_CHECK(out.addNode(true, std::nullopt, aPorts));
  }
  if (!aFleet.isProxied) {
    return out;
  }
  BOOST_LEAF_ASSIGN(out.mProxyAdmin, aPorts.allocate());
  for (const auto& from : out.mNodes) {
    for (const auto& to : out.mNodes) {
      if (from.id != to.id) {
        BOOST_LEAF_AUTO(listen, aPorts.allocate());
        out.mLinks.push_back({ from.id, to.id, listen });
      }
    }
  }
  return out;
}

Result<void> FleetLayout::addNode(bool aIsControl, std::optional<ServiceStatement> aService,
                                  PortAllocator& aPorts)
{
  NodeLayout node;
  node.id = static_cast<NodeId>(mNodes.size() + 1);
  node.zone = std::string(1, static_cast<char>('a' + mNodes.size() % mFleet.zones));
  node.isControl = aIsControl;
  node.service = std::move(aService);
  BOOST_LEAF_ASSIGN(node.callers, aPorts.allocate());
  BOOST_LEAF_ASSIGN(node.peers, aPorts.allocate());
  BOOST_LEAF_ASSIGN(node.operators, aPorts.allocate());
  BOOST_LEAF_ASSIGN(node.target, aPorts.allocate());
  BOOST_LEAF_ASSIGN(node.targetAdmin, aPorts.allocate());
  mNodes.push_back(std::move(node));
  return {};
}

std::string FleetLayout::settings(NodeId aNode, const std::string& aDataFolder) const
{
  const NodeLayout& self = node(aNode);
  std::ostringstream out;
  out << "[fleet]\nname = " << mFleet.name << "\npartitions = " << mFleet.partitions << "\n\n";
  out << "[node]\nid = " << self.id << "\nzone = " << self.zone << "\n\n";
  out << "[listen]\ncallers = " << endpointText(self.callers)
      << "\npeers = " << endpointText(self.peers)
      << "\noperators = " << endpointText(self.operators) << "\n\n";
  if (self.service) {
    out << "[target]\naddress = " << endpointText(self.target) << "\n\n";
  }
  out << "[control]\nmembers = ";
  const char* separator = "";
  for (const auto& it : mNodes) {
    if (it.isControl) {
      out << separator << it.id << '@' << endpointText(it.peers);
      separator = ",";
    }
  }
  out << '\n';
  if (self.isControl) {
    out << "data_folder = " << aDataFolder << '\n';
  }
  out << "\n[log]\nlevel = info\nformat = json\n";
  if (!mLinks.empty()) {
    out << "\n[peers]\n";
  }
  for (const auto& it : mLinks) {
    if (it.from == aNode) {
      out << it.to << " = " << endpointText(it.listen) << '\n';
    }
  }
  return out.str();
}

std::string FleetLayout::operatorAddresses() const
{
  std::string out;
  for (const auto& it : mNodes) {
    if (it.isControl) {
      out += (out.empty() ? "" : ",") + endpointText(it.operators);
    }
  }
  return out;
}

} // namespace camphorcleat::harness
