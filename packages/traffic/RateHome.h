// The rate buckets of the accounts that have their home at this daemon.
//
// Invariant: level + parked <= burst, where parked counts the granted tokens that may still be
// spent or whose fate is unknown. The tokens that can be spent in [s, t] are those parked at s,
// those in the level at s, and those refilled since; so spends never exceed rate x (t - s) + burst.
//
// Reports of spent and returned tokens are counts. They are matched to grants in the order of the
// grants, which is the order in which drawers use tokens. A grant that expired here stays in that
// order until it is reported, so that a late report can't un-park a newer token that is still
// alive.
//
// Reports arrive later than spends, so the level can lag behind an ideal bucket. The ideal level is
// tracked beside it, for one purpose: a waiting request that an ideal bucket would serve is
// promised a token instead of being refused. It never grants anything.

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
  /// Accounts with a bucket at one home. At 100 KiB for a bucket with 470 drawers, all 1,024 take
  /// 100 MiB at most.
  static constexpr std::size_t kMaxAccounts = 1024;

  /// The seed makes the bucket numbers; it must differ between processes.
  explicit RateHome(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  /// Handles one draw. requestsPerSecond >= 0 and burstRequests are those of the account now; a
  /// burst below 1 grants nothing. aHomeLeaseValidUntil is the end of this daemon's lease on its
  /// own clock. aStart says how this home began, for an account that it does not know yet.
  ///
  /// A request with the sequence number of the last one gets the same answer again; an older one
  /// gets an answer without tokens. Code NotOwner if the lease is over.
  wire::TokenAnswer handle(TimePoint aNow, const wire::TokenRequest& aRequest,
                           double aRequestsPerSecond, double aBurstRequests,
                           TimePoint aHomeLeaseValidUntil,
                           HomeStart aStart = HomeStart::AfterPlannedMove);

  /// Drops the bucket of an account whose home is no longer here. Call it when the partition of the
  /// account is lost or released; a bucket that is kept would be stale when the home returns.
  void erase(const std::string& aAccount) { mBuckets.erase(aAccount); }

  /// Drops all buckets, for a daemon whose lease has ended.
  void clear() { mBuckets.clear(); }

  /// Removes the bucket of an account and returns it for the next home of a planned move.
  std::optional<BucketRecord> exportAccount(TimePoint aNow, const std::string& aAccount);

  /// Takes over the bucket of the previous home, which must not have granted since the export.
  void importAccount(TimePoint aNow, const BucketRecord& aRecord);

  /// Level plus parked tokens of an account, for tests and metrics; 0 if unknown.
  double levelAndParked(TimePoint aNow, const std::string& aAccount);

  std::size_t accountCount() const { return mBuckets.size(); }

private:
  bool makeRoom(TimePoint aNow);

  std::mt19937_64 mRandom;
  std::unordered_map<std::string, RateBucket> mBuckets;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_RATEHOME_H_
