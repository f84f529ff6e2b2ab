// Guards against keys that get a new owner while their target may still hold them or take them
// again, and against grants that aren't renewed in time.

#include <catch2/catch.hpp>

#include <algorithm>

#include "fleet/CallGrants.h"

namespace camphorcleat::fleet {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

// Four partitions of 16,384 keys each, all owned by node 1 under token 5.
struct Fixture
{
  FleetModel model;
  CallGrants grants{ CallGrants::Config() };
  std::map<PartitionId, wire::PartitionGrant> owned;
  Revision revision = 10;
  TimePoint now = kStart;
  Millis leaseLength{ 8000 };

  Fixture()
  {
    model.apply(wire::FleetCreated{ 4 });
    for (PartitionId i = 0; i < 4; ++i) {
      owned[i] = wire::PartitionGrant{ 1, 11, 5, kNoNode };
    }
  }

  void update() { grants.update(now, revision, owned); }

  std::vector<TargetOrder> orders() { return grants.nextOrders(now, model, now + leaseLength); }

  // Returns the only order that is due.
  TargetOrder order()
  {
    const auto out = orders();
    REQUIRE(out.size() == 1);
    return out.front();
  }

  void end(const TargetOrder& aOrder, OrderOutcome aOutcome, const std::string& aHandover = "")
  {
    grants.orderEnded(now, aOrder.id, aOutcome, aHandover);
  }

  void grantAll()
  {
    update();
    end(order(), OrderOutcome::Done);
  }

  void beginMove(PartitionId aPartition)
  {
    owned[aPartition].movingTo = 2;
    ++revision;
    update();
  }
};

} // namespace

TEST_CASE("adjacent partitions with one token are granted by one call, which ends with the lease")
{
  Fixture f;
  f.update();
  const TargetOrder order = f.order();
  CHECK(order.kind == OrderKind::Grant);
  CHECK(order.from == 0);
  CHECK(order.to == 65535);
  CHECK(order.token == 5);
  // The latest arrival is at answerUntil.
  CHECK(order.answerUntil + withTargetClockSlack(order.length) <= f.now + f.leaseLength);
  CHECK_FALSE(f.grants.isGranted(f.now, 0, 5));
  f.now += Millis(20);
  f.end(order, OrderOutcome::Done);
  CHECK(f.grants.isGranted(f.now, 0, 5));
  CHECK_FALSE(f.grants.isGranted(f.now, 0, 6));
  CHECK_FALSE(f.grants.isGranted(kStart + order.length, 0, 5));
}

TEST_CASE("without a lease nothing is granted by calls")
{
  Fixture f;
  f.leaseLength = Millis(0);
  f.update();
  CHECK(f.orders().empty());
}

TEST_CASE("a grant by a call is renewed long before it ends, also after a call without a response")
{
  Fixture f;
  f.grantAll();
  CHECK(f.orders().empty());
  f.now += Millis(1500);
  const TargetOrder lost = f.order();
  f.now = lost.answerUntil;
  f.end(lost, OrderOutcome::Unknown);
  CHECK(f.grants.isGranted(f.now, 3, 5));
  f.now += Millis(50);
  const TargetOrder repeated = f.order();
  CHECK(repeated.token == 5);
  f.end(repeated, OrderOutcome::Done);
  CHECK(f.grants.isGranted(f.now + Millis(6000), 3, 5));
}

TEST_CASE("a moving partition is served until its release is sent, and keeps the handover")
{
  Fixture f;
  f.grantAll();
  f.now += Millis(500);
  f.beginMove(1);
  CHECK(f.grants.isGranted(f.now, 1, 5));
  const TargetOrder release = f.order();
  CHECK(release.kind == OrderKind::Release);
  CHECK(release.from == 16384);
  CHECK(release.to == 32767);
  CHECK(release.token == 5);
  CHECK_FALSE(f.grants.isGranted(f.now, 1, 5));
  CHECK(f.grants.isGranted(f.now, 0, 5));
  CHECK(f.grants.takeReleased(f.now).empty()); // The target may still run work for these keys.
  f.now += Millis(300);
  f.end(release, OrderOutcome::Done, "seal");
  const auto released = f.grants.takeReleased(f.now);
  REQUIRE(released.size() == 1);
  CHECK(released[0].partition == 1);
  CHECK(released[0].token == 5);
  CHECK(released[0].handover == "seal");
  CHECK(f.grants.takeReleased(f.now).empty());
}

TEST_CASE("a release without a response is repeated until the grant has ended")
{
  Fixture f;
  f.grantAll();
  f.beginMove(1);
  const TargetOrder lost = f.order();
  f.now = lost.answerUntil;
  f.end(lost, OrderOutcome::Unknown);
  CHECK(f.grants.takeReleased(f.now).empty());
  f.now += Millis(50);
  const auto orders = f.orders(); // The other partitions are renewed, too.
  const auto again = std::find_if(orders.begin(), orders.end(), [](const TargetOrder& aOrder) {
    return aOrder.kind == OrderKind::Release;
  });
  REQUIRE(again != orders.end());
  f.now = kStart + Millis(9400);
  CHECK(f.grants.takeReleased(f.now).empty()); // The repeated release is still on its way.
  f.end(*again, OrderOutcome::Unknown);
  CHECK(f.grants.takeReleased(f.now).size() == 1);
}

