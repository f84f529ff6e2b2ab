// Addresses of the form ip:port, as in command-line options and load plans.

#ifndef CAMPHORCLEAT_HARNESS_ENDPOINT_H_
#define CAMPHORCLEAT_HARNESS_ENDPOINT_H_

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "base/Errors.h"

namespace camphorcleat::harness {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// Parses an address such as "127.0.0.1:8080". Fails with UsageError. Thread-safe.
Result<Endpoint> parseEndpoint(const std::string& aText);

/// Returns the address as "ip:port". Thread-safe.
std::string endpointText(const Endpoint& aEndpoint);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_ENDPOINT_H_
