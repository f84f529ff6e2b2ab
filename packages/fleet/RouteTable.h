// Finds the route of a request by host and path.
//
// Among the routes of a host, the one with the longest matching path prefix is selected. The table
// is built once per configuration and shared between threads.

#ifndef CAMPHORCLEAT_FLEET_ROUTETABLE_H_
#define CAMPHORCLEAT_FLEET_ROUTETABLE_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wire/FleetMessages.h"

namespace camphorcleat::fleet {

/// Immutable and thus thread-safe.
class RouteTable
{
public:
  explicit RouteTable(const std::vector<wire::Route>& aRoutes);

  /// Returns the route of a request, or nullptr. The case and port of the host and the query of the
  /// path are ignored.
  const wire::Route* find(std::string_view aHost, std::string_view aPath) const;

private:
  std::unordered_map<std::string, std::vector<wire::Route>>
    mByHost; // Sorted by prefix, longest first.
};

/// Selects a service of a route by weight. aRandom is a random number in [0, 1). Thread-safe.
/// Requires a sum of weights above 0.
const std::string& selectService(const wire::Route& aRoute, double aRandom);

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_ROUTETABLE_H_
