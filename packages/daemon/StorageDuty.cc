// The loop that runs persist jobs on the log's store.

#include "daemon/StorageDuty.h"

#include "base/Log.h"

namespace camphorcleat::daemon {

namespace {

// LogNode keeps at most one job in flight, so the ring never fills.
constexpr std::size_t kJobRingSize = 1024;
constexpr Millis kIdleWait{ 100 };
constexpr Millis kResultRetry{ 1 };

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
  const bool isPersisted = orElse(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(mStore->persist(aJob));
      return true;
    },
    [](const ErrorInfo& aInfo) {
      logEvent(LogLevel::Error, "log_sync_failed", { { "reason", aInfo.message } });
      return false;
    });
  // The result must not be lost, because LogNode waits for it. Retries until the ring accepts it or
  // is closed.
  ControlMessage result(StorageDone{ aJob.batch, isPersisted });
  // NOLINTNEXTLINE(bugprone-use-after-move): a refused push leaves the message unchanged.
  while (!mResults.tryPush(std::move(result)) && !mResults.isClosed()) {
    std::this_thread::sleep_for(kResultRetry);
  }
}

} // namespace camphorcleat::daemon
