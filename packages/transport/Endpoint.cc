// Parsing of numeric addresses.

#include "transport/Endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace camphorcleat::transport {

Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return fail(AddressError{ aAddress, "expected ip:port" });
  }
  std::string host = aAddress.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  unsigned short port = 0;
  if (!boost::conversion::try_lexical_convert(aAddress.substr(colon + 1), port)) {
    return fail(AddressError{ aAddress, "expected a port number from 0 to 65535" });
  }
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address(host, ec);
  if (ec) {
    return fail(AddressError{ aAddress, "expected a numeric IP address" });
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace camphorcleat::transport
