// The entry thread: accepts callers' HTTP requests, checks account keys, and routes each request to
// an owner.

#ifndef CAMPHORCLEAT_DAEMON_ENTRYDUTY_H_
#define CAMPHORCLEAT_DAEMON_ENTRYDUTY_H_

#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

#include "base/DutyThread.h"
#include "daemon/EntryExchange.h"
#include "daemon/Metrics.h"
#include "daemon/PeerRouter.h"
#include "daemon/RingPump.h"
#include "daemon/Settings.h"
#include "daemon/SharedView.h"
#include "traffic/HedgePolicy.h"
#include "traffic/PowerOfTwoPolicy.h"
#include "traffic/RetryBudget.h"
#include "traffic/TransitTimes.h"
#include "transport/HttpFrontend.h"

namespace camphorcleat::daemon {

/// Call start() and stop() from the thread that created the object.
class EntryDuty
  : public transport::HttpHandler
  , public EntryExchangeHost
{
public:
  /// All referenced objects must outlive the duty.
  EntryDuty(const Settings& aSettings, const Dialect& aDialect, Rings& aRings, PeerRouter& aRouter,
            const SharedView& aView, Metrics& aMetrics);
  ~EntryDuty() override;

  EntryDuty(const EntryDuty&) = delete;
  EntryDuty& operator=(const EntryDuty&) = delete;

  /// Starts to listen and starts the thread. Fails if the address can't be bound.
  Result<void> start();

  /// Stops the thread and closes open connections. Idempotent.
  void stop();

  /// Begins a planned stop that ends at aEnd. Connections without a request are closed, and each
  /// response ends its connection. A request that may be open after aEnd is refused unless it has
  /// started at a target by aLastStart. Thread-safe.
  void beginStop(TimePoint aLastStart, TimePoint aEnd);

  /// Closes the listener and refuses requests that are read from now on. Thread-safe.
  void stopAccepting();

  /// Ends all requests whose response hasn't begun: as not run, or with an unknown outcome if an
  /// owner has them. Thread-safe.
  void endOpenRequests();

  /// Returns the number of requests without a complete response. Thread-safe.
  std::size_t openRequests() const;

  // Overrides of HttpHandler and EntryExchangeHost. They run on the entry thread.
  void onRequest(std::shared_ptr<transport::CallerStream> aStream) override;
  traffic::RouteKnown selectRoute(const EntryExchange& aExchange,
                                  const std::vector<NodeId>& aExcluded,
                                  bool aNeedsNewerView) override;
  void awaitView(const std::shared_ptr<EntryExchange>& aExchange) override;
  RequestId newAttempt(const std::shared_ptr<EntryExchange>& aExchange, NodeId aNode) override;
  transport::SendResult sendTo(NodeId aNode, wire::PeerMessage aMessage) override;
  transport::SendStatus replyTo(transport::LinkId aLink, wire::PeerMessage aMessage) override;
  void attemptHedged(const RequestId& aId) override;
  void attemptEnded(const RequestId& aId, bool aHasCompleteResponse) override;
  void exchangeFinished(EntryExchange& aExchange, ErrorCode aCode) override;
  const Dialect& dialect() const override { return mDialect; }

private:
  static constexpr std::size_t kMinAwaitingView = 1024;

  struct RunningAttempt
  {
    std::shared_ptr<EntryExchange> exchange;
    NodeId node = kNoNode;
    TimePoint startedAt;
  };
  /// Load and latency of a node, as observed by this entry.
  struct NodeStats
  {
    std::uint32_t inFlight = 0;
    double averageLatencySeconds = 0; ///< Moving average over this entry's own requests.
    TimePoint updatedAt;
    double reportedSeconds = 0; ///< Queueing and run time that the owner last reported, or 0.
    TimePoint reportedAt;

    /// Returns the expected latency of the next request; 0 if nothing recent is known.
    double expectedLatencySeconds(TimePoint aNow) const;

    /// Returns the average latency, which decays with its age so that a node that was slow is tried
    /// again.
    double latencySeconds(TimePoint aNow) const;
    void addLatency(TimePoint aNow, double aLatencySeconds, double aWeight);
  };

  transport::HttpLimits callerLimits() const;
  void handle(EntryMessage aMessage);
  void handlePeerMessage(ReceivedMessage aMessage);
  void recordExpectedTime(const wire::ResponseHead& aHead);
  void recordOwnerClock(const ReceivedMessage& aMessage, Micros aSentAt);
  Micros ownerClock(NodeId aNode) const;
  void logOpenExchanges() const;
  std::vector<std::shared_ptr<EntryExchange>> openExchanges() const;
  TimePoint withdrawalTime(TimePoint aEndsBy) const;
  void handleLinkLost(const LinkLost& aLost);
  /// Returns the attempts that use a link.
  std::vector<std::pair<RequestId, std::shared_ptr<EntryExchange>>> attemptsOn(
    transport::LinkId aLink) const;
  /// The reason why a request is not admitted.
  struct Rejection
  {
    ErrorCode code = ErrorCode::None;
    std::string message;
  };

  // Sets the account, service, key, partition and policy of a request. Returns the reason if the
  // request is not admitted, otherwise nullopt.
  bool mayBeKnownByNow(ErrorCode aCode) const;
  std::optional<Rejection> admit(const transport::CallerStream& aStream,
                                 const CallerMetadata& aMetadata, wire::RequestHead& aHead,
                                 ExchangePlan& aPlan);
  // Both set aIsOpen to whether the request is admitted without an account key.
  std::optional<Rejection> resolveRoute(const transport::CallerStream& aStream,
                                        const CallerMetadata& aMetadata, wire::RequestHead& aHead,
                                        ExchangePlan& aPlan, bool& aIsOpen);
  std::optional<Rejection> resolvePath(const transport::CallerStream& aStream,
                                       wire::RequestHead& aHead, ExchangePlan& aPlan,
                                       bool& aIsOpen);
  traffic::RouteKnown routeOf(const EntryExchange& aExchange) const;
  NodeId chooseTarget(const EntryExchange& aExchange, const std::vector<NodeId>& aExcluded);

  const Settings& mSettings;
  const Dialect& mDialect;
  PeerRouter& mRouter;
  const SharedView& mView;
  Metrics& mMetrics;
  DutyThread mThread;
  RingPump<EntryMessage> mPump;
  Ring<EntryMessage>& mRing;
  std::mt19937_64 mRandom;
  Incarnation mProcessIncarnation; // First part of all request ids of this process.
  std::uint64_t mCounter = 0;
  std::unique_ptr<transport::HttpFrontend> mFrontend;
  std::map<std::string, traffic::RetryBudget> mRetryBudgets;  // Keyed by service.
  std::map<std::string, traffic::HedgePolicy> mHedgePolicies; // Keyed by service.
  std::unique_ptr<traffic::LoadBalancingPolicy> mLoadBalancingPolicy;
  std::shared_ptr<const ViewState> mState;
  std::unordered_map<RequestId, RunningAttempt> mAttempts;
  std::map<const EntryExchange*, std::weak_ptr<EntryExchange>> mExchanges; // Not finished yet.
  /// The times of a planned stop, as in beginStop().
  struct StopTimes
  {
    TimePoint lastStart;
    TimePoint end;
  };
  std::optional<StopTimes> mStop;
  bool mIsRefusing = false;
  std::vector<std::weak_ptr<EntryExchange>> mAwaitingView;
  std::size_t mMaxAwaitingView = kMinAwaitingView; // Finished ones are removed at this size.
  std::map<NodeId, NodeStats> mStats;
  traffic::TransitTimes mOwnerClocks;              // By the links of the messages from owners.
  std::map<NodeId, transport::LinkId> mClockLinks; // The latest such link of each owner.
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_ENTRYDUTY_H_
