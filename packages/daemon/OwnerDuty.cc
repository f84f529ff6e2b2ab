// Passes messages between peers, OwnerLogic and the target.

#include "daemon/OwnerDuty.h"

#include <algorithm>
#include <cmath>

#include <boost/algorithm/string/predicate.hpp>

#include "base/Hash.h"
#include "base/Log.h"
#include "daemon/RequestPath.h"
#include "traffic/EntryRequest.h"
#include "traffic/TokenTimes.h"

namespace camphorcleat::daemon {

namespace {

constexpr std::size_t kMaxOpenRequests = 20'000;
constexpr std::size_t kMaxTokenRequests = 4096;

// If the target doesn't check grants, a request is sent only if the lease is valid for longer than
// this.
constexpr Millis kUncheckedLeaseMargin{ 150 };

// Longest interval between ticks, so that deadlines are checked when no events arrive.
constexpr Millis kMaxTickInterval{ 20 };

// Interval of connection attempts to a target that is leaving and may send no more heartbeats. They
// show when its process has ended. After any other sign of an end, the target is probed only once.
constexpr Millis kProbeInterval{ 200 };
constexpr Millis kProbeTimeout{ 500 };

// Time to read the responses that a target wrote before its process ended. It suffices for a window
// of 256 KiB at 10 Mbit/s.
constexpr Millis kFinalResponseReadTime{ 300 };

// Targets take a message for lost that isn't acknowledged within a second.
constexpr Millis kLeavingTimeout{ 900 };

// Messages about leaving that wait for their record. Only the target beside the daemon sends them.
constexpr std::size_t kMaxPendingLeavings = 64;

// Interval of load reports to the agent.
constexpr Millis kLoadInterval{ 100 };

// A target that stops at the deadline responds within this time, which allows for a round trip and
// a few thread wake-ups.
constexpr Millis kResponseGrace{ 60 };
// Otherwise the entry would give up before the owner reports the result.
static_assert(kResponseGrace < traffic::EntryRequest::kOwnerResultGrace);

// Shorter than the 10 s after which targets may close idle connections.
constexpr Millis kTargetIdleTimeout{ 5000 };

traffic::BodyCredit::Config bodyCreditConfig(const Settings& aSettings)
{
  traffic::BodyCredit::Config config;
  config.linkBytesPerSecond = aSettings.linkBytesPerSecond;
  return config;
}

traffic::OwnerConfig ownerConfig(const Settings& aSettings)
{
  traffic::OwnerConfig config;
  config.maxQueued = aSettings.maxQueuedRequests;
  config.drainQueueTime = aSettings.targetDrain;
  config.refusesLate = aSettings.refusesLate;
  config.responseGrace = kResponseGrace;
  config.processStart = Clock::now();
  return config;
}

Micros microsSinceBoot()
{
  return std::chrono::duration_cast<Micros>(timeSinceBoot());
}

bool isServiceKnown(const HeartbeatTracker& aHeartbeats, const OwnerView& aView)
{
  return aView.state().model->services().count(aHeartbeats.last().announcement.service) > 0;
}

std::string requestDigest(const wire::RequestHead& aHead)
{
  return sha256Hex(aHead.method + "\n" + aHead.path + "\n" + aHead.bodyDigest + "\n" +
                   std::to_string(aHead.contentLength.value_or(0)));
}

} // namespace

OwnerDuty::OwnerDuty(const Settings& aSettings, const Dialect& aDialect, Rings& aRings,
                     PeerRouter& aRouter, const SharedView& aView, Metrics& aMetrics)
  : mSettings(aSettings)
  , mDialect(aDialect)
  , mRings(aRings)
  , mRouter(aRouter)
  , mMetrics(aMetrics)
  , mThread("owner")
  , mPump(aRings.owner, mThread, [this](OwnerMessage aMessage) { handle(std::move(aMessage)); })
  , mView(aSettings.id, aSettings.lease, aView)
  , mRandom(std::random_device{}())
  , mProcessIncarnation(newIncarnation(mRandom))
  , mLogic(ownerConfig(aSettings), mView, mProcessIncarnation)
  , mRateHome(mRandom(), aSettings.cpuShare * traffic::RateHome::kRequestsPerSecondAndCore)
  , mBodyCredit(bodyCreditConfig(aSettings))
  , mHeartbeatGrants(aSettings.maxHold)
  , mTimer(mThread.context())
  , mLoopDelay(kMaxTickInterval)
{
  if (mDialect.hasHeartbeats()) {
    mView.setGrants(*mGrants);
  }
}

OwnerDuty::~OwnerDuty()
{
  stop();
}

void OwnerDuty::start()
{
  if (mSettings.hasTarget()) {
    startTarget();
  }
  mThread.post([this] { scheduleTick(); });
  mThread.start();
}

void OwnerDuty::startTarget()
{
  transport::TargetClientConfig config;
  config.address = mSettings.targetAddress;
  if (mDialect.hasHeartbeats()) {
    config.idleTimeout = kTargetIdleTimeout;
    config.allowsCloseDelimited = true;
    mColdTimeCheck =
      std::make_unique<ColdTimeCheck>(mThread.context(), mSettings.targetAddress, mDialect);
  }
  mClient = std::make_unique<transport::TargetClient>(mThread.context(), config);
  if (const OrderProtocol* protocol = mDialect.orderProtocol()) {
    fleet::CallGrants::Config orders;
    orders.maxLength = mSettings.maxHold;
    mOrders = std::make_unique<TargetOrders>(mThread.context(), mSettings.targetAddress, *protocol,
                                             orders, [this] { handleOrderEnd(); });
  }
  if (!mDialect.hasHeartbeats()) {
    startPolling();
  }
}

void OwnerDuty::startPolling()
{
  TargetWatch::Callbacks callbacks;
  callbacks.onReport = [this](const traffic::TargetReport& aReport) {
    step(aReport);
    if (mTargetChartReporter) {
      mTargetChartReporter->observe(Clock::now(), aReport);
    }
    if (!aReport.isReachable) {
      cancelAllAtTarget();
    }
  };
  callbacks.onAnnouncement = [this](bool aIsReachable, const wire::Announcement& aAnnouncement) {
    AgentMessage message(fleet::agent::TargetChanged{ aIsReachable, aAnnouncement });
    mRings.agent.tryPush(std::move(message)); // If the ring is full, the next poll repeats it.
  };
  callbacks.leaseValidUntil = [this] { return mView.leaseValidUntil(); };
  callbacks.token = [this]() -> FencingToken {
    const wire::Node* node = mView.state().model->node(mSettings.id);
    const bool isRegistered = node != nullptr && node->incarnation == mView.state().incarnation;
    return isRegistered ? node->registeredAt : 0;
  };
  mWatch = std::make_unique<TargetWatch>(mThread.context(), *mClient, mSettings.targetPollInterval,
                                         std::move(callbacks));
  mThread.post([this] { mWatch->start(); });
}

void OwnerDuty::stop()
{
  mRings.owner.close();
  mThread.post([this] {
    mTimer.cancel();
    if (mWatch) {
      mWatch->stop();
    }
  });
  mThread.stop();
  for (const auto& [id, exchange] : mExchanges) {
    logEvent(LogLevel::Warning, "request_cut_off",
             { { "request", exchange->head().callerRequestId },
               { "started", exchange->hasBegun() ? "yes" : "no" } });
  }
  mExchanges.clear();
  mWatch.reset();
  mOrders.reset();
  mColdTimeCheck.reset();
  mClient.reset();
}

void OwnerDuty::handle(OwnerMessage aMessage)
{
  if (auto* peer = std::get_if<ReceivedMessage>(&aMessage)) {
    handlePeerMessage(std::move(*peer));
  } else if (const auto* opened = std::get_if<LinkOpened>(&aMessage)) {
    mTransitTimes.addOpening(Clock::now(), opened->link, opened->sentAt, opened->receivedAt,
                             opened->maxWait);
  } else if (const auto* silent = std::get_if<LinkSilent>(&aMessage)) {
    handleLinkSilent(*silent);
  } else if (const auto* lost = std::get_if<LinkLost>(&aMessage)) {
    handleLinkLost(*lost);
  } else if (std::holds_alternative<ViewPublished>(aMessage)) {
    handleView();
  } else if (const auto* stop = std::get_if<fleet::agent::StopPartition>(&aMessage)) {
    handleStopPartition(*stop);
  } else if (const auto* heartbeat = std::get_if<TargetHeartbeat>(&aMessage)) {
    handleHeartbeat(*heartbeat);
  } else if (const auto* leaving = std::get_if<TargetDeregistration>(&aMessage)) {
    handleDeregistration(*leaving);
  } else if (const auto* stopping = std::get_if<BeginStop>(&aMessage)) {
    mIsStopping = true;
    step(traffic::BeginDrain{ stopping->lastStart, stopping->end });
    acceptAwaitingGrant();
  }
}

void OwnerDuty::handlePeerMessage(ReceivedMessage aMessage)
{
  if (auto* head = std::get_if<wire::RequestHead>(&aMessage.message)) {
    handleHead(aMessage.link, std::move(*head));
  } else if (auto* chunk = std::get_if<wire::BodyChunk>(&aMessage.message)) {
    OwnerExchange* exchange = find(chunk->id);
    if (exchange != nullptr && !exchange->addBody(std::move(*chunk))) {
      logEvent(LogLevel::Warning, "request_body_invalid",
               { { "account", exchange->head().account } });
      exchange->cancel();
    }
  } else if (const auto* credit = std::get_if<wire::Credit>(&aMessage.message)) {
    if (OwnerExchange* exchange = find(credit->id)) {
      exchange->addCredit(credit->bytes);
    }
  } else if (const auto* cancel = std::get_if<wire::CancelRequest>(&aMessage.message)) {
    cancelRequest(cancel->id);
  } else if (const auto* withdraw = std::get_if<wire::WithdrawRequest>(&aMessage.message)) {
    withdrawRequest(*withdraw);
  } else if (const auto* request = std::get_if<wire::TokenRequest>(&aMessage.message)) {
    handleTokenRequest(aMessage, *request);
  } else if (const auto* reply = std::get_if<wire::TokenReply>(&aMessage.message)) {
    const auto it = mTokenRequests.find({ reply->account, reply->sequence });
    if (it != mTokenRequests.end()) {
      const TimePoint sentAt = it->second;
      mTokenRequests.erase(it);
      step(traffic::TokenReplyArrived{ *reply, sentAt });
    }
  }
}

void OwnerDuty::handleHead(transport::LinkId aLink, wire::RequestHead aHead)
{
  if (mExchanges.count(aHead.id) > 0) {
    return; // A duplicate message, because request ids are unique.
  }
  const RequestId id = aHead.id;
  if (mExchanges.size() >= kMaxOpenRequests) {
    mRouter.reply(aLink,
                  wire::RequestFailed{ id, wire::Outcome::NotRun, ErrorCode::Overloaded,
                                       "too many open requests at the owner", Millis(0), 0 });
    return;
  }
  if (mDialect.hasHeartbeats() &&
      (!mHeartbeats.hasTarget() || mHeartbeats.last().announcement.service != aHead.service)) {
    // The entry's view is outdated: a target of another service had this address before.
    mRouter.reply(aLink, wire::RequestFailed{ id, wire::Outcome::NotRun, ErrorCode::NotOwner,
                                              "the target beside this daemon runs another service",
                                              Millis(0), mView.state().revision });
    return;
  }
  const Duration waited = waitingTime(aLink, aHead);
  if (aLink != kLocalLink) {
    mBodyCredit.recordWait(Clock::now(), waited);
  }
  const auto exchange = std::make_shared<OwnerExchange>(*this, aLink, std::move(aHead));
  exchange->setWaitingTime(waited);
  mExchanges.emplace(id, exchange);
  mOpenRequests = mExchanges.size();
  const TimePoint now = Clock::now();
  const TimePoint sentAt = now - waited;
  const Duration left = sentAt + exchange->head().deadline - now;
  if (mAwaitingGrant.size() < mSettings.maxQueuedRequests && mayGetKey(exchange->head())) {
    constexpr int kPercent = 100;
    mAwaitingGrant[id] = { sentAt, now + left * mSettings.bridgePercent / kPercent };
  } else {
    acceptRequest(*exchange, sentAt);
  }
}

void OwnerDuty::acceptRequest(OwnerExchange& aExchange, TimePoint aSentAt)
{
  aExchange.setPartition(partitionOf(aExchange.head()));
  updateAccount(aExchange);
  const RequestId id = aExchange.head().id;
  step(arrivalOf(aExchange, aSentAt));
  if (OwnerExchange* accepted = find(id)) { // Removed if the request was refused.
    accepted->askForFirstBytes();
  }
}

traffic::RequestArrived OwnerDuty::arrivalOf(const OwnerExchange& aExchange,
                                             TimePoint aSentAt) const
{
  const wire::RequestHead& head = aExchange.head();
  traffic::RequestArrived event;
  event.id = head.id;
  event.accountRate = rateOf(head.account);
  event.account = event.accountRate > 0 ? head.account : std::string();
  event.service = head.service;
  event.key = head.key;
  event.isKeyed = !head.key.empty();
  event.partition = head.partition;
  event.objective = head.objective > Millis(0) ? aSentAt + head.objective : TimePoint::max();
  event.isIdempotent = head.isIdempotent;
  event.priority = head.priority;
  event.isOpenRoute = event.account.empty();
  event.idempotencyKey = head.idempotencyKey;
  event.requestDigest = head.idempotencyKey.empty() ? std::string() : requestDigest(head);
  event.deadline = aSentAt + head.deadline;
  event.isResend = head.isResend;
  return event;
}

// The partition is computed from this owner's view, because the key may have been pinned after the
// entry chose the owner.
PartitionId OwnerDuty::partitionOf(const wire::RequestHead& aHead) const
{
  const fleet::FleetModel& model = *mView.state().model;
  return !aHead.key.empty() && model.partitionCount() > 0
           ? model.partitionOf(aHead.service, aHead.key)
           : aHead.partition;
}

// Returns whether the key can't be served yet but may be soon: this node owns it and its target
// hasn't been granted it yet, or the entry's view is newer.
bool OwnerDuty::mayGetKey(const wire::RequestHead& aHead) const
{
  const PartitionId partition = partitionOf(aHead);
  const TimePoint now = Clock::now();
  if (mIsStopping || aHead.key.empty() || mView.leaseValidUntil() <= now || mView.isZoneOut(now) ||
      mView.tokenOf(aHead.service, partition)) {
    return false;
  }
  const wire::PartitionGrant* grant = mView.ownGrant(aHead.service, partition);
  return grant != nullptr ? grant->movingTo == kNoNode
                          : mView.state().revision < aHead.routeRevision;
}

// Passes on the requests whose key is granted by now, or won't be in time. The latter are refused.
void OwnerDuty::acceptAwaitingGrant()
{
  const TimePoint now = Clock::now();
  std::vector<std::pair<RequestId, TimePoint>> ended;
  for (auto it = mAwaitingGrant.begin(); it != mAwaitingGrant.end();) {
    const OwnerExchange* exchange = find(it->first);
    if (exchange != nullptr && now < it->second.until && mayGetKey(exchange->head())) {
      ++it;
      continue;
    }
    ended.emplace_back(it->first, it->second.sentAt);
    it = mAwaitingGrant.erase(it);
  }
  for (const auto& [id, sentAt] : ended) {
    if (OwnerExchange* exchange = find(id)) { // Removed if the caller left.
      acceptRequest(*exchange, sentAt);
    }
  }
}

// Returns how long a request waited on its way from the entry.
Duration OwnerDuty::waitingTime(transport::LinkId aLink, const wire::RequestHead& aHead)
{
  if (aHead.sentAt == Micros(0)) {
    return Duration::zero();
  }
  const Duration receivedAt = timeSinceBoot();
  if (aLink == kLocalLink) {
    return std::max<Duration>(receivedAt - aHead.sentAt, Duration::zero());
  }
  return mTransitTimes.waitingTime(Clock::now(), aLink, aHead.sentAt, receivedAt, aHead.ownerClock);
}

// Returns the rate limit of an account in requests per second; 0 if it has none.
double OwnerDuty::rateOf(const std::string& aAccount) const
{
  const auto& accounts = mView.state().model->accounts();
  const auto it = accounts.find(aAccount);
  return it == accounts.end() ? 0 : std::max<double>(it->second.requestsPerSecond, 0);
}

void OwnerDuty::handleTokenRequest(const ReceivedMessage& aFrom, const wire::TokenRequest& aRequest)
{
  wire::TokenReply reply;
  reply.account = aRequest.account;
  reply.sequence = aRequest.sequence;
  const fleet::FleetModel& model = *mView.state().model;
  const auto account = model.accounts().find(aRequest.account);
  std::optional<FencingToken> token;
  if (model.partitionCount() > 0) {
    token = mView.tokenOf(fleet::kAccountService,
                          model.partitionOf(fleet::kAccountService, aRequest.account));
  }
  const TimePoint now = Clock::now();
  if (account == model.accounts().end() || !token || now >= mView.leaseValidUntil()) {
    reply.code = ErrorCode::NotOwner;
    mRouter.reply(aFrom.link, reply);
    return;
  }
  const auto home = mHomes.find(aRequest.account);
  if (home == mHomes.end() || home->second.token != *token) {
    // The grant has changed since mHomes was updated.
    updateHomes();
  }
  reply = mRateHome.handle(now, aRequest, account->second.requestsPerSecond,
                           account->second.burstRequests, mView.leaseValidUntil(),
                           initialLevel(aRequest.account, account->second, now));
  mRouter.reply(aFrom.link, reply);
  logPace(now, reply);
}

// Logs, once a second at most, that this node gets more token requests than it can handle.
void OwnerDuty::logPace(TimePoint aNow, const wire::TokenReply& aReply)
{
  if (aReply.pace == Micros(0) || aNow < mNextPaceLog) {
    return;
  }
  mNextPaceLog = aNow + std::chrono::seconds(1);
  logEvent(LogLevel::Info, "token_requests_paced",
           { { "account", aReply.account },
             { "per_second", std::to_string(std::lround(mRateHome.requestsPerSecond(aNow))) },
             { "pace_ms", std::to_string(toMillis(aReply.pace)) } });
}

// The bucket starts full if it would have been refilled since the grant was received, which takes
// burst / rate seconds.
traffic::HomeStart OwnerDuty::initialLevel(const std::string& aAccount,
                                           const wire::Account& aSettings, TimePoint aNow) const
{
  const auto it = mHomes.find(aAccount);
  if (it == mHomes.end() || aSettings.requestsPerSecond <= 0) {
    return traffic::HomeStart::AfterLoss;
  }
  const double heldSeconds = toSeconds(aNow - it->second.emptyAt);
  return heldSeconds * aSettings.requestsPerSecond >= aSettings.burstRequests
           ? traffic::HomeStart::Full
           : traffic::HomeStart::AfterLoss;
}

// The entry sends requests that may be repeated again by another way, and its cancellations may not
// arrive. If it hasn't noticed the silence, it gets a failure for each.
void OwnerDuty::handleLinkSilent(const LinkSilent& aSilent)
{
  for (const auto& id : requestsOn(aSilent.link)) {
    OwnerExchange* exchange = find(id);
    const bool mayRepeat = exchange != nullptr && (exchange->head().isIdempotent ||
                                                   !exchange->head().idempotencyKey.empty());
    if (!mayRepeat) {
      continue;
    }
    if (exchange->hasBegun()) {
      cancelRequest(id);
    } else {
      withdrawRequest({ id, false });
    }
  }
}

void OwnerDuty::handleLinkLost(const LinkLost& aLost)
{
  mTransitTimes.removeLink(aLost.link);
  for (const auto& id : requestsOn(aLost.link)) {
    cancelRequest(id);
  }
}

std::vector<RequestId> OwnerDuty::requestsOn(transport::LinkId aLink) const
{
  std::vector<RequestId> out;
  for (const auto& [id, exchange] : mExchanges) {
    if (exchange->link() == aLink) {
      out.push_back(id);
    }
  }
  return out;
}

void OwnerDuty::withdrawRequest(const wire::WithdrawRequest& aWithdraw)
{
  const RequestId id = aWithdraw.id;
  if (mAwaitingGrant.erase(id) > 0) {
    refuse({ id, wire::Outcome::NotRun, ErrorCode::Draining,
             "the daemon that received the request is stopping", Millis(0) });
    return;
  }
  step(traffic::RequestWithdrawn{ id });
  // A run that begins when the rest of the body has arrived would outlast the entry.
  const OwnerExchange* exchange = find(id);
  if (aWithdraw.isBodyIncomplete && exchange != nullptr && !exchange->hasResponse()) {
    cancelRequest(id);
  }
}

void OwnerDuty::cancelRequest(const RequestId& aId)
{
  OwnerExchange* exchange = find(aId);
  if (exchange == nullptr) {
    return;
  }
  const bool hasBegun = exchange->hasBegun();
  const TimePoint now = Clock::now();
  logEvent(
    LogLevel::Info, "request_cancelled",
    { { "request", exchange->head().callerRequestId },
      { "started", hasBegun ? "yes" : "no" },
      { "waited_ms", std::to_string(toMillis(exchange->waitingTime())) },
      { "here_ms", std::to_string(toMillis(now - exchange->arrivedAt())) },
      { "link_age_ms", std::to_string(toMillis(mTransitTimes.age(now, exchange->link()))) } });
  step(traffic::RequestCancelled{ aId });
  if (!hasBegun) {
    removeExchange(aId); // An exchange that has begun is removed by exchangeEnded().
  }
}

// Before anything else uses a new view: no request may start under an account that has lost its
// key.
void OwnerDuty::refreshView()
{
  const Revision before = mView.state().revision;
  mView.refresh();
  if (mView.state().revision != before) {
    updateWaitingAccounts();
  }
}

// A heartbeat may arrive before the view that contains the service's limits for cold targets. The
// target is then reported again.
void OwnerDuty::handleView()
{
  const bool wasKnown = mHeartbeats.hasTarget() && isServiceKnown(mHeartbeats, mView);
  refreshView();
  if (mHeartbeats.hasTarget() && !wasKnown && isServiceKnown(mHeartbeats, mView)) {
    reportTarget();
  }
  if (restoreLeaving()) {
    reportTarget();
    probeTarget();
  }
  updatePendingLeavings();
  updateHomes();
  updateHeldGrants();
  if (mPendingHeartbeat && hasNewGrants(mPendingHeartbeat->announcement.service)) {
    respondToPendingHeartbeat();
  }
  for (auto it = mStoppingPartitions.begin(); it != mStoppingPartitions.end();) {
    const auto* grant = mView.ownGrant(it->first.first, it->first.second);
    it = grant != nullptr && grant->token == it->second ? std::next(it)
                                                        : mStoppingPartitions.erase(it);
  }
  updateOrders();
  acceptAwaitingGrant();
  step(traffic::Tick{});
}

// Updates the set of accounts whose token bucket is kept here. After a new grant the bucket starts
// empty, because the previous owner may have issued tokens until then. If the account was created
// while this node already held the grant, no other node has issued tokens, so the bucket starts
// full.
void OwnerDuty::updateHomes()
{
  const fleet::FleetModel& model = *mView.state().model;
  const TimePoint now = Clock::now();
  std::map<std::string, AccountHome> homes;
  for (const auto& [name, account] : model.accounts()) {
    const PartitionId partition = model.partitionOf(fleet::kAccountService, name);
    const auto token = mView.tokenOf(fleet::kAccountService, partition);
    if (!token) {
      continue;
    }
    const auto known = mHomes.find(name);
    if (known != mHomes.end() && known->second.token == *token) {
      homes[name] = known->second;
      continue;
    }
    const auto held = mHeldAccountGrants.find(partition);
    const bool isNewAccount = known == mHomes.end() && mKnownAccounts.count(name) == 0 &&
                              held != mHeldAccountGrants.end() && held->second == *token;
    mRateHome.erase(name);
    homes[name] = { *token, isNewAccount ? TimePoint() : now };
  }
  for (const auto& [name, home] : mHomes) {
    if (homes.count(name) == 0) {
      mRateHome.erase(name);
    }
  }
  mHomes = std::move(homes);
  mKnownAccounts.clear();
  for (const auto& [name, account] : model.accounts()) {
    mKnownAccounts.insert(name);
  }
}

// Tells the idempotency store about newly granted partitions. Their previous owner may have run
// requests whose idempotency keys are unknown here.
void OwnerDuty::updateHeldGrants()
{
  const fleet::FleetModel& model = *mView.state().model;
  const TimePoint now = Clock::now();
  std::map<PartitionId, FencingToken> accountGrants;
  std::map<fleet::ServicePartition, FencingToken> held;
  std::size_t gained = 0;
  for (const auto& service : model.grantedServices()) {
    const fleet::GrantTable& table = model.grants(service);
    for (PartitionId i = 0; i < table.size(); ++i) {
      const auto* grant = mView.ownGrant(service, i);
      if (grant == nullptr) {
        continue;
      }
      if (service == fleet::kAccountService) {
        accountGrants[i] = grant->token;
        continue;
      }
      const fleet::ServicePartition partition{ service, i };
      held[partition] = grant->token;
      const auto known = mHeldGrants.find(partition);
      if (known == mHeldGrants.end() || known->second != grant->token) {
        mLogic.idempotencyStore().startWithoutRecords({ service, i }, now);
        ++gained;
      }
    }
  }
  const std::size_t lost = mHeldGrants.size() + gained - held.size();
  if (gained > 0 || lost > 0) {
    logEvent(LogLevel::Info, "partitions_changed",
             { { "held", std::to_string(held.size()) },
               { "gained", std::to_string(gained) },
               { "lost", std::to_string(lost) },
               { "revision", std::to_string(mView.state().revision) } });
  }
  mHeldAccountGrants = std::move(accountGrants);
  mHeldGrants = std::move(held);
}

void OwnerDuty::handleStopPartition(const fleet::agent::StopPartition& aStop)
{
  refreshView();
  mStoppingPartitions[aStop.partition] = aStop.token;
  if (mDialect.hasHeartbeats() && aStop.partition.first != fleet::kAccountService) {
    return; // The response to the next heartbeat, or an order, withdraws the grant.
  }
  if (aStop.partition.first == fleet::kAccountService) {
    // No state is handed over, because the next owner starts with empty buckets. The partition is
    // reported idle when all rate tokens issued here have expired.
    AgentMessage message(fleet::agent::PartitionIdle{ aStop.partition, aStop.token });
    const TimePoint now = Clock::now();
    const TimePoint idleAt =
      std::max(now + Duration(traffic::kTokenLifetime), mRateHome.tokensValidUntil());
    auto timer = std::make_shared<boost::asio::steady_timer>(mThread.context(), idleAt);
    timer->async_wait([this, timer, message](boost::system::error_code aError) {
      AgentMessage copy(message);
      if (!aError) {
        mRings.agent.tryPush(std::move(copy));
      }
    });
    return;
  }
  step(traffic::StopPartition{ aStop.partition.first, aStop.partition.second });
}

void OwnerDuty::step(const traffic::OwnerEvent& aEvent)
{
  for (auto& it : mLogic.step(Clock::now(), aEvent)) {
    perform(it);
  }
  logLimitDecrease();
}

void OwnerDuty::logLimitDecrease()
{
  const traffic::AdmissionLimit& limit = mLogic.adaptiveLimit();
  if (limit.decreases() == mLoggedLimitDecreases) {
    return;
  }
  mLoggedLimitDecreases = limit.decreases();
  logEvent(LogLevel::Info, "admission_limit_lowered",
           { { "limit", std::to_string(mLogic.limit(Clock::now())) },
             { "cause", std::string(enumName(limit.lastDecreaseCause())) },
             { "queued", std::to_string(mLogic.queuedCount()) },
             { "running", std::to_string(mLogic.inFlightCount()) } });
}

void OwnerDuty::perform(traffic::OwnerAction& aAction)
{
  if (const auto* start = std::get_if<traffic::Dispatch>(&aAction)) {
    dispatch(*start);
  } else if (const auto* refusal = std::get_if<traffic::Refuse>(&aAction)) {
    refuse(*refusal);
  } else if (const auto* tokenRequest = std::get_if<traffic::SendTokenRequest>(&aAction)) {
    sendTokenRequest(*tokenRequest);
  } else if (std::holds_alternative<traffic::CheckColdTime>(aAction)) {
    checkColdTime();
  } else if (const auto* cancel = std::get_if<traffic::CancelAtTarget>(&aAction)) {
    if (OwnerExchange* exchange = find(cancel->id)) {
      exchange->cancel();
    }
  } else if (const auto* response = std::get_if<traffic::ReplayResponse>(&aAction)) {
    replay(*response);
  } else if (const auto* idle = std::get_if<traffic::PartitionIdle>(&aAction)) {
    partitionIdle(*idle);
  }
}

void OwnerDuty::dispatch(const traffic::Dispatch& aDispatch)
{
  const auto it = mExchanges.find(aDispatch.id);
  if (it == mExchanges.end() || !mClient) {
    step(traffic::RequestEnded{ aDispatch.id, wire::Outcome::NotRun, ErrorCode::TargetDown, {} });
    return;
  }
  const std::shared_ptr<OwnerExchange> exchange = it->second;
  if (!isAccountKeyValid(exchange->head())) {
    exchangeEnded(*exchange, wire::Outcome::NotRun, ErrorCode::UnknownAccountKey,
                  "the account key was withdrawn while the request waited", std::nullopt);
    return;
  }
  mTargetMayStartUntil = std::max(mTargetMayStartUntil, mView.leaseValidUntil());
  const TimePoint now = Clock::now();
  const TargetCall call{ exchange->head(),
                         mHeartbeats.hasTarget() ? mHeartbeats.last().announcement.instance
                                                 : std::string(),
                         aDispatch.token, aDispatch.deadline - now, mView.leaseValidUntil() - now };
  exchange->begin(*mClient, mDialect.targetHeaders(call), aDispatch.cancelAt);
}

// Returns the account that has the caller's account key now, or nullptr.
const wire::Account* OwnerDuty::accountOf(const wire::RequestHead& aHead) const
{
  const fleet::FleetModel& model = *mView.state().model;
  if (!aHead.keyDigest.empty()) {
    return model.accountOfDigest(toHex(aHead.keyDigest.data));
  }
  const auto it = model.accounts().find(aHead.account);
  const bool hasKey =
    it != model.accounts().end() && it->second.keyDigests.count(aHead.keyName) > 0;
  return hasKey ? &it->second : nullptr;
}

// If the entry's view is newer than this one, it may contain an account key that is unknown here.
bool OwnerDuty::isAccountKeyValid(const wire::RequestHead& aHead) const
{
  return aHead.account.empty() || mView.state().revision < aHead.routeRevision ||
         accountOf(aHead) != nullptr;
}

// An account can be renamed, or a key be moved to another account, while a request waits. Returns
// whether the request belongs to another account now.
bool OwnerDuty::updateAccount(OwnerExchange& aExchange) const
{
  const wire::RequestHead& head = aExchange.head();
  if (head.account.empty() || mView.state().revision < head.routeRevision) {
    return false;
  }
  const wire::Account* account = accountOf(head);
  if (account == nullptr || account->name == head.account) {
    return false;
  }
  logEvent(LogLevel::Info, "request_changed_account",
           { { "request", head.callerRequestId },
             { "from", head.account },
             { "to", account->name },
             { "revision", std::to_string(mView.state().revision) } });
  aExchange.setAccount(*account);
  return true;
}

// Queues the waiting requests again whose account changed, in their order of arrival, so that they
// take the rate tokens of their new account.
void OwnerDuty::updateWaitingAccounts()
{
  std::vector<std::shared_ptr<OwnerExchange>> changed;
  for (const auto& [id, exchange] : mExchanges) {
    const bool isQueued = !exchange->hasBegun() && mAwaitingGrant.count(id) == 0;
    if (isQueued && updateAccount(*exchange)) {
      changed.push_back(exchange);
    }
  }
  std::sort(changed.begin(), changed.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft->arrivedAt() < aRight->arrivedAt();
  });
  if (!changed.empty()) {
    traffic::AccountsChanged event;
    for (const auto& it : changed) {
      event.requests.push_back(arrivalOf(*it, it->sentAt()));
    }
    step(event);
  }
}

