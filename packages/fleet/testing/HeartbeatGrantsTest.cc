// Guards against keys that are released while a target may still run work for them.

#include <catch2/catch.hpp>

#include "FleetFixtures.h"
#include "fleet/HeartbeatGrants.h"

namespace camphorcleat::fleet {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

// Four partitions of 16,384 keys each, all owned by node 1 under token 5.
struct Fixture
{
  FleetModel model;
  HeartbeatGrants grants{ Millis(10'000) };
  std::map<PartitionId, wire::PartitionGrant> owned;
  TimePoint now = kStart;
  TimePoint leaseEnd = kStart + Millis(60'000);

  Fixture()
  {
    model.apply(wire::FleetCreated{ 4 });
    for (PartitionId i = 0; i < 4; ++i) {
      owned[i] = wire::PartitionGrant{ 1, 11, 5, kNoNode };
    }
  }

  GrantResponse sendHeartbeat(const HeartbeatRanges& aReported)
  {
    return grants.heartbeat(now, model, aReported, owned, leaseEnd);
  }
};

const HeartbeatRanges kNothing;
const HeartbeatRanges kAll{ { { 0, 65535, 5 } }, {} };
const HeartbeatRanges kAllButFirst{ { { 16384, 65535, 5 } }, { { 0, 16383, "seal" } } };

} // namespace

TEST_CASE(
  "adjacent partitions with one token are granted as one range, for no longer than the lease")
{
  Fixture f;
  f.leaseEnd = f.now + Millis(5100);
  const GrantResponse response = f.sendHeartbeat(kNothing);
  REQUIRE(response.granted.size() == 1);
  CHECK(response.granted[0].from == 0);
  CHECK(response.granted[0].to == 65535);
  CHECK(response.granted[0].token == 5);
  CHECK(response.length == Millis(5000)); // With a clock 2 % slow the grant ends with the lease.
  CHECK(f.grants.isGranted(f.now, 2, 5));
  CHECK_FALSE(f.grants.isGranted(f.now, 2, 6));
  CHECK_FALSE(f.grants.isGranted(f.leaseEnd, 2, 5));
}

TEST_CASE("without a lease nothing is granted or renewed")
{
  Fixture f;
  f.leaseEnd = f.now;
  CHECK(f.sendHeartbeat(kNothing).length == Millis(0));
  CHECK_FALSE(f.grants.isGranted(f.now, 0, 5));
}

TEST_CASE("a moving partition is released when the target reports it, with its handover")
{
  Fixture f;
  f.sendHeartbeat(kNothing);
  f.owned[0].movingTo = 2;
  CHECK(f.grants.isGranted(f.now, 0, 5)); // Until the response to the next heartbeat.
  f.now += Millis(500);
  CHECK(f.sendHeartbeat(kAll).granted[0].from == 16384);
  CHECK_FALSE(f.grants.isGranted(f.now, 0, 5));
  CHECK(f.grants.takeReleased(f.now).empty()); // The target may still run work for these keys.
  f.now += Millis(100);
  f.sendHeartbeat(kAll);
  CHECK(f.grants.takeReleased(f.now).empty());
  f.now += Millis(100);
  f.sendHeartbeat(kAllButFirst);
  const auto released = f.grants.takeReleased(f.now);
  REQUIRE(released.size() == 1);
  CHECK(released[0].partition == 0);
  CHECK(released[0].token == 5);
  CHECK(released[0].handover == "seal");
}

TEST_CASE("without a report keys are released only when the grant expired by the slowest clock")
{
  Fixture f;
  const GrantResponse response = f.sendHeartbeat(kNothing);
  f.owned[0].movingTo = 2;
  f.now += Millis(500);
  f.sendHeartbeat(kAll);
  f.now = kStart + response.length;
  CHECK(f.grants.takeReleased(f.now).empty());
  f.now = kStart + fromSeconds(toSeconds(response.length) * 1.02);
  CHECK(f.grants.takeReleased(f.now).size() == 1);
}

TEST_CASE("a restarted daemon waits for the end of grants that an earlier process sent")
{
  Fixture f;
  f.owned[0].movingTo = 2;
  f.owned[1].movingTo = 2;
  f.sendHeartbeat({ { { 0, 16383, 5 }, { 32768, 65535, 5 } }, {} });
  auto released = f.grants.takeReleased(f.now);
  REQUIRE(released.size() == 1); // The target doesn't report the second partition.
  CHECK(released[0].partition == 1);
  f.now += Millis(10'100);
  CHECK(f.grants.takeReleased(f.now).empty());
  f.now += Millis(100);
  CHECK(f.grants.takeReleased(f.now).size() == 1);
}

// Guards against two targets that serve one key: the response with the grant may still be in
// transit to the old target when a heartbeat that does not list the partition arrives.
TEST_CASE("a partition that the target hasn't reported yet is not released")
{
  Fixture f;
  f.sendHeartbeat(kNothing);
  f.owned[0].movingTo = 2;
  f.now += Millis(100);
  f.sendHeartbeat(kNothing);
  CHECK(f.grants.takeReleased(f.now).empty());
  f.now += Millis(100);
  f.sendHeartbeat(kAll); // The target has received the first response and its grant.
  CHECK(f.grants.takeReleased(f.now).empty());
  f.now += Millis(100);
  f.sendHeartbeat(kAllButFirst);
  CHECK(f.grants.takeReleased(f.now).size() == 1);
}

} // namespace camphorcleat::fleet
