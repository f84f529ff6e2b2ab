// Health polling and grants.

#include "daemon/TargetWatch.h"

#include <algorithm>

#include "base/Codec.h"
#include "base/Log.h"

namespace camphorcleat::daemon {

namespace {

constexpr Millis kFetchTimeout{ 300 };

// A single lost response is tolerated. Three in a row take about 1 s, half of the time within which
// a key must be served again after a failure.
constexpr unsigned kFailuresUntilDown = 3;

bool isSame(const wire::Announcement& aLeft, const wire::Announcement& aRight)
{
  return encode(aLeft) == encode(aRight);
}

} // namespace

std::optional<TargetGrant> grantFor(const TargetHealth& aHealth, TimePoint aReceivedAt,
                                    TimePoint aLeaseValidUntil, FencingToken aToken)
{
  const std::int64_t leftMillis = toMillis(aLeaseValidUntil - aReceivedAt);
  if (leftMillis <= 0 || aToken == 0) {
    return std::nullopt;
  }
  return TargetGrant{ aToken, aHealth.clockMillis + leftMillis };
}

TargetWatch::TargetWatch(boost::asio::io_context& aIo, transport::TargetClient& aClient,
                         Millis aInterval, Callbacks aCallbacks)
  : mTimer(aIo)
  , mClient(aClient)
  , mInterval(aInterval)
  , mCallbacks(std::move(aCallbacks))
{
}

void TargetWatch::start()
{
  poll();
}

void TargetWatch::stop()
{
  mIsStopped = true;
  mTimer.cancel();
}

void TargetWatch::poll()
{
  if (mIsStopped) {
    return;
  }
  mClient.fetch("GET", "/health", "", kFetchTimeout, [this](const transport::FetchResult& aResult) {
    handleHealth(aResult);
    if (mIsStopped) {
      return;
    }
    mTimer.expires_after(mInterval);
    mTimer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        poll();
      }
    });
  });
}

void TargetWatch::handleHealth(const transport::FetchResult& aResult)
{
  constexpr unsigned kOk = 200;
  if (!aResult.ok || aResult.status != kOk) {
    recordFailure(aResult.ok ? "status " + std::to_string(aResult.status) : aResult.message);
    return;
  }
  orElse(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(health, fromJson<TargetHealth>(aResult.body));
      recordHealth(health, aResult.receivedAt);
      return true;
    },
    [&](const ErrorInfo& aInfo) {
      recordFailure(aInfo.message);
      return false;
    });
}

void TargetWatch::recordHealth(const TargetHealth& aHealth, TimePoint aReceivedAt)
{
  mFailures = 0;
  const wire::Announcement announcement{ aHealth.service, std::max(1U, aHealth.slots),
                                         std::max(1U, aHealth.coldSlots), aHealth.warmUp,
                                         aHealth.checksGrants };
  const bool isDraining = aHealth.state == "draining";
  if (!mIsReachable || !isSame(announcement, mAnnouncement)) {
    mAnnouncement = announcement;
    logEvent(LogLevel::Info, "target_announced", { { "service", aHealth.service } });
  }
  mIsReachable = true;
  mCallbacks.onAnnouncement(!isDraining, mAnnouncement);
  if (aHealth.checksGrants) {
    sendGrant(aHealth, aReceivedAt);
  }
  traffic::TargetReport report;
  report.isReachable = true;
  report.incarnation = aHealth.incarnation;
  report.slots = mAnnouncement.slots;
  report.coldSlots = mAnnouncement.coldSlots;
  report.warmUp = aHealth.warmUp;
  report.isCold = aHealth.state == "cold";
  report.isDraining = isDraining;
  mCallbacks.onReport(report);
}

void TargetWatch::recordFailure(const std::string& aReason)
{
  ++mFailures;
  if (mFailures != kFailuresUntilDown) {
    return;
  }
  logEvent(LogLevel::Warning, "target_down", { { "reason", aReason } });
  mIsReachable = false;
  mCallbacks.onReport(traffic::TargetReport{});
  mCallbacks.onAnnouncement(false, mAnnouncement);
}

void TargetWatch::sendGrant(const TargetHealth& aHealth, TimePoint aReceivedAt)
{
  const TimePoint leaseEnd = mCallbacks.leaseValidUntil();
  const auto grant = grantFor(aHealth, aReceivedAt, leaseEnd, mCallbacks.token());
  if (!grant) {
    return;
  }
  mGrantedUntil = std::max(mGrantedUntil, leaseEnd);
  mClient.fetch("POST", "/grant", toJson(*grant), kFetchTimeout,
                [](const transport::FetchResult& aResult) {
                  constexpr unsigned kOk = 200;
                  if (!aResult.ok || aResult.status != kOk) {
                    logEvent(LogLevel::Warning, "grant_rejected",
                             { { "status", std::to_string(aResult.status) } });
                  }
                });
}

} // namespace camphorcleat::daemon
