// Guards against daemons whose configuration differs from the one that was accepted, and against
// views whose size grows with the whole configuration instead of with what a version changes.

#include <random>

#include <catch2/catch.hpp>

#include "FleetFixtures.h"
#include "base/FieldEquality.h"
#include "fleet/ConfigurationDifference.h"

namespace camphorcleat::fleet {
namespace {

wire::Route routeAt(unsigned aNumber, unsigned aPriority)
{
  wire::Route out;
  out.name = "route-" + std::to_string(aNumber);
  out.host = "h" + std::to_string(aNumber % 3) + ".example";
  out.pathPrefix = "/p" + std::to_string(aNumber) + "/";
  out.timeout = Millis(1000);
  out.priority = aPriority;
  out.weightedServices = { { "lookup", 1 } };
  return out;
}

wire::Account accountOf(unsigned aNumber, double aRate)
{
  wire::Account out;
  out.name = "account-" + std::to_string(aNumber);
  out.requestsPerSecond = aRate;
  out.keyDigests["k"] = sha256Hex(out.name + std::to_string(aRate));
  return out;
}

// A configuration with a random subset of the routes and accounts, in random order.
wire::Configuration randomConfiguration(std::mt19937& aRandom, std::uint64_t aVersion)
{
  wire::Configuration out;
  out.version = aVersion;
  out.digest = "digest-" + std::to_string(aVersion);
  wire::Service lookup;
  lookup.name = "lookup";
  out.services = { lookup };
  for (unsigned i = 0; i < 12; ++i) {
    if (aRandom() % 3 != 0) {
      out.routes.push_back(routeAt(i, aRandom() % 2));
    }
    if (aRandom() % 3 != 0) {
      out.accounts.push_back(accountOf(i, aRandom() % 2));
    }
  }
  std::shuffle(out.routes.begin(), out.routes.end(), aRandom);
  std::shuffle(out.accounts.begin(), out.accounts.end(), aRandom);
  out.limits.headerBytes = 1000 + aRandom() % 3;
  return out;
}

TEST_CASE("a route or account differs if any of its fields does")
{
  const wire::Account account = accountOf(1, 5);
  CHECK(haveEqualFields(account, accountOf(1, 5)));
  for (int i = 0; i < 4; ++i) {
    wire::Account other = account;
    other.burstRequests += i == 0 ? 1 : 0;
    other.priority = i == 1 ? std::optional<std::uint32_t>(0) : std::nullopt;
    other.keyDigests["k"] += i == 2 ? "0" : "";
    if (i == 3) {
      other.keyDigests["l"] = "";
    }
    CHECK_FALSE(haveEqualFields(account, other));
  }
  wire::Route route = routeAt(1, 0);
  route.weightedServices.push_back({ "intake", 2 });
  CHECK_FALSE(haveEqualFields(route, routeAt(1, 0)));
  wire::Route reweighted = route;
  reweighted.weightedServices.back().weight = 3;
  CHECK_FALSE(haveEqualFields(route, reweighted));
}

TEST_CASE("a configuration plus its difference to the next one equals the next one")
{
  std::mt19937 random(7);
  FleetModel model;
  model.apply(wire::FleetCreated{ 16 });
  model.apply(wire::ConfigurationSet{ inCanonicalOrder(randomConfiguration(random, 1)) });
  for (std::uint64_t version = 2; version < 200; ++version) {
    INFO("seed 7, version " << version);
    const wire::Configuration next = inCanonicalOrder(randomConfiguration(random, version));
    const wire::Change change = differenceOf(model.configuration(), next);
    FleetModel whole = model;
    whole.apply(wire::ConfigurationSet{ next });
    model.apply(change);
    REQUIRE(bytesOf(model) == bytesOf(whole));
  }
}

TEST_CASE("a difference from another version than the present one changes nothing")
{
  std::mt19937 random(7);
  FleetModel model;
  model.apply(wire::ConfigurationSet{ randomConfiguration(random, 5) });
  const std::string before = bytesOf(model);
  model.apply(
    wire::Change(differenceOf(randomConfiguration(random, 4), randomConfiguration(random, 6))));
  CHECK(bytesOf(model) == before);
}

TEST_CASE("a version that changes one route of 1,400 is sent in less than 1 KiB")
{
  wire::ReplaceConfiguration body;
  body.configuration.version = 1;
  body.configuration.digest = sha256Hex("1");
  wire::Service lookup;
  lookup.name = "lookup";
  body.configuration.services = { lookup };
  for (unsigned i = 0; i < 1400; ++i) {
    body.configuration.routes.push_back(routeAt(i, 1));
  }
  Member member;
  member.system(wire::CreateFleet{ 16 });
  REQUIRE(member.code(operatorCommand("a", { body })) == ErrorCode::None);
  body.baseVersion = 1;
  body.configuration.version = 2;
  body.configuration.digest = sha256Hex("2");
  body.configuration.routes[700].priority = 0;
  const auto applied = member.apply(operatorCommand("b", { body }));
  REQUIRE(applied.result.code == ErrorCode::None);
  CHECK(wire::encodeChanges(applied.changes).size() < 1024);
  CHECK(member.state.model().routes().find("h1.example", "/p700/x")->priority == 0);
}

} // namespace
} // namespace camphorcleat::fleet
