// One line of a target's record: the evidence from which the measures are computed.

#ifndef CAMPHORCLEAT_HARNESS_TARGETEVENT_H_
#define CAMPHORCLEAT_HARNESS_TARGETEVENT_H_

#include <optional>
#include <string>
#include <vector>

#include "base/Codec.h"

namespace camphorcleat::harness {

enum class TargetEventKind
{
  Start,  ///< The work begins: the request has run from now on.
  End,    ///< The work is done and its answer is about to be sent.
  Cancel, ///< The work ended early: closed connection, deadline or restart.
  Fenced, ///< Refused for its fence or for want of a live grant.
  Shed,   ///< Refused for want of a slot.
  Excess, ///< Arrived while as many requests as the target can bear were running.
  Cold,   ///< The target began a cold start.
};

struct TargetEvent
{
  std::int64_t timeUs = 0; ///< CLOCK_MONOTONIC.
  TargetEventKind kind = TargetEventKind::Start;
  NodeId target = 0;
  std::string service;
  std::string key;
  std::string account;
  std::string request;                       ///< Camphorcleat-Request-Id.
  std::optional<std::string> idempotencyKey; ///< Idempotency-Key, if the request has one.
  std::optional<FencingToken> fence;
  std::string method;
  std::string path; ///< With the query.
  unsigned inFlight = 0;
  unsigned limit = 0;
  std::optional<std::vector<std::string>> headerNames; ///< On start events.
  std::optional<bool> secretSeen;                      ///< Only written when true.
  std::optional<std::string> reason;                   ///< Of a cancel or a refusal.

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
