// Guards against sequences of commands that violate exclusive ownership, decrease a fencing token,
// or make the states of two members differ. Schedules are random with fixed seeds.

#include <random>

#include <catch2/catch.hpp>

#include "FleetFixtures.h"

namespace camphorcleat::fleet {
namespace {

constexpr PartitionId kPartitions = 12;
constexpr NodeId kNodes = 5;
constexpr int kSteps = 1500;

class Schedule
{
public:
  explicit Schedule(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  wire::Command next(const FleetModel& aModel)
  {
    mStep += 1;
    const NodeId id = 1 + pick(kNodes);
    const wire::Node* node = aModel.node(id);
    // Sometimes uses another incarnation than the registered one, as a delayed message would.
    const Incarnation incarnation =
      node == nullptr || pick(8) == 0 ? 1000 + pick(5) : node->incarnation;
    switch (pick(14)) {
      case 0:
        return system(wire::RegisterNode{
          nodeOf(id, pick(3) == 0 ? incarnation : 2000 + mStep, zone(), service()) });
      case 1:
        return system(wire::NodeLost{ id, incarnation });
      case 2:
        return system(wire::SetNodeStatus{
          id, incarnation, pick(4) == 0 ? wire::NodeStatus::Draining : wire::NodeStatus::Serving });
      case 3:
      case 4:
        return system(wire::AssignPartitions{ service(), id, incarnation, partitions() });
      case 5:
      case 6:
        return system(wire::BeginPartitionMove{ service(), id, partitions() });
      case 7:
      case 8:
      case 9:
        return system(release(aModel, id, incarnation));
      case 10:
        return operators({ wire::SetZone{ zone(), pick(3) == 0 } });
      case 11:
        return operators({ wire::PinKey{ service(), key(), pick(2) == 0 ? kNoNode : id } });
      case 12:
        return operators({ wire::UnpinKey{ service(), key() } });
      default:
        return operators({ wire::SetRetired{ id, pick(4) == 0 }, wire::SetZone{ zone(), false },
                           wire::CreateAccount{ "a" + std::to_string(pick(40)), 5, 1 } });
    }
  }

  static std::vector<std::string> keys() { return { "k0", "k1", "k2", "k3", "k4" }; }
  static std::vector<std::string> services() { return { "lookup", "store", kAccountService }; }

private:
  std::uint32_t pick(std::uint32_t aBound) { return mRandom() % aBound; }
  std::string zone() { return std::string(1, static_cast<char>('a' + pick(3))); }
  std::string service() { return services()[pick(3)]; }
  std::string key() { return keys()[pick(5)]; }
  std::vector<PartitionId> partitions()
  {
    std::vector<PartitionId> out;
    for (PartitionId i = 0; i < kPartitions + 6; ++i) {
      if (pick(2) == 0) {
        out.push_back(i);
      }
    }
    return out;
  }
  wire::ReleasePartitions release(const FleetModel& aModel, NodeId aNode, Incarnation aIncarnation)
  {
    wire::ReleasePartitions out{ service(), aNode, aIncarnation, {} };
    const GrantTable& table = aModel.grants(out.service);
    for (PartitionId i = 0; i < table.size(); ++i) {
      const bool isStale = pick(6) == 0;
      if (table[i].movingTo != kNoNode || pick(10) == 0) {
        out.grants.push_back({ i, table[i].token - (isStale && table[i].token > 0 ? 1 : 0) });
      }
    }
    return out;
  }
  wire::Command system(wire::CommandBody aBody) { return systemCommand({ std::move(aBody) }); }
  wire::Command operators(std::vector<wire::CommandBody> aBodies)
  {
    return operatorCommand("c" + std::to_string(pick(2000)), std::move(aBodies));
  }

  std::mt19937_64 mRandom;
  std::uint32_t mStep = 0;
};

bool sameOwner(const wire::PartitionGrant& aLeft, const wire::PartitionGrant& aRight)
{
  return aLeft.owner == aRight.owner && aLeft.incarnation == aRight.incarnation;
}

// Whether the command is a release by the owner or declares the owner lost.
bool endsOwnership(const wire::Command& aCommand, const wire::PartitionGrant& aGrant,
                   PartitionId aPartition)
{
  const wire::CommandBody& body = aCommand.bodies.front();
  if (const auto* release = std::get_if<wire::ReleasePartitions>(&body)) {
    return release->node == aGrant.owner && release->incarnation == aGrant.incarnation &&
           std::any_of(release->grants.begin(), release->grants.end(), [&](const auto& aReleased) {
             return aReleased.partition == aPartition && aReleased.token == aGrant.token;
           });
  }
  const auto* lost = std::get_if<wire::NodeLost>(&body);
  return lost != nullptr && lost->node == aGrant.owner && lost->incarnation == aGrant.incarnation;
}

// Describes the invariant that the change from one grant to the next violates; empty if none.
std::string violationOf(const wire::Command& aCommand, Revision aRevision, const FleetModel& aModel,
                        const wire::PartitionGrant& aOld, const wire::PartitionGrant& aNew,
                        PartitionId aPartition)
{
  const wire::Node* node = aModel.node(aNew.owner);
  if (aNew.token < aOld.token) {
    return "the token decreased";
  }
  if (aNew.owner != kNoNode && (node == nullptr || node->incarnation != aNew.incarnation ||
                                node->status == wire::NodeStatus::Lost)) {
    return "the owner is lost";
  }
  if (sameOwner(aOld, aNew)) {
    return "";
  }
  if (aOld.owner != kNoNode && !endsOwnership(aCommand, aOld, aPartition)) {
    return "another owner without a release";
  }
  return aNew.owner != kNoNode && aNew.token != aRevision ? "a new owner with an old token" : "";
}

// Describes all invariants of ownership that a command violates; empty if none.
std::string violationsOf(const wire::Command& aCommand, Revision aRevision, const FleetModel& aOld,
                         const FleetModel& aNew)
{
  const auto check = [&](const std::string& aService, PartitionId aPartition) {
    const std::string violation =
      violationOf(aCommand, aRevision, aNew, *aOld.grant(aService, aPartition),
                  *aNew.grant(aService, aPartition), aPartition);
    return violation.empty()
             ? ""
             : aService + "/" + std::to_string(aPartition) + ": " + violation + "; ";
  };
  std::string violations;
  for (const auto& service : Schedule::services()) {
    for (PartitionId i = 0; i < kPartitions; ++i) {
      violations += check(service, i);
    }
  }
  for (const auto& [name, pin] : aNew.pins()) {
    violations += aOld.pins().count(name) == 0 ? "" : check(pin.service, pin.partition);
  }
  // Pinning and unpinning must not change the owner of a key that has one.
  for (const auto& key : Schedule::keys()) {
    const PartitionId partition = aOld.partitionOf("lookup", key);
    const auto& before = *aOld.grant("lookup", partition);
    const auto& after = *aNew.grant("lookup", aNew.partitionOf("lookup", key));
    const bool isAllowed = before.owner == kNoNode || sameOwner(before, after) ||
                           endsOwnership(aCommand, before, partition);
    violations += isAllowed ? "" : key + ": another owner; ";
  }
  return violations;
}

void createServices(FleetState& aState)
{
  Revision revision = 0;
  for (wire::CommandBody body : std::vector<wire::CommandBody>{
         wire::CreateFleet{ kPartitions }, wire::CreateService{ { "lookup", true, {} } },
         wire::CreateService{ { "store", true, {} } } }) {
    aState.apply(++revision, systemCommand({ std::move(body) }));
  }
}

void runSchedule(std::uint64_t aSeed)
{
  CAPTURE(aSeed);
  Schedule schedule(aSeed);
  FleetState leader;
  FleetState replica;
  FleetState restored;
  createServices(leader);
  createServices(replica);
  FleetModel daemonModel = leader.model();
  unsigned accepted = 0;
  for (int i = 0; i < kSteps; ++i) {
    const FleetModel before = leader.model();
    const wire::Command command = schedule.next(before);
    const Revision revision = leader.revision() + 1;
    const AppliedCommand applied = leader.apply(revision, command);
    for (const auto& it : applied.changes) {
      daemonModel.apply(it);
    }
    accepted += applied.changes.empty() ? 0 : 1;
    const std::string violation = violationsOf(command, revision, before, leader.model());
    CAPTURE(violation);
    REQUIRE(violation.empty());
    const AppliedCommand same = replica.apply(revision, command);
    REQUIRE(toJson(same.result) == toJson(applied.result));
    REQUIRE(wire::encodeChanges(same.changes) == wire::encodeChanges(applied.changes));
    REQUIRE(bytesOf(daemonModel) == bytesOf(leader.model()));
    if (i == kSteps / 2) {
      REQUIRE(restored.restoreSnapshot(leader.encodeSnapshot()));
    } else if (i > kSteps / 2) {
      REQUIRE(toJson(restored.apply(revision, command).result) == toJson(applied.result));
    }
  }
  REQUIRE(accepted > kSteps / 10); // The schedule must not consist of refused commands.
  REQUIRE(replica.encodeSnapshot() == leader.encodeSnapshot());
  REQUIRE(restored.encodeSnapshot() == leader.encodeSnapshot());
}

} // namespace

TEST_CASE("random commands keep ownership exclusive and the states of members equal (R1, R21, R26)")
{
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    runSchedule(seed);
  }
}

} // namespace camphorcleat::fleet
