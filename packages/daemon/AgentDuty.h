// The thread that runs the daemon's NodeAgent and publishes its view.

#ifndef CAMPHORCLEAT_DAEMON_AGENTDUTY_H_
#define CAMPHORCLEAT_DAEMON_AGENTDUTY_H_

#include <atomic>
#include <functional>
#include <optional>
#include <random>
#include <thread>

#include "base/LoopDelay.h"
#include "daemon/Dialect.h"
#include "daemon/LeaseChartReporter.h"
#include "daemon/PeerRouter.h"
#include "daemon/Settings.h"
#include "daemon/SharedView.h"
#include "daemon/ZoneChartReporter.h"
#include "fleet/NodeAgent.h"

namespace camphorcleat::daemon {

/// Call start() and stop() on the thread that created the object.
class AgentDuty
{
public:
  /// The references must outlive the duty. aOnDrained is called once, on the duty's thread, when
  /// all partitions are handed over in a planned stop.
  AgentDuty(const Settings& aSettings, const Dialect& aDialect, Rings& aRings, PeerRouter& aRouter,
            SharedView& aView, std::function<void()> aOnDrained);
  ~AgentDuty();

  AgentDuty(const AgentDuty&) = delete;
  AgentDuty& operator=(const AgentDuty&) = delete;

  void start();

  /// Stops the thread and waits until it has ended. Idempotent.
  void stop();

  /// Sets the function that receives the address of each peer. It is called on the duty's thread.
  /// Call before start().
  void setAddressSink(std::function<void(NodeId, std::string)> aSink)
  {
    mAddressSink = std::move(aSink);
  }

  /// Sets the chart monitor to which lease and zone events are sent. It must outlive the duty. Call
  /// before start().
  void setCharts(ChartMonitor& aMonitor)
  {
    mLeaseChartReporter.emplace(aMonitor, mSettings.id);
    mZoneChartReporter.emplace(aMonitor);
  }

private:
  void run();
  void handle(AgentMessage aMessage);
  void handlePeerMessage(ReceivedMessage aMessage);
  void step(const fleet::agent::Event& aEvent);
  void perform(fleet::agent::Action aAction);
  void publish();
  void detectSuspension();
  void reportToCharts();
  void publishPeerAddresses(const fleet::FleetModel& aModel);

  const Settings& mSettings;
  Rings& mRings;
  PeerRouter& mRouter;
  SharedView& mView;
  std::function<void()> mOnDrained;
  std::function<void(NodeId, std::string)> mAddressSink;
  std::mt19937_64 mRandom;
  LoopDelay mLoopDelay;
  fleet::NodeAgent mAgent;
  std::shared_ptr<const fleet::FleetModel> mPublishedModel;
  Incarnation mPublishedIncarnation = 0;
  Duration mSuspendedTime{ 0 }; // As last read.
  // Both reporters are set, or none.
  std::optional<LeaseChartReporter> mLeaseChartReporter;
  std::optional<ZoneChartReporter> mZoneChartReporter;
  std::thread mThread;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_AGENTDUTY_H_
