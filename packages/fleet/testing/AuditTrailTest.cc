// Guards against audit records that are lost, duplicated by a replay of the log, or unreadable
// after a crash, and against a trail that grows without bound.

#include <csignal>
#include <ctime>
#include <fstream>

#include <catch2/catch.hpp>
#include <sys/resource.h>

#include <QTemporaryDir>

#include "FleetFixtures.h"
#include "fleet/AuditTrail.h"

namespace camphorcleat::fleet {
namespace {

AuditRecord recordOf(Revision aRevision, const std::string& aObject)
{
  AuditRecord out;
  out.revision = aRevision;
  out.issuer = "ana";
  out.kind = "set_zone";
  out.object = aObject;
  return out;
}

struct TrailFolder
{
  QTemporaryDir folder;
  std::string path = folder.filePath("audit.jsonl").toStdString();
  std::size_t maxBytes = 65536;

  AuditTrail open() const { return AuditTrail::open(path, maxBytes).value(); }
  std::size_t sizeOf(const std::string& aSuffix) const
  {
    std::ifstream file(path + aSuffix, std::ios::ate);
    return file ? static_cast<std::size_t>(file.tellg()) : 0;
  }
  void append(const std::string& aText) const { std::ofstream(path, std::ios::app) << aText; }
};

Duration processorTime()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

// Writes records of successive revisions until the file has this size. Returns the next revision.
Revision writeRecords(const std::string& aPath, Revision aFirst, std::size_t aBytes)
{
  std::ofstream file(aPath, std::ios::binary);
  const std::string first = toJson(recordOf(1, "partitions/lookup/node/1"));
  const std::string number = "\"revision\":1";
  const std::size_t at = first.find(number);
  REQUIRE(at != std::string::npos);
  Revision revision = aFirst;
  for (std::size_t n = 0; n < aBytes; ++revision) {
    const std::string line = first.substr(0, at) + "\"revision\":" + std::to_string(revision) +
                             first.substr(at + number.size()) + "\n";
    file << line;
    n += line.size();
  }
  return revision;
}

std::vector<Revision> revisionsOf(const AuditTrail& aTrail, const AuditFilter& aFilter = {})
{
  std::vector<Revision> out;
  const auto found = aTrail.search(aFilter).value();
  out.reserve(found.size());
  for (const auto& it : found) {
    out.push_back(it.revision);
  }
  return out;
}

} // namespace

TEST_CASE("records survive a restart and are not duplicated by a replay")
{
  TrailFolder folder;
  {
    AuditTrail trail = folder.open();
    REQUIRE(trail.append({ recordOf(1, "zone/a"), recordOf(2, "zone/b"), recordOf(2, "zone/c") }));
  }
  AuditTrail trail = folder.open();
  REQUIRE(trail.append({ recordOf(1, "zone/a") }));
  REQUIRE(trail.append({ recordOf(2, "zone/b"), recordOf(2, "zone/c") }));
  REQUIRE(trail.append({ recordOf(3, "zone/d") }));
  REQUIRE(revisionsOf(trail) == std::vector<Revision>{ 1, 2, 2, 3 });
}

TEST_CASE("an incomplete line after a crash is truncated and written again by the replay")
{
  TrailFolder folder;
  REQUIRE(folder.open().append({ recordOf(1, "zone/a"), recordOf(2, "zone/b") }));
  folder.append(toJson(recordOf(2, "zone/c")).substr(0, 30));
  AuditTrail trail = folder.open();
  REQUIRE(trail.append({ recordOf(2, "zone/b"), recordOf(2, "zone/c") }));
  REQUIRE(revisionsOf(trail) == std::vector<Revision>{ 1, 2, 2 });
  REQUIRE(trail.search({ "zone/c", 0, 10 }).value().size() == 1);
}

TEST_CASE("the trail stays within its size limit and keeps its latest records")
{
  TrailFolder folder;
  AuditTrail trail = folder.open();
  for (Revision i = 1; i <= 2000;
       i += 4) { // Each append syncs, so four records per append make the test faster.
    std::vector<AuditRecord> records;
    for (Revision n = i; n < i + 4; ++n) {
      records.push_back(recordOf(n, "zone/" + std::to_string(n)));
    }
    REQUIRE(trail.append(records));
  }
  REQUIRE(folder.sizeOf("") + folder.sizeOf(".1") <= folder.maxBytes);
  const auto all = revisionsOf(trail, { "", 0, 100000 });
  REQUIRE(all.back() == 2000);
  REQUIRE(all.size() > 100);
  REQUIRE(all.size() == 2000 - all.front() + 1); // No records are missing between the files.
  REQUIRE(revisionsOf(trail, { "", 0, 2 }) == std::vector<Revision>{ 1999, 2000 });
  REQUIRE(revisionsOf(trail, { "zone/1999", 0, 10 }) == std::vector<Revision>{ 1999 });
  REQUIRE(revisionsOf(folder.open(), { "", 1998, 10 }) ==
          std::vector<Revision>{ 1998, 1999, 2000 });
}

// Guards against a gap in the trail after the disk was full.
TEST_CASE("records that could not be written are written once the disk has room")
{
  TrailFolder folder;
  AuditTrail trail = folder.open();
  REQUIRE(trail.append({ recordOf(1, "zone/a") }));
  const auto handler = std::signal(SIGXFSZ, SIG_IGN);
  rlimit limit{};
  ::getrlimit(RLIMIT_FSIZE, &limit);
  const rlimit small{ folder.sizeOf("") + 10, limit.rlim_max };
  ::setrlimit(RLIMIT_FSIZE, &small);
  const bool isSecondWritten = static_cast<bool>(trail.append({ recordOf(2, "zone/b") }));
  const bool isThirdWritten = static_cast<bool>(trail.append({ recordOf(3, "zone/c") }));
  ::setrlimit(RLIMIT_FSIZE, &limit);
  std::signal(SIGXFSZ, handler);
  CHECK_FALSE(isSecondWritten);
  CHECK_FALSE(isThirdWritten);
  CHECK(trail.append({ recordOf(4, "zone/d"), recordOf(4, "zone/e") }));
  CHECK(revisionsOf(trail) == std::vector<Revision>{ 1, 2, 3, 4, 4 });
  AuditTrail reopened = folder.open();
  CHECK(reopened.append({ recordOf(4, "zone/d"), recordOf(4, "zone/e"), recordOf(4, "zone/f") }));
  CHECK(revisionsOf(reopened) == std::vector<Revision>{ 1, 2, 3, 4, 4, 4 });
}

// Guards against control members that answer nothing for seconds after a restart (CONFIG), because
// they read their whole trail before they start.
TEST_CASE("a trail at its size limit is opened in a part of the time in which a group answers")
{
  // A group answers within contact_s. The smallest control members have 0.3 of a core.
  constexpr Millis kContact{ 3000 };
  constexpr double kCoreShare = 0.3;
  TrailFolder folder;
  folder.maxBytes = 64U << 20U; // The default of audit_max_bytes.
  const Revision middle = writeRecords(folder.path + ".1", 1, folder.maxBytes / 2 - 1024);
  const Revision end = writeRecords(folder.path, middle, folder.maxBytes / 2 - 1024);
  const Duration before = processorTime();
  AuditTrail trail = folder.open();
  const Duration used = processorTime() - before;
  CHECK(trail.append({ recordOf(end - 1, "zone/a"), recordOf(end, "zone/b") }));
  CHECK(revisionsOf(trail, { "zone/", 0, 10 }) == std::vector<Revision>{ end });
  INFO("processor time " << toMillis(used) << " ms for " << end << " records");
  CHECK(used < kCoreShare * kContact);
}

// Guards against records of one command that are written twice or not at all, if they exceed what a
// start reads first.
TEST_CASE("a replay of a command with many records completes them")
{
  TrailFolder folder;
  folder.maxBytes = 8U << 20U;
  const std::vector<AuditRecord> records(2000, recordOf(2, "zone/b"));
  REQUIRE(folder.open().append({ recordOf(1, "zone/a") }));
  REQUIRE(folder.open().append({ records.begin(), records.end() - 1 }));
  AuditTrail trail = folder.open();
  REQUIRE(trail.append(records));
  REQUIRE(revisionsOf(trail, { "zone/b", 0, 10000 }).size() == records.size());
}

TEST_CASE("corrupt records and missing directories give typed errors")
{
  TrailFolder folder;
  REQUIRE(folder.open().append({ recordOf(1, "zone/a") }));
  folder.append("{\"revision\": 2}\n" + toJson(recordOf(3, "zone/b")) + "\n");
  REQUIRE(codeOfCall([&] { return AuditTrail::open(folder.path, 65536); }) ==
          ErrorCode::LogDamaged);
  REQUIRE(codeOfCall([&] { return AuditTrail::open(folder.path + "/none/x", 65536); }) ==
          ErrorCode::StorageFailed);
}

} // namespace camphorcleat::fleet
