// Reads that wait for proof that the leader is still the leader.
//
// A read joins the first heartbeat round that starts after it arrived. Many reads share a round.

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
  /// Adds a read that waits for the next round. False if kMaxPendingReads wait already.
  bool add(std::uint64_t aRead);

  /// A round starts now: every waiting read joins it. Rounds ascend.
  void startRound(std::uint64_t aRound);

  /// Whether a round has to be started for a waiting read: some wait, and none are in a round.
  bool needsRound() const { return !mWaiting.empty() && mRounds.empty(); }

  /// Removes and returns the reads of every round up to aRound.
  std::vector<std::uint64_t> completeUpTo(std::uint64_t aRound);

  /// Removes and returns all reads.
  std::vector<std::uint64_t> removeAll();

private:
  struct Round
  {
    std::uint64_t number = 0;
    std::vector<std::uint64_t> reads;
  };
  std::vector<std::uint64_t> mWaiting;
  std::deque<Round> mRounds;
  std::size_t mCount = 0;
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_READQUEUE_H_
