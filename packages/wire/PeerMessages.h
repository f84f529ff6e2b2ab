// Every message that one daemon sends to another, as one variant.

#ifndef CAMPHORCLEAT_WIRE_PEERMESSAGES_H_
#define CAMPHORCLEAT_WIRE_PEERMESSAGES_H_

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "wire/FleetMessages.h"
#include "wire/LogMessages.h"

namespace camphorcleat::wire {

// Connection set-up.

/// First message on every connection, in both directions.
struct Hello
{
  static constexpr const char* kName = "hello";
  NodeId node = kNoNode;
  Incarnation incarnation = 0;
  std::string fleet; ///< Name of the fleet; a connection between two fleets is closed.
  static constexpr auto fields()
  {
    return std::make_tuple(field("node", &Hello::node), field("incarnation", &Hello::incarnation),
                           field("fleet", &Hello::fleet));
  }
};

/// Control member to control member.
struct LogFrame
{
  static constexpr const char* kName = "log";
  LogMessage message;
  static constexpr auto fields() { return std::make_tuple(field("message", &LogFrame::message)); }
};

/// A control daemon without a vote asks to follow the log, and to vote once it has caught up.
struct JoinRequest
{
  static constexpr const char* kName = "join_request";
  static constexpr std::tuple<> fields() { return {}; }
};

/// Where a control daemon may ask again.
struct JoinReply
{
  static constexpr const char* kName = "join_reply";
  NodeId leaderHint = kNoNode;
  std::vector<NodeId> members;
  static constexpr auto fields()
  {
    return std::make_tuple(field("leader_hint", &JoinReply::leaderHint),
                           field("members", &JoinReply::members));
  }
};

// Leases and configuration: daemon to control and back.

/// What arrives for one partition.
struct PartitionLoad
{
  PartitionId partition = 0;
  double requestsPerSecond = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(field("p", &PartitionLoad::partition),
                           field("r", &PartitionLoad::requestsPerSecond));
  }
};

struct LeaseRenew
{
  static constexpr const char* kName = "lease_renew";
  NodeId node = kNoNode;
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;
  Revision appliedRevision = 0;
  std::uint32_t loadRequestsPerSecond = 0; ///< A hint for the placement.
  /// Hints for the placement of a ranged service: what arrives for its partitions here, and the
  /// mean time of a run; 0 if not known.
  std::vector<PartitionLoad> partitionLoads{};
  Micros meanRun{ 0 };
  bool isCrowded = false; ///< More requests wait at the target than it runs at once.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("node", &LeaseRenew::node), field("incarnation", &LeaseRenew::incarnation),
      field("sequence", &LeaseRenew::sequence),
      field("applied_revision", &LeaseRenew::appliedRevision),
      field("load_requests_per_second", &LeaseRenew::loadRequestsPerSecond),
      field("partition_loads", &LeaseRenew::partitionLoads),
      field("mean_run_us", &LeaseRenew::meanRun), field("crowded", &LeaseRenew::isCrowded));
  }
};

enum class LeaseStatus
{
  Granted,
  NotLeader,    ///< Ask the node in leaderHint, or any other member.
  Unregistered, ///< The incarnation is not registered yet.
  Refused,      ///< The incarnation was declared lost and must not be used again.
};

struct LeaseAnswer
{
  static constexpr const char* kName = "lease_answer";
  std::uint64_t sequence = 0;
  LeaseStatus status = LeaseStatus::NotLeader;
  NodeId leaderHint = kNoNode;
  Millis length{ 0 };
  Revision committedRevision = 0;
  std::vector<NodeId> members{}; ///< The control members as known to the one that answers.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("sequence", &LeaseAnswer::sequence), field("status", &LeaseAnswer::status),
      field("leader_hint", &LeaseAnswer::leaderHint), field("length_ms", &LeaseAnswer::length),
      field("committed_revision", &LeaseAnswer::committedRevision),
      field("members", &LeaseAnswer::members));
  }
};

/// Changes after `from` up to and including `to`.
struct ViewUpdate
{
  static constexpr const char* kName = "view_update";
  Revision from = 0;
  Revision to = 0;
  std::vector<Change> changes;
  static constexpr auto fields()
  {
    return std::make_tuple(field("from", &ViewUpdate::from), field("to", &ViewUpdate::to),
                           field("changes", &ViewUpdate::changes));
  }
};

/// The whole state as changes from nothing, in parts of at most 256 KiB.
struct ViewSnapshot
{
  static constexpr const char* kName = "view_snapshot";
  Revision revision = 0;
  std::uint32_t part = 0;
  std::uint32_t partCount = 1;
  std::vector<Change> changes;
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("revision", &ViewSnapshot::revision), field("part", &ViewSnapshot::part),
      field("part_count", &ViewSnapshot::partCount), field("changes", &ViewSnapshot::changes));
  }
};

/// A command on its way to the control leader, from a daemon or from another control member.
struct CommandSubmit
{
  static constexpr const char* kName = "command_submit";
  RequestId id;
  Command command;
  static constexpr auto fields()
  {
    return std::make_tuple(field("id", &CommandSubmit::id),
                           field("command", &CommandSubmit::command));
  }
};

