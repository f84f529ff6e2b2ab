// Refill, grants, reports and expiry of one account's token bucket.

#include "traffic/RateBucket.h"

#include <algorithm>
#include <cmath>

#include "traffic/TokenTimes.h"

namespace camphorcleat::traffic {

namespace {

// Promises are limited to the refill of this time, so that waits stay short.
constexpr double kPromiseSeconds = 0.5;
constexpr std::uint32_t kMinPromises = 2;
// Token requests reach the home with varying delays, so requests that were evenly spaced at the
// callers may arrive closer together. The ideal level may therefore fall below zero by the refill
// of this time.
constexpr Millis kJitter{ 5 };
// Requests may have waited for this time while the account had no home; the owner's queue limits
// the wait to it (OwnerConfig::maxQueueWait). These requests arrived over that time and must not be
// judged as one burst.
constexpr Millis kMaxWaitWithoutHome{ 2'000 };
// A drawer without a request for this time has no waiting requests.
constexpr Millis kDrawerIdleTime{ 1'100 };
static_assert(kMaxTokenHold < kDrawerIdleTime);

constexpr Millis kMinRetry{ 1 };
constexpr Millis kMaxRetry{ 10'000 };
// While parked tokens block the refill, any report may free the next token, so the retry is soon.
constexpr Millis kBlockedRetry{ 5 };

// Below this burst, spent tokens must be reported at once, since unreported tokens block the
// refill.
constexpr double kSmallBurst = 4;
constexpr Millis kLongestReportDelay{ 100 };
// Reports may be delayed by the time in which this share of the burst is spent at the full rate.
constexpr double kUnreportedShare = 0.1;

Micros reportDelay(RateBucket::Rate aRate)
{
  if (aRate.burstRequests < kSmallBurst) {
    return Micros(0);
  }
  if (aRate.requestsPerSecond <= 0) {
    return kLongestReportDelay;
  }
  const double seconds = aRate.burstRequests / aRate.requestsPerSecond * kUnreportedShare;
  return std::chrono::duration_cast<Micros>(
    fromSeconds(std::min(seconds, toSeconds(kLongestReportDelay))));
}

// Rounds down. Clamping before the conversion prevents an overflow for a huge burst.
std::uint32_t wholeTokens(double aTokens)
{
  return static_cast<std::uint32_t>(std::clamp(std::floor(aTokens), 0.0, 1e9));
}

} // namespace

RateBucket::RateBucket(std::uint64_t aNumber, TimePoint aNow, Rate aRate, HomeStart aStart)
  : mNumber(aNumber)
  , mRate(aRate)
  , mIdealLevel(aRate.burstRequests)
  , mUpdatedAt(aNow)
  , mLastUse(aNow)
{
  if (aStart == HomeStart::AfterLoss) {
    mBacklog = std::max(aRate.requestsPerSecond, 0.0) * toSeconds(kMaxWaitWithoutHome);
    mBacklogUntil = aNow + kMaxWaitWithoutHome;
  }
  if (aStart == HomeStart::Full) {
    mLevel = aRate.burstRequests;
  } else if (aStart == HomeStart::AfterPlannedHandover) {
    mParked = wholeTokens(std::ceil(aRate.burstRequests));
    mExpiries.push_back(Expiry{ aNow + kTokenHold, 0, 0, mParked });
  }
}

RateBucket::RateBucket(std::uint64_t aNumber, TimePoint aNow, const BucketRecord& aRecord)
  : mNumber(aNumber)
  , mRate{ aRecord.requestsPerSecond, aRecord.burstRequests }
  , mLevel(aRecord.level)
  , mIdealLevel(aRecord.level + aRecord.parked)
  , mParked(aRecord.parked)
  , mUpdatedAt(aNow)
  , mLastUse(aNow)
{
  mExpiries.push_back(Expiry{ aNow + kTokenHold, 0, 0, mParked });
}

void RateBucket::advance(TimePoint aNow)
{
  // The refill up to each expiry comes before the expiry: capacity that an expiry frees must not be
  // refilled for the time before it.
  while (!mExpiries.empty() && mExpiries.front().at <= aNow) {
    refill(mExpiries.front().at);
    expireOne(mExpiries.front());
    mExpiries.pop_front();
  }
  refill(aNow);
}

void RateBucket::setRate(Rate aRate)
{
  mRate = aRate;
  mLevel = std::clamp(mLevel, 0.0, std::max(0.0, mRate.burstRequests - mParked));
  mIdealLevel = std::min(mIdealLevel, mRate.burstRequests);
}

wire::TokenReply RateBucket::handle(TimePoint aNow, const wire::TokenRequest& aRequest,
                                    Duration aLifetime, Duration aPace)
{
  mLastUse = aNow;
  wire::TokenReply reply;
  reply.account = aRequest.account;
  reply.sequence = aRequest.sequence;
  reply.bucket = mNumber;
  reply.lifetime = std::chrono::duration_cast<Micros>(aLifetime);
  reply.reportWithin = reportDelay(mRate);
  reply.pace = std::chrono::duration_cast<Micros>(aPace);
  Drawer* drawer = drawerOf(aNow, aRequest.drawer);
  if (drawer == nullptr) {
    // There are too many drawers. The reply has no tokens, but its waiting requests are promised
    // some, so that none is refused.
    reply.promised = aRequest.waiting;
    reply.retryAfter = kBlockedRetry;
    return reply;
  }
  if (aRequest.sequence == drawer->lastReply.sequence) {
    return drawer->lastReply;
  }
  if (aRequest.sequence < drawer->lastReply.sequence) {
    return reply; // The drawer no longer waits for this reply.
  }
  drawer->lastSeen = aNow;
  applyReports(*drawer, aRequest);
  grant(aNow, *drawer, aRequest, reply);
  promise(aNow, *drawer, aRequest, reply);
  drawer->lastReply = reply;
  return reply;
}

std::optional<TimePoint> RateBucket::lastSeen(Incarnation aDrawer) const
{
  const auto it = mDrawers.find(aDrawer);
  return it == mDrawers.end() ? std::nullopt : std::make_optional(it->second.lastSeen);
}

BucketRecord RateBucket::record() const
{
  BucketRecord out;
  out.level = mLevel;
  out.parked = mParked;
  out.requestsPerSecond = mRate.requestsPerSecond;
  out.burstRequests = mRate.burstRequests;
  return out;
}

RateBucket::Drawer* RateBucket::drawerOf(TimePoint aNow, Incarnation aDrawer)
{
  const auto it = mDrawers.find(aDrawer);
  if (it != mDrawers.end()) {
    return &it->second;
  }
  if (mDrawers.size() >= kMaxDrawers) {
    const auto oldest =
      std::min_element(mDrawers.begin(), mDrawers.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.lastSeen < aRight.second.lastSeen;
      });
    // A drawer without a request for this time has no parked token here, since kMaxTokenHold is
    // shorter.
    if (aNow - oldest->second.lastSeen < kDrawerIdleTime) {
      return nullptr;
    }
    mPromised -= oldest->second.promised;
    mDrawers.erase(oldest);
  }
  Drawer& drawer = mDrawers[aDrawer];
  drawer.lastSeen = aNow;
  return &drawer;
}

void RateBucket::applyReports(Drawer& aDrawer, const wire::TokenRequest& aRequest)
{
  if (aRequest.bucket != mNumber) {
    // The counts refer to tokens of another bucket. The tokens granted here will never be reported
    // and are removed when they expire.
    auto& grants = aDrawer.grants;
    grants.erase(std::remove_if(grants.begin(), grants.end(),
                                [](const Grant& aGrant) { return aGrant.isExpired; }),
                 grants.end());
    for (auto& it : grants) {
      it.isNeverReported = true;
    }
    return;
  }
  discardUnaccepted(aDrawer, aRequest.accepted);
  if (aRequest.accepted != aDrawer.accepted) {
    aDrawer.accepted = aRequest.accepted;
    aDrawer.countedSpent = 0;
    aDrawer.countedReturned = 0;
  }
  // If the previous request was not answered, the counts include what it reported, which may have
  // been applied already.
  const std::uint32_t returned =
    aRequest.returned - std::min(aRequest.returned, aDrawer.countedReturned);
  const std::uint32_t spent = aRequest.spent - std::min(aRequest.spent, aDrawer.countedSpent);
  aDrawer.countedReturned = aRequest.returned;
  aDrawer.countedSpent = aRequest.spent;
  // Returned tokens are applied first and thus matched to older grants, which are more likely to
  // have expired here. So no more tokens are added to the level than were returned in time.
  consume(aDrawer, returned, false);
  consume(aDrawer, spent, true);
}

void RateBucket::discardUnaccepted(Drawer& aDrawer, std::uint64_t aAccepted)
{
  // A drawer sends its next request only after it has accepted the last reply or given up on it.
  while (!aDrawer.grants.empty() && aDrawer.grants.back().sequence > aAccepted) {
    const Grant& last = aDrawer.grants.back();
    if (!last.isExpired) {
      mParked -= last.count;
      addToLevel(last.count);
    }
    addToIdealLevel(last.charged);
    aDrawer.grants.pop_back();
  }
}

// Matches spent or returned tokens to the oldest grants.
void RateBucket::consume(Drawer& aDrawer, std::uint32_t aCount, bool aWasSpent)
{
  for (auto it = aDrawer.grants.begin(); aCount > 0 && it != aDrawer.grants.end();) {
    if (it->isNeverReported) {
      ++it;
      continue;
    }
    const std::uint32_t count = std::min(aCount, it->count);
    aCount -= count;
    settleIdealLevel(*it, count, aWasSpent);
    it->count -= count;
    if (!it->isExpired) {
      mParked -= count;
      if (!aWasSpent) {
        addToLevel(count);
      }
    }
    it = it->count == 0 ? aDrawer.grants.erase(it) : std::next(it);
  }
}

// The ideal level is the level that the bucket would have if reports arrived without delay; see
// RateHome.h. Tokens for waiting requests are charged to it at the grant. Tokens requested ahead of
// demand are charged when they are spent, because such a bucket could have granted them to another
// drawer until then.
void RateBucket::settleIdealLevel(Grant& aGrant, std::uint32_t aCount, bool aWasSpent)
{
  if (aWasSpent) {
    const std::uint32_t paid = std::min(aCount, aGrant.charged);
    aGrant.charged -= paid;
    mIdealLevel -= aCount - paid;
    return;
  }
  const std::uint32_t ahead = std::min(aCount, aGrant.count - aGrant.charged);
  aGrant.charged -= aCount - ahead;
  addToIdealLevel(aCount - ahead);
}

void RateBucket::grant(TimePoint aNow, Drawer& aDrawer, const wire::TokenRequest& aRequest,
                       wire::TokenReply& aReply)
{
  if (aDrawer.grants.size() >= kMaxGrants) {
    return;
  }
  const std::uint32_t wanted =
    mPromised > aDrawer.promised ? std::min(aRequest.wanted, aRequest.waiting) : aRequest.wanted;
  const std::uint32_t count = std::min(wanted, wholeTokens(mLevel));
  if (count == 0) {
    return;
  }
  mLevel -= count;
  mParked += count;
  aReply.granted = count;
  aDrawer.grants.push_back(Grant{ aRequest.sequence, count, std::min(count, aRequest.waiting) });
  addExpiry(Expiry{ aNow + tokenHold(aReply.lifetime), aRequest.drawer, aRequest.sequence });
}

void RateBucket::addExpiry(const Expiry& aExpiry)
{
  const auto place =
    std::upper_bound(mExpiries.begin(), mExpiries.end(), aExpiry.at,
                     [](TimePoint aTime, const Expiry& aOther) { return aTime < aOther.at; });
  mExpiries.insert(place, aExpiry);
}

void RateBucket::promise(TimePoint aNow, Drawer& aDrawer, const wire::TokenRequest& aRequest,
                         wire::TokenReply& aReply)
{
  const std::uint32_t forWaiting = std::min(aReply.granted, aRequest.waiting);
  const std::uint32_t before = std::min(aDrawer.promised, aRequest.waiting);
  addToIdealLevel(aDrawer.promised - before);
  mPromised -= aDrawer.promised;
  const double backlog = aNow < mBacklogUntil ? mBacklog : 0;
  const std::uint32_t most = std::max(
    kMinPromises, wholeTokens(std::max(mRate.requestsPerSecond, 0.0) * kPromiseSeconds + backlog));
  if (mPromised + aRequest.waiting > most) {
    dropStalePromises(aNow);
  }
  const double slack = std::max(mRate.requestsPerSecond, 0.0) * toSeconds(kJitter);
  // Each request is charged to the ideal level once, when it first gets a token or a promise.
  const std::uint32_t newlyWaiting = aRequest.waiting - before;
  const std::uint32_t newlyGranted = forWaiting > before ? forWaiting - before : 0;
  const std::uint32_t covered =
    std::max(newlyGranted, std::min(newlyWaiting, wholeTokens(mIdealLevel + slack + backlog)));
  mIdealLevel -= covered;
  std::uint32_t promised = before + covered - forWaiting;
  const std::uint32_t room = most > mPromised ? most - mPromised : 0;
  if (promised > room) {
    mIdealLevel += promised - room;
    promised = room;
  }
  if (mIdealLevel < -slack) {
    mBacklog = std::max(0.0, mBacklog + mIdealLevel + slack);
    mIdealLevel = -slack;
  }
  aDrawer.promised = promised;
  mPromised += promised;
  aReply.promised = promised;
  if (aRequest.waiting > forWaiting + promised) {
    aReply.code = ErrorCode::OverRate;
  }
  if (aRequest.wanted > aReply.granted) {
    aReply.retryAfter = std::chrono::duration_cast<Micros>(untilNext());
  }
}

void RateBucket::dropStalePromises(TimePoint aNow)
{
  for (auto& [id, drawer] : mDrawers) {
    if (drawer.promised > 0 && aNow - drawer.lastSeen >= kDrawerIdleTime) {
      mPromised -= drawer.promised;
      addToIdealLevel(drawer.promised);
      drawer.promised = 0;
    }
  }
}

void RateBucket::expireOne(const Expiry& aExpiry)
{
  mParked -= aExpiry.inherited;
  const auto drawer = mDrawers.find(aExpiry.drawer);
  if (drawer == mDrawers.end()) {
    return;
  }
  auto& grants = drawer->second.grants;
  const auto it = std::find_if(grants.begin(), grants.end(), [&](const Grant& aGrant) {
    return aGrant.sequence == aExpiry.sequence;
  });
  if (it == grants.end() || it->isExpired) {
    return;
  }
  it->isExpired = true;
  mParked -= it->count;
  addToIdealLevel(it->charged); // Charged again if it is reported as spent.
  it->charged = 0;
  if (it->isNeverReported) {
    grants.erase(it);
  }
}

void RateBucket::refill(TimePoint aNow)
{
  if (aNow <= mUpdatedAt) {
    return;
  }
  const double added = std::max(mRate.requestsPerSecond, 0.0) * toSeconds(aNow - mUpdatedAt);
  mUpdatedAt = aNow;
  addToLevel(added);
  addToIdealLevel(added);
}

// Keeps the invariant level + parked <= burst.
void RateBucket::addToLevel(double aTokens)
{
  const double room = std::max(0.0, mRate.burstRequests - mParked - mLevel);
  mLevel += std::min(aTokens, room);
}

void RateBucket::addToIdealLevel(double aTokens)
{
  mIdealLevel = std::min(mIdealLevel + aTokens, mRate.burstRequests);
}

Duration RateBucket::untilNext() const
{
  const double missing = 1 - mLevel;
  if (missing <= 0) {
    return kMinRetry;
  }
  if (mRate.burstRequests - mParked < 1) {
    return kBlockedRetry;
  }
  if (mRate.requestsPerSecond <= 0) {
    return kMaxRetry;
  }
  const double seconds = std::min(missing / mRate.requestsPerSecond, toSeconds(kMaxRetry));
  return std::max<Duration>(fromSeconds(seconds) + Micros(1), kMinRetry);
}

} // namespace camphorcleat::traffic
