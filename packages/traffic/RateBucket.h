// Token bucket of one account at its home, with the grants to each daemon that requests tokens
// from it (a drawer).
//
// RateHome.h describes the invariant and why it is preserved.

#ifndef CAMPHORCLEAT_TRAFFIC_RATEBUCKET_H_
#define CAMPHORCLEAT_TRAFFIC_RATEBUCKET_H_

#include <deque>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>

#include "base/Codec.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::traffic {

/// Initial state of a bucket at a home that has no bucket for the account yet.
enum class HomeStart
{
  /// The lease of the previous home has expired, and with it all tokens that it granted.
  AfterLoss,
  /// No other home has granted tokens for the time of a full refill.
  Full,
  /// Tokens of the previous home may still be valid, so a full burst is considered parked.
  AfterPlannedHandover,
};

/// The state of a bucket, as transferred to the next home.
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

  /// Maximum number of drawers of one account. The design has at most 470 nodes, but a restarted
  /// daemon counts as a new drawer.
  static constexpr std::size_t kMaxDrawers = 1024;
  /// Maximum number of unreported grants of one drawer. A drawer that reports regularly has only a
  /// few.
  static constexpr std::size_t kMaxGrants = 64;

  /// Creates a bucket at level 0, or at the burst for HomeStart::Full. aNumber is random and not 0;
  /// drawers return it with their reports, so that reports about another bucket are recognized.
  RateBucket(std::uint64_t aNumber, TimePoint aNow, Rate aRate, HomeStart aStart);

  /// Creates a bucket from the record of a previous home.
  RateBucket(std::uint64_t aNumber, TimePoint aNow, const BucketRecord& aRecord);

  /// Refills the bucket and expires grants up to aNow. Times must not decrease between calls.
  void advance(TimePoint aNow);

  /// Sets the rate from now on. advance() must be called first. Tokens above a smaller burst are
  /// dropped.
  void setRate(Rate aRate);

  /// Handles one token request at aNow. advance() must be called first. aLifetime > 0, at most
  /// kMaxTokenLifetime. aPace is the time to the drawer's next token request, or 0.
  wire::TokenReply handle(TimePoint aNow, const wire::TokenRequest& aRequest, Duration aLifetime,
                          Duration aPace = Duration::zero());

  /// Returns when the drawer last sent a token request, or nothing if it isn't known.
  std::optional<TimePoint> lastSeen(Incarnation aDrawer) const;

  double level() const { return mLevel; }
  std::uint32_t parked() const { return mParked; }
  TimePoint lastUse() const { return mLastUse; }
  BucketRecord record() const;

private:
  struct Grant
  {
    std::uint64_t sequence = 0;
    std::uint32_t count = 0;   // Tokens not reported yet.
    std::uint32_t charged = 0; // Tokens of these that are already charged to mIdealLevel.
    bool isExpired = false;
    // The drawer will not report these tokens, because it has got tokens from another home since.
    bool isNeverReported = false;
  };
  struct Drawer
  {
    std::uint64_t accepted = 0;     // Last request whose reply the drawer accepted.
    std::uint32_t countedSpent = 0; // Reported since `accepted` and already applied.
    std::uint32_t countedReturned = 0;
    std::uint32_t promised = 0; // Waiting requests that were promised a token.
    std::deque<Grant> grants;
    wire::TokenReply lastReply; // Its sequence number is that of the last handled request.
    TimePoint lastSeen;
  };
  struct Expiry
  {
    TimePoint at;
    Incarnation drawer = 0;
    std::uint64_t sequence = 0;
    std::uint32_t inherited = 0; // Parked tokens of a previous home, which have no grant here.
  };

  Drawer* drawerOf(TimePoint aNow, Incarnation aDrawer);
  void applyReports(Drawer& aDrawer, const wire::TokenRequest& aRequest);
  void discardUnaccepted(Drawer& aDrawer, std::uint64_t aAccepted);
  void consume(Drawer& aDrawer, std::uint32_t aCount, bool aWasSpent);
  void settleIdealLevel(Grant& aGrant, std::uint32_t aCount, bool aWasSpent);
  void addToIdealLevel(double aTokens);
  void grant(TimePoint aNow, Drawer& aDrawer, const wire::TokenRequest& aRequest,
             wire::TokenReply& aReply);
  void promise(TimePoint aNow, Drawer& aDrawer, const wire::TokenRequest& aRequest,
               wire::TokenReply& aReply);
  void addExpiry(const Expiry& aExpiry);
  void dropStalePromises(TimePoint aNow);
  void expireOne(const Expiry& aExpiry);
  void refill(TimePoint aNow);
  void addToLevel(double aTokens);
  Duration untilNext() const;

  std::uint64_t mNumber;
  Rate mRate;
  double mLevel = 0;      // Tokens that can be granted now.
  double mIdealLevel = 0; // Level if reports arrived without delay; see RateHome.h.
  double mBacklog = 0; // Requests from the time without a home that may still be promised a token.
  TimePoint mBacklogUntil;
  std::uint32_t mParked = 0;   // Granted tokens that may still be spent.
  std::uint32_t mPromised = 0; // Sum over all drawers.
  TimePoint mUpdatedAt;
  TimePoint mLastUse;
  std::deque<Expiry> mExpiries; // In order of time.
  std::unordered_map<Incarnation, Drawer> mDrawers;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_RATEBUCKET_H_
