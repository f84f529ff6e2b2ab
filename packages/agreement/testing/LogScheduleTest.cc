// Tests for split brain, loss of acknowledged entries and stale reads under random faults.
//
// The seed determines the schedule. CAMPHORCLEAT_SEED=<n> runs only the schedule with this seed;
// CAMPHORCLEAT_SCHEDULES=<n> runs n schedules of each kind.

#include <cstdlib>

#include <catch2/catch.hpp>

#include "agreement/testing/SimulatedGroup.h"

namespace camphorcleat::agreement::testing {
namespace {

struct Schedule
{
  NodeId members = 3;
  double drop = 0.05;
  Millis maxSync{ 15 };
  Faults broken = {}; ///< Only the faults that violate an assumption of the protocol.
  bool fillsDisks = false;
};

LogNodeConfig scheduleConfig()
{
  LogNodeConfig config;
  config.snapshotEntries = 40;
  config.retainedEntries = 10;
  return config;
}

NodeId anyMember(SimulatedGroup& aGroup, const Schedule& aSchedule)
{
  return std::uniform_int_distribution<NodeId>(1, aSchedule.members)(aGroup.random());
}

// Crashes several members at once while they have many unsynced writes.
void crashSeveral(SimulatedGroup& aGroup, const Schedule& aSchedule)
{
  for (NodeId id = 1; id <= aSchedule.members; ++id) {
    aGroup.propose(id, "during the power cut");
  }
  aGroup.run(Millis(std::uniform_int_distribution<int>(1, 60)(aGroup.random())));
  for (NodeId id = 1; id <= aSchedule.members; ++id) {
    if (aGroup.chance(0.7)) {
      aGroup.crash(id);
      aGroup.restart(id);
    }
  }
}

void injectFault(SimulatedGroup& aGroup, const Schedule& aSchedule)
{
  const NodeId id = anyMember(aGroup, aSchedule);
  const double draw = std::uniform_real_distribution<double>(0, 1)(aGroup.random());
  // If a lost disk keeps its store id, its replacement can't be detected, so all losses are
  // counted.
  const std::size_t lost =
    aSchedule.broken.keepsStoreId ? aGroup.disksLost() : aGroup.unconfirmedStores();
  const std::size_t tolerated = (aSchedule.members - 1) / 2;
  if (draw < 0.20) {
    aGroup.isUp(id) ? aGroup.crash(id) : aGroup.restart(id);
  } else if (draw < 0.35) {
    crashSeveral(aGroup, aSchedule);
  } else if (draw < 0.50) {
    aGroup.blockLink(id, anyMember(aGroup, aSchedule));
  } else if (draw < 0.70) {
    aGroup.unblockLinks();
  } else if (draw < 0.76) {
    aGroup.step(id, TransferRequested{});
  } else if (draw < 0.84) {
    aGroup.pause(id, Millis(50 + static_cast<int>(draw * 1e5) % 1000));
  } else if (draw < 0.93 && lost < tolerated) {
    aGroup.loseDisk(id);
  } else if (!aGroup.isUp(id)) {
    aGroup.restart(id);
  }
}

// Sends proposals and reads and injects faults for some seconds of simulated time. Stops at the
// first violation.
void runWithFaults(SimulatedGroup& aGroup, const Schedule& aSchedule)
{
  for (int turn = 0; turn < 400 && aGroup.violation().empty(); ++turn) {
    const NodeId id = anyMember(aGroup, aSchedule);
    const NodeId leader = aGroup.leader();
    const NodeId at = leader != kNoNode && aGroup.chance(0.8) ? leader : id;
    aGroup.propose(at, "entry " + std::to_string(turn));
    aGroup.read(aGroup.chance(0.5) ? at : id);
    if (aGroup.chance(0.20)) {
      injectFault(aGroup, aSchedule);
    }
    if (aSchedule.fillsDisks && aGroup.chance(0.05)) {
      aGroup.fillDisk(anyMember(aGroup, aSchedule), Millis(20 * (turn % 50)));
    }
    aGroup.run(Millis(1 + turn % 20));
  }
}

void recoverAll(SimulatedGroup& aGroup, const Schedule& aSchedule)
{
  aGroup.unblockLinks();
  aGroup.setFaults(Faults());
  for (NodeId id = 1; id <= aSchedule.members; ++id) {
    if (!aGroup.isUp(id)) {
      aGroup.restart(id);
    }
  }
  aGroup.run(Millis(4000));
}

Faults scheduleFaults(const Schedule& aSchedule)
{
  Faults faults = aSchedule.broken;
  faults.drop = aSchedule.drop;
  faults.duplicate = 0.05;
  faults.maxDelay = Millis(40);
  faults.maxSync = aSchedule.maxSync;
  return faults;
}

void check(std::uint64_t aSeed, const Schedule& aSchedule, const std::string& aTest)
{
  INFO("repeat with: CAMPHORCLEAT_SEED=" << aSeed << " build/testing/agreement_test '" << aTest
                                         << "'");
  SimulatedGroup group(aSeed, aSchedule.members, scheduleConfig(), scheduleFaults(aSchedule));
  group.run(Millis(1500));
  runWithFaults(group, aSchedule);
  REQUIRE_THAT(group.violation(), Catch::Matchers::Equals(std::string()));
  recoverAll(group, aSchedule);
  const NodeId leader = group.leader();
  INFO(group.describe());
  REQUIRE(leader != kNoNode);
  const LogIndex before = group.newestAcknowledged();
  group.propose(leader);
  group.read(leader);
  group.run(Millis(300));
  REQUIRE_THAT(group.violation(), Catch::Matchers::Equals(std::string()));
  CHECK(group.newestAcknowledged() > before);
  CHECK(group.unconfirmedStores() == 0);
  for (NodeId id = 1; id <= aSchedule.members; ++id) {
    CHECK(group.node(id).appliedIndex() == group.node(leader).appliedIndex());
  }
}

void checkSeeds(std::uint64_t aFirst, std::uint64_t aCount, const Schedule& aSchedule,
                const std::string& aTest)
{
  if (const char* seed = std::getenv("CAMPHORCLEAT_SEED")) {
    check(std::strtoull(seed, nullptr, 10), aSchedule, aTest);
    return;
  }
  const char* wanted = std::getenv("CAMPHORCLEAT_SCHEDULES");
  const std::uint64_t count = wanted != nullptr ? std::strtoull(wanted, nullptr, 10) : aCount;
  for (std::uint64_t seed = aFirst; seed < aFirst + count; ++seed) {
    check(seed, aSchedule, aTest);
  }
}

// Returns the number of schedules out of 200 in which the checks report the expected violation.
std::size_t violations(const Schedule& aSchedule, const std::string& aExpected)
{
  std::size_t count = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SimulatedGroup group(seed, aSchedule.members, scheduleConfig(), scheduleFaults(aSchedule));
    group.run(Millis(1500));
    runWithFaults(group, aSchedule);
    count += group.violation().find(aExpected) != std::string::npos ? 1 : 0;
  }
  return count;
}

} // namespace

