// Cached tokens, demand estimate and timing of token requests and reports.

#include "traffic/TokenCache.h"

#include <algorithm>
#include <cmath>

#include "traffic/TokenTimes.h"

namespace camphorcleat::traffic {

namespace {

// Time constant of the demand estimate: long compared with the gaps between requests and short
// compared with the lifetime of a token.
constexpr double kDemandSeconds = 0.2;

// Unused tokens are returned after this fraction of their lifetime, so that the report arrives
// before they expire.
constexpr double kReturnShare = 0.6;

// An unused account keeps its counts for at least this time before it may be evicted.
constexpr Millis kIdleTime{ 1'000 };

// A paced account with fewer expected requests than this gets no token ahead of demand.
constexpr double kMinExpected = 0.25;

std::uint32_t tokensFor(double aDemand, Duration aTime)
{
  return static_cast<std::uint32_t>(std::min(aDemand * toSeconds(aTime), 1e9));
}

} // namespace

bool TokenCache::recordArrival(TimePoint aNow, const std::string& aAccount)
{
  Account* account = accountOf(aNow, aAccount);
  if (account == nullptr) {
    return false;
  }
  account->demand = demandOf(*account, aNow) + 1 / kDemandSeconds;
  account->demandAt = aNow;
  account->lastUse = aNow;
  return true;
}

void TokenCache::setWaiting(TimePoint aNow, const std::string& aAccount, std::size_t aWaiting)
{
  Account* account = accountOf(aNow, aAccount);
  if (account != nullptr) {
    account->waiting =
      static_cast<std::uint32_t>(std::min<std::size_t>(aWaiting, mConfig.maxWanted));
    account->promised = std::min(account->promised, account->waiting);
    schedule(aAccount, *account, aNow);
  }
}

std::uint32_t TokenCache::available(TimePoint aNow, const std::string& aAccount)
{
  const auto it = mAccounts.find(aAccount);
  if (it == mAccounts.end()) {
    return 0;
  }
  returnDueTokens(it->second, aNow);
  return it->second.available;
}

bool TokenCache::spend(TimePoint aNow, const std::string& aAccount)
{
  if (available(aNow, aAccount) == 0) {
    return false;
  }
  Account& account = mAccounts.find(aAccount)->second;
  Grant& grant = account.grants.front();
  countUse(account, grant, 1, true);
  --account.available;
  if (--grant.count == 0) {
    account.grants.pop_front();
  }
  if (!account.reportAt) {
    account.reportAt = aNow + account.reportWithin;
  }
  schedule(aAccount, account, aNow);
  return true;
}

std::vector<wire::TokenRequest> TokenCache::due(TimePoint aNow, std::uint64_t aMark)
{
  std::vector<wire::TokenRequest> out;
  while (!mWakeTimes.empty() && mWakeTimes.begin()->first <= aNow) {
    const std::string name = mWakeTimes.begin()->second;
    Account& account = mAccounts.at(name);
    returnDueTokens(account, aNow);
    const auto at = sendAt(account, aNow);
    if (at && *at <= aNow) {
      constexpr unsigned kMaxTimeouts = 8; // Keeps the shift small; maxReplyTimeout is less.
      account.timeouts = std::min(account.timeouts + (account.pending ? 1U : 0U), kMaxTimeouts);
      out.push_back(makeRequest(name, account, aNow, aMark));
    }
    schedule(name, account, aNow);
  }
  return out;
}

TokenCache::AcceptResult TokenCache::accept(TimePoint aNow, const wire::TokenReply& aReply,
                                            TimePoint aSentAt)
{
  AcceptResult result;
  const auto it = mAccounts.find(aReply.account);
  if (it == mAccounts.end() || !it->second.pending ||
      it->second.pending->sequence != aReply.sequence) {
    return result;
  }
  Account& account = it->second;
  if (aReply.code == ErrorCode::NotOwner || aReply.bucket == 0) {
    failPendingRequest(aNow, aReply.account);
    return result;
  }
  const PendingRequest pending = *account.pending;
  account.pending.reset();
  account.accepted = pending.sequence;
  // The home has applied the counts of this request. Counts of another bucket's tokens can no
  // longer be reported.
  const bool isSameBucket = account.bucket == aReply.bucket;
  account.spent = isSameBucket ? account.spent - pending.spent : 0;
  account.returned = isSameBucket ? account.returned - pending.returned : 0;
  account.bucket = aReply.bucket;
  account.reportWithin = aReply.reportWithin;
  addGrant(account, aReply, std::min(aSentAt, pending.sentAt));
  returnDueTokens(account, aNow);
  account.wasRefused = aReply.code == ErrorCode::OverRate;
  account.promised = std::min(aReply.promised, account.waiting);
  account.notBefore = account.wasRefused ? aNow + mConfig.refusedInterval : aNow;
  account.promisedAfter = aNow + aReply.retryAfter;
  account.pace = aReply.pace;
  account.pacedUntil = aNow + aReply.pace;
  account.timeouts = 0;
  const bool isShort = aReply.retryAfter > Micros::zero();
  account.aheadAfter = isShort ? aNow + mConfig.lowWater : aNow;
  schedule(aReply.account, account, aNow);
  result.isAccepted = true;
  result.mark = pending.mark;
  result.coveredCount = account.available + account.promised;
  result.isOverRate = account.wasRefused;
  result.retryAfter = aReply.retryAfter;
  return result;
}

void TokenCache::failPendingRequest(TimePoint aNow, const std::string& aAccount)
{
  const auto it = mAccounts.find(aAccount);
  if (it == mAccounts.end()) {
    return;
  }
  Account& account = it->second;
  account.pending.reset();
  account.promised = 0;
  account.notBefore = aNow + mConfig.unreachableInterval;
  account.aheadAfter = account.notBefore;
  // A mere report is not urgent: the home releases parked tokens when they expire.
  if (account.spent > 0 || account.returned > 0) {
    account.reportAt = aNow + mConfig.lateReportInterval;
  }
  account.hasReturns = false;
  schedule(aAccount, account, aNow);
}

Duration TokenCache::refusedFor(TimePoint aNow, const std::string& aAccount)
{
  const auto it = mAccounts.find(aAccount);
  if (it == mAccounts.end() || !it->second.wasRefused || it->second.pacedUntil <= aNow) {
    return Duration::zero();
  }
  returnDueTokens(it->second, aNow);
  const bool hasTokens = it->second.available > it->second.waiting;
  return hasTokens ? Duration::zero() : it->second.pacedUntil - aNow;
}

std::optional<TimePoint> TokenCache::nextWake() const
{
  return mWakeTimes.empty() ? std::nullopt : std::make_optional(mWakeTimes.begin()->first);
}

double TokenCache::demandPerSecond(TimePoint aNow, const std::string& aAccount) const
{
  const auto it = mAccounts.find(aAccount);
  return it == mAccounts.end() ? 0 : demandOf(it->second, aNow);
}

TokenCache::Account* TokenCache::accountOf(TimePoint aNow, const std::string& aName)
{
  const auto it = mAccounts.find(aName);
  if (it != mAccounts.end()) {
    return &it->second;
  }
  if (mAccounts.size() >= mConfig.maxAccounts && !makeRoom(aNow)) {
    return nullptr;
  }
  Account& account = mAccounts[aName];
  account.lastUse = aNow;
  account.demandAt = aNow;
  return &account;
}

bool TokenCache::makeRoom(TimePoint aNow)
{
  for (auto it = mAccounts.begin(); it != mAccounts.end(); ++it) {
    const Account& account = it->second;
    if (account.waiting == 0 && account.available == 0 && aNow - account.lastUse >= kIdleTime) {
      if (account.wakeAt) {
        mWakeTimes.erase({ *account.wakeAt, it->first });
      }
      mAccounts.erase(it);
      return true;
    }
  }
  return false;
}

double TokenCache::demandOf(const Account& aAccount, TimePoint aNow) const
{
  return aAccount.demand * std::exp(-toSeconds(aNow - aAccount.demandAt) / kDemandSeconds);
}

void TokenCache::returnDueTokens(Account& aAccount, TimePoint aNow)
{
  while (!aAccount.grants.empty() && aAccount.grants.front().returnAt <= aNow) {
    Grant& grant = aAccount.grants.front();
    countUse(aAccount, grant, grant.count, false);
    aAccount.available -= grant.count;
    aAccount.grants.pop_front();
  }
}

// Counts tokens as spent or returned, if they come from the bucket that gets the reports.
void TokenCache::countUse(Account& aAccount, const Grant& aGrant, std::uint32_t aCount,
                          bool aWasSpent)
{
  if (aGrant.bucket != aAccount.bucket) {
    return;
  }
  (aWasSpent ? aAccount.spent : aAccount.returned) += aCount;
  aAccount.hasReturns = aAccount.hasReturns || !aWasSpent;
}

std::uint32_t TokenCache::wanted(const Account& aAccount, TimePoint aNow) const
{
  const Duration lookAhead = aAccount.pace + mConfig.lookAhead;
  std::uint32_t ahead =
    aNow >= aAccount.aheadAfter ? tokensFor(demandOf(aAccount, aNow), lookAhead) : 0;
  // Rounds up, because a request that finds no token has to wait for the pace. Without demand, the
  // unused token would be returned and requested again without end.
  const double expected = demandOf(aAccount, aNow) * toSeconds(lookAhead);
  if (aAccount.pace > Duration::zero() && expected >= kMinExpected) {
    ++ahead;
  }
  const std::uint32_t target = std::min(aAccount.waiting + ahead, mConfig.maxWanted);
  return target - std::min(target, aAccount.available);
}

// Returns when the next token request must be sent, as far as known at aNow.
std::optional<TimePoint> TokenCache::sendAt(const Account& aAccount, TimePoint aNow) const
{
  if (aAccount.pending) {
    const Duration timeout = mConfig.replyTimeout * (1U << aAccount.timeouts);
    return aAccount.pending->sentAt + std::min<Duration>(timeout, mConfig.maxReplyTimeout);
  }
  std::optional<TimePoint> at;
  const auto earliest = [&at](TimePoint aTime) { at = at ? std::min(*at, aTime) : aTime; };
  if (aAccount.reportAt) {
    earliest(*aAccount.reportAt);
  }
  if (aAccount.hasReturns) {
    earliest(std::max(aNow, aAccount.notBefore));
  }
  if (aAccount.waiting > aAccount.available + aAccount.promised) {
    earliest(std::max(aNow, aAccount.notBefore));
  } else if (aAccount.waiting > aAccount.available) {
    earliest(std::max(aNow, aAccount.promisedAfter));
  }
  const double demand = demandOf(aAccount, aNow);
  const bool isLow = aAccount.available < aAccount.waiting + tokensFor(demand, mConfig.lowWater);
  if (isLow && tokensFor(demand, mConfig.lookAhead) > 0) {
    earliest(std::max(aNow, aAccount.aheadAfter));
  }
  return at ? std::make_optional(std::max(*at, aAccount.pacedUntil)) : at;
}

wire::TokenRequest TokenCache::makeRequest(const std::string& aName, Account& aAccount,
                                           TimePoint aNow, std::uint64_t aMark)
{
  wire::TokenRequest out;
  out.account = aName;
  out.drawer = mDrawer;
  out.sequence = ++mSequence;
  out.wanted = wanted(aAccount, aNow);
  out.waiting = aAccount.waiting - std::min(aAccount.waiting, aAccount.available);
  out.spent = aAccount.spent;
  out.returned = aAccount.returned;
  out.bucket = aAccount.bucket;
  out.accepted = aAccount.accepted;
  aAccount.pending = PendingRequest{ out.sequence, aMark, aNow, out.spent, out.returned };
  aAccount.reportAt.reset();
  aAccount.hasReturns = false;
  return out;
}

void TokenCache::addGrant(Account& aAccount, const wire::TokenReply& aReply, TimePoint aSentAt)
{
  if (aReply.granted == 0) {
    return;
  }
  const Duration lifetime = std::min<Duration>(aReply.lifetime, kMaxTokenLifetime);
  Grant grant;
  grant.count = aReply.granted;
  grant.bucket = aReply.bucket;
  grant.expiresAt = aSentAt + lifetime;
  grant.returnAt = aSentAt + fromSeconds(toSeconds(lifetime) * kReturnShare);
  // A home whose lease is about to expire grants shorter lifetimes. The lifetimes of older tokens
  // are then shortened too, so that tokens leave in the order of the grants.
  for (auto& it : aAccount.grants) {
    it.expiresAt = std::min(it.expiresAt, grant.expiresAt);
    it.returnAt = std::min(it.returnAt, grant.returnAt);
  }
  aAccount.grants.push_back(grant);
  aAccount.available += grant.count;
}

void TokenCache::schedule(const std::string& aName, Account& aAccount, TimePoint aNow)
{
  std::optional<TimePoint> at = sendAt(aAccount, aNow);
  if (!aAccount.grants.empty()) {
    const TimePoint returnAt = aAccount.grants.front().returnAt;
    at = at ? std::min(*at, returnAt) : returnAt;
  }
  if (at == aAccount.wakeAt) {
    return;
  }
  if (aAccount.wakeAt) {
    mWakeTimes.erase({ *aAccount.wakeAt, aName });
  }
  if (at) {
    mWakeTimes.emplace(*at, aName);
  }
  aAccount.wakeAt = at;
}

} // namespace camphorcleat::traffic
