// Tests that a group adds voters up to the configured number, replaces lost voters, and loses no
// acknowledged entry during membership changes.

#include <catch2/catch.hpp>

#include <algorithm>

#include "SimulatedGroup.h"

namespace camphorcleat::agreement::testing {
namespace {

LogNodeConfig joinConfig()
{
  LogNodeConfig config;
  config.voters = 5;
  config.snapshotEntries = 40;
  config.retainedEntries = 10;
  return config;
}

bool isVoter(SimulatedGroup& aGroup, NodeId aId)
{
  const auto& members = aGroup.node(aGroup.leader()).membership().members;
  return std::any_of(members.begin(), members.end(),
                     [aId](const wire::Member& aMember) { return aMember.id == aId; });
}

void proposeEntries(SimulatedGroup& aGroup, int aEntries)
{
  for (int i = 0; i < aEntries; ++i) {
    if (aGroup.leader() != kNoNode) {
      aGroup.propose(aGroup.leader(), "entry " + std::to_string(i));
    }
    aGroup.run(Millis(5));
  }
}

// Blocks and unblocks links, restarts nodes that are down, and lets a client use the leader.
void runRandomTurn(SimulatedGroup& aGroup, NodeId aNode, NodeId aNodes)
{
  if (aGroup.chance(0.1)) {
    aGroup.blockLink(aNode, static_cast<NodeId>(1 + aGroup.random()() % aNodes));
  }
  if (aGroup.chance(0.2)) {
    aGroup.unblockLinks();
  }
  for (NodeId it = 1; it <= aNodes; ++it) {
    if (!aGroup.isUp(it) && aGroup.chance(0.3)) {
      aGroup.restart(it);
    }
  }
  if (aGroup.leader() != kNoNode) {
    aGroup.propose(aGroup.leader());
    aGroup.read(aGroup.leader());
  }
  aGroup.run(Millis(20));
}

} // namespace

TEST_CASE("a group of three grows to five voters and not beyond")
{
  SimulatedGroup group(7, 3, joinConfig());
  for (const NodeId id : { 4U, 5U, 6U }) {
    group.addJoiner(id);
  }
  group.run(Millis(1500));
  proposeEntries(group, 300);
  REQUIRE(group.leader() != kNoNode);
  CHECK(group.node(group.leader()).membership().members.size() == 5);
  CHECK(group.violation().empty());
}

TEST_CASE("a node that joins late receives a snapshot and becomes a voter")
{
  SimulatedGroup group(8, 3, joinConfig());
  group.run(Millis(1500));
  proposeEntries(group, 200);
  group.addJoiner(4);
  proposeEntries(group, 300);
  CHECK(isVoter(group, 4));
  CHECK(group.node(4).appliedIndex() >= 200);
  CHECK(group.violation().empty());
}

TEST_CASE("a voter that crashed permanently is replaced by a joining node")
{
  SimulatedGroup group(9, 3, joinConfig());
  group.addJoiner(4);
  group.addJoiner(5);
  group.run(Millis(1500));
  proposeEntries(group, 200);
  const NodeId lost = group.leader() == 2 ? 3 : 2;
  group.crashPermanently(lost);
  group.addJoiner(6);
  proposeEntries(group, 1200);
  REQUIRE(group.leader() != kNoNode);
  CHECK(isVoter(group, 6));
  CHECK_FALSE(isVoter(group, lost));
  CHECK(group.violation().empty());
}

// Guards against a node that goes on asking a leader that is gone, so that it never becomes a voter
// and the group later loses its quorum with fewer disks than it tolerates (CONFIG, RECOVER).
TEST_CASE("nodes that replace the leader in turn become voters")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    SimulatedGroup group(seed, 5, joinConfig());
    group.run(Millis(1500));
    for (const NodeId successor : { 6U, 7U, 8U }) {
      const NodeId replaced = group.leader();
      REQUIRE(replaced != kNoNode);
      group.addJoiner(successor);
      proposeEntries(group, 100);
      group.crashPermanently(replaced);
      proposeEntries(group, 1200);
      REQUIRE(group.leader() != kNoNode);
      CHECK(isVoter(group, successor));
      CHECK_FALSE(isVoter(group, replaced));
    }
    // As many disks as a group of five tolerates.
    const NodeId leader = group.leader();
    int lost = 0;
    for (NodeId id = 8; id >= 1 && lost < 2; --id) {
      if (group.isUp(id) && id != leader) {
        group.loseDisk(id);
        group.restart(id);
        ++lost;
      }
    }
    group.crash(leader);
    group.restart(leader);
    proposeEntries(group, 600);
    CHECK(group.leader() != kNoNode);
    CHECK(group.violation().empty());
  }
}

