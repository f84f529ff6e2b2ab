// Typed errors and the result type that carries them.
//
// Each error is a struct with its details as fields, a stable code for callers and operators, and a
// message. fail() puts the struct and an ErrorInfo into a boost::leaf::result, so that a handler
// can match the exact type or only report the code and the message.

#ifndef CAMPHORCLEAT_BASE_ERRORS_H_
#define CAMPHORCLEAT_BASE_ERRORS_H_

#include <cstdint>
#include <string>
#include <utility>

#include <boost/leaf.hpp>

#include "base/EnumNames.h"
#include "base/Ids.h"

namespace camphorcleat {

namespace leaf = boost::leaf;
template<class T>
using Result = boost::leaf::result<T>;

/// Error codes for callers and operators. Programs match on the names in EnumNames, which therefore
/// must not change. New codes go at the end, because the compact encoding sends the number.
enum class ErrorCode
{
  None,
  // Requests.
  BadRequest,
  UnknownService,
  UnknownAccountKey,
  RouteForbidden,
  OverRate,  ///< The account exceeds its rate limit.
  QueueFull, ///< The target's queue is full.
  /// Another limit is reached, such as that of connections, or the expected wait is too long.
  Overloaded,
  DeadlineExceeded,
  ConfigStale,  ///< The daemon's configuration is missing or wasn't confirmed recently.
  NotOwner,     ///< The daemon doesn't own the partition, or isn't the home of the account.
  NoOwner,      ///< The partition has no owner.
  LeaseExpired, ///< The daemon's lease has expired or is about to expire.
  TargetDown,   ///< The target isn't reachable.
  TargetShed,   ///< The target refused the request, for example to shed load.
  TargetFenced, ///< The target refused the request for lack of a valid grant.
  Draining,     ///< The target is draining and accepts no new requests.
  PeerUnreachable,
  OutcomeUnknown, ///< The target may have run the request.
  ResponseTruncated,
  BodyTooLarge,
  HeaderTooLarge,
  Cancelled,
  IdempotencyConflict, ///< The idempotency key was used for another request.
  // Control.
  NotLeader,
  CommandIdConflict, ///< The command id was used for another command.
  RevisionConflict,  ///< The state has another revision or version than the command expects.
  UnknownObject,
  ObjectExists,
  InvalidCommand,
  SyntaxError,
  CapacityTooSmall,   ///< A limit of the fleet is reached, or a service would have no node left.
  IncarnationRefused, ///< The incarnation was declared lost, or the node has another one.
  /// No quorum of the control members responded in time, or the fleet has no partitions yet.
  NoQuorum,
  // Storage and input.
  DecodeFailed,
  StorageFailed,
  LogDamaged,
  SettingsInvalid,
  UsageError,
  Internal,
  // Requests, continued.
  ZoneOut, ///< Operators have taken the availability zone of the target out of service.
  // Control, continued.
  Superseded, ///< A later command of an operator was accepted first.
};

template<>
struct EnumNames<ErrorCode>
{
  static constexpr EnumName<ErrorCode> kTable[] = {
    { ErrorCode::None, "none" },
    { ErrorCode::BadRequest, "bad_request" },
    { ErrorCode::UnknownService, "unknown_service" },
    { ErrorCode::UnknownAccountKey, "unknown_account_key" },
    { ErrorCode::RouteForbidden, "route_forbidden" },
    { ErrorCode::OverRate, "over_rate" },
    { ErrorCode::QueueFull, "queue_full" },
    { ErrorCode::Overloaded, "overloaded" },
    { ErrorCode::DeadlineExceeded, "deadline_exceeded" },
    { ErrorCode::ConfigStale, "config_stale" },
    { ErrorCode::NotOwner, "not_owner" },
    { ErrorCode::NoOwner, "no_owner" },
    { ErrorCode::LeaseExpired, "lease_expired" },
    { ErrorCode::TargetDown, "target_down" },
    { ErrorCode::TargetShed, "target_shed" },
    { ErrorCode::TargetFenced, "target_fenced" },
    { ErrorCode::Draining, "draining" },
    { ErrorCode::PeerUnreachable, "peer_unreachable" },
    { ErrorCode::OutcomeUnknown, "outcome_unknown" },
    { ErrorCode::ResponseTruncated, "answer_truncated" },
    { ErrorCode::BodyTooLarge, "body_too_large" },
    { ErrorCode::HeaderTooLarge, "header_too_large" },
    { ErrorCode::Cancelled, "cancelled" },
    { ErrorCode::IdempotencyConflict, "idempotency_conflict" },
    { ErrorCode::NotLeader, "not_leader" },
    { ErrorCode::CommandIdConflict, "command_id_conflict" },
    { ErrorCode::RevisionConflict, "revision_conflict" },
    { ErrorCode::UnknownObject, "unknown_object" },
    { ErrorCode::ObjectExists, "object_exists" },
    { ErrorCode::InvalidCommand, "invalid_command" },
    { ErrorCode::SyntaxError, "syntax_error" },
    { ErrorCode::CapacityTooSmall, "capacity_too_small" },
    { ErrorCode::IncarnationRefused, "incarnation_refused" },
    { ErrorCode::NoQuorum, "no_quorum" },
    { ErrorCode::DecodeFailed, "decode_failed" },
    { ErrorCode::StorageFailed, "storage_failed" },
    { ErrorCode::LogDamaged, "log_damaged" },
    { ErrorCode::SettingsInvalid, "settings_invalid" },
    { ErrorCode::UsageError, "usage_error" },
    { ErrorCode::Internal, "internal" },
    { ErrorCode::ZoneOut, "zone_out" },
    { ErrorCode::Superseded, "superseded" },
  };
};

/// Code and message of an error made by fail().
struct ErrorInfo
{
  ErrorCode code = ErrorCode::Internal;
  std::string message;
};

/// A message, record or file has an invalid format.
struct DecodeError
{
  static constexpr ErrorCode kCode = ErrorCode::DecodeFailed;
  std::string path;   ///< Field path inside the message, such as "entries.3.term".
  std::string reason; ///< The expected value, or the invalid value that was found.
  std::string message() const { return "field '" + path + "': " + reason; }
};

/// A system call on a file failed with the errno in systemError.
struct StorageError
{
  static constexpr ErrorCode kCode = ErrorCode::StorageFailed;
  std::string file;
  std::string operation;
  int systemError = 0;
  std::string message() const;
};

/// A log or snapshot file is damaged at offsetBytes.
struct LogDamagedError
{
  static constexpr ErrorCode kCode = ErrorCode::LogDamaged;
  std::string file;
  std::uint64_t offsetBytes = 0;
  std::string reason;
  std::string message() const
  {
    return file + " at byte " + std::to_string(offsetBytes) + ": " + reason;
  }
};

/// Returns a failed result that holds a typed error and its ErrorInfo. Thread-safe.
template<class E>
leaf::error_id fail(E aError)
{
  ErrorInfo info{ E::kCode, aError.message() };
  return leaf::new_error(std::move(aError), std::move(info));
}

/// Calls a function that returns Result<T> and returns its value. If it fails, returns the T that
/// the handler makes from the ErrorInfo. Thread-safe if both functions are.
template<class Function, class Handler>
auto orElse(Function&& aFunction, Handler&& aHandler)
{
  return leaf::try_handle_all(
    std::forward<Function>(aFunction), [&](const ErrorInfo& aInfo) { return aHandler(aInfo); },
    [&] {
      return aHandler(ErrorInfo{ ErrorCode::Internal, "failure without details" });
    });
}

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_ERRORS_H_
