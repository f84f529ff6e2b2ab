// Messages of the replicated log between control members.

#ifndef CAMPHORCLEAT_WIRE_LOGMESSAGES_H_
#define CAMPHORCLEAT_WIRE_LOGMESSAGES_H_

#include <string>
#include <variant>
#include <vector>

#include "base/Codec.h"

namespace camphorcleat::wire {

/// Random id of a data folder. A member whose disk was replaced has a new store id.
using StoreId = std::uint64_t;

enum class EntryKind
{
  Noop,       ///< The first entry of a leader's term.
  Command,    ///< The payload is an encoded Command.
  Membership, ///< The payload is an encoded Membership.
};

struct LogEntry
{
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::Noop;
  Bytes payload;
  static constexpr auto fields()
  {
    return std::make_tuple(field("index", &LogEntry::index), field("term", &LogEntry::term),
                           field("kind", &LogEntry::kind), field("payload", &LogEntry::payload));
  }
};

struct Member
{
  NodeId id = kNoNode;
  StoreId store = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(field("id", &Member::id), field("store", &Member::store));
  }
};

/// The voting members. One change adds a member, replaces a member or replaces its store.
struct Membership
{
  std::vector<Member> members;
  static constexpr auto fields() { return std::make_tuple(field("members", &Membership::members)); }
};

struct VoteRequest
{
  static constexpr const char* kName = "vote_request";
  Term term = 0;
  bool isPreVote = false;
  bool isTransfer = false; ///< Requested by the current leader: voters ignore their election timer.
  StoreId store = 0;
  LogIndex lastIndex = 0;
  Term lastTerm = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("term", &VoteRequest::term), field("pre_vote", &VoteRequest::isPreVote),
      field("transfer", &VoteRequest::isTransfer), field("store", &VoteRequest::store),
      field("last_index", &VoteRequest::lastIndex), field("last_term", &VoteRequest::lastTerm));
  }
};

struct VoteReply
{
  static constexpr const char* kName = "vote_reply";
  Term term = 0;
  bool isPreVote = false;
  bool isGranted = false;
  StoreId store = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("term", &VoteReply::term), field("pre_vote", &VoteReply::isPreVote),
      field("granted", &VoteReply::isGranted), field("store", &VoteReply::store));
  }
};

struct AppendRequest
{
  static constexpr const char* kName = "append_request";
  Term term = 0;
  LogIndex previousIndex = 0;
  Term previousTerm = 0;
  LogIndex commitIndex = 0;
  std::uint64_t round = 0; ///< Number of the heartbeat round, which the reply repeats.
  std::vector<LogEntry> entries;
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("term", &AppendRequest::term), field("previous_index", &AppendRequest::previousIndex),
      field("previous_term", &AppendRequest::previousTerm),
      field("commit_index", &AppendRequest::commitIndex), field("round", &AppendRequest::round),
      field("entries", &AppendRequest::entries));
  }
};

struct AppendReply
{
  static constexpr const char* kName = "append_reply";
  Term term = 0;
  bool isMatch = false;
  LogIndex matchIndex = 0; ///< If isMatch, the last persisted index; otherwise the index to retry.
  std::uint64_t round = 0;
  StoreId store = 0;
  bool isStopping = false; ///< The member's process is about to end.
  static constexpr auto fields()
  {
    return std::make_tuple(field("term", &AppendReply::term), field("match", &AppendReply::isMatch),
                           field("match_index", &AppendReply::matchIndex),
                           field("round", &AppendReply::round), field("store", &AppendReply::store),
                           field("stopping", &AppendReply::isStopping));
  }
};

/// A chunk of a snapshot, at most 64 KiB.
struct SnapshotChunk
{
  static constexpr const char* kName = "snapshot_chunk";
  Term term = 0;
  LogIndex lastIndex = 0;
  Term lastTerm = 0;
  Membership membership;
  std::uint64_t offsetBytes = 0;
  std::uint64_t totalBytes = 0;
  Bytes data;
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("term", &SnapshotChunk::term), field("last_index", &SnapshotChunk::lastIndex),
      field("last_term", &SnapshotChunk::lastTerm), field("membership", &SnapshotChunk::membership),
      field("offset_bytes", &SnapshotChunk::offsetBytes),
      field("total_bytes", &SnapshotChunk::totalBytes), field("data", &SnapshotChunk::data));
  }
};

struct SnapshotReply
{
  static constexpr const char* kName = "snapshot_reply";
  Term term = 0;
  LogIndex lastIndex = 0;
  std::uint64_t nextOffsetBytes = 0; ///< Equals the total once the snapshot is persisted.
  StoreId store = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(field("term", &SnapshotReply::term),
                           field("last_index", &SnapshotReply::lastIndex),
                           field("next_offset_bytes", &SnapshotReply::nextOffsetBytes),
                           field("store", &SnapshotReply::store));
  }
};

/// Requests that an up-to-date member starts an election immediately.
struct TransferLeadership
{
  static constexpr const char* kName = "transfer_leadership";
  Term term = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(field("term", &TransferLeadership::term));
  }
};

using LogMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk,
                                SnapshotReply, TransferLeadership>;

} // namespace camphorcleat::wire

namespace camphorcleat {

template<>
struct EnumNames<wire::EntryKind>
{
  static constexpr EnumName<wire::EntryKind> kTable[] = {
    { wire::EntryKind::Noop, "noop" },
    { wire::EntryKind::Command, "command" },
    { wire::EntryKind::Membership, "membership" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_WIRE_LOGMESSAGES_H_