/// Code NotLeader means that the command was not proposed here; NoQuorum that its outcome is
/// unknown.
struct CommandReply
{
  static constexpr const char* kName = "command_reply";
  RequestId id;
  CommandResult result;
  NodeId leaderHint = kNoNode;
  static constexpr auto fields()
  {
    return std::make_tuple(field("id", &CommandReply::id), field("result", &CommandReply::result),
                           field("leader_hint", &CommandReply::leaderHint));
  }
};

/// Asks the leader for a linearizable read position.
struct ReadSubmit
{
  static constexpr const char* kName = "read_submit";
  RequestId id;
  static constexpr auto fields() { return std::make_tuple(field("id", &ReadSubmit::id)); }
};

struct ReadReply
{
  static constexpr const char* kName = "read_reply";
  RequestId id;
  ErrorCode code = ErrorCode::None;
  Revision revision = 0; ///< A state at or after this revision answers the read.
  NodeId leaderHint = kNoNode;
  static constexpr auto fields()
  {
    return std::make_tuple(field("id", &ReadReply::id), field("code", &ReadReply::code),
                           field("revision", &ReadReply::revision),
                           field("leader_hint", &ReadReply::leaderHint));
  }
};

// Requests: entry daemon to owner daemon and back.

struct Header
{
  std::string name;
  std::string value;
  static constexpr auto fields()
  {
    return std::make_tuple(field("name", &Header::name), field("value", &Header::value));
  }
};

struct RequestHead
{
  static constexpr const char* kName = "request_head";
  RequestId id;
  std::string service;
  std::string key; ///< Empty for an unkeyed service.
  PartitionId partition = 0;
  std::string account; ///< Empty on an open route.
  std::string keyName; ///< Name of the account key that the caller brought.
  std::string method;
  std::string path; ///< Path and query, as the caller sent them.
  std::vector<Header> headers;
  bool hasBody = false; ///< Whether body chunks follow.
  std::optional<std::uint64_t> contentLength;
  Millis deadline{ 0 }; ///< Time left when sent.
  std::string idempotencyKey;
  std::string bodyDigest; ///< SHA-256 of a body of at most 64 KiB; empty if it is larger.
  bool isResend = false;  ///< An earlier attempt may have run.
  bool isIdempotent = false;
  std::uint32_t priority = 0;  ///< 0 is the highest.
  Millis objective{ 0 };       ///< Time left for an answer of full value; 0: the deadline counts.
  std::string callerService;   ///< Service of the target beside the entry; may be empty.
  std::string callerRequestId; ///< The caller's own name for the request; may be empty.
  Revision routeRevision = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("id", &RequestHead::id), field("service", &RequestHead::service),
      field("key", &RequestHead::key), field("partition", &RequestHead::partition),
      field("account", &RequestHead::account), field("key_name", &RequestHead::keyName),
      field("method", &RequestHead::method), field("path", &RequestHead::path),
      field("headers", &RequestHead::headers), field("has_body", &RequestHead::hasBody),
      field("content_length", &RequestHead::contentLength),
      field("deadline_ms", &RequestHead::deadline),
      field("idempotency_key", &RequestHead::idempotencyKey),
      field("body_digest", &RequestHead::bodyDigest), field("resend", &RequestHead::isResend),
      field("idempotent", &RequestHead::isIdempotent), field("priority", &RequestHead::priority),
      field("objective_ms", &RequestHead::objective),
      field("caller_service", &RequestHead::callerService),
      field("caller_request_id", &RequestHead::callerRequestId),
      field("route_revision", &RequestHead::routeRevision));
  }
};

struct ResponseHead
{
  static constexpr const char* kName = "response_head";
  RequestId id;
  std::uint32_t status = 0;
  std::vector<Header> headers;
  Micros expectedTime{ 0 }; ///< Wait and run of a next request at the owner; 0: not known.
  static constexpr auto fields()
  {
    return std::make_tuple(field("id", &ResponseHead::id), field("status", &ResponseHead::status),
                           field("headers", &ResponseHead::headers),
                           field("expected_us", &ResponseHead::expectedTime));
  }
};

enum class Direction
{
  ToTarget,
  ToCaller
};

/// At most 64 KiB of a body. Sequence numbers start at 0 and have no gaps.
struct BodyChunk
{
  static constexpr const char* kName = "body_chunk";
  RequestId id;
  Direction direction = Direction::ToTarget;
  std::uint64_t sequence = 0;
  bool isLast = false;
  std::uint64_t totalBytes = 0; ///< Length of the whole body; meaningful if isLast.
  Bytes data;
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("id", &BodyChunk::id), field("direction", &BodyChunk::direction),
      field("sequence", &BodyChunk::sequence), field("last", &BodyChunk::isLast),
      field("total_bytes", &BodyChunk::totalBytes), field("data", &BodyChunk::data));
  }
};

/// Allows the other side to send so many more body bytes.
struct Credit
{
  static constexpr const char* kName = "credit";
  RequestId id;
  Direction direction = Direction::ToTarget;
  std::uint64_t bytes = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(field("id", &Credit::id), field("direction", &Credit::direction),
                           field("bytes", &Credit::bytes));
  }
};

