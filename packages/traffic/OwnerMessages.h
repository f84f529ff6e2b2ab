// What the owner role is told, and what it asks its embedder to do.

#ifndef CAMPHORCLEAT_TRAFFIC_OWNERMESSAGES_H_
#define CAMPHORCLEAT_TRAFFIC_OWNERMESSAGES_H_

#include <optional>
#include <string>
#include <variant>

#include "base/Errors.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "traffic/IdempotencyStore.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::traffic {

// Events.

/// A request came from an entry daemon.
struct RequestArrived
{
  RequestId id;
  std::string account; ///< Empty on an open route.
  std::string service;
  std::string key;
  PartitionId partition = 0;
  bool isKeyed = true;
  bool isIdempotent = false;
  bool isOpenRoute = false;
  std::uint32_t priority = 0; ///< 0 is the highest.
  std::string idempotencyKey;
  std::string requestDigest; ///< Digest of method, path and body; compared for equal keys.
  TimePoint deadline;
  bool isResend = false;
  TimePoint objective = TimePoint::max(); ///< An answer after this is worth less.
};

/// The caller is gone.
struct RequestCancelled
{
  RequestId id;
};

/// The home of an account answered a draw.
struct TokensAnswered
{
  wire::TokenAnswer answer;
  TimePoint sentAt; ///< When the draw was handed to the network, or earlier.
};

/// The draw of an account could not be sent or its connection was lost.
struct TokenHomeUnreachable
{
  std::string account;
};

/// What the target's health response says, or that there was none.
struct TargetReport
{
  bool isReachable = false;
  Incarnation incarnation = 0; ///< 0 if the target does not tell.
  std::uint32_t slots = 1;
  std::uint32_t coldSlots = 1;
  Millis warmUp{ 0 };
  bool isCold = false;     ///< The target announces a cold start.
  bool isDraining = false; ///< The target, or its zone, takes no new work.
  /// Most requests in any second while cold; 0: slots and warm-up time bound a cold start.
  double coldRequestsPerSecond = 0;
  Millis coldFor{ 0 }; ///< Time for which it stays cold, if it is paced by rate.
};

/// The target closed or reset a connection unexpectedly.
struct TargetConnectionReset
{};

/// The head of the target's response arrived.
struct ResponseStarted
{
  RequestId id;
  std::uint32_t status = 0;
  bool isShed = false;   ///< The target refused for lack of room.
  bool isFenced = false; ///< The target refused for lack of a live grant.
};

/// The exchange with the target is over. Follows each Dispatch exactly once.
struct RequestEnded
{
  RequestId id;
  wire::Outcome outcome = wire::Outcome::Unknown;
  ErrorCode code = ErrorCode::None;
  std::optional<StoredAnswer> answer; ///< If answered and small enough to be stored.
};

/// A planned move of a partition begins.
struct StopPartition
{
  std::string service;
  PartitionId partition = 0;
};

/// The daemon or its target leaves.
struct BeginDrain
{};

/// Time has passed; see nextWake().
struct Tick
{};

using OwnerEvent = std::variant<RequestArrived, RequestCancelled, TokensAnswered,
                                TokenHomeUnreachable, TargetReport, TargetConnectionReset,
                                ResponseStarted, RequestEnded, StopPartition, BeginDrain, Tick>;

// Actions.

/// Write the request to the target at once. The rate token is spent.
struct Dispatch
{
  RequestId id;
  FencingToken token = 0; ///< 0 for an unkeyed service.
  TimePoint deadline;     ///< Told to the target.
  TimePoint cancelAt;     ///< The answer is awaited until then.
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

/// Send this to the home of the account.
struct DrawTokens
{
  wire::TokenRequest request;
};

/// End the exchange with the target; RequestEnded follows.
struct CancelAtTarget
{
  RequestId id;
};

/// Give the stored answer to the caller.
struct ReplayAnswer
{
  RequestId id;
  StoredAnswer answer;
};

/// A stopped partition has no request in progress.
struct PartitionIdle
{
  std::string service;
  PartitionId partition = 0;
};

/// After BeginDrain, no request waits or runs.
struct DrainComplete
{};

using OwnerAction = std::variant<Dispatch, Refuse, DrawTokens, CancelAtTarget, ReplayAnswer,
                                 PartitionIdle, DrainComplete>;

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_OWNERMESSAGES_H_
