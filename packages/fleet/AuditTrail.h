// The audit trail on disk: one JSON line per record, appended and synced.
//
// Two files of half the set size each: when the present one is full, it replaces the old one. After
// a restart the log is applied again from the last snapshot; records that the file holds already
// are skipped, so each one appears once. A line cut off by a crash is removed at opening and comes
// again with that replay, provided that records are appended before the snapshot that covers them.

#ifndef CAMPHORCLEAT_FLEET_AUDITTRAIL_H_
#define CAMPHORCLEAT_FLEET_AUDITTRAIL_H_

#include <memory>
#include <string>
#include <vector>

#include "fleet/AuditRecord.h"

namespace camphorcleat::fleet {

/// Which records a search returns.
struct AuditFilter
{
  std::string text; ///< Contained in issuer, command id, kind, object, values or code; empty: all.
  Revision fromRevision = 0;
  std::size_t maxRecords = 1000; ///< The latest ones.
};

/// Whether a record passes a filter's text and revision. Thread-safe.
bool passesFilter(const AuditRecord& aRecord, const AuditFilter& aFilter);

/// Not thread-safe.
class AuditTrail
{
public:
  /// Opens or creates the trail at a path; the older file is at that path plus ".1". The two files
  /// together hold at most aMaxBytes, unless one append() alone takes more than half of it. Fails
  /// with StorageError or LogDamagedError.
  static Result<AuditTrail> open(const std::string& aPath, std::size_t aMaxBytes);

  AuditTrail(AuditTrail&& aOther) noexcept;
  AuditTrail& operator=(AuditTrail&& aOther) noexcept;
  AuditTrail(const AuditTrail&) = delete;
  AuditTrail& operator=(const AuditTrail&) = delete;
  ~AuditTrail();

  /// Appends the records of one or more applied commands, in order, and syncs them. Records that
  /// are in the trail already are skipped. Fails with StorageError; the trail then holds none of
  /// the records and may be tried again.
  Result<void> append(const std::vector<AuditRecord>& aRecords);

  /// Matching records, oldest first. Fails with StorageError or LogDamagedError.
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
  std::size_t mLastCount = 0; ///< Records of mLastRevision in the trail.
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_AUDITTRAIL_H_
