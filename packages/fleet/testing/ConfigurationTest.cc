// Guards against configurations that are accepted on an outdated base version, revert to an older
// one, or change in a snapshot, and against requests routed by a shorter prefix than the longest.

#include <catch2/catch.hpp>

#include "FleetFixtures.h"
#include "fleet/CommandHistory.h"
#include "wire/WireCodec.h"

namespace camphorcleat::fleet {
namespace {

wire::Service ranged(const std::string& aName)
{
  wire::Service out;
  out.name = aName;
  out.isRanged = true;
  return out;
}

wire::Route routeTo(const std::string& aService, const std::string& aPrefix = "/a/")
{
  wire::Route out;
  out.name = "r" + aPrefix;
  out.host = "h.example";
  out.pathPrefix = aPrefix;
  out.timeout = Millis(1000);
  out.objective = Millis(500);
  out.weightedServices = { { aService, 1 } };
  return out;
}

wire::ReplaceConfiguration configuration(std::uint64_t aBase, std::uint64_t aVersion,
                                         const std::string& aDocument)
{
  wire::ReplaceConfiguration out;
  out.baseVersion = aBase;
  out.configuration.version = aVersion;
  out.configuration.digest = sha256Hex(aDocument);
  out.configuration.services = { ranged("lookup"), ranged("intake") };
  out.configuration.routes = { routeTo("lookup") };
  wire::Account account;
  account.name = "acme";
  account.requestsPerSecond = 10;
  account.keyDigests["k"] = sha256Hex("secret");
  out.configuration.accounts = { account };
  out.document = Bytes(aDocument);
  return out;
}

Member fleetWithPartitions()
{
  Member out;
  out.system(wire::CreateFleet{ 16 });
  return out;
}

ErrorCode replaceConfiguration(Member& aMember, const wire::ReplaceConfiguration& aBody,
                               const std::string& aId)
{
  return aMember.code(operatorCommand(aId, { aBody }));
}

} // namespace

TEST_CASE(
  "only the first of two configurations with one base version is accepted, also when resent")
{
  Member member = fleetWithPartitions();
  const auto first = configuration(0, 7, "one");
  CHECK(replaceConfiguration(member, first, "a") == ErrorCode::None);
  CHECK(replaceConfiguration(member, configuration(0, 7, "two"), "b") ==
        ErrorCode::RevisionConflict);
  CHECK(replaceConfiguration(member, first, "a") == ErrorCode::None);
  // The configuration that is already in force is accepted under another command id, too.
  CHECK(replaceConfiguration(member, first, "c") == ErrorCode::None);
  CHECK(member.state.document() == "one");
  CHECK(replaceConfiguration(member, configuration(7, 9, "three"), "d") == ErrorCode::None);
  // A resend gets its first result, also later.
  CHECK(replaceConfiguration(member, first, "a") == ErrorCode::None);
  CHECK(member.state.document() == "three");
  CHECK(member.state.model().configuration().version == 9);
}

TEST_CASE("an invalid configuration is refused and changes nothing")
{
  Member member = fleetWithPartitions();
  REQUIRE(replaceConfiguration(member, configuration(0, 7, "good"), "good") == ErrorCode::None);
  std::vector<wire::ReplaceConfiguration> bad(11, configuration(7, 8, "bad"));
  bad[0].configuration.routes = { routeTo("nowhere") };
  bad[1].configuration.routes[0].pathPrefix = "a/";
  bad[2].configuration.routes[0].weightedServices[0].weight = 0;
  bad[3].configuration.routes[0].objective = Millis(61'000);
  bad[4].configuration.version = 7;
  bad[5].configuration.version = 6;
  bad[6].configuration.routes.push_back(bad[6].configuration.routes[0]);
  bad[7].configuration.accounts.push_back(bad[7].configuration.accounts[0]);
  bad[7].configuration.accounts[1].name = "other";
  bad[8].configuration.routes[0].timeout = Millis(0);
  bad[9].configuration.limits.bodyBytes = 0;
  bad[10].configuration.limits.idleTimeout = Millis(0);
  for (std::size_t i = 0; i < bad.size(); ++i) {
    INFO("fault " << i);
    CHECK(replaceConfiguration(member, bad[i], "bad" + std::to_string(i)) ==
          ErrorCode::InvalidCommand);
  }
  CHECK(member.state.document() == "good");
  CHECK(member.state.model().configuration().version == 7);
}

// Guards against an accepted configuration that is refused when it is resent (CONFIG), also to a
// member whose record of it was written by an earlier version.
TEST_CASE("a configuration is recognized as resent by version, base and digest of its document")
{
  const wire::Command first = operatorCommand("a", { configuration(0, 7, "one") });
  wire::Command resent = first;
  resent.issuedAtUnixMillis += 5000;
  RecordedCommand record;
  record.digest = commandDigest(first);
  CHECK(isSameCommand(record, resent));
  CHECK_FALSE(isSameCommand(record, operatorCommand("a", { configuration(0, 7, "two") })));
  CHECK_FALSE(isSameCommand(record, operatorCommand("a", { configuration(1, 7, "one") })));
  CHECK_FALSE(isSameCommand(record, operatorCommand("a", { configuration(0, 8, "one") })));

  constexpr std::size_t kDigits = 32;
  wire::Command content = first;
  content.issuedAtUnixMillis = 0;
  record.digest = sha256Hex(wire::encodeCommand(content)).substr(0, kDigits);
  CHECK(isSameCommand(record, resent));
  CHECK_FALSE(isSameCommand(record, operatorCommand("a", { configuration(0, 7, "two") })));
}

TEST_CASE("a snapshot contains the whole configuration and its document")
{
  Member member = fleetWithPartitions();
  REQUIRE(replaceConfiguration(member, configuration(0, 7, "one"), "a") == ErrorCode::None);
  FleetState copy;
  REQUIRE(copy.restoreSnapshot(member.state.encodeSnapshot()));
  CHECK(copy.document() == "one");
  CHECK(bytesOf(copy.model()) == bytesOf(member.state.model()));
  CHECK(copy.model().routes().find("h.example", "/a/x") != nullptr);
}

TEST_CASE("a new configuration keeps grants of its services and removes withdrawn keys")
{
  Member member = fleetWithPartitions();
  REQUIRE(replaceConfiguration(member, configuration(0, 1, "one"), "a") == ErrorCode::None);
  member.system(wire::RegisterNode{ nodeOf(1, 11) });
  member.system(wire::AssignPartitions{ "lookup", 1, 11, partitionsUpTo(16) });
  auto next = configuration(1, 2, "two");
  next.configuration.accounts[0].keyDigests.clear();
  REQUIRE(replaceConfiguration(member, next, "b") == ErrorCode::None);
  CHECK(member.grant(3).owner == 1);
  CHECK(member.state.model().accountOfDigest(sha256Hex("secret")) == nullptr);
}

TEST_CASE("routes match the longest path prefix and ignore the query and the host's case and port")
{
  const RouteTable table({ routeTo("lookup", "/a/"), routeTo("intake", "/a/b/") });
  CHECK(table.find("H.Example:80", "/a/x?y=/b/")->weightedServices[0].service == "lookup");
  CHECK(table.find("h.example", "/a/b/x")->weightedServices[0].service == "intake");
  CHECK(table.find("h.example", "/a/b") != nullptr);
  CHECK(table.find("h.example", "/b/") == nullptr);
  CHECK(table.find("other", "/a/") == nullptr);
  CHECK(table.find("", "") == nullptr);
}

TEST_CASE("services of a route are selected by weight, and never with weight 0")
{
  wire::Route route = routeTo("a");
  route.weightedServices = { { "a", 90 }, { "b", 10 }, { "c", 0 } };
  CHECK(selectService(route, 0.0) == "a");
  CHECK(selectService(route, 0.89) == "a");
  CHECK(selectService(route, 0.91) == "b");
  CHECK(selectService(route, 0.9999999999) == "b");
}

TEST_CASE("the ranges of partitions cover every key exactly once for any number of partitions")
{
  for (const std::uint32_t count : { 1U, 7U, 1024U, 65536U }) {
    Member member;
    member.system(wire::CreateFleet{ count });
    REQUIRE(replaceConfiguration(member, configuration(0, 1, "one"), "a") == ErrorCode::None);
    const FleetModel& model = member.state.model();
    std::uint32_t next = 0;
    for (PartitionId i = 0; i < count; ++i) {
      const auto [first, last] = model.rangeOf(i);
      REQUIRE(first == next);
      REQUIRE(model.partitionOf("lookup", std::to_string(first)) == i);
      REQUIRE(model.partitionOf("lookup", std::to_string(last)) == i);
      next = last + 1;
    }
    CHECK(next == 65536);
    CHECK(model.partitionOf("lookup", "99999999") == count - 1);
  }
}

// Guards against keys that stay unserved until a lease expires although another process of the
// target already uses the address of the earlier one, which shows that the earlier one has ended.
TEST_CASE("a registration that names the ended incarnation releases its grants")
{
  Member member = smallFleet();
  wire::RegisterNode next{ nodeOf(1, 12, "a") };
  CHECK(member.system(next).result.code == ErrorCode::IncarnationRefused);
  next.endedIncarnation = 10; // An earlier incarnation than the registered one.
  CHECK(member.system(next).result.code == ErrorCode::IncarnationRefused);
  CHECK(member.grant(0).owner == 1);
  next.endedIncarnation = 11;
  CHECK(member.system(next).result.code == ErrorCode::None);
  CHECK(member.grant(0).owner == kNoNode);
}

TEST_CASE(
  "the handover data of a release reaches the next owner and is removed when that node is lost")
{
  Member member = smallFleet();
  const FencingToken token = member.grant(5).token;
  member.system(wire::BeginPartitionMove{ "lookup", 2, { 5 } });
  member.system(wire::ReleasePartitions{ "lookup", 1, 11, { { 5, token, "seal" } } });
  CHECK(member.grant(5).owner == 2);
  CHECK(member.grant(5).handover == "seal");
  CHECK(member.grant(5).token > token);
  member.system(wire::NodeLost{ 2, 22 });
  CHECK(member.grant(5).handover.empty());
}

} // namespace camphorcleat::fleet
