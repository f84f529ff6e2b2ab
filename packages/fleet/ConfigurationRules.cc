// Rules of ReplaceConfiguration, which replaces all services, accounts and routes.

#include <cmath>
#include <set>

#include "fleet/CommandRules.h"
#include "fleet/ConfigurationDifference.h"

namespace camphorcleat::fleet {

namespace {

using Verdict = CommandRules::Verdict;

constexpr std::size_t kMaxNameBytes = 128;

// Other systems choose the names of services and accounts, so only their length is checked.
bool isBoundedName(const std::string& aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes;
}

// An objective that exceeds the timeout by this much is probably given in the wrong unit.
constexpr Millis kMaxObjectiveBeyondTimeout{ 60'000 };

Refusal invalid(std::string aMessage)
{
  return Refusal{ ErrorCode::InvalidCommand, std::move(aMessage), false };
}

Verdict checkWeightedServices(const wire::Route& aRoute, const std::set<std::string>& aServices)
{
  double sum = 0;
  for (const auto& it : aRoute.weightedServices) {
    if (aServices.count(it.service) == 0) {
      return invalid("route '" + aRoute.name + "' names an unknown service");
    }
    if (!std::isfinite(it.weight) || it.weight < 0) {
      return invalid("route '" + aRoute.name + "' has a weight below 0");
    }
    sum += it.weight;
  }
  if (sum <= 0) {
    return invalid("the weights of route '" + aRoute.name + "' add up to 0");
  }
  return std::nullopt;
}

Verdict checkRoute(const wire::Route& aRoute, const std::set<std::string>& aServices)
{
  if (aRoute.pathPrefix.empty() || aRoute.pathPrefix.front() != '/') {
    return invalid("the prefix of route '" + aRoute.name + "' does not begin with '/'");
  }
  if (aRoute.timeout <= Millis(0) || aRoute.maxAttempts == 0) {
    return invalid("route '" + aRoute.name + "' has no timeout or no attempts");
  }
  if (aRoute.objective >= aRoute.timeout + kMaxObjectiveBeyondTimeout) {
    return invalid("the objective of route '" + aRoute.name + "' lies far beyond its timeout");
  }
  return checkWeightedServices(aRoute, aServices);
}

Verdict checkServices(const wire::Configuration& aConfiguration, std::set<std::string>& aNames)
{
  if (aConfiguration.services.size() > kMaxServices) {
    return invalid("a configuration has at most 256 services");
  }
  for (const auto& it : aConfiguration.services) {
    if (!isBoundedName(it.name) || !aNames.insert(it.name).second) {
      return invalid("a service has no valid name of its own");
    }
  }
  return std::nullopt;
}

Verdict checkAccounts(const wire::Configuration& aConfiguration)
{
  if (aConfiguration.accounts.size() > kMaxAccounts) {
    return invalid("a configuration has at most 20,000 accounts");
  }
  std::set<std::string> names;
  std::set<std::string> digests;
  for (const auto& it : aConfiguration.accounts) {
    if (!isBoundedName(it.name) || !names.insert(it.name).second) {
      return invalid("an account has no valid name of its own");
    }
    if (!std::isfinite(it.requestsPerSecond) || it.requestsPerSecond < 0 ||
        !std::isfinite(it.burstRequests) || it.burstRequests < 0) {
      return invalid("account '" + it.name + "' has a rate or burst below 0");
    }
    for (const auto& [keyName, digest] : it.keyDigests) {
      if (!digests.insert(digest).second) {
        return invalid("a key of account '" + it.name + "' belongs to another account, too");
      }
    }
  }
  return std::nullopt;
}

Verdict checkLimits(const wire::Configuration& aConfiguration)
{
  const wire::CallerLimits& limits = aConfiguration.limits;
  const bool isUsable = limits.headerBytes.value_or(1) > 0 && limits.bodyBytes.value_or(1) > 0 &&
                        limits.headerTimeout.value_or(Millis(1)) > Millis(0) &&
                        limits.idleTimeout.value_or(Millis(1)) > Millis(0);
  return isUsable ? Verdict() : invalid("a limit for callers is not above 0");
}

Verdict checkRoutes(const wire::Configuration& aConfiguration,
                    const std::set<std::string>& aServices)
{
  std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
  for (const auto& it : aConfiguration.routes) {
    if (auto verdict = checkRoute(it, aServices)) {
      return verdict;
    }
    if (!hostsAndPrefixes.insert({ it.host, it.pathPrefix }).second) {
      return invalid("route '" + it.name + "' has host and prefix of another route");
    }
  }
  return std::nullopt;
}

} // namespace

Verdict CommandRules::operator()(const wire::ReplaceConfiguration& aBody)
{
  const wire::Configuration& next = aBody.configuration;
  const wire::Configuration& present = mModel.configuration();
  if (present.version == next.version && present.digest == next.digest && next.version != 0) {
    return std::nullopt; // The command was resent.
  }
  if (mModel.partitionCount() == 0) {
    return Refusal{ ErrorCode::NoQuorum, "the fleet has no partitions yet", false };
  }
  if (aBody.baseVersion != present.version) {
    return Refusal{ ErrorCode::RevisionConflict,
                    "configuration " + std::to_string(present.version) + " is in force, not " +
                      std::to_string(aBody.baseVersion),
                    false };
  }
  if (next.version <= present.version) {
    return invalid("the version is not above " + std::to_string(present.version));
  }
  std::set<std::string> services;
  if (auto verdict = checkServices(next, services)) {
    return verdict;
  }
  if (auto verdict = checkAccounts(next)) {
    return verdict;
  }
  if (auto verdict = checkRoutes(next, services)) {
    return verdict;
  }
  if (auto verdict = checkLimits(next)) {
    return verdict;
  }
  if (present.version == 0) {
    mOut.emplace_back(wire::ConfigurationSet{ inCanonicalOrder(next) });
  } else {
    mOut.emplace_back(differenceOf(present, inCanonicalOrder(next)));
  }
  return std::nullopt;
}

} // namespace camphorcleat::fleet
