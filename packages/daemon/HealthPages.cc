// Contents of the monitoring pages.

#include "daemon/HealthPages.h"

namespace camphorcleat::daemon {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

} // namespace

Page HealthPages::page(const std::string& aPath) const
{
  if (aPath == "/metrics") {
    return { kOk, mMetrics.render() };
  }
  if (aPath == "/healthz") {
    return { kOk, "ok\n" };
  }
  if (aPath == "/readyz") {
    return ready();
  }
  return { kNotFound, "no such page\n" };
}

Page HealthPages::ready() const
{
  const TimePoint now = Clock::now();
  if (now >= mView.leaseValidUntil()) {
    return { kUnavailable, "no lease\n" };
  }
  if (now - mView.confirmedAt() > mSettings.lease.confirmLimit) {
    return { kUnavailable, "configuration not confirmed\n" };
  }
  return { kOk, "ready\n" };
}

} // namespace camphorcleat::daemon
