// Turns the fleet's view into events of zone.scxml.
//
// Looks at grants only while a zone is leaving or returning: a pass over all of them takes time
// proportional to partitions times services.

#ifndef CAMPHORCLEAT_DAEMON_ZONECHARTREPORTER_H_
#define CAMPHORCLEAT_DAEMON_ZONECHARTREPORTER_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "daemon/ChartMonitor.h"
#include "fleet/FleetModel.h"

namespace camphorcleat::daemon {

/// Follows at most kMaxChartZones zones. Not thread-safe.
class ZoneChartReporter
{
public:
  /// The board outlives the feed.
  explicit ZoneChartReporter(ChartMonitor& aMonitor)
    : mMonitor(aMonitor)
  {
  }

  /// Reports what changed since the last call. Returns at once if the model is the same object and
  /// no event was dropped meanwhile.
  void observe(const std::shared_ptr<const fleet::FleetModel>& aModel);

private:
  enum class Phase
  {
    In,
    Leaving,
    Out,
    Returning,
  };

  void reportZoneChanges(const fleet::FleetModel& aModel);
  void reportOrders(const fleet::FleetModel& aModel);
  void reportGrants(const fleet::FleetModel& aModel);
  bool isAnyTransitioning() const;
  bool report(const std::string& aZone, ZoneEvent aEvent);

  ChartMonitor& mMonitor;
  std::shared_ptr<const fleet::FleetModel> mModel;
  bool mIsFullyReported = true; // No event was dropped since the model was taken.
  std::map<std::string, Phase> mZones;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_ZONECHARTREPORTER_H_
