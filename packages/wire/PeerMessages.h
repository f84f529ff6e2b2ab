// The messages between daemons and the variant that holds any of them.

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

// Connection setup.

/// First message on every connection, in both directions.
struct Hello
{
  static constexpr const char* kName = "hello";
  NodeId node = kNoNode;
  Incarnation incarnation = 0;
  std::string fleet;  ///< Fleet name; a connection between different fleets is closed.
  Micros sentAt{ 0 }; ///< On the clock of the sender's VM since its boot.
  static constexpr auto fields()
  {
    return std::make_tuple(field("node", &Hello::node), field("incarnation", &Hello::incarnation),
                           field("fleet", &Hello::fleet), field("sent_at_us", &Hello::sentAt));
  }
};

/// A log message between control members.
struct LogFrame
{
  static constexpr const char* kName = "log";
  LogMessage message;
  static constexpr auto fields() { return std::make_tuple(field("message", &LogFrame::message)); }
};

/// Requests the log for a control daemon without a vote, which becomes a voter once it has caught
/// up.
struct JoinRequest
{
  static constexpr const char* kName = "join_request";
  static constexpr std::tuple<> fields() { return {}; }
};

/// Names the nodes to which a control daemon may resend its join request.
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

// Leases and configuration: between daemons and control members.

/// Recent request rate of one partition at its owner: a mean that decays exponentially with a time
/// constant of 1.5 s (PartitionLoads).
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
  std::uint64_t sequence = 0;              ///< Number of the renewal, which the reply repeats.
  Revision appliedRevision = 0;            ///< The leader sends the changes after it.
  std::uint32_t loadRequestsPerSecond = 0; ///< Load hint for the placement.
  /// Load hint for the placement of a service whose partitions are ranges of keys
  /// (Service::isRanged): the request rates of the partitions that this node owns.
  std::vector<PartitionLoad> partitionLoads{};
  /// Load hint for the same placement: the mean run time of a request; 0 if unknown.
  Micros meanRun{ 0 };
  bool isSaturated = false; ///< More requests are queued than the target runs concurrently.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("node", &LeaseRenew::node), field("incarnation", &LeaseRenew::incarnation),
      field("sequence", &LeaseRenew::sequence),
      field("applied_revision", &LeaseRenew::appliedRevision),
      field("load_requests_per_second", &LeaseRenew::loadRequestsPerSecond),
      field("partition_loads", &LeaseRenew::partitionLoads),
      field("mean_run_us", &LeaseRenew::meanRun), field("crowded", &LeaseRenew::isSaturated));
  }
};

enum class LeaseStatus
{
  Granted,
  NotLeader,    ///< Retry at leaderHint or at any other member.
  Unregistered, ///< The incarnation isn't registered yet.
  Refused,      ///< The incarnation was declared lost and must not be used again.
};

struct LeaseReply
{
  static constexpr const char* kName = "lease_answer";
  std::uint64_t sequence = 0;
  LeaseStatus status = LeaseStatus::NotLeader;
  NodeId leaderHint = kNoNode;
  Millis length{ 0 };             ///< Validity of the lease from the sending of the renewal.
  Revision committedRevision = 0; ///< Latest committed revision that the leader knows.
  std::vector<NodeId> members{};  ///< The control members that the sender knows.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("sequence", &LeaseReply::sequence), field("status", &LeaseReply::status),
      field("leader_hint", &LeaseReply::leaderHint), field("length_ms", &LeaseReply::length),
      field("committed_revision", &LeaseReply::committedRevision),
      field("members", &LeaseReply::members));
  }
};

/// The changes after revision `from` up to and including `to`.
struct ViewUpdate
{
  static constexpr const char* kName = "view_update";
  Revision from = 0;
  Revision to = 0;
  std::vector<Change> changes;
  std::vector<Revision> revisions; ///< Of each change, so that none is applied twice.
  static constexpr auto fields()
  {
    return std::make_tuple(field("from", &ViewUpdate::from), field("to", &ViewUpdate::to),
                           field("changes", &ViewUpdate::changes),
                           field("revisions", &ViewUpdate::revisions));
  }
};

/// The complete state as changes to an empty state, in parts of at most 256 KiB.
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

/// Forwards a command from a daemon or a control member to the control leader.
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

/// Reply to CommandSubmit. Code NotLeader means that the receiver didn't propose the command.
/// NoQuorum means that the outcome is unknown or that the fleet has no partitions yet.
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