enum class Outcome
{
  Answered,
  NotRun,  ///< The target did not run the request.
  Unknown, ///< The target may have run the request.
};

/// Ends a request without an answer.
struct RequestFailed
{
  static constexpr const char* kName = "request_failed";
  RequestId id;
  Outcome outcome = Outcome::Unknown;
  ErrorCode code = ErrorCode::Internal;
  std::string message;
  Millis retryAfter{ 0 };
  Revision revision = 0; ///< With NotOwner: the revision that the refusing daemon has applied.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("id", &RequestFailed::id), field("outcome", &RequestFailed::outcome),
      field("code", &RequestFailed::code), field("message", &RequestFailed::message),
      field("retry_after_ms", &RequestFailed::retryAfter),
      field("revision", &RequestFailed::revision));
  }
};

/// The caller is gone; the owner cancels the work if it can.
struct CancelRequest
{
  static constexpr const char* kName = "cancel_request";
  RequestId id;
  static constexpr auto fields() { return std::make_tuple(field("id", &CancelRequest::id)); }
};

// Rates: dispatching daemon to the home of an account and back.

struct TokenRequest
{
  static constexpr const char* kName = "token_request";
  std::string account;
  Incarnation drawer = 0;
  std::uint64_t sequence = 0;
  std::uint32_t wanted = 0;
  std::uint32_t waiting = 0; ///< How many of the wanted tokens have a request that waits for them.
  /// Tokens spent, and given back unspent or expired, since the request that `accepted` answers. A
  /// request that got no answer is counted again in the next one.
  std::uint32_t spent = 0;
  std::uint32_t returned = 0;
  std::uint64_t bucket = 0;   ///< Bucket that granted these tokens; 0 if none did.
  std::uint64_t accepted = 0; ///< Sequence of the last answer used; later ones were discarded.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("account", &TokenRequest::account), field("drawer", &TokenRequest::drawer),
      field("sequence", &TokenRequest::sequence), field("wanted", &TokenRequest::wanted),
      field("waiting", &TokenRequest::waiting), field("spent", &TokenRequest::spent),
      field("returned", &TokenRequest::returned), field("bucket", &TokenRequest::bucket),
      field("accepted", &TokenRequest::accepted));
  }
};

struct TokenAnswer
{
  static constexpr const char* kName = "token_answer";
  std::string account;
  std::uint64_t sequence = 0;
  /// NotOwner: the account's home is elsewhere. OverRate: waiting requests beyond granted +
  /// promised are above the rate.
  ErrorCode code = ErrorCode::None;
  std::uint32_t granted = 0;
  std::uint32_t promised = 0; ///< Waiting requests within the rate; ask again after retryAfter.
  Micros lifetime{ 0 };       ///< From the moment the request was sent.
  Micros retryAfter{ 0 };     ///< When the next token is due, if tokens are missing.
  Micros reportWithin{ 0 };   ///< Longest delay of a report of spent tokens.
  std::uint64_t bucket = 0;   ///< Random number of the bucket; a new home has a new one.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("account", &TokenAnswer::account), field("sequence", &TokenAnswer::sequence),
      field("code", &TokenAnswer::code), field("granted", &TokenAnswer::granted),
      field("promised", &TokenAnswer::promised), field("lifetime_us", &TokenAnswer::lifetime),
      field("retry_after_us", &TokenAnswer::retryAfter),
      field("report_within_us", &TokenAnswer::reportWithin), field("bucket", &TokenAnswer::bucket));
  }
};

using PeerMessage = std::variant<Hello, LogFrame, JoinRequest, JoinReply, LeaseRenew, LeaseAnswer,
                                 ViewUpdate, ViewSnapshot, CommandSubmit, CommandReply, ReadSubmit,
                                 ReadReply, RequestHead, ResponseHead, BodyChunk, Credit,
                                 RequestFailed, CancelRequest, TokenRequest, TokenAnswer>;

} // namespace camphorcleat::wire

namespace camphorcleat {

template<>
struct EnumNames<wire::LeaseStatus>
{
  static constexpr EnumName<wire::LeaseStatus> kTable[] = {
    { wire::LeaseStatus::Granted, "granted" },
    { wire::LeaseStatus::NotLeader, "not_leader" },
    { wire::LeaseStatus::Unregistered, "unregistered" },
    { wire::LeaseStatus::Refused, "refused" },
  };
};

template<>
struct EnumNames<wire::Direction>
{
  static constexpr EnumName<wire::Direction> kTable[] = {
    { wire::Direction::ToTarget, "to_target" },
    { wire::Direction::ToCaller, "to_caller" },
  };
};

template<>
struct EnumNames<wire::Outcome>
{
  static constexpr EnumName<wire::Outcome> kTable[] = {
    { wire::Outcome::Answered, "answered" },
    { wire::Outcome::NotRun, "not_run" },
    { wire::Outcome::Unknown, "outcome_unknown" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_WIRE_PEERMESSAGES_H_
