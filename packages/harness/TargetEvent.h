// One line of a target stand-in's event file, from which the scenario measures are computed.

#ifndef CAMPHORCLEAT_HARNESS_TARGETEVENT_H_
#define CAMPHORCLEAT_HARNESS_TARGETEVENT_H_

#include <optional>
#include <string>
#include <vector>

#include "base/Codec.h"

namespace camphorcleat::harness {

enum class TargetEventKind
{
  Start,  ///< The target starts to run the request; from here on it counts as run.
  End,    ///< The request has run and its response is about to be sent.
  Cancel, ///< The request was aborted: closed connection, deadline or restart.
  Fenced, ///< The request was refused: stale fence, or no valid grant.
  Shed,   ///< The request was refused: no free slot, or the target is draining.
  /// The request arrived while the target was at its concurrency limit. A start or shed event of
  /// the same request follows.
  Excess,
  Cold, ///< The target began a cold start.
};

struct TargetEvent
{
  std::int64_t timeUs = 0; ///< CLOCK_MONOTONIC.
  TargetEventKind kind = TargetEventKind::Start;
  NodeId target = 0;
  std::string service;
  std::string key;
  std::string account;
  std::string request;                       ///< Value of Camphorcleat-Request-Id.
  std::optional<std::string> idempotencyKey; ///< Value of Idempotency-Key, if present.
  std::optional<FencingToken> fence;         ///< Value of Camphorcleat-Fence, if present.
  std::string method;
  std::string path;      ///< Includes the query.
  unsigned inFlight = 0; ///< Requests in flight when the event was recorded.
  unsigned limit = 0;    ///< Concurrency limit.
  std::optional<std::vector<std::string>> headerNames; ///< Set on start events.
  /// Set to true on a start event if a header or the path contains a secret; see
  /// TargetServer::addSecret().
  std::optional<bool> secretSeen;
  std::optional<std::string> reason; ///< Reason of a cancel, refusal or cold start.

  static constexpr auto fields()
  {
    return std::make_tuple(
      field("t_us", &TargetEvent::timeUs), field("event", &TargetEvent::kind),
      field("target", &TargetEvent::target), field("service", &TargetEvent::service),
      field("key", &TargetEvent::key), field("account", &TargetEvent::account),
      field("request", &TargetEvent::request), field("idempotency", &TargetEvent::idempotencyKey),
      field("fence", &TargetEvent::fence), field("method", &TargetEvent::method),
      field("path", &TargetEvent::path), field("in_flight", &TargetEvent::inFlight),
      field("limit", &TargetEvent::limit), field("header_names", &TargetEvent::headerNames),
      field("secret_seen", &TargetEvent::secretSeen), field("reason", &TargetEvent::reason));
  }
};

} // namespace camphorcleat::harness

namespace camphorcleat {

template<>
struct EnumNames<harness::TargetEventKind>
{
  using Kind = harness::TargetEventKind;
  static constexpr EnumName<Kind> kTable[] = {
    { Kind::Start, "start" },   { Kind::End, "end" },   { Kind::Cancel, "cancel" },
    { Kind::Fenced, "fenced" }, { Kind::Shed, "shed" }, { Kind::Excess, "excess" },
    { Kind::Cold, "cold" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_HARNESS_TARGETEVENT_H_
