// State machine of the owner role: decides which request runs at the target, when, and which
// request is refused.
//
// The daemon of a target is the target's only sender, so it knows exactly how many requests are in
// flight. Each request passes these checks in order: lease and ownership, idempotency key, rate,
// fair queue, admission control. Lease, ownership and configuration are checked again right before
// the dispatch, since they may have changed while the request was queued. The rate token is spent
// at the dispatch.

#ifndef CAMPHORCLEAT_TRAFFIC_OWNERLOGIC_H_
#define CAMPHORCLEAT_TRAFFIC_OWNERLOGIC_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "traffic/AdmissionController.h"
#include "traffic/OwnerMessages.h"
#include "traffic/OwnershipView.h"
#include "traffic/PartitionLoads.h"
#include "traffic/PriorityQueue.h"
#include "traffic/TokenCache.h"

namespace camphorcleat::traffic {

struct OwnerConfig
{
  /// Maximum number of queued requests. If another one arrives, PriorityQueue chooses which one to
  /// refuse.
  std::size_t maxQueued = 1024;
  /// Maximum time in the queue, even if the deadline is later. A request was checked against a
  /// configuration that is at most 3 s old, and must not start later than 5 s after a change of the
  /// configuration (R4, R5).
  Millis maxQueueWait{ 2'000 };
  /// For this time after a drain begins, requests that are already queued may start, and so may
  /// requests for keys that have not been moved yet.
  Millis drainQueueTime{ 2'000 };
  /// Time after its deadline at which a run is cancelled. A target that stops its work at the
  /// deadline sends its response then, which would otherwise be cut off. Must be shorter than
  /// EntryRequest::kOwnerResultGrace.
  Millis responseGrace{ 0 };
  /// Minimum remaining lease for sending a request to a target that does not check grants.
  Millis minLease{ 150 };
  /// Whether requests are refused at once if no response is expected within their objective.
  bool refusesLate = false;
  /// When this process of the daemon started. Until then an earlier one may have sent requests.
  TimePoint processStart;
  AdmissionLimit::Config admission;
  TokenCache::Config tokens;
  IdempotencyStore::Config idempotency;
};

/// Not thread-safe. Times must not decrease between calls.
class OwnerLogic
{
public:
  /// Creates the logic of an owner. aDrawer is this daemon's incarnation, which identifies it in
  /// token requests. aView must outlive this object.
  OwnerLogic(const OwnerConfig& aConfig, const OwnershipView& aView, Incarnation aDrawer);

  /// Handles one event and returns the resulting actions, which the caller must carry out in order
  /// and without delay.
  std::vector<OwnerAction> step(TimePoint aNow, const OwnerEvent& aEvent);

  /// Returns when the next Tick must be sent at the latest, or nothing if none is needed.
  std::optional<TimePoint> nextWake() const { return mNextWake; }

  /// Gives access to the idempotency records, for the start and the handover of partitions.
  IdempotencyStore& idempotencyStore() { return mIdempotencyStore; }

  /// Records a load report of the target that asks for at most aLimit requests in flight. It can
  /// only lower the limit and expires after one second.
  void loadReported(TimePoint aNow, std::uint32_t aLimit) { mAdmission.loadReported(aNow, aLimit); }

  /// Returns the request rate of each partition and the mean run times at the target.
  PartitionLoads& loads() { return mLoads; }

  /// Returns the expected queueing and run time of a new request of the lowest priority; zero
  /// before the first run.
  Duration expectedTime(TimePoint aNow) const
  {
    return expectedWait(aNow, mQueue.sizeAhead(PriorityQueue::kLevels)) + mLoads.meanRun();
  }

  std::size_t queuedCount() const { return mWaiting.size(); }
  std::size_t inFlightCount() const { return mRunning.size(); }
  std::uint32_t limit(TimePoint aNow) const { return mAdmission.limit(aNow); }
  const AdmissionLimit& adaptiveLimit() const { return mAdmission.adaptiveLimit(); }

  /// Returns the number of waiting requests of an account.
  std::size_t queuedCount(const std::string& aAccount) const { return mQueue.sizeOf(aAccount); }

  /// Returns whether the account's waiting requests are held back for lack of rate tokens.
  bool isAwaitingTokens(const std::string& aAccount) const { return mQueue.isBlocked(aAccount); }

private:
  struct Waiting
  {
    RequestArrived request;
    std::uint64_t step = 0; // The step in which the request arrived.
    // The request was covered by a token or a promise, so it is never refused for the rate.
    bool isWithinRate = false;
  };
  struct Running
  {
    PartitionKey partition;
    bool isKeyed = false;
    std::optional<IdempotencyRecordKey> recordKey;
    std::uint64_t number = 0; // Of the dispatch.
    // Requests that were running at the dispatch, except those that the target has shed since.
    std::uint32_t runningBefore = 0;
    TimePoint startedAt;
    TimePoint cancelAt;
    bool isCancelled = false;
    std::uint32_t priority = 0;
  };
  struct Refusal
  {
    ErrorCode code = ErrorCode::None;
    std::string message;
  };

  void on(TimePoint aNow, const RequestArrived& aEvent);
  void on(TimePoint aNow, const RequestCancelled& aEvent);
  void on(TimePoint aNow, const AccountsChanged& aEvent);
  void on(TimePoint aNow, const RequestWithdrawn& aEvent);
  void on(TimePoint aNow, const TokenReplyArrived& aEvent);
  void on(TimePoint aNow, const TokenHomeUnreachable& aEvent);
  void on(TimePoint aNow, const TargetReport& aEvent);
  void on(TimePoint aNow, const ColdTimeChecked& aEvent);
  void on(TimePoint aNow, const TargetConnectionReset& aEvent);
  void on(TimePoint aNow, const ResponseStarted& aEvent);
  void on(TimePoint aNow, const RequestEnded& aEvent);
  void on(TimePoint aNow, const StopPartition& aEvent);
  void on(TimePoint aNow, const BeginDrain& aEvent);
  void on(TimePoint, const Tick&) {}

  std::optional<Refusal> ownershipRefusal(TimePoint aNow, const RequestArrived& aRequest);
  std::optional<Refusal> targetRefusal(TimePoint aNow, const RequestArrived& aRequest) const;
  bool checkIdempotency(TimePoint aNow, const RequestArrived& aRequest);
  Duration expectedWait(TimePoint aNow, std::size_t aQueuedAhead) const;
  bool missesObjective(TimePoint aNow, const RequestArrived& aRequest,
                       std::size_t aQueuedAhead) const;
  Millis retryAfter(TimePoint aNow, const RequestArrived& aRequest) const;
  void refuseLateWaiting(TimePoint aNow);
  void refuseDisplaced(TimePoint aNow);
  void refuseLate(TimePoint aNow, const std::vector<RequestId>& aIds);
  void enqueue(TimePoint aNow, const RequestArrived& aRequest);
  void refuse(const RequestArrived& aRequest, wire::Outcome aOutcome, ErrorCode aCode,
              std::string aMessage, Millis aRetryAfter = Millis(0));
  void refuseWaiting(TimePoint aNow, RequestId aId, ErrorCode aCode, const std::string& aMessage,
                     Millis aRetryAfter = Millis(0));
  void refuseAllWaiting(TimePoint aNow, ErrorCode aCode, const std::string& aMessage);
  void applyAcceptResult(TimePoint aNow, const std::string& aAccount,
                         const TokenCache::AcceptResult& aResult);
  void updateAccount(TimePoint aNow, const std::string& aAccount);
  bool isStopped(const PartitionKey& aPartition);

  bool isDrained(TimePoint aNow) const;
  void runPendingWork(TimePoint aNow);
  void expireQueue(TimePoint aNow);
  void refuseAfterLastStart(TimePoint aNow);
  void cancelOverdue(TimePoint aNow);
  void dispatchAll(TimePoint aNow);
  void dispatchOne(TimePoint aNow, const QueuedRequest& aQueued);
  void checkColdTime(TimePoint aNow);
  void requestTokens(TimePoint aNow);
  void reportDrainComplete();
  std::optional<TimePoint> wakeAt(TimePoint aNow) const;

  OwnerConfig mConfig;
  const OwnershipView& mView;
  PriorityQueue mQueue;
  PartitionLoads mLoads;
  AdmissionController mAdmission;
  TokenCache mTokens;
  IdempotencyStore mIdempotencyStore;
  std::unordered_map<RequestId, Waiting> mWaiting; // The same ids as in mQueue.
  std::unordered_map<RequestId, Running> mRunning; // At most as many as mAdmission allows.
  // Cancellation times of running requests that are not cancelled.
  std::set<std::pair<TimePoint, RequestId>> mCancelTimes;
  std::map<PartitionKey, std::size_t> mRunningByPartition;
  // Partitions that were stopped for a handover, with the token of their grant at that time, or 0
  // if the grant had ended. A grant with another token ends the stop.
  std::map<PartitionKey, FencingToken> mStopped;
  std::set<PartitionKey> mStopping; // Stopped partitions with requests still running.
  bool mIsLeaving = false; // BeginDrain was received; unlike a drain of the target, it is final.
  BeginDrain mStop;
  bool mIsDrainReported = false;
  std::optional<TimePoint> mDrainSince; // Start of a drain by BeginDrain or by the target.
  bool mIsCheckingColdTime = false;     // ColdTimeChecked follows.
  TimePoint mNextColdTimeCheck;
  std::uint64_t mDispatches = 0;
  std::uint64_t mStep = 0; // Number of the current step.
  std::optional<TimePoint> mNextWake;
  std::vector<OwnerAction> mActions;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_OWNERLOGIC_H_
