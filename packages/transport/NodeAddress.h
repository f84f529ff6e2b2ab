// Conversion between node ids and IPv4 addresses.
//
// In a fleet without a configured list of nodes, the id of a node is its IPv4 address as a number,
// and all daemons listen for peers on the same port. Id and address can then be derived from each
// other.

#ifndef CAMPHORCLEAT_TRANSPORT_NODEADDRESS_H_
#define CAMPHORCLEAT_TRANSPORT_NODEADDRESS_H_

#include <optional>
#include <string>

#include "base/Ids.h"

namespace camphorcleat::transport {

/// Returns the id of the node at "ip:port", or no value unless it is an IPv4 address with a port.
/// Thread-safe.
std::optional<NodeId> nodeIdFromAddress(const std::string& aAddress);

/// Returns "ip:port" of a node whose id is derived from its address. Thread-safe.
std::string addressFromNodeId(NodeId aNode, unsigned short aPort);

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_NODEADDRESS_H_
