// Detects the transitions of the zones.

#include "daemon/ZoneChartReporter.h"

#include <algorithm>

namespace camphorcleat::daemon {

namespace {

std::set<std::string> zonesOf(const fleet::FleetModel& aModel)
{
  std::set<std::string> out;
  for (const auto& [name, zone] : aModel.zones()) {
    out.insert(name);
  }
  for (const auto& [id, node] : aModel.nodes()) {
    out.insert(node.zone);
  }
  return out;
}

// Returns the zones in which a node owns a partition of a keyed service.
std::set<std::string> zonesWithGrants(const fleet::FleetModel& aModel)
{
  std::set<NodeId> owners;
  for (const auto& service : aModel.grantedServices()) {
    if (service == fleet::kAccountService) {
      continue;
    }
    for (const auto& grant : aModel.grants(service)) {
      owners.insert(grant.owner);
    }
  }
  std::set<std::string> out;
  for (const auto& [id, node] : aModel.nodes()) {
    if (owners.count(id) > 0) {
      out.insert(node.zone);
    }
  }
  return out;
}

bool hasEligibleOwner(const fleet::FleetModel& aModel, const std::string& aZone)
{
  return std::any_of(aModel.nodes().begin(), aModel.nodes().end(), [&](const auto& aItem) {
    const wire::Node& node = aItem.second;
    return node.zone == aZone && aModel.mayReceiveRequests(node) &&
           !aModel.grants(node.target.service).empty();
  });
}

} // namespace

void ZoneChartReporter::observe(const std::shared_ptr<const fleet::FleetModel>& aModel)
{
  if (aModel == mModel && mIsFullyReported) {
    return;
  }
  mModel = aModel;
  mIsFullyReported = true;
  reportZoneChanges(*aModel);
  reportOutChanges(*aModel);
  if (isAnyTransitioning()) {
    reportGrants(*aModel);
  }
}

void ZoneChartReporter::reportZoneChanges(const fleet::FleetModel& aModel)
{
  const auto zones = zonesOf(aModel);
  for (auto it = mZones.begin(); it != mZones.end();) {
    const bool isGone = zones.count(it->first) == 0 && report(it->first, ZoneEvent::Removed);
    it = isGone ? mZones.erase(it) : std::next(it);
  }
  for (const auto& it : zones) {
    if (mZones.count(it) == 0 && mZones.size() < kMaxChartZones && report(it, ZoneEvent::Added)) {
      mZones.emplace(it, Phase::In);
    }
  }
}

void ZoneChartReporter::reportOutChanges(const fleet::FleetModel& aModel)
{
  for (auto& [zone, phase] : mZones) {
    const bool wasOut = phase == Phase::Leaving || phase == Phase::Out;
    const bool isOut = aModel.isZoneOut(zone);
    if (isOut != wasOut && report(zone, isOut ? ZoneEvent::Out : ZoneEvent::In)) {
      phase = isOut ? Phase::Leaving : Phase::Returning;
    }
  }
}

void ZoneChartReporter::reportGrants(const fleet::FleetModel& aModel)
{
  const auto owning = zonesWithGrants(aModel);
  for (auto& [zone, phase] : mZones) {
    const bool isOwning = owning.count(zone) > 0;
    if (phase == Phase::Leaving && !isOwning && report(zone, ZoneEvent::Empty)) {
      phase = Phase::Out;
    } else if (phase == Phase::Returning && (isOwning || !hasEligibleOwner(aModel, zone)) &&
               report(zone, ZoneEvent::Occupied)) {
      phase = Phase::In;
    }
  }
}

bool ZoneChartReporter::isAnyTransitioning() const
{
  return std::any_of(mZones.begin(), mZones.end(), [](const auto& aItem) {
    return aItem.second == Phase::Leaving || aItem.second == Phase::Returning;
  });
}

bool ZoneChartReporter::report(const std::string& aZone, ZoneEvent aEvent)
{
  const bool isQueued = mMonitor.post(ZoneReport{ aZone, aEvent });
  mIsFullyReported = mIsFullyReported && isQueued;
  return isQueued;
}

} // namespace camphorcleat::daemon
