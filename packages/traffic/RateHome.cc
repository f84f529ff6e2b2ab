// Assigns token requests to buckets.

#include "traffic/RateHome.h"

#include <algorithm>
#include <cmath>

#include "traffic/TokenTimes.h"

namespace camphorcleat::traffic {

namespace {

// Pacing ends below this share of the limit, so that it doesn't end and start again in turn.
constexpr double kPacingEnds = 0.5;
constexpr double kLoadSeconds = 0.5; // Time constant of the number of token requests per second.
constexpr Millis kMinPace{ 20 };
constexpr Millis kMaxPace{ 500 };
// A paced drawer returns unused tokens after 60 % of their lifetime, which must not be before its
// next token request.
constexpr int kLifetimePerPace = 2;

// A bucket that was not used for this time has no valid tokens and may be evicted for another
// account.
constexpr Millis kIdleTime{ 10'000 };

wire::TokenReply emptyReply(const wire::TokenRequest& aRequest, ErrorCode aCode)
{
  wire::TokenReply out;
  out.account = aRequest.account;
  out.sequence = aRequest.sequence;
  out.code = aCode;
  out.retryAfter = Millis(10);
  return out;
}

} // namespace

wire::TokenReply RateHome::handle(TimePoint aNow, const wire::TokenRequest& aRequest,
                                  double aRequestsPerSecond, double aBurstRequests,
                                  TimePoint aHomeLeaseValidUntil, HomeStart aStart)
{
  mRequestsPerSecond = requestsPerSecond(aNow) + 1 / kLoadSeconds;
  mRequestAt = aNow;
  const Duration leaseLeft = aHomeLeaseValidUntil - aNow;
  if (leaseLeft <= Duration::zero()) {
    return emptyReply(aRequest, ErrorCode::NotOwner);
  }
  auto it = mBuckets.find(aRequest.account);
  if (it == mBuckets.end()) {
    if (!makeRoom(aNow)) {
      return emptyReply(aRequest, ErrorCode::None);
    }
    it = mBuckets
           .try_emplace(aRequest.account, newIncarnation(mRandom), aNow,
                        RateBucket::Rate{ aRequestsPerSecond, aBurstRequests }, aStart)
           .first;
  }
  it->second.advance(aNow);
  it->second.setRate({ aRequestsPerSecond, aBurstRequests });
  const Duration pace = paceOf(aNow, it->second.lastSeen(aRequest.drawer));
  const Duration wanted =
    std::clamp<Duration>(kLifetimePerPace * pace, kTokenLifetime, kMaxTokenLifetime);
  const Duration lifetime = std::min(wanted, leaseLeft);
  mTokensValidUntil = std::max(mTokensValidUntil, aNow + lifetime);
  return it->second.handle(aNow, aRequest, lifetime, pace);
}

double RateHome::requestsPerSecond(TimePoint aNow) const
{
  return mRequestsPerSecond * std::exp(-toSeconds(aNow - mRequestAt) / kLoadSeconds);
}

// Returns the interval that reduces the token requests to what is allowed, if all drawers extend
// theirs by the same factor.
Duration RateHome::paceOf(TimePoint aNow, std::optional<TimePoint> aLastSeen) const
{
  const double excess = mRequestsPerSecond / mPacedRequestsPerSecond;
  if (!aLastSeen || excess < kPacingEnds) {
    return Duration::zero();
  }
  const Duration pace =
    std::min<Duration>(fromSeconds(toSeconds(aNow - *aLastSeen) * excess), kMaxPace);
  return pace < kMinPace ? Duration::zero() : pace;
}

std::optional<BucketRecord> RateHome::exportAccount(TimePoint aNow, const std::string& aAccount)
{
  const auto it = mBuckets.find(aAccount);
  if (it == mBuckets.end()) {
    return std::nullopt;
  }
  it->second.advance(aNow);
  BucketRecord out = it->second.record();
  out.account = aAccount;
  mBuckets.erase(it);
  return out;
}

void RateHome::importAccount(TimePoint aNow, const BucketRecord& aRecord)
{
  if (mBuckets.count(aRecord.account) == 0 && !makeRoom(aNow)) {
    return; // The account then gets an empty bucket, which never allows too many requests.
  }
  mBuckets.erase(aRecord.account);
  mBuckets.try_emplace(aRecord.account, newIncarnation(mRandom), aNow, aRecord);
}

double RateHome::levelAndParked(TimePoint aNow, const std::string& aAccount)
{
  const auto it = mBuckets.find(aAccount);
  if (it == mBuckets.end()) {
    return 0;
  }
  it->second.advance(aNow);
  return it->second.level() + it->second.parked();
}

bool RateHome::makeRoom(TimePoint aNow)
{
  if (mBuckets.size() < kMaxAccounts) {
    return true;
  }
  const auto oldest =
    std::min_element(mBuckets.begin(), mBuckets.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.lastUse() < aRight.second.lastUse();
    });
  if (aNow - oldest->second.lastUse() < kIdleTime) {
    return false;
  }
  mBuckets.erase(oldest);
  return true;
}

} // namespace camphorcleat::traffic
