// Header rules, implemented with Beast's token parser.

#include "transport/HttpHeaders.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace camphorcleat::transport {

namespace {

constexpr std::array<std::string_view, 8> kHopByHop = { "Connection",       "Keep-Alive",
                                                        "Proxy-Connection", "TE",
                                                        "Trailer",          "Transfer-Encoding",
                                                        "Upgrade",          "Expect" };

bool isHopByHop(std::string_view aName)
{
  return std::any_of(kHopByHop.begin(), kHopByHop.end(),
                     [&](std::string_view aOther) { return equalHeaderNames(aName, aOther); });
}

} // namespace

bool equalHeaderNames(std::string_view aLeft, std::string_view aRight)
{
  return boost::beast::iequals({ aLeft.data(), aLeft.size() }, { aRight.data(), aRight.size() });
}

const std::string* findHeader(const std::vector<wire::Header>& aHeaders, std::string_view aName)
{
  for (const auto& it : aHeaders) {
    if (equalHeaderNames(it.name, aName)) {
      return &it.value;
    }
  }
  return nullptr;
}

void removeHopByHopHeaders(std::vector<wire::Header>& aHeaders)
{
  std::vector<std::string> named;
  for (const auto& it : aHeaders) {
    if (equalHeaderNames(it.name, "Connection")) {
      for (const auto token : boost::beast::http::token_list{ it.value }) {
        // Content-Length is kept even if Connection names it: removing it would change the framing.
        if (!equalHeaderNames({ token.data(), token.size() }, "Content-Length")) {
          named.emplace_back(token.data(), token.size());
        }
      }
    }
  }
  const auto isRemoved = [&](const wire::Header& aHeader) {
    return isHopByHop(aHeader.name) ||
           std::any_of(named.begin(), named.end(), [&](const std::string& aName) {
             return equalHeaderNames(aHeader.name, aName);
           });
  };
  aHeaders.erase(std::remove_if(aHeaders.begin(), aHeaders.end(), isRemoved), aHeaders.end());
}

bool isFramingHeader(std::string_view aName)
{
  return equalHeaderNames(aName, "Content-Length") || isHopByHop(aName);
}

std::optional<std::uint64_t> parseContentLength(const std::vector<wire::Header>& aHeaders)
{
  const std::string* value = findHeader(aHeaders, "Content-Length");
  std::uint64_t n = 0;
  // Only digits are allowed; try_lexical_convert() would accept a sign.
  if (value == nullptr || value->empty() ||
      !std::all_of(value->begin(), value->end(), [](char aC) { return aC >= '0' && aC <= '9'; }) ||
      !boost::conversion::try_lexical_convert(*value, n)) {
    return std::nullopt;
  }
  return n;
}

} // namespace camphorcleat::transport