void OwnerDuty::refuse(const traffic::Refuse& aRefuse)
{
  const auto it = mExchanges.find(aRefuse.id);
  if (it == mExchanges.end()) {
    return;
  }
  const OwnerExchange& exchange = *it->second;
  const std::string& account = exchange.head().account;
  const TimePoint now = Clock::now();
  mMetrics.countRefusal(aRefuse.code);
  logEvent(LogLevel::Info, "request_refused",
           { { "request", exchange.head().callerRequestId },
             { "code", std::string(enumName(aRefuse.code)) },
             { "account", account },
             { "partition", std::to_string(exchange.head().partition) },
             { "queued", std::to_string(mLogic.queuedCount()) },
             { "account_queued", std::to_string(mLogic.queuedCount(account)) },
             { "awaits_tokens", mLogic.isAwaitingTokens(account) ? "yes" : "no" },
             { "running", std::to_string(mLogic.inFlightCount()) },
             { "limit", std::to_string(mLogic.limit(now)) },
             { "waited_ms", std::to_string(toMillis(exchange.waitingTime())) },
             { "here_ms", std::to_string(toMillis(now - exchange.arrivedAt())) },
             { "link_age_ms", std::to_string(toMillis(mTransitTimes.age(now, exchange.link()))) },
             { "revision", std::to_string(mView.state().revision) },
             { "lease_left_ms", std::to_string(toMillis(mView.leaseValidUntil() - now)) },
             { "reason", aRefuse.message } });
  mRouter.reply(it->second->link(),
                wire::RequestFailed{ aRefuse.id, aRefuse.outcome, aRefuse.code, aRefuse.message,
                                     aRefuse.retryAfter, mView.state().revision,
                                     microsSinceBoot() });
  removeExchange(aRefuse.id);
}

