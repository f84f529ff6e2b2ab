// Rules for HTTP headers that a proxy has to follow.

#ifndef CAMPHORCLEAT_TRANSPORT_HTTPHEADERS_H_
#define CAMPHORCLEAT_TRANSPORT_HTTPHEADERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/PeerMessages.h"

namespace camphorcleat::transport {

/// Whether two header names are equal, ignoring the case of ASCII letters. Thread-safe.
bool equalHeaderNames(std::string_view aLeft, std::string_view aRight);

/// The value of the first header of that name, if there is one. The pointer lives as long as the
/// vector is unchanged. Thread-safe.
const std::string* findHeader(const std::vector<wire::Header>& aHeaders, std::string_view aName);

/// Removes headers that concern one connection only (RFC 9110, section 7.6.1): Connection and the
/// ones it names, Keep-Alive, Proxy-Connection, TE, Trailer, Transfer-Encoding, Upgrade, and
/// Expect, which the receiving end answers itself. Content-Length stays. Thread-safe.
void removeHopByHopHeaders(std::vector<wire::Header>& aHeaders);

/// Whether the header describes the framing of a message, so that the writer of a message sets it
/// itself: the hop-by-hop headers and Content-Length. Thread-safe.
bool isFramingHeader(std::string_view aName);

/// The length in a Content-Length header, if there is a valid one. Thread-safe.
std::optional<std::uint64_t> parseContentLength(const std::vector<wire::Header>& aHeaders);

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_HTTPHEADERS_H_
