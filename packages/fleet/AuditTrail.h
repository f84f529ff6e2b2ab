// The audit trail on disk: one JSON line per record, appended and synced.
//
// The trail consists of two files, each at most half of the configured size. When the current file
// is full, it is renamed over the older one. After a restart the log is replayed from the last
// snapshot; records that are already in the files are skipped, so each record is written once. An
// incomplete last line after a crash is truncated by open() and written again by that replay. This
// requires that records are appended before the snapshot that includes their commands is saved.

#ifndef CAMPHORCLEAT_FLEET_AUDITTRAIL_H_
#define CAMPHORCLEAT_FLEET_AUDITTRAIL_H_

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "fleet/AuditRecord.h"

namespace camphorcleat::fleet {

/// Selects the records that a search returns.
struct AuditFilter
{
  /// Substring of issuer, command id, kind, object, values or code; empty matches all records.
  std::string text;
  Revision fromRevision = 0;
  std::size_t maxRecords = 1000; ///< Only the latest records are returned.
};

/// Returns whether a record matches the text and the minimum revision of a filter. Thread-safe.
bool passesFilter(const AuditRecord& aRecord, const AuditFilter& aFilter);

/// Not thread-safe.
class AuditTrail
{
public:
  /// Opens or creates the trail at a path; the older file is at that path plus ".1". The two files
  /// together have at most aMaxBytes, unless a single append() exceeds half of that. Fails
  /// with StorageError, or with LogDamagedError if the end of a file is corrupt.
  static Result<AuditTrail> open(const std::string& aPath, std::size_t aMaxBytes);

  AuditTrail(AuditTrail&& aOther) noexcept;
  AuditTrail& operator=(AuditTrail&& aOther) noexcept;
  AuditTrail(const AuditTrail&) = delete;
  AuditTrail& operator=(const AuditTrail&) = delete;
  ~AuditTrail();

  /// Appends the records of one or more applied commands, in order, and syncs them. Records that
  /// are already in the trail are skipped. Fails with StorageError; the trail then contains none of
  /// the records, and the next call writes them. Of the records that wait for that, only the latest
  /// kMaxPendingRecords are kept.
  Result<void> append(const std::vector<AuditRecord>& aRecords);

  /// Keeps records for the next call of append().
  void addPending(const std::vector<AuditRecord>& aRecords);

  /// Returns whether records wait to be written.
  bool hasPending() const { return !mPending.empty(); }

  /// Returns the number of records that were dropped because too many waited.
  std::size_t droppedRecords() const { return mDroppedRecords; }

  static constexpr std::size_t kMaxPendingRecords = 4096;

  /// Returns the latest records that pass the filter, at most its maxRecords, oldest first. Fails
  /// with StorageError or LogDamagedError.
  Result<std::vector<AuditRecord>> search(const AuditFilter& aFilter) const;

private:
  AuditTrail(std::string aPath, std::size_t aMaxBytes);
  Result<void> openFile();
  Result<void> scanFiles();
  Result<void> rotate();
  Result<void> writePending();
  Result<void> write(const std::string& aLines);
  void closeFile();

  std::string mPath;
  std::size_t mMaxBytes = 0;
  int mFile = -1;
  std::size_t mSizeBytes = 0;
  Revision mLastRevision = 0;
  std::size_t mLastCount = 0;       ///< Number of records of mLastRevision in the trail.
  std::deque<AuditRecord> mPending; ///< Accepted by append() and not written yet.
  std::size_t mDroppedRecords = 0;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_AUDITTRAIL_H_
