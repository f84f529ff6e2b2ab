// Assignment of services, zones and ports, and the INI text.

#include "harness/FleetLayout.h"

#include <sstream>

namespace camphorcleat::harness {

namespace {

// The service of each node; nodes that no service takes have none.
std::vector<std::optional<ServiceStatement>> dealServices(const FleetStatement& aFleet)
{
  unsigned taken = 0;
  for (const auto& it : aFleet.services) {
    taken += it.nodes;
  }
  std::vector<std::optional<ServiceStatement>> out;
  for (const auto& it : aFleet.services) {
    const unsigned count = it.nodes != 0 ? it.nodes : aFleet.nodes - taken;
    taken += it.nodes != 0 ? 0 : count;
    out.insert(out.end(), count, it);
  }
  out.resize(aFleet.nodes);
  return out;
}

} // namespace

Result<FleetLayout> FleetLayout::make(const FleetStatement& aFleet, PortBlock& aPorts)
{
  FleetLayout out;
  out.mFleet = aFleet;
  for (const auto& service : dealServices(aFleet)) {
    const bool isControl = !aFleet.isControlApart && out.mNodes.size() < aFleet.control;
    BOOST_LEAF_CHECK(out.addNode(isControl, service, aPorts));
  }
  for (unsigned i = 0; aFleet.isControlApart && i < aFleet.control; ++i) {
    BOOST_LEAF_CHECK(out.addNode(true, std::nullopt, aPorts));
  }
  if (!aFleet.isProxied) {
    return out;
  }
  BOOST_LEAF_ASSIGN(out.mProxyAdmin, aPorts.next());
  for (const auto& from : out.mNodes) {
    for (const auto& to : out.mNodes) {
      if (from.id != to.id) {
        BOOST_LEAF_AUTO(listen, aPorts.next());
        out.mLinks.push_back({ from.id, to.id, listen });
      }
    }
  }
  return out;
}

Result<void> FleetLayout::addNode(bool aIsControl, std::optional<ServiceStatement> aService,
                                  PortBlock& aPorts)
{
  NodeLayout node;
  node.id = static_cast<NodeId>(mNodes.size() + 1);
  node.zone = std::string(1, static_cast<char>('a' + mNodes.size() % mFleet.zones));
  node.isControl = aIsControl;
  node.service = std::move(aService);
  BOOST_LEAF_ASSIGN(node.callers, aPorts.next());
  BOOST_LEAF_ASSIGN(node.peers, aPorts.next());
  BOOST_LEAF_ASSIGN(node.operators, aPorts.next());
  BOOST_LEAF_ASSIGN(node.target, aPorts.next());
  BOOST_LEAF_ASSIGN(node.targetAdmin, aPorts.next());
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
