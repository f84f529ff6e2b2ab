// Settings and fixed bounds of a LogNode.

#ifndef CAMPHORCLEAT_AGREEMENT_LOGNODECONFIG_H_
#define CAMPHORCLEAT_AGREEMENT_LOGNODECONFIG_H_

#include <cstddef>
#include <cstdint>

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/LogMessages.h"

namespace camphorcleat::agreement {

/// Bytes of a snapshot in one message.
constexpr std::size_t kMaxChunkBytes = 64U << 10U;
/// Largest snapshot that a member accepts; it is held in memory while it arrives.
constexpr std::size_t kMaxSnapshotBytes = 128U << 20U;
/// Largest payload of one proposal.
constexpr std::size_t kMaxPayloadBytes = 256U << 10U;
/// Entries and bytes in one AppendRequest. A single entry may exceed the bytes by its own size.
constexpr std::size_t kMaxAppendEntries = 256;
constexpr std::size_t kMaxAppendBytes = 256U << 10U;
/// Entries and bytes sent to a member that it hasn't acknowledged as synced.
constexpr std::size_t kMaxInFlightEntries = 1024;
constexpr std::size_t kMaxInFlightBytes = 4U << 20U;
/// Entries and bytes that a leader has appended and not yet committed.
constexpr std::size_t kMaxUncommittedEntries = 8192;
constexpr std::size_t kMaxUncommittedBytes = 16U << 20U;
/// Bytes of log held in memory. Reached only when the embedder doesn't take snapshots.
constexpr std::size_t kMaxLogBytes = 64U << 20U;
/// Reads that wait for a heartbeat round: more than 1 s of the 2,350 renewals/s of 470 nodes.
constexpr std::size_t kMaxPendingReads = 16384;
/// Entries in one ApplyEntries action.
constexpr std::size_t kMaxApplyEntries = 1024;
/// A member with a new store counts as up to date when it lacks at most this many committed
/// entries.
constexpr LogIndex kMaxCatchUpLag = 64;

/// A node that asked to join is forgotten this long after it last asked.
constexpr Millis kJoinRequestTimeout{ 3000 };
/// Nodes without a vote that follow the log at one time.
constexpr std::size_t kMaxLearners = 8;

struct LogNodeConfig
{
  NodeId self = kNoNode;
  /// Voters of a group whose log is still empty; the same at every member. Store 0 means that the
  /// identity is not known yet. A snapshot or Membership entry replaces it.
  wire::Membership initialMembership;
  /// Voters that a leader strives for: it takes in nodes that ask to join, one at a time, and in
  /// place of voters that it no longer hears. 0: the voters are fixed but for their stores.
  std::size_t voters = 0;
  /// A voter that was not previousReplyAt for this time gives its place to a node that has caught
  /// up.
  Millis replaceVoterAfter{ 3000 };
  Millis heartbeat{ 50 };
  /// Timeouts are drawn evenly from this range. The lower bound is also how long a member that
  /// hears from a leader refuses other candidates, and how long a leader stays without a quorum.
  Millis electionTimeoutMin{ 250 };
  Millis electionTimeoutMax{ 500 };
  /// Applied entries between two snapshots.
  std::uint64_t snapshotEntries = 4096;
  /// Entries behind a snapshot that stay in memory, so that members a little behind need no
  /// snapshot. More than kMaxInFlightEntries, else a full window alone could cause a transfer.
  std::uint64_t retainedEntries = 2048;
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_LOGNODECONFIG_H_
