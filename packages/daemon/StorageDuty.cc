// The loop that runs persist jobs on the log's store.

#include "daemon/StorageDuty.h"

#include "base/Log.h"

namespace camphorcleat::daemon {

namespace {

// LogNode keeps at most one job in flight, so the ring never fills.
constexpr std::size_t kJobRingSize = 1024;
constexpr Millis kIdleWait{ 100 };
constexpr Millis kResultRetry{ 1 };
constexpr Millis kWriteRetry{ 100 };

} // namespace

StorageDuty::StorageDuty(std::unique_ptr<agreement::LogStore> aStore,
                         Ring<ControlMessage>& aResults)
  : mStore(std::move(aStore))
  , mResults(aResults)
  , mJobs(kJobRingSize)
{
}

StorageDuty::~StorageDuty()
{
  stop();
}

void StorageDuty::start()
{
  mThread = std::thread([this] { run(); });
}

void StorageDuty::stop()
{
  mJobs.close();
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool StorageDuty::submit(agreement::Persist aJob)
{
  return mJobs.tryPush(std::move(aJob));
}

void StorageDuty::run()
{
  while (true) {
    if (auto job = mJobs.popUntil(Clock::now() + kIdleWait)) {
      perform(*job);
    } else if (mJobs.isClosed()) {
      return;
    }
  }
}

void StorageDuty::perform(const agreement::Persist& aJob)
{
  const TimePoint startedAt = Clock::now();
  std::optional<std::string> lastFault;
  while (auto fault = tryPersist(aJob)) {
    if (!lastFault) {
      report(aJob, false);
    }
    if (fault != lastFault) {
      logEvent(LogLevel::Error, "log_sync_failed",
               { { "batch", std::to_string(aJob.batch) }, { "reason", *fault } });
    }
    lastFault = std::move(fault);
    if (mJobs.isClosed()) {
      return;
    }
    std::this_thread::sleep_for(kWriteRetry);
  }
  if (lastFault) {
    logEvent(LogLevel::Info, "log_sync_recovered",
             { { "batch", std::to_string(aJob.batch) },
               { "after_ms", std::to_string(toMillis(Clock::now() - startedAt)) } });
  }
  report(aJob, true);
}

// Returns the reason of a failure.
std::optional<std::string> StorageDuty::tryPersist(const agreement::Persist& aJob)
{
  return orElse(
    [&]() -> Result<std::optional<std::string>> {
      BOOST_LEAF_CHECK(mStore->persist(aJob));
      return std::optional<std::string>();
    },
    [](const ErrorInfo& aInfo) { return std::optional<std::string>(aInfo.message); });
}

// The result must not be lost, because LogNode waits for it. Retries until the ring accepts it or
// is closed.
void StorageDuty::report(const agreement::Persist& aJob, bool aIsPersisted)
{
  ControlMessage result(StorageDone{ aJob.batch, aIsPersisted });
  // NOLINTNEXTLINE(bugprone-use-after-move): a refused push leaves the message unchanged.
  while (!mResults.tryPush(std::move(result)) && !mResults.isClosed()) {
    std::this_thread::sleep_for(kResultRetry);
  }
}

} // namespace camphorcleat::daemon
