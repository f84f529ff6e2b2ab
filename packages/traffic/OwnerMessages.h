// Events and actions of OwnerLogic, the state machine of the owner role.

#ifndef CAMPHORCLEAT_TRAFFIC_OWNERMESSAGES_H_
#define CAMPHORCLEAT_TRAFFIC_OWNERMESSAGES_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/Errors.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "traffic/IdempotencyStore.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::traffic {

// Events.

/// A request arrived from an entry daemon.
struct RequestArrived
{
  RequestId id;
  std::string account; ///< Empty on an open route, which needs no account.
  /// Rate limit of the account in requests per second; 0 if it has none.
  double accountRate = 0;
  std::string service;
  std::string key;
  PartitionId partition = 0;
  bool isKeyed = true;
  bool isIdempotent = false;
  bool isOpenRoute = false;
  std::uint32_t priority = 0; ///< 0 is the highest.
  std::string idempotencyKey;
  /// Digest of method, path and body; compared if the idempotency key was used before.
  std::string requestDigest;
  TimePoint deadline;
  bool isResend = false; ///< An earlier attempt of this request may have run.
  /// Latency objective: the time by which the response should be complete.
  TimePoint objective = TimePoint::max();
};

/// The caller no longer waits for the response.
struct RequestCancelled
{
  RequestId id;
};

/// The account keys of these requests belong to other accounts now, which are named here. Those
/// that wait are queued again, in this order.
struct AccountsChanged
{
  std::vector<RequestArrived> requests;
};

/// The daemon of the entry is stopping. The request is refused unless it was dispatched.
struct RequestWithdrawn
{
  RequestId id;
};

/// The home of an account replied to a token request.
struct TokenReplyArrived
{
  wire::TokenReply reply;
  TimePoint sentAt; ///< When the token request was passed to the network, or earlier.
};

/// The token request of an account could not be sent, or its connection was lost.
struct TokenHomeUnreachable
{
  std::string account;
};

/// The target's health response, or the absence of one.
struct TargetReport
{
  bool isReachable = false;
  Incarnation incarnation = 0; ///< 0 if the target does not report it.
  std::uint32_t slots = 1;     ///< Maximum number of requests in flight at the warm target.
  std::uint32_t coldSlots = 1; ///< The same right after a cold start.
  Millis warmUp{ 0 };          ///< Time in which the limit grows from coldSlots to slots.
  bool isCold = false;         ///< The target announces a cold start.
  bool isDraining = false;     ///< The target or its zone accepts no new work.
  /// Maximum number of requests in any second while the target is cold; 0 if slots and warm-up time
  /// limit it instead.
  double coldRequestsPerSecond = 0;
  Millis coldFor{ 0 }; ///< For how long the target stays cold, if a rate limits it.
};

/// The outcome of a CheckColdTime.
struct ColdTimeChecked
{
  TimePoint sentAt;                ///< When the check was sent.
  std::optional<Millis> coldFor{}; ///< For how long the target stays cold; no value: unknown.
};

/// The target closed or reset a connection unexpectedly.
struct TargetConnectionReset
{};

/// The head of the target's response arrived.
struct ResponseStarted
{
  RequestId id;
  std::uint32_t status = 0;
  bool isShed = false;   ///< The target refused the request because it has no capacity.
  bool isFenced = false; ///< The target refused the request because the grant was not valid.
};

/// The exchange with the target ended. Occurs exactly once for each Dispatch.
struct RequestEnded
{
  RequestId id;
  wire::Outcome outcome = wire::Outcome::Unknown;
  ErrorCode code = ErrorCode::None;
  /// Set if the request was answered and the response is small enough to store.
  std::optional<StoredResponse> response;
};

/// A planned handover of a partition begins: the owner must stop serving it.
struct StopPartition
{
  std::string service;
  PartitionId partition = 0;
};

/// The daemon is stopping: no new request is accepted. A queued one that may run after `end` is
/// refused unless it starts by `lastStart`.
struct BeginDrain
{
  TimePoint lastStart = TimePoint::max();
  TimePoint end = TimePoint::max();
};

/// Lets OwnerLogic do its time-driven work; see OwnerLogic::nextWake().
struct Tick
{};

using OwnerEvent = std::variant<RequestArrived, RequestCancelled, AccountsChanged, RequestWithdrawn,
                                TokenReplyArrived, TokenHomeUnreachable, TargetReport,
                                ColdTimeChecked, TargetConnectionReset, ResponseStarted,
                                RequestEnded, StopPartition, BeginDrain, Tick>;

// Actions.

/// Write the request to the target at once. The rate token has been spent.
struct Dispatch
{
  RequestId id;
  FencingToken token = 0; ///< 0 for an unkeyed service.
  TimePoint deadline;     ///< Sent to the target.
  TimePoint cancelAt;     ///< The exchange is cancelled at this time.
};

/// End the request without running it. Never follows a Dispatch of the same request.
struct Refuse
{
  RequestId id;
  wire::Outcome outcome = wire::Outcome::NotRun;
  ErrorCode code = ErrorCode::Internal;
  std::string message;
  Millis retryAfter{ 0 };
};

/// Send this token request to the home of the account.
struct SendTokenRequest
{
  wire::TokenRequest request;
};

/// Ask the target for how long it stays cold; ColdTimeChecked follows.
struct CheckColdTime
{};

/// Cancel the exchange with the target; RequestEnded follows.
struct CancelAtTarget
{
  RequestId id;
};

/// Send the stored response to the caller.
struct ReplayResponse
{
  RequestId id;
  StoredResponse response;
};

/// A stopped partition has no requests in progress.
struct PartitionIdle
{
  std::string service;
  PartitionId partition = 0;
};

/// After BeginDrain: no request is waiting or running.
struct DrainComplete
{};

using OwnerAction = std::variant<Dispatch, Refuse, SendTokenRequest, CheckColdTime, CancelAtTarget,
                                 ReplayResponse, PartitionIdle, DrainComplete>;

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_OWNERMESSAGES_H_
