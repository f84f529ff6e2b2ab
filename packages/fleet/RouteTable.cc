// Stores routes by host, sorted by the length of their prefix.

#include "fleet/RouteTable.h"

#include <algorithm>
#include <cctype>

namespace camphorcleat::fleet {

namespace {

std::string hostKey(std::string_view aHost)
{
  const bool isIpv6 = !aHost.empty() && aHost.front() == '[';
  const std::size_t end = isIpv6 ? aHost.find(']') + 1 : aHost.find(':');
  std::string out(aHost.substr(0, end));
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char aChar) { return static_cast<char>(std::tolower(aChar)); });
  return out;
}

bool beginsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

} // namespace

RouteTable::RouteTable(const std::vector<wire::Route>& aRoutes)
{
  for (const auto& it : aRoutes) {
    mByHost[hostKey(it.host)].push_back(it);
  }
  for (auto& [host, routes] : mByHost) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const wire::Route& aLeft, const wire::Route& aRight) {
                       return aLeft.pathPrefix.size() > aRight.pathPrefix.size();
                     });
  }
}

const wire::Route* RouteTable::find(std::string_view aHost, std::string_view aPath) const
{
  const auto host = mByHost.find(hostKey(aHost));
  if (host == mByHost.end()) {
    return nullptr;
  }
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  const auto it =
    std::find_if(host->second.begin(), host->second.end(),
                 [&](const wire::Route& aRoute) { return beginsWith(path, aRoute.pathPrefix); });
  return it == host->second.end() ? nullptr : &*it;
}

const std::string& selectService(const wire::Route& aRoute, double aRandom)
{
  double sum = 0;
  for (const auto& it : aRoute.weightedServices) {
    sum += it.weight;
  }
  double remaining = aRandom * sum;
  for (const auto& it : aRoute.weightedServices) {
    if (remaining < it.weight) {
      return it.service;
    }
    remaining -= it.weight;
  }
  // Due to rounding, no service may have been selected. Selects the last one with a positive
  // weight.
  const auto last =
    std::find_if(aRoute.weightedServices.rbegin(), aRoute.weightedServices.rend(),
                 [](const wire::WeightedService& aService) { return aService.weight > 0; });
  return last->service;
}

} // namespace camphorcleat::fleet