void OwnerDuty::sendTokenRequest(const traffic::SendTokenRequest& aAction)
{
  const fleet::FleetModel& model = *mView.state().model;
  const wire::PartitionGrant* grant = nullptr;
  if (model.partitionCount() > 0) {
    grant = model.grant(fleet::kAccountService,
                        model.partitionOf(fleet::kAccountService, aAction.request.account));
  }
  const bool hasHome = grant != nullptr && grant->owner != kNoNode;
  if (mTokenRequests.size() >= kMaxTokenRequests) {
    mTokenRequests.erase(mTokenRequests.begin());
  }
  const TokenRequestId id{ aAction.request.account, aAction.request.sequence };
  mTokenRequests[id] = Clock::now();
  const bool isSent =
    hasHome &&
    mRouter.sendOnOpenLink(grant->owner, transport::Lane::Data, aAction.request).status ==
      transport::SendStatus::Accepted;
  if (!isSent) {
    mTokenRequests.erase(id);
    step(traffic::TokenHomeUnreachable{ aAction.request.account });
  }
}

void OwnerDuty::partitionIdle(const traffic::PartitionIdle& aIdle)
{
  const fleet::ServicePartition partition{ aIdle.service, aIdle.partition };
  const auto it = mStoppingPartitions.find(partition);
  if (it == mStoppingPartitions.end()) {
    return;
  }
  const fleet::agent::PartitionIdle idle{ partition, it->second };
  // An unreachable target may still have requests queued that it has not started. It refuses them
  // after their grant or their time to start has expired.
  const bool mustWait = mWatch && !mWatch->isReachable();
  const TimePoint when =
    mustWait ? std::max(mTargetMayStartUntil, mWatch->grantedUntil()) : Clock::now();
  auto timer = std::make_shared<boost::asio::steady_timer>(mThread.context(), when);
  timer->async_wait([this, timer, idle](boost::system::error_code aError) {
    AgentMessage message(idle);
    if (!aError) {
      mRings.agent.tryPush(std::move(message));
    }
  });
}

