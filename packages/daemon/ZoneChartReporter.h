// Posts events of zone.scxml when zones in the fleet's view change.
//
// Iterates over grants only while a zone is leaving or returning, because this takes time
// proportional to the number of partitions times the number of services.

#ifndef CAMPHORCLEAT_DAEMON_ZONECHARTREPORTER_H_
#define CAMPHORCLEAT_DAEMON_ZONECHARTREPORTER_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "daemon/ChartMonitor.h"
#include "fleet/FleetModel.h"

namespace camphorcleat::daemon {

/// Reports at most kMaxChartZones zones. Not thread-safe.
class ZoneChartReporter
{
public:
  /// aMonitor must outlive the reporter.
  explicit ZoneChartReporter(ChartMonitor& aMonitor)
    : mMonitor(aMonitor)
  {
  }

  /// Reports changes since the last call. Returns at once if the model is the same object as in the
  /// last call and no event was dropped then.
  void observe(const std::shared_ptr<const fleet::FleetModel>& aModel);

private:
  enum class Phase
  {
    In,
    Leaving,   // Out of service, but its nodes still own partitions.
    Out,       // Out of service, and its nodes own no partitions.
    Returning, // In service again, but its nodes own no partitions yet.
  };

  void reportZoneChanges(const fleet::FleetModel& aModel);
  void reportOutChanges(const fleet::FleetModel& aModel);
  void reportGrants(const fleet::FleetModel& aModel);
  bool isAnyTransitioning() const;
  bool report(const std::string& aZone, ZoneEvent aEvent);

  ChartMonitor& mMonitor;
  std::shared_ptr<const fleet::FleetModel> mModel;
  bool mIsFullyReported = true; // No event about mModel was dropped.
  std::map<std::string, Phase> mZones;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_ZONECHARTREPORTER_H_
