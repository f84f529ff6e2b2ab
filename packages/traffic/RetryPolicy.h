// Which failed attempts may be followed by another one.

#ifndef CAMPHORCLEAT_TRAFFIC_RETRYPOLICY_H_
#define CAMPHORCLEAT_TRAFFIC_RETRYPOLICY_H_

#include "base/Errors.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::traffic {

enum class RetryKind
{
  Final,       ///< Another attempt would not help or might run the request twice.
  Budgeted,    ///< Another attempt takes one retry from the budget.
  OwnerChange, ///< Ownership is changing: attempts are free until the deadline.
};

/// aMayRepeat: running the request twice does no harm, because it is idempotent or has an
/// idempotency key. Thread-safe.
RetryKind retryKindOf(wire::Outcome aOutcome, ErrorCode aCode, bool aMayRepeat);

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_RETRYPOLICY_H_
