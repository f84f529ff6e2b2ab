// Repeats the opening of files while a disk refuses writes.

#ifndef CAMPHORCLEAT_DAEMON_STORAGERETRY_H_
#define CAMPHORCLEAT_DAEMON_STORAGERETRY_H_

#include <functional>

#include "base/Errors.h"
#include "base/Time.h"

namespace camphorcleat::daemon {

/// Interval between two attempts.
constexpr Millis kOpenRetry{ 250 };

/// Calls a function until it succeeds. A StorageError that may pass, such as that of a full disk,
/// is logged and the call is repeated after kOpenRetry, until aIsStopRequested returns true. Any
/// other error, and the last one at a stop, is returned. Blocks; may be called on any thread.
Result<void> retryWhileDiskFails(const std::function<Result<void>()>& aOpen,
                                 const std::function<bool()>& aIsStopRequested);

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_STORAGERETRY_H_