void OwnerDuty::replay(const traffic::ReplayResponse& aReplay)
{
  const auto it = mExchanges.find(aReplay.id);
  if (it == mExchanges.end()) {
    return;
  }
  const auto link = it->second->link();
  mRouter.reply(link,
                wire::ResponseHead{ aReplay.id, aReplay.response.status, aReplay.response.headers,
                                    expectedTime(), microsSinceBoot() });
  wire::BodyChunk chunk;
  chunk.id = aReplay.id;
  chunk.direction = wire::Direction::ToCaller;
  chunk.isLast = true;
  chunk.totalBytes = aReplay.response.body.size();
  chunk.data = aReplay.response.body;
  mRouter.reply(link, std::move(chunk));
  removeExchange(aReplay.id);
}

bool OwnerDuty::mayStartWrite(const OwnerExchange& aExchange)
{
  const bool isKeyed = !aExchange.head().key.empty();
  const TimePoint now = Clock::now();
  if (mDialect.hasHeartbeats()) {
    return mHeartbeats.hasTarget() && !mView.isZoneOut(now) &&
           (!isKeyed ||
            mView.tokenOf(aExchange.head().service, aExchange.head().partition).has_value());
  }
  const Duration margin = mView.checksGrants() ? Duration::zero() : Duration(kUncheckedLeaseMargin);
  const bool hasLease = now + margin < mView.leaseValidUntil();
  return hasLease && !mView.isZoneOut(now) &&
         (!isKeyed ||
          mView.ownGrant(aExchange.head().service, aExchange.head().partition) != nullptr);
}

