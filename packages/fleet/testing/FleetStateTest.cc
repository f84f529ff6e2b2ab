// Guards against commands that are applied twice, partially, or differently on another member, and
// against two nodes that own a partition at the same time.

#include <random>

#include <catch2/catch.hpp>

#include "FleetFixtures.h"

namespace camphorcleat::fleet {
namespace {

const std::string kDigest = sha256Hex("secret-of-acme");

} // namespace

TEST_CASE("only the first of two commands with the same expected revision is accepted (R26)")
{
  Member member = smallFleet();
  const Revision expected = member.state.operatorRevision();
  const auto first =
    member.apply(operatorCommand("x", { wire::CreateAccount{ "acme", 5, 1 } }, expected));
  const auto second =
    member.apply(operatorCommand("y", { wire::CreateAccount{ "bolt", 5, 1 } }, expected));
  REQUIRE(first.result.code == ErrorCode::None);
  REQUIRE(second.result.code == ErrorCode::RevisionConflict);
  REQUIRE(second.result.revision == first.result.revision);
  REQUIRE(second.result.message.find(std::to_string(first.result.revision)) != std::string::npos);
  REQUIRE(second.changes.empty());
  REQUIRE(member.state.model().accounts().count("bolt") == 0);
}

TEST_CASE("a resent command gets its first result, also after a snapshot (R2, R26)")
{
  Member member = smallFleet();
  wire::Command command = operatorCommand("x", { wire::CreateAccount{ "acme", 5, 1 } });
  const auto first = member.apply(command);
  member.apply(operatorCommand("later", { wire::RemoveAccount{ "acme" } }));
  command.issuedAtUnixMillis += 5000; // The time of issue differs in a resend.
  Member restored;
  REQUIRE(restored.state.restoreSnapshot(member.state.encodeSnapshot()));
  for (Member* it : { &member, &restored }) {
    const auto again = it->apply(command);
    REQUIRE(again.result.code == ErrorCode::None);
    REQUIRE(again.result.revision == first.result.revision);
    REQUIRE(again.changes.empty());
    REQUIRE(it->state.model().accounts().empty());
  }
}

// Guards against an order of an operator that is carried out over a later one that was acknowledged
// (EVAC): the operator gave up on a copy that a partition held up.
TEST_CASE("an order for a zone that was held up doesn't replace a later one")
{
  for (const bool isOut : { false, true }) {
    Member member = smallFleet();
    member.apply(operatorCommand("first", { wire::SetZone{ "a", !isOut, true } }));
    wire::Command heldUp = operatorCommand("copy-1", { wire::SetZone{ "a", isOut, true } });
    heldUp.notAfter = member.state.revision();
    wire::Command resent = operatorCommand("copy-2", { wire::SetZone{ "a", isOut, true } });
    resent.notAfter = heldUp.notAfter;
    REQUIRE(member.code(resent) == ErrorCode::None);
    REQUIRE(member.code(operatorCommand("later", { wire::SetZone{ "a", !isOut, true } })) ==
            ErrorCode::None);
    CHECK(member.code(heldUp) == ErrorCode::Superseded);
    CHECK(member.state.model().isZoneOut("a") == !isOut);
  }
}

TEST_CASE("an order for a zone that was held up doesn't replace a later one that changed nothing")
{
  Member member = smallFleet();
  wire::Command heldUp = operatorCommand("copy", { wire::SetZone{ "a", true, true } });
  heldUp.notAfter = member.state.revision();
  REQUIRE(member.code(operatorCommand("later", { wire::SetZone{ "a", false, true } })) ==
          ErrorCode::None);
  CHECK(member.code(heldUp) == ErrorCode::Superseded);
  CHECK_FALSE(member.state.model().isZoneOut("a"));
}

TEST_CASE(
  "orders for other zones don't supersede an order, and any change supersedes other commands")
{
  Member member = smallFleet();
  wire::Command order = operatorCommand("order", { wire::SetZone{ "a", true, true } });
  wire::Command account = operatorCommand("account", { wire::CreateAccount{ "acme", 5, 1 } });
  order.notAfter = member.state.revision();
  account.notAfter = order.notAfter;
  member.apply(operatorCommand("other", { wire::SetZone{ "b", true, true } }));
  CHECK(member.code(account) == ErrorCode::Superseded);
  CHECK(member.code(order) == ErrorCode::None);
  // The refused copy isn't recorded, so the operator's resend is not refused for it.
  account.notAfter = member.state.revision();
  CHECK(member.code(account) == ErrorCode::None);
  Member restored;
  REQUIRE(restored.state.restoreSnapshot(member.state.encodeSnapshot()));
  CHECK(restored.state.model().zones().at("a").orderedAt == member.state.revision() - 1);
}

TEST_CASE("a refused command is refused again when it is resent")
{
  Member member = smallFleet();
  const wire::Command command = operatorCommand("x", { wire::SetRate{ "acme", 5, 1 } });
  REQUIRE(member.code(command) == ErrorCode::UnknownObject);
  member.apply(operatorCommand("y", { wire::CreateAccount{ "acme", 5, 1 } }));
  REQUIRE(member.code(command) == ErrorCode::UnknownObject);
}

TEST_CASE(
  "a reused command id with other content is a conflict that describes the first command (R26)")
{
  Member member = smallFleet();
  member.apply(operatorCommand("x", { wire::CreateAccount{ "acme", 5, 1 } }));
  const auto other = member.apply(operatorCommand("x", { wire::CreateAccount{ "bolt", 5, 1 } }));
  REQUIRE(other.result.code == ErrorCode::CommandIdConflict);
  REQUIRE(other.result.message.find("create_account account/acme by 'ana'") != std::string::npos);
  REQUIRE(other.audit.size() == 1);
  wire::Command foreign = operatorCommand("x", { wire::CreateAccount{ "acme", 5, 1 } });
  foreign.issuer = "beka";
  REQUIRE(member.code(foreign) == ErrorCode::CommandIdConflict);
}

TEST_CASE("at the limit the oldest recorded command is evicted")
{
  CommandHistory history;
  for (std::size_t i = 0; i <= kMaxRecordedCommands; ++i) {
    history.add({ std::to_string(i), "d", "s", {} });
  }
  const auto copy = CommandHistory::decodeAll(history.encodeAll()).value();
  for (const CommandHistory* it : std::vector<const CommandHistory*>{ &history, &copy }) {
    REQUIRE_FALSE(it->find("0"));
    REQUIRE(it->find("1"));
    REQUIRE(it->find(std::to_string(kMaxRecordedCommands))->digest == "d");
    REQUIRE(it->size() == kMaxRecordedCommands);
  }
}

TEST_CASE("the bodies of a command are applied atomically")
{
  Member member = smallFleet();
  const std::string before = bytesOf(member.state.model());
  const auto applied = member.apply(operatorCommand(
    "x", { wire::CreateAccount{ "acme", 5, 1 }, wire::GrantAccountKey{ "acme", "main", kDigest },
           wire::SetRate{ "nobody", 5, 1 } }));
  REQUIRE(applied.result.code == ErrorCode::UnknownObject);
  REQUIRE(applied.result.message.find("statement 3") == 0);
  REQUIRE(applied.changes.empty());
  REQUIRE(bytesOf(member.state.model()) == before);
  REQUIRE(applied.audit.size() == 1);
  REQUIRE(applied.audit[0].kind == "set_rate");
}

TEST_CASE("invalid operators' commands are refused with the right code and change nothing")
{
  Member member = smallFleet();
  member.apply(operatorCommand("a1", { wire::CreateAccount{ "acme", 5, 1 } }));
  member.apply(operatorCommand("a2", { wire::GrantAccountKey{ "acme", "main", kDigest } }));
  member.apply(operatorCommand("a3", { wire::CreateAccount{ "bolt", 5, 1 } }));
  const std::vector<std::pair<wire::CommandBody, ErrorCode>> cases = {
    { wire::CreateService{ { "Lookup", true, {} } }, ErrorCode::InvalidCommand },
    { wire::CreateService{ { "", true, {} } }, ErrorCode::InvalidCommand },
    { wire::CreateService{ { std::string(64, 'a'), true, {} } }, ErrorCode::InvalidCommand },
    { wire::CreateService{ { "lookup", true, {} } }, ErrorCode::ObjectExists },
    { wire::SetOpenRoutes{ "lookup", { "public" } }, ErrorCode::InvalidCommand },
    { wire::SetOpenRoutes{ "nothing", { "/public" } }, ErrorCode::UnknownObject },
    { wire::RemoveService{ "nothing" }, ErrorCode::UnknownObject },
    { wire::RemoveService{ "lookup" }, ErrorCode::InvalidCommand }, // Node 1 owns its keys.
    { wire::CreateAccount{ "core", 0, 1 }, ErrorCode::InvalidCommand },
    { wire::CreateAccount{ "core", 5, 0.5 }, ErrorCode::InvalidCommand },
    { wire::CreateAccount{ "core", 1.0 / 0.0, 1 }, ErrorCode::InvalidCommand },
    { wire::CreateAccount{ "acme", 5, 1 }, ErrorCode::ObjectExists },
    { wire::SetRate{ "acme", -1, 1 }, ErrorCode::InvalidCommand },
    { wire::GrantAccountKey{ "nobody", "main", sha256Hex("x") }, ErrorCode::UnknownObject },
    { wire::GrantAccountKey{ "acme", "main", sha256Hex("x") }, ErrorCode::ObjectExists },
    { wire::GrantAccountKey{ "bolt", "main", kDigest }, ErrorCode::ObjectExists },
    { wire::GrantAccountKey{ "bolt", "main", "abc" }, ErrorCode::InvalidCommand },
    { wire::GrantAccountKey{ "bolt", "main", std::string(64, 'G') }, ErrorCode::InvalidCommand },
    { wire::WithdrawAccountKey{ "acme", "other" }, ErrorCode::UnknownObject },
    { wire::SetZone{ "nowhere", true }, ErrorCode::UnknownObject },
    { wire::SetRetired{ 9, true }, ErrorCode::UnknownObject },
    { wire::PinKey{ "nothing", "k", kNoNode }, ErrorCode::UnknownObject },
    { wire::PinKey{ "lookup", "k", 9 }, ErrorCode::UnknownObject },
    { wire::UnpinKey{ "lookup", "k" }, ErrorCode::UnknownObject },
    { wire::AssignPartitions{ "lookup", 2, 22, { 1 } },
      ErrorCode::InvalidCommand }, // Only the system may send it.
  };
  const std::string before = bytesOf(member.state.model());
  for (std::size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(i);
    const auto applied = member.apply(operatorCommand("c" + std::to_string(i), { cases[i].first }));
    REQUIRE(applied.result.code == cases[i].second);
    REQUIRE(applied.changes.empty());
    REQUIRE(applied.audit.size() == 1);
    REQUIRE(applied.audit[0].code == cases[i].second);
    REQUIRE(bytesOf(member.state.model()) == before);
  }
  wire::Command anonymous = operatorCommand("", { wire::RemoveAccount{ "acme" } });
  REQUIRE(member.code(anonymous) == ErrorCode::InvalidCommand);
}

TEST_CASE("audit records never contain account keys or digests (R5)")
{
  Member member = smallFleet();
  member.apply(operatorCommand("a", { wire::CreateAccount{ "acme", 5, 1 },
                                      wire::GrantAccountKey{ "acme", "main", kDigest } }));
  member.apply(operatorCommand("b", { wire::GrantAccountKey{ "acme", "spare", kDigest } }));
  member.apply(operatorCommand("c", { wire::WithdrawAccountKey{ "acme", "main" } }));
  REQUIRE(member.state.recentAudit().back().object == "account/acme/key/main");
  REQUIRE(member.state.recentAudit().back().before.find("main") != std::string::npos);
  for (const auto& it : member.state.recentAudit()) {
    REQUIRE(toJson(it).find(kDigest.substr(0, 8)) == std::string::npos);
  }
}

TEST_CASE("the last zone of a keyed service can't be taken out of service")
{
  Member member = smallFleet();
  REQUIRE(member.code(operatorCommand("a", { wire::SetZone{ "a", true } })) == ErrorCode::None);
  REQUIRE(member.code(operatorCommand("b", { wire::SetZone{ "b", true } })) ==
          ErrorCode::CapacityTooSmall);
  REQUIRE(member.code(operatorCommand(
            "c", { wire::SetZone{ "a", false }, wire::SetZone{ "b", true } })) == ErrorCode::None);
}

// Guards against requests that wait for a target although operators have taken out the zones of
// all.
TEST_CASE("a service is out of service if the zones of all its usable targets are out")
{
  Member member = smallFleet();
  const fleet::FleetModel& model = member.state.model();
  CHECK_FALSE(model.isOutOfService("lookup"));
  member.apply(operatorCommand("a", { wire::SetZone{ "a", true, true } }));
  CHECK_FALSE(model.isOutOfService("lookup"));
  member.system(wire::SetNodeStatus{ 2, 22, wire::NodeStatus::TargetDown });
  CHECK(model.isOutOfService("lookup"));
  member.system(wire::SetNodeStatus{ 2, 22, wire::NodeStatus::Serving });
  member.apply(operatorCommand("b", { wire::SetZone{ "b", true, true } }));
  CHECK(model.isOutOfService("lookup"));
  CHECK_FALSE(model.isOutOfService("unknown")); // No target at all is another reason.
  member.apply(operatorCommand("back", { wire::SetZone{ "a", false, true } }));
  CHECK_FALSE(model.isOutOfService("lookup"));
}

TEST_CASE("an incarnation is replaced only after it was declared lost, and can't register again")
{
  Member member = smallFleet();
  const auto registerNode = [&](Incarnation aIncarnation) {
    return member.system(wire::RegisterNode{ nodeOf(1, aIncarnation) }).result.code;
  };
  REQUIRE(registerNode(12) == ErrorCode::IncarnationRefused);
  REQUIRE(registerNode(11) == ErrorCode::None);
  member.system(wire::SetNodeStatus{ 1, 11, wire::NodeStatus::Draining });
  REQUIRE(registerNode(11) == ErrorCode::None); // A delayed duplicate must not change the status.
  REQUIRE(member.state.model().node(1)->status == wire::NodeStatus::Draining);
  REQUIRE(member.system(wire::NodeLost{ 1, 10 }).result.code == ErrorCode::IncarnationRefused);
  REQUIRE(member.system(wire::NodeLost{ 1, 11 }).result.code == ErrorCode::None);
  REQUIRE(registerNode(11) == ErrorCode::IncarnationRefused);
  REQUIRE(member.system(wire::SetNodeStatus{ 1, 11, wire::NodeStatus::Serving }).result.code ==
          ErrorCode::IncarnationRefused);
  REQUIRE(registerNode(12) == ErrorCode::None);
}

// Guards against requests to a server whose leaving was acknowledged (DRAIN), after another process
// of the daemon beside it has registered it again, from a heartbeat that was sent before.
TEST_CASE(
  "a target's process that has left stays out of use, whichever daemon process registers it")
{
  Member member = smallFleet();
  wire::Node node = nodeOf(3, 31, "a");
  node.target.instance = "i-1";
  node.target.startedAtUnixMillis = 1000;
  member.system(wire::RegisterNode{ node });
  const auto isUsable = [&] {
    return member.state.model().mayOwn(*member.state.model().node(3), "lookup");
  };
  REQUIRE(isUsable());
  member.system(wire::SetTargetLeaving{ 3, { "i-1", 1000 } });
  CHECK_FALSE(isUsable());
  member.system(wire::SetNodeStatus{ 3, 31, wire::NodeStatus::Serving });
  CHECK_FALSE(isUsable());
  member.system(wire::RegisterNode{ node });
  CHECK_FALSE(isUsable());
  member.system(wire::NodeLost{ 3, 31 });
  node.incarnation = 32;
  REQUIRE(member.system(wire::RegisterNode{ node }).result.code == ErrorCode::None);
  CHECK_FALSE(isUsable());
  Member restored;
  REQUIRE(restored.state.restoreSnapshot(member.state.encodeSnapshot()));
  CHECK(restored.state.model().node(3)->isTargetLeaving());
  // The next process of the target is usable, also under the name of the one that left.
  node.incarnation = 33;
  node.target.startedAtUnixMillis = 2000;
  member.system(wire::RegisterNode{ node, 32 });
  CHECK(isUsable());
  member.system(wire::SetTargetLeaving{ 3, { "i-1", 1000 } }); // A late copy.
  CHECK(isUsable());
}

TEST_CASE("a target's process can leave before it is registered")
{
  Member member = smallFleet();
  CHECK(member.system(wire::SetTargetLeaving{ 3, { "i-1", 1000 } }).result.code ==
        ErrorCode::UnknownObject);
  wire::Node node = nodeOf(3, 31, "a");
  node.target.instance = "i-1";
  node.target.startedAtUnixMillis = 1000;
  member.system(wire::RegisterNode{ node });
  member.system(wire::SetTargetLeaving{ 3, { "i-2", 2000 } });
  CHECK(member.state.model().mayOwn(*member.state.model().node(3), "lookup"));
  node.incarnation = 32;
  node.target.instance = "i-2";
  node.target.startedAtUnixMillis = 2000;
  member.system(wire::RegisterNode{ node, 31 });
  CHECK_FALSE(member.state.model().mayOwn(*member.state.model().node(3), "lookup"));
}

TEST_CASE("grants of a lost node have no owner but keep their token")
{
  Member member = smallFleet();
  const FencingToken token = member.grant(3).token;
  member.system(wire::BeginPartitionMove{ "lookup", 2, { 3 } });
  member.system(wire::NodeLost{ 1, 11 });
  REQUIRE(member.grant(3).owner == kNoNode);
  REQUIRE(member.grant(3).movingTo == kNoNode);
  REQUIRE(member.grant(3).token == token);
  member.system(wire::AssignPartitions{ "lookup", 2, 22, { 3 } });
  REQUIRE(member.grant(3).token > token);
}

TEST_CASE("an owned partition can't be assigned, and a stale release has no effect")
{
  Member member = smallFleet();
  const wire::PartitionGrant grant = member.grant(3);
  REQUIRE(member.system(wire::AssignPartitions{ "lookup", 2, 22, { 3 } }).changes.empty());
  REQUIRE(member.system(wire::ReleasePartitions{ "lookup", 1, 11, { { 3, grant.token - 1 } } })
            .changes.empty());
  REQUIRE(member.system(wire::ReleasePartitions{ "lookup", 1, 10, { { 3, grant.token } } })
            .changes.empty());
  REQUIRE(member.system(wire::ReleasePartitions{ "lookup", 2, 22, { { 3, grant.token } } })
            .changes.empty());
  REQUIRE(member.grant(3).owner == 1);
}

TEST_CASE("a release transfers ownership to the receiver, or to no node if the receiver is lost")
{
  Member member = smallFleet();
  member.system(wire::BeginPartitionMove{ "lookup", 2, { 3, 4 } });
  const FencingToken token = member.grant(3).token;
  member.system(wire::ReleasePartitions{ "lookup", 1, 11, { { 3, token } } });
  REQUIRE(member.grant(3).owner == 2);
  REQUIRE(member.grant(3).incarnation == 22);
  REQUIRE(member.grant(3).token > token);
  member.system(wire::NodeLost{ 2, 22 });
  member.system(wire::ReleasePartitions{ "lookup", 1, 11, { { 4, token } } });
  REQUIRE(member.grant(4).owner == kNoNode);
  REQUIRE(member.grant(4).token == token);
}

TEST_CASE("a move that has begun can't be cancelled")
{
  // The owner may already have sent its release. If it resumed, a second owner could be assigned.
  Member member = smallFleet();
  member.system(wire::BeginPartitionMove{ "lookup", 2, { 3 } });
  member.system(wire::BeginPartitionMove{ "lookup", 1, { 3 } });
  REQUIRE(member.grant(3).movingTo == 2);
}

TEST_CASE("a pinned or unpinned key keeps its owner until the move is complete")
{
  Member member = smallFleet();
  REQUIRE(member.code(operatorCommand("p", { wire::PinKey{ "lookup", "hot", 2 } })) ==
          ErrorCode::None);
  REQUIRE(member.state.model().partitionOf("lookup", "hot") == 16);
  REQUIRE(member.grant(16).owner == 1);
  REQUIRE(member.grant(16).movingTo == 2);
  REQUIRE(member.code(operatorCommand("u0", { wire::UnpinKey{ "lookup", "hot" } })) ==
          ErrorCode::InvalidCommand);
  member.system(wire::ReleasePartitions{ "lookup", 1, 11, { { 16, member.grant(16).token } } });
  REQUIRE(member.grant(16).owner == 2);
  const auto refused = member.apply(operatorCommand("u1", { wire::UnpinKey{ "lookup", "hot" } }));
  REQUIRE(refused.result.code == ErrorCode::InvalidCommand);
  REQUIRE(refused.result.message.find("ask again") != std::string::npos);
  REQUIRE(member.grant(16).movingTo == 1);
  member.system(wire::ReleasePartitions{ "lookup", 2, 22, { { 16, member.grant(16).token } } });
  REQUIRE(member.code(operatorCommand("u2", { wire::UnpinKey{ "lookup", "hot" } })) ==
          ErrorCode::None);
  REQUIRE(member.state.model().pins().empty());
  REQUIRE(member.state.operatorPins().empty());
  REQUIRE(member.code(operatorCommand("q", { wire::PinKey{ "lookup", "next", kNoNode } })) ==
          ErrorCode::None);
  REQUIRE(member.state.model().partitionOf("lookup", "next") == 16); // The lowest free slot.
}

TEST_CASE("a key can't be pinned while its partition moves")
{
  Member member = smallFleet();
  const PartitionId base = member.state.model().partitionOf("lookup", "hot");
  member.system(wire::BeginPartitionMove{ "lookup", 2, { base } });
  REQUIRE(member.code(operatorCommand("p", { wire::PinKey{ "lookup", "hot", kNoNode } })) ==
          ErrorCode::InvalidCommand);
}

TEST_CASE("a dry run returns the changes of a command and changes nothing")
{
  Member member = smallFleet();
  const std::string before = member.state.encodeSnapshot();
  const wire::Command command = operatorCommand("z", { wire::SetZone{ "a", true } });
  const auto changes = member.state.dryRun(command);
  REQUIRE(changes);
  REQUIRE(member.state.encodeSnapshot() == before);
  REQUIRE(wire::encodeChanges(*changes) == wire::encodeChanges(member.apply(command).changes));
  REQUIRE(codeOfCall([&] {
            return member.state.dryRun(operatorCommand("y", { wire::SetZone{ "z", true } }));
          }) == ErrorCode::UnknownObject);
  REQUIRE(codeOfCall([&] {
            return member.state.dryRun(operatorCommand("z", { wire::SetZone{ "b", true } }));
          }) == ErrorCode::CommandIdConflict);
}

TEST_CASE("a corrupt snapshot gives a typed error and leaves the state unchanged")
{
  std::mt19937_64 random(20261204);
  const std::string whole = smallFleet().state.encodeSnapshot();
  Member member = smallFleet();
  for (int i = 0; i < 3000; ++i) {
    std::string buf = whole;
    if (i % 2 == 0) {
      buf.resize(random() % whole.size());
    } else {
      buf[random() % buf.size()] ^= static_cast<char>(1 + random() % 255);
    }
    REQUIRE(codeOfCall([&] { return member.state.restoreSnapshot(buf); }) ==
            ErrorCode::DecodeFailed);
  }
  REQUIRE(member.state.encodeSnapshot() == whole);
}

} // namespace camphorcleat::fleet
