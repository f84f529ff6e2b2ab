#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

#include "agreement/JoinSchedule.h"

namespace camphorcleat::agreement::testing {
namespace {

constexpr NodeId kSelf = 9;

// The nodes that are asked within aRounds intervals, none of which replies.
std::set<NodeId> askedNodes(JoinSchedule& aSchedule, TimePoint& aNow, int aRounds,
                            const std::vector<NodeId>& aMembers)
{
  std::set<NodeId> out;
  for (int i = 0; i < aRounds; ++i) {
    aNow += kJoinRequestInterval;
    const NodeId to = aSchedule.next(aNow, kNoNode, aMembers);
    if (to != kNoNode) {
      out.insert(to);
    }
  }
  return out;
}

} // namespace

TEST_CASE("a node that isn't a member asks the leader, and all known nodes if it knows none")
{
  JoinSchedule schedule(kSelf, { 1, 2, kSelf, 3 });
  TimePoint now(kJoinRequestInterval);
  CHECK(schedule.next(now, 2, {}) == 2);
  CHECK(schedule.next(now, 2, {}) == kNoNode);
  CHECK(askedNodes(schedule, now, 4, {}) == std::set<NodeId>{ 1, 2, 3 });
}

TEST_CASE("a member asks only if it has known no leader for some time")
{
  JoinSchedule schedule(kSelf, { 1 });
  TimePoint now(Millis(10'000));
  CHECK(schedule.next(now, 2, { 1, kSelf }) == kNoNode);
  now += kLeaderlessTimeout - Millis(1);
  CHECK(schedule.next(now, kNoNode, { 1, kSelf }) == kNoNode);
  now += Millis(1);
  CHECK(schedule.next(now, kNoNode, { 1, kSelf }) == 1);
}

// Guards against join requests that follow hints in a circle, as fast as the network carries them,
// while members name leaders that are gone.
TEST_CASE("one hint is followed in each interval")
{
  JoinSchedule schedule(kSelf, { 1, 2 });
  TimePoint now(kJoinRequestInterval);
  REQUIRE(schedule.next(now, kNoNode, {}) == 1);
  CHECK(schedule.onReply(1, 2, { 1, 2 }, kNoNode) == 2);
  CHECK(schedule.onReply(2, 1, { 1, 2 }, kNoNode) == kNoNode);
  now += kJoinRequestInterval;
  REQUIRE(schedule.next(now, kNoNode, {}) != kNoNode);
  CHECK(schedule.onReply(2, 1, { 1, 2 }, kNoNode) == 1);
}

// Guards against a node that asks only the nodes of its settings after all of them were replaced.
TEST_CASE("the members named by the node's own log are asked too")
{
  JoinSchedule schedule(kSelf, { 1, 2, 3 });
  TimePoint now(kJoinRequestInterval);
  const auto asked = askedNodes(schedule, now, 6, { 4, 5, 6 });
  CHECK(asked == std::set<NodeId>{ 1, 2, 3, 4, 5, 6 });
}

// Guards against a list that is full of nodes that are gone, so that the present members aren't
// remembered.
TEST_CASE("members that replaced others many times are known")
{
  JoinSchedule schedule(kSelf, { 1, 2, 3 });
  TimePoint now(kJoinRequestInterval);
  for (NodeId id = 100; id < 140; ++id) {
    schedule.next(now, kNoNode, {});
    schedule.onReply(1, kNoNode, { id, id + 1, id + 2 }, kNoNode);
    now += kJoinRequestInterval;
  }
  const auto asked = askedNodes(schedule, now, 2 * static_cast<int>(kMaxKnownNodes), {});
  for (const NodeId it : { 1U, 2U, 3U, 139U, 140U, 141U }) {
    INFO("node " << it);
    CHECK(asked.count(it) == 1);
  }
}

} // namespace camphorcleat::agreement::testing
