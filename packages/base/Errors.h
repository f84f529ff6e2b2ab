// Typed failures and the result type that carries them.
//
// Each failure is a struct with its facts as fields, a stable code for callers and operators, and a
// sentence. fail() loads both the struct and an ErrorInfo into a boost::leaf::result, so that a
// handler may match the exact type or only report code and sentence.

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

/// Stable codes shown to callers and operators. Append only: programs match on the names.
enum class ErrorCode
{
  None,
  // Requests.
  BadRequest,
  UnknownService,
  UnknownAccountKey,
  RouteForbidden,
  OverRate,
  QueueFull,
  Overloaded,
  DeadlineExceeded,
  ConfigStale,
  NotOwner,
  NoOwner,
  LeaseExpired,
  TargetDown,
  TargetShed,
  TargetFenced,
  Draining,
  PeerUnreachable,
  OutcomeUnknown,
  AnswerTruncated,
  BodyTooLarge,
  HeaderTooLarge,
  Cancelled,
  IdempotencyConflict,
  // Control.
  NotLeader,
  CommandIdConflict,
  RevisionConflict,
  UnknownObject,
  ObjectExists,
  InvalidCommand,
  SyntaxError,
  CapacityTooSmall,
  IncarnationRefused,
  NoQuorum,
  // Storage and input.
  DecodeFailed,
  StorageFailed,
  LogDamaged,
  SettingsInvalid,
  UsageError,
  Internal,
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
    { ErrorCode::AnswerTruncated, "answer_truncated" },
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
  };
};

/// Code and sentence of any failure made by fail().
struct ErrorInfo
{
  ErrorCode code = ErrorCode::Internal;
  std::string message;
};

/// A message, record or file that does not follow its format.
struct DecodeError
{
  static constexpr ErrorCode kCode = ErrorCode::DecodeFailed;
  std::string path;   ///< Field path inside the message, such as "entries.3.term".
  std::string reason; ///< What was found and what was expected.
  std::string message() const { return "field '" + path + "': " + reason; }
};

/// A file operation that the system refused.
struct StorageError
{
  static constexpr ErrorCode kCode = ErrorCode::StorageFailed;
  std::string file;
  std::string operation;
  int systemError = 0;
  std::string message() const;
};

/// Damage in the middle of a log or snapshot file.
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

/// Makes a failed result from a typed error. Thread-safe.
template<class E>
leaf::error_id fail(E aError)
{
  ErrorInfo info{ E::kCode, aError.message() };
  return leaf::new_error(std::move(aError), std::move(info));
}

/// Runs a function that returns Result<T> and hands a failure's ErrorInfo to the handler, which
/// returns a T in its place. Thread-safe if both functions are.
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
