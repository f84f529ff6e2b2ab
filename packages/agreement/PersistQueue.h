// Collects changes that must be persisted and returns them as one batch at a time (group commit).
//
// Changes made while a batch is in flight are collected in the next one, so the number of syncs is
// limited by the disk's speed and doesn't grow with the number of messages.

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
  /// Creates a queue for a log whose entries up to aLastIndex are persisted.
  explicit PersistQueue(LogIndex aLastIndex);

  /// Records that the term or the vote changed.
  void voteChanged() { mIsVotePending = true; }

  /// Records that the entries from aFrom on were removed from the log. Call before new ones are
  /// appended.
  void truncated(LogIndex aFrom);

  /// Records that a snapshot of the log's own entries was taken. Those entries stay valid.
  void snapshotTaken(SnapshotPtr aSnapshot) { mSnapshot = std::move(aSnapshot); }

  /// Records that an installed snapshot replaced the whole log.
  void logReplaced(SnapshotPtr aSnapshot);

  /// Returns the next batch if changes are pending and no batch is in flight.
  std::optional<Persist> next(Term aTerm, NodeId aVotedFor, const EntryLog& aLog);

  /// Records that a batch is persisted. Returns false if it is not the one in flight.
  bool complete(std::uint64_t aBatch);

  /// Returns the number of the batch whose completion means that all changes so far are persisted;
  /// 0 if they already are.
  std::uint64_t batchCoveringAll(const EntryLog& aLog) const;

  /// Returns whether the current term and vote are persisted.
  bool isVotePersisted() const { return !mIsVotePending && !mIsVoteInFlight; }

  /// Returns the last index up to which the current log is persisted.
  LogIndex persistedIndex() const { return mPersistedIndex; }

  /// Returns the index of the first entry that is not in a batch yet. It and all later entries must
  /// stay in the log.
  LogIndex firstPending() const { return mFirstPending; }

private:
  bool hasPending(const EntryLog& aLog) const;

  std::uint64_t mLastBatch = 0;
  bool mIsInFlight = false;
  bool mIsVoteInFlight = false;
  LogIndex mInFlightIndex = 0; ///< Last entry of the batch in flight that has not been truncated.
  LogIndex mPersistedIndex;
  LogIndex mFirstPending;
  bool mIsVotePending = false;
  bool mIsLogReplaced = false;
  std::optional<LogIndex> mTruncateFrom;
  SnapshotPtr mSnapshot;
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_PERSISTQUEUE_H_
