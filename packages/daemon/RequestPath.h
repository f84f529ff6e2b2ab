// What a caller's path says: service, key, and whether it is an open route.

#ifndef CAMPHORCLEAT_DAEMON_REQUESTPATH_H_
#define CAMPHORCLEAT_DAEMON_REQUESTPATH_H_

#include <string>
#include <vector>

namespace camphorcleat::daemon {

struct RequestPath
{
  std::string service; ///< First segment, percent-decoded.
  std::string key;     ///< Second segment, percent-decoded; empty if there is none.
};

/// Splits a path and query as the caller sent them. Thread-safe.
RequestPath splitPath(const std::string& aPath);

/// Whether the path lies under one of the prefixes, at a segment boundary. A path with dot
/// segments, empty segments or encoded dots or slashes never does, since the target might resolve
/// it to another route. Thread-safe.
bool isOpenRoute(const std::string& aPath, const std::vector<std::string>& aPrefixes);

/// Whether a method may be run twice with the same effect as once. Thread-safe.
bool isIdempotentMethod(const std::string& aMethod);

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_REQUESTPATH_H_
