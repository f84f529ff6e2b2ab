// Decides whether a failed attempt may be followed by another one.

#ifndef CAMPHORCLEAT_TRAFFIC_RETRYPOLICY_H_
#define CAMPHORCLEAT_TRAFFIC_RETRYPOLICY_H_

#include "base/Errors.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::traffic {

enum class RetryKind
{
  Final,       ///< No further attempt: it would not help, or might run the request twice.
  Budgeted,    ///< Another attempt is allowed and takes one retry from RetryBudget.
  OwnerChange, ///< The owner is changing or unreachable. Attempts are not charged to RetryBudget.
};

/// Returns the kind of retry for an attempt that failed with aOutcome and aCode. aMayRepeat: the
/// request may run twice, because it is idempotent or has an idempotency key. Thread-safe.
RetryKind retryKindOf(wire::Outcome aOutcome, ErrorCode aCode, bool aMayRepeat);

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_RETRYPOLICY_H_
