// The thread that keeps the daemon's membership: runs a NodeAgent and publishes its view.

#ifndef CAMPHORCLEAT_DAEMON_AGENTDUTY_H_
#define CAMPHORCLEAT_DAEMON_AGENTDUTY_H_

#include <atomic>
#include <functional>
#include <optional>
#include <random>
#include <thread>

#include "daemon/Dialect.h"
#include "daemon/LeaseFeed.h"
#include "daemon/PeerRouter.h"
#include "daemon/Settings.h"
#include "daemon/SharedView.h"
#include "daemon/ZoneFeed.h"
#include "fleet/NodeAgent.h"

namespace camphorcleat::daemon {

/// start() and stop() are for the thread that made it.
class AgentDuty
{
public:
  /// The rings, the router and the view outlive the duty. aOnDrained is called once, on the duty's
  /// thread, when a planned stop has handed everything over.
  AgentDuty(const Settings& aSettings, const Dialect& aDialect, Rings& aRings, PeerRouter& aRouter,
            SharedView& aView, std::function<void()> aOnDrained);
  ~AgentDuty();

  AgentDuty(const AgentDuty&) = delete;
  AgentDuty& operator=(const AgentDuty&) = delete;

  void start();

  /// Ends the thread. Idempotent.
  void stop();

  /// Sets who is told the address of each peer. Call before start().
  void setAddressSink(std::function<void(NodeId, std::string)> aSink)
  {
    mSetAddress = std::move(aSink);
  }

  /// Sets the board that shows lease and zones. It outlives the duty. Call before start().
  void setCharts(ChartBoard& aBoard)
  {
    mLeaseFeed.emplace(aBoard, mSettings.id);
    mZoneFeed.emplace(aBoard);
  }

private:
  void run();
  void handle(AgentMessage aMessage);
  void handlePeer(ReceivedMessage aMessage);
  void step(const fleet::agent::Event& aEvent);
  void perform(fleet::agent::Action aAction);
  void publish();
  void noteSuspension();
  void feedCharts();
  void followAddresses(const fleet::FleetModel& aModel);

  const Settings& mSettings;
  Rings& mRings;
  PeerRouter& mRouter;
  SharedView& mView;
  std::function<void()> mOnDrained;
  std::function<void(NodeId, std::string)> mSetAddress;
  std::mt19937_64 mRandom;
  fleet::NodeAgent mAgent;
  std::shared_ptr<const fleet::FleetModel> mPublishedModel;
  Incarnation mPublishedIncarnation = 0;
  Duration mSuspended{ 0 };            // As last looked at.
  std::optional<LeaseFeed> mLeaseFeed; // Both feeds are set, or none.
  std::optional<ZoneFeed> mZoneFeed;
  std::thread mThread;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_AGENTDUTY_H_
