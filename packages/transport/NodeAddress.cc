// Conversion with Asio's address types.

#include "transport/NodeAddress.h"

#include <boost/asio/ip/address_v4.hpp>

#include "transport/Endpoint.h"

namespace camphorcleat::transport {

std::optional<NodeId> nodeIdFromAddress(const std::string& aAddress)
{
  return orElse(
    [&]() -> Result<std::optional<NodeId>> {
      BOOST_LEAF_AUTO(endpoint, parseEndpoint(aAddress));
      return endpoint.address().is_v4()
               ? std::optional<NodeId>(endpoint.address().to_v4().to_uint())
               : std::nullopt;
    },
    [](const ErrorInfo&) { return std::optional<NodeId>(); });
}

std::string addressFromNodeId(NodeId aNode, unsigned short aPort)
{
  return boost::asio::ip::address_v4(aNode).to_string() + ":" + std::to_string(aPort);
}

} // namespace camphorcleat::transport
