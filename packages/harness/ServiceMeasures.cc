// Measures of how well callers were served (R4, R5, R13, R16).

#include <algorithm>
#include <set>

#include "harness/Measures.h"
#include "harness/UrlQuery.h"

namespace camphorcleat::harness {

namespace {

constexpr std::int64_t kSettlingUs = 5'000'000; // R4 and R5 allow 5 s; load must last longer.

double toMs(std::int64_t aUs)
{
  return static_cast<double>(aUs) / 1000;
}

// The longest time without a served call within [aFromUs, aUntilUs].
std::int64_t longestGapUs(std::vector<std::int64_t> aServedUs, std::int64_t aFromUs,
                          std::int64_t aUntilUs)
{
  std::sort(aServedUs.begin(), aServedUs.end());
  std::int64_t last = aFromUs;
  std::int64_t longest = 0;
  for (const std::int64_t it : aServedUs) {
    if (it > aFromUs && it <= aUntilUs) {
      longest = std::max(longest, it - last);
      last = it;
    }
  }
  return std::max(longest, aUntilUs - last);
}

struct ProbedKeys
{
  std::map<std::string, std::vector<std::int64_t>> servedUs; ///< Also keys that were never served.
  std::int64_t untilUs = 0;
};

ProbedKeys probedKeys(const Evidence& aEvidence, const Loss& aLoss)
{
  ProbedKeys out;
  for (const auto& it : aEvidence.calls) {
    if (it.load != aLoss.probeLoad) {
      continue;
    }
    auto& served = out.servedUs[it.service + "/" + it.key];
    if (it.result == CallResult::Served) {
      served.push_back(it.doneUs);
    }
    out.untilUs = std::max(out.untilUs, it.scheduledUs);
  }
  return out;
}

// Max-min fair shares: accounts with little demand get it all, the others share the rest equally.
std::map<std::string, double> fairShares(std::map<std::string, double> aDemands, double aCapacity)
{
  std::map<std::string, double> out;
  while (!aDemands.empty()) {
    const double equal = aCapacity / static_cast<double>(aDemands.size());
    const auto least =
      std::min_element(aDemands.begin(), aDemands.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      });
    const double share = std::min(equal, least->second);
    out[least->first] = share;
    aCapacity -= share;
    aDemands.erase(least);
  }
  return out;
}

struct AccountUse
{
  double sent = 0;
  double served = 0;
  std::int64_t firstUs = 0;
  std::int64_t lastUs = 0;
};

// What an account may ask for: what it sent, at most what its rate allows in that time.
double demandOf(const Evidence& aEvidence, const std::string& aAccount, const AccountUse& aUse)
{
  const auto rates = aEvidence.rates.find(aAccount);
  if (rates == aEvidence.rates.end() || rates->second.empty()) {
    return aUse.sent;
  }
  const RateSetting& rate = rates->second.back();
  const double seconds = static_cast<double>(aUse.lastUs - aUse.firstUs) / 1e6;
  return std::min(aUse.sent, rate.ratePerSecond * seconds + rate.burst);
}

} // namespace

Figure unavailableAfterLossMs(const Evidence& aEvidence)
{
  Figure out{ std::nullopt, "no node was lost" };
  for (const auto& loss : aEvidence.losses) {
    const ProbedKeys keys = probedKeys(aEvidence, loss);
    if (keys.servedUs.empty() || keys.untilUs <= loss.atUs) {
      return { std::nullopt, loss.description + ": no probes after the loss" };
    }
    for (const auto& [key, servedUs] : keys.servedUs) {
      const double gap = toMs(longestGapUs(servedUs, loss.atUs, keys.untilUs));
      if (!out.value || gap > *out.value) {
        out = { gap, loss.description + ", key " + key + ", " +
                       std::to_string(keys.servedUs.size()) + " keys probed" };
      }
    }
  }
  return out;
}

Figure zoneNewWorkMs(const Evidence& aEvidence, const std::string& aZone)
{
  Figure out{ std::nullopt, "the zone was never taken out" };
  for (const auto& span : aEvidence.zonesOut) {
    if (!aZone.empty() && span.zone != aZone) {
      continue;
    }
    double last = 0;
    std::int64_t lastAnywhereUs = 0;
    for (const auto& it : aEvidence.events) {
      const bool isInSpan = it.kind == TargetEventKind::Start && it.timeUs >= span.fromUs &&
                            (!span.untilUs || it.timeUs < *span.untilUs);
      if (!isInSpan) {
        continue;
      }
      lastAnywhereUs = it.timeUs;
      const auto zone = aEvidence.zoneOfTarget.find(it.target);
      if (zone != aEvidence.zoneOfTarget.end() && zone->second == span.zone) {
        last = toMs(it.timeUs - span.fromUs);
      }
    }
    if (lastAnywhereUs - span.fromUs < kSettlingUs) {
      return { std::nullopt, "zone " + span.zone + ": no load for 5 s after it was taken out" };
    }
    if (!out.value || last > *out.value) {
      out = { last, "zone " + span.zone };
    }
  }
  return out;
}

