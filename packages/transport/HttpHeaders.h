// Header rules of RFC 9110 and RFC 9112 that a proxy must follow.

#ifndef CAMPHORCLEAT_TRANSPORT_HTTPHEADERS_H_
#define CAMPHORCLEAT_TRANSPORT_HTTPHEADERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/PeerMessages.h"

namespace camphorcleat::transport {

/// Returns whether two header names are equal, ignoring the case of ASCII letters. Thread-safe.
bool equalHeaderNames(std::string_view aLeft, std::string_view aRight);

/// Returns the value of the first header with the name, or nullptr if there is none. The pointer is
/// valid until the vector changes. Thread-safe.
const std::string* findHeader(const std::vector<wire::Header>& aHeaders, std::string_view aName);

/// Removes hop-by-hop headers (RFC 9110, section 7.6.1): Connection and the headers that it names,
/// Keep-Alive, Proxy-Connection, TE, Trailer, Transfer-Encoding, Upgrade, and Expect, which the
/// receiving side handles itself. Content-Length is kept. Thread-safe.
void removeHopByHopHeaders(std::vector<wire::Header>& aHeaders);

/// Returns whether the header is set by the writer of a message itself: the hop-by-hop headers and
/// Content-Length. Thread-safe.
bool isFramingHeader(std::string_view aName);

/// Returns the length in the first Content-Length header, if it is valid. Thread-safe.
std::optional<std::uint64_t> parseContentLength(const std::vector<wire::Header>& aHeaders);

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_HTTPHEADERS_H_
