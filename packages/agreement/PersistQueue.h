// Collects what has to be synced and hands it out as one batch at a time (group commit).
//
// While a batch is in flight, everything that changes waits and goes into the next one, so the
// number of syncs depends on the disk's speed and not on the number of messages.

#ifndef CAMPHORCLEAT_AGREEMENT_PERSISTQUEUE_H_
#define CAMPHORCLEAT_AGREEMENT_PERSISTQUEUE_H_

#include <cstdint>
#include <optional>

#include "agreement/EntryLog.h"
#include "agreement/LogEvents.h"

namespace camphorcleat::agreement {

/// Not thread-safe.
class PersistQueue
{
public:
  /// Everything up to aLastIndex is synced.
  explicit PersistQueue(LogIndex aLastIndex);

  /// Term or vote changed.
  void voteChanged() { mIsVotePending = true; }

  /// Entries from aFrom on left the log; those after them are new. Call before they are appended.
  void truncated(LogIndex aFrom);

  /// A snapshot of the log's own entries was taken. The entries up to it stay valid.
  void snapshotTaken(SnapshotPtr aSnapshot) { mSnapshot = std::move(aSnapshot); }

  /// A snapshot that the log doesn't continue replaced the whole log.
  void logReplaced(SnapshotPtr aSnapshot);

  /// The next batch, if something waits and none is in flight.
  std::optional<Persist> next(Term aTerm, NodeId aVotedFor, const EntryLog& aLog);

  /// Takes note that a batch is synced. False if it is not the one in flight.
  bool complete(std::uint64_t aBatch);

  /// Number of the batch after which everything that changed so far is synced. 0 if all of it is.
  std::uint64_t batchCoveringAll(const EntryLog& aLog) const;

  /// Whether the present term and vote are synced.
  bool isVoteSynced() const { return !mIsVotePending && !mIsVoteInFlight; }

  /// Entries of the present log are synced up to here.
  LogIndex syncedIndex() const { return mSyncedIndex; }

  /// Entries before this one were handed out in a batch. Those after it must stay in the log.
  LogIndex firstPending() const { return mFirstPending; }

private:
  bool hasPending(const EntryLog& aLog) const;

  std::uint64_t mLastBatch = 0;
  bool mIsInFlight = false;
  bool mIsVoteInFlight = false;
  LogIndex mInFlightIndex = 0; ///< Last entry of the batch in flight that is still in the log.
  LogIndex mSyncedIndex;
  LogIndex mFirstPending;
  bool mIsVotePending = false;
  bool mIsLogReplaced = false;
  std::optional<LogIndex> mTruncateFrom;
  SnapshotPtr mSnapshot;
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_PERSISTQUEUE_H_
