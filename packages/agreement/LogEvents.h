// Events that LogNode takes, actions that it asks for, and the states that go to and from disk.
//
// Both are plain values: the daemon, the tests and the benchmarks connect the same decision code to
// sockets and files, to a simulated network and disk, or to nothing.

#ifndef CAMPHORCLEAT_AGREEMENT_LOGEVENTS_H_
#define CAMPHORCLEAT_AGREEMENT_LOGEVENTS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/Ids.h"
#include "wire/LogMessages.h"

namespace camphorcleat::agreement {

/// State of the embedder after entry lastIndex. Shared because transfers keep a snapshot alive
/// while a newer one replaces it.
struct Snapshot
{
  LogIndex lastIndex = 0;
  Term lastTerm = 0;
  wire::Membership membership; ///< In force at lastIndex.
  std::string bytes;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// Everything that a store holds when it is opened.
struct StoredState
{
  wire::StoreId store = 0; ///< Identity of the data folder, never 0 once opened.
  Term term = 0;
  NodeId votedFor = kNoNode;
  SnapshotPtr snapshot;                ///< Null if none was taken yet.
  std::vector<wire::LogEntry> entries; ///< Contiguous; all of them follow the snapshot.
};

// Events.

/// Time passed. Expected at least every 10 ms; timers fire only in step().
struct Tick
{};

/// A message of another member. The transport vouches for the sender.
struct MessageArrived
{
  NodeId from = kNoNode;
  wire::LogMessage message;
};

/// Asks for a Command entry. `proposal` is chosen by the embedder and only echoed.
struct Propose
{
  std::uint64_t proposal = 0;
  std::string payload;
};

/// The batch of this number and everything before it is synced.
struct Persisted
{
  std::uint64_t batch = 0;
};

/// A write or sync failed. The node never acknowledges anything again.
struct PersistFailed
{};

/// Asks for a point at which the applied state is linearizable. `read` is only echoed.
struct ReadRequested
{
  std::uint64_t read = 0;
};

/// The reply to TakeSnapshot: the embedder's state after it applied lastIndex.
struct SnapshotTaken
{
  LogIndex lastIndex = 0;
  std::string bytes;
};

/// A node without a vote asks to follow the log. A leader sends it entries as long as it asks at
/// least every kJoinRequestTimeout, and gives it a vote when there is room (LogNodeConfig::voters).
struct JoinRequested
{
  NodeId node = kNoNode;
};

/// Asks a leader to hand its leadership to the member that is most up to date.
struct TransferRequested
{};

using Event = std::variant<Tick, MessageArrived, Propose, Persisted, PersistFailed, ReadRequested,
                           SnapshotTaken, JoinRequested, TransferRequested>;

// Actions, to be carried out in the order given.

struct SendMessage
{
  NodeId to = kNoNode;
  wire::LogMessage message;
};

/// Asks for one atomic-enough write: LogStore::persist() states the order. One is in flight at a
/// time; the embedder replies with Persisted or PersistFailed.
struct Persist
{
  std::uint64_t batch = 0;
  Term term = 0;
  NodeId votedFor = kNoNode;
  std::optional<LogIndex> truncateFrom; ///< Entries from here on are replaced by `entries`.
  std::vector<wire::LogEntry> entries;
  SnapshotPtr snapshot;   ///< Null if unchanged.
  bool resetsLog = false; ///< The stored log is discarded: it doesn't continue the snapshot.
};

/// Committed entries of every kind, contiguous and in order. Commands change the embedder's state.
struct ApplyEntries
{
  std::vector<wire::LogEntry> entries;
};

/// The proposal got this position. It is committed when ApplyEntries shows index with this term.
struct ProposalAppended
{
  std::uint64_t proposal = 0;
  LogIndex index = 0;
  Term term = 0;
};

/// The proposal is not in the log and never will be.
struct ProposalRefused
{
  std::uint64_t proposal = 0;
  NodeId leaderHint = kNoNode;
};

/// The state after entry `index` (already applied) is at least as new as the request.
struct ReadReady
{
  std::uint64_t read = 0;
  LogIndex index = 0;
};

struct ReadRefused
{
  std::uint64_t read = 0;
  NodeId leaderHint = kNoNode;
};

/// Leader of the term, with everything committed before the term applied.
struct BecameLeader
{
  Term term = 0;
};

/// Follows every BecameLeader. Proposals that weren't applied yet may or may not be committed.
struct LostLeadership
{
  Term term = 0;
};

/// Replaces the embedder's state. Also the first action after a start with a snapshot.
struct RestoreSnapshot
{
  LogIndex lastIndex = 0;
  std::string bytes;
};

/// Asks for SnapshotTaken with the state after lastIndex, the last entry applied.
struct TakeSnapshot
{
  LogIndex lastIndex = 0;
};

using Action =
  std::variant<SendMessage, Persist, ApplyEntries, ProposalAppended, ProposalRefused, ReadReady,
               ReadRefused, BecameLeader, LostLeadership, RestoreSnapshot, TakeSnapshot>;

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_LOGEVENTS_H_
