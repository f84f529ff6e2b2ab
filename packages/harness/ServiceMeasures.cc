// Measures of availability, configuration, fairness and load distribution (R4, R5, R12, R13, R16,
// R18).

#include <algorithm>
#include <set>

#include "harness/Measures.h"
#include "harness/UrlQuery.h"

namespace camphorcleat::harness {

namespace {

// R4 and R5 allow 5 s, so a measurement needs at least that much load after the command.
constexpr std::int64_t kMinObservationUs = 5'000'000;

double toMs(std::int64_t aUs)
{
  return static_cast<double>(aUs) / 1000;
}

// Returns the longest time without a served call within [aFromUs, aUntilUs].
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

// Completion times of the served probes of each key.
struct ProbedKeys
{
  std::map<std::string, std::vector<std::int64_t>> servedUs; ///< Also has the keys never served.
  std::int64_t untilUs = 0;                                  ///< When the last probe was due.
};

ProbedKeys collectProbes(const RunRecord& aRecord, const NodeLoss& aLoss)
{
  ProbedKeys out;
  for (const auto& it : aRecord.calls) {
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

// Computes max-min fair shares: demands below the equal share are met in full, and the other
// accounts share the remaining capacity equally.
std::map<std::string, double> maxMinFairShares(std::map<std::string, double> aDemands,
                                               double aCapacity)
{
  std::map<std::string, double> out;
  while (!aDemands.empty()) {
    const double equal = aCapacity / static_cast<double>(aDemands.size());
    const auto smallest =
      std::min_element(aDemands.begin(), aDemands.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      });
    const double share = std::min(equal, smallest->second);
    out[smallest->first] = share;
    aCapacity -= share;
    aDemands.erase(smallest);
  }
  return out;
}

// Numbers of calls of an account, and the times when the first and the last one were due.
struct AccountTraffic
{
  double sent = 0;
  double served = 0;
  std::int64_t firstUs = 0;
  std::int64_t lastUs = 0;
};

// Returns the demand of an account: the calls it sent, but at most as many as its rate limit allows
// between its first and its last call.
double demandOf(const RunRecord& aRecord, const std::string& aAccount,
                const AccountTraffic& aTraffic)
{
  const auto rates = aRecord.rates.find(aAccount);
  if (rates == aRecord.rates.end() || rates->second.empty()) {
    return aTraffic.sent;
  }
  const RateSetting& rate = rates->second.back();
  const double seconds = static_cast<double>(aTraffic.lastUs - aTraffic.firstUs) / 1e6;
  return std::min(aTraffic.sent, rate.ratePerSecond * seconds + rate.burst);
}

} // namespace

MeasureResult unavailableAfterLossMs(const RunRecord& aRecord)
{
  MeasureResult out{ std::nullopt, "no node was lost" };
  for (const auto& loss : aRecord.losses) {
    const ProbedKeys keys = collectProbes(aRecord, loss);
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

MeasureResult zoneNewWorkMs(const RunRecord& aRecord, const std::string& aZone)
{
  MeasureResult out{ std::nullopt, "the zone was never taken out" };
  for (const auto& removal : aRecord.zoneRemovals) {
    if (!aZone.empty() && removal.zone != aZone) {
      continue;
    }
    double last = 0;
    std::int64_t lastAnywhereUs = 0;
    for (const auto& it : aRecord.events) {
      const bool isDuringRemoval = it.kind == TargetEventKind::Start &&
                                   it.timeUs >= removal.fromUs &&
                                   (!removal.untilUs || it.timeUs < *removal.untilUs);
      if (!isDuringRemoval) {
        continue;
      }
      lastAnywhereUs = it.timeUs;
      const auto zone = aRecord.zoneOfTarget.find(it.target);
      if (zone != aRecord.zoneOfTarget.end() && zone->second == removal.zone) {
        last = toMs(it.timeUs - removal.fromUs);
      }
    }
    if (lastAnywhereUs - removal.fromUs < kMinObservationUs) {
      return { std::nullopt, "zone " + removal.zone + ": no load for 5 s after it was taken out" };
    }
    if (!out.value || last > *out.value) {
      out = { last, "zone " + removal.zone };
    }
  }
  return out;
}

MeasureResult withdrawnKeyMs(const RunRecord& aRecord, const std::string& aAccount)
{
  MeasureResult out{ std::nullopt, "no account key was withdrawn" };
  for (const auto& withdrawal : aRecord.keyWithdrawals) {
    if (!aAccount.empty() && withdrawal.account != aAccount) {
      continue;
    }
    std::int64_t lastCallUs = 0;
    for (const auto& it : aRecord.calls) {
      lastCallUs =
        it.account == withdrawal.account ? std::max(lastCallUs, it.scheduledUs) : lastCallUs;
    }
    if (lastCallUs - withdrawal.atUs < kMinObservationUs) {
      return { std::nullopt, withdrawal.account + " sent no calls for 5 s after the withdrawal" };
    }
    double last = 0;
    for (const auto& it : aRecord.events) {
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

MeasureResult configEverywhereMs(const RunRecord& aRecord)
{
  MeasureResult out{ std::nullopt, "no 'wait config' followed an accepted setting" };
  for (const auto& it : aRecord.configPropagations) {
    const double elapsed = toMs(it.appliedUs - it.acceptedUs);
    if (!out.value || elapsed > *out.value) {
      out = { elapsed, it.command };
    }
  }
  return out;
}

MeasureResult imbalance(const RunRecord& aRecord, const std::vector<std::string>& aLoads)
{
  std::set<std::string> callIds;
  std::string service;
  for (const auto& it : aRecord.calls) {
    if (std::count(aLoads.begin(), aLoads.end(), it.load) > 0) {
      callIds.insert(it.id);
      service = it.service;
    }
  }
  std::map<NodeId, double> starts;
  for (const auto& [target, name] : aRecord.serviceOfTarget) {
    if (name == service) {
      starts[target] = 0;
    }
  }
  double total = 0;
  for (const auto& it : aRecord.events) {
    if (it.kind == TargetEventKind::Start &&
        callIds.count(UrlQuery(it.path).text("id").value_or("")) > 0) {
      ++starts[it.target];
      ++total;
    }
  }
  if (total == 0) {
    return { std::nullopt, "no starts of these loads" };
  }
  const auto busiest =
    std::max_element(starts.begin(), starts.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  const double mean = total / static_cast<double>(starts.size());
  return { busiest->second / mean, "target " + std::to_string(busiest->first) + " of " +
                                     std::to_string(starts.size()) + " targets" };
}

MeasureResult worstAccountRatio(const RunRecord& aRecord, const std::vector<std::string>& aLoads)
{
  std::set<std::string> probes;
  for (const auto& it : aRecord.losses) {
    probes.insert(it.probeLoad);
  }
  std::map<std::string, AccountTraffic> trafficByAccount;
  double servedByAll = 0;
  for (const auto& it : aRecord.calls) {
    const bool isNamed = std::count(aLoads.begin(), aLoads.end(), it.load) > 0;
    if (aLoads.empty() ? probes.count(it.load) > 0 : !isNamed) {
      continue;
    }
    AccountTraffic& traffic = trafficByAccount[it.account];
    traffic.firstUs =
      traffic.sent == 0 ? it.scheduledUs : std::min(traffic.firstUs, it.scheduledUs);
    traffic.lastUs = std::max(traffic.lastUs, it.scheduledUs);
    traffic.sent += 1;
    const double served = it.result == CallResult::Served ? 1 : 0;
    traffic.served += served;
    servedByAll += served;
  }
  std::map<std::string, double> demands;
  for (const auto& [account, traffic] : trafficByAccount) {
    demands[account] = demandOf(aRecord, account, traffic);
  }
  MeasureResult out{ std::nullopt, "no calls" };
  for (const auto& [account, share] : maxMinFairShares(demands, servedByAll)) {
    const double ratio = share > 0 ? trafficByAccount[account].served / share : 0;
    if (!out.value || ratio < *out.value) {
      out = { ratio, "account " + account };
    }
  }
  return out;
}

} // namespace camphorcleat::harness
