// Parses and formats addresses of the form ip:port.

#include "harness/Endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

#include "harness/HarnessErrors.h"

namespace camphorcleat::harness {

Result<Endpoint> parseEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  unsigned port = 0;
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(aText.substr(0, colon), ec);
  if (colon == std::string::npos || ec ||
      !boost::conversion::try_lexical_convert(aText.substr(colon + 1), port) || port > 65535) {
    return fail(UsageError{ "'" + aText + "' is not an address of the form ip:port" });
  }
  return Endpoint(address, static_cast<unsigned short>(port));
}

std::string endpointText(const Endpoint& aEndpoint)
{
  return aEndpoint.address().to_string() + ":" + std::to_string(aEndpoint.port());
}

} // namespace camphorcleat::harness
