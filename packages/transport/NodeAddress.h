// Ids that are made of addresses.
//
// Where nobody keeps a list of nodes, the id of a node is its IPv4 address as a number, and all
// daemons take peers on one port. Id and address then follow from each other.

#ifndef CAMPHORCLEAT_TRANSPORT_NODEADDRESS_H_
#define CAMPHORCLEAT_TRANSPORT_NODEADDRESS_H_

#include <optional>
#include <string>

#include "base/Ids.h"

namespace camphorcleat::transport {

/// The id of the node at "ip:port"; nothing unless it is an IPv4 address with a port. Thread-safe.
std::optional<NodeId> nodeIdFromAddress(const std::string& aAddress);

/// "ip:port" of a node whose id is an address. Thread-safe.
std::string addressFromNodeId(NodeId aNode, unsigned short aPort);

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_NODEADDRESS_H_
