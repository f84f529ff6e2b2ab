// Guards against a control member that can't answer for seconds after a restart (CONFIG), because a
// restart costs what was ever written instead of what is in force.

#include <catch2/catch.hpp>

#include "fleet/ReplayCost.h"

namespace camphorcleat::fleet {
namespace {

std::size_t entriesUntilSnapshot(std::size_t aEntryBytes, std::size_t aSnapshotBytes)
{
  ReplayCost cost;
  cost.reset(aSnapshotBytes);
  std::size_t out = 0;
  while (!cost.isSnapshotDue()) {
    cost.add(aEntryBytes);
    ++out;
  }
  return out;
}

TEST_CASE("a snapshot is due after few large or many small entries")
{
  CHECK(entriesUntilSnapshot(200'000, 250'000) <= 3);
  CHECK(entriesUntilSnapshot(100, 0) >= 1000);
  CHECK(entriesUntilSnapshot(100, 0) <= 4096);
}

TEST_CASE("snapshots cost no more than the entries that they replace")
{
  constexpr std::size_t kSnapshotBytes = 16U << 20U;
  CHECK(entriesUntilSnapshot(1000, kSnapshotBytes) * 2000 >= kSnapshotBytes);
}

} // namespace
} // namespace camphorcleat::fleet