/// Asks the leader for the minimum revision of a linearizable read.
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
  Revision revision = 0; ///< Minimum revision of the state that the read may use.
  NodeId leaderHint = kNoNode;
  static constexpr auto fields()
  {
    return std::make_tuple(field("id", &ReadReply::id), field("code", &ReadReply::code),
                           field("revision", &ReadReply::revision),
                           field("leader_hint", &ReadReply::leaderHint));
  }
};

// Requests: between the entry daemon and the owner daemon.

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
  std::string keyName; ///< Name of the caller's account key.
  std::string method;
  std::string path; ///< Path and query as received from the caller.
  std::vector<Header> headers;
  bool hasBody = false; ///< Whether body chunks follow.
  std::optional<std::uint64_t> contentLength;
  Millis deadline{ 0 }; ///< Remaining time when sent.
  std::string idempotencyKey;
  std::string bodyDigest; ///< SHA-256 of the body; empty if it is larger than 64 KiB.
  bool isResend = false;  ///< An earlier attempt may have run.
  bool isIdempotent = false;
  std::uint32_t priority = 0;  ///< 0 is the highest.
  Millis objective{ 0 };       ///< Remaining time of the latency objective; 0: there is none.
  std::string callerService;   ///< Service of the target beside the entry; may be empty.
  std::string callerRequestId; ///< The caller's id for the request; may be empty.
  Revision routeRevision = 0;  ///< Revision of the entry's view when it matched the route.
  Micros sentAt{ 0 };          ///< On the clock of the entry's VM since its boot; 0: unknown.
  /// Whether the entry sends more than the beginning of the body only with credit. Earlier versions
  /// sent the first 64 KiB at once.
  bool awaitsBodyCredit = false;
  /// The clock of the owner's VM since its boot showed at least this when the message was sent; 0:
  /// unknown.
  Micros ownerClock{ 0 };
  /// SHA-256 of the caller's account key, which may belong to another account by the time the
  /// request starts; empty if there is none.
  Bytes keyDigest;
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
      field("route_revision", &RequestHead::routeRevision),
      field("sent_at_us", &RequestHead::sentAt),
      field("awaits_body_credit", &RequestHead::awaitsBodyCredit),
      field("owner_clock_us", &RequestHead::ownerClock),
      field("key_digest", &RequestHead::keyDigest));
  }
};

struct ResponseHead
{
  static constexpr const char* kName = "response_head";
  RequestId id;
  std::uint32_t status = 0;
  std::vector<Header> headers;
  Micros expectedTime{ 0 }; ///< Expected queueing and run time of a next request; 0: unknown.
  Micros sentAt{ 0 };       ///< On the clock of the owner's VM since its boot; 0: unknown.
  static constexpr auto fields()
  {
    return std::make_tuple(field("id", &ResponseHead::id), field("status", &ResponseHead::status),
                           field("headers", &ResponseHead::headers),
                           field("expected_us", &ResponseHead::expectedTime),
                           field("sent_at_us", &ResponseHead::sentAt));
  }
};

enum class Direction
{
  ToTarget,
  ToCaller
};

/// A part of a body, at most 64 KiB. Sequence numbers start at 0 and have no gaps.
struct BodyChunk
{
  static constexpr const char* kName = "body_chunk";
  RequestId id;
  Direction direction = Direction::ToTarget;
  std::uint64_t sequence = 0;
  bool isLast = false;
  std::uint64_t totalBytes = 0; ///< Length of the complete body; valid if isLast.
  Bytes data;
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("id", &BodyChunk::id), field("direction", &BodyChunk::direction),
      field("sequence", &BodyChunk::sequence), field("last", &BodyChunk::isLast),
      field("total_bytes", &BodyChunk::totalBytes), field("data", &BodyChunk::data));
  }
};

/// Flow control: permits the receiver of this message to send more body bytes.
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
  Answered, ///< The target has responded.
  NotRun,   ///< The target has not run the request.
  Unknown,  ///< The target may have run the request.
};

/// Ends a request without a response.
struct RequestFailed
{
  static constexpr const char* kName = "request_failed";
  RequestId id;
  Outcome outcome = Outcome::Unknown;
  ErrorCode code = ErrorCode::Internal;
  std::string message;
  Millis retryAfter{ 0 };
  Revision revision = 0; ///< For NotOwner: the applied revision of the refusing daemon.
  Micros sentAt{ 0 };    ///< On the clock of the owner's VM since its boot; 0: unknown.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("id", &RequestFailed::id), field("outcome", &RequestFailed::outcome),
      field("code", &RequestFailed::code), field("message", &RequestFailed::message),
      field("retry_after_ms", &RequestFailed::retryAfter),
      field("revision", &RequestFailed::revision), field("sent_at_us", &RequestFailed::sentAt));
  }
};

