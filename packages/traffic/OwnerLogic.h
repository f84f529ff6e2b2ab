// The decisions of the owner role: which request runs at the target, when, and which is refused.
//
// The daemon beside a target is its only sender, so it knows exactly how many requests are in
// flight. A request passes, in this order: lease and ownership, idempotency key, rate, fair queue,
// admission. Lease, ownership and configuration are checked a second time right before the
// dispatch, since a request may have waited in between. The rate token is spent at the dispatch.

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
  std::size_t maxQueued = 1024;
  /// A request leaves the queue after this time even if its deadline is later: it was checked
  /// against a configuration at most 3 s old, and must not start later than 5 s after a change (R4,
  /// R5).
  Millis maxQueueWait{ 2'000 };
  /// After a drain begins, requests already queued may start for this time, and so may requests for
  /// keys that have not left yet.
  Millis drainQueueTime{ 2'000 };
  /// A run is cancelled so long after its deadline: a target that ends its work at the deadline
  /// answers then, and that answer would be cut. Shorter than EntryRequest::kVerdictGrace.
  Millis answerGrace{ 0 };
  /// Least lease left for a write to a target that doesn't check grants.
  Millis minLease{ 150 };
  /// Whether a request that can't be answered within its objective is refused at once.
  bool refusesLate = false;
  AdmissionLimit::Config admission;
  TokenCache::Config tokens;
  IdempotencyStore::Config idempotency;
};

/// Not thread-safe. Times must not decrease between calls.
class OwnerLogic
{
public:
  /// aDrawer is this daemon's incarnation. aView must outlive this object.
  OwnerLogic(const OwnerConfig& aConfig, const OwnershipView& aView, Incarnation aDrawer);

  /// Handles one event. The caller carries out the actions in their order, without delay.
  std::vector<OwnerAction> step(TimePoint aNow, const OwnerEvent& aEvent);

  /// When to send a Tick at the latest; nothing if only events matter.
  std::optional<TimePoint> nextWake() const { return mNextWake; }

  /// The idempotency records, for starts and hand-overs of partitions.
  IdempotencyStore& idempotencyStore() { return mIdempotencyStore; }

  /// A load report of the target asks for at most aLimit requests in flight; it can only lower the
  /// limit and counts for one second.
  void loadReported(TimePoint aNow, std::uint32_t aLimit) { mAdmission.loadReported(aNow, aLimit); }

  /// What arrives for each partition, and how long runs take.
  PartitionLoads& loads() { return mLoads; }

  /// Wait and run that a next request of the lowest priority is to expect; zero before the first
  /// run.
  Duration expectedTime(TimePoint aNow) const
  {
    return expectedWait(aNow, PriorityQueue::kLevels) + mLoads.meanRun();
  }

  std::size_t queuedCount() const { return mWaiting.size(); }
  std::size_t inFlightCount() const { return mRunning.size(); }
  std::uint32_t limit(TimePoint aNow) const { return mAdmission.limit(aNow); }

private:
  struct Waiting
  {
    RequestArrived request;
    std::uint64_t step = 0; // When it arrived.
    bool isWithinRate =
      false; // Had a token or a promise once, so it is never refused for the rate.
  };
  struct Running
  {
    PartitionKey partition;
    bool isKeyed = false;
    std::optional<IdempotencyRecordKey> recordKey;
    TimePoint startedAt;
    TimePoint cancelAt;
    bool isCancelled = false;
    std::uint32_t priority = 0;
  };
  struct Fault
  {
    ErrorCode code = ErrorCode::None;
    std::string message;
  };

  void on(TimePoint aNow, const RequestArrived& aEvent);
  void on(TimePoint aNow, const RequestCancelled& aEvent);
  void on(TimePoint aNow, const TokensAnswered& aEvent);
  void on(TimePoint aNow, const TokenHomeUnreachable& aEvent);
  void on(TimePoint aNow, const TargetReport& aEvent);
  void on(TimePoint aNow, const TargetConnectionReset& aEvent);
  void on(TimePoint aNow, const ResponseStarted& aEvent);
  void on(TimePoint aNow, const RequestEnded& aEvent);
  void on(TimePoint aNow, const StopPartition& aEvent);
  void on(TimePoint aNow, const BeginDrain& aEvent);
  void on(TimePoint, const Tick&) {}

  std::optional<Fault> ownershipFault(TimePoint aNow, const RequestArrived& aRequest);
  std::optional<Fault> targetFault(TimePoint aNow, const RequestArrived& aRequest) const;
  bool checkIdempotency(TimePoint aNow, const RequestArrived& aRequest);
  Duration expectedWait(TimePoint aNow, std::uint32_t aPriority) const;
  bool missesObjective(TimePoint aNow, const RequestArrived& aRequest) const;
  Millis retryAfter(TimePoint aNow, const RequestArrived& aRequest) const;
  void refuseLateWaiting(TimePoint aNow);
  void enqueue(TimePoint aNow, const RequestArrived& aRequest);
  void refuse(const RequestArrived& aRequest, wire::Outcome aOutcome, ErrorCode aCode,
              std::string aMessage, Millis aRetryAfter = Millis(0));
  void refuseWaiting(TimePoint aNow, RequestId aId, ErrorCode aCode, const std::string& aMessage,
                     Millis aRetryAfter = Millis(0));
  void refuseAllWaiting(TimePoint aNow, ErrorCode aCode, const std::string& aMessage);
  void applyReply(TimePoint aNow, const std::string& aAccount, const TokenCache::Reply& aReply);
  void updateAccount(TimePoint aNow, const std::string& aAccount);
  bool isStopped(const PartitionKey& aPartition);

  bool isDrained(TimePoint aNow) const;
  void runPendingWork(TimePoint aNow);
  void expireQueue(TimePoint aNow);
  void cancelOverdue(TimePoint aNow);
  void dispatchAll(TimePoint aNow);
  void dispatchOne(TimePoint aNow, const QueuedRequest& aQueued);
  void drawTokens(TimePoint aNow);
  void reportDrainComplete();
  std::optional<TimePoint> wakeAt(TimePoint aNow) const;

  OwnerConfig mConfig;
  const OwnershipView& mView;
  PriorityQueue mQueue;
  PartitionLoads mLoads;
  AdmissionController mAdmission;
  TokenCache mTokens;
  IdempotencyStore mIdempotencyStore;
  std::unordered_map<RequestId, Waiting> mWaiting;        // The same ids as in mQueue.
  std::unordered_map<RequestId, Running> mRunning;        // At most the slots.
  std::set<std::pair<TimePoint, RequestId>> mRunningEnds; // Of requests not cancelled.
  std::map<PartitionKey, std::size_t> mRunningByPartition;
  std::map<PartitionKey, FencingToken> mStopped; // The token at the stop; 0 if it was gone already.
  std::set<PartitionKey> mStopping;              // Stopped with requests still running.
  bool mIsLeaving = false;
  bool mIsDrainReported = false;
  std::optional<TimePoint> mDrainSince;
  std::uint64_t mStep = 0;
  std::optional<TimePoint> mNextWake;
  std::vector<OwnerAction> mActions;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_OWNERLOGIC_H_
