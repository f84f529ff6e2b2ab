// Guards against an account that takes the fair share of others by overloading a target.

#include <catch2/catch.hpp>

#include "World.h"

namespace camphorcleat::traffic {
namespace {

// Returns the max-min fair share of each account, in requests, for the given demands and capacity.
std::map<std::string, double> maxMinShares(std::map<std::string, double> aDemands, double aCapacity)
{
  std::map<std::string, double> out;
  while (!aDemands.empty()) {
    const double equal = aCapacity / static_cast<double>(aDemands.size());
    const auto it =
      std::min_element(aDemands.begin(), aDemands.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      });
    const double share = std::min(it->second, equal);
    out[it->first] = share;
    aCapacity -= share;
    aDemands.erase(it);
  }
  return out;
}

// Simulates eight accounts at one target, the first of which sends eight times as many requests as
// each of the others. Returns the minimum, over all accounts, of served requests divided
// by fair share. If aSharedName is true, all requests have the same account name, so the daemon
// cannot distinguish the accounts.
double minServedShare(std::uint64_t aSeed, double aRateLimit, bool aSharedName)
{
  constexpr double kCapacity = 4'000; // Requests per second: 20 slots, 5 ms per request.
  constexpr double kRate = 475;
  World world(aSeed);
  RateHome home(aSeed);
  Daemon& daemon = world.addDaemon(20);
  world.home = [&](TimePoint aNow, const wire::TokenRequest& aRequest) {
    return home.handle(aNow, aRequest, aRateLimit, aRateLimit, aNow + Millis(1'000),
                       HomeStart::AfterLoss);
  };
  const Duration duration = std::chrono::seconds(5);
  const TimePoint end = world.eventQueue.now + duration;
  std::map<std::string, double> sentByAccount;
  std::map<RequestId, std::string> accountOfRequest;
  std::map<std::string, double> servedByAccount;
  world.onAction = [&](Daemon&, const OwnerAction& aAction) {
    if (const auto* dispatch = std::get_if<Dispatch>(&aAction)) {
      servedByAccount[accountOfRequest[dispatch->id]] += 1;
    }
  };
  for (int i = 0; i < 8; ++i) {
    const std::string name = "account-" + std::to_string(i);
    const double rate = i == 0 ? 8 * kRate : kRate;
    world.repeat(fromSeconds(1 / rate), false, end, [&, name] {
      sentByAccount[name] += 1;
      RequestArrived event;
      event.id = RequestId{ 2, static_cast<std::uint64_t>(accountOfRequest.size()) + 1 };
      accountOfRequest[event.id] = name;
      event.account = aSharedName ? "shared" : name;
      event.isKeyed = false;
      event.isIdempotent = true;
      event.deadline = world.eventQueue.now + Millis(10'000);
      world.step(daemon, event);
    });
  }
  world.eventQueue.runUntil(end);
  double minimum = 1e9;
  for (const auto& [name, share] : maxMinShares(sentByAccount, kCapacity * toSeconds(duration))) {
    minimum = std::min(minimum, servedByAccount[name] / share);
  }
  return minimum;
}

// Simulates a target with half of the capacity that its accounts use: one account with three tenths
// of the traffic, and 80 small ones. Each has a rate of 1.6 times its traffic. Returns the share of
// the large account's requests that is served, divided by that of all requests.
double servedShareOfLargeAccount(std::uint64_t aSeed)
{
  constexpr double kCapacity = 48; // Requests per second: 12 slots, 250 ms per request.
  constexpr double kLargeTraffic = 0.3 * 2 * kCapacity;
  constexpr double kSmallTraffic = 0.7 * 2 * kCapacity / 80;
  World world(aSeed);
  RateHome home(aSeed);
  OwnerConfig config;
  config.refusesLate = true;
  Daemon& daemon = world.addDaemon(12, config);
  daemon.serviceTime = Millis(250);
  std::map<std::string, double> rates;
  world.home = [&](TimePoint aNow, const wire::TokenRequest& aRequest) {
    const double rate = rates.at(aRequest.account);
    return home.handle(aNow, aRequest, rate, std::max(rate, 5.0), aNow + Millis(1'000),
                       HomeStart::Full);
  };
  std::map<std::string, double> sent;
  std::map<std::string, double> served;
  std::map<RequestId, std::string> accountOf;
  world.onAction = [&](Daemon&, const OwnerAction& aAction) {
    if (const auto* dispatch = std::get_if<Dispatch>(&aAction)) {
      ++served[accountOf.at(dispatch->id)];
    }
  };
  const TimePoint end = world.eventQueue.now + std::chrono::seconds(60);
  for (int i = 0; i <= 80; ++i) {
    const std::string name = "account-" + std::to_string(i);
    const double traffic = i == 0 ? kLargeTraffic : kSmallTraffic;
    rates[name] = 1.6 * traffic;
    world.repeat(fromSeconds(1 / traffic), false, end, [&, name] {
      ++sent[name];
      RequestArrived event;
      event.id = RequestId{ 2, accountOf.size() + 1 };
      accountOf[event.id] = name;
      event.account = name;
      event.accountRate = rates.at(name);
      event.isKeyed = false;
      event.isIdempotent = true;
      event.objective = world.eventQueue.now + Millis(1'000);
      event.deadline = world.eventQueue.now + Millis(3'000);
      world.step(daemon, event);
    });
  }
  world.eventQueue.runUntil(end);
  double allSent = 0;
  double allServed = 0;
  for (const auto& [name, n] : sent) {
    allSent += n;
    allServed += served[name];
  }
  return served["account-0"] / sent["account-0"] / (allServed / allSent);
}

} // namespace

TEST_CASE("every account gets 0.95 of its fair share while one sends eight times as much")
{
  for (const auto seed : seeds(5)) {
    INFO(replayCommand(
      seed, "every account gets 0.95 of its fair share while one sends eight times as much"));
    const double minimum = minServedShare(seed, 100'000, false);
    CAPTURE(minimum);
    REQUIRE(minimum >= 0.95);
  }
}

TEST_CASE("the fair share check fails for a queue that cannot distinguish accounts")
{
  REQUIRE(minServedShare(1, 100'000, true) < 0.6);
}

// Guards against an account that is hardly served because it has much more traffic than the others
// (SHORT): a quarter is what the users' gate requires.
TEST_CASE("an account with a high rate isn't served less often than the others by an overloaded "
          "target")
{
  for (const auto seed : seeds(5)) {
    INFO(replayCommand(seed, "an account with a high rate*"));
    CHECK(servedShareOfLargeAccount(seed) >= 0.25);
  }
}

} // namespace camphorcleat::traffic