/// The caller has disconnected. The owner cancels the request if possible.
struct CancelRequest
{
  static constexpr const char* kName = "cancel_request";
  RequestId id;
  static constexpr auto fields() { return std::make_tuple(field("id", &CancelRequest::id)); }
};

/// The daemon of the entry is stopping. The owner refuses the request as not run unless it has
/// started at the target. One that has started is cancelled if its caller is still sending the body
/// and its response hasn't begun.
struct WithdrawRequest
{
  static constexpr const char* kName = "withdraw_request";
  RequestId id;
  bool isBodyIncomplete = false;
  static constexpr auto fields()
  {
    return std::make_tuple(field("id", &WithdrawRequest::id),
                           field("body_incomplete", &WithdrawRequest::isBodyIncomplete));
  }
};

/// The last message of a daemon that ends. It has answered all requests of this link that it has
/// read, so it doesn't run the others.
struct Goodbye
{
  static constexpr const char* kName = "goodbye";
  static constexpr auto fields() { return std::make_tuple(); }
};

// Rate tokens: between a daemon that dispatches requests of an account and the account's home, the
// daemon that grants its rate tokens.

/// Requests rate tokens from the home of an account and reports the use of earlier ones.
struct TokenRequest
{
  static constexpr const char* kName = "token_request";
  std::string account;
  Incarnation drawer = 0;     ///< Incarnation of the daemon that requests the tokens.
  std::uint64_t sequence = 0; ///< Number of the request, which the reply repeats.
  std::uint32_t wanted = 0;
  std::uint32_t waiting = 0; ///< Number of wanted tokens for which a client request is waiting.
  /// Numbers of tokens spent, and of tokens returned as unspent or expired, since the request whose
  /// reply is `accepted`. They are reported again after a request without a reply.
  std::uint32_t spent = 0;
  std::uint32_t returned = 0;
  std::uint64_t bucket = 0;   ///< Id of the bucket that granted these tokens; 0 if there are none.
  std::uint64_t accepted = 0; ///< Sequence of the last reply used; later ones were discarded.
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

/// Reply to TokenRequest.
struct TokenReply
{
  static constexpr const char* kName = "token_answer";
  std::string account;
  std::uint64_t sequence = 0;
  /// NotOwner: another node is the home of the account. OverRate: the waiting requests beyond
  /// granted + promised exceed the rate.
  ErrorCode code = ErrorCode::None;
  std::uint32_t granted = 0;
  /// Number of waiting requests beyond `granted` that aren't refused, because they are within the
  /// rate, although there are no tokens for them yet. They keep waiting, and tokens are requested
  /// again after retryAfter. No tokens are reserved for them, but meanwhile the home grants other
  /// daemons tokens for waiting requests only.
  std::uint32_t promised = 0;
  Micros lifetime{ 0 };     ///< Validity of the tokens from the sending of the request.
  Micros retryAfter{ 0 };   ///< Time until the next token if tokens are missing.
  Micros reportWithin{ 0 }; ///< Maximum delay of a report of spent tokens.
  std::uint64_t bucket = 0; ///< Random id of the bucket; a new home uses a new one.
  /// Time from this reply to the next token request for the account, because the home gets more of
  /// them than it can handle; 0: none. The drawer should ask for as many tokens as it needs in it.
  Micros pace{ 0 };
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("account", &TokenReply::account), field("sequence", &TokenReply::sequence),
      field("code", &TokenReply::code), field("granted", &TokenReply::granted),
      field("promised", &TokenReply::promised), field("lifetime_us", &TokenReply::lifetime),
      field("retry_after_us", &TokenReply::retryAfter),
      field("report_within_us", &TokenReply::reportWithin), field("bucket", &TokenReply::bucket),
      field("pace_us", &TokenReply::pace));
  }
};

using PeerMessage =
  std::variant<Hello, LogFrame, JoinRequest, JoinReply, LeaseRenew, LeaseReply, ViewUpdate,
               ViewSnapshot, CommandSubmit, CommandReply, ReadSubmit, ReadReply, RequestHead,
               ResponseHead, BodyChunk, Credit, RequestFailed, CancelRequest, TokenRequest,
               TokenReply, WithdrawRequest, Goodbye>;

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