TargetResponseKind OwnerDuty::classifyResponse(const OwnerExchange& aExchange, unsigned aStatus,
                                               const std::vector<wire::Header>& aHeaders)
{
  return mDialect.classifyResponse(aExchange.head(), aStatus, aHeaders);
}

bool OwnerDuty::namesRequest(const OwnerExchange& aExchange,
                             const std::vector<wire::Header>& aHeaders)
{
  return mDialect.namesRequest(aExchange.head(), aHeaders);
}

void OwnerDuty::responseStarted(OwnerExchange& aExchange, unsigned aStatus, bool aIsShed,
                                bool aIsFenced)
{
  if (aIsFenced && isGrantedByCalls() && !aExchange.head().key.empty()) {
    mOrders->grants().renewEarly(Clock::now(), aExchange.head().partition);
  }
  step(traffic::ResponseStarted{ aExchange.head().id, aStatus, aIsShed, aIsFenced });
}

void OwnerDuty::exchangeEnded(OwnerExchange& aExchange, wire::Outcome aOutcome, ErrorCode aCode,
                              std::string aMessage,
                              std::optional<traffic::StoredResponse> aResponse)
{
  const RequestId id = aExchange.head().id;
  if (aOutcome != wire::Outcome::Answered) {
    mMetrics.countRefusal(aCode);
    sendToEntry(aExchange, wire::RequestFailed{ id, aOutcome, aCode, std::move(aMessage), Millis(0),
                                                mView.state().revision, microsSinceBoot() });
  } else {
    mMetrics.countResponse();
  }
  checkConnectionResets();
  if (aCode == ErrorCode::TargetDown) {
    probeTarget();
  }
  removeExchange(id);
  step(traffic::RequestEnded{ id, aOutcome, aCode, std::move(aResponse) });
}

