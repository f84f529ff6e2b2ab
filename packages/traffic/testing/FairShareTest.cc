// Guards against one account that takes the share of the others at a full target.

#include <catch2/catch.hpp>

#include "World.h"

namespace camphorcleat::traffic {
namespace {

// Max-min fair shares of a capacity for the given demands.
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

// Served over fair share of the worst account. Eight accounts; the first sends eight times its
// rate. With aSharedName, all requests go to one queue, as if the daemon did not tell accounts
// apart.
double worstShare(std::uint64_t aSeed, double aRateLimit, bool aSharedName)
{
  constexpr double kCapacity = 4'000; // 20 slots, 5 ms each.
  constexpr double kRate = 475;
  World world(aSeed);
  RateHome home(aSeed);
  Daemon& daemon = world.addDaemon(20);
  world.home = [&](TimePoint aNow, const wire::TokenRequest& aRequest) {
    return home.handle(aNow, aRequest, aRateLimit, aRateLimit, aNow + Millis(1'000),
                       HomeStart::AfterLoss);
  };
  const Duration length = std::chrono::seconds(5);
  const TimePoint end = world.eventQueue.now + length;
  std::map<std::string, double> sent;
  std::map<RequestId, std::string> sender;
  std::map<std::string, double> served;
  world.onAction = [&](Daemon&, const OwnerAction& aAction) {
    if (const auto* dispatch = std::get_if<Dispatch>(&aAction)) {
      served[sender[dispatch->id]] += 1;
    }
  };
  for (int i = 0; i < 8; ++i) {
    const std::string name = "account-" + std::to_string(i);
    const double rate = i == 0 ? 8 * kRate : kRate;
    world.repeat(fromSeconds(1 / rate), false, end, [&, name] {
      sent[name] += 1;
      RequestArrived event;
      event.id = RequestId{ 2, static_cast<std::uint64_t>(sender.size()) + 1 };
      sender[event.id] = name;
      event.account = aSharedName ? "shared" : name;
      event.isKeyed = false;
      event.isIdempotent = true;
      event.deadline = world.eventQueue.now + Millis(10'000);
      world.step(daemon, event);
    });
  }
  world.eventQueue.runUntil(end);
  double worst = 1e9;
  for (const auto& [name, share] : maxMinShares(sent, kCapacity * toSeconds(length))) {
    worst = std::min(worst, served[name] / share);
  }
  return worst;
}

} // namespace

TEST_CASE("the worst account gets 0.95 of its share while one sends eight times its rate")
{
  for (const auto seed : seeds(5)) {
    INFO(replayCommand(
      seed, "the worst account gets 0.95 of its share while one sends eight times its rate"));
    const double worst = worstShare(seed, 100'000, false);
    CAPTURE(worst);
    REQUIRE(worst >= 0.95);
  }
}

TEST_CASE("the check of the share notices a queue that doesn't tell accounts apart")
{
  REQUIRE(worstShare(1, 100'000, true) < 0.6);
}

} // namespace camphorcleat::traffic
