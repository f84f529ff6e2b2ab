// The order of writes makes the store recoverable after a crash at any point. Term and vote are
// written first. For a snapshot of the log's own entries, the entries are written before the
// snapshot. For a snapshot that replaces the log, the snapshot is written before the record that
// resets the log. Segments are deleted last.
//
// After a failed write it is unknown what reached the disk, and the kernel may have dropped what a
// failed sync covered. So nothing of a failed batch is relied on: the last segment is truncated to
// its last synced record, the files are replaced again, and all records are written again. A record
// begins with the removal of its own entries, so it may follow a copy of itself.

#include "agreement/FileLogStore.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "agreement/LogNodeConfig.h"
#include "agreement/RecordFormat.h"

namespace camphorcleat::agreement {

namespace {

constexpr const char* kLockName = "lock";
constexpr const char* kStateName = "state";
constexpr const char* kSnapshotName = "snapshot";
// The checksum seeds are the names "STATE" and "SNAP" in ASCII, so that the record of one file is
// not accepted in the other.
constexpr std::uint64_t kStateSeed = 0x5354415445ULL;
constexpr std::uint64_t kSnapshotSeed = 0x534E4150ULL;
constexpr std::uint64_t kMaxStateBytes = 4096;
constexpr std::uint64_t kMaxSnapshotFileBytes = kMaxSnapshotBytes + (1U << 20U);
// A large batch is split into records of about this size, to limit the size of buffers.
constexpr std::size_t kRecordBytes = 1U << 20U;

/// The first record of a snapshot file. The second record contains the snapshot's bytes.
struct SnapshotHeader
{
  LogIndex lastIndex = 0;
  Term lastTerm = 0;
  wire::Membership membership;
  static constexpr auto fields()
  {
    return std::make_tuple(field("last_index", &SnapshotHeader::lastIndex),
                           field("last_term", &SnapshotHeader::lastTerm),
                           field("membership", &SnapshotHeader::membership));
  }
};

bool contains(const std::vector<std::string>& aNames, const char* aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

// True for a file that may exist if the first open() of a folder was interrupted.
bool isSetupRemnant(const std::string& aName)
{
  constexpr std::string_view kTemporary = ".tmp";
  return aName == kLockName ||
         (aName.size() > kTemporary.size() &&
          aName.compare(aName.size() - kTemporary.size(), kTemporary.size(), kTemporary) == 0);
}

} // namespace

FileLogStore::FileLogStore(std::string aFolder, std::mt19937_64 aRandom,
                           std::uint64_t aSegmentBytes)
  : mFolder(std::move(aFolder))
  , mRandom(aRandom)
  , mLog(mFolder, aSegmentBytes)
{
}

Result<StoredState> FileLogStore::open()
{
  BOOST_LEAF_CHECK(createFolder(mFolder));
  BOOST_LEAF_ASSIGN(mLock, PosixFile::lock(mFolder + "/" + kLockName));
  BOOST_LEAF_AUTO(names, listFolder(mFolder));
  if (std::all_of(names.begin(), names.end(), isSetupRemnant)) {
    BOOST_LEAF_CHECK(createState());
  } else if (contains(names, kStateName)) {
    BOOST_LEAF_CHECK(readState());
  } else {
    return fail(LogDamagedError{ mFolder + "/" + kStateName, 0, "state file is missing" });
  }
  StoredState out;
  if (contains(names, kSnapshotName)) {
    BOOST_LEAF_ASSIGN(out.snapshot, readSnapshot());
  }
  BOOST_LEAF_AUTO(entries, mLog.open(mState.lastSegment));
  BOOST_LEAF_ASSIGN(out.entries, entriesAfter(out.snapshot, std::move(entries)));
  out.store = mState.store;
  out.term = mState.term;
  out.votedFor = mState.votedFor;
  mIsOpen = true;
  return out;
}

Result<void> FileLogStore::createState()
{
  StateFile state;
  state.store = newIncarnation(mRandom);
  return writeState(state);
}

Result<void> FileLogStore::readState()
{
  const std::string path = mFolder + "/" + kStateName;
  BOOST_LEAF_AUTO(content, readFile(path, kMaxStateBytes));
  RecordReader reader(content, kStateSeed);
  if (!reader.next() || !reader.isAtEnd()) {
    return fail(LogDamagedError{ path, 0, "record is corrupt or incomplete" });
  }
  BOOST_LEAF_ASSIGN(mState, decode<StateFile>(std::string(reader.payload())));
  return {};
}

Result<void> FileLogStore::writeState(const StateFile& aState)
{
  BOOST_LEAF_CHECK(replaceFile(mFolder, kStateName, makeRecord(encode(aState), kStateSeed)));
  mState = aState;
  return {};
}

Result<SnapshotPtr> FileLogStore::readSnapshot() const
{
  const std::string path = mFolder + "/" + kSnapshotName;
  BOOST_LEAF_AUTO(content, readFile(path, kMaxSnapshotFileBytes));
  RecordReader reader(content, kSnapshotSeed);
  if (!reader.next()) {
    return fail(LogDamagedError{ path, 0, "snapshot header is corrupt or incomplete" });
  }
  BOOST_LEAF_AUTO(header, decode<SnapshotHeader>(std::string(reader.payload())));
  if (!reader.next() || !reader.isAtEnd()) {
    return fail(
      LogDamagedError{ path, reader.offsetBytes(), "snapshot data is corrupt or incomplete" });
  }
  return std::make_shared<const Snapshot>(Snapshot{
    header.lastIndex, header.lastTerm, header.membership, std::string(reader.payload()) });
}

Result<void> FileLogStore::writeSnapshot(const Snapshot& aSnapshot)
{
  const SnapshotHeader header{ aSnapshot.lastIndex, aSnapshot.lastTerm, aSnapshot.membership };
  return replaceFile(mFolder, kSnapshotName,
                     makeRecord(encode(header), kSnapshotSeed) +
                       makeRecord(aSnapshot.bytes, kSnapshotSeed));
}

// Removes the entries that the snapshot covers. Removes all entries if they don't continue the
// snapshot, which happens after a crash between writing an installed snapshot and resetting the
// log.
Result<std::vector<wire::LogEntry>> FileLogStore::entriesAfter(const SnapshotPtr& aSnapshot,
                                                               std::vector<wire::LogEntry> aEntries)
{
  const LogIndex last = aSnapshot ? aSnapshot->lastIndex : 0;
  if (aEntries.empty()) {
    mNeedsReset = last != 0;
    return aEntries;
  }
  const LogIndex first = aEntries.front().index;
  if (first > last + 1) {
    return fail(LogDamagedError{ mFolder, 0,
                                 "entries " + std::to_string(last + 1) + " to " +
                                   std::to_string(first - 1) + " are missing" });
  }
  if (last + 1 == first) {
    return aEntries;
  }
  const bool isContinued =
    aEntries.back().index >= last && aEntries[last - first].term == aSnapshot->lastTerm;
  if (!isContinued) {
    mNeedsReset = true;
    aEntries.clear();
    return aEntries;
  }
  aEntries.erase(aEntries.begin(),
                 aEntries.begin() + static_cast<std::ptrdiff_t>(last - first + 1));
  return aEntries;
}

Result<void> FileLogStore::persist(const Persist& aBatch)
{
  if (!mIsOpen) {
    return fail(StorageError{ mFolder, "writing before the store is open", EBADF });
  }
  if (mHasFailed) {
    BOOST_LEAF_CHECK(mLog.truncateToSynced());
  }
  mHasFailed = true;
  BOOST_LEAF_CHECK(persistAll(aBatch));
  mHasFailed = false;
  return {};
}

Result<void> FileLogStore::persistAll(const Persist& aBatch)
{
  BOOST_LEAF_CHECK(persistVote(aBatch));
  if (!aBatch.resetsLog) {
    BOOST_LEAF_CHECK(persistEntries(aBatch, false));
    if (aBatch.snapshot) {
      BOOST_LEAF_CHECK(writeSnapshot(*aBatch.snapshot));
      BOOST_LEAF_CHECK(mLog.deleteUpTo(aBatch.snapshot->lastIndex));
    }
    return {};
  }
  BOOST_LEAF_CHECK(writeSnapshot(*aBatch.snapshot));
  BOOST_LEAF_CHECK(mLog.startSegment());
  const std::uint64_t first = mLog.lastSegment(); // A large batch may start further segments.
  BOOST_LEAF_CHECK(persistEntries(aBatch, true));
  return mLog.deleteBefore(first);
}

Result<void> FileLogStore::persistVote(const Persist& aBatch)
{
  if (aBatch.term == mState.term && aBatch.votedFor == mState.votedFor) {
    return {};
  }
  StateFile state = mState;
  state.term = aBatch.term;
  state.votedFor = aBatch.votedFor;
  return writeState(state);
}

Result<void> FileLogStore::persistEntries(const Persist& aBatch, bool aIsReset)
{
  SegmentRecord record;
  record.isReset = aIsReset || (mNeedsReset && !aBatch.entries.empty());
  record.truncateFrom = aBatch.truncateFrom.value_or(0);
  std::size_t size = 0;
  for (const auto& it : aBatch.entries) {
    if (size > kRecordBytes) {
      BOOST_LEAF_CHECK(appendRecord(record));
      record = SegmentRecord();
      size = 0;
    }
    if (record.entries.empty() && record.truncateFrom == 0) {
      record.truncateFrom = it.index;
    }
    size += it.payload.size();
    record.entries.push_back(it);
  }
  if (record.isReset || record.truncateFrom != 0 || !record.entries.empty()) {
    BOOST_LEAF_CHECK(appendRecord(record));
  }
  return {};
}

Result<void> FileLogStore::appendRecord(const SegmentRecord& aRecord)
{
  if (mLog.needsSegment()) {
    BOOST_LEAF_CHECK(mLog.startSegment());
  }
  BOOST_LEAF_CHECK(recordLastSegment());
  BOOST_LEAF_CHECK(mLog.append(aRecord));
  mNeedsReset = mNeedsReset && !aRecord.isReset;
  return {};
}

Result<void> FileLogStore::recordLastSegment()
{
  if (mState.lastSegment == mLog.lastSegment()) {
    return {};
  }
  StateFile state = mState;
  state.lastSegment = mLog.lastSegment();
  return writeState(state);
}

} // namespace camphorcleat::agreement
