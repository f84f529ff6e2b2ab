// Admission and routing of callers' requests.

#include "daemon/EntryDuty.h"

#include <algorithm>
#include <cmath>

#include "base/Hash.h"
#include "base/Log.h"
#include "daemon/RequestPath.h"

namespace camphorcleat::daemon {

namespace {

// Longest deadline that a caller may set.
constexpr Millis kMaxDeadline{ 600'000 };
// Weight of the newest sample in a node's moving average of latencies.
constexpr double kLatencyWeight = 0.1;

// Time in which the weight of a measured latency halves.
constexpr double kLatencyHalfLifeSeconds = 0.3;

// Time for which an owner's reported latency is used. Its queue may differ later.
constexpr Millis kExpectedTimeLifetime{ 2000 };

// A target in this zone is preferred if its expected latency is at most the objective divided by
// this. The remaining time allows for requests that take longer than the mean.
constexpr int kObjectiveDivisor = 2;

// After its owner is lost, a request waits for at most its objective divided by this. A restarted
// daemon accepts connections within this time, and the caller has time left for a retry.
constexpr int kLossBridgeDivisor = 8;

// The latency assumed for an attempt that was hedged is its age multiplied by this. An attempt that
// is already slow takes at least its age, and probably much longer.
constexpr double kHedgedLatencyFactor = 2;

std::string keyNameOf(const wire::Account& aAccount, const std::string& aDigest)
{
  for (const auto& [name, digest] : aAccount.keyDigests) {
    if (equalConstantTime(digest, aDigest)) {
      return name;
    }
  }
  return {};
}

// Sets unknown latencies to the mean of the known ones. With a latency of 0, an unknown target in
// another zone would attract requests from this zone.
void fillUnknownLatencies(std::vector<traffic::Candidate>& aCandidates)
{
  Duration sum{ 0 };
  int known = 0;
  for (const auto& it : aCandidates) {
    sum += it.averageLatency;
    known += it.averageLatency > Duration::zero() ? 1 : 0;
  }
  for (auto& it : aCandidates) {
    if (known > 0 && it.averageLatency == Duration::zero()) {
      it.averageLatency = sum / known;
    }
  }
}

} // namespace

double EntryDuty::NodeStats::latencySeconds(TimePoint aNow) const
{
  return averageLatencySeconds * std::exp2(-toSeconds(aNow - updatedAt) / kLatencyHalfLifeSeconds);
}

double EntryDuty::NodeStats::expectedLatencySeconds(TimePoint aNow) const
{
  const bool isRecent = reportedSeconds > 0 && aNow - reportedAt < kExpectedTimeLifetime;
  return isRecent ? reportedSeconds : latencySeconds(aNow);
}

void EntryDuty::NodeStats::addLatency(TimePoint aNow, double aLatencySeconds, double aWeight)
{
  const double known = latencySeconds(aNow);
  averageLatencySeconds = known + aWeight * (aLatencySeconds - known);
  updatedAt = aNow;
}

EntryDuty::EntryDuty(const Settings& aSettings, const Dialect& aDialect, Rings& aRings,
                     PeerRouter& aRouter, const SharedView& aView, Metrics& aMetrics)
  : mSettings(aSettings)
  , mDialect(aDialect)
  , mRouter(aRouter)
  , mView(aView)
  , mMetrics(aMetrics)
  , mThread("entry")
  , mPump(aRings.entry, mThread, [this](EntryMessage aMessage) { handle(std::move(aMessage)); })
  , mRing(aRings.entry)
  , mRandom(std::random_device{}())
  , mProcessIncarnation(newIncarnation(mRandom))
  , mLoadBalancingPolicy(std::make_unique<traffic::PowerOfTwoPolicy>(aSettings.zone, mRandom))
  , mState(aView.state())
{
}

EntryDuty::~EntryDuty()
{
  stop();
}

Result<void> EntryDuty::start()
{
  mFrontend = std::make_unique<transport::HttpFrontend>(mThread.context(), mSettings.callersAddress,
                                                        callerLimits(), *this);
  BOOST_LEAF_CHECK(mFrontend->start());
  mThread.start();
  return {};
}

// Returns the limits of the configuration. The settings' limit on bodies is never exceeded.
transport::HttpLimits EntryDuty::callerLimits() const
{
  transport::HttpLimits out;
  const wire::CallerLimits& limits = mState->model->configuration().limits;
  out.maxHeaderBytes = limits.headerBytes.value_or(out.maxHeaderBytes);
  out.maxBodyBytes =
    std::min(limits.bodyBytes.value_or(mSettings.maxBodyBytes), mSettings.maxBodyBytes);
  out.headerTimeout = limits.headerTimeout.value_or(out.headerTimeout);
  out.keepAliveTimeout = limits.idleTimeout.value_or(out.keepAliveTimeout);
  return out;
}

void EntryDuty::stop()
{
  mRing.close();
  mThread.stop();
  logOpenExchanges();
  mExchanges.clear();
  mAttempts.clear();
  mFrontend.reset();
}

// Logs the requests whose callers get no response because the process ends.
void EntryDuty::logOpenExchanges() const
{
  for (const auto& it : openExchanges()) {
    logEvent(LogLevel::Warning, "request_cut_off",
             { { "request", it->head().callerRequestId },
               { "at_owner", it->isAtOwner() ? "yes" : "no" },
               { "owner", std::to_string(routeOf(*it).node) },
               { "after_ms", std::to_string(toMillis(Clock::now() - it->startedAt())) } });
  }
}

// The exchanges may finish, and so leave mExchanges, while the caller uses them.
std::vector<std::shared_ptr<EntryExchange>> EntryDuty::openExchanges() const
{
  std::vector<std::shared_ptr<EntryExchange>> out;
  for (const auto& [pointer, weak] : mExchanges) {
    if (auto exchange = weak.lock()) {
      out.push_back(std::move(exchange));
    }
  }
  return out;
}

void EntryDuty::beginStop(TimePoint aLastStart, TimePoint aEnd)
{
  mThread.post([this, aLastStart, aEnd] {
    mStop = StopTimes{ aLastStart, aEnd };
    mFrontend->beginDrain();
    for (const auto& it : openExchanges()) {
      it->withdrawAt(withdrawalTime(it->endsBy()));
    }
  });
}

// A request that ends before the daemon does needs no withdrawal.
TimePoint EntryDuty::withdrawalTime(TimePoint aEndsBy) const
{
  return mStop && aEndsBy > mStop->end ? mStop->lastStart : TimePoint::max();
}

void EntryDuty::stopAccepting()
{
  mThread.post([this] {
    mIsRefusing = true;
    mFrontend->beginDrain();
    mFrontend->stopAccepting();
  });
}

void EntryDuty::endOpenRequests()
{
  mThread.post([this] {
    for (const auto& it : openExchanges()) {
      it->end();
    }
  });
}

std::size_t EntryDuty::openRequests() const
{
  return mFrontend ? mFrontend->openRequests() : 0;
}

void EntryDuty::handle(EntryMessage aMessage)
{
  if (auto* peer = std::get_if<ReceivedMessage>(&aMessage)) {
    handlePeerMessage(std::move(*peer));
  } else if (const auto* silent = std::get_if<LinkSilent>(&aMessage)) {
    for (const auto& [id, exchange] : attemptsOn(silent->link)) {
      exchange->linkSilent(id);
    }
  } else if (const auto* lost = std::get_if<LinkLost>(&aMessage)) {
    handleLinkLost(*lost);
  } else if (std::holds_alternative<ViewPublished>(aMessage)) {
    mState = mView.state();
    mFrontend->setLimits(callerLimits());
    for (const auto& it : std::exchange(mAwaitingView, {})) {
      if (const auto waiting = it.lock()) {
        waiting->viewChanged();
      }
    }
  }
}

void EntryDuty::handlePeerMessage(ReceivedMessage aMessage)
{
  const auto forward = [&](auto& aBody) {
    const RequestId id = aBody.id;
    const auto it = mAttempts.find(id);
    if (it != mAttempts.end()) {
      const auto exchange = it->second.exchange; // Keeps the exchange alive if it ends in the call.
      exchange->handle(id, std::move(aBody));
    }
  };
  if (auto* head = std::get_if<wire::ResponseHead>(&aMessage.message)) {
    recordOwnerClock(aMessage, head->sentAt);
    recordExpectedTime(*head);
    forward(*head);
  } else if (auto* chunk = std::get_if<wire::BodyChunk>(&aMessage.message)) {
    forward(*chunk);
  } else if (auto* credit = std::get_if<wire::Credit>(&aMessage.message)) {
    forward(*credit);
  } else if (auto* failed = std::get_if<wire::RequestFailed>(&aMessage.message)) {
    recordOwnerClock(aMessage, failed->sentAt);
    forward(*failed);
  }
}

void EntryDuty::recordOwnerClock(const ReceivedMessage& aMessage, Micros aSentAt)
{
  if (aMessage.link != kLocalLink && aSentAt > Micros(0)) {
    mClockLinks[aMessage.from] = aMessage.link;
    mOwnerClocks.addSample(Clock::now(), aMessage.link, aSentAt, timeSinceBoot());
  }
}

// Returns the least that an owner's clock shows now; zero if nothing was received from it.
Micros EntryDuty::ownerClock(NodeId aNode) const
{
  const auto link = mClockLinks.find(aNode);
  const auto clock = link == mClockLinks.end()
                       ? std::nullopt
                       : mOwnerClocks.senderClock(link->second, timeSinceBoot());
  return clock ? std::chrono::duration_cast<Micros>(*clock) : Micros(0);
}

void EntryDuty::recordExpectedTime(const wire::ResponseHead& aHead)
{
  const auto it = mAttempts.find(aHead.id);
  if (it != mAttempts.end() && aHead.expectedTime > Micros(0)) {
    NodeStats& stats = mStats[it->second.node];
    stats.reportedSeconds = toSeconds(aHead.expectedTime);
    stats.reportedAt = Clock::now();
  }
}

void EntryDuty::handleLinkLost(const LinkLost& aLost)
{
  mOwnerClocks.removeLink(aLost.link);
  const auto clockLink = mClockLinks.find(aLost.peer);
  if (clockLink != mClockLinks.end() && clockLink->second == aLost.link) {
    mClockLinks.erase(clockLink);
  }
  for (const auto& [id, exchange] : attemptsOn(aLost.link)) {
    exchange->linkLost(id, aLost.isNotRun);
  }
}

std::vector<std::pair<RequestId, std::shared_ptr<EntryExchange>>> EntryDuty::attemptsOn(
  transport::LinkId aLink) const
{
  std::vector<std::pair<RequestId, std::shared_ptr<EntryExchange>>> out;
  for (const auto& [id, running] : mAttempts) {
    if (running.exchange->linkOf(id) == aLink) {
      out.emplace_back(id, running.exchange);
    }
  }
  return out;
}

void EntryDuty::onRequest(std::shared_ptr<transport::CallerStream> aStream)
{
  const CallerMetadata metadata = mDialect.parseCallerMetadata(*aStream);
  wire::RequestHead head;
  ExchangePlan plan;
  plan.deadline =
    Clock::now() + std::min(metadata.deadline.value_or(mSettings.defaultDeadline), kMaxDeadline);
  auto rejection = mIsRefusing ? Rejection{ ErrorCode::Draining, "this daemon is stopping" }
                               : admit(*aStream, metadata, head, plan);
  if (rejection && mayBeKnownByNow(rejection->code)) {
    rejection = Rejection{ ErrorCode::ConfigStale,
                           "this daemon can't confirm that it is unknown: " + rejection->message };
  }
  if (rejection) {
    mMetrics.countEntry(head.service, head.account, rejection->code, Duration::zero());
    logEvent(LogLevel::Warning, "request_not_admitted",
             { { "request", metadata.requestId },
               { "code", std::string(enumName(rejection->code)) },
               { "configuration", std::to_string(mState->model->configuration().version) },
               { "revision", std::to_string(mState->revision) },
               { "age_ms", std::to_string(toMillis(Clock::now() - mView.confirmedAt())) },
               { "reason", rejection->message } });
    // By then, the next renewal of the lease has confirmed the view, unless it fails as well.
    const bool isStale = rejection->code == ErrorCode::ConfigStale;
    const Millis retryAfter = isStale ? mSettings.lease.renewInterval : Millis(0);
    sendFailure(mDialect, *aStream,
                { wire::Outcome::NotRun, rejection->code, rejection->message, retryAfter, false });
    return;
  }
  head.method = aStream->method();
  head.path = aStream->path();
  head.headers = metadata.forwarded;
  head.idempotencyKey = metadata.idempotencyKey;
  head.isResend = metadata.isResend;
  head.callerService = mSettings.service;
  head.callerRequestId = metadata.requestId;
  head.routeRevision = mState->revision;
  traffic::HedgePolicy& hedge = mHedgePolicies[head.service];
  traffic::RetryBudget& retryBudget = mRetryBudgets[head.service];
  plan.withdrawAt = withdrawalTime(plan.deadline + traffic::EntryRequest::kOwnerResultGrace);
  const auto exchange =
    std::make_shared<EntryExchange>(*this, mThread.context(), std::move(aStream), std::move(head),
                                    plan, traffic::EntryShared{ retryBudget, hedge, mRandom });
  mExchanges[exchange.get()] = exchange;
  exchange->start();
}

// A route or key that was added since the view was confirmed is missing from it.
bool EntryDuty::mayBeKnownByNow(ErrorCode aCode) const
{
  const bool isAbsence =
    aCode == ErrorCode::UnknownService || aCode == ErrorCode::UnknownAccountKey;
  return isAbsence && Clock::now() - mView.confirmedAt() > mSettings.lease.absenceLimit;
}

std::optional<EntryDuty::Rejection> EntryDuty::admit(const transport::CallerStream& aStream,
                                                     const CallerMetadata& aMetadata,
                                                     wire::RequestHead& aHead, ExchangePlan& aPlan)
{
  // Reads the latest view without waiting for ViewPublished, so that a backlog in the ring doesn't
  // delay the withdrawal of an account key.
  mState = mView.state();
  const fleet::FleetModel& model = *mState->model;
  if (Clock::now() - mView.confirmedAt() > mSettings.lease.confirmLimit) {
    return Rejection{ ErrorCode::ConfigStale,
                      "this daemon has not confirmed its configuration in time" };
  }
  const bool hasRoutes = model.configuration().version > 0;
  if (!hasRoutes && mDialect.needsConfiguration()) {
    return Rejection{ ErrorCode::ConfigStale, "this daemon has no configuration yet" };
  }
  bool isOpen = false;
  auto rejection = hasRoutes ? resolveRoute(aStream, aMetadata, aHead, aPlan, isOpen)
                             : resolvePath(aStream, aHead, aPlan, isOpen);
  if (rejection) {
    return rejection;
  }
  if (!aMetadata.accountKey.empty()) {
    aHead.keyDigest = Bytes(sha256(aMetadata.accountKey));
    const std::string digest = toHex(aHead.keyDigest.data);
    if (const wire::Account* account = model.accountOfDigest(digest)) {
      aHead.account = account->name;
      aHead.keyName = keyNameOf(*account, digest);
      aHead.priority = account->priority.value_or(aHead.priority);
    }
  }
  if (aHead.account.empty() && !isOpen) {
    return Rejection{ ErrorCode::UnknownAccountKey, "a valid account key is required" };
  }
  if (hasRoutes && aHead.account.empty()) {
    // Requests without an account are on open routes, which targets call while they run another
    // request. They get the highest priority and no objective, because the work of the other
    // request would be lost if they were refused.
    aHead.priority = 0;
    aHead.objective = Millis(0);
  }
  if (aPlan.isKeyed && aHead.key.empty()) {
    return Rejection{ ErrorCode::BadRequest, "the request has no key" };
  }
  if (aPlan.isKeyed) {
    aHead.partition = model.partitionOf(aHead.service, aHead.key);
  }
  return std::nullopt;
}

std::optional<EntryDuty::Rejection> EntryDuty::resolveRoute(const transport::CallerStream& aStream,
                                                            const CallerMetadata& aMetadata,
                                                            wire::RequestHead& aHead,
                                                            ExchangePlan& aPlan, bool& aIsOpen)
{
  const fleet::FleetModel& model = *mState->model;
  const wire::Route* route = model.routes().find(aMetadata.host, aStream.path());
  if (route == nullptr) {
    return Rejection{ ErrorCode::UnknownService, "no route matches the host and path" };
  }
  const double draw = std::uniform_real_distribution<double>(0, 1)(mRandom);
  aHead.service = fleet::selectService(*route, draw);
  aHead.isIdempotent = route->isIdempotent;
  aHead.priority = route->priority;
  aHead.objective = route->objective;
  aIsOpen = route->isOpen;
  aPlan.maxRuns = route->maxAttempts;
  aPlan.mayHedge = false; // Hedges would use up the attempts that the route allows.
  const TimePoint now = Clock::now();
  aPlan.deadline = std::min(aPlan.deadline, now + route->timeout);
  constexpr int kPercent = 100;
  aPlan.bridgeUntil = now + (aPlan.deadline - now) * mSettings.bridgePercent / kPercent;
  if (mSettings.refusesLate && route->objective > Millis(0)) {
    aPlan.lossBridgeUntil = now + route->objective / kLossBridgeDivisor;
  }
  aPlan.failsWithoutCapacity = mSettings.refusesLate;
  const auto service = model.services().find(aHead.service);
  aPlan.isKeyed = service != model.services().end() && service->second.isKeyed;
  aHead.key = aPlan.isKeyed ? aMetadata.key : std::string();
  return std::nullopt;
}

// Used until a configuration is set: the path contains the service and the key.
std::optional<EntryDuty::Rejection> EntryDuty::resolvePath(const transport::CallerStream& aStream,
                                                           wire::RequestHead& aHead,
                                                           ExchangePlan& aPlan, bool& aIsOpen)
{
  const RequestPath path = splitPath(aStream.path());
  const auto service = mState->model->services().find(path.service);
  if (service == mState->model->services().end()) {
    return Rejection{ ErrorCode::UnknownService, "no service of this name exists" };
  }
  aHead.service = path.service;
  aHead.isIdempotent = isIdempotentMethod(aStream.method());
  aPlan.isKeyed = service->second.isKeyed;
  aHead.key = aPlan.isKeyed ? path.key : std::string();
  aIsOpen = isOpenRoute(aStream.path(), service->second.openRoutes);
  return std::nullopt;
}

traffic::RouteKnown EntryDuty::selectRoute(const EntryExchange& aExchange,
                                           const std::vector<NodeId>& aExcluded,
                                           bool /*aNeedsNewerView*/)
{
  mState = mView.state();
  traffic::RouteKnown out = aExchange.isKeyed()
                              ? routeOf(aExchange)
                              : traffic::RouteKnown{ chooseTarget(aExchange, aExcluded) };
  const fleet::FleetModel& model = *mState->model;
  const wire::Node* node = model.node(out.node);
  // While another zone is in service, the key's owner serves it until it has been handed over.
  out.isOutOfService = (node == nullptr || model.isZoneOut(node->zone)) &&
                       model.isOutOfService(aExchange.head().service);
  return out;
}

void EntryDuty::awaitView(const std::shared_ptr<EntryExchange>& aExchange)
{
  if (mAwaitingView.size() >= mMaxAwaitingView) {
    // Without contact to the control group no view arrives, and finished requests would pile up.
    mAwaitingView.erase(std::remove_if(mAwaitingView.begin(), mAwaitingView.end(),
                                       [](const auto& aIt) { return aIt.expired(); }),
                        mAwaitingView.end());
    mMaxAwaitingView = std::max(kMinAwaitingView, 2 * mAwaitingView.size());
  }
  mAwaitingView.push_back(aExchange);
}

traffic::RouteKnown EntryDuty::routeOf(const EntryExchange& aExchange) const
{
  const fleet::FleetModel& model = *mState->model;
  const std::string& service = aExchange.head().service;
  if (model.partitionCount() == 0) {
    return {};
  }
  const wire::PartitionGrant* grant =
    model.grant(service, model.partitionOf(service, aExchange.head().key));
  return grant == nullptr ? traffic::RouteKnown()
                          : traffic::RouteKnown{ grant->owner, grant->token, mState->revision,
                                                 grant->movingTo != kNoNode };
}

NodeId EntryDuty::chooseTarget(const EntryExchange& aExchange, const std::vector<NodeId>& aExcluded)
{
  const TimePoint now = Clock::now();
  std::vector<traffic::Candidate> candidates;
  for (const auto& [id, node] : mState->model->nodes()) {
    if (!mState->model->mayOwn(node, aExchange.head().service)) {
      continue;
    }
    const NodeStats& stats = mStats[id];
    traffic::Candidate candidate;
    candidate.node = id;
    candidate.zone = node.zone;
    candidate.inFlight = stats.inFlight;
    candidate.limit = node.target.slots;
    candidate.averageLatency = fromSeconds(stats.expectedLatencySeconds(now));
    candidate.isUsable = std::find(aExcluded.begin(), aExcluded.end(), id) == aExcluded.end();
    candidates.push_back(std::move(candidate));
  }
  fillUnknownLatencies(candidates);
  const auto chosen =
    mLoadBalancingPolicy->choose(candidates, aExchange.head().objective / kObjectiveDivisor);
  return chosen ? candidates[*chosen].node : kNoNode;
}

RequestId EntryDuty::newAttempt(const std::shared_ptr<EntryExchange>& aExchange, NodeId aNode)
{
  const RequestId id{ mProcessIncarnation, ++mCounter };
  mAttempts[id] = { aExchange, aNode, Clock::now() };
  ++mStats[aNode].inFlight;
  return id;
}

transport::SendResult EntryDuty::sendTo(NodeId aNode, wire::PeerMessage aMessage)
{
  if (auto* head = std::get_if<wire::RequestHead>(&aMessage)) {
    head->ownerClock = ownerClock(aNode);
  }
  return mRouter.send(aNode, transport::Lane::Data, std::move(aMessage));
}

transport::SendStatus EntryDuty::replyTo(transport::LinkId aLink, wire::PeerMessage aMessage)
{
  return mRouter.reply(aLink, std::move(aMessage));
}

// Raises the node's latency as soon as an attempt is hedged. If the update waited for the end of
// the attempt, the slow target would be sent more work in the meantime.
void EntryDuty::attemptHedged(const RequestId& aId)
{
  const auto it = mAttempts.find(aId);
  if (it == mAttempts.end()) {
    return;
  }
  const TimePoint now = Clock::now();
  NodeStats& stats = mStats[it->second.node];
  const double least = kHedgedLatencyFactor * toSeconds(now - it->second.startedAt);
  if (stats.latencySeconds(now) < least) {
    stats.addLatency(now, least, 1);
  }
}

void EntryDuty::attemptEnded(const RequestId& aId, bool aHasCompleteResponse)
{
  const auto it = mAttempts.find(aId);
  if (it == mAttempts.end()) {
    return;
  }
  NodeStats& stats = mStats[it->second.node];
  if (stats.inFlight > 0) {
    --stats.inFlight;
  }
  if (aHasCompleteResponse) {
    const TimePoint now = Clock::now();
    stats.addLatency(now, toSeconds(now - it->second.startedAt), kLatencyWeight);
  }
  mAttempts.erase(it);
}

void EntryDuty::exchangeFinished(EntryExchange& aExchange, ErrorCode aCode)
{
  mExchanges.erase(&aExchange);
  const char* event = aCode == ErrorCode::None ? "request_answered" : "request_failed";
  logEvent(LogLevel::Info, event,
           { { "request", aExchange.head().callerRequestId },
             { "code", std::string(enumName(aCode)) },
             { "service", aExchange.head().service },
             { "partition", std::to_string(aExchange.head().partition) },
             { "owner", std::to_string(routeOf(aExchange).node) },
             { "revision", std::to_string(mState->revision) },
             { "after_ms", std::to_string(toMillis(Clock::now() - aExchange.startedAt())) } });
  mMetrics.countEntry(aExchange.head().service, aExchange.head().account, aCode,
                      Clock::now() - aExchange.startedAt());
}

} // namespace camphorcleat::daemon
