// Guards against hot keys that are missed or overcounted, and against pins that increase the
// imbalance, grow in number, or are never removed.

#include <cmath>
#include <iostream>
#include <random>

#include <catch2/catch.hpp>

#include "FleetFixtures.h"
#include "fleet/BalancedPlacement.h"
#include "fleet/HeavyHitters.h"
#include "fleet/HotKeyPolicy.h"

namespace camphorcleat::fleet {
namespace {

// A fleet with Zipf-distributed key rates in which commands take effect at once.
class ZipfFleet
{
public:
  ZipfFleet(NodeId aNodes, std::size_t aKeys)
  {
    mMember.system(wire::CreateFleet{ 2048 });
    mMember.system(wire::CreateService{ { "lookup", true, {} } });
    PlacementInput input;
    for (NodeId i = 1; i <= aNodes; ++i) {
      mMember.system(wire::RegisterNode{ nodeOf(i, i) });
      input.candidates.push_back({ i, 20, true, true });
    }
    input.grants = &model().grants("lookup");
    input.partitions = partitionsUpTo(2048);
    input.partitionCount = 2048;
    for (const auto& it : BalancedPlacement().place(input)) {
      mMember.system(wire::AssignPartitions{ "lookup", it.to, it.to, { it.partition } });
    }
    for (std::size_t i = 0; i < aKeys; ++i) {
      mRates.push_back(10000 / std::pow(i + 1, 0.9));
    }
  }

  // Gives the highest rates to keys that were cold. The hottest keys become cold and get other
  // names; keyOf() expects aCount to be 22.
  void changeHottest(std::size_t aCount)
  {
    std::rotate(mRates.begin(), mRates.begin() + static_cast<std::ptrdiff_t>(aCount), mRates.end());
    std::sort(mRates.begin() + 100, mRates.end(), std::greater<>());
    std::rotate(mRates.begin(), mRates.end() - static_cast<std::ptrdiff_t>(aCount), mRates.end());
    mGeneration += 1;
  }

  std::string keyOf(std::size_t aIndex) const
  {
    return "k" + std::to_string(aIndex + 1000000 * (aIndex < 22 ? mGeneration : 0));
  }

  std::map<NodeId, NodeLoad> loads() const
  {
    std::map<NodeId, NodeLoad> out;
    for (const auto& [id, node] : model().nodes()) {
      out[id];
    }
    for (std::size_t i = 0; i < mRates.size(); ++i) {
      const auto* grant = model().grant("lookup", model().partitionOf("lookup", keyOf(i)));
      out[grant->owner].requestsPerSecond += mRates[i];
    }
    return out;
  }

  double imbalance() const
  {
    double most = 0;
    double total = 0;
    const auto all = loads();
    for (const auto& [id, load] : all) {
      most = std::max(most, load.requestsPerSecond);
      total += load.requestsPerSecond;
    }
    return most * static_cast<double>(all.size()) / total;
  }

  // Runs the policy once, applies its commands, completes all moves of pinned keys and advances the
  // time by one second. Returns the commands.
  std::vector<wire::CommandBody> runPolicy()
  {
    std::vector<HotKey> hot;
    for (std::size_t i = 0; i < 200; ++i) {
      hot.push_back({ keyOf(i), mRates[i] });
    }
    auto bodies =
      mPolicy.decide(mNow, model(), "lookup", hot, loads(), mMember.state.operatorPins());
    for (const auto& it : bodies) {
      mMember.system(it);
    }
    for (const auto& [name, pin] : model().pins()) {
      const auto grant = mMember.grant(pin.partition);
      if (grant.movingTo != kNoNode) {
        mMember.system(wire::ReleasePartitions{
          "lookup", grant.owner, grant.incarnation, { { pin.partition, grant.token } } });
      }
    }
    mNow += Millis(1000);
    return bodies;
  }

  Member& member() { return mMember; }
  const FleetModel& model() const { return mMember.state.model(); }

private:
  Member mMember;
  HotKeyPolicy mPolicy;
  std::vector<double> mRates;
  TimePoint mNow{ std::chrono::hours(1) };
  std::size_t mGeneration = 0;
};

} // namespace

TEST_CASE("the summary finds the hottest keys within its error bounds")
{
  std::mt19937_64 random(7);
  HeavyHitters summary(100);
  std::map<std::string, double> truth;
  for (int i = 0; i < 200000; ++i) {
    const auto rank = static_cast<std::uint64_t>(std::exp((random() % 100000) * 1e-4));
    const std::string key = "k" + std::to_string(rank);
    summary.add(key);
    truth[key] += 1;
  }
  REQUIRE(summary.size() == 100);
  const auto top = summary.top(100);
  for (const auto& it : top) {
    REQUIRE(it.count >= truth[it.key]);
    REQUIRE(it.count - it.error <= truth[it.key]);
  }
  for (int i = 0; i < 5; ++i) {
    REQUIRE(top[i].key == "k" + std::to_string(i + 1));
  }
  summary.decay(0.5);
  REQUIRE(summary.top(1)[0].count == top[0].count / 2);
  summary.decay(0);
  REQUIRE(summary.size() == 0);
}

TEST_CASE("pins balance Zipf-distributed keys, also after the hottest 22 keys change (R18)")
{
  ZipfFleet fleet(7, 30000);
  std::cout << "7 nodes, Zipf 0.9 over 30,000 keys: imbalance without pins " << fleet.imbalance();
  double worst = 0;
  for (int change = 0; change < 5; ++change) {
    for (int i = 0; i < 20; ++i) {
      fleet.runPolicy();
    }
    worst = std::max(worst, fleet.imbalance());
    fleet.changeHottest(22);
  }
  std::cout << ", with pins after each of 5 changes at most " << worst << ", "
            << fleet.model().pins().size() << " pins\n";
  REQUIRE(worst <= 1.2);
}

TEST_CASE("a balanced fleet gets no pins, and an operator's pin is not changed")
{
  ZipfFleet fleet(7, 30000);
  fleet.member().apply(operatorCommand("p", { wire::PinKey{ "lookup", "k0", 3 } }));
  for (int i = 0; i < 60; ++i) {
    fleet.runPolicy();
  }
  const auto pin = fleet.model().pins().at({ "lookup", "k0" });
  REQUIRE(fleet.member().grant(pin.partition).owner == 3);
  REQUIRE(fleet.runPolicy().empty());
}

TEST_CASE("pins of keys that are no longer hot are removed, those of operators are not")
{
  ZipfFleet fleet(7, 30000);
  fleet.member().apply(operatorCommand("p", { wire::PinKey{ "lookup", "cold", 3 } }));
  for (int i = 0; i < 20; ++i) {
    fleet.runPolicy();
  }
  const std::size_t before = fleet.model().pins().size();
  REQUIRE(before > 1);
  fleet.changeHottest(22);
  for (int i = 0; i < 90; ++i) {
    fleet.runPolicy();
  }
  // The 22 keys that were hottest, "k0" to "k21", have other names now, so that none of the old
  // names may still be pinned.
  for (const auto& [name, pin] : fleet.model().pins()) {
    REQUIRE(
      (name.second == "cold" || name.second.size() > 6 || std::stoi(name.second.substr(1)) >= 22));
  }
  REQUIRE(fleet.model().pins().count({ "lookup", "cold" }) == 1);
}

} // namespace camphorcleat::fleet
