// Compares accounts and routes by their fields.

#include "fleet/ConfigurationDifference.h"

#include <algorithm>
#include <map>

#include "base/FieldEquality.h"

namespace camphorcleat::fleet {

namespace {

std::string idOf(const wire::Account& aAccount)
{
  return aAccount.name;
}

wire::RouteId idOf(const wire::Route& aRoute)
{
  return { aRoute.host, aRoute.pathPrefix };
}

template<class T>
void sortById(std::vector<T>& aItems)
{
  std::sort(aItems.begin(), aItems.end(),
            [](const T& aLeft, const T& aRight) { return idOf(aLeft) < idOf(aRight); });
}

template<class T, class Id>
void addDifference(const std::vector<T>& aFrom, const std::vector<T>& aNext,
                   std::vector<T>& aChanged, std::vector<Id>& aRemoved)
{
  std::map<Id, const T*> from;
  for (const auto& it : aFrom) {
    from.emplace(idOf(it), &it);
  }
  for (const auto& it : aNext) {
    const auto old = from.find(idOf(it));
    if (old == from.end() || !haveEqualFields(*old->second, it)) {
      aChanged.push_back(it);
    }
    if (old != from.end()) {
      from.erase(old);
    }
  }
  for (const auto& [id, item] : from) {
    aRemoved.push_back(id);
  }
}

template<class T, class Id>
std::vector<T> merge(const std::vector<T>& aFrom, const std::vector<T>& aChanged,
                     const std::vector<Id>& aRemoved)
{
  std::map<Id, const T*> items;
  for (const auto& it : aFrom) {
    items[idOf(it)] = &it;
  }
  for (const auto& it : aRemoved) {
    items.erase(it);
  }
  for (const auto& it : aChanged) {
    items[idOf(it)] = &it;
  }
  std::vector<T> out;
  out.reserve(items.size());
  for (const auto& [id, item] : items) {
    out.push_back(*item);
  }
  return out;
}

} // namespace

wire::Configuration inCanonicalOrder(wire::Configuration aConfiguration)
{
  sortById(aConfiguration.accounts);
  sortById(aConfiguration.routes);
  return aConfiguration;
}

wire::ConfigurationChanged differenceOf(const wire::Configuration& aFrom,
                                        const wire::Configuration& aNext)
{
  wire::ConfigurationChanged out;
  out.fromVersion = aFrom.version;
  out.next.version = aNext.version;
  out.next.digest = aNext.digest;
  out.next.services = aNext.services;
  out.next.limits = aNext.limits;
  addDifference(aFrom.accounts, aNext.accounts, out.next.accounts, out.removedAccounts);
  addDifference(aFrom.routes, aNext.routes, out.next.routes, out.removedRoutes);
  return out;
}

wire::Configuration applyDifference(const wire::Configuration& aFrom,
                                    const wire::ConfigurationChanged& aChange)
{
  wire::Configuration out;
  out.version = aChange.next.version;
  out.digest = aChange.next.digest;
  out.services = aChange.next.services;
  out.limits = aChange.next.limits;
  out.accounts = merge(aFrom.accounts, aChange.next.accounts, aChange.removedAccounts);
  out.routes = merge(aFrom.routes, aChange.next.routes, aChange.removedRoutes);
  return out;
}

} // namespace camphorcleat::fleet
