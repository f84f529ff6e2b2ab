// Event handlers of the owner role.

#include "traffic/OwnerLogic.h"

#include <algorithm>

namespace camphorcleat::traffic {

namespace {

// Retry advice to callers whose request was refused for lack of capacity.
constexpr Millis kBusyRetryAfter{ 100 };

// Time between two checks of a target that gives no usable response to them.
constexpr Millis kFailedCheckPause{ 500 };

// Weight of requests without an account or of accounts without a rate, in requests per second.
constexpr double kUnlimitedWeight = 100;

PartitionKey partitionKeyOf(const RequestArrived& aRequest)
{
  return { aRequest.service, aRequest.partition };
}

std::optional<IdempotencyRecordKey> recordKeyOf(const RequestArrived& aRequest)
{
  if (aRequest.isIdempotent || aRequest.idempotencyKey.empty()) {
    return std::nullopt;
  }
  return IdempotencyRecordKey{ partitionKeyOf(aRequest), aRequest.account,
                               aRequest.idempotencyKey };
}

// An account's share of a full target is in proportion to its rate.
double weightOf(const RequestArrived& aRequest)
{
  return aRequest.accountRate > 0 ? aRequest.accountRate : kUnlimitedWeight;
}

Millis roundedUp(Micros aTime)
{
  return Millis((aTime.count() + 999) / 1000);
}

} // namespace

OwnerLogic::OwnerLogic(const OwnerConfig& aConfig, const OwnershipView& aView, Incarnation aDrawer)
  : mConfig(aConfig)
  , mView(aView)
  , mQueue(aConfig.maxQueued)
  , mAdmission(aConfig.admission, aConfig.processStart)
  , mTokens(aDrawer, aConfig.tokens)
  , mIdempotencyStore(aConfig.idempotency)
{
}

std::vector<OwnerAction> OwnerLogic::step(TimePoint aNow, const OwnerEvent& aEvent)
{
  ++mStep;
  mActions.clear();
  std::visit([&](const auto& aIt) { on(aNow, aIt); }, aEvent);
  runPendingWork(aNow);
  mNextWake = wakeAt(aNow);
  return std::move(mActions);
}

void OwnerLogic::on(TimePoint aNow, const RequestArrived& aEvent)
{
  if (aEvent.isOpenRoute && !aEvent.account.empty()) {
    RequestArrived event = aEvent;
    event.account.clear();
    on(aNow, event);
    return;
  }
  if (mWaiting.count(aEvent.id) != 0 || mRunning.count(aEvent.id) != 0) {
    return; // A duplicate of a request in progress.
  }
  if (aEvent.deadline <= aNow) {
    refuse(aEvent, wire::Outcome::NotRun, ErrorCode::DeadlineExceeded, "deadline has passed");
    return;
  }
  if (auto refusal = ownershipRefusal(aNow, aEvent)) {
    refuse(aEvent, wire::Outcome::NotRun, refusal->code, std::move(refusal->message));
    return;
  }
  if (!checkIdempotency(aNow, aEvent)) {
    return;
  }
  if (auto refusal = targetRefusal(aNow, aEvent)) {
    if (const auto key = recordKeyOf(aEvent)) {
      mIdempotencyStore.release(*key);
    }
    refuse(aEvent, wire::Outcome::NotRun, refusal->code, std::move(refusal->message));
    return;
  }
  if (aEvent.isKeyed) {
    mLoads.recordArrival(aNow, aEvent.partition);
  }
  const std::size_t ahead = mQueue.sizeAhead(aEvent.priority, aEvent.account, weightOf(aEvent));
  if (missesObjective(aNow, aEvent, ahead)) {
    if (const auto key = recordKeyOf(aEvent)) {
      mIdempotencyStore.release(*key);
    }
    refuse(aEvent, wire::Outcome::NotRun, ErrorCode::Overloaded,
           "the target can't respond within the latency objective", retryAfter(aNow, aEvent));
    return;
  }
  enqueue(aNow, aEvent);
  refuseDisplaced(aNow);
}

// Returns how long a new request would wait if this many of the queued ones are served before it,
// given the mean run time.
Duration OwnerLogic::expectedWait(TimePoint aNow, std::size_t aQueuedAhead) const
{
  const std::uint32_t limit = mAdmission.limit(aNow);
  const std::size_t ahead = aQueuedAhead + mRunning.size();
  if (limit == 0 || ahead < limit) {
    return Duration::zero();
  }
  const double rounds = static_cast<double>(ahead - limit + 1) / limit;
  return fromSeconds(rounds * toSeconds(mLoads.meanRun()));
}

// A request that can start at once is never refused, however slow the target is: its measured run
// times may come from a few unusually slow requests.
bool OwnerLogic::missesObjective(TimePoint aNow, const RequestArrived& aRequest,
                                 std::size_t aQueuedAhead) const
{
  if (!mConfig.refusesLate) {
    return false;
  }
  const Duration wait = expectedWait(aNow, aQueuedAhead);
  const TimePoint latest = std::min(aRequest.objective, aRequest.deadline);
  return wait > Duration::zero() && aNow + wait + mLoads.meanRun(aRequest.priority) > latest;
}

// Returns the retry advice for a refused request: the expected wait, after which there is probably
// capacity again, but at most a third of the time until the deadline, so that the caller can still
// retry.
Millis OwnerLogic::retryAfter(TimePoint aNow, const RequestArrived& aRequest) const
{
  constexpr int kTimeLeftDivisor = 3;
  const Duration wait = expectedWait(aNow, mQueue.sizeAhead(aRequest.priority));
  const Duration most = (aRequest.deadline - aNow) / kTimeLeftDivisor;
  return std::max(std::chrono::duration_cast<Millis>(std::min(wait, most)), Millis(1));
}

// Refuses waiting requests that can no longer meet their objective, because requests of a higher
// priority arrived or the target became slower.
void OwnerLogic::refuseLateWaiting(TimePoint aNow)
{
  if (!mConfig.refusesLate || mRunning.size() < mAdmission.limit(aNow)) {
    return;
  }
  std::vector<RequestId> late;
  for (const auto& [id, waiting] : mWaiting) {
    const TimePoint latest = std::min(waiting.request.objective, waiting.request.deadline);
    if (aNow + mLoads.meanRun(waiting.request.priority) > latest) {
      late.push_back(id);
    }
  }
  refuseLate(aNow, late);
}

// Refuses the waiting requests that will miss their objective because the latest arrival is served
// before them. They would otherwise wait until it is too late for another attempt.
void OwnerLogic::refuseDisplaced(TimePoint aNow)
{
  if (!mConfig.refusesLate || mRunning.size() < mAdmission.limit(aNow)) {
    return;
  }
  std::vector<RequestId> late;
  std::size_t ahead = 0;
  for (const auto& id : mQueue.order()) {
    if (missesObjective(aNow, mWaiting.at(id).request, ahead)) {
      late.push_back(id);
    } else {
      ++ahead;
    }
  }
  refuseLate(aNow, late);
}

void OwnerLogic::refuseLate(TimePoint aNow, const std::vector<RequestId>& aIds)
{
  for (const auto& id : aIds) {
    const Millis wait = retryAfter(aNow, mWaiting.at(id).request);
    refuseWaiting(aNow, id, ErrorCode::Overloaded,
                  "the target can no longer respond within the latency objective", wait);
  }
}

void OwnerLogic::on(TimePoint aNow, const RequestCancelled& aEvent)
{
  const auto waiting = mWaiting.find(aEvent.id);
  if (waiting != mWaiting.end()) {
    const std::string account = waiting->second.request.account;
    if (const auto key = recordKeyOf(waiting->second.request)) {
      mIdempotencyStore.release(*key);
    }
    mQueue.remove(aEvent.id);
    mWaiting.erase(waiting);
    updateAccount(aNow, account);
    return;
  }
  const auto running = mRunning.find(aEvent.id);
  if (running != mRunning.end() && !running->second.isCancelled) {
    running->second.isCancelled = true;
    mCancelTimes.erase({ running->second.cancelAt, aEvent.id });
    mActions.emplace_back(CancelAtTarget{ aEvent.id });
  }
}

// All are removed before the first one is queued, since each would otherwise be refused for the
// wait behind those that are yet to be moved.
void OwnerLogic::on(TimePoint aNow, const AccountsChanged& aEvent)
{
  std::vector<const RequestArrived*> moved;
  for (const auto& it : aEvent.requests) {
    if (mWaiting.count(it.id) != 0) {
      on(aNow, RequestCancelled{ it.id });
      moved.push_back(&it);
    }
  }
  for (const auto* it : moved) {
    on(aNow, *it);
  }
}

void OwnerLogic::on(TimePoint aNow, const RequestWithdrawn& aEvent)
{
  if (mWaiting.count(aEvent.id) != 0) {
    refuseWaiting(aNow, aEvent.id, ErrorCode::Draining,
                  "the daemon that received the request is stopping");
  }
}

void OwnerLogic::on(TimePoint aNow, const TokenReplyArrived& aEvent)
{
  const TokenCache::AcceptResult result = mTokens.accept(aNow, aEvent.reply, aEvent.sentAt);
  if (result.isAccepted) {
    applyAcceptResult(aNow, aEvent.reply.account, result);
  }
}

void OwnerLogic::on(TimePoint aNow, const TokenHomeUnreachable& aEvent)
{
  mTokens.failPendingRequest(aNow, aEvent.account);
}

void OwnerLogic::on(TimePoint aNow, const TargetReport& aEvent)
{
  mAdmission.report(aNow, aEvent);
  if (!mAdmission.isReachable()) {
    refuseAllWaiting(aNow, ErrorCode::TargetDown, "the target is not reachable");
  }
  if (mAdmission.isDraining() && !mDrainSince) {
    mDrainSince = aNow;
  } else if (!mAdmission.isDraining() && !mIsLeaving) {
    mDrainSince.reset();
  }
}

void OwnerLogic::on(TimePoint aNow, const ColdTimeChecked& aEvent)
{
  mIsCheckingColdTime = false;
  if (aEvent.coldFor) {
    mAdmission.coldTimeReported(aNow, aEvent.sentAt, *aEvent.coldFor);
  } else {
    mNextColdTimeCheck = aNow + kFailedCheckPause;
  }
}

void OwnerLogic::on(TimePoint aNow, const TargetConnectionReset&)
{
  mAdmission.connectionReset(aNow);
}

void OwnerLogic::on(TimePoint aNow, const ResponseStarted& aEvent)
{
  const auto it = mRunning.find(aEvent.id);
  if (it == mRunning.end() || aEvent.isFenced) {
    return;
  }
  const auto inFlight = static_cast<std::uint32_t>(mRunning.size());
  const std::uint32_t accepted = it->second.runningBefore + 1;
  if (aEvent.isShed) {
    mAdmission.shed(aNow, inFlight, accepted);
    for (auto& [id, running] : mRunning) {
      if (running.number > it->second.number && running.runningBefore > 0) {
        --running.runningBefore;
      }
    }
  } else {
    mAdmission.recordResponse(aNow, aNow - it->second.startedAt, inFlight, accepted);
  }
}

void OwnerLogic::on(TimePoint aNow, const RequestEnded& aEvent)
{
  const auto it = mRunning.find(aEvent.id);
  if (it == mRunning.end()) {
    return;
  }
  const Running running = std::move(it->second);
  if (aEvent.outcome == wire::Outcome::Answered) {
    mLoads.recordRun(aNow - running.startedAt, running.priority);
  }
  mRunning.erase(it);
  mCancelTimes.erase({ running.cancelAt, aEvent.id });
  if (running.recordKey && aEvent.outcome == wire::Outcome::NotRun) {
    mIdempotencyStore.release(*running.recordKey);
  } else if (running.recordKey) {
    const bool isAnswered = aEvent.outcome == wire::Outcome::Answered;
    mIdempotencyStore.finish(aNow, *running.recordKey, isAnswered ? aEvent.response : std::nullopt);
  }
  if (!running.isKeyed) {
    return;
  }
  const auto count = mRunningByPartition.find(running.partition);
  if (--count->second == 0) {
    mRunningByPartition.erase(count);
    if (mStopping.erase(running.partition) != 0) {
      mActions.emplace_back(
        PartitionIdle{ running.partition.service, running.partition.partition });
    }
  }
}

void OwnerLogic::on(TimePoint aNow, const StopPartition& aEvent)
{
  const PartitionKey key{ aEvent.service, aEvent.partition };
  mStopped[key] = mView.tokenOf(aEvent.service, aEvent.partition).value_or(0);
  std::vector<RequestId> ids;
  for (const auto& [id, waiting] : mWaiting) {
    if (waiting.request.isKeyed && partitionKeyOf(waiting.request) == key) {
      ids.push_back(id);
    }
  }
  for (const auto& id : ids) {
    refuseWaiting(aNow, id, ErrorCode::NotOwner, "the partition is being handed over");
  }
  if (mRunningByPartition.count(key) == 0) {
    mActions.emplace_back(PartitionIdle{ aEvent.service, aEvent.partition });
  } else {
    mStopping.insert(key);
  }
}

void OwnerLogic::on(TimePoint aNow, const BeginDrain& aEvent)
{
  mIsLeaving = true;
  mStop = aEvent;
  if (!mDrainSince) {
    mDrainSince = aNow;
  }
}

// Checks lease, ownership and configuration, at the arrival and again right before the dispatch.
std::optional<OwnerLogic::Refusal> OwnerLogic::ownershipRefusal(TimePoint aNow,
                                                                const RequestArrived& aRequest)
{
  const Duration left = mView.leaseValidUntil() - aNow;
  const bool hasLease =
    mView.checksGrants() ? left > Duration::zero() : left >= Duration(mConfig.minLease);
  if (!hasLease) {
    // An unkeyed request can run elsewhere; a keyed one must wait for the new owner.
    return Refusal{ aRequest.isKeyed ? ErrorCode::NotOwner : ErrorCode::LeaseExpired,
                    "the lease of this daemon has expired or is about to expire" };
  }
  if (aRequest.isKeyed && (isStopped(partitionKeyOf(aRequest)) ||
                           !mView.tokenOf(aRequest.service, aRequest.partition))) {
    return Refusal{ ErrorCode::NotOwner, "this daemon does not own partition " +
                                           std::to_string(aRequest.partition) + " of " +
                                           aRequest.service };
  }
  if (mView.isZoneOut(aNow)) {
    return Refusal{ ErrorCode::ZoneOut, "operators have taken the zone of the target out" };
  }
  if (!mView.isConfigFresh(aNow)) {
    return Refusal{ ErrorCode::ConfigStale,
                    "the configuration of this daemon was not confirmed recently" };
  }
  return std::nullopt;
}

bool OwnerLogic::isDrained(TimePoint aNow) const
{
  return mDrainSince && aNow - *mDrainSince >= mConfig.drainQueueTime;
}

// Checks that the target accepts new work. While the target drains, keyed requests are still
// accepted for a limited time, because no other node can serve their key before it has been moved.
std::optional<OwnerLogic::Refusal> OwnerLogic::targetRefusal(TimePoint aNow,
                                                             const RequestArrived& aRequest) const
{
  const bool mayWait = aRequest.isKeyed && mAdmission.isDraining() && !mIsLeaving;
  if (mDrainSince && (!mayWait || isDrained(aNow))) {
    return Refusal{ ErrorCode::Draining, "the target accepts no new requests" };
  }
  if (!mAdmission.isReachable()) {
    return Refusal{ ErrorCode::TargetDown, "the target is not reachable" };
  }
  return std::nullopt;
}

bool OwnerLogic::checkIdempotency(TimePoint aNow, const RequestArrived& aRequest)
{
  using Verdict = IdempotencyStore::Verdict;
  const auto key = recordKeyOf(aRequest);
  if (!key) {
    if (aRequest.isIdempotent || !aRequest.isResend) {
      return true;
    }
    refuse(aRequest, wire::Outcome::Unknown, ErrorCode::OutcomeUnknown,
           "a resend without an idempotency key may already have run");
    return false;
  }
  auto result = mIdempotencyStore.begin(aNow, *key, aRequest.requestDigest, aRequest.isResend);
  switch (result.verdict) {
    case Verdict::Run:
      return true;
    case Verdict::Replay:
      mActions.emplace_back(ReplayResponse{ aRequest.id, std::move(*result.response) });
      break;
    case Verdict::Unknown:
      refuse(aRequest, wire::Outcome::Unknown, ErrorCode::OutcomeUnknown,
             "the first request with this idempotency key has no known answer");
      break;
    case Verdict::Conflict:
      refuse(aRequest, wire::Outcome::NotRun, ErrorCode::IdempotencyConflict,
             "the idempotency key was used with another request");
      break;
    case Verdict::Full:
      refuse(aRequest, wire::Outcome::NotRun, ErrorCode::Overloaded,
             "the store of idempotency keys is full; keys are kept for 10 minutes",
             kBusyRetryAfter);
      break;
    case Verdict::TooLong:
      refuse(aRequest, wire::Outcome::NotRun, ErrorCode::BadRequest,
             "the idempotency key is longer than " +
               std::to_string(mConfig.idempotency.maxKeyBytes) + " bytes");
      break;
  }
  return false;
}

void OwnerLogic::enqueue(TimePoint aNow, const RequestArrived& aRequest)
{
  const std::string& account = aRequest.account;
  mWaiting[aRequest.id] = Waiting{ aRequest, mStep, false };
  if (!account.empty() && !mTokens.recordArrival(aNow, account)) {
    refuseWaiting(aNow, aRequest.id, ErrorCode::Overloaded,
                  "too many accounts are in use at this daemon", kBusyRetryAfter);
    return;
  }
  const Duration refusedFor = mTokens.refusedFor(aNow, account);
  if (refusedFor > Duration::zero()) {
    refuseWaiting(aNow, aRequest.id, ErrorCode::OverRate, "the account is above its rate",
                  std::max(std::chrono::duration_cast<Millis>(refusedFor), Millis(1)));
    return;
  }
  QueuedRequest queued;
  queued.id = aRequest.id;
  queued.account = account;
  queued.weight = weightOf(aRequest);
  queued.deadline = std::min(aRequest.deadline, aNow + mConfig.maxQueueWait);
  if (const auto dropped = mQueue.push(aRequest.priority, std::move(queued))) {
    refuseWaiting(aNow, dropped->id, ErrorCode::QueueFull, "the queue of the target is full",
                  kBusyRetryAfter);
  }
  updateAccount(aNow, account);
}

void OwnerLogic::refuse(const RequestArrived& aRequest, wire::Outcome aOutcome, ErrorCode aCode,
                        std::string aMessage, Millis aRetryAfter)
{
  mActions.emplace_back(Refuse{ aRequest.id, aOutcome, aCode, std::move(aMessage), aRetryAfter });
}

// Refuses a request that was queued and not dispatched.
void OwnerLogic::refuseWaiting(TimePoint aNow, RequestId aId, ErrorCode aCode,
                               const std::string& aMessage, Millis aRetryAfter)
{
  const auto it = mWaiting.find(aId);
  const RequestArrived request = std::move(it->second.request);
  mWaiting.erase(it);
  mQueue.remove(aId);
  if (const auto key = recordKeyOf(request)) {
    mIdempotencyStore.release(*key);
  }
  refuse(request, wire::Outcome::NotRun, aCode, aMessage, aRetryAfter);
  updateAccount(aNow, request.account);
}

void OwnerLogic::refuseAllWaiting(TimePoint aNow, ErrorCode aCode, const std::string& aMessage)
{
  while (!mWaiting.empty()) {
    refuseWaiting(aNow, mWaiting.begin()->first, aCode, aMessage, kBusyRetryAfter);
  }
}

void OwnerLogic::applyAcceptResult(TimePoint aNow, const std::string& aAccount,
                                   const TokenCache::AcceptResult& aResult)
{
  std::uint32_t coveredLeft = aResult.coveredCount;
  for (const auto& id : mQueue.idsOf(aAccount)) {
    Waiting& waiting = mWaiting.at(id);
    if (coveredLeft > 0) {
      --coveredLeft;
      waiting.isWithinRate = true;
    } else if (aResult.isOverRate && !waiting.isWithinRate && waiting.step <= aResult.mark) {
      refuseWaiting(aNow, id, ErrorCode::OverRate, "the account is above its rate",
                    std::max(roundedUp(aResult.retryAfter), Millis(1)));
    }
  }
  updateAccount(aNow, aAccount);
}

// Updates the token demand of the account, and unblocks its queue if it has a token.
void OwnerLogic::updateAccount(TimePoint aNow, const std::string& aAccount)
{
  if (aAccount.empty()) {
    return;
  }
  mTokens.setWaiting(aNow, aAccount, mQueue.sizeOf(aAccount));
  if (mTokens.available(aNow, aAccount) > 0) {
    mQueue.unblock(aAccount);
  }
}

bool OwnerLogic::isStopped(const PartitionKey& aPartition)
{
  const auto it = mStopped.find(aPartition);
  if (it == mStopped.end()) {
    return false;
  }
  const auto token = mView.tokenOf(aPartition.service, aPartition.partition);
  if (!token || *token == it->second) {
    return true;
  }
  mStopped.erase(it); // The partition was granted again with a new token.
  return false;
}

void OwnerLogic::runPendingWork(TimePoint aNow)
{
  expireQueue(aNow);
  cancelOverdue(aNow);
  dispatchAll(aNow);
  refuseLateWaiting(aNow);
  checkColdTime(aNow);
  requestTokens(aNow);
  reportDrainComplete();
}

void OwnerLogic::expireQueue(TimePoint aNow)
{
  if (isDrained(aNow)) {
    refuseAllWaiting(aNow, ErrorCode::Draining, "the target accepts no new requests");
  }
  refuseAfterLastStart(aNow);
  if (!mWaiting.empty() && mView.isZoneOut(aNow)) {
    refuseAllWaiting(aNow, ErrorCode::ZoneOut, "operators have taken the zone of the target out");
  }
  for (const auto& it : mQueue.expire(aNow)) {
    if (mWaiting.at(it.id).request.deadline <= aNow) {
      refuseWaiting(aNow, it.id, ErrorCode::DeadlineExceeded,
                    "the deadline passed before the request could start");
    } else {
      refuseWaiting(aNow, it.id, ErrorCode::Overloaded,
                    "the request could not start within " +
                      std::to_string(mConfig.maxQueueWait.count()) + " ms",
                    kBusyRetryAfter);
    }
  }
}

// Refuses the waiting requests that may run for longer than the daemon, if their last start has
// passed.
void OwnerLogic::refuseAfterLastStart(TimePoint aNow)
{
  if (aNow < mStop.lastStart) {
    return;
  }
  std::vector<RequestId> late;
  for (const auto& [id, waiting] : mWaiting) {
    if (waiting.request.deadline + mConfig.responseGrace > mStop.end) {
      late.push_back(id);
    }
  }
  for (const auto& id : late) {
    refuseWaiting(aNow, id, ErrorCode::Draining, "this daemon is stopping");
  }
}

void OwnerLogic::cancelOverdue(TimePoint aNow)
{
  while (!mCancelTimes.empty() && mCancelTimes.begin()->first <= aNow) {
    const RequestId id = mCancelTimes.begin()->second;
    mCancelTimes.erase(mCancelTimes.begin());
    mRunning.at(id).isCancelled = true;
    mActions.emplace_back(CancelAtTarget{ id });
  }
}

void OwnerLogic::dispatchAll(TimePoint aNow)
{
  while (mRunning.size() < mAdmission.limit(aNow) && mAdmission.mayDispatch(aNow)) {
    const QueuedRequest* next = mQueue.front();
    if (next == nullptr) {
      return;
    }
    if (!next->account.empty() && mTokens.available(aNow, next->account) == 0) {
      const std::string account = next->account;
      mQueue.block(account);
      continue;
    }
    dispatchOne(aNow, mQueue.popFront());
  }
}

void OwnerLogic::dispatchOne(TimePoint aNow, const QueuedRequest& aQueued)
{
  const RequestArrived& request = mWaiting.at(aQueued.id).request;
  if (const auto refusal = ownershipRefusal(aNow, request)) {
    refuseWaiting(aNow, aQueued.id, refusal->code, refusal->message);
    return;
  }
  if (request.deadline <= aNow + mAdmission.minLatency()) {
    refuseWaiting(aNow, aQueued.id, ErrorCode::DeadlineExceeded,
                  "the request can't finish by its deadline");
    return;
  }
  Running running;
  running.partition = partitionKeyOf(request);
  running.isKeyed = request.isKeyed;
  running.recordKey = recordKeyOf(request);
  running.startedAt = aNow;
  running.number = ++mDispatches;
  running.runningBefore = static_cast<std::uint32_t>(mRunning.size());
  running.cancelAt = request.deadline + mConfig.responseGrace;
  TimePoint deadline = request.deadline;
  running.priority = request.priority;
  FencingToken token = 0;
  if (request.isKeyed) {
    token = *mView.tokenOf(request.service, request.partition);
    ++mRunningByPartition[running.partition];
    if (!mView.checksGrants()) {
      deadline = std::min(deadline, mView.leaseValidUntil());
      running.cancelAt = std::min(running.cancelAt, mView.leaseValidUntil());
    }
  }
  if (!aQueued.account.empty()) {
    mTokens.spend(aNow, aQueued.account);
  }
  mAdmission.recordDispatch(aNow);
  mActions.emplace_back(Dispatch{ aQueued.id, token, deadline, running.cancelAt });
  mCancelTimes.emplace(running.cancelAt, aQueued.id);
  mRunning.emplace(aQueued.id, std::move(running));
  mWaiting.erase(aQueued.id);
  updateAccount(aNow, aQueued.account);
}

void OwnerLogic::checkColdTime(TimePoint aNow)
{
  if (!mIsCheckingColdTime && aNow >= mNextColdTimeCheck && mAdmission.isReachable() &&
      mAdmission.needsColdTime(aNow)) {
    mIsCheckingColdTime = true;
    mActions.emplace_back(CheckColdTime{});
  }
}

void OwnerLogic::requestTokens(TimePoint aNow)
{
  for (auto& it : mTokens.due(aNow, mStep)) {
    mActions.emplace_back(SendTokenRequest{ std::move(it) });
  }
}

void OwnerLogic::reportDrainComplete()
{
  if (mIsLeaving && !mIsDrainReported && mWaiting.empty() && mRunning.empty()) {
    mIsDrainReported = true;
    mActions.emplace_back(DrainComplete{});
  }
}

std::optional<TimePoint> OwnerLogic::wakeAt(TimePoint aNow) const
{
  std::optional<TimePoint> at;
  const auto earliest = [&at](std::optional<TimePoint> aTime) {
    if (aTime) {
      at = at ? std::min(*at, *aTime) : aTime;
    }
  };
  earliest(mTokens.nextWake());
  earliest(mQueue.nextDeadline());
  if (!mCancelTimes.empty()) {
    earliest(mCancelTimes.begin()->first);
  }
  if (!mWaiting.empty()) {
    earliest(mAdmission.nextStep(aNow));
    if (mDrainSince) {
      earliest(*mDrainSince + mConfig.drainQueueTime);
    }
    if (mStop.lastStart > aNow) {
      earliest(mStop.lastStart);
    }
  }
  return at;
}

} // namespace camphorcleat::traffic
