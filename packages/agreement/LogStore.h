// Where a member keeps what it must not forget.

#ifndef CAMPHORCLEAT_AGREEMENT_LOGSTORE_H_
#define CAMPHORCLEAT_AGREEMENT_LOGSTORE_H_

#include "agreement/LogEvents.h"
#include "base/Errors.h"

namespace camphorcleat::agreement {

/// Not thread-safe: one thread owns a store.
class LogStore
{
public:
  LogStore() = default;
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;
  virtual ~LogStore() = default;

  /// Reads everything. An empty store gets a new random identity, which is synced. Call once,
  /// before persist(). Fails with StorageError, LogDamagedError or DecodeError.
  virtual Result<StoredState> open() = 0;

  /// Writes and syncs a batch before it returns. After a crash in between, the store holds the
  /// state before it, after it, or a state in between that contradicts neither: term and vote come
  /// first, and a snapshot is complete before any entry that it stands for is removed. Fails with
  /// StorageError. After a failure every further call fails too, since what reached the disk is
  /// unknown.
  virtual Result<void> persist(const Persist& aBatch) = 0;
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_LOGSTORE_H_
