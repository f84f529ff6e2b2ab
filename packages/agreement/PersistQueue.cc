// A truncation lowers the persisted and in-flight indexes at once, so that the completion of an
// older batch doesn't mark the entries that replaced the truncated ones as persisted.

#include "agreement/PersistQueue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace camphorcleat::agreement {

PersistQueue::PersistQueue(LogIndex aLastIndex)
  : mPersistedIndex(aLastIndex)
  , mFirstPending(aLastIndex + 1)
{
}

void PersistQueue::truncated(LogIndex aFrom)
{
  mPersistedIndex = std::min(mPersistedIndex, aFrom - 1);
  mInFlightIndex = std::min(mInFlightIndex, aFrom - 1);
  if (aFrom < mFirstPending) {
    mTruncateFrom = std::min(mTruncateFrom.value_or(aFrom), aFrom);
    mFirstPending = aFrom;
  }
}

void PersistQueue::logReplaced(SnapshotPtr aSnapshot)
{
  mIsLogReplaced = true;
  mTruncateFrom.reset();
  mPersistedIndex = 0;
  mInFlightIndex = 0;
  mFirstPending = aSnapshot->lastIndex + 1;
  mSnapshot = std::move(aSnapshot);
}

std::optional<Persist> PersistQueue::next(Term aTerm, NodeId aVotedFor, const EntryLog& aLog)
{
  if (mIsInFlight || !hasPending(aLog)) {
    return std::nullopt;
  }
  Persist out;
  out.batch = ++mLastBatch;
  out.term = aTerm;
  out.votedFor = aVotedFor;
  out.truncateFrom = std::exchange(mTruncateFrom, std::nullopt);
  out.snapshot = std::exchange(mSnapshot, nullptr);
  out.resetsLog = std::exchange(mIsLogReplaced, false);
  constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();
  out.entries = aLog.slice(mFirstPending, kNoLimit, kNoLimit);
  mFirstPending = aLog.lastIndex() + 1;
  mInFlightIndex = aLog.lastIndex();
  mIsVoteInFlight = std::exchange(mIsVotePending, false);
  mIsInFlight = true;
  return out;
}

bool PersistQueue::complete(std::uint64_t aBatch)
{
  if (!mIsInFlight || aBatch != mLastBatch) {
    return false;
  }
  mIsInFlight = false;
  mIsVoteInFlight = false;
  mPersistedIndex = std::max(mPersistedIndex, mInFlightIndex);
  return true;
}

std::uint64_t PersistQueue::batchCoveringAll(const EntryLog& aLog) const
{
  if (hasPending(aLog)) {
    return mLastBatch + 1;
  }
  return mIsInFlight ? mLastBatch : 0;
}

bool PersistQueue::hasPending(const EntryLog& aLog) const
{
  return mIsVotePending || mIsLogReplaced || mTruncateFrom || mSnapshot ||
         mFirstPending <= aLog.lastIndex();
}

} // namespace camphorcleat::agreement
