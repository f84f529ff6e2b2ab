// Construction, start and stop of the duties.

#include "daemon/Daemon.h"

#include <algorithm>
#include <atomic>
#include <optional>
#include <random>

#include <QDir>

#include "agreement/FileLogStore.h"
#include "base/Log.h"
#include "daemon/AgentDuty.h"
#include "daemon/ChartMonitor.h"
#include "daemon/ControlDuty.h"
#include "daemon/DaemonApi.h"
#include "daemon/EntryDuty.h"
#include "daemon/MetricsServer.h"
#include "daemon/OperatorServer.h"
#include "daemon/OwnerDuty.h"
#include "daemon/PeerRouter.h"
#include "daemon/StorageRetry.h"
#include "wire/WireCodec.h"

namespace camphorcleat::daemon {

namespace {

// After the last partition was handed over, entries with an outdated view may still send requests.
// These are refused as "not run" for this time before the process exits.
constexpr Millis kStaleRequestGrace{ 300 };

// A request starts at a target in the first part of a planned stop's time, so that it can end in
// the second.
constexpr int kLastStartDivisor = 2;

// After the time limit of a planned stop, the final responses to callers are written for this time.
constexpr Millis kFinalResponseTime{ 200 };

std::mt19937_64 seededRandom()
{
  std::random_device source;
  return std::mt19937_64((static_cast<std::uint64_t>(source()) << 32U) | source());
}

} // namespace

struct Daemon::Impl
{
  Impl(Settings aSettings, const DialectFactory& aFactory);

  Result<void> openStore();
  void startControl();
  void createServingDuties();
  Result<void> startServingDuties();
  transport::PeerHubConfig hubConfig();
  void setFixedAddresses();
  void addGauges();
  void addPeerGauges();
  void logStop(LogLevel aLevel, const char* aEvent) const;
  bool advanceTimedOutStop(TimePoint aNow);
  TimePoint lastStart() const
  {
    return stopStartedAt + (stopLimit - stopStartedAt) / kLastStartDivisor;
  }

