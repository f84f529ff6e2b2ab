// Conversion of "ip:port" addresses to Boost.Asio endpoints. Internal to the package.
//
// Only numeric addresses are accepted. Addresses come from the settings of a process, and resolving
// host names would block or need another thread.

#ifndef CAMPHORCLEAT_TRANSPORT_ENDPOINT_H_
#define CAMPHORCLEAT_TRANSPORT_ENDPOINT_H_

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "base/Errors.h"

namespace camphorcleat::transport {

/// Error for an address that can't be parsed or used.
struct AddressError
{
  static constexpr ErrorCode kCode = ErrorCode::SettingsInvalid;
  std::string address;
  std::string reason;
  std::string message() const { return "address '" + address + "': " + reason; }
};

/// Parses an address such as "127.0.0.1:80" or "[::1]:80". Fails with AddressError. Thread-safe.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& aAddress);

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_ENDPOINT_H_
