// Signals that ask the scenario runner to end, and waits that notice them.

#ifndef CAMPHORCLEAT_HARNESS_INTERRUPTION_H_
#define CAMPHORCLEAT_HARNESS_INTERRUPTION_H_

#include <functional>

#include "base/Errors.h"
#include "base/Time.h"

namespace camphorcleat::harness {

/// Makes SIGINT, SIGTERM and SIGHUP set a flag instead of ending the process. Call once.
void watchInterruption();

/// Whether one of the signals arrived. Thread-safe.
bool wasInterrupted();

/// Waits. Fails with HarnessError when interrupted. Thread-safe.
Result<void> pauseFor(Millis aDuration);

/// Calls the function every 20 ms until it returns true. Fails with HarnessError, naming what was
/// waited for, after the time, or when interrupted.
Result<void> pauseUntil(const std::string& aWhat, Millis aTimeout,
                        const std::function<bool()>& aFunction);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_INTERRUPTION_H_
