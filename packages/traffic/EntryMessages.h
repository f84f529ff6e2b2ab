// What the entry's decision about one request is told, and what it asks its embedder to do.

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

/// First event: the request passed the entry's checks.
struct Started
{
  bool isKeyed = true;
  bool isIdempotent = false;
  bool hasIdempotencyKey = false;
  TimePoint deadline;
  bool isResend = false;     ///< The caller marked it as a resend.
  std::uint32_t maxRuns = 0; ///< Attempts that may have run, all in all; 0: no limit.
  bool mayHedge = true;
  /// Until then a request waits for an owner of its key or a way to it.
  TimePoint bridgeUntil = TimePoint::max();
  /// The same while the owner is lost: its lease runs on for long against a request's time.
  TimePoint lossBridgeUntil = TimePoint::max();
  /// Whether a request without a key that finds no room at any target ends at once. Otherwise it
  /// tries again until its deadline.
  bool failsWithoutRoom = false;
};

/// Response to LookUpRoute: send the attempt to this node.
struct RouteKnown
{
  NodeId node = kNoNode;
};

/// Response to LookUpRoute: no owner is known, or no usable target is left.
struct RouteUnknown
{};

/// An attempt ended without an answer.
struct AttemptFailed
{
  std::uint32_t attempt = 0;
  wire::Outcome outcome = wire::Outcome::Unknown;
  ErrorCode code = ErrorCode::Internal;
  std::string message;
  Millis retryAfter{ 0 };
};

/// The head of an answer arrived.
struct AttemptHead
{
  std::uint32_t attempt = 0;
};

/// The answer is complete.
struct AttemptDone
{
  std::uint32_t attempt = 0;
};

/// The time of the latest SetTimer has come. Early or repeated ones do no harm.
struct TimerFired
{};

/// The caller closed its connection.
struct CallerDisconnected
{};

using EntryEvent = std::variant<Started, RouteKnown, RouteUnknown, AttemptFailed, AttemptHead,
                                AttemptDone, TimerFired, CallerDisconnected>;

// Actions.

/// Look up the node for the next attempt; answer with RouteKnown or RouteUnknown.
struct LookUpRoute
{
  std::vector<NodeId> exclude; ///< Nodes not to choose, for unkeyed requests.
  bool mustBeNewer = false;    ///< The last route was wrong: use the newest routing data.
};

/// Send the request to a node. Attempts are numbered from 1.
struct StartAttempt
{
  std::uint32_t attempt = 0;
  NodeId node = kNoNode;
  bool isResend = false; ///< An earlier attempt may have run.
};

/// Cancel an attempt; no event about it is needed any more.
struct CancelAttempt
{
  std::uint32_t attempt = 0;
};

/// Send TimerFired at this time. Replaces the earlier timer.
struct SetTimer
{
  TimePoint at;
};

/// Pass the answer of this attempt to the caller. At most once.
struct ForwardAnswer
{
  std::uint32_t attempt = 0;
};

/// End the request with this failure. At most once, and never with ForwardAnswer.
struct FailRequest
{
  wire::Outcome outcome = wire::Outcome::Unknown;
  ErrorCode code = ErrorCode::Internal;
  std::string message;
  Millis retryAfter{ 0 };
};

using EntryAction =
  std::variant<LookUpRoute, StartAttempt, CancelAttempt, SetTimer, ForwardAnswer, FailRequest>;

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_ENTRYMESSAGES_H_
