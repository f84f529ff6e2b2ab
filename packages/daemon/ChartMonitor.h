// Runs the daemon's state charts: one for its lease, one for its target, and one per zone of the
// fleet's view.
//
// Charts are for display and checks only: the agent and the owner don't use them for decisions.
// They post events to the monitor through a bounded ring. If the ring is full, the event is dropped
// and counted.

#ifndef CAMPHORCLEAT_DAEMON_CHARTMONITOR_H_
#define CAMPHORCLEAT_DAEMON_CHARTMONITOR_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <QTimer>

#include "base/Ring.h"
#include "daemon/ChartEvents.h"
#include "daemon/StateChart.h"

namespace camphorcleat::daemon {

/// Maximum number of zones with a chart. Events of further zones are refused.
constexpr std::size_t kMaxChartZones = 64;

/// Maximum number of queued events (docs/design.md, section 10).
constexpr std::size_t kChartRingSize = 1024;

/// Constructed and destroyed on the main thread. Destroy it after all posting threads have ended.
class ChartMonitor
{
public:
  explicit ChartMonitor(bool aHasTarget);

  ChartMonitor(const ChartMonitor&) = delete;
  ChartMonitor& operator=(const ChartMonitor&) = delete;

  /// Loads the charts and starts handling events in the main thread's event loop. Call once. Fails
  /// with ChartError.
  Result<void> start();

  /// Queues an event. Returns false if the ring is full and the event is dropped. Blocks at most
  /// while another call copies one event. Thread-safe.
  bool post(ChartEvent aEvent);

  /// Handles all queued events. A timer calls it every 50 ms. Call it after start(), on the main
  /// thread and directly from its event loop (see StateChart).
  void drain();

  /// Returns the states as of the last drain(). Thread-safe.
  ChartStates states() const;

  /// Returns the number of events dropped because the ring was full. Thread-safe.
  std::uint64_t droppedEvents() const { return mDropped; }

  /// Returns the number of events that a chart did not allow or that exceeded the limit of zones.
  /// Thread-safe.
  std::uint64_t refusedEvents() const { return mRefused; }

private:
  void handle(LeaseEvent aEvent);
  void handle(TargetEvent aEvent);
  void handle(const ZoneReport& aReport);
  Result<void> addZone(const std::string& aZone);
  void submit(StateChart* aChart, std::string_view aEvent);
  void publish();

  const bool mHasTarget;
  Ring<ChartEvent> mRing{ kChartRingSize };
  std::atomic<std::uint64_t> mDropped{ 0 };
  std::atomic<std::uint64_t> mRefused{ 0 };
  std::unique_ptr<StateChart> mLease;
  std::unique_ptr<StateChart> mTarget; // Null if the daemon has no target.
  std::map<std::string, std::unique_ptr<StateChart>> mZones;
  QTimer mTimer;
  mutable std::mutex mMutex; // Guards mStates.
  ChartStates mStates;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_CHARTMONITOR_H_