void OwnerDuty::sendToEntry(OwnerExchange& aExchange, wire::PeerMessage aMessage)
{
  if (mRouter.reply(aExchange.link(), std::move(aMessage)) != transport::SendStatus::Accepted) {
    // The entry detects the gap in the sequence or the lost connection and truncates the response.
    logEvent(LogLevel::Warning, "entry_send_failed", { { "service", aExchange.head().service } });
    aExchange.cancel();
  }
}

void OwnerDuty::askForBody(OwnerExchange& aExchange, std::uint64_t aBytes)
{
  mBodyCredit.ask(aExchange.head().id, aBytes);
  sendBodyCredit();
}

void OwnerDuty::bodyReceived(OwnerExchange& aExchange, std::uint64_t aBytes, bool aIsLast)
{
  if (aIsLast) {
    mBodyCredit.remove(aExchange.head().id); // A body of unknown length leaves credit unused.
  } else {
    mBodyCredit.received(Clock::now(), aExchange.head().id, aBytes);
  }
  sendBodyCredit();
}

void OwnerDuty::sendBodyCredit()
{
  for (const auto& it : mBodyCredit.take(Clock::now())) {
    if (OwnerExchange* exchange = find(it.id)) {
      sendToEntry(*exchange, wire::Credit{ it.id, wire::Direction::ToTarget, it.bytes });
    }
  }
}

Micros OwnerDuty::expectedTime()
{
  return std::chrono::duration_cast<Micros>(mLogic.expectedTime(Clock::now()));
}

void OwnerDuty::handleHeartbeat(const TargetHeartbeat& aHeartbeat)
{
  refreshView();
  const bool hadTarget = mHeartbeats.hasTarget();
  const HeartbeatTracker::Verdict verdict = mHeartbeats.record(aHeartbeat);
  if (verdict == HeartbeatTracker::Verdict::Stale) {
    handleStaleHeartbeat(aHeartbeat);
    return;
  }
  if (verdict == HeartbeatTracker::Verdict::NewTarget) {
    logEvent(LogLevel::Info, "target_announced",
             { { "service", aHeartbeat.announcement.service },
               { "instance", aHeartbeat.announcement.instance } });
    if (hadTarget) {
      mEndedIncarnation = mView.state().incarnation;
    }
    rejectPendingHeartbeat();
    mGrants->reset();
    cancelAllAtTarget();
  }
  restoreLeaving();
  reportTarget();
  updateOrders();
  const bool isNewTarget = verdict == HeartbeatTracker::Verdict::NewTarget;
  if (!aHeartbeat.isDraining) {
    answerHeartbeat(aHeartbeat, isNewTarget);
    return;
  }
  acknowledgeLeaving(aHeartbeat.announcement.process(),
                     [this, aHeartbeat, isNewTarget](bool aIsRecorded) {
                       // The ranges of an older heartbeat must not replace those of a newer one.
                       const bool isLatest = mHeartbeats.hasTarget() &&
                                             mHeartbeats.last().announcement.process() ==
                                               aHeartbeat.announcement.process() &&
                                             mHeartbeats.last().sequence == aHeartbeat.sequence;
                       if (aIsRecorded && isLatest) {
                         answerHeartbeat(aHeartbeat, isNewTarget);
                       } else {
                         aHeartbeat.refuse();
                       }
                     });
}

// A heartbeat that was overtaken still says that its process is leaving, and the response would
// acknowledge that.
void OwnerDuty::handleStaleHeartbeat(const TargetHeartbeat& aHeartbeat)
{
  if (!aHeartbeat.isDraining) {
    aHeartbeat.reply(fleet::GrantResponse());
    return;
  }
  const wire::TargetProcess process = aHeartbeat.announcement.process();
  if (mHeartbeats.recordLeaving(process) && mHeartbeats.hasTarget()) {
    reportTarget();
  }
  acknowledgeLeaving(process, [aHeartbeat](bool aIsRecorded) {
    if (aIsRecorded) {
      aHeartbeat.reply(fleet::GrantResponse());
    } else {
      aHeartbeat.refuse();
    }
  });
}

void OwnerDuty::answerHeartbeat(const TargetHeartbeat& aHeartbeat, bool aIsNewTarget)
{
  const std::string& service = aHeartbeat.announcement.service;
  const fleet::FleetModel& model = *mView.state().model;
  const auto known = model.services().find(service);
  // Until the agent has registered the new process, the view contains the grants of the previous
  // process.
  const bool areGrantsOfEndedProcess = mEndedIncarnation == mView.state().incarnation;
  respondToPendingHeartbeat();
  if (known == model.services().end() || !known->second.isRanged || isGrantedByCalls() ||
      areGrantsOfEndedProcess) {
    aHeartbeat.reply(fleet::GrantResponse());
    return;
  }
  const bool mustRespondNow = aIsNewTarget || mHeartbeats.isLeaving() ||
                              !aHeartbeat.holds.released.empty() || hasNewGrants(service) ||
                              holdsMovingKeys(aHeartbeat);
  if (mustRespondNow || mSettings.heartbeatWait <= Millis(0)) {
    respondToHeartbeat(aHeartbeat);
    return;
  }
  mPendingHeartbeat = aHeartbeat;
  mHeartbeatResponseDeadline = Clock::now() + mSettings.heartbeatWait;
}

void OwnerDuty::respondToHeartbeat(const TargetHeartbeat& aHeartbeat)
{
  mSentGrants = mView.ownGrants(aHeartbeat.announcement.service);
  aHeartbeat.reply(mHeartbeatGrants.heartbeat(Clock::now(), *mView.state().model, aHeartbeat.holds,
                                              mSentGrants, mView.leaseValidUntil()));
  releaseGrants();
  acceptAwaitingGrant();
}

// Responds to the pending heartbeat without grants, because its process has ended.
void OwnerDuty::rejectPendingHeartbeat()
{
  mSentGrants.clear();
  if (auto heartbeat = std::exchange(mPendingHeartbeat, std::nullopt)) {
    heartbeat->reply(fleet::GrantResponse());
  }
}

void OwnerDuty::respondToPendingHeartbeat()
{
  if (auto heartbeat = std::exchange(mPendingHeartbeat, std::nullopt)) {
    respondToHeartbeat(*heartbeat);
  }
}

