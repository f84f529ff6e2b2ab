// Submits queued events to the charts and publishes their states.

#include "daemon/ChartMonitor.h"

#include "base/Log.h"

namespace camphorcleat::daemon {

namespace {

// Interval at which the queued events are submitted. A delay of 50 ms is short enough for the
// operators who read the states, and 20 wake-ups per second cost an idle daemon little CPU time.
constexpr int kDrainIntervalMillis = 50;

} // namespace

ChartMonitor::ChartMonitor(bool aHasTarget)
  : mHasTarget(aHasTarget)
{
}

Result<void> ChartMonitor::start()
{
  BOOST_LEAF_ASSIGN(mLease, StateChart::load("lease-holder.scxml", "lease"));
  if (mHasTarget) {
    BOOST_LEAF_ASSIGN(mTarget, StateChart::load("target.scxml", "target"));
  }
  publish();
  QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { drain(); });
  mTimer.start(kDrainIntervalMillis);
  return {};
}

bool ChartMonitor::post(ChartEvent aEvent)
{
  const bool isQueued = mRing.tryPush(std::move(aEvent));
  mDropped += isQueued ? 0 : 1;
  return isQueued;
}

void ChartMonitor::drain()
{
  const auto events = mRing.popMany(kChartRingSize);
  if (events.empty()) {
    return;
  }
  for (const auto& it : events) {
    std::visit([this](const auto& aEvent) { handle(aEvent); }, it);
  }
  publish();
}

void ChartMonitor::handle(LeaseEvent aEvent)
{
  submit(mLease.get(), enumName(aEvent));
}

void ChartMonitor::handle(TargetEvent aEvent)
{
  submit(mTarget.get(), enumName(aEvent));
}

void ChartMonitor::handle(const ZoneReport& aReport)
{
  if (aReport.event == ZoneEvent::Removed) {
    mZones.erase(aReport.zone);
    return;
  }
  const bool isKnown =
    mZones.count(aReport.zone) > 0 ||
    orElse(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(addZone(aReport.zone));
        return mZones.count(aReport.zone) > 0;
      },
      [](const ErrorInfo& aInfo) {
        logEvent(LogLevel::Error, "chart_failed", { { "reason", aInfo.message } });
        return false;
      });
  if (!isKnown) {
    ++mRefused;
  } else if (aReport.event != ZoneEvent::Added) {
    submit(mZones[aReport.zone].get(), enumName(aReport.event));
  }
}

// Creates the chart of a zone, unless there are kMaxChartZones charts already.
Result<void> ChartMonitor::addZone(const std::string& aZone)
{
  if (mZones.size() >= kMaxChartZones) {
    logEvent(LogLevel::Warning, "chart_zone_refused", { { "zone", aZone } });
    return {};
  }
  BOOST_LEAF_AUTO(chart, StateChart::load("zone.scxml", "zone " + aZone));
  mZones.emplace(aZone, std::move(chart));
  return {};
}

void ChartMonitor::submit(StateChart* aChart, std::string_view aEvent)
{
  const bool isAllowed =
    aChart != nullptr &&
    orElse(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(aChart->submit(std::string(aEvent)));
        return true;
      },
      [](const ErrorInfo&) { return false; }); // submit() has logged the error.
  mRefused += isAllowed ? 0 : 1;
}

void ChartMonitor::publish()
{
  ChartStates states;
  states.lease = mLease->state();
  states.target = mTarget ? mTarget->state() : "none";
  for (const auto& [zone, chart] : mZones) {
    states.zones.emplace(zone, chart->state());
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  mStates = std::move(states);
}

ChartStates ChartMonitor::states() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mStates;
}

} // namespace camphorcleat::daemon
