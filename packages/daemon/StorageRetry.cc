// A failure is logged once for each reason, as in StorageDuty.

#include "daemon/StorageRetry.h"

#include <cerrno>
#include <optional>
#include <string>
#include <thread>

#include "base/Log.h"

namespace camphorcleat::daemon {

namespace {

bool mayPass(const StorageError& aError)
{
  return aError.systemError == ENOSPC || aError.systemError == EDQUOT || aError.systemError == EIO;
}

} // namespace

Result<void> retryWhileDiskFails(const std::function<Result<void>()>& aOpen,
                                 const std::function<bool()>& aIsStopRequested)
{
  std::string lastReason;
  while (true) {
    std::optional<StorageError> failure;
    BOOST_LEAF_CHECK(leaf::try_handle_some(aOpen, [&](const StorageError& aError) -> Result<void> {
      failure = aError;
      return {};
    }));
    if (!failure) {
      return {};
    }
    if (!mayPass(*failure) || aIsStopRequested()) {
      return fail(*failure);
    }
    if (failure->message() != lastReason) {
      lastReason = failure->message();
      logEvent(LogLevel::Error, "store_open_failed", { { "reason", lastReason } });
    }
    std::this_thread::sleep_for(kOpenRetry);
  }
}

} // namespace camphorcleat::daemon
