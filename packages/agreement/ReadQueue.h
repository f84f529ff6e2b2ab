// Linearizable reads that wait for a quorum to confirm that the leader is still the leader.
//
// A read is assigned to the first heartbeat round that starts after it was added. Many reads share
// a round.

#ifndef CAMPHORCLEAT_AGREEMENT_READQUEUE_H_
#define CAMPHORCLEAT_AGREEMENT_READQUEUE_H_

#include <cstdint>
#include <deque>
#include <vector>

namespace camphorcleat::agreement {

/// Not thread-safe.
class ReadQueue
{
public:
  /// Adds a read for the next round. Returns false if kMaxPendingReads reads are already waiting.
  bool add(std::uint64_t aRead);

  /// Assigns all unassigned reads to a round that starts now. Round numbers must increase.
  void startRound(std::uint64_t aRound);

  /// Returns whether a round must be started: some reads are unassigned, and no round with reads is
  /// in progress.
  bool needsRound() const { return !mWaiting.empty() && mRounds.empty(); }

  /// Removes and returns the reads of all rounds up to aRound.
  std::vector<std::uint64_t> completeUpTo(std::uint64_t aRound);

  /// Removes and returns all reads.
  std::vector<std::uint64_t> removeAll();

private:
  struct Round
  {
    std::uint64_t number = 0;
    std::vector<std::uint64_t> reads;
  };
  std::vector<std::uint64_t> mWaiting; ///< Reads that are not assigned to a round yet.
  std::deque<Round> mRounds;           ///< Rounds in progress that have reads, in ascending order.
  std::size_t mCount = 0;              ///< Number of all reads in the queue.
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_READQUEUE_H_
