// Input events and output actions of LogNode, and the state that a LogStore saves and loads.
//
// Events and actions are plain values, so the same LogNode code runs with sockets and files in the
// daemon, with a simulated network and disk in tests, and without I/O in benchmarks.

#ifndef CAMPHORCLEAT_AGREEMENT_LOGEVENTS_H_
#define CAMPHORCLEAT_AGREEMENT_LOGEVENTS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "wire/LogMessages.h"

namespace camphorcleat::agreement {

/// State of the embedder (the code that drives a LogNode) after it applied the entry lastIndex.
/// Shared, because a transfer to a member still reads the old snapshot after a newer one replaced
/// it.
struct Snapshot
{
  LogIndex lastIndex = 0;
  Term lastTerm = 0;
  wire::Membership membership; ///< Membership in force at lastIndex.
  std::string bytes;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// Everything that a store contains when it is opened.
struct StoredState
{
  wire::StoreId store = 0; ///< Identity of the data folder, never 0 once opened.
  Term term = 0;
  NodeId votedFor = kNoNode;
  SnapshotPtr snapshot;                ///< Null if none was taken yet.
  std::vector<wire::LogEntry> entries; ///< Contiguous; all of them follow the snapshot.
};

// Events.

/// Reports the current time. Expected at least every 10 ms, because timers expire only in step().
struct Tick
{};

/// A message from another member. The transport has authenticated the sender.
struct MessageArrived
{
  NodeId from = kNoNode;
  wire::LogMessage message;
};

/// Requests that a Command entry be appended. The embedder chooses `proposal`, which is only
/// returned in the response.
struct Propose
{
  std::uint64_t proposal = 0;
  std::string payload;
};

/// The batch with this number and all batches before it are persisted.
struct Persisted
{
  std::uint64_t batch = 0;
};

/// The write or sync of the batch in flight failed. The embedder repeats it until it succeeds,
/// which it reports with Persisted.
struct PersistFailed
{};

/// Requests a read index for a linearizable read of the applied state. `read` is only returned in
/// the response.
struct ReadRequested
{
  std::uint64_t read = 0;
};

/// Requests a snapshot before snapshotEntries are applied, because applying the entries since the
/// latest one again would take the embedder too long.
struct SnapshotRequested
{};

/// Response to TakeSnapshot: the embedder's state after it applied the entry lastIndex.
struct SnapshotTaken
{
  LogIndex lastIndex = 0;
  std::string bytes;
};

/// A node without a vote (a learner) requests to join the group. The leader replicates entries to
/// it as long as it repeats the request within kJoinRequestTimeout, and makes it a voter when the
/// group has fewer than LogNodeConfig::voters voters or has an unresponsive one.
struct JoinRequested
{
  NodeId node = kNoNode;
};

/// Requests that the leader transfer its leadership to the most up-to-date member.
struct TransferRequested
{};

/// This node's process is about to end as planned. A learner that has caught up takes its place at
/// once if it is a voter, so that the group isn't one voter short until the node counts as
/// unresponsive. A leader transfers its leadership, after its replacement if there is one.
struct StopRequested
{};

using Event =
  std::variant<Tick, MessageArrived, Propose, Persisted, PersistFailed, ReadRequested,
               SnapshotRequested, SnapshotTaken, JoinRequested, TransferRequested, StopRequested>;

// Actions, which the embedder performs in the order given.

struct SendMessage
{
  NodeId to = kNoNode;
  wire::LogMessage message;
};

/// Requests that a batch be written and persisted. The batch is not atomic; LogStore::persist()
/// defines which states a crash may leave. At most one batch is in flight; the embedder responds
/// with Persisted, after PersistFailed if the first attempt failed.
struct Persist
{
  std::uint64_t batch = 0;
  Term term = 0;
  NodeId votedFor = kNoNode;
  std::optional<LogIndex> truncateFrom; ///< Entries from this index on are replaced by `entries`.
  std::vector<wire::LogEntry> entries;
  SnapshotPtr snapshot;   ///< Null if unchanged.
  bool resetsLog = false; ///< The stored log is discarded, because the snapshot replaces it.
};

/// Committed entries of every kind, contiguous and in index order. Only Command entries change the
/// embedder's state.
struct ApplyEntries
{
  std::vector<wire::LogEntry> entries;
};

/// The proposal was appended at this index. It is committed once ApplyEntries contains an entry
/// with the same index and term.
struct ProposalAppended
{
  std::uint64_t proposal = 0;
  LogIndex index = 0;
  Term term = 0;
};

enum class ProposalRefusal
{
  NotLeader, ///< Not an established leader, or transfers its leadership.
  LogFull,   ///< A limit of the uncommitted or the retained log in LogNodeConfig.h is reached.
  TooLarge,  ///< The payload exceeds kMaxPayloadBytes. Every member refuses it.
};

/// The proposal was refused and will not be appended.
struct ProposalRefused
{
  std::uint64_t proposal = 0;
  NodeId leaderHint = kNoNode; ///< The current or next leader; kNoNode if this node knows none.
  ProposalRefusal reason = ProposalRefusal::NotLeader;
};

/// The read index: the state after the entry `index`, which is already applied, includes every
/// entry that was committed when the read was requested.
struct ReadReady
{
  std::uint64_t read = 0;
  LogIndex index = 0;
};

/// The read was refused, because this node is not the leader, has lost the leadership or has
/// kMaxPendingReads pending reads.
struct ReadRefused
{
  std::uint64_t read = 0;
  NodeId leaderHint = kNoNode; ///< The current leader; kNoNode if this node knows no other one.
};

/// This member is the leader of the term and has applied every entry that was committed in earlier
/// terms.
struct BecameLeader
{
  Term term = 0;
};

/// The leadership reported by BecameLeader has ended. Proposals that are not applied yet may still
/// be committed or be lost.
struct LostLeadership
{
  Term term = 0;
};

/// Replaces the embedder's state. Also the first action after a restart if the store has a
/// snapshot.
struct RestoreSnapshot
{
  LogIndex lastIndex = 0;
  std::string bytes;
};

/// Requests SnapshotTaken with the state after the entry lastIndex, which is the last one applied.
struct TakeSnapshot
{
  LogIndex lastIndex = 0;
};

using Action =
  std::variant<SendMessage, Persist, ApplyEntries, ProposalAppended, ProposalRefused, ReadReady,
               ReadRefused, BecameLeader, LostLeadership, RestoreSnapshot, TakeSnapshot>;

} // namespace camphorcleat::agreement

namespace camphorcleat {

template<>
struct EnumNames<agreement::ProposalRefusal>
{
  static constexpr EnumName<agreement::ProposalRefusal> kTable[] = {
    { agreement::ProposalRefusal::NotLeader, "not_leader" },
    { agreement::ProposalRefusal::LogFull, "log_full" },
    { agreement::ProposalRefusal::TooLarge, "too_large" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_AGREEMENT_LOGEVENTS_H_
