// The entries of a FileLogStore, stored in a sequence of append-only segment files.
//
// Each write is one record with the entries to remove from the log and the entries to add. Both are
// in one record, so that a crash can't apply the removal without the addition. Replaying the
// records in order restores the log. Segments are numbered without gaps. Segments that contain only
// entries covered by a snapshot are deleted, oldest first.

#ifndef CAMPHORCLEAT_AGREEMENT_SEGMENTEDLOG_H_
#define CAMPHORCLEAT_AGREEMENT_SEGMENTEDLOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "agreement/PosixFile.h"
#include "base/Codec.h"
#include "wire/LogMessages.h"

namespace camphorcleat::agreement {

/// One write to the log.
struct SegmentRecord
{
  bool isReset = false;      ///< All earlier records are discarded.
  LogIndex truncateFrom = 0; ///< If not 0, entries at or after this index are removed.
  std::vector<wire::LogEntry> entries;
  static constexpr auto fields()
  {
    return std::make_tuple(field("reset", &SegmentRecord::isReset),
                           field("truncate_from", &SegmentRecord::truncateFrom),
                           field("entries", &SegmentRecord::entries));
  }
};

/// Not thread-safe.
class SegmentedLog
{
public:
  /// Creates a log whose segments are files in aFolder. Does not access the disk before open().
  /// Once the last segment has at least aSegmentBytes, needsSegment() returns true.
  SegmentedLog(std::string aFolder, std::uint64_t aSegmentBytes);

  /// Reads all segments and truncates an incomplete record at the end of the last one. aLastSegment
  /// is the number of the last segment that must exist. Returns the entries, contiguous. Fails with
  /// StorageError or LogDamagedError.
  Result<std::vector<wire::LogEntry>> open(std::uint64_t aLastSegment);

  /// Returns whether append() needs a new segment first.
  bool needsSegment() const
  {
    return !mFile.isOpen() || mSegments.back().sizeBytes >= mSegmentBytes;
  }

  /// Returns the number of the last segment, 0 if there is none.
  std::uint64_t lastSegment() const { return mSegments.empty() ? 0 : mSegments.back().number; }

  /// Creates the next segment. The caller must make lastSegment() durable before it appends, so
  /// that a missing last segment is detected. Fails with StorageError; the call can be repeated.
  Result<void> startSegment();

  /// Appends and syncs one record. Precondition: startSegment() was called at least once.
  /// Fails with StorageError; truncateToSynced() must succeed before the next call then.
  Result<void> append(const SegmentRecord& aRecord);

  /// Removes what failed calls of append() have left in the last segment. Fails with StorageError;
  /// the call can be repeated.
  Result<void> truncateToSynced();

  /// Deletes the oldest segments as long as they contain only entries up to aIndex. Never deletes
  /// the last segment. Fails with StorageError.
  Result<void> deleteUpTo(LogIndex aIndex);

  /// Deletes the segments with a number below aNumber. Fails with StorageError.
  Result<void> deleteBefore(std::uint64_t aNumber);

private:
  struct Segment
  {
    std::uint64_t number = 0;
    std::uint64_t sizeBytes = 0;
    LogIndex lastIndex = 0; ///< Highest entry index in the segment.
  };
  std::string path(std::uint64_t aNumber) const;
  Result<std::vector<std::uint64_t>> listNumbers() const;
  Result<void> read(std::uint64_t aNumber, bool aIsLast, std::vector<wire::LogEntry>& aEntries);
  Result<void> deleteFirst(std::size_t aCount);

  std::string mFolder;
  std::uint64_t mSegmentBytes;
  std::deque<Segment> mSegments;
  PosixFile mFile; ///< The last segment.
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_SEGMENTEDLOG_H_
