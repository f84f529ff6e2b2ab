// State machine of one request at the entry daemon: routing, attempts, retries, hedging and
// completion.
//
// Safety depends on one flag, mMayHaveRun: once an attempt may have run, the request never ends as
// "not run", and a request that must not run twice gets no further attempt.

#ifndef CAMPHORCLEAT_TRAFFIC_ENTRYREQUEST_H_
#define CAMPHORCLEAT_TRAFFIC_ENTRYREQUEST_H_

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "traffic/Backoff.h"
#include "traffic/EntryMessages.h"
#include "traffic/HedgePolicy.h"
#include "traffic/RetryBudget.h"

namespace camphorcleat::traffic {

/// State shared by all requests of an entry daemon. Must outlive them.
struct EntryShared
{
  RetryBudget& retryBudget;
  HedgePolicy& hedgePolicy;
  std::mt19937_64& random;
};

/// Not thread-safe. Times must not decrease between calls.
class EntryRequest
{
public:
  /// Maximum number of attempts of one request, regardless of its deadline.
  static constexpr std::uint32_t kMaxAttempts = 1000;
  /// After the deadline, the entry waits this long for the owner's result. An owner that still has
  /// the request in its queue refuses it at the deadline, so the entry can report it as not run.
  static constexpr Millis kOwnerResultGrace{ 100 };

  explicit EntryRequest(const EntryShared& aShared);

  /// Handles one event and returns the resulting actions, which the caller must carry out in order.
  /// The first event must be Started, which is sent only once.
  std::vector<EntryAction> step(TimePoint aNow, const EntryEvent& aEvent);

  /// Returns whether the request has ended; further events are then ignored. If a response is being
  /// forwarded, the request ends with its AttemptDone or AttemptFailed.
  bool isFinished() const { return mIsFinished; }

private:
  // Purpose of the route look-up in progress.
  enum class LookUp
  {
    None,
    ForAttempt,
    ForHedge
  };
  struct Attempt
  {
    NodeId node = kNoNode;
    TimePoint startedAt;
    FencingToken token = 0;
  };
  // A refusal by a node that doesn't own the key, or can't serve it yet.
  struct Refusal
  {
    NodeId node = kNoNode;
    FencingToken token = 0; // Of the grant in the entry's view.
    Revision revision = 0;  // Of the refusing node's view.
    TimePoint at;
  };

  void on(TimePoint aNow, const Started& aEvent);
  void on(TimePoint aNow, const RouteKnown& aEvent);
  void on(TimePoint aNow, const RouteUnknown& aEvent);
  void on(TimePoint aNow, const AttemptFailed& aEvent);
  void on(TimePoint aNow, const AttemptHead& aEvent);
  void on(TimePoint aNow, const AttemptDone& aEvent);
  void on(TimePoint aNow, const ViewChanged& aEvent);
  void on(TimePoint aNow, const TimerFired& aEvent);
  void on(TimePoint aNow, const WithdrawalDue& aEvent);
  void on(TimePoint aNow, const CallerDisconnected& aEvent);

  void lookUpRoute(LookUp aPurpose);
  void handleFailure(TimePoint aNow, const AttemptFailed& aFailure);
  bool planRetry(TimePoint aNow, const AttemptFailed& aFailure);
  bool mustWait(const RouteKnown& aRoute);
  void forwardResponse(TimePoint aNow, std::uint32_t aAttempt);
  void withdraw();
  void failAtDeadline();
  void fail(const AttemptFailed& aFailure);
  // Cancels all attempts except aAttempt; 0 cancels all, since attempts are numbered from 1.
  void cancelAllBut(std::uint32_t aAttempt);
  bool mayRepeat() const { return mStarted.isIdempotent || mStarted.hasIdempotencyKey; }
  bool mayHedge() const
  {
    return mStarted.mayHedge && HedgePolicy::mayHedge(mStarted.isKeyed, mStarted.isIdempotent);
  }
  void setTimer();

  EntryShared mShared;
  Backoff mBudgetedBackoff;
  Backoff mOwnerChangeBackoff;
  TimePoint mNow; // Time of the current step.
  Started mStarted;
  bool mIsStarted = false;
  bool mIsFinished = false;
  bool mIsWithdrawn = false; // No further attempt starts.
  bool mMayHaveRun = false;
  std::uint32_t mPossibleRuns = 0; // Number of failed attempts that may have run.
  bool mIsRouteWrong = false;
  LookUp mLookUp = LookUp::None;
  std::map<std::uint32_t, Attempt> mAttempts; // At most two: the first attempt and a hedge.
  std::uint32_t mAttemptCount = 0;
  std::vector<NodeId> mExclude;            // Nodes that failed an attempt of this unkeyed request.
  std::optional<std::uint32_t> mForwarded; // The attempt whose response is being forwarded.
  std::optional<TimePoint> mFirstStartedAt;
  std::optional<TimePoint> mRetryAt;
  std::optional<Refusal> mRefusal;     // Of the last attempt.
  bool mIsAwaitingView = false;        // ViewChanged follows.
  std::optional<TimePoint> mViewUntil; // Until then, no attempt starts before the view changes.
  std::optional<TimePoint> mHedgeAt;
  std::optional<TimePoint> mTimer;
  std::optional<AttemptFailed> mLastFailure;
  std::vector<EntryAction> mActions;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_ENTRYREQUEST_H_
