// Tests that a restart does not lose, misread or silently truncate acknowledged state.

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>
#include <sys/resource.h>

#include "agreement/FileLogStore.h"
#include "agreement/RecordFormat.h"

namespace camphorcleat::agreement {
namespace {

namespace fs = std::filesystem;

/// Creates a folder and removes it with its content on destruction.
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    std::string name = (fs::temp_directory_path() / "camphorcleat-store-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    mPath = name;
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder() { fs::remove_all(mPath); }
  std::string path(const std::string& aName) const { return mPath + "/" + aName; }

private:
  std::string mPath;
};

std::string readAll(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

void writeAll(const std::string& aPath, const std::string& aContent)
{
  std::ofstream(aPath, std::ios::binary | std::ios::trunc) << aContent;
}

wire::LogEntry entry(LogIndex aIndex, Term aTerm, std::size_t aBytes = 5)
{
  wire::LogEntry out;
  out.index = aIndex;
  out.term = aTerm;
  out.kind = wire::EntryKind::Command;
  out.payload = Bytes(std::string(aBytes, static_cast<char>('a' + aIndex % 26)));
  return out;
}

Persist batchOf(LogIndex aFirst, LogIndex aLast, Term aTerm = 1, std::size_t aBytes = 5)
{
  Persist out;
  out.term = aTerm;
  out.votedFor = 2;
  for (LogIndex i = aFirst; i <= aLast; ++i) {
    out.entries.push_back(entry(i, aTerm, aBytes));
  }
  return out;
}

SnapshotPtr snapshotAt(LogIndex aIndex, Term aTerm)
{
  Snapshot out{ aIndex, aTerm, {}, "state " + std::to_string(aIndex) };
  out.membership.members = { { 1, 11 }, { 2, 0 } };
  return std::make_shared<const Snapshot>(out);
}

/// Lets each write beyond a file size fail after a part of it is written, like a full disk, until
/// it is destroyed.
class FullDisk
{
public:
  explicit FullDisk(std::uint64_t aFileBytes)
    : mHandler(std::signal(SIGXFSZ, SIG_IGN))
  {
    ::getrlimit(RLIMIT_FSIZE, &mLimit);
    const rlimit small{ aFileBytes, mLimit.rlim_max };
    ::setrlimit(RLIMIT_FSIZE, &small);
  }
  FullDisk(const FullDisk&) = delete;
  FullDisk& operator=(const FullDisk&) = delete;
  ~FullDisk()
  {
    ::setrlimit(RLIMIT_FSIZE, &mLimit);
    std::signal(SIGXFSZ, mHandler);
  }

private:
  void (*mHandler)(int);
  rlimit mLimit{};
};

FileLogStore storeIn(const std::string& aFolder, std::uint64_t aSegmentBytes = 4096)
{
  return FileLogStore(aFolder, std::mt19937_64(7), aSegmentBytes);
}

// Opens the store, writes the batches and closes it.
void writeBatches(const std::string& aFolder, const std::vector<Persist>& aBatches,
                  std::uint64_t aSegmentBytes = 4096)
{
  FileLogStore store(aFolder, std::mt19937_64(7), aSegmentBytes);
  REQUIRE(store.open());
  for (const auto& it : aBatches) {
    REQUIRE(store.persist(it));
  }
}

StoredState reopen(const std::string& aFolder)
{
  FileLogStore store(aFolder, std::mt19937_64(8));
  return orElse([&] { return store.open(); },
                [](const ErrorInfo& aInfo) {
                  FAIL(aInfo.message);
                  return StoredState();
                });
}

// Returns the damage that open() reports. The file name is empty if open() succeeds.
LogDamagedError damageOf(const std::string& aFolder)
{
  FileLogStore store(aFolder, std::mt19937_64(9));
  return leaf::try_handle_all(
    [&]() -> Result<LogDamagedError> {
      BOOST_LEAF_CHECK(store.open());
      return LogDamagedError{};
    },
    [](const LogDamagedError& aError) { return aError; },
    [](const ErrorInfo& aInfo) {
      return LogDamagedError{ "other: " + aInfo.message, 0, "" };
    },
    [] {
      return LogDamagedError{ "other", 0, "" };
    });
}

} // namespace

TEST_CASE("A new store gets a store id that does not change in a restart")
{
  const TemporaryFolder folder;
  const std::string path = folder.path("new/data");
  const StoredState first = reopen(path);
  CHECK(first.store != 0);
  CHECK(first.term == 0);
  CHECK(first.entries.empty());
  CHECK(reopen(path).store == first.store);
  CHECK(reopen(folder.path("other")).store != 0);
}

TEST_CASE("Term, vote, entries and snapshot survive a restart")
{
  const TemporaryFolder folder;
  const std::string path = folder.path("data");
  Persist snapshot = batchOf(11, 12, 3);
  snapshot.snapshot = snapshotAt(9, 1);
  writeBatches(path, { batchOf(1, 10), snapshot });
  const StoredState state = reopen(path);
  CHECK(state.term == 3);
  CHECK(state.votedFor == 2);
  REQUIRE(state.snapshot);
  CHECK(state.snapshot->lastIndex == 9);
  CHECK(state.snapshot->bytes == "state 9");
  CHECK(state.snapshot->membership.members[0].store == 11);
  REQUIRE(state.entries.size() == 3);
  CHECK(state.entries[0].index == 10);
  CHECK(state.entries[2].term == 3);
  CHECK(state.entries[2].payload == entry(12, 3).payload);
}

TEST_CASE("Truncated entries are replaced by the entries of the new term")
{
  const TemporaryFolder folder;
  const std::string path = folder.path("data");
  Persist replacing = batchOf(4, 5, 2);
  replacing.truncateFrom = 4;
  writeBatches(path, { batchOf(1, 9), replacing });
  const StoredState state = reopen(path);
  REQUIRE(state.entries.size() == 5);
  CHECK(state.entries[2].term == 1);
  CHECK(state.entries[3].term == 2);
}

TEST_CASE("Segments that a snapshot covers completely are deleted, the others are not")
{
  const TemporaryFolder folder;
  const std::string path = folder.path("data");
  std::vector<Persist> batches;
  for (LogIndex i = 1; i <= 60; ++i) {
    batches.push_back(batchOf(i, i, 1, 300));
  }
  Persist snapshot;
  snapshot.term = 1;
  snapshot.votedFor = 2;
  snapshot.snapshot = snapshotAt(50, 1);
  batches.push_back(snapshot);
  writeBatches(path, batches);
  CHECK_FALSE(fs::exists(path + "/log-000000000001"));
  CHECK(fs::exists(path + "/log-000000000005"));
  const StoredState state = reopen(path);
  REQUIRE(state.entries.size() == 10);
  CHECK(state.entries.front().index == 51);
}

TEST_CASE("An installed snapshot replaces a log that it doesn't continue")
{
  const TemporaryFolder folder;
  const std::string path = folder.path("data");
  Persist install = batchOf(101, 103, 4);
  install.resetsLog = true;
  install.snapshot = snapshotAt(100, 3);
  writeBatches(path, { batchOf(1, 20), install, batchOf(104, 104, 4) });
  const StoredState state = reopen(path);
  REQUIRE(state.entries.size() == 4);
  CHECK(state.entries.front().index == 101);

  SECTION("and the store recovers from a crash before the log was reset")
  {
    const std::string broken = folder.path("broken");
    writeBatches(broken, { batchOf(1, 20) });
    fs::copy_file(path + "/snapshot", broken + "/snapshot");
    CHECK(reopen(broken).entries.empty());
    writeBatches(broken, { batchOf(101, 102, 4) });
    const StoredState repaired = reopen(broken);
    REQUIRE(repaired.entries.size() == 2);
    CHECK(repaired.snapshot->lastIndex == 100);
  }
}

TEST_CASE("A last record that is truncated at any byte is discarded, and no other record")
{
  const TemporaryFolder folder;
  const std::string path = folder.path("data");
  writeBatches(path, { batchOf(1, 2), batchOf(3, 3) });
  const std::string segment = path + "/log-000000000001";
  const std::string before = readAll(segment);
  writeBatches(path, { batchOf(4, 5) });
  const std::string after = readAll(segment);
  for (std::size_t size = before.size(); size <= after.size(); ++size) {
    INFO("segment cut to " << size << " of " << after.size() << " bytes");
    writeAll(segment, after.substr(0, size));
    REQUIRE(reopen(path).entries.size() == (size == after.size() ? 5 : 3));
    writeBatches(path, { batchOf(size == after.size() ? 6 : 4, 6) });
    REQUIRE(reopen(path).entries.size() == 6);
  }
}

TEST_CASE("A last record with an unwritten sector is discarded")
{
  const TemporaryFolder folder;
  const std::string path = folder.path("data");
  writeBatches(path, { batchOf(1, 1), batchOf(2, 2, 1, 2000) });
  const std::string segment = path + "/log-000000000001";
  const std::string good = readAll(segment);
  for (std::size_t sector = 1; sector * 512 < good.size(); ++sector) {
    std::string torn = good;
    const std::size_t size = std::min<std::size_t>(512, good.size() - sector * 512);
    torn.replace(sector * 512, size, size, '\0');
    writeAll(segment, torn);
    REQUIRE(reopen(path).entries.size() == 1);
  }
}

TEST_CASE("Any corrupt byte of a log is reported with file and offset")
{
  const TemporaryFolder folder;
  const std::string path = folder.path("data");
  writeBatches(path, { batchOf(1, 2), batchOf(3, 3), batchOf(4, 4) });
  const std::string segment = path + "/log-000000000001";
  const std::string good = readAll(segment);
  std::vector<std::size_t> starts;
  for (RecordReader reader(good, 1); starts.push_back(reader.offsetBytes()), reader.next();) {
  }
  REQUIRE(starts.size() == 4);
  for (std::size_t at = 0; at < good.size(); ++at) {
    INFO("byte " << at << " of " << good.size() << " changed");
    std::string damaged = good;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x10);
    writeAll(segment, damaged);
    const LogDamagedError error = damageOf(path);
    REQUIRE(error.file == segment);
    const auto next = std::upper_bound(starts.begin(), starts.end(), at);
    REQUIRE(error.offsetBytes == *std::prev(next));
  }
}

TEST_CASE("Any corrupt byte or truncation of the state and snapshot files is reported")
{
  const TemporaryFolder folder;
  const std::string path = folder.path("data");
  Persist batch = batchOf(1, 3);
  batch.snapshot = snapshotAt(2, 1);
  writeBatches(path, { batch });
  for (const std::string name : { "state", "snapshot" }) {
    const std::string file = folder.path("data/" + name);
    const std::string good = readAll(file);
    for (std::size_t at = 0; at < good.size(); ++at) {
      INFO(name << ": byte " << at << " of " << good.size());
      std::string damaged = good;
      damaged[at] = static_cast<char>(damaged[at] ^ 0x10);
      writeAll(file, damaged);
      REQUIRE(damageOf(path).file == file);
      writeAll(file, good.substr(0, at));
      REQUIRE(damageOf(path).file == file);
    }
    writeAll(file, good);
  }
  CHECK(damageOf(path).file.empty());
}

TEST_CASE("A missing file is reported as damage")
{
  const TemporaryFolder folder;
  const std::string path = folder.path("data");
  std::vector<Persist> batches;
  for (LogIndex i = 1; i <= 40; ++i) {
    batches.push_back(batchOf(i, i, 1, 300));
  }
  writeBatches(path, batches);
  REQUIRE(fs::exists(path + "/log-000000000004"));
  for (const std::string name :
       { "state", "log-000000000001", "log-000000000002", "log-000000000004" }) {
    INFO(name << " removed");
    const std::string file = folder.path("data/" + name);
    const std::string content = readAll(file);
    fs::remove(file);
    CHECK_FALSE(damageOf(path).file.empty());
    writeAll(file, content);
  }
  CHECK(reopen(path).entries.size() == 40);
}

TEST_CASE("A folder that is already open can't be opened again")
{
  const TemporaryFolder folder;
  FileLogStore first = storeIn(folder.path("data"));
  REQUIRE(first.open());
  FileLogStore second = storeIn(folder.path("data"));
  CHECK_FALSE(second.open());
}

TEST_CASE("After a failed write, a restart finds the state before the write")
{
  const TemporaryFolder folder;
  const std::string path = folder.path("data");
  {
    FileLogStore store = storeIn(path, 1U << 20U);
    REQUIRE(store.open());
    REQUIRE(store.persist(batchOf(1, 2)));
    const FullDisk disk(1024);
    CHECK_FALSE(store.persist(batchOf(3, 9, 1, 500)));
    CHECK_FALSE(store.persist(batchOf(3, 9, 1, 500)));
  }
  CHECK(reopen(path).entries.size() == 2);
}

// Guards against a store that fails for good after its disk was full for a while.
TEST_CASE("A write that failed at any point is complete once it is repeated")
{
  Persist entries = batchOf(3, 9, 2, 300U << 10U); // Several records.
  entries.truncateFrom = 3;
  Persist vote = batchOf(3, 2);
  vote.term = 4;
  Persist own = batchOf(6, 9, 2, 500);
  own.snapshot = snapshotAt(4, 1);
  Persist installed = batchOf(31, 33, 3);
  installed.resetsLog = true;
  installed.snapshot = snapshotAt(30, 2);
  for (const auto& batch : { entries, vote, own, installed }) {
    for (const std::uint64_t segmentBytes : { 64U, 4096U, 1U << 20U }) {
      for (const std::uint64_t limit :
           { 0U, 40U, 90U, 130U, 300U, 1024U, 350U << 10U, 1300U << 10U }) {
        INFO("batch from " << batch.entries.size() << " entries, term " << batch.term << ", limit "
                           << limit << ", segments of " << segmentBytes);
        const TemporaryFolder folder;
        const std::string path = folder.path("data");
        const std::string expectedPath = folder.path("expected");
        writeBatches(expectedPath, { batchOf(1, 5), batch, batchOf(40, 39, 9) }, segmentBytes);
        {
          FileLogStore store = storeIn(path, segmentBytes);
          REQUIRE(store.open());
          REQUIRE(store.persist(batchOf(1, 5)));
          {
            const FullDisk disk(limit);
            static_cast<void>(store.persist(batch));
            static_cast<void>(store.persist(batch));
          }
          REQUIRE(store.persist(batch));
          REQUIRE(store.persist(batchOf(40, 39, 9)));
        }
        const StoredState expected = reopen(expectedPath);
        const StoredState actual = reopen(path);
        CHECK(actual.term == expected.term);
        CHECK(actual.votedFor == expected.votedFor);
        CHECK((actual.snapshot != nullptr) == (expected.snapshot != nullptr));
        REQUIRE(actual.entries.size() == expected.entries.size());
        for (std::size_t i = 0; i < actual.entries.size(); ++i) {
          CHECK(actual.entries[i].index == expected.entries[i].index);
          CHECK(actual.entries[i].term == expected.entries[i].term);
          CHECK(actual.entries[i].payload.data == expected.entries[i].payload.data);
        }
      }
    }
  }
}

} // namespace camphorcleat::agreement
