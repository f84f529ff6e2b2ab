// Guards against statements that are parsed wrongly, errors with a wrong position, and account keys
// that are sent to a daemon.

#include <catch2/catch.hpp>

#include <QJsonArray>
#include <QJsonDocument>

#include "FleetFixtures.h"
#include "fleet/AuditText.h"
#include "fleet/QueryResult.h"

namespace camphorcleat::fleet {
namespace {

std::uint32_t constantBits()
{
  return 0x89ABCDEF;
}

ChangeRequest changeOf(const std::string& aText)
{
  return std::get<ChangeRequest>(parseStatement(aText, constantBits).value());
}

template<class Body>
Body bodyOf(const std::string& aText)
{
  return std::get<Body>(changeOf(aText).bodies.at(0));
}

SyntaxProblem problemOf(const std::string& aText, const RandomSource& aRandom = constantBits)
{
  return leaf::try_handle_all(
    [&]() -> Result<SyntaxProblem> {
      BOOST_LEAF_CHECK(parseStatement(aText, aRandom));
      return SyntaxProblem{ 0, 0, "", "accepted", "" };
    },
    [](const SyntaxProblem& aProblem) { return aProblem; },
    [] {
      return SyntaxProblem{ 0, 0, "", "another failure", "" };
    });
}

void requireProblem(const std::string& aText, std::size_t aLine, std::size_t aColumn,
                    const std::string& aFound, const std::string& aNearest)
{
  CAPTURE(aText);
  const SyntaxProblem problem = problemOf(aText);
  REQUIRE(problem.line == aLine);
  REQUIRE(problem.column == aColumn);
  REQUIRE(problem.found == aFound);
  REQUIRE(problem.nearest == aNearest);
}

} // namespace

TEST_CASE("every statement is parsed into its command or query")
{
  REQUIRE(bodyOf<wire::CreateService>("create service lookup keyed").service.isKeyed);
  REQUIRE_FALSE(bodyOf<wire::CreateService>("create service feed unkeyed").service.isKeyed);
  REQUIRE(bodyOf<wire::RemoveService>("remove service lookup").service == "lookup");
  REQUIRE(bodyOf<wire::SetOpenRoutes>("open route feed /a /b/c").openRoutes ==
          std::vector<std::string>{ "/a", "/b/c" });
  REQUIRE(bodyOf<wire::SetOpenRoutes>("close routes feed").openRoutes.empty());
  const auto account = bodyOf<wire::CreateAccount>("create account acme rate 2.5 burst 1e3");
  REQUIRE(account.requestsPerSecond == 2.5);
  REQUIRE(account.burstRequests == 1000);
  REQUIRE(bodyOf<wire::SetRate>("set rate acme 7 burst 9").burstRequests == 9);
  REQUIRE(bodyOf<wire::RemoveAccount>("remove account acme").account == "acme");
  REQUIRE(bodyOf<wire::WithdrawAccountKey>("withdraw key acme main").keyName == "main");
  REQUIRE(bodyOf<wire::SetZone>("zone out a").isOut);
  REQUIRE_FALSE(bodyOf<wire::SetZone>("zone in a").isOut);
  REQUIRE(bodyOf<wire::SetRetired>("retire target 12").node == 12);
  REQUIRE_FALSE(bodyOf<wire::SetRetired>("restore target 12").isRetired);
  REQUIRE(bodyOf<wire::PinKey>("pin key lookup \"a \\\"b; # c\"").key == "a \"b; # c");
  REQUIRE(bodyOf<wire::PinKey>("pin key lookup to to 3").node == 3); // The first "to" is the key.
  REQUIRE(bodyOf<wire::UnpinKey>("unpin key lookup k").key == "k");
  const auto query = std::get<Query>(parseStatement("show owners lookup").value());
  REQUIRE(query.kind == QueryKind::Owners);
  REQUIRE(query.filter == "lookup");
}

TEST_CASE("several statements make one command; comments and blanks are ignored")
{
  const auto change = changeOf("# set-up\n\ncreate service a keyed; create service b unkeyed;\r\n"
                               "zone out z # for repairs\n");
  REQUIRE(change.bodies.size() == 3);
  REQUIRE(bodyKind(change.bodies[2]) == "set_zone");
}

TEST_CASE("a syntax error has its position, the expected words and the most similar keyword")
{
  requireProblem("create servic lookup keyed", 1, 8, "servic", "service");
  requireProblem("zone out a\n\nset rat acme 1 burst 2", 3, 5, "rat", "rate");
  requireProblem("create service a keyd", 1, 18, "keyd", "keyed");
  requireProblem("create account acme rate fast burst 1", 1, 26, "fast", "");
  requireProblem("create account acme rate", 1, 25, "", "");
  requireProblem("retire target -1", 1, 15, "-1", "");
  requireProblem("open route feed public", 1, 17, "public", "");
  requireProblem("zone out a b", 1, 12, "b", "");
  requireProblem("\"zone\" out a", 1, 1, "zone", "zone"); // A quoted word is not a keyword.
  requireProblem("pin key s \"open", 1, 11, "\"", "");
  requireProblem("zone out a; show status", 1, 13, "show", "");
  requireProblem("", 1, 1, "", "");
  REQUIRE(problemOf("create service a keyd").expected == "'keyed' or 'unkeyed'");
  REQUIRE(problemOf("zone out a b").expected == "the end of the statement");
  REQUIRE(problemOf("shw status").message() ==
          "line 1, column 1: found 'shw', expected 'create', 'remove', 'open', 'close', 'set', "
          "'withdraw', 'zone', 'retire', 'restore', 'pin', 'unpin' or 'show'; did you mean "
          "'show'?");
}

TEST_CASE("account keys do not appear in errors, commands and sent text (R5)")
{
  const std::string digest = sha256Hex("s3cret");
  REQUIRE(bodyOf<wire::GrantAccountKey>("create key acme main value s3cret").digest == digest);
  REQUIRE(problemOf("create key acme main vale s3cret").found == "(hidden)");
  REQUIRE(problemOf("create key acme main s3cret").message().find("s3cret") == std::string::npos);
  REQUIRE(problemOf("create key acme main value \"s3 cret\"").found == "(hidden)");
  REQUIRE(problemOf("create key acme main value s3cret more").found == "(hidden)");
  const RedactedText safe =
    redactSecrets("zone in a\ncreate key acme main value s3cret # x\ncreate key acme b",
                  constantBits)
      .value();
  REQUIRE(safe.generatedKeys.size() == 1);
  REQUIRE(safe.text == "zone in a\ncreate key acme main digest " + digest +
                         " # x\ncreate key acme b digest " +
                         sha256Hex(safe.generatedKeys[0].value));
}

TEST_CASE("a generated key has 256 random bits and matches its digest")
{
  const auto change = changeOf("create key acme main");
  REQUIRE(change.generatedKeys.size() == 1);
  REQUIRE(change.generatedKeys[0].value.size() == 64);
  REQUIRE(std::get<wire::GrantAccountKey>(change.bodies[0]).digest ==
          sha256Hex(change.generatedKeys[0].value));
  REQUIRE(problemOf("create key acme main", nullptr).expected == "'value' or 'digest'");
}

TEST_CASE("query results contain the state of the model without digests")
{
  Member member = smallFleet();
  const std::string digest = sha256Hex("s3cret");
  member.apply(operatorCommand("a", { wire::CreateAccount{ "acme", 5, 2 },
                                      wire::GrantAccountKey{ "acme", "main", digest },
                                      wire::PinKey{ "lookup", "hot", 2 } }));
  const auto resultOf = [&](QueryKind aKind, const std::string& aFilter = "") {
    return *evaluateQuery(member.state.model(), Query{ aKind, aFilter });
  };
  const QJsonObject owners = resultOf(QueryKind::Owners, "lookup")["services"].toObject();
  REQUIRE(owners.size() == 1);
  REQUIRE(owners["lookup"].toObject()["15"].toInt() == 1);
  REQUIRE(owners["lookup"].toObject().size() == 17); // 16 partitions and a pin.
  REQUIRE(resultOf(QueryKind::Nodes, "2")["nodes"].toArray().size() == 1);
  REQUIRE(resultOf(QueryKind::Zones)["zones"].toArray()[0].toObject()["nodes"].toInt() == 1);
  REQUIRE(resultOf(QueryKind::Pins)["pins"].toArray()[0].toObject()["moving_to"].toInt() == 2);
  REQUIRE(resultOf(QueryKind::Services, "none")["services"].toArray().isEmpty());
  const QJsonObject accounts = resultOf(QueryKind::Accounts);
  REQUIRE_FALSE(QJsonDocument(accounts).toJson().contains(digest.c_str()));
  REQUIRE(renderTable(accounts) == "NAME  BURST_REQUESTS  KEYS  REQUESTS_PER_SECOND\n"
                                   "acme  2               main  5\n");
  REQUIRE(renderTable(resultOf(QueryKind::Owners, "lookup")) == "SERVICE  NODE  PARTITIONS\n"
                                                                "lookup   1     17\n");
  REQUIRE_FALSE(evaluateQuery(member.state.model(), Query{ QueryKind::Leases, "" }));
}

} // namespace camphorcleat::fleet
