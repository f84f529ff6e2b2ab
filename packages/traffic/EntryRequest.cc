// Event handlers of one request at the entry daemon.

#include "traffic/EntryRequest.h"

#include <algorithm>
#include <utility>

#include "traffic/RetryPolicy.h"

namespace camphorcleat::traffic {

namespace {

constexpr Millis kFirstBudgetedDelay{ 5 };
constexpr Millis kFirstOwnerChangeDelay{ 2 }; // A planned handover takes a few milliseconds.
constexpr Millis kLastDelay{ 100 };
// The refusing owner's view may be newer by log entries that don't concern the key, and the
// notification of a new view may be lost, so the view is read again after this time.
constexpr Millis kMaxViewWait{ 250 };
// A caller whose key has no reachable owner is advised to retry after the remaining time divided by
// this value. Most of the remaining time is then left for the retry.
constexpr int kRetryAfterDivisor = 3;
// A longer list would leave too few targets to choose from.
constexpr std::size_t kMaxExcluded = 8;

} // namespace

EntryRequest::EntryRequest(const EntryShared& aShared)
  : mShared(aShared)
  , mBudgetedBackoff(kFirstBudgetedDelay, kLastDelay, aShared.random)
  , mOwnerChangeBackoff(kFirstOwnerChangeDelay, kLastDelay, aShared.random)
{
}

std::vector<EntryAction> EntryRequest::step(TimePoint aNow, const EntryEvent& aEvent)
{
  mNow = aNow;
  mActions.clear();
  if (!mIsFinished && (mIsStarted || std::holds_alternative<Started>(aEvent))) {
    std::visit([&](const auto& aIt) { on(aNow, aIt); }, aEvent);
    setTimer();
  }
  return std::move(mActions);
}

void EntryRequest::on(TimePoint aNow, const Started& aEvent)
{
  if (mIsStarted) {
    return;
  }
  mIsStarted = true;
  mStarted = aEvent;
  mShared.retryBudget.recordRequest();
  if (mayHedge()) {
    mShared.hedgePolicy.recordRequest();
  }
  if (aEvent.deadline <= aNow) {
    failAtDeadline();
    return;
  }
  if (aEvent.withdrawAt <= aNow) {
    withdraw();
    return;
  }
  lookUpRoute(LookUp::ForAttempt);
}

void EntryRequest::on(TimePoint aNow, const RouteKnown& aEvent)
{
  const LookUp lookUp = std::exchange(mLookUp, LookUp::None);
  if (lookUp == LookUp::None || mForwarded || (lookUp == LookUp::ForHedge && mAttempts.empty())) {
    return;
  }
  if (lookUp == LookUp::ForAttempt && mustWait(aEvent)) {
    return;
  }
  mRefusal.reset();
  mRetryAt.reset();
  const bool isResend = mMayHaveRun || mStarted.isResend || !mAttempts.empty();
  const std::uint32_t number = ++mAttemptCount;
  mAttempts[number] = Attempt{ aEvent.node, aNow, aEvent.token };
  mActions.emplace_back(StartAttempt{ number, aEvent.node, isResend });
  if (!mFirstStartedAt) {
    mFirstStartedAt = aNow;
    if (mayHedge()) {
      const auto delay = mShared.hedgePolicy.delay(aNow);
      mHedgeAt = delay ? std::make_optional(aNow + *delay) : std::nullopt;
    }
  }
}

// Returns whether the route leads to the node that refused the last attempt and that would refuse
// the next one as well. While the node hands the key over, or if its view was newer than this one,
// another view names the owner. Otherwise, it is the owner but can't serve the key yet.
bool EntryRequest::mustWait(const RouteKnown& aRoute)
{
  mViewUntil.reset();
  if (!mRefusal || mRefusal->node != aRoute.node || mRefusal->token != aRoute.token) {
    return false;
  }
  if (aRoute.isMoving) {
    mViewUntil = std::min<TimePoint>(mStarted.bridgeUntil, mNow + kMaxViewWait);
  } else if (aRoute.revision < mRefusal->revision) {
    mViewUntil = std::min<TimePoint>(mStarted.bridgeUntil, mRefusal->at + kMaxViewWait);
  }
  return mViewUntil || mRetryAt;
}

void EntryRequest::on(TimePoint aNow, const RouteUnknown& aEvent)
{
  const LookUp lookUp = std::exchange(mLookUp, LookUp::None);
  if (lookUp == LookUp::ForAttempt && aEvent.isOutOfService) {
    fail(AttemptFailed{ 0, wire::Outcome::NotRun, ErrorCode::ZoneOut,
                        "operators have taken all zones of the service out", Millis(0) });
    return;
  }
  const bool hadNoCapacity =
    mLastFailure && mLastFailure->outcome == wire::Outcome::NotRun && !mExclude.empty();
  if (lookUp == LookUp::ForAttempt && mStarted.failsWithoutCapacity && !mStarted.isKeyed &&
      hadNoCapacity) {
    fail(*mLastFailure);
    return;
  }
  if (lookUp == LookUp::ForAttempt) {
    mExclude.clear();
    mRefusal.reset();
    handleFailure(aNow, AttemptFailed{ 0, wire::Outcome::NotRun, ErrorCode::NoOwner,
                                       "no owner or usable target is known for this request",
                                       Millis(0) });
  }
}

void EntryRequest::on(TimePoint aNow, const AttemptFailed& aEvent)
{
  const auto it = mAttempts.find(aEvent.attempt);
  if (it == mAttempts.end()) {
    return;
  }
  const NodeId node = it->second.node;
  const bool hasNextOwner = aEvent.code == ErrorCode::NotOwner || aEvent.code == ErrorCode::ZoneOut;
  mRefusal = mStarted.isKeyed && hasNextOwner
               ? std::optional<Refusal>({ node, it->second.token, aEvent.revision, aNow })
               : std::nullopt;
  mAttempts.erase(it);
  if (mForwarded) {
    mIsFinished = *mForwarded == aEvent.attempt; // The embedder cuts the forwarded response off.
    return;
  }
  if (!mStarted.isKeyed && mExclude.size() < kMaxExcluded) {
    mExclude.push_back(node);
  }
  handleFailure(aNow, aEvent);
}

void EntryRequest::on(TimePoint aNow, const AttemptHead& aEvent)
{
  forwardResponse(aNow, aEvent.attempt);
}

void EntryRequest::on(TimePoint aNow, const AttemptDone& aEvent)
{
  forwardResponse(aNow, aEvent.attempt);
  if (mForwarded && *mForwarded == aEvent.attempt) {
    mAttempts.clear();
    mIsFinished = true;
  }
}

void EntryRequest::on(TimePoint, const ViewChanged&)
{
  mIsAwaitingView = false;
  if (mRefusal && mAttempts.empty() && !mForwarded) {
    lookUpRoute(LookUp::ForAttempt);
  }
}

void EntryRequest::on(TimePoint aNow, const TimerFired&)
{
  if (mTimer && *mTimer <= aNow) {
    mTimer.reset();
  }
  if (mForwarded) {
    return;
  }
  const Duration grace = mAttempts.empty() ? Duration::zero() : Duration(kOwnerResultGrace);
  if (aNow >= mStarted.deadline + grace) {
    failAtDeadline();
    return;
  }
  if (mStarted.withdrawAt <= aNow && !mIsWithdrawn) {
    withdraw();
    return;
  }
  if (mViewUntil && mStarted.bridgeUntil <= aNow) {
    fail(*mLastFailure);
    return;
  }
  const bool mustAskAgain = mViewUntil && *mViewUntil <= aNow;
  if (mustAskAgain) {
    mViewUntil.reset();
    mRefusal->revision = 0;
  }
  if (mustAskAgain || (mRetryAt && *mRetryAt <= aNow)) {
    mRetryAt.reset();
    if (!mViewUntil) {
      lookUpRoute(LookUp::ForAttempt);
    }
  }
  if (mHedgeAt && *mHedgeAt <= aNow) {
    mHedgeAt.reset();
    if (mAttempts.size() == 1 && mLookUp == LookUp::None && mShared.hedgePolicy.tryAcquire()) {
      lookUpRoute(LookUp::ForHedge);
    }
  }
}

void EntryRequest::on(TimePoint aNow, const WithdrawalDue& aEvent)
{
  mStarted.withdrawAt = aEvent.at;
  if (aEvent.at <= aNow && !mForwarded && !mIsWithdrawn) {
    withdraw();
  }
}

void EntryRequest::on(TimePoint, const CallerDisconnected&)
{
  cancelAllBut(0);
  mIsFinished = true;
}

void EntryRequest::lookUpRoute(LookUp aPurpose)
{
  mLookUp = aPurpose;
  if (mRefusal && !mIsAwaitingView) {
    mIsAwaitingView = true;
    mActions.emplace_back(AwaitView{});
  }
  LookUpRoute ask;
  ask.exclude = mExclude;
  ask.mustBeNewer = mIsRouteWrong;
  if (aPurpose == LookUp::ForHedge) {
    ask.exclude.push_back(mAttempts.begin()->second.node);
  }
  mActions.emplace_back(std::move(ask));
}

void EntryRequest::handleFailure(TimePoint aNow, const AttemptFailed& aFailure)
{
  mMayHaveRun = mMayHaveRun || aFailure.outcome != wire::Outcome::NotRun;
  mPossibleRuns += aFailure.outcome != wire::Outcome::NotRun ? 1 : 0;
  mIsRouteWrong = aFailure.code == ErrorCode::NotOwner || aFailure.code == ErrorCode::ZoneOut;
  mViewUntil.reset();
  mLastFailure = aFailure;
  if (!mAttempts.empty()) {
    return; // The result of the other attempt decides.
  }
  mHedgeAt.reset();
  mLookUp = LookUp::None;
  if (mIsWithdrawn || !planRetry(aNow, aFailure)) {
    fail(aFailure);
  } else if (mRefusal) {
    lookUpRoute(LookUp::ForAttempt); // The view may have changed since the attempt started.
  }
}

bool EntryRequest::planRetry(TimePoint aNow, const AttemptFailed& aFailure)
{
  if (mMayHaveRun && !mayRepeat()) {
    return false;
  }
  if (mStarted.maxRuns != 0 && mPossibleRuns >= mStarted.maxRuns) {
    return false;
  }
  RetryKind kind = retryKindOf(aFailure.outcome, aFailure.code, mayRepeat());
  const bool isOwnersRefusal =
    aFailure.code == ErrorCode::QueueFull || aFailure.code == ErrorCode::Overloaded ||
    aFailure.code == ErrorCode::Draining || aFailure.code == ErrorCode::TargetDown;
  if (mStarted.failsWithoutCapacity && isOwnersRefusal && kind == RetryKind::Budgeted) {
    // No target received the request, so a retry at another owner is not charged to the budget. A
    // key has only one owner. That owner changes if its target leaves but not because the target is
    // full.
    const bool isFull =
      aFailure.code == ErrorCode::QueueFull || aFailure.code == ErrorCode::Overloaded;
    kind = mStarted.isKeyed && isFull ? RetryKind::Final : RetryKind::OwnerChange;
  }
  if (kind == RetryKind::Final || mAttemptCount >= kMaxAttempts) {
    return false;
  }
  Duration delay = (kind == RetryKind::OwnerChange ? mOwnerChangeBackoff : mBudgetedBackoff).next();
  if (kind == RetryKind::OwnerChange) {
    // The minimum also limits the rate of route look-ups for a request whose attempts never start.
    delay = std::max<Duration>(delay, Millis(1));
  } else if (mStarted.isKeyed) {
    delay = std::max<Duration>(delay, aFailure.retryAfter); // No other node can serve the key.
  }
  const bool isOwnerLost =
    aFailure.code == ErrorCode::PeerUnreachable || aFailure.code == ErrorCode::NoOwner;
  const TimePoint bridgeUntil =
    isOwnerLost ? std::min(mStarted.bridgeUntil, mStarted.lossBridgeUntil) : mStarted.bridgeUntil;
  if (aNow + delay >= mStarted.deadline ||
      (kind == RetryKind::OwnerChange && aNow + delay >= bridgeUntil)) {
    return false;
  }
  if (kind == RetryKind::Budgeted && !mShared.retryBudget.tryAcquire()) {
    return false;
  }
  mRetryAt = aNow + delay;
  return true;
}

void EntryRequest::forwardResponse(TimePoint aNow, std::uint32_t aAttempt)
{
  if (mForwarded || mAttempts.count(aAttempt) == 0) {
    return;
  }
  mForwarded = aAttempt;
  mLookUp = LookUp::None;
  mRetryAt.reset();
  mHedgeAt.reset();
  if (mayHedge()) {
    mShared.hedgePolicy.recordLatency(aNow, aNow - *mFirstStartedAt);
  }
  cancelAllBut(aAttempt);
  mActions.emplace_back(ForwardResponse{ aAttempt });
}

void EntryRequest::withdraw()
{
  mIsWithdrawn = true;
  mRetryAt.reset();
  mHedgeAt.reset();
  mViewUntil.reset();
  if (mAttempts.empty()) {
    mLookUp = LookUp::None;
    fail(AttemptFailed{ 0, wire::Outcome::NotRun, ErrorCode::Draining, "this daemon is stopping",
                        Millis(0) });
    return;
  }
  for (const auto& [number, attempt] : mAttempts) {
    mActions.emplace_back(WithdrawAttempt{ number });
  }
}

void EntryRequest::failAtDeadline()
{
  mMayHaveRun = mMayHaveRun || !mAttempts.empty();
  cancelAllBut(0);
  AttemptFailed failure;
  failure.outcome = wire::Outcome::NotRun;
  failure.code = ErrorCode::DeadlineExceeded;
  failure.message = "the deadline passed before a response began";
  if (mLastFailure) {
    failure.message += "; last failure: " + mLastFailure->message;
  }
  fail(failure);
}

void EntryRequest::fail(const AttemptFailed& aFailure)
{
  FailRequest out{ aFailure.outcome, aFailure.code, aFailure.message, aFailure.retryAfter };
  if (mMayHaveRun) {
    out.outcome = wire::Outcome::Unknown;
    if (aFailure.outcome == wire::Outcome::NotRun && aFailure.code != ErrorCode::DeadlineExceeded) {
      // The last refusal gives no information about an earlier attempt.
      out.code = ErrorCode::OutcomeUnknown;
    }
  }
  const bool isOwnerChange =
    retryKindOf(aFailure.outcome, aFailure.code, false) == RetryKind::OwnerChange;
  if (out.outcome == wire::Outcome::NotRun && out.retryAfter == Millis(0) && isOwnerChange) {
    const auto left = std::chrono::duration_cast<Millis>(mStarted.deadline - mNow);
    out.retryAfter = std::max(left / kRetryAfterDivisor, Millis(1));
  }
  mIsFinished = true;
  mActions.emplace_back(std::move(out));
}

void EntryRequest::cancelAllBut(std::uint32_t aAttempt)
{
  for (auto it = mAttempts.begin(); it != mAttempts.end();) {
    if (it->first == aAttempt) {
      ++it;
      continue;
    }
    mActions.emplace_back(CancelAttempt{ it->first });
    it = mAttempts.erase(it);
  }
}

void EntryRequest::setTimer()
{
  if (mIsFinished || mForwarded) {
    return;
  }
  const Duration grace = mAttempts.empty() ? Duration::zero() : Duration(kOwnerResultGrace);
  TimePoint at = mStarted.deadline + grace;
  if (!mIsWithdrawn) {
    at = std::min(at, mStarted.withdrawAt);
  }
  for (const auto& it : { mRetryAt, mHedgeAt, mViewUntil }) {
    at = it ? std::min(at, *it) : at;
  }
  if (mTimer != at) {
    mTimer = at;
    // A LookUpRoute or StartAttempt may be answered while it is carried out. The timer that is set
    // by that step must replace this one.
    mActions.insert(mActions.begin(), SetTimer{ at });
  }
}

} // namespace camphorcleat::traffic
