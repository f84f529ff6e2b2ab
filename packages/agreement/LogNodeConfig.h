// Settings and fixed limits of a LogNode.

#ifndef CAMPHORCLEAT_AGREEMENT_LOGNODECONFIG_H_
#define CAMPHORCLEAT_AGREEMENT_LOGNODECONFIG_H_

#include <cstddef>
#include <cstdint>

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/LogMessages.h"

namespace camphorcleat::agreement {

/// Maximum snapshot bytes in one message.
constexpr std::size_t kMaxChunkBytes = 64U << 10U;
/// Largest snapshot that a member accepts; it is buffered in memory until it is complete.
constexpr std::size_t kMaxSnapshotBytes = 128U << 20U;
/// Largest payload of one proposal. The embedder's limit of a message between members must leave
/// room for it and the entry's header.
constexpr std::size_t kMaxPayloadBytes = 1U << 20U;
/// Maximum entries and bytes in one AppendRequest. A single larger entry is sent alone.
constexpr std::size_t kMaxAppendEntries = 256;
constexpr std::size_t kMaxAppendBytes = 256U << 10U;
/// Maximum entries and bytes sent to a member that has not yet acknowledged them as persisted. The
/// limit is checked before each request, so one request may exceed it.
constexpr std::size_t kMaxInFlightEntries = 1024;
constexpr std::size_t kMaxInFlightBytes = 4U << 20U;
/// Maximum entries and bytes that a leader has appended but not committed. A leader that has
/// reached one of them refuses proposals.
constexpr std::size_t kMaxUncommittedEntries = 8192;
constexpr std::size_t kMaxUncommittedBytes = 16U << 20U;
/// Maximum bytes of the log in memory. A leader that has reached them refuses proposals, which
/// happens only if the embedder takes no snapshots.
constexpr std::size_t kMaxLogBytes = 64U << 20U;
/// Maximum reads waiting for a heartbeat round. Covers more than 1 s of the 2,350 lease renewals/s
/// that 470 nodes send.
constexpr std::size_t kMaxPendingReads = 16384;
/// Maximum entries in one ApplyEntries action.
constexpr std::size_t kMaxApplyEntries = 1024;
/// A learner or a member with a new store is considered caught up if it lacks at most this many
/// entries of the leader's log.
constexpr LogIndex kMaxCatchUpLag = 64;

/// A learner is removed if it has not repeated its join request within this time.
constexpr Millis kJoinRequestTimeout{ 3000 };
/// Maximum number of learners (nodes without a vote) at one time. The leader replicates its log to
/// each of them, and ignores join requests of further nodes, which repeat them.
constexpr std::size_t kMaxLearners = 8;

struct LogNodeConfig
{
  NodeId self = kNoNode;
  /// Voters of a group whose log is still empty; must be the same on every member. Store 0 means
  /// that the id is not known yet. A snapshot or Membership entry replaces this value.
  wire::Membership initialMembership;
  /// Desired number of voters. Below it, a leader adds learners as voters, one at a time; at this
  /// number, a learner can only replace an unresponsive voter. 0: the set of voters is fixed,
  /// except for their stores.
  std::size_t voters = 0;
  /// A voter that has not replied for this time, or whose process is about to end, may be replaced
  /// by a learner that has caught up.
  Millis replaceVoterAfter{ 3000 };
  Millis heartbeat{ 50 }; ///< Interval at which a leader starts heartbeat rounds.
  /// Election timeouts are drawn uniformly from this range. The lower bound is also the time for
  /// which a member that received a message from the leader refuses other candidates, and after
  /// which a leader without replies from a quorum steps down.
  Millis electionTimeoutMin{ 250 };
  Millis electionTimeoutMax{ 500 };
  /// Number of applied entries between two snapshots.
  std::uint64_t snapshotEntries = 4096;
  /// Number of entries covered by a snapshot that stay in memory, so that members that lag slightly
  /// need no snapshot transfer. Must be more than kMaxInFlightEntries, or a member with a full
  /// window could need one.
  std::uint64_t retainedEntries = 2048;
  /// Maximum bytes of these entries. Must be more than kMaxInFlightBytes for the same reason, and
  /// far below kMaxLogBytes.
  std::uint64_t retainedBytes = 8U << 20U;
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_LOGNODECONFIG_H_
