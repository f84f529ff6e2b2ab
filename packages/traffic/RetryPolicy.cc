// Retry rules by outcome and code.

#include "traffic/RetryPolicy.h"

namespace camphorcleat::traffic {

namespace {

RetryKind kindOfNotRun(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::NotOwner:
    case ErrorCode::NoOwner:
    // A key whose owner is lost has its next owner within 2 s. Until then a dial that is refused
    // costs the dead VM nothing, so the retry budget must not end the wait.
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
  // OutcomeUnknown is the owner's verdict about an earlier run; asking again gives the same.
  const bool isVerdict = aCode == ErrorCode::OutcomeUnknown ||
                         aCode == ErrorCode::DeadlineExceeded || aCode == ErrorCode::Cancelled;
  return aMayRepeat && !isVerdict ? RetryKind::Budgeted : RetryKind::Final;
}

} // namespace camphorcleat::traffic
