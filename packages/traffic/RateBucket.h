// The token bucket of one account at its home, with the grants of each drawer.
//
// See RateHome.h for the invariant and why it holds.

#ifndef CAMPHORCLEAT_TRAFFIC_RATEBUCKET_H_
#define CAMPHORCLEAT_TRAFFIC_RATEBUCKET_H_

#include <deque>
#include <string>
#include <tuple>
#include <unordered_map>

#include "base/Codec.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::traffic {

/// How a home begins to serve an account that it has no bucket for.
enum class HomeStart
{
  AfterLoss,        ///< The previous home's lease has ended, and with it all of its tokens.
  Full,             ///< No other home has granted tokens for as long as a refill takes.
  AfterPlannedMove, ///< Tokens of the previous home may be alive; a full burst counts as parked.
};

/// A bucket on its way to the next home.
struct BucketRecord
{
  static constexpr const char* kName = "bucket_record";
  std::string account;
  double level = 0;
  std::uint32_t parked = 0;
  double requestsPerSecond = 0;
  double burstRequests = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(field("account", &BucketRecord::account),
                           field("level", &BucketRecord::level),
                           field("parked", &BucketRecord::parked),
                           field("requests_per_second", &BucketRecord::requestsPerSecond),
                           field("burst_requests", &BucketRecord::burstRequests));
  }
};

/// Not thread-safe.
class RateBucket
{
public:
  struct Rate
  {
    double requestsPerSecond = 0;
    double burstRequests = 0;
  };

  /// More drawers than the design's 470 nodes, with room for restarted ones.
  static constexpr std::size_t kMaxDrawers = 1024;
  /// Unreported grants of one drawer. A drawer that reports has a handful.
  static constexpr std::size_t kMaxGrants = 64;

  /// A bucket at level 0, or at the burst for HomeStart::Full. aNumber is random and not 0.
  RateBucket(std::uint64_t aNumber, TimePoint aNow, Rate aRate, HomeStart aStart);

  /// The bucket of a previous home.
  RateBucket(std::uint64_t aNumber, TimePoint aNow, const BucketRecord& aRecord);

  /// Refills and expires up to aNow. Times must not decrease between calls.
  void advance(TimePoint aNow);

  /// Sets the rate from now on. Call advance() first. Tokens above a smaller burst are dropped.
  void setRate(Rate aRate);

  /// Handles one draw at aNow. Call advance() first. aLifetime > 0.
  wire::TokenAnswer handle(TimePoint aNow, const wire::TokenRequest& aRequest, Duration aLifetime);

  double level() const { return mLevel; }
  std::uint32_t parked() const { return mParked; }
  TimePoint lastUse() const { return mLastUse; }
  BucketRecord record() const;

private:
  struct Grant
  {
    std::uint64_t sequence = 0;
    std::uint32_t count = 0;   // Not reported yet.
    std::uint32_t charged = 0; // Of these, the ones that the ideal level has paid for.
    bool isExpired = false;
    bool isUnreported = false; // Its fate will not be reported: the drawer had another home since.
  };
  struct Drawer
  {
    std::uint64_t accepted = 0;
    std::uint32_t countedSpent = 0; // Of the counts since `accepted`.
    std::uint32_t countedReturned = 0;
    std::uint32_t promised = 0;
    std::deque<Grant> grants;
    wire::TokenAnswer lastAnswer; // Its sequence is the last one handled.
    TimePoint lastSeen;
  };
  struct Expiry
  {
    TimePoint at;
    Incarnation drawer = 0;
    std::uint64_t sequence = 0;
    std::uint32_t phantom = 0; // Parked tokens of a previous home, without a grant here.
  };

  Drawer* drawerOf(TimePoint aNow, Incarnation aDrawer);
  void takeReports(Drawer& aDrawer, const wire::TokenRequest& aRequest);
  void discardUnaccepted(Drawer& aDrawer, std::uint64_t aAccepted);
  void consume(Drawer& aDrawer, std::uint32_t aCount, bool aWasSpent);
  void settleIdeal(Grant& aGrant, std::uint32_t aCount, bool aWasSpent);
  void creditIdeal(double aTokens);
  void grant(TimePoint aNow, Drawer& aDrawer, const wire::TokenRequest& aRequest,
             wire::TokenAnswer& aAnswer);
  void promise(TimePoint aNow, Drawer& aDrawer, const wire::TokenRequest& aRequest,
               wire::TokenAnswer& aAnswer);
  void dropStalePromises(TimePoint aNow);
  void expireOne(const Expiry& aExpiry);
  void refill(TimePoint aNow);
  void credit(double aTokens);
  Duration untilNext() const;

  std::uint64_t mNumber;
  Rate mRate;
  double mLevel = 0;
  double mIdeal = 0;
  double mBacklog = 0; // Requests of the time without a home that may still be promised a token.
  TimePoint mBacklogUntil;
  std::uint32_t mParked = 0;
  std::uint32_t mPromised = 0; // Sum over the drawers.
  TimePoint mUpdatedAt;
  TimePoint mLastUse;
  std::deque<Expiry> mExpiries; // All grants are held equally long, so in the order of time.
  std::unordered_map<Incarnation, Drawer> mDrawers;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_RATEBUCKET_H_