// Whether the target's grants differ from those in the latest response to a heartbeat.
bool OwnerDuty::hasNewGrants(const std::string& aService) const
{
  const auto grants = mView.ownGrants(aService);
  return !std::equal(grants.begin(), grants.end(), mSentGrants.begin(), mSentGrants.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.first == aRight.first &&
                              aLeft.second.token == aRight.second.token &&
                              aLeft.second.movingTo == aRight.second.movingTo;
                     });
}

// Whether the target still works on keys that are being handed over. It reports their release with
// a later heartbeat, which it sends only after the response to this one.
bool OwnerDuty::holdsMovingKeys(const TargetHeartbeat& aHeartbeat) const
{
  const auto grants = mView.ownGrants(aHeartbeat.announcement.service);
  return std::any_of(grants.begin(), grants.end(), [&](const auto& aItem) {
    const auto range = mView.state().model->rangeOf(aItem.first);
    const auto& held = aHeartbeat.holds.held;
    return aItem.second.movingTo != kNoNode &&
           std::any_of(held.begin(), held.end(), [&](const fleet::HeldRange& aHeld) {
             return aHeld.from <= range.second && range.first <= aHeld.to;
           });
  });
}

void OwnerDuty::handleDeregistration(const TargetDeregistration& aDeregistration)
{
  refreshView();
  const auto process = processOf(aDeregistration);
  if (!process) {
    logEvent(LogLevel::Warning, "target_leaving_unknown",
             { { "instance", aDeregistration.instance } });
    aDeregistration.reply(false);
    return;
  }
  if (mHeartbeats.recordLeaving(*process)) {
    reportTarget();
    probeTarget();
  }
  acknowledgeLeaving(*process, aDeregistration.reply);
}

// A process that doesn't state its start time is the one of its name that is known here, or that an
// earlier process of this daemon registered.
std::optional<wire::TargetProcess> OwnerDuty::processOf(
  const TargetDeregistration& aDeregistration) const
{
  const std::string& instance = aDeregistration.instance;
  if (aDeregistration.startedAtUnixMillis) {
    return wire::TargetProcess{ instance, *aDeregistration.startedAtUnixMillis };
  }
  if (mHeartbeats.processNumber() > 0 && mHeartbeats.last().announcement.instance == instance) {
    return mHeartbeats.last().announcement.process();
  }
  const wire::Node* self = mView.state().model->node(mSettings.id);
  return self != nullptr && self->target.instance == instance
           ? std::optional<wire::TargetProcess>(self->target.process())
           : std::nullopt;
}

bool OwnerDuty::isLeavingRecorded(const wire::TargetProcess& aProcess) const
{
  const wire::Node* self = mView.state().model->node(mSettings.id);
  return self != nullptr && self->hasLeft(aProcess);
}

// Replies once the fleet's state says that the process is leaving. The VM may have no disk, so only
// that record binds the next process of this daemon, which may get an earlier heartbeat late.
void OwnerDuty::acknowledgeLeaving(const wire::TargetProcess& aProcess,
                                   std::function<void(bool aIsRecorded)> aReply)
{
  if (isLeavingRecorded(aProcess)) {
    aReply(true);
    return;
  }
  logEvent(LogLevel::Info, "target_leaving",
           { { "instance", aProcess.instance },
             { "started_at", std::to_string(aProcess.startedAtUnixMillis) },
             { "revision", std::to_string(mView.state().revision) } });
  mLeavingTarget = aProcess;
  if (mPendingLeavings.size() >= kMaxPendingLeavings) {
    aReply(false);
    return;
  }
  mPendingLeavings.push_back(
    { aProcess, Clock::now() + kLeavingTimeout, false, std::move(aReply) });
  updatePendingLeavings();
}

void OwnerDuty::updatePendingLeavings()
{
  const TimePoint now = Clock::now();
  std::vector<PendingLeaving> ended;
  for (auto it = mPendingLeavings.begin(); it != mPendingLeavings.end();) {
    if (isLeavingRecorded(it->process) || it->deadline <= now) {
      ended.push_back(std::move(*it));
      it = mPendingLeavings.erase(it);
      continue;
    }
    if (!it->isReported) {
      AgentMessage message(fleet::agent::TargetLeaving{ it->process });
      it->isReported = mRings.agent.tryPush(std::move(message)); // Otherwise in the next tick.
    }
    ++it;
  }
  for (const auto& it : ended) {
    const bool isRecorded = isLeavingRecorded(it.process);
    if (!isRecorded) {
      logEvent(LogLevel::Warning, "target_leaving_not_recorded",
               { { "instance", it.process.instance },
                 { "revision", std::to_string(mView.state().revision) } });
    }
    it.reply(isRecorded);
  }
}

// Marks the current process as leaving if it said so before its latest heartbeat, to this process
// of the daemon or to an earlier one. Returns whether that was news.
bool OwnerDuty::restoreLeaving()
{
  if (!mHeartbeats.hasTarget() || mHeartbeats.isLeaving()) {
    return false;
  }
  const wire::TargetProcess process = mHeartbeats.last().announcement.process();
  const wire::Node* self = mView.state().model->node(mSettings.id);
  const bool isLeaving =
    mLeavingTarget == process || (self != nullptr && self->leavingTarget == process);
  return isLeaving && mHeartbeats.recordLeaving(process);
}

// Selects how the target's current process is granted its keys. The choice holds until the process
// ends, since grants of both kinds at once would not know of each other.
void OwnerDuty::selectGrants()
{
  const auto& services = mView.state().model->services();
  const auto service = services.find(mHeartbeats.last().announcement.service);
  const bool isKnown = service != services.end() && service->second.isRanged;
  if (!mOrders || !isKnown || mGrantsProcess == mHeartbeats.processNumber()) {
    return;
  }
  mGrantsProcess = mHeartbeats.processNumber();
  const bool isByCalls = service->second.grantMode == wire::GrantMode::Call;
  fleet::TargetGrants* const grants =
    isByCalls ? static_cast<fleet::TargetGrants*>(&mOrders->grants()) : &mHeartbeatGrants;
  if (grants != mGrants) {
    mGrants->reset();
    mGrants = grants;
    mView.setGrants(*mGrants);
  }
}

// Passes this node's grants to the orders, for a target that is granted keys by calls.
void OwnerDuty::updateOrders()
{
  if (mOrders && !mHasFirstView && mView.state().revision > 0) {
    mHasFirstView = true;
    mOrders->grants().setFirstRevision(mView.state().revision);
  }
  if (!mHeartbeats.hasTarget() || mEndedIncarnation == mView.state().incarnation) {
    return;
  }
  selectGrants();
  if (!isGrantedByCalls()) {
    return;
  }
  const std::string& service = mHeartbeats.last().announcement.service;
  const auto owned = mView.ownGrants(service);
  for (const auto& [partition, grant] : owned) {
    if (grant.movingTo != kNoNode) {
      mStoppingPartitions[{ service, partition }] = grant.token;
    }
  }
  mOrders->grants().update(Clock::now(), mView.state().revision, owned);
  sendOrders();
}

void OwnerDuty::sendOrders()
{
  if (isGrantedByCalls() && mHeartbeats.hasTarget()) {
    mOrders->send(*mView.state().model, mView.leaseValidUntil());
  }
}

void OwnerDuty::handleOrderEnd()
{
  sendOrders();
  releaseGrants();
  acceptAwaitingGrant();
  step(traffic::Tick{}); // Queued requests may have waited for the grant.
}

