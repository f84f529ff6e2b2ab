// Token buckets of the accounts whose home is this daemon. The home of an account is the daemon
// that grants its rate tokens to all daemons that need them.
//
// Invariant: level + parked <= burst, where the parked tokens are those that were granted and may
// still be spent or were not reported yet. The tokens that can be spent in [s, t] are those parked
// at s, those in the level at s, and those refilled since. So spends never exceed rate x (t - s) +
// burst.
//
// Reports contain the numbers of spent and returned tokens. They are matched to grants in the order
// of the grants, which is the order in which drawers use tokens. A grant that expired here keeps
// its position until it is reported, so that a late report cannot release a newer parked token that
// is still valid.
//
// Reports arrive later than spends, so the level can lag behind that of an ideal bucket, which
// would learn of spends without delay. The ideal level is therefore tracked separately, for one
// purpose: a waiting request that an ideal bucket would serve is promised a token instead of being
// refused. The ideal level is never used for grants.
//
// Each drawer asks when it needs tokens, so the number of token requests grows with that of the
// drawers. A home that gets more of them than it can handle replies late, its tokens expire unused
// and the account is hardly served. Beyond a number of token requests per second, the home
// therefore paces them: each drawer asks less often by the factor of the excess, and gets tokens
// for a longer time.

#ifndef CAMPHORCLEAT_TRAFFIC_RATEHOME_H_
#define CAMPHORCLEAT_TRAFFIC_RATEHOME_H_

#include <optional>
#include <random>
#include <string>
#include <unordered_map>

#include "traffic/RateBucket.h"

namespace camphorcleat::traffic {

/// Not thread-safe.
class RateHome
{
public:
  /// Maximum number of accounts at one home. A bucket with 470 drawers takes 100 KiB, so all
  /// buckets take at most 100 MiB.
  static constexpr std::size_t kMaxAccounts = 1024;

  /// Token requests per second that take about a third of a core.
  static constexpr double kRequestsPerSecondAndCore = 3'000;

  /// The bucket numbers are generated from aSeed, which must differ between processes. Token
  /// requests are paced beyond aPacedRequestsPerSecond.
  explicit RateHome(std::uint64_t aSeed, double aPacedRequestsPerSecond = kRequestsPerSecondAndCore)
    : mRandom(aSeed)
    , mPacedRequestsPerSecond(aPacedRequestsPerSecond)
  {
  }

  /// Handles one token request. aRequestsPerSecond >= 0 and aBurstRequests are the account's
  /// current rate and burst; a burst below 1 grants nothing. aHomeLeaseValidUntil is the end of
  /// this daemon's lease on its own clock. aStart is the initial state of the bucket if the account
  /// has none yet.
  ///
  /// A request with the same sequence number as the last one gets the same reply again; an older
  /// one gets a reply without tokens. The reply has code NotOwner if the lease has expired.
  wire::TokenReply handle(TimePoint aNow, const wire::TokenRequest& aRequest,
                          double aRequestsPerSecond, double aBurstRequests,
                          TimePoint aHomeLeaseValidUntil,
                          HomeStart aStart = HomeStart::AfterPlannedHandover);

  /// Erases the bucket of an account whose home is no longer this daemon. Must be called when the
  /// partition of the account is lost or released, since the bucket would be stale if the home
  /// returned.
  void erase(const std::string& aAccount) { mBuckets.erase(aAccount); }

  /// Erases all buckets. Must be called when the lease of this daemon has expired.
  void clear() { mBuckets.clear(); }

  /// Removes and returns the bucket of an account for its next home in a planned handover.
  std::optional<BucketRecord> exportAccount(TimePoint aNow, const std::string& aAccount);

  /// Adds the bucket of the previous home, which must not have granted tokens since the export.
  void importAccount(TimePoint aNow, const BucketRecord& aRecord);

  /// Returns level plus parked tokens of an account, for tests and metrics; 0 if it has no bucket.
  double levelAndParked(TimePoint aNow, const std::string& aAccount);

  std::size_t accountCount() const { return mBuckets.size(); }

  /// Returns the time by which all tokens granted so far have expired at their drawers, if their
  /// clocks run as fast.
  TimePoint tokensValidUntil() const { return mTokensValidUntil; }

  /// Returns the token requests per second, as a mean that decays within a second.
  double requestsPerSecond(TimePoint aNow) const;

private:
  bool makeRoom(TimePoint aNow);
  Duration paceOf(TimePoint aNow, std::optional<TimePoint> aLastSeen) const;

  std::mt19937_64 mRandom;
  double mPacedRequestsPerSecond;
  double mRequestsPerSecond = 0; // At mRequestAt.
  TimePoint mRequestAt;
  TimePoint mTokensValidUntil;
  std::unordered_map<std::string, RateBucket> mBuckets;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_RATEHOME_H_
