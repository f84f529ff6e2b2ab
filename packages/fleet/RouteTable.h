// Finds the route of a request by host and path.
//
// Among the routes of a host, the longest prefix that begins the path wins. The table is built once
// for each configuration and shared between threads.

#ifndef CAMPHORCLEAT_FLEET_ROUTETABLE_H_
#define CAMPHORCLEAT_FLEET_ROUTETABLE_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wire/FleetMessages.h"

namespace camphorcleat::fleet {

/// Thread-safe: it never changes.
class RouteTable
{
public:
  explicit RouteTable(const std::vector<wire::Route>& aRoutes);

  /// The route of a request, or nullptr. Host names match without regard to case and port; a query
  /// is no part of the path.
  const wire::Route* find(std::string_view aHost, std::string_view aPath) const;

private:
  std::unordered_map<std::string, std::vector<wire::Route>> mByHost; // Longest prefix first.
};

/// The service that runs a request of a route. aRandom is random, from 0 up to but not including 1.
/// Thread-safe. Precondition: the weights add up to more than 0.
const std::string& selectService(const wire::Route& aRoute, double aRandom);

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_ROUTETABLE_H_