// Guards against requests that are sent to a leader that is gone for as long as the node isn't a
// voter.
TEST_CASE("a node that isn't a voter forgets a leader that is silent")
{
  LogNodeConfig config = joinConfig();
  config.voters = 3;
  SimulatedGroup group(11, 3, config);
  group.addJoiner(4);
  group.run(Millis(1500));
  proposeEntries(group, 20);
  const NodeId leader = group.leader();
  REQUIRE(group.node(4).leader() == leader);
  for (const NodeId id : { 1U, 2U, 3U }) {
    group.blockLink(id, 4);
  }
  group.run(Millis(600));
  CHECK(group.node(4).leader() == kNoNode);
}

// Guards against a group that is one voter short after a planned stop, although the node that takes
// the place of the stopped one has caught up (CONFIG, RECOVER).
TEST_CASE("a node that has caught up takes the place of a voter that stops at once")
{
  const bool isLeaderStopped = GENERATE(true, false);
  CAPTURE(isLeaderStopped);
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    SimulatedGroup group(seed, 5, joinConfig());
    group.run(Millis(1500));
    group.addJoiner(6);
    proposeEntries(group, 100);
    const NodeId leader = group.leader();
    const NodeId stopped = isLeaderStopped ? leader : leader % 5 + 1;
    group.step(stopped, StopRequested{});
    group.run(Millis(200));
    group.crashPermanently(stopped);
    int lost = 0;
    for (NodeId id = 1; id <= 5 && lost < 2; ++id) {
      if (group.isUp(id)) {
        group.loseDisk(id);
        ++lost;
      }
    }
    proposeEntries(group, 600);
    REQUIRE(group.leader() != kNoNode);
    CHECK(isVoter(group, 6));
    CHECK(group.violation().empty());
  }
}

TEST_CASE("a voter that is restarted keeps its vote if no other node can take its place")
{
  SimulatedGroup group(12, 3, joinConfig());
  group.run(Millis(1500));
  const NodeId stopped = group.leader();
  group.step(stopped, StopRequested{});
  group.run(Millis(200));
  CHECK(group.leader() != stopped);
  group.crash(stopped);
  group.restart(stopped);
  proposeEntries(group, 300);
  REQUIRE(group.leader() != kNoNode);
  CHECK(isVoter(group, stopped));
  CHECK(group.violation().empty());
}

TEST_CASE("planned stops and crashes of a group with spare nodes violate no invariant")
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    Faults faults;
    faults.drop = 0.02;
    faults.duplicate = 0.05;
    faults.maxDelay = Millis(20);
    SimulatedGroup group(seed, 3, joinConfig(), faults);
    for (const NodeId id : { 4U, 5U, 6U, 7U }) {
      group.addJoiner(id);
    }
    group.run(Millis(2500));
    for (int turn = 0; turn < 200 && group.violation().empty(); ++turn) {
      const NodeId id = static_cast<NodeId>(1 + group.random()() % 7);
      if (group.isUp(id) && group.chance(0.2)) {
        group.step(id, StopRequested{});
        group.run(Millis(static_cast<Millis::rep>(group.random()() % 100)));
        group.crash(id);
      }
      runRandomTurn(group, id, 7);
    }
    REQUIRE_THAT(group.violation(), Catch::Matchers::Equals(std::string()));
    group.unblockLinks();
    for (NodeId it = 1; it <= 7; ++it) {
      if (!group.isUp(it)) {
        group.restart(it);
      }
    }
    group.setFaults(Faults());
    proposeEntries(group, 800);
    CHECK(group.leader() != kNoNode);
  }
}

TEST_CASE("random faults during membership changes violate no invariant")
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    Faults faults;
    faults.drop = 0.02;
    faults.duplicate = 0.05;
    faults.maxDelay = Millis(20);
    SimulatedGroup group(seed, 3, joinConfig(), faults);
    group.addJoiner(4);
    group.addJoiner(5);
    group.run(Millis(2500));
    for (int turn = 0; turn < 150 && group.violation().empty(); ++turn) {
      const NodeId id = static_cast<NodeId>(1 + group.random()() % 5);
      if (group.chance(0.1)) {
        group.crash(id);
      }
      runRandomTurn(group, id, 5);
    }
    REQUIRE_THAT(group.violation(), Catch::Matchers::Equals(std::string()));
  }
}

} // namespace camphorcleat::agreement::testing
