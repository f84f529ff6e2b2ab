// Passes time and messages to the NodeAgent and performs its actions.

#include "daemon/AgentDuty.h"

#include <pthread.h>

#include "base/Log.h"

namespace camphorcleat::daemon {

namespace {

// With this interval a renewal is late by at most a twentieth of the renewal interval.
constexpr Millis kTickInterval{ 10 };

// Smaller differences are ignored, because the two clocks are not read at the same moment.
constexpr Millis kMinSuspension{ 20 };

fleet::NodeAgentConfig agentConfig(const Settings& aSettings, const Dialect& aDialect)
{
  fleet::NodeAgentConfig config;
  config.id = aSettings.id;
  config.zone = aSettings.zone;
  config.peerAddress = aSettings.peersAnnounced;
  config.hasTarget = aSettings.hasTarget();
  config.lease = aSettings.lease;
  config.members = aSettings.knownMembers();
  config.followsTarget = aDialect.hasHeartbeats();
  return config;
}

} // namespace

AgentDuty::AgentDuty(const Settings& aSettings, const Dialect& aDialect, Rings& aRings,
                     PeerRouter& aRouter, SharedView& aView, std::function<void()> aOnDrained)
  : mSettings(aSettings)
  , mRings(aRings)
  , mRouter(aRouter)
  , mView(aView)
  , mOnDrained(std::move(aOnDrained))
  , mRandom(std::random_device{}())
  , mLoopDelay(kTickInterval)
  , mAgent(agentConfig(aSettings, aDialect), mRandom)
{
}

AgentDuty::~AgentDuty()
{
  stop();
}

void AgentDuty::start()
{
  publish();
  mSuspendedTime = suspendedTime();
  mThread = std::thread([this] { run(); });
}

void AgentDuty::stop()
{
  mRings.agent.close();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void AgentDuty::run()
{
  pthread_setname_np(pthread_self(), "agent");
  TimePoint nextTick = Clock::now();
  while (!mRings.agent.isClosed()) {
    if (auto message = mRings.agent.popUntil(nextTick)) {
      handle(std::move(*message));
    }
    if (Clock::now() >= nextTick) {
      nextTick = Clock::now() + kTickInterval;
      mLoopDelay.tick(Clock::now());
      detectSuspension();
      step(fleet::agent::Tick{});
    }
  }
}

// Called before the tick, so that a lease that expired during a suspension is seen as expired.
void AgentDuty::detectSuspension()
{
  const Duration suspended = suspendedTime();
  const Duration more = suspended - mSuspendedTime;
  mSuspendedTime = suspended;
  if (more >= kMinSuspension) {
    logEvent(LogLevel::Warning, "was_suspended", { { "ms", std::to_string(toMillis(more)) } });
    step(fleet::agent::WasSuspended{ more });
  }
}

void AgentDuty::handle(AgentMessage aMessage)
{
  std::visit(
    [this](auto& aBody) {
      using Body = std::decay_t<decltype(aBody)>;
      if constexpr (std::is_same_v<Body, ReceivedMessage>) {
        handlePeerMessage(std::move(aBody));
      } else if constexpr (std::is_same_v<Body, SeedsChanged>) {
        mAgent.setSeeds(aBody.seeds);
      } else if constexpr (!std::is_same_v<Body, LinkLost>) {
        step(aBody);
      }
    },
    aMessage);
}

void AgentDuty::handlePeerMessage(ReceivedMessage aMessage)
{
  if (const auto* reply = std::get_if<wire::LeaseReply>(&aMessage.message)) {
    step(fleet::agent::LeaseReplyArrived{ aMessage.from, *reply });
  } else if (auto* update = std::get_if<wire::ViewUpdate>(&aMessage.message)) {
    step(fleet::agent::UpdateArrived{ std::move(*update) });
  } else if (auto* part = std::get_if<wire::ViewSnapshot>(&aMessage.message)) {
    step(fleet::agent::SnapshotArrived{ std::move(*part) });
  } else if (const auto* reply = std::get_if<wire::CommandReply>(&aMessage.message)) {
    step(fleet::agent::ReplyArrived{ *reply });
  }
}

void AgentDuty::step(const fleet::agent::Event& aEvent)
{
  for (auto& it : mAgent.step(Clock::now(), aEvent)) {
    perform(std::move(it));
  }
  reportToCharts();
}

void AgentDuty::perform(fleet::agent::Action aAction)
{
  if (auto* send = std::get_if<fleet::agent::Send>(&aAction)) {
    mRouter.send(send->to, transport::Lane::Control, std::move(send->message));
  } else if (std::holds_alternative<fleet::agent::ViewChanged>(aAction)) {
    publish();
  } else if (auto* stop = std::get_if<fleet::agent::StopPartition>(&aAction)) {
    OwnerMessage message(*stop);
    if (!mRings.owner.tryPush(std::move(message))) {
      // Without the release, the handover completes when this lease expires.
      logEvent(LogLevel::Warning, "stop_partition_dropped",
               { { "service", stop->partition.first } });
    }
  } else if (std::holds_alternative<fleet::agent::Drained>(aAction)) {
    mOnDrained();
  }
}

void AgentDuty::publish()
{
  mView.publishTimes(mAgent.leaseValidUntil(), mAgent.confirmedAt());
  if (mAgent.model() == mPublishedModel && mAgent.incarnation() == mPublishedIncarnation) {
    return;
  }
  if (mAgent.incarnation() != mPublishedIncarnation) {
    logEvent(LogLevel::Info, "incarnation_started",
             { { "incarnation", std::to_string(mAgent.incarnation()) } });
  }
  const std::uint64_t version = mAgent.model()->configuration().version;
  if (!mPublishedModel || version != mPublishedModel->configuration().version) {
    logEvent(LogLevel::Info, "configuration_in_force",
             { { "version", std::to_string(version) },
               { "revision", std::to_string(mAgent.revision()) } });
  }
  mPublishedModel = mAgent.model();
  mPublishedIncarnation = mAgent.incarnation();
  mView.publish({ mAgent.model(), mAgent.revision(), mAgent.incarnation() });
  publishPeerAddresses(*mPublishedModel);
  OwnerMessage forOwner{ ViewPublished{} };
  mRings.owner.tryPush(std::move(forOwner));
  EntryMessage forEntry{ ViewPublished{} };
  mRings.entry.tryPush(std::move(forEntry));
}

void AgentDuty::reportToCharts()
{
  if (mLeaseChartReporter) {
    mLeaseChartReporter->observe(Clock::now(), mAgent);
    mZoneChartReporter->observe(mAgent.model());
  }
}

// Passes the address of each peer to the address sink, except an address that is fixed by the
// settings or by the node id.
void AgentDuty::publishPeerAddresses(const fleet::FleetModel& aModel)
{
  for (const auto& [id, node] : aModel.nodes()) {
    const bool isFixed = id == mSettings.id || mSettings.hasAddressIds() ||
                         mSettings.peerOverrides.count(id) > 0 || mSettings.members.count(id) > 0;
    if (!isFixed && mAddressSink) {
      mAddressSink(id, node.peerAddress);
    }
  }
}

} // namespace camphorcleat::daemon
