// Guards against daemons that miss changes and against messages of unbounded size.

#include <catch2/catch.hpp>

#include "FleetFixtures.h"
#include "fleet/ViewHistory.h"

namespace camphorcleat::fleet {
namespace {

wire::Change zoneChange(const std::string& aName)
{
  return wire::ZoneSet{ wire::Zone{ aName, false } };
}

TEST_CASE("an update contains exactly the changes after its start, in order")
{
  ViewHistory history;
  history.add(3, { zoneChange("a") });
  history.add(4, {});
  history.add(5, { zoneChange("b"), zoneChange("c") });
  const auto update = history.updateSince(3);
  REQUIRE(update);
  CHECK(update->from == 3);
  CHECK(update->to == 5);
  REQUIRE(update->changes.size() == 2);
  CHECK(std::get<wire::ZoneSet>(update->changes[0]).zone.name == "b");
  CHECK(std::get<wire::ZoneSet>(update->changes[1]).zone.name == "c");
  CHECK(update->revisions == std::vector<Revision>{ 5, 5 });
}

// Guards against an update that exceeds the size of a message and so never arrives.
TEST_CASE("an update never contains several large configurations")
{
  wire::ConfigurationChanged large;
  large.next.routes.resize(5000);
  ViewHistory history;
  history.add(1, { zoneChange("a") });
  history.add(2, { large });
  CHECK(history.updateSince(1));
  history.add(3, { wire::ConfigurationChanged() });
  CHECK(history.updateSince(1));
  history.add(4, { large });
  CHECK_FALSE(history.updateSince(1));
  CHECK(history.updateSince(2));
}

TEST_CASE("an entry without changes advances the revision, so that daemons can be confirmed")
{
  ViewHistory history;
  history.add(3, { zoneChange("a") });
  history.add(4, {});
  const auto update = history.updateSince(3);
  REQUIRE(update);
  CHECK(update->to == 4);
  CHECK(update->changes.empty());
}

TEST_CASE("a daemon without a view, or with a revision newer than the history, gets no update")
{
  ViewHistory history;
  history.add(3, { zoneChange("a") });
  CHECK_FALSE(history.updateSince(0));
  CHECK_FALSE(history.updateSince(4));
  CHECK(history.updateSince(3));
}

TEST_CASE("a snapshot clears the history")
{
  ViewHistory history;
  history.add(3, { zoneChange("a") });
  history.reset(10);
  CHECK(history.revision() == 10);
  CHECK_FALSE(history.updateSince(9));
  history.add(11, { zoneChange("b") });
  REQUIRE(history.updateSince(10));
  CHECK(history.updateSince(10)->changes.size() == 1);
}

TEST_CASE("the history drops its oldest revisions at the limit and returns no update for them")
{
  ViewHistory history;
  for (Revision i = 1; i <= 5000; ++i) {
    history.add(i, { zoneChange("a") });
  }
  CHECK_FALSE(history.updateSince(5000 - 4097));
  REQUIRE(history.updateSince(5000 - 4096));
  CHECK(history.updateSince(5000 - 4096)->changes.size() == 4096);
}

TEST_CASE("large revisions are dropped according to their number of changes")
{
  ViewHistory history;
  const std::vector<wire::Change> changes(30000, zoneChange("a"));
  for (Revision i = 1; i <= 3; ++i) {
    history.add(i, changes);
  }
  // Revision 1 was dropped, so an update may start at it but not before it.
  REQUIRE(history.updateSince(1));
  CHECK(history.updateSince(1)->changes.size() == 60000);
  history.add(4, changes);
  CHECK_FALSE(history.updateSince(1));
  CHECK(history.updateSince(2));
}

// Guards against control members that exceed their memory as versions of a large configuration
// come (Fault, review/13).
TEST_CASE("the history keeps a bounded amount of the configurations' content")
{
  const bool renamesAll = GENERATE(false, true);
  CAPTURE(renamesAll);
  constexpr std::size_t kLimit = 8U << 20U;
  const std::string name(60, 'r');
  ViewHistory history;
  for (Revision i = 1; i <= 200; ++i) {
    wire::ConfigurationChanged change;
    change.next.routes.resize(1000);
    for (auto& it : change.next.routes) {
      it.name = name;
    }
    if (renamesAll) {
      change.removedRoutes.resize(1000);
      for (auto& it : change.removedRoutes) {
        it.pathPrefix = name;
      }
    }
    history.add(i, { change });
    CHECK(history.contentBytes() <= kLimit);
  }
  CHECK(history.contentBytes() > kLimit / 2);
  CHECK_FALSE(history.updateSince(1));
  REQUIRE(history.updateSince(199));
  CHECK(history.updateSince(199)->changes.size() == 1);
  history.reset(300);
  CHECK(history.contentBytes() == 0);
}

TEST_CASE("snapshot parts are bounded in size and build the same model")
{
  Member member;
  member.system(wire::CreateFleet{ 40000 });
  member.apply(operatorCommand("set-up", { wire::CreateService{ { "lookup", true, {} } } }));
  for (NodeId id = 1; id <= 40; ++id) {
    member.system(wire::RegisterNode{ nodeOf(id, 100 + id) });
  }
  for (NodeId id = 1; id <= 2; ++id) {
    std::vector<PartitionId> half;
    for (PartitionId i = id - 1; i < 40000; i += 2) {
      half.push_back(i);
    }
    member.system(wire::AssignPartitions{ "lookup", id, 100 + id, half });
  }
  const auto parts = snapshotParts(member.state.model(), member.state.revision());
  REQUIRE(parts.size() > 1);
  FleetModel rebuilt;
  for (std::uint32_t i = 0; i < parts.size(); ++i) {
    CHECK(parts[i].part == i);
    CHECK(parts[i].partCount == parts.size());
    CHECK(parts[i].revision == member.state.revision());
    CHECK(wire::encodeChanges(parts[i].changes).size() <= (256U << 10U));
    for (const auto& it : parts[i].changes) {
      rebuilt.apply(it);
    }
  }
  CHECK(bytesOf(rebuilt) == bytesOf(member.state.model()));
}

TEST_CASE("an empty model is sent as one part, which differs from having no view")
{
  CHECK(snapshotParts(FleetModel(), 1).size() == 1);
}

} // namespace
} // namespace camphorcleat::fleet
