// Addresses of the form "ip:port" as Boost.Asio endpoints. Internal to the package.
//
// Only numeric addresses are read: a process learns its addresses from its settings, and a name
// look-up would block or need a further thread.

#ifndef CAMPHORCLEAT_TRANSPORT_ENDPOINT_H_
#define CAMPHORCLEAT_TRANSPORT_ENDPOINT_H_

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "base/Errors.h"

namespace camphorcleat::transport {

/// An address that can't be read or used.
struct AddressError
{
  static constexpr ErrorCode kCode = ErrorCode::SettingsInvalid;
  std::string address;
  std::string reason;
  std::string message() const { return "address '" + address + "': " + reason; }
};

/// Reads "127.0.0.1:80" or "[::1]:80". Fails with AddressError. Thread-safe.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& aAddress);

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_ENDPOINT_H_
