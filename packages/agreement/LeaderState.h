// State of a leader during one term: progress of the other members, heartbeat rounds, pending reads
// and leadership transfer.
//
// It is created when an election is won and destroyed when the leadership ends, so no state carries
// over to another term.

#ifndef CAMPHORCLEAT_AGREEMENT_LEADERSTATE_H_
#define CAMPHORCLEAT_AGREEMENT_LEADERSTATE_H_

#include <cstdint>
#include <map>

#include "agreement/LogEvents.h"
#include "agreement/ReadQueue.h"
#include "base/Time.h"

namespace camphorcleat::agreement {

/// A snapshot transfer to a member, with one chunk in flight at a time.
struct SnapshotTransfer
{
  SnapshotPtr snapshot; ///< Null if no transfer is in progress.
  std::uint64_t offsetBytes = 0;
  bool isChunkInFlight = false;
  TimePoint chunkSentAt;
};

/// How far a member has replicated the leader's log, as known from its replies.
struct MemberProgress
{
  wire::StoreId store = 0;  ///< Store id in the latest reply; 0 before the first one.
  LogIndex matchIndex = 0;  ///< Last index known to match and to be persisted at that store.
  LogIndex nextIndex = 1;   ///< Index of the next entry to send.
  bool isProbing = true;    ///< nextIndex is not confirmed yet, so only one request is in flight.
  bool isProbeSent = false; ///< The probing request is in flight.
  std::uint64_t ackedRound = 0; ///< The latest heartbeat round that the member acknowledged.
  /// A reply to this heartbeat round or a later one shows which store is in use now. A reply to an
  /// earlier round may be a late one from the previous store.
  std::uint64_t firstRound = 0;
  TimePoint lastReplyAt;
  bool isStopping = false;   ///< The latest reply said that the member's process is about to end.
  TimePoint joinRequestedAt; ///< When a learner last sent a join request.
  SnapshotTransfer transfer;
};

struct LeaderState
{
  std::map<NodeId, MemberProgress> members; ///< All other voters, and the learners.
  std::uint64_t round = 0;                  ///< Number of the latest heartbeat round.
  TimePoint nextHeartbeat;
  LogIndex noopIndex = 0;     ///< Index of the first entry of the term.
  bool isEstablished = false; ///< noopIndex is committed and applied.
  ReadQueue reads;
  /// The member that the leadership is being transferred to, or kNoNode. Proposals are refused
  /// during a transfer.
  NodeId transferTarget = kNoNode;
  bool isTransferSent = false;
  bool isStopTransferDone = false; ///< The transfer before the end of this process was started.
  TimePoint transferDeadline;      ///< A transfer that has not succeeded by then is abandoned.
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_LEADERSTATE_H_