// Guards against two targets that take one key: the call without a response may be executed after
// the key was granted elsewhere.
TEST_CASE("keys with a grant that may still arrive are kept until a higher token was accepted")
{
  Fixture f;
  f.grantAll();
  f.now += Millis(1500);
  const TargetOrder lost = f.order();
  f.now = lost.answerUntil;
  f.end(lost, OrderOutcome::Unknown);
  f.beginMove(1);
  const auto orders = f.orders();
  const auto fencing = std::find_if(orders.begin(), orders.end(), [&](const TargetOrder& aOrder) {
    return aOrder.token == f.revision;
  });
  REQUIRE(fencing != orders.end());
  CHECK(fencing->kind == OrderKind::Grant);
  CHECK(fencing->from == 16384);
  CHECK(fencing->to == 32767);
  CHECK(f.grants.isGranted(f.now, 1, 5));
  f.end(*fencing, OrderOutcome::Done);
  const auto release = f.orders();
  REQUIRE(release.size() == 1);
  CHECK(release[0].kind == OrderKind::Release);
  CHECK(release[0].token == f.revision);
}

TEST_CASE("keys with a grant that may still arrive move after the longest delay")
{
  Fixture f;
  f.grantAll();
  f.now += Millis(1500);
  TargetOrder lost = f.order();
  f.end(lost, OrderOutcome::Unknown);
  const TimePoint latest = lost.answerUntil - Millis(500) + Millis(12'000);
  f.beginMove(1);
  while (f.now < latest) {
    for (const auto& it : f.orders()) {
      REQUIRE(it.kind == OrderKind::Grant);
      const bool isFencing = it.token == f.revision;
      f.end(it, isFencing ? OrderOutcome::NotSent : OrderOutcome::Done);
    }
    CHECK(f.grants.takeReleased(f.now).empty());
    f.now += Millis(100);
  }
  const auto orders = f.orders();
  CHECK(std::any_of(orders.begin(), orders.end(),
                    [](const TargetOrder& aOrder) { return aOrder.kind == OrderKind::Release; }));
}

TEST_CASE("a restarted daemon doesn't pass keys on that its earlier process may have granted")
{
  Fixture f;
  f.grants.setFirstRevision(10);
  f.owned[1].movingTo = 2;
  f.update();
  CHECK(f.grants.takeReleased(f.now).empty());
  for (const auto& it : f.orders()) {
    CHECK(it.kind == OrderKind::Grant);
    f.end(it, OrderOutcome::Done);
  }
  CHECK(f.orders().empty());
  ++f.revision;
  f.update();
  const TargetOrder fencing = f.order();
  CHECK(fencing.kind == OrderKind::Grant);
  CHECK(fencing.token == 11);
  f.end(fencing, OrderOutcome::Done);
  CHECK(f.order().kind == OrderKind::Release);
}

TEST_CASE("after a refusal for a higher token, the same token is never sent again")
{
  Fixture f;
  f.grantAll();
  f.now += Millis(1500);
  f.end(f.order(), OrderOutcome::Fenced);
  CHECK_FALSE(f.grants.isGranted(f.now, 0, 5));
  f.now += Millis(5000);
  f.update();
  const auto orders = f.orders();
  REQUIRE(orders.size() == 1); // With the revision at which the log still shows the grant.
  CHECK(orders[0].token == 10);
  f.end(orders[0], OrderOutcome::Fenced);
  f.update();
  CHECK(f.orders().empty());
  ++f.revision;
  f.update();
  CHECK(f.order().token == 11);
}

TEST_CASE("a target's new process gets the new tokens only, and results of old calls are ignored")
{
  Fixture f;
  f.update();
  const TargetOrder old = f.order();
  f.grants.reset();
  for (auto& [partition, grant] : f.owned) {
    grant.token = 12;
  }
  f.revision = 12;
  f.update();
  f.end(old, OrderOutcome::Done);
  CHECK_FALSE(f.grants.isGranted(f.now, 0, 12));
  const TargetOrder order = f.order();
  CHECK(order.token == 12);
  f.end(order, OrderOutcome::Done);
  CHECK(f.grants.isGranted(f.now, 0, 12));
}

TEST_CASE("a partition that was never granted is released at once")
{
  Fixture f;
  f.beginMove(0);
  const auto released = f.grants.takeReleased(f.now);
  REQUIRE(released.size() == 1);
  CHECK(released[0].partition == 0);
}

TEST_CASE("a request that the target refuses brings the next grant forward")
{
  Fixture f;
  f.grantAll();
  f.grants.renewEarly(f.now, 2);
  CHECK(f.orders().empty());
  f.now += Millis(50);
  const TargetOrder order = f.order();
  CHECK(order.from <= 32768);
  CHECK(order.to >= 49151);
}

} // namespace camphorcleat::fleet
