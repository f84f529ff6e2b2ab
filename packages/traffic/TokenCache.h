// The rate tokens that this daemon holds for each account, and when to draw more.
//
// Tokens are drawn ahead of demand, so that most requests find one here, and given back when they
// stay unused, so that other daemons can have them. At most one draw per account is under way. A
// draw without an answer is given up after a while, and its late answer is discarded; the next
// request tells the home so (field `accepted`).
//
// The home matches reports to grants in the order of the grants. So tokens leave in that order,
// whether spent, returned or expired.

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
    std::uint32_t maxWanted = 10'000;   ///< Most tokens of one draw.
    Millis lookAhead{ 100 };            ///< Tokens for the demand of this time are held.
    Millis lowWater{ 30 };              ///< Below the demand of this time, a draw is due.
    Millis answerTimeout{ 100 };        ///< A draw without an answer is given up.
    Millis refusedInterval{ 10 };       ///< Least time between draws above the rate.
    Millis unreachableInterval{ 20 };   ///< Least time between draws while there is no home.
    Millis lateReportInterval{ 1'000 }; ///< Time between mere reports while there is no home.
  };

  /// What an answer means for the requests that wait for tokens.
  struct Reply
  {
    bool isAccepted = false;   ///< False: not the answer awaited, or the home is elsewhere.
    std::uint64_t mark = 0;    ///< What the caller of due() gave with the draw.
    std::uint32_t covered = 0; ///< Waiting requests that are within the rate, oldest first.
    bool isOverRate = false;   ///< The others that waited at the draw are above the rate.
    Micros retryAfter{ 0 };
  };

  /// aDrawer is this daemon's incarnation, which keeps its draws apart from those of an earlier
  /// run.
  explicit TokenCache(Incarnation aDrawer)
    : TokenCache(aDrawer, Config())
  {
  }
  TokenCache(Incarnation aDrawer, const Config& aConfig)
    : mDrawer(aDrawer)
    , mConfig(aConfig)
  {
  }

  /// Counts one arrival for the demand estimate. False if there are too many accounts in use.
  bool recordArrival(TimePoint aNow, const std::string& aAccount);

  /// Sets how many requests of the account wait, with or without a token.
  void setWaiting(TimePoint aNow, const std::string& aAccount, std::size_t aWaiting);

  /// Tokens that can be spent at aNow.
  std::uint32_t available(TimePoint aNow, const std::string& aAccount);

  /// Spends one token; false if there is none. Call it right before the dispatch.
  bool spend(TimePoint aNow, const std::string& aAccount);

  /// Draws and reports that are due. The caller sends them to the accounts' homes at once. aMark
  /// comes back in the Reply, so that the caller knows what had arrived before the draw.
  std::vector<wire::TokenRequest> due(TimePoint aNow, std::uint64_t aMark = 0);

  /// Takes an answer. aSentAt is when the draw was handed to the network or earlier.
  Reply accept(TimePoint aNow, const wire::TokenAnswer& aAnswer, TimePoint aSentAt);

  /// The draw under way can't be answered. The next one follows after a pause.
  void unreachable(TimePoint aNow, const std::string& aAccount);

  /// When due() may next have something to send, or a token expires.
  std::optional<TimePoint> nextWake() const;

  /// Estimated arrivals per second.
  double demandPerSecond(TimePoint aNow, const std::string& aAccount) const;

private:
  struct Grant
  {
    std::uint32_t count = 0;
    std::uint64_t bucket = 0;
    TimePoint returnAt;
    TimePoint expiresAt;
  };
  struct Draw
  {
    std::uint64_t sequence = 0;
    std::uint64_t mark = 0;
    TimePoint sentAt;
    std::uint32_t spent = 0;
    std::uint32_t returned = 0;
  };
  struct Account
  {
    std::deque<Grant>
      grants; // Bounded: a draw is due only while few tokens are left, one at a time.
    std::uint32_t available = 0;
    std::uint32_t waiting = 0;
    std::uint32_t promised = 0;
    std::uint32_t spent = 0; // Since the request that mAccepted answers.
    std::uint32_t returned = 0;
    std::uint64_t bucket = 0;
    std::uint64_t accepted = 0;
    std::optional<Draw> draw;
    bool wasRefused = false;
    TimePoint notBefore;     // Draws for requests that hold no promise.
    TimePoint promisedAfter; // Draws for requests that hold a promise.
    TimePoint aheadAfter;    // Draws ahead of demand.
    std::optional<TimePoint> reportAt;
    bool hasReturns = false; // Returned tokens not reported yet.
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
  void addGrant(Account& aAccount, const wire::TokenAnswer& aAnswer, TimePoint aSentAt);
  void schedule(const std::string& aName, Account& aAccount, TimePoint aNow);

  Incarnation mDrawer;
  Config mConfig;
  std::uint64_t mSequence = 0; // Over all accounts, so that it grows even if one is forgotten.
  Accounts mAccounts;
  std::set<std::pair<TimePoint, std::string>> mWakeTimes;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_TOKENCACHE_H_
