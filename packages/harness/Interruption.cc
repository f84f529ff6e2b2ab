// The signal handlers set a flag that the waiting functions poll.

#include "harness/Interruption.h"

#include <algorithm>
#include <csignal>
#include <thread>

#include "harness/HarnessErrors.h"

namespace camphorcleat::harness {

namespace {

constexpr Millis kPollInterval{ 20 };
volatile std::sig_atomic_t sInterrupted = 0;

void handleSignal(int)
{
  sInterrupted = 1;
}

} // namespace

void installSignalHandlers()
{
  struct sigaction action = {};
  action.sa_handler = handleSignal;
  for (const int it : { SIGINT, SIGTERM, SIGHUP }) {
    sigaction(it, &action, nullptr);
  }
}

bool wasInterrupted()
{
  return sInterrupted != 0;
}

Result<void> sleepFor(Millis aDuration)
{
  const TimePoint deadline = Clock::now() + aDuration;
  while (!wasInterrupted()) {
    const TimePoint now = Clock::now();
    if (now >= deadline) {
      return {};
    }
    std::this_thread::sleep_for(std::min<Duration>(kPollInterval, deadline - now));
  }
  return fail(HarnessError{ "interrupted by a signal" });
}

Result<void> pollUntil(const std::string& aWhat, Millis aTimeout,
                       const std::function<bool()>& aFunction)
{
  const TimePoint deadline = Clock::now() + aTimeout;
  while (!aFunction()) {
    if (Clock::now() >= deadline) {
      return fail(HarnessError{ "waited " + std::to_string(aTimeout.count()) +
                                " ms without success for " + aWhat });
    }
    BOOST_LEAF_CHECK(sleepFor(kPollInterval));
  }
  return {};
}

} // namespace camphorcleat::harness
