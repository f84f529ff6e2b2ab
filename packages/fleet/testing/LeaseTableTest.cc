// Guards against a leader that reassigns keys while their owner may still serve them.

#include <catch2/catch.hpp>

#include "FleetFixtures.h"
#include "fleet/LeaseTable.h"

namespace camphorcleat::fleet {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr LeaseSettings kSettings;

wire::LeaseRenew renewalOf(NodeId aNode, Incarnation aIncarnation)
{
  wire::LeaseRenew out;
  out.node = aNode;
  out.incarnation = aIncarnation;
  return out;
}

std::vector<NodeId> expiredAt(LeaseTable& aLeaseTable, const Member& aMember, TimePoint aNow)
{
  std::vector<NodeId> out;
  for (const auto& it : aLeaseTable.takeExpired(aNow, aMember.state.model())) {
    out.push_back(it.node);
  }
  return out;
}

TEST_CASE("a new leader waits until leases that its predecessor may have granted expire")
{
  Member member = smallFleet();
  LeaseTable leaseTable(kSettings);
  leaseTable.startTerm(kStart, member.state.model());
  const TimePoint end = kStart + kSettings.length + kSettings.drift();
  CHECK(leaseTable.expiry(1) == end);
  CHECK(expiredAt(leaseTable, member, end - Micros(1)).empty());
  CHECK(expiredAt(leaseTable, member, end) == std::vector<NodeId>{ 1, 2 });
}

TEST_CASE("a new term clears expiry times and refusals of an earlier one")
{
  Member member = smallFleet();
  LeaseTable leaseTable(kSettings);
  leaseTable.startTerm(kStart, member.state.model());
  expiredAt(leaseTable, member, kStart + Millis(5000));
  leaseTable.startTerm(kStart + Millis(6000), member.state.model());
  CHECK(leaseTable.status(member.state.model(), 1, 11) == wire::LeaseStatus::Granted);
  CHECK(expiredAt(leaseTable, member, kStart + Millis(7000)).empty());
}

TEST_CASE("a renewal extends the lease from its arrival by the length plus drift")
{
  Member member = smallFleet();
  LeaseTable leaseTable(kSettings);
  leaseTable.startTerm(kStart, member.state.model());
  const TimePoint later = kStart + Millis(700);
  CHECK(leaseTable.recordRenewal(later, member.state.model(), renewalOf(1, 11)) ==
        wire::LeaseStatus::Granted);
  CHECK(leaseTable.expiry(1) == later + kSettings.length + kSettings.drift());
  CHECK(leaseTable.expiry(2) == kStart + kSettings.length + kSettings.drift());
}

TEST_CASE("a renewal of another incarnation doesn't extend the lease")
{
  Member member = smallFleet();
  LeaseTable leaseTable(kSettings);
  leaseTable.startTerm(kStart, member.state.model());
  const TimePoint end = leaseTable.expiry(1);
  CHECK(leaseTable.recordRenewal(kStart + Millis(700), member.state.model(), renewalOf(1, 99)) ==
        wire::LeaseStatus::Unregistered);
  CHECK(leaseTable.recordRenewal(kStart + Millis(700), member.state.model(), renewalOf(7, 11)) ==
        wire::LeaseStatus::Unregistered);
  CHECK(leaseTable.expiry(1) == end);
  CHECK(leaseTable.expiry(7) == TimePoint());
}

TEST_CASE("a renewal after the proposed loss is refused although the loss isn't applied yet")
{
  Member member = smallFleet();
  LeaseTable leaseTable(kSettings);
  leaseTable.startTerm(kStart, member.state.model());
  const TimePoint end = leaseTable.expiry(1);
  REQUIRE(expiredAt(leaseTable, member, end) == std::vector<NodeId>{ 1, 2 });
  CHECK(leaseTable.recordRenewal(end, member.state.model(), renewalOf(1, 11)) ==
        wire::LeaseStatus::Refused);
  CHECK(leaseTable.expiry(1) == end);
}

TEST_CASE("a loss that isn't applied is proposed again after 200 ms, not before")
{
  Member member = smallFleet();
  LeaseTable leaseTable(kSettings);
  leaseTable.startTerm(kStart, member.state.model());
  const TimePoint end = leaseTable.expiry(1);
  REQUIRE(expiredAt(leaseTable, member, end).size() == 2);
  CHECK(expiredAt(leaseTable, member, end + Millis(199)).empty());
  CHECK(expiredAt(leaseTable, member, end + Millis(200)).size() == 2);
}

TEST_CASE(
  "after an applied loss there are no more proposals and the new incarnation has a full lease")
{
  Member member = smallFleet();
  LeaseTable leaseTable(kSettings);
  leaseTable.startTerm(kStart, member.state.model());
  const TimePoint later = kStart + Millis(2000);
  expiredAt(leaseTable, member, later);
  member.system(wire::NodeLost{ 1, 11 });
  leaseTable.updateNode(later, *member.state.model().node(1));
  CHECK(leaseTable.status(member.state.model(), 1, 11) == wire::LeaseStatus::Refused);
  CHECK(expiredAt(leaseTable, member, later + Millis(200)) == std::vector<NodeId>{ 2 });

  member.system(wire::RegisterNode{ nodeOf(1, 12, "a") });
  leaseTable.updateNode(later, *member.state.model().node(1));
  CHECK(leaseTable.status(member.state.model(), 1, 11) == wire::LeaseStatus::Unregistered);
  CHECK(leaseTable.status(member.state.model(), 1, 12) == wire::LeaseStatus::Granted);
  CHECK(leaseTable.expiry(1) == later + kSettings.length + kSettings.drift());
}

TEST_CASE("a status change of the same incarnation neither extends the lease nor ends a refusal")
{
  Member member = smallFleet();
  LeaseTable leaseTable(kSettings);
  leaseTable.startTerm(kStart, member.state.model());
  const TimePoint end = leaseTable.expiry(1);
  expiredAt(leaseTable, member, end);
  leaseTable.updateNode(end + Millis(100), *member.state.model().node(1));
  CHECK(leaseTable.expiry(1) == end);
  CHECK(leaseTable.status(member.state.model(), 1, 11) == wire::LeaseStatus::Refused);
}

TEST_CASE("a node whose target doesn't check grants is declared lost 300 ms later")
{
  Member member = smallFleet();
  wire::Node node = nodeOf(3, 33, "c");
  node.target.checksGrants = false;
  member.system(wire::RegisterNode{ node });
  node.id = 4;
  node.incarnation = 44;
  node.hasTarget = false;
  member.system(wire::RegisterNode{ node });
  LeaseTable leaseTable(kSettings);
  leaseTable.startTerm(kStart, member.state.model());
  CHECK(leaseTable.expiry(3) ==
        kStart + kSettings.length + kSettings.drift() + kSettings.uncheckedGrace);
  CHECK(leaseTable.expiry(4) == kStart + kSettings.length + kSettings.drift());
}

} // namespace
} // namespace camphorcleat::fleet
