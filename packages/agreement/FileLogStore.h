// A LogStore that stores its data in one folder.
//
//   lock          locked while the store is open
//   state         term, vote, store id, number of the last segment; replaced atomically
//   snapshot      the latest snapshot; replaced atomically
//   log-<number>  segments with the entries (SegmentedLog.h)
//
// The state file records the last segment's number, so that a missing last segment is detected as
// damage.

#ifndef CAMPHORCLEAT_AGREEMENT_FILELOGSTORE_H_
#define CAMPHORCLEAT_AGREEMENT_FILELOGSTORE_H_

#include <cstdint>
#include <random>
#include <string>

#include "agreement/LogStore.h"
#include "agreement/PosixFile.h"
#include "agreement/SegmentedLog.h"

namespace camphorcleat::agreement {

/// Segment size at which a new segment is started.
constexpr std::uint64_t kDefaultSegmentBytes = 4U << 20U;

/// Content of the state file.
struct StateFile
{
  wire::StoreId store = 0;
  Term term = 0;
  NodeId votedFor = kNoNode;
  std::uint64_t lastSegment = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(field("store", &StateFile::store), field("term", &StateFile::term),
                           field("voted_for", &StateFile::votedFor),
                           field("last_segment", &StateFile::lastSegment));
  }
};

/// Not thread-safe.
class FileLogStore : public LogStore
{
public:
  /// Does not access the disk before open(). aRandom determines the id of a new store; it must be
  /// seeded unpredictably, because two stores of one member must not have the same id.
  FileLogStore(std::string aFolder, std::mt19937_64 aRandom,
               std::uint64_t aSegmentBytes = kDefaultSegmentBytes);

  /// See LogStore. Fails with StorageError (EWOULDBLOCK) if another process has the folder open.
  Result<StoredState> open() override;

  /// See LogStore.
  Result<void> persist(const Persist& aBatch) override;

private:
  Result<void> readState();
  Result<void> createState();
  Result<void> writeState(const StateFile& aState);
  Result<SnapshotPtr> readSnapshot() const;
  Result<void> writeSnapshot(const Snapshot& aSnapshot);
  Result<std::vector<wire::LogEntry>> entriesAfter(const SnapshotPtr& aSnapshot,
                                                   std::vector<wire::LogEntry> aEntries);
  Result<void> persistAll(const Persist& aBatch);
  Result<void> persistVote(const Persist& aBatch);
  Result<void> persistEntries(const Persist& aBatch, bool aIsReset);
  Result<void> appendRecord(const SegmentRecord& aRecord);
  Result<void> recordLastSegment();

  std::string mFolder;
  std::mt19937_64 mRandom;
  SegmentedLog mLog;
  PosixFile mLock;
  StateFile mState;         ///< The content of the state file that is known to be on the disk.
  bool mNeedsReset = false; ///< The next record must reset the log, because the stored entries
                            ///< don't continue the snapshot.
  bool mIsOpen = false;
  bool mHasFailed = false; ///< The last segment may end with a part of a failed write.
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_FILELOGSTORE_H_
