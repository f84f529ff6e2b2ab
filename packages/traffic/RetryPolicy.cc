// Retry rules by outcome and error code.

#include "traffic/RetryPolicy.h"

namespace camphorcleat::traffic {

namespace {

RetryKind kindOfNotRun(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::NotOwner:
    case ErrorCode::NoOwner:
    case ErrorCode::ZoneOut:
    // A key whose owner is lost gets a new owner within 2 s. Refused connection attempts until then
    // put no load on the failed VM, so the retry budget must not limit them.
    case ErrorCode::PeerUnreachable:
      return RetryKind::OwnerChange;
    case ErrorCode::QueueFull:
    case ErrorCode::Overloaded:
    case ErrorCode::ConfigStale:
    case ErrorCode::LeaseExpired:
    case ErrorCode::TargetDown:
    case ErrorCode::TargetShed:
    case ErrorCode::TargetFenced:
    case ErrorCode::Draining:
      return RetryKind::Budgeted;
    default:
      return RetryKind::Final;
  }
}

} // namespace

RetryKind retryKindOf(wire::Outcome aOutcome, ErrorCode aCode, bool aMayRepeat)
{
  if (aOutcome == wire::Outcome::NotRun) {
    return kindOfNotRun(aCode);
  }
  // OutcomeUnknown is the owner's final result for an earlier run of the request, so another
  // attempt would return the same.
  const bool isFinal = aCode == ErrorCode::OutcomeUnknown || aCode == ErrorCode::DeadlineExceeded ||
                       aCode == ErrorCode::Cancelled;
  return aMayRepeat && !isFinal ? RetryKind::Budgeted : RetryKind::Final;
}

} // namespace camphorcleat::traffic