Figure withdrawnKeyMs(const Evidence& aEvidence, const std::string& aAccount)
{
  Figure out{ std::nullopt, "no account key was withdrawn" };
  for (const auto& withdrawal : aEvidence.withdrawals) {
    if (!aAccount.empty() && withdrawal.account != aAccount) {
      continue;
    }
    std::int64_t lastCallUs = 0;
    for (const auto& it : aEvidence.calls) {
      lastCallUs = it.account == withdrawal.account ? std::max(lastCallUs, it.scheduledUs) : lastCallUs;
    }
    if (lastCallUs - withdrawal.atUs < kSettlingUs) {
      return { std::nullopt, withdrawal.account + " sent no calls for 5 s after the withdrawal" };
    }
    double last = 0;
    for (const auto& it : aEvidence.events) {
      if (it.kind == TargetEventKind::Start && it.account == withdrawal.account &&
          it.timeUs >= withdrawal.atUs) {
        last = toMs(it.timeUs - withdrawal.atUs);
      }
    }
    if (!out.value || last > *out.value) {
      out = { last, "account " + withdrawal.account };
    }
  }
  return out;
}

Figure configEverywhereMs(const Evidence& aEvidence)
{
  Figure out{ std::nullopt, "no 'wait config' followed an accepted setting" };
  for (const auto& it : aEvidence.spreads) {
    const double took = toMs(it.everywhereUs - it.acceptedUs);
    if (!out.value || took > *out.value) {
      out = { took, it.command };
    }
  }
  return out;
}

Figure imbalance(const Evidence& aEvidence, const std::vector<std::string>& aLoads)
{
  std::set<std::string> wanted;
  std::string service;
  for (const auto& it : aEvidence.calls) {
    if (std::count(aLoads.begin(), aLoads.end(), it.load) > 0) {
      wanted.insert(it.id);
      service = it.service;
    }
  }
  std::map<NodeId, double> starts;
  for (const auto& [target, name] : aEvidence.serviceOfTarget) {
    if (name == service) {
      starts[target] = 0;
    }
  }
  double total = 0;
  for (const auto& it : aEvidence.events) {
    if (it.kind == TargetEventKind::Start &&
        wanted.count(UrlQuery(it.path).text("id").value_or("")) > 0) {
      ++starts[it.target];
      ++total;
    }
  }
  if (total == 0) {
    return { std::nullopt, "no starts of these loads" };
  }
  const auto most =
    std::max_element(starts.begin(), starts.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  const double mean = total / static_cast<double>(starts.size());
  return { most->second / mean, "target " + std::to_string(most->first) + " of " +
                                  std::to_string(starts.size()) + " targets" };
}

Figure worstAccountRatio(const Evidence& aEvidence, const std::vector<std::string>& aLoads)
{
  std::set<std::string> probes;
  for (const auto& it : aEvidence.losses) {
    probes.insert(it.probeLoad);
  }
  std::map<std::string, AccountUse> uses;
  double servedByAll = 0;
  for (const auto& it : aEvidence.calls) {
    const bool isNamed = std::count(aLoads.begin(), aLoads.end(), it.load) > 0;
    if (aLoads.empty() ? probes.count(it.load) > 0 : !isNamed) {
      continue;
    }
    AccountUse& use = uses[it.account];
    use.firstUs = use.sent == 0 ? it.scheduledUs : std::min(use.firstUs, it.scheduledUs);
    use.lastUs = std::max(use.lastUs, it.scheduledUs);
    use.sent += 1;
    const double served = it.result == CallResult::Served ? 1 : 0;
    use.served += served;
    servedByAll += served;
  }
  std::map<std::string, double> demands;
  for (const auto& [account, use] : uses) {
    demands[account] = demandOf(aEvidence, account, use);
  }
  Figure out{ std::nullopt, "no calls" };
  for (const auto& [account, share] : fairShares(demands, servedByAll)) {
    const double ratio = share > 0 ? uses[account].served / share : 0;
    if (!out.value || ratio < *out.value) {
      out = { ratio, "account " + account };
    }
  }
  return out;
}

} // namespace camphorcleat::harness