// Passes the latest heartbeat to OwnerLogic, the target's state chart and the agent.
void OwnerDuty::reportTarget()
{
  const TargetHeartbeat& last = mHeartbeats.last();
  traffic::TargetReport report;
  report.isReachable = true;
  report.incarnation = mHeartbeats.processNumber();
  report.slots = last.announcement.slots;
  report.coldSlots = last.announcement.slots;
  report.isDraining = mHeartbeats.isLeaving();
  const auto& services = mView.state().model->services();
  const auto service = services.find(last.announcement.service);
  report.coldRequestsPerSecond =
    service == services.end() ? 0 : service->second.coldRequestsPerSecond;
  report.coldFor = last.coldFor;
  step(report);
  if (mTargetChartReporter) {
    mTargetChartReporter->observe(Clock::now(), report);
  }
  AgentMessage message(
    fleet::agent::TargetChanged{ !mHeartbeats.isLeaving(), last.announcement, false });
  mRings.agent.tryPush(std::move(message)); // If the ring is full, the next heartbeat repeats it.
}

void OwnerDuty::checkColdTime()
{
  const TimePoint sentAt = Clock::now();
  const auto& services = mView.state().model->services();
  const auto service = mHeartbeats.hasTarget()
                         ? services.find(mHeartbeats.last().announcement.service)
                         : services.end();
  if (!mColdTimeCheck || service == services.end() || service->second.healthPath.empty()) {
    mThread.post([this, sentAt] { step(traffic::ColdTimeChecked{ sentAt }); });
    return;
  }
  mColdTimeCheck->start(
    service->second.healthPath, mHeartbeats.last().announcement.instance,
    [this, sentAt](std::optional<Millis> aColdFor) {
      if (!aColdFor || *aColdFor > Millis(0)) {
        logEvent(LogLevel::Info, "target_cold_time_checked",
                 { { "cold_ms", aColdFor ? std::to_string(aColdFor->count()) : "unknown" } });
      }
      step(traffic::ColdTimeChecked{ sentAt, aColdFor });
    });
}

// Reports to the agent which moving partitions the target has released.
void OwnerDuty::releaseGrants()
{
  if (!mHeartbeats.hasTarget()) {
    return;
  }
  const std::string& service = mHeartbeats.last().announcement.service;
  for (auto& it : mGrants->takeReleased(Clock::now())) {
    const fleet::ServicePartition partition{ service, it.partition };
    const auto stopping = mStoppingPartitions.find(partition);
    if (stopping == mStoppingPartitions.end() || stopping->second != it.token) {
      continue;
    }
    AgentMessage message(
      fleet::agent::PartitionIdle{ partition, it.token, std::move(it.handover) });
    if (!mRings.agent.tryPush(std::move(message))) {
      logEvent(LogLevel::Warning, "partition_idle_not_told", { { "service", service } });
      continue;
    }
    // A response to a heartbeat before the release is in the view would report it again, without
    // the handover.
    mStoppingPartitions.erase(stopping);
  }
}

// Checks whether the target's process has ended, in which case its address refuses connections and
// its open connections are closed. A target that drains may refuse connections while it still runs
// requests.
void OwnerDuty::probeTarget()
{
  if (!mDialect.hasHeartbeats() || !mHeartbeats.hasTarget() || mIsProbing) {
    return;
  }
  mIsProbing = true;
  mClient->probe(kProbeTimeout, [this, process = mHeartbeats.processNumber()](
                                  transport::ProbeResult aResult) {
    mIsProbing = false;
    if (process != mHeartbeats.processNumber() || !mHeartbeats.hasTarget()) {
      return;
    }
    const bool isRefused = aResult == transport::ProbeResult::Refused;
    const bool hasRunning = std::any_of(mExchanges.begin(), mExchanges.end(),
                                        [](const auto& aItem) { return aItem.second->hasBegun(); });
    if (isRefused && !hasRunning) {
      handleTargetEnd();
    } else if (isRefused || mHeartbeats.isLeaving()) {
      auto timer = std::make_shared<boost::asio::steady_timer>(mThread.context(), kProbeInterval);
      timer->async_wait([this, timer](boost::system::error_code aError) {
        if (!aError) {
          probeTarget();
        }
      });
    }
  });
}

void OwnerDuty::handleTargetEnd()
{
  logEvent(LogLevel::Warning, "target_ended",
           { { "instance", mHeartbeats.last().announcement.instance } });
  mHeartbeats.recordEnd();
  mEndedIncarnation = mView.state().incarnation;
  rejectPendingHeartbeat();
  mGrants->reset();
  step(traffic::TargetReport{});
  if (mTargetChartReporter) {
    mTargetChartReporter->observe(Clock::now(), traffic::TargetReport{});
  }
  cancelAllAtTarget();
  AgentMessage message(fleet::agent::TargetChanged{ false, mHeartbeats.last().announcement, true });
  if (!mRings.agent.tryPush(std::move(message))) {
    // The target is removed when the lease expires.
    logEvent(LogLevel::Warning, "target_end_not_delivered");
  }
}

OwnerExchange* OwnerDuty::find(const RequestId& aId)
{
  const auto it = mExchanges.find(aId);
  return it == mExchanges.end() ? nullptr : it->second.get();
}

void OwnerDuty::removeExchange(const RequestId& aId)
{
  mExchanges.erase(aId);
  mOpenRequests = mExchanges.size();
  mBodyCredit.remove(aId);
  sendBodyCredit();
}

// Reports the load to the agent, which sends it with the next lease renewal.
void OwnerDuty::reportLoad()
{
  const TimePoint now = Clock::now();
  if (!mDialect.hasHeartbeats() || now < mNextLoadReport) {
    return;
  }
  mNextLoadReport = now + kLoadInterval;
  const bool isSaturated = mLogic.queuedCount() > mLogic.limit(now);
  AgentMessage message(fleet::agent::LoadMeasured{
    mLogic.loads().rates(now), std::chrono::duration_cast<Micros>(mLogic.loads().longMeanRun()),
    isSaturated });
  mRings.agent.tryPush(std::move(message)); // If the ring is full, the next interval repeats it.
}

void OwnerDuty::checkConnectionResets()
{
  const std::uint64_t resets = mClient ? mClient->connectionLosses() : 0;
  if (resets != mSeenResets) {
    mSeenResets = resets;
    step(traffic::TargetConnectionReset{});
    probeTarget();
  }
}

// Cancels all exchanges that have begun. A target with heartbeats has ended at this point. The
// operating system closes its connections, so the cancellation is delayed to read the responses
// that it wrote. A polled target may be frozen with open connections, so its exchanges are
// cancelled at once.
void OwnerDuty::cancelAllAtTarget()
{
  std::vector<std::shared_ptr<OwnerExchange>> running;
  for (const auto& [id, exchange] : mExchanges) {
    if (exchange->hasBegun()) {
      running.push_back(exchange);
    }
  }
  const Millis wait = mDialect.hasHeartbeats() ? kFinalResponseReadTime : Millis(0);
  auto timer = std::make_shared<boost::asio::steady_timer>(mThread.context(), wait);
  timer->async_wait([timer, running](boost::system::error_code aError) {
    for (const auto& it : running) {
      if (!aError) {
        it->cancel();
      }
    }
  });
}

void OwnerDuty::scheduleTick()
{
  const TimePoint latest = Clock::now() + kMaxTickInterval;
  mTimer.expires_at(std::min(mLogic.nextWake().value_or(latest), latest));
  mTimer.async_wait([this](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    mLoopDelay.tick(Clock::now());
    step(traffic::Tick{});
    if (Clock::now() >= mHeartbeatResponseDeadline) {
      respondToPendingHeartbeat();
    }
    updatePendingLeavings();
    sendOrders();
    releaseGrants();
    acceptAwaitingGrant();
    sendBodyCredit();
    reportLoad();
    scheduleTick();
  });
}

} // namespace camphorcleat::daemon
