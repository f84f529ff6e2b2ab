// The life of one request at the entry daemon: route, attempts, retries, hedge, end.
//
// Safety rests on one flag: once an attempt may have run, the request never ends as "not run", and
// a request that must not run twice gets no further attempt.

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

/// What all requests of an entry daemon share. Must outlive them.
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
  /// Bounds the attempts of one request, whatever the deadline.
  static constexpr std::uint32_t kMaxAttempts = 1000;
  /// After the deadline, the owner's verdict is awaited for this time: a request that is refused in
  /// the owner's queue at the deadline is then reported as not run.
  static constexpr Millis kVerdictGrace{ 100 };

  explicit EntryRequest(const EntryShared& aShared);

  /// Handles one event; Started comes first and once. The caller carries out the actions in their
  /// order.
  std::vector<EntryAction> step(TimePoint aNow, const EntryEvent& aEvent);

  /// Whether the request has ended; further events are ignored. An answer in use ends with its
  /// AttemptDone or AttemptFailed.
  bool isFinished() const { return mIsFinished; }

private:
  enum class Route
  {
    None,
    ForAttempt,
    ForHedge
  };
  struct Attempt
  {
    NodeId node = kNoNode;
    TimePoint startedAt;
  };

  void on(TimePoint aNow, const Started& aEvent);
  void on(TimePoint aNow, const RouteKnown& aEvent);
  void on(TimePoint aNow, const RouteUnknown& aEvent);
  void on(TimePoint aNow, const AttemptFailed& aEvent);
  void on(TimePoint aNow, const AttemptHead& aEvent);
  void on(TimePoint aNow, const AttemptDone& aEvent);
  void on(TimePoint aNow, const TimerFired& aEvent);
  void on(TimePoint aNow, const CallerDisconnected& aEvent);

  void lookUpRoute(Route aRoute);
  void failed(TimePoint aNow, const AttemptFailed& aFailure);
  bool planRetry(TimePoint aNow, const AttemptFailed& aFailure);
  void forwardAnswer(TimePoint aNow, std::uint32_t aAttempt);
  void deadlinePassed();
  void fail(const AttemptFailed& aFailure);
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
  TimePoint mNow; // Of the present step.
  Started mStarted;
  bool mIsStarted = false;
  bool mIsFinished = false;
  bool mMayHaveRun = false;
  std::uint32_t mPossibleRuns = 0; // Failed attempts that may have run.
  bool mIsRouteWrong = false;
  Route mRoute = Route::None;
  std::map<std::uint32_t, Attempt> mAttempts; // At most two at a time: the first and a hedge.
  std::uint32_t mAttemptCount = 0;
  std::vector<NodeId> mExclude; // Nodes that refused, for unkeyed requests.
  std::optional<std::uint32_t> mForwarded;
  std::optional<TimePoint> mFirstStartedAt;
  std::optional<TimePoint> mRetryAt;
  std::optional<TimePoint> mHedgeAt;
  std::optional<TimePoint> mTimer;
  std::optional<AttemptFailed> mLastFailure;
  std::vector<EntryAction> mActions;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_ENTRYREQUEST_H_