  Settings settings;
  std::mt19937_64 random;
  Rings rings;
  SharedView view;
  Metrics metrics;
  ChartMonitor charts; // Must outlive the threads that report to it.
  PeerRouter router;
  std::unique_ptr<Dialect> dialect;
  DaemonApi api;
  std::unique_ptr<DialectServer> dialectServer;
  std::unique_ptr<transport::PeerHub> hub;
  std::unique_ptr<agreement::LogStore> store; // Until startControl().
  agreement::StoredState stored;
  std::optional<fleet::AuditTrail> audit;
  std::unique_ptr<StorageDuty> storage;
  std::unique_ptr<ControlDuty> control;
  std::unique_ptr<OwnerDuty> owner;
  std::unique_ptr<EntryDuty> entry;
  std::unique_ptr<AgentDuty> agent;
  HealthPages pages;
  std::unique_ptr<OperatorServer> operators;
  std::unique_ptr<MetricsServer> metricsServer;
  bool isStopping = false;
  TimePoint stopStartedAt;
  bool hasTimedOut = false;
  std::atomic<bool> isDrained{ false };
  TimePoint stopLimit;
  TimePoint acceptUntil;
  TimePoint staleRequestsUntil;
};

Daemon::Impl::Impl(Settings aSettings, const DialectFactory& aFactory)
  : settings(std::move(aSettings))
  , random(seededRandom())
  , charts(settings.hasTarget())
  , router(settings.id, rings)
  , dialect(aFactory.makeDialect())
  , api(rings, view)
  , dialectServer(aFactory.makeServer(settings, api))
  , pages(settings, view, metrics)
{
  if (settings.isControlMember()) {
    rings.control = std::make_unique<Ring<ControlMessage>>(kControlRingSize);
  }
}

transport::PeerHubConfig Daemon::Impl::hubConfig()
{
  transport::PeerHubConfig config;
  config.self = settings.id;
  config.incarnation = newIncarnation(random);
  config.fleet = settings.fleetName;
  config.listenAddress = settings.peersAddress;
  if (settings.hasAddressIds()) {
    const auto colon = settings.peersAddress.rfind(':');
    config.derivedAddressPort =
      static_cast<unsigned short>(std::stoul(settings.peersAddress.substr(colon + 1)));
  }
  return config;
}

void Daemon::Impl::setFixedAddresses()
{
  for (const auto& [id, address] : settings.members) {
    if (id != settings.id) {
      hub->setAddress(id, address);
    }
  }
  for (const auto& [id, address] : settings.peerOverrides) {
    hub->setAddress(id, address);
  }
}

Result<void> Daemon::Impl::openStore()
{
  QDir().mkpath(QString::fromStdString(settings.dataFolder));
  store.reset(); // Releases the lock of an earlier attempt.
  store = std::make_unique<agreement::FileLogStore>(settings.dataFolder + "/log", seededRandom());
  const TimePoint begin = Clock::now();
  BOOST_LEAF_ASSIGN(stored, store->open());
  logEvent(LogLevel::Info, "log_opened",
           { { "snapshot", std::to_string(stored.snapshot ? stored.snapshot->lastIndex : 0) },
             { "entries", std::to_string(stored.entries.size()) },
             { "ms", std::to_string(toMillis(Clock::now() - begin)) } });
  BOOST_LEAF_AUTO(
    trail, fleet::AuditTrail::open(settings.dataFolder + "/audit.jsonl", settings.auditMaxBytes));
  audit.emplace(std::move(trail));
  return {};
}

void Daemon::Impl::startControl()
{
  storage = std::make_unique<StorageDuty>(std::move(store), *rings.control);
  control = std::make_unique<ControlDuty>(settings, rings, router, *storage,
                                          std::exchange(stored, {}), std::move(*audit));
  storage->start();
  control->start();
}

void Daemon::Impl::addGauges()
{
  metrics.addGauge("camphorcleat_lease_left_seconds", "Time left of the node's lease.", [this] {
    return std::max(0.0, toSeconds(view.leaseValidUntil() - Clock::now()));
  });
  metrics.addGauge("camphorcleat_view_revision", "Revision of the fleet's state in force here.",
                   [this] { return static_cast<double>(view.state()->revision); });
  metrics.addGauge("camphorcleat_config_age_seconds", "Time since the revision was confirmed.",
                   [this] { return toSeconds(Clock::now() - view.confirmedAt()); });
  metrics.addGauge("camphorcleat_owner_open_requests", "Requests that wait or run at the owner.",
                   [this] { return static_cast<double>(owner->openRequests()); });
  metrics.addGauge("camphorcleat_entry_open_requests", "Callers' requests without an answer.",
                   [this] { return static_cast<double>(entry->openRequests()); });
  metrics.addGauge("camphorcleat_chart_events_dropped",
                   "State chart events dropped because their ring was full.",
                   [this] { return static_cast<double>(charts.droppedEvents()); });
  metrics.addGauge("camphorcleat_partitions_owned", "Partitions of services owned here.",
                   [this] { return static_cast<double>(countOwned(*view.state(), settings.id)); });
}

void Daemon::Impl::addPeerGauges()
{
  const std::vector<std::string> names = wire::peerMessageNames();
  for (std::size_t i = 0; i < names.size(); ++i) {
    metrics.addGauge("camphorcleat_peer_sent_bytes", "type=\"" + names[i] + "\"",
                     "Bytes of messages sent to other daemons.",
                     [this, i] { return static_cast<double>(hub->sentBytes(i)); });
  }
}

// Logs a step of a planned stop with the requests that are open.
void Daemon::Impl::logStop(LogLevel aLevel, const char* aEvent) const
{
  logEvent(aLevel, aEvent,
           { { "after_ms", std::to_string(toMillis(Clock::now() - stopStartedAt)) },
             { "limit_ms", std::to_string(toMillis(stopLimit - stopStartedAt)) },
             { "entry_open", std::to_string(entry ? entry->openRequests() : 0) },
             { "owner_open", std::to_string(owner ? owner->openRequests() : 0) } });
}

// Gives the callers whose requests are open a response. Returns whether it was written.
bool Daemon::Impl::advanceTimedOutStop(TimePoint aNow)
{
  if (!hasTimedOut) {
    hasTimedOut = true;
    logStop(LogLevel::Warning, "planned_stop_timed_out");
    if (entry) {
      entry->endOpenRequests();
    }
  }
  return !entry || entry->openRequests() == 0 || aNow >= stopLimit + kFinalResponseTime;
}

Daemon::Daemon(Settings aSettings, const DialectFactory& aFactory)
  : mImpl(std::make_unique<Impl>(std::move(aSettings), aFactory))
{
}

Daemon::~Daemon()
{
  stop();
}

// Creates the duties of a daemon that serves callers.
void Daemon::Impl::createServingDuties()
{
  owner = std::make_unique<OwnerDuty>(settings, *dialect, rings, router, view, metrics);
  entry = std::make_unique<EntryDuty>(settings, *dialect, rings, router, view, metrics);
  agent = std::make_unique<AgentDuty>(settings, *dialect, rings, router, view,
                                      [this] { isDrained = true; });
  agent->setAddressSink(
    [this](NodeId aNode, std::string aAddress) { hub->setAddress(aNode, std::move(aAddress)); });
  owner->setCharts(charts);
  agent->setCharts(charts);
}

Result<void> Daemon::Impl::startServingDuties()
{
  owner->start();
  BOOST_LEAF_CHECK(entry->start());
  agent->start();
  return {};
}

Result<void> Daemon::start(const std::function<bool()>& aIsStopRequested)
{
  Impl& impl = *mImpl;
  if (impl.settings.isControlMember()) {
    BOOST_LEAF_CHECK(retryWhileDiskFails([&impl] { return impl.openStore(); }, aIsStopRequested));
  }
  impl.hub = std::make_unique<transport::PeerHub>(impl.hubConfig(), impl.router);
  impl.router.setHub(impl.hub.get());
  impl.setFixedAddresses();
  impl.addPeerGauges();
  if (impl.settings.takesCallers()) {
    impl.createServingDuties();
    impl.addGauges();
  } else {
    impl.rings.owner.close();
    impl.rings.entry.close();
    impl.rings.agent.close();
  }
  BOOST_LEAF_CHECK(impl.charts.start());
  BOOST_LEAF_CHECK(impl.hub->start());
  if (impl.settings.isControlMember()) {
    impl.startControl();
  }
  if (impl.settings.takesCallers()) {
    BOOST_LEAF_CHECK(impl.startServingDuties());
  }
  if (!impl.settings.operatorsAddress.empty()) {
    impl.operators =
      std::make_unique<OperatorServer>(impl.settings, impl.rings, impl.view, impl.pages);
    impl.operators->setCharts(impl.charts);
    BOOST_LEAF_CHECK(impl.operators->start());
  }
  if (!impl.settings.metricsAddress.empty()) {
    impl.metricsServer = std::make_unique<MetricsServer>(impl.settings.metricsAddress, impl.pages);
    BOOST_LEAF_CHECK(impl.metricsServer->start());
  }
  if (impl.dialectServer) {
    BOOST_LEAF_CHECK(impl.dialectServer->start());
  }
  logEvent(LogLevel::Info, "daemon_started",
           { { "node", std::to_string(impl.settings.id) }, { "zone", impl.settings.zone } });
  return {};
}

void Daemon::beginStop()
{
  Impl& impl = *mImpl;
  if (impl.isStopping) {
    return;
  }
  impl.isStopping = true;
  impl.stopStartedAt = Clock::now();
  impl.stopLimit = impl.stopStartedAt + impl.settings.stopLimit();
  impl.acceptUntil = std::min(impl.stopStartedAt + impl.settings.stopDelay, impl.lastStart());
  impl.api.beginStop();
  impl.logStop(LogLevel::Info, "planned_stop_started");
  if (impl.settings.takesCallers() && impl.settings.stopMode == StopMode::HandOver) {
    AgentMessage drain{ fleet::agent::DrainRequested{} };
    impl.rings.agent.tryPush(std::move(drain));
  } else {
    impl.isDrained = true;
  }
  if (impl.entry) {
    impl.entry->beginStop(impl.lastStart(), impl.stopLimit);
  }
}

void Daemon::reload(const Settings& aSettings)
{
  if (aSettings.seeds.empty()) {
    return;
  }
  AgentMessage forAgent{ SeedsChanged{ aSettings.seeds } };
  mImpl->rings.agent.tryPush(std::move(forAgent));
  if (mImpl->rings.control) {
    ControlMessage forControl{ SeedsChanged{ aSettings.seeds } };
    mImpl->rings.control->tryPush(std::move(forControl));
  }
}

bool Daemon::advanceStop()
{
  Impl& impl = *mImpl;
  const TimePoint now = Clock::now();
  if (!impl.isStopping) {
    return false;
  }
  if (now >= impl.stopLimit) {
    return impl.advanceTimedOutStop(now);
  }
  if (!impl.isDrained || now < impl.acceptUntil) {
    return false;
  }
  if (impl.staleRequestsUntil == TimePoint()) {
    impl.staleRequestsUntil = now + kStaleRequestGrace;
    impl.logStop(LogLevel::Info, "planned_stop_accepts_no_more");
    if (impl.entry) {
      impl.entry->stopAccepting();
      // If the daemon keeps its keys, other entries still send requests here. The owner then
      // refuses new work and finishes running requests.
      OwnerMessage stop{ BeginStop{ impl.lastStart(), impl.stopLimit } };
      impl.rings.owner.tryPush(std::move(stop));
    }
    if (impl.rings.control) {
      ControlMessage transfer{ BeginStop{} };
      impl.rings.control->tryPush(std::move(transfer));
    }
  }
  const bool isIdle =
    !impl.entry || (impl.entry->openRequests() == 0 && impl.owner->openRequests() == 0);
  if (!isIdle || now < impl.staleRequestsUntil) {
    return false;
  }
  impl.logStop(LogLevel::Info, "planned_stop_drained");
  return true;
}

bool Daemon::hasTimedOut() const
{
  return mImpl->hasTimedOut;
}

void Daemon::stop()
{
  Impl& impl = *mImpl;
  impl.metricsServer.reset();
  if (impl.dialectServer) {
    impl.dialectServer->stop();
  }
  if (impl.agent) {
    impl.agent->stop();
  }
  if (impl.control) {
    impl.control->stop();
  }
  if (impl.storage) {
    impl.storage->stop();
  }
  if (impl.operators) {
    impl.operators->stop();
  }
  // The owner still answers what the hub has received, and the hub delivers the answers.
  if (impl.hub) {
    impl.hub->stopReceiving();
  }
  if (impl.owner) {
    impl.owner->stop();
  }
  if (impl.hub) {
    impl.hub->stop();
  }
  if (impl.entry) {
    impl.entry->stop();
  }
}

} // namespace camphorcleat::daemon
