// The daemon's state charts: its lease, its target, and each zone of the fleet's view.
//
// Charts only describe. The agent and the owner decide by their own state and report to the board
// through a bounded ring that never blocks them; a full ring drops the event and counts it.

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

/// Most zones with a chart; further ones are refused.
constexpr std::size_t kMaxChartZones = 64;

/// Bound of docs/design.md, section 10.
constexpr std::size_t kChartRingSize = 1024;

/// Made and destroyed by the main thread, after all reporting threads have ended.
class ChartMonitor
{
public:
  explicit ChartMonitor(bool aHasTarget);

  ChartMonitor(const ChartMonitor&) = delete;
  ChartMonitor& operator=(const ChartMonitor&) = delete;

  /// Loads the charts and begins to take events in the main thread's event loop. Call once. Fails
  /// with ChartError.
  Result<void> start();

  /// Reports an event; false if the ring is full and the event is dropped. Never blocks for longer
  /// than another call copies one event. Thread-safe.
  bool post(ChartEvent aEvent);

  /// Takes all waiting events. The timer calls it every 50 ms. Main thread, from the top of its
  /// event loop, after start().
  void drain();

  /// The present states, as of the last drain(). Thread-safe.
  ChartStates states() const;

  /// Events dropped because the ring was full. Thread-safe.
  std::uint64_t droppedEvents() const { return mDropped; }

  /// Events that a chart did not allow, or that named one zone too many. Thread-safe.
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
  std::unique_ptr<StateChart> mTarget; // Null on a daemon without a target.
  std::map<std::string, std::unique_ptr<StateChart>> mZones;
  QTimer mTimer;
  mutable std::mutex mMutex; // Guards mStates.
  ChartStates mStates;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_CHARTMONITOR_H_
