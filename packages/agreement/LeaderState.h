// What a leader keeps for one term: the progress of the other members, rounds, reads, transfer.
//
// It is made when a term is won and destroyed when it ends, so nothing of it can leak into another
// term.

#ifndef CAMPHORCLEAT_AGREEMENT_LEADERSTATE_H_
#define CAMPHORCLEAT_AGREEMENT_LEADERSTATE_H_

#include <cstdint>
#include <map>

#include "agreement/LogEvents.h"
#include "agreement/ReadQueue.h"
#include "base/Time.h"

namespace camphorcleat::agreement {

/// A snapshot on its way to a member, one chunk at a time.
struct SnapshotTransfer
{
  SnapshotPtr snapshot; ///< Null if none is on its way.
  std::uint64_t offsetBytes = 0;
  bool isChunkInFlight = false;
  TimePoint chunkSentAt;
};

struct MemberProgress
{
  wire::StoreId store = 0;  ///< As of the latest reply; 0 before the first one.
  LogIndex matchIndex = 0;  ///< Synced at that store.
  LogIndex nextIndex = 1;   ///< First entry to send next.
  bool isProbing = true;    ///< nextIndex is a guess: one request at a time.
  bool isProbeSent = false; ///< The request of this guess is on its way.
  std::uint64_t ackedRound = 0;
  std::uint64_t firstRound = 0; ///< Replies to this round or later prove that the store is in use.
  TimePoint lastReplyAt;
  TimePoint joinRequestedAt; ///< When a node without a vote last asked to join.
  SnapshotTransfer transfer;
};

struct LeaderState
{
  std::map<NodeId, MemberProgress> members; ///< All but the leader itself, and nodes that join.
  std::uint64_t round = 0;                  ///< Number of the latest heartbeat round.
  TimePoint nextHeartbeat;
  LogIndex noopIndex = 0;     ///< First entry of the term.
  bool isEstablished = false; ///< noopIndex is committed and applied.
  ReadQueue reads;
  NodeId transferTarget = kNoNode;
  bool isTransferSent = false;
  TimePoint transferDeadline;
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_LEADERSTATE_H_
