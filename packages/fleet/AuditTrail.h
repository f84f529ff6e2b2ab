// The audit trail on disk: one JSON line per record, appended and synced.
//
// The trail consists of two files, each at most half of the configured size. When the current file
// is full, it is renamed over the older one. After a restart the log is replayed from the last
// snapshot; records that are already in the files are skipped, so each record is written once. An
// incomplete last line after a crash is truncated by open() and written again by that replay. This
// requires that records are appended before the snapshot that includes their commands is saved.

#ifndef CAMPHORCLEAT_FLEET_AUDITTRAIL_H_
#define CAMPHORCLEAT_FLEET_AUDITTRAIL_H_

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
  /// with StorageError or LogDamagedError.
  static Result<AuditTrail> open(const std::string& aPath, std::size_t aMaxBytes);

  AuditTrail(AuditTrail&& aOther) noexcept;
  AuditTrail& operator=(AuditTrail&& aOther) noexcept;
  AuditTrail(const AuditTrail&) = delete;
  AuditTrail& operator=(const AuditTrail&) = delete;
  ~AuditTrail();

  /// Appends the records of one or more applied commands, in order, and syncs them. Records that
  /// are already in the trail are skipped. Fails with StorageError; the trail then contains none of
  /// the records, and the call can be retried.
  Result<void> append(const std::vector<AuditRecord>& aRecords);

  /// Returns the latest records that pass the filter, at most its maxRecords, oldest first. Fails
  /// with StorageError or LogDamagedError.
  Result<std::vector<AuditRecord>> search(const AuditFilter& aFilter) const;

private:
  AuditTrail(std::string aPath, std::size_t aMaxBytes);
  Result<void> openFile();
  Result<void> scanFiles();
  Result<void> rotate();
  Result<void> write(const std::string& aLines);
  void closeFile();

  std::string mPath;
  std::size_t mMaxBytes = 0;
  int mFile = -1;
  std::size_t mSizeBytes = 0;
  Revision mLastRevision = 0;
  std::size_t mLastCount = 0; ///< Number of records of mLastRevision in the trail.
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_AUDITTRAIL_H_