TEST_CASE("Random faults do not break a group of three")
{
  checkSeeds(1000, 300, Schedule{ 3, 0.05, Millis(15) },
             "Random faults do not break a group of three");
}

TEST_CASE("Random faults and slow disks do not break a group of three")
{
  checkSeeds(3000, 300, Schedule{ 3, 0.01, Millis(150) },
             "Random faults and slow disks do not break a group of three");
}

TEST_CASE("Random faults do not break a group of five")
{
  checkSeeds(2000, 300, Schedule{ 5, 0.08, Millis(40) },
             "Random faults do not break a group of five");
}

TEST_CASE("Random faults and full disks do not break a group of five")
{
  Schedule schedule{ 5, 0.05, Millis(40) };
  schedule.fillsDisks = true;
  checkSeeds(4000, 300, schedule, "Random faults and full disks do not break a group of five");
}

// Guards against a member that never writes again after its disk was full: once that has happened
// to a majority, one after another, the group has no leader although all members run.
TEST_CASE("A group commits proposals after the disks of all members were full in turn")
{
  constexpr NodeId kMembers = 5;
  constexpr Millis kFull{ 3500 };
  constexpr Millis kPause{ 700 };
  constexpr Millis kProposalInterval{ 100 };
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedGroup group(seed, kMembers, scheduleConfig());
    group.run(Millis(1500));
    for (NodeId id = 1; id <= kMembers; ++id) {
      INFO("disk of member " << id);
      const LogIndex before = group.newestAcknowledged();
      group.fillDisk(id, kFull);
      for (Millis t{ 0 }; t < kFull + kPause; t += kProposalInterval) {
        if (group.leader() != kNoNode) {
          group.propose(group.leader());
        }
        group.run(kProposalInterval);
      }
      REQUIRE_THAT(group.violation(), Catch::Matchers::Equals(std::string()));
      // At most a second of the proposals may meet an election or a transfer of the leadership.
      CHECK(group.newestAcknowledged() >=
            before + (kFull + kPause - Millis(1000)) / kProposalInterval);
    }
    for (NodeId id = 1; id <= kMembers; ++id) {
      CHECK(group.node(id).appliedIndex() == group.newestAcknowledged());
    }
  }
}

TEST_CASE("The checks detect a disk that acknowledges before it syncs")
{
  Schedule schedule;
  schedule.broken.acknowledgesBeforeSync = true;
  CHECK(violations(schedule, "logs disagree") > 0);
  CHECK(violations(schedule, "two leaders in term") > 0);
}

TEST_CASE("The checks detect a lost disk that returns with the old store id")
{
  Schedule schedule;
  schedule.broken.keepsStoreId = true;
  CHECK(violations(schedule, "logs disagree") > 0);
}

} // namespace camphorcleat::agreement::testing
