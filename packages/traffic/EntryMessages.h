// Events and actions of EntryRequest, the state machine of one request at the entry daemon.

#ifndef CAMPHORCLEAT_TRAFFIC_ENTRYMESSAGES_H_
#define CAMPHORCLEAT_TRAFFIC_ENTRYMESSAGES_H_

#include <string>
#include <variant>
#include <vector>

#include "base/Errors.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::traffic {

// Events.

/// First event: the request passed the checks of the entry daemon.
struct Started
{
  bool isKeyed = true;
  bool isIdempotent = false;
  bool hasIdempotencyKey = false;
  TimePoint deadline;
  bool isResend = false;     ///< The caller marked the request as a resend.
  std::uint32_t maxRuns = 0; ///< Maximum number of attempts that may have run; 0 means no limit.
  bool mayHedge = true;
  /// Until this time, a request is retried while its key has no known or reachable owner.
  TimePoint bridgeUntil = TimePoint::max();
  /// The same limit for an owner that is lost. It can be earlier, because the lease of a lost owner
  /// can outlast the time that a request can wait.
  TimePoint lossBridgeUntil = TimePoint::max();
  /// Whether an unkeyed request fails at once if no target has capacity for it. Otherwise it is
  /// retried until its deadline.
  bool failsWithoutCapacity = false;
  /// See WithdrawalDue.
  TimePoint withdrawAt = TimePoint::max();
};

/// Response to LookUpRoute: send the attempt to this node.
struct RouteKnown
{
  NodeId node = kNoNode;
  FencingToken token = 0; ///< Of the key's grant; 0 if the request has no key.
  Revision revision = 0;  ///< Of the entry's view.
  bool isMoving = false;  ///< The key is being handed over to another node.
  /// No target may get the request, because operators have taken all their zones out of service.
  bool isOutOfService = false;
};

/// Response to LookUpRoute: no owner is known, or no usable target is left.
struct RouteUnknown
{
  bool isOutOfService = false; ///< As in RouteKnown. Waiting is of no use then.
};

/// An attempt ended without a complete response.
struct AttemptFailed
{
  std::uint32_t attempt = 0;
  wire::Outcome outcome = wire::Outcome::Unknown;
  ErrorCode code = ErrorCode::Internal;
  std::string message;
  Millis retryAfter{ 0 }; ///< When to retry, as the refusing node advises; 0 means no advice.
  Revision revision = 0;  ///< For NotOwner: revision of the refusing node's view.
};

/// The head of an attempt's response arrived.
struct AttemptHead
{
  std::uint32_t attempt = 0;
};

/// The response of an attempt arrived completely.
struct AttemptDone
{
  std::uint32_t attempt = 0;
};

/// The entry's view has changed since AwaitView.
struct ViewChanged
{};

/// The timer of the latest SetTimer expired. Events that come early or repeatedly have no effect.
struct TimerFired
{};

/// The daemon is stopping. From this time on, the request is refused unless it has started at a
/// target, so that the requests that have started can end before the daemon does.
struct WithdrawalDue
{
  TimePoint at;
};

/// The caller closed its connection.
struct CallerDisconnected
{};

using EntryEvent =
  std::variant<Started, RouteKnown, RouteUnknown, AttemptFailed, AttemptHead, AttemptDone,
               ViewChanged, TimerFired, WithdrawalDue, CallerDisconnected>;

// Actions.

/// Look up the node for the next attempt; respond with RouteKnown or RouteUnknown.
struct LookUpRoute
{
  std::vector<NodeId> exclude; ///< Nodes that must not be chosen; empty for keyed requests.
  /// The last route was wrong, so the newest routing data must be used.
  bool mustBeNewer = false;
};

/// Send ViewChanged once, when the entry's view changes.
struct AwaitView
{};

/// Send the request to a node. Attempts are numbered from 1.
struct StartAttempt
{
  std::uint32_t attempt = 0;
  NodeId node = kNoNode;
  bool isResend = false; ///< An earlier attempt may have run.
};

/// Cancel an attempt. Further events of this attempt are not needed.
struct CancelAttempt
{
  std::uint32_t attempt = 0;
};

/// Ask the owner to refuse an attempt that it hasn't started. AttemptFailed follows if it does.
struct WithdrawAttempt
{
  std::uint32_t attempt = 0;
};

/// Send TimerFired at this time. Replaces the previous timer.
struct SetTimer
{
  TimePoint at;
};

/// Forward the response of this attempt to the caller. Occurs at most once per request.
struct ForwardResponse
{
  std::uint32_t attempt = 0;
};

/// End the request with this failure. Occurs at most once, and never together with ForwardResponse.
struct FailRequest
{
  wire::Outcome outcome = wire::Outcome::Unknown;
  ErrorCode code = ErrorCode::Internal;
  std::string message;
  Millis retryAfter{ 0 }; ///< When the caller may retry; 0 means no advice.
};

using EntryAction = std::variant<LookUpRoute, AwaitView, StartAttempt, CancelAttempt,
                                 WithdrawAttempt, SetTimer, ForwardResponse, FailRequest>;

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_ENTRYMESSAGES_H_
