// Rate tokens that this daemon holds for each account, and the timing of requests for more. They
// are granted by the account's home, the daemon that has the account's token bucket (RateHome.h).
//
// Tokens are requested ahead of demand, so that most requests find one in the cache. Unused
// tokens are returned, so that other daemons can use them. At most one token request per account is
// in progress. A request without a reply is abandoned after a timeout, and its late reply is
// discarded; the next request reports this to the home (field `accepted`).
//
// The home matches reports to grants in the order of the grants. Tokens therefore leave the cache
// in that order, whether spent, returned or expired.

#ifndef CAMPHORCLEAT_TRAFFIC_TOKENCACHE_H_
#define CAMPHORCLEAT_TRAFFIC_TOKENCACHE_H_

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::traffic {

/// Not thread-safe. Times must not decrease between calls.
class TokenCache
{
public:
  struct Config
  {
    std::size_t maxAccounts = 4096;
    std::uint32_t maxWanted = 10'000; ///< Maximum number of tokens in one request.
    /// The cache is filled for the expected demand of this time.
    Millis lookAhead{ 100 };
    /// A token request is due if the cache does not cover the expected demand of this time.
    Millis lowWater{ 30 };
    /// A token request without a reply is abandoned after this time.
    Millis replyTimeout{ 100 };
    /// Each timeout doubles the next one, up to this, until a reply is accepted.
    Millis maxReplyTimeout{ 800 };
    Millis refusedInterval{ 10 }; ///< Minimum time between token requests above the rate.
    /// Minimum time between token requests while there is no home.
    Millis unreachableInterval{ 20 };
    /// While there is no home, time between requests that only report spent and returned tokens.
    Millis lateReportInterval{ 1'000 };
  };

  /// What a reply means for the requests that wait for tokens.
  struct AcceptResult
  {
    /// False if the reply does not belong to the token request in progress, or if the replying
    /// daemon has no bucket for the account. The other members are not set then.
    bool isAccepted = false;
    std::uint64_t mark = 0; ///< The value that was passed to due() with the token request.
    /// Number of waiting requests, oldest first, that have a token or are promised one.
    std::uint32_t coveredCount = 0;
    /// The account is above its rate. The requests beyond `coveredCount` that arrived before the
    /// token request must be refused.
    bool isOverRate = false;
    Micros retryAfter{ 0 }; ///< Time after which the refused requests may be sent again.
  };

  /// aDrawer is this daemon's incarnation, which distinguishes its token requests from those of an
  /// earlier process.
  explicit TokenCache(Incarnation aDrawer)
    : TokenCache(aDrawer, Config())
  {
  }
  TokenCache(Incarnation aDrawer, const Config& aConfig)
    : mDrawer(aDrawer)
    , mConfig(aConfig)
  {
  }

  /// Records one arrival for the demand estimate. Returns false if too many accounts are in use.
  bool recordArrival(TimePoint aNow, const std::string& aAccount);

  /// Sets how many requests of the account are waiting, with or without a token.
  void setWaiting(TimePoint aNow, const std::string& aAccount, std::size_t aWaiting);

  /// Returns the number of tokens that can be spent at aNow.
  std::uint32_t available(TimePoint aNow, const std::string& aAccount);

  /// Spends one token. Returns false if there is none. Call it right before the dispatch.
  bool spend(TimePoint aNow, const std::string& aAccount);

  /// Returns the token requests and reports that are due. The caller must send them to the homes of
  /// the accounts at once. aMark is returned in the AcceptResult, so that the caller knows which
  /// requests had arrived before the token request.
  std::vector<wire::TokenRequest> due(TimePoint aNow, std::uint64_t aMark = 0);

  /// Processes the reply to a token request. aSentAt is when the request was passed to the network,
  /// or earlier.
  AcceptResult accept(TimePoint aNow, const wire::TokenReply& aReply, TimePoint aSentAt);

  /// Ends the token request in progress, because its destination is unreachable or is not the home
  /// of the account. The next one follows after Config::unreachableInterval.
  void failPendingRequest(TimePoint aNow, const std::string& aAccount);

  /// Returns when due() may next have something to send or a token expires, whichever is first.
  std::optional<TimePoint> nextWake() const;

  /// Returns the time until tokens are requested again, if the account is above its rate, has no
  /// tokens and its home paces token requests; otherwise zero. Requests need not wait for a
  /// refusal.
  Duration refusedFor(TimePoint aNow, const std::string& aAccount);

  /// Returns the estimated arrivals per second.
  double demandPerSecond(TimePoint aNow, const std::string& aAccount) const;

private:
  struct Grant
  {
    std::uint32_t count = 0;
    std::uint64_t bucket = 0;
    TimePoint returnAt;
    TimePoint expiresAt;
  };
  struct PendingRequest
  {
    std::uint64_t sequence = 0;
    std::uint64_t mark = 0;
    TimePoint sentAt;
    std::uint32_t spent = 0;
    std::uint32_t returned = 0;
  };
  struct Account
  {
    // Bounded, since tokens are requested only while few are left, and one request at a time.
    std::deque<Grant> grants;
    std::uint32_t available = 0;
    std::uint32_t waiting = 0;
    std::uint32_t promised = 0; // Waiting requests that the home has promised a token.
    std::uint32_t spent = 0;    // Since the request with sequence number `accepted`.
    std::uint32_t returned = 0;
    std::uint64_t bucket = 0;   // Bucket number in the last accepted reply, or 0.
    std::uint64_t accepted = 0; // Sequence number of the last request whose reply was accepted.
    std::optional<PendingRequest> pending;
    bool wasRefused = false;
    TimePoint pacedUntil;    // Earliest token request of any kind.
    Duration pace{ 0 };      // Interval between token requests that the home asks for.
    unsigned timeouts = 0;   // Token requests without a reply since the last accepted one.
    TimePoint notBefore;     // Earliest token request for waiting requests without a promise.
    TimePoint promisedAfter; // Earliest token request for waiting requests with a promise.
    TimePoint aheadAfter;    // Earliest token request ahead of demand.
    std::optional<TimePoint> reportAt;
    bool hasReturns = false; // Whether returned tokens were not reported yet.
    Micros reportWithin{ 0 };
    double demand = 0; // Arrivals per second as of demandAt.
    TimePoint demandAt;
    TimePoint lastUse;
    std::optional<TimePoint> wakeAt;
  };
  using Accounts = std::unordered_map<std::string, Account>;

  Account* accountOf(TimePoint aNow, const std::string& aName);
  bool makeRoom(TimePoint aNow);
  double demandOf(const Account& aAccount, TimePoint aNow) const;
  void returnDueTokens(Account& aAccount, TimePoint aNow);
  void countUse(Account& aAccount, const Grant& aGrant, std::uint32_t aCount, bool aWasSpent);
  std::uint32_t wanted(const Account& aAccount, TimePoint aNow) const;
  std::optional<TimePoint> sendAt(const Account& aAccount, TimePoint aNow) const;
  wire::TokenRequest makeRequest(const std::string& aName, Account& aAccount, TimePoint aNow,
                                 std::uint64_t aMark);
  void addGrant(Account& aAccount, const wire::TokenReply& aReply, TimePoint aSentAt);
  void schedule(const std::string& aName, Account& aAccount, TimePoint aNow);

  Incarnation mDrawer;
  Config mConfig;
  // Shared by all accounts, so that it keeps growing when an account is evicted and added again.
  std::uint64_t mSequence = 0;
  Accounts mAccounts;
  std::set<std::pair<TimePoint, std::string>> mWakeTimes;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_TOKENCACHE_H_
