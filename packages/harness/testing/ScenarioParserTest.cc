// Guards against statements that are parsed wrongly without an error, and against errors without a
// location.

#include <filesystem>

#include <catch2/catch.hpp>

#include "harness/ScenarioParser.h"

namespace camphorcleat::harness {
namespace {

const std::string kHead = "fleet lagos zones 3 nodes 6 control 3 partitions 64 proxied "
                          "[service storefront keyed nodes 6 slots 10 cold 2 warm-up 500ms]\n"
                          "start\n"
                          "account acme rate 100 burst 20\n";

// Returns the errors of a text, or an empty text.
std::string errorsOf(const std::string& aText)
{
  return orElse(
    [&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(parseScenario("t", aText));
      return std::string();
    },
    [](const ErrorInfo& aInfo) { return aInfo.message; });
}

// Returns the error of a line that follows kHead, which has three lines.
std::string errorOfLine(const std::string& aLine)
{
  return errorsOf(kHead + aLine + "\n");
}

template<class S>
S parseLine(const std::string& aLine)
{
  INFO(errorOfLine(aLine));
  const auto scenario = parseScenario("t", kHead + aLine + "\n");
  REQUIRE(scenario);
  REQUIRE(scenario->size() == 4);
  return std::get<S>(scenario->back().body);
}

} // namespace

TEST_CASE("a fleet and its services are parsed with all options")
{
  const auto scenario = parseScenario(
    "t", "fleet lagos zones 3 nodes 9 control 3 apart partitions 128 checks-grants proxied\n"
         "service storefront keyed nodes 6 slots 10 cold-slots 2 warm-up 0.5s service-time 5ms\n"
         "service artroom unkeyed sheds fixed  # the rest\n");
  REQUIRE(scenario);
  const auto& fleet = std::get<FleetStatement>(scenario->at(0).body);
  REQUIRE(fleet.name == "lagos");
  REQUIRE(fleet.zones == 3);
  REQUIRE(fleet.nodes == 9);
  REQUIRE(fleet.control == 3);
  REQUIRE(fleet.hasDedicatedControl);
  REQUIRE(fleet.partitions == 128);
  REQUIRE(fleet.checksGrants);
  REQUIRE(fleet.isProxied);
  const auto& service = std::get<ServiceStatement>(scenario->at(1).body);
  REQUIRE(service.isKeyed);
  REQUIRE(service.nodes == 6);
  REQUIRE(service.coldSlots == 2);
  REQUIRE(service.warmUp == Millis(500));
  REQUIRE(service.serviceTimeMs == 5);
  const auto& other = std::get<ServiceStatement>(scenario->at(2).body);
  REQUIRE_FALSE(other.isKeyed);
  REQUIRE(other.shedsLoad);
  REQUIRE(other.hasFixedServiceTime);
  REQUIRE(scenario->at(2).text == "service artroom unkeyed sheds fixed");
}

TEST_CASE("services in brackets are part of the fleet statement")
{
  const auto scenario = parseScenario("t", kHead);
  REQUIRE(scenario);
  const auto& fleet = std::get<FleetStatement>(scenario->at(0).body);
  REQUIRE(fleet.services.size() == 1);
  REQUIRE(fleet.services[0].slots == 10);
}

TEST_CASE("the text of an operator command is kept, including a # in it")
{
  const auto plain = parseLine<OperatorStatement>(R"(operator "create service x keyed" # note)");
  REQUIRE(plain.text == "create service x keyed");
  const auto failing =
    parseLine<OperatorStatement>(R"(operator "retire target 9 # x" expect-code unknown_object)");
  REQUIRE(failing.text == "retire target 9 # x");
  REQUIRE(failing.expectedCode == "unknown_object");
}

TEST_CASE("a load is parsed with all options")
{
  const auto load = parseLine<LoadStatement>(
    "load shoppers account acme service storefront rate 50/s keys 10 zipf 0.9 post 20% "
    "idempotent body 30 bytes 2000 deadline 1.5s work 7ms steady via node 2 for 1min");
  REQUIRE(load.name == "shoppers");
  REQUIRE(load.account == "acme");
  REQUIRE(load.service == "storefront");
  REQUIRE(load.ratePerSecond == 50);
  REQUIRE(load.keyCount == 10);
  REQUIRE(load.zipfExponent == 0.9);
  REQUIRE(load.postPercent == 20);
  REQUIRE(load.hasIdempotencyKeys);
  REQUIRE(load.bodyBytes == 30);
  REQUIRE(load.responseBytes == 2000);
  REQUIRE(load.deadline == Millis(1500));
  REQUIRE(load.work == Millis(7));
  REQUIRE(load.isSteady);
  REQUIRE(load.via == 2);
  REQUIRE(load.duration == Millis(60'000));
  const auto other = parseLine<LoadStatement>(
    "load l account acme service storefront rate 5 key k7 uniform via any for 1s");
  REQUIRE(other.via == kNoNode);
  REQUIRE(other.onlyKey == "k7");
  REQUIRE_FALSE(other.zipfExponent);
}

TEST_CASE("wait statements are parsed")
{
  REQUIRE(parseLine<WaitStatement>("wait 2s").duration == Millis(2000));
  REQUIRE(parseLine<WaitOwnedStatement>("wait owned storefront").service == "storefront");
  parseLine<WaitLoadsStatement>("wait loads");
  parseLine<WaitReadyStatement>("wait ready");
}

TEST_CASE("process fault statements are parsed")
{
  using Action = ProcessStatement::Action;
  using Kind = NodeReference::Kind;
  REQUIRE(parseLine<ProcessStatement>("kill node 2").action == Action::Kill);
  REQUIRE(parseLine<ProcessStatement>("kill node 2").node.node == 2);
  REQUIRE(parseLine<ProcessStatement>("freeze leader").node.kind == Kind::Leader);
  REQUIRE(parseLine<ProcessStatement>("resume vm 3").node.isWholeVm);
  REQUIRE(parseLine<ProcessStatement>("stop node 2").action == Action::Stop);
  REQUIRE(parseLine<ProcessStatement>("restart node 2 with empty disk").hasEmptyDisk);
  const auto owner = parseLine<ProcessStatement>("kill owner-of storefront/k7").node;
  REQUIRE(owner.kind == Kind::OwnerOf);
  REQUIRE(owner.service == "storefront");
  REQUIRE(owner.key == "k7");
  REQUIRE(parseLine<ProcessStatement>("kill owner-of k7").node.service.empty());
}

TEST_CASE("network fault statements are parsed")
{
  const auto oneWay = parseLine<CutStatement>("cut node 1 -> node 2");
  REQUIRE(oneWay.from.node == 1);
  REQUIRE(oneWay.to.node == 2);
  REQUIRE_FALSE(oneWay.isBidirectional);
  const auto both = parseLine<CutStatement>("cut leader <-> all");
  REQUIRE(both.isBidirectional);
  REQUIRE(both.to.kind == NodeReference::Kind::All);
  parseLine<HealStatement>("heal");
  REQUIRE(parseLine<SilenceStatement>("silence node 1 -> node 2").to.node == 2);
  REQUIRE(parseLine<ResetStatement>("reset node 1 -> all").from.node == 1);
  const auto delay = parseLine<DelayStatement>("delay all 5ms jitter 2ms");
  REQUIRE(delay.delay == Millis(5));
  REQUIRE(delay.jitter == Millis(2));
}

TEST_CASE("target fault statements are parsed")
{
  const auto slow = parseLine<TargetStatement>("target 2 slow 10 for 500ms");
  REQUIRE(slow.action == TargetStatement::Action::Slow);
  REQUIRE(slow.factor == 10);
  REQUIRE(slow.duration == Millis(500));
  REQUIRE(parseLine<TargetStatement>("target 2 cold").action == TargetStatement::Action::Cold);
  REQUIRE(parseLine<TargetStatement>("target 2 restart").action ==
          TargetStatement::Action::Restart);
  REQUIRE(parseLine<TargetStatement>("target 2 freeze").node == 2);
}

TEST_CASE("expectations are parsed with arguments and units")
{
  using Comparison = ExpectStatement::Comparison;
  const auto gap = parseLine<ExpectStatement>("expect unavailable_after_loss_ms <= 2 s");
  REQUIRE(gap.measure == "unavailable_after_loss_ms");
  REQUIRE(gap.comparison == Comparison::AtMost);
  REQUIRE(gap.value == 2000);
  const auto zoneExpectation = parseLine<ExpectStatement>("expect zone_new_work_ms b < 5000ms");
  REQUIRE(zoneExpectation.arguments == std::vector<std::string>{ "b" });
  REQUIRE(zoneExpectation.comparison == Comparison::Below);
  REQUIRE(parseLine<ExpectStatement>("expect refused == 0").comparison == Comparison::Equal);
  REQUIRE(parseLine<ExpectStatement>("expect served a b >= 1").arguments.size() == 2);
}

TEST_CASE("a syntax error has file, line, column and what was expected")
{
  REQUIRE(errorOfLine("kil node 2").find("t:4:1: expected a statement (fleet, ") == 0);
  REQUIRE(errorOfLine("kill node two") == "t:4:11: expected a whole number");
  REQUIRE(errorOfLine("  kill  nod 2") ==
          "t:4:9: expected node N, vm N, leader, owner-of KEY or all");
  REQUIRE(errorOfLine("wait 2 hours") == "t:4:6: expected a duration such as 500ms or 2s");
  REQUIRE(errorOfLine("account acme rate x burst 2") == "t:4:19: expected a rate such as 50/s");
  REQUIRE(errorOfLine("account acme burst 2") == "t:4:14: expected rate");
  REQUIRE(errorOfLine("operator create") == "t:4:10: expected a text in double quotes");
  REQUIRE(errorOfLine("operator \"x") == "t:4:10: expected a text in double quotes");
  REQUIRE(errorOfLine("cut node 1 node 2") == "t:4:12: expected -> or <->");
  REQUIRE(errorOfLine("delay all 5") == "t:4:11: expected a duration such as 500ms or 2s");
  REQUIRE(errorOfLine("target 2 hot") ==
          "t:4:10: expected slow, cold, drain, restart, kill, freeze or resume");
  REQUIRE(
    errorOfLine("expect speed <= 2").find("t:4:8: expected a measure (config_everywhere_ms") == 0);
  REQUIRE(errorOfLine("expect served = 2") == "t:4:15: expected <=, >=, <, > or ==");
  REQUIRE(errorOfLine("expect served >= many") == "t:4:18: expected a number");
  REQUIRE(errorOfLine("wait 2s 3s") ==
          "t:4:9: expected another option of this statement, or the end of the line");
  REQUIRE(errorOfLine("load l account acme service storefront rate 5/s sped 3 for 1s") ==
          "t:4:49: expected another option of this statement, or the end of the line");
}

TEST_CASE("all syntax errors of a file are reported")
{
  REQUIRE(errorOfLine("wait\nheal\ndelay all") ==
          "t:4:5: expected a duration such as 500ms or 2s\n"
          "t:6:10: expected a duration such as 500ms or 2s");
}

TEST_CASE("names, node ids and the order of statements are checked")
{
  const auto reasonOf = [](const std::string& aLine) {
    const std::string error = errorOfLine(aLine);
    return error.substr(std::min(error.size(), std::string("t:4:1: ").size()));
  };
  REQUIRE(reasonOf("kill node 7") == "the fleet has no node 7");
  REQUIRE(reasonOf("target 7 cold") == "node 7 has no target");
  REQUIRE(reasonOf("wait owned nowhere") == "unknown service 'nowhere'");
  REQUIRE(reasonOf("account acme rate 1 burst 1") == "account acme is declared twice");
  REQUIRE(reasonOf("load l account beta service storefront rate 5/s for 1s") ==
          "unknown account 'beta'");
  REQUIRE(reasonOf("load l account acme service storefront rate 5/s") ==
          "a load needs account, service, rate above 0, keys above 0 and for DURATION");
  REQUIRE(reasonOf("kill node 2 with empty disk") == "'with empty disk' goes with restart only");
  REQUIRE(reasonOf("expect served >= 3 s") == "served has no unit");
  REQUIRE(errorsOf("start\n") == "t:1:1: start comes once, after fleet and at least one service");
  REQUIRE(errorsOf("fleet f nodes 2\nservice s\nheal\n") == "t:3:1: the fleet isn't started yet");
  REQUIRE(errorsOf("fleet f nodes 2\nservice s\nstart\ncut node 1 -> node 2\n") ==
          "t:4:1: the fleet isn't proxied");
  REQUIRE(errorsOf("fleet f nodes 2 control 3\n").find("t:1:1: control needs") == 0);
}

TEST_CASE("every scenario of the repository parses")
{
  unsigned count = 0;
  for (const auto& it : std::filesystem::directory_iterator(CAMPHORCLEAT_SCENARIOS)) {
    if (it.path().extension() == ".scenario") {
      const std::string error = orElse(
        [&]() -> Result<std::string> {
          BOOST_LEAF_CHECK(loadScenario(it.path().string()));
          return std::string();
        },
        [](const ErrorInfo& aInfo) { return aInfo.message; });
      REQUIRE(error.empty());
      ++count;
    }
  }
  REQUIRE(count > 0);
}

} // namespace camphorcleat::harness
