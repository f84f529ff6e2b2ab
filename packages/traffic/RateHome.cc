// Assigns token requests to buckets.

#include "traffic/RateHome.h"

#include <algorithm>

#include "traffic/TokenTimes.h"

namespace camphorcleat::traffic {

namespace {

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
  const Duration lifetime = std::min<Duration>(kTokenLifetime, aHomeLeaseValidUntil - aNow);
  if (lifetime <= Duration::zero()) {
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
  return it->second.handle(aNow, aRequest, lifetime);
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
