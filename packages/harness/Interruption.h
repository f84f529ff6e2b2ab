// Termination signals of the scenario runner, and waiting functions that return early on them.

#ifndef CAMPHORCLEAT_HARNESS_INTERRUPTION_H_
#define CAMPHORCLEAT_HARNESS_INTERRUPTION_H_

#include <functional>

#include "base/Errors.h"
#include "base/Time.h"

namespace camphorcleat::harness {

/// Installs handlers for SIGINT, SIGTERM and SIGHUP that set a flag instead of terminating the
/// process. Call once.
void installSignalHandlers();

/// Returns whether one of the signals has arrived. Thread-safe.
bool wasInterrupted();

/// Sleeps for a duration. Fails with HarnessError if a signal arrives. Thread-safe.
Result<void> sleepFor(Millis aDuration);

/// Calls aFunction every 20 ms until it returns true. Fails with HarnessError after aTimeout, and
/// if a signal arrives. aWhat names in its message what was waited for, such as "a control leader".
Result<void> pollUntil(const std::string& aWhat, Millis aTimeout,
                       const std::function<bool()>& aFunction);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_INTERRUPTION_H_
