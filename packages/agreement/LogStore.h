// Interface of the durable storage for a member's term, vote, log entries and snapshot.

#ifndef CAMPHORCLEAT_AGREEMENT_LOGSTORE_H_
#define CAMPHORCLEAT_AGREEMENT_LOGSTORE_H_

#include "agreement/LogEvents.h"
#include "base/Errors.h"

namespace camphorcleat::agreement {

/// Not thread-safe.
class LogStore
{
public:
  LogStore() = default;
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;
  virtual ~LogStore() = default;

  /// Reads the stored state. An empty store gets a new random store id, which is persisted. Call
  /// once, before persist(). Fails with StorageError, LogDamagedError or DecodeError.
  virtual Result<StoredState> open() = 0;

  /// Writes and syncs a batch before it returns. A crash during the call may leave part of the
  /// batch written, but the stored state stays valid: term and vote are written first, and a
  /// snapshot is complete before any entry that it replaces is removed. Fails with StorageError;
  /// it is then unknown what reached the disk, and the next call must be for the same batch, until
  /// one succeeds.
  virtual Result<void> persist(const Persist& aBatch) = 0;
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_LOGSTORE_H_
