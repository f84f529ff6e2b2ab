// The entries of a FileLogStore: a series of segment files that are only ever appended to.
//
// Each write is one record: what it removes from the log and what it adds. Removing entries is a
// record as well, not a cut of a file, so that a crash can't leave the removal without the
// addition. Reading the records in order gives the log. Segments are numbered without gaps; those
// whose entries all lie behind a snapshot are deleted, oldest first.

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

/// One write.
struct SegmentRecord
{
  bool isReset = false;      ///< Everything before this record is removed.
  LogIndex truncateFrom = 0; ///< If not 0, entries from here on are removed.
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
  /// A segment that has reached aSegmentBytes is not appended to any more.
  SegmentedLog(std::string aFolder, std::uint64_t aSegmentBytes);

  /// Reads all segments and cuts off a torn record at the end of the last one. aLastSegment is the
  /// number of the last segment that is known to exist. Returns the entries, contiguous.
  /// Fails with StorageError or LogDamagedError.
  Result<std::vector<wire::LogEntry>> open(std::uint64_t aLastSegment);

  /// Whether append() needs a new segment first.
  bool needsSegment() const
  {
    return !mFile.isOpen() || mSegments.back().sizeBytes >= mSegmentBytes;
  }

  /// Creates the next segment and returns its number. The caller makes the number durable before it
  /// appends, so that the loss of the last segment is noticed. Fails with StorageError.
  Result<std::uint64_t> startSegment();

  /// Appends and syncs one record. Precondition: startSegment() was called at least once.
  /// Fails with StorageError.
  Result<void> append(const SegmentRecord& aRecord);

  /// Deletes the segments that hold only entries up to aIndex. Fails with StorageError.
  Result<void> deleteUpTo(LogIndex aIndex);

  /// Deletes the segments before the one of this number. Fails with StorageError.
  Result<void> deleteBefore(std::uint64_t aNumber);

private:
  struct Segment
  {
    std::uint64_t number = 0;
    std::uint64_t sizeBytes = 0;
    LogIndex lastIndex = 0; ///< Highest index in it.
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
