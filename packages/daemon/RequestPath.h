// Parses the path of a caller's request: service, key, and whether it is an open route, which needs
// no account key.

#ifndef CAMPHORCLEAT_DAEMON_REQUESTPATH_H_
#define CAMPHORCLEAT_DAEMON_REQUESTPATH_H_

#include <string>
#include <vector>

namespace camphorcleat::daemon {

/// Service and key in a path.
struct RequestPath
{
  std::string service; ///< First segment, percent-decoded.
  std::string key;     ///< Second segment, percent-decoded; empty if there is none.
};

/// Extracts service and key from a path as the caller sent it, with or without a query.
/// Thread-safe.
RequestPath splitPath(const std::string& aPath);

/// Returns whether one of the prefixes matches the path up to a segment boundary. Returns false for
/// paths with dot segments, empty segments, backslashes, or encoded dots, slashes or backslashes,
/// because the target might resolve them to another route. Thread-safe.
bool isOpenRoute(const std::string& aPath, const std::vector<std::string>& aPrefixes);

/// Returns whether an HTTP method is idempotent. Thread-safe.
bool isIdempotentMethod(const std::string& aMethod);

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_REQUESTPATH_H_
