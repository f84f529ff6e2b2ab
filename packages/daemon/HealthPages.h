// The pages for monitoring: metrics, liveness and readiness.

#ifndef CAMPHORCLEAT_DAEMON_HEALTHPAGES_H_
#define CAMPHORCLEAT_DAEMON_HEALTHPAGES_H_

#include <string>

#include "daemon/Metrics.h"
#include "daemon/Settings.h"
#include "daemon/SharedView.h"

namespace camphorcleat::daemon {

struct Page
{
  unsigned status = 200;
  std::string text;
};

/// Thread-safe.
class HealthPages
{
public:
  /// All references must outlive the pages.
  HealthPages(const Settings& aSettings, const SharedView& aView, const Metrics& aMetrics)
    : mSettings(aSettings)
    , mView(aView)
    , mMetrics(aMetrics)
  {
  }

  /// Returns the page of a path: /metrics, /healthz or /readyz; status 404 for any other one.
  Page page(const std::string& aPath) const;

private:
  Page ready() const;

  const Settings& mSettings;
  const SharedView& mView;
  const Metrics& mMetrics;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_HEALTHPAGES_H_
