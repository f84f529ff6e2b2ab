// The owner thread: sends all requests to the daemon's target, and keeps the token buckets of the
// accounts whose rate limit is enforced here.
//
// OwnerLogic makes the decisions; this class performs the I/O. Each request has an OwnerExchange
// from its arrival until its last message to the entry is queued on the connection.

#ifndef CAMPHORCLEAT_DAEMON_OWNERDUTY_H_
#define CAMPHORCLEAT_DAEMON_OWNERDUTY_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "base/DutyThread.h"
#include "base/LoopDelay.h"
#include "daemon/ColdTimeCheck.h"
#include "daemon/HeartbeatTracker.h"
#include "daemon/Metrics.h"
#include "daemon/OwnerExchange.h"
#include "daemon/OwnerView.h"
#include "daemon/PeerRouter.h"
#include "daemon/RingPump.h"
#include "daemon/Settings.h"
#include "daemon/TargetChartReporter.h"
#include "daemon/TargetOrders.h"
#include "daemon/TargetWatch.h"
#include "fleet/HeartbeatGrants.h"
#include "traffic/BodyCredit.h"
#include "traffic/OwnerLogic.h"
#include "traffic/RateHome.h"
#include "traffic/TransitTimes.h"

namespace camphorcleat::daemon {

/// Call start() and stop() from the thread that created the object.
class OwnerDuty : public OwnerExchangeHost
{
public:
  /// All referenced objects must outlive the duty.
  OwnerDuty(const Settings& aSettings, const Dialect& aDialect, Rings& aRings, PeerRouter& aRouter,
            const SharedView& aView, Metrics& aMetrics);
  ~OwnerDuty() override;

  OwnerDuty(const OwnerDuty&) = delete;
  OwnerDuty& operator=(const OwnerDuty&) = delete;

  /// Sets the monitor that receives the target's state changes. It must outlive the duty. Call
  /// before start().
  void setCharts(ChartMonitor& aMonitor) { mTargetChartReporter.emplace(aMonitor); }

  /// Starts the thread.
  void start();

  /// Stops the thread and drops running exchanges. Idempotent.
  void stop();

  /// Returns the number of queued and running requests. Thread-safe.
  std::size_t openRequests() const { return mOpenRequests; }

  // Overrides of OwnerExchangeHost. They run on the owner thread.
  bool mayStartWrite(const OwnerExchange& aExchange) override;
  TargetResponseKind classifyResponse(const OwnerExchange& aExchange, unsigned aStatus,
                                      const std::vector<wire::Header>& aHeaders) override;
  bool namesRequest(const OwnerExchange& aExchange,
                    const std::vector<wire::Header>& aHeaders) override;
  void responseStarted(OwnerExchange& aExchange, unsigned aStatus, bool aIsShed,
                       bool aIsFenced) override;
  void exchangeEnded(OwnerExchange& aExchange, wire::Outcome aOutcome, ErrorCode aCode,
                     std::string aMessage,
                     std::optional<traffic::StoredResponse> aResponse) override;
  void askForBody(OwnerExchange& aExchange, std::uint64_t aBytes) override;
  void bodyReceived(OwnerExchange& aExchange, std::uint64_t aBytes, bool aIsLast) override;
  void sendToEntry(OwnerExchange& aExchange, wire::PeerMessage aMessage) override;
  Micros expectedTime() override;

private:
  /// State of an account whose token bucket is kept here.
  struct AccountHome
  {
    FencingToken token = 0; ///< Token of the grant under which the bucket was created.
    TimePoint emptyAt;      ///< When the bucket was empty; the epoch if it began full.
  };
  /// A request that waits until this node or its target gets the key.
  struct AwaitingGrant
  {
    TimePoint sentAt; ///< By the entry, on this daemon's clock.
    TimePoint until;
  };
  /// The acknowledgement of a message in which the target says that it is leaving.
  struct PendingLeaving
  {
    wire::TargetProcess process;
    TimePoint deadline;
    bool isReported = false; ///< To the agent, which has it recorded in the fleet's state.
    std::function<void(bool aIsRecorded)> reply;
  };
  using TokenRequestId = std::pair<std::string, std::uint64_t>; // Account and sequence number.

  void handle(OwnerMessage aMessage);
  void handlePeerMessage(ReceivedMessage aMessage);
  void handleHead(transport::LinkId aLink, wire::RequestHead aHead);
  void acceptRequest(OwnerExchange& aExchange, TimePoint aSentAt);
  traffic::RequestArrived arrivalOf(const OwnerExchange& aExchange, TimePoint aSentAt) const;
  PartitionId partitionOf(const wire::RequestHead& aHead) const;
  bool mayGetKey(const wire::RequestHead& aHead) const;
  void acceptAwaitingGrant();
  Duration waitingTime(transport::LinkId aLink, const wire::RequestHead& aHead);
  double rateOf(const std::string& aAccount) const;
  void handleTokenRequest(const ReceivedMessage& aFrom, const wire::TokenRequest& aRequest);
  traffic::HomeStart initialLevel(const std::string& aAccount, const wire::Account& aSettings,
                                  TimePoint aNow) const;
  void handleLinkSilent(const LinkSilent& aSilent);
  void handleLinkLost(const LinkLost& aLost);
  std::vector<RequestId> requestsOn(transport::LinkId aLink) const;
  void refreshView();
  void handleView();
  void updateHomes();
  void updateHeldGrants();
  void cancelRequest(const RequestId& aId);
  void withdrawRequest(const wire::WithdrawRequest& aWithdraw);
  const wire::Account* accountOf(const wire::RequestHead& aHead) const;
  bool isAccountKeyValid(const wire::RequestHead& aHead) const;
  bool updateAccount(OwnerExchange& aExchange) const;
  void updateWaitingAccounts();
  void handleStopPartition(const fleet::agent::StopPartition& aStop);

  void startTarget();
  void startPolling();
  void handleHeartbeat(const TargetHeartbeat& aHeartbeat);
  void handleStaleHeartbeat(const TargetHeartbeat& aHeartbeat);
  void answerHeartbeat(const TargetHeartbeat& aHeartbeat, bool aIsNewTarget);
  void respondToHeartbeat(const TargetHeartbeat& aHeartbeat);
  void respondToPendingHeartbeat();
  void rejectPendingHeartbeat();
  bool hasNewGrants(const std::string& aService) const;
  bool holdsMovingKeys(const TargetHeartbeat& aHeartbeat) const;
  void handleDeregistration(const TargetDeregistration& aDeregistration);
  std::optional<wire::TargetProcess> processOf(const TargetDeregistration& aDeregistration) const;
  bool isLeavingRecorded(const wire::TargetProcess& aProcess) const;
  void acknowledgeLeaving(const wire::TargetProcess& aProcess,
                          std::function<void(bool aIsRecorded)> aReply);
  void updatePendingLeavings();
  bool restoreLeaving();
  void selectGrants();
  bool isGrantedByCalls() const { return mOrders && mGrants == &mOrders->grants(); }
  void updateOrders();
  void sendOrders();
  void handleOrderEnd();
  void reportTarget();
  void checkColdTime();
  void releaseGrants();
  void probeTarget();
  void handleTargetEnd();

  void step(const traffic::OwnerEvent& aEvent);
  void logLimitDecrease();
  void logPace(TimePoint aNow, const wire::TokenReply& aReply);
  void sendBodyCredit();
  void perform(traffic::OwnerAction& aAction);
  void dispatch(const traffic::Dispatch& aDispatch);
  void refuse(const traffic::Refuse& aRefuse);
  void sendTokenRequest(const traffic::SendTokenRequest& aAction);
  void partitionIdle(const traffic::PartitionIdle& aIdle);
  void replay(const traffic::ReplayResponse& aReplay);

  OwnerExchange* find(const RequestId& aId);
  void removeExchange(const RequestId& aId);
  void reportLoad();
  void scheduleTick();
  void checkConnectionResets();
  void cancelAllAtTarget();

  const Settings& mSettings;
  const Dialect& mDialect;
  Rings& mRings;
  PeerRouter& mRouter;
  Metrics& mMetrics;
  DutyThread mThread;
  RingPump<OwnerMessage> mPump;
  OwnerView mView;
  std::mt19937_64 mRandom;
  Incarnation mProcessIncarnation; // Identifies this process in requests for rate tokens.
  traffic::OwnerLogic mLogic;
  traffic::RateHome mRateHome;
  traffic::BodyCredit mBodyCredit;
  traffic::TransitTimes mTransitTimes;
  std::map<std::string, AccountHome> mHomes; // Keyed by account.
  std::set<std::string> mKnownAccounts;      // All accounts when mHomes was updated.
  // This node's grants when the view was last handled: those of kAccountService, and all others.
  std::map<PartitionId, FencingToken> mHeldAccountGrants;
  std::map<fleet::ServicePartition, FencingToken> mHeldGrants;
  std::unique_ptr<transport::TargetClient> mClient;
  std::unique_ptr<ColdTimeCheck> mColdTimeCheck; // Null if the target sends no heartbeats.
  std::unique_ptr<TargetWatch> mWatch;
  HeartbeatTracker mHeartbeats; // Used in place of mWatch if the dialect has heartbeats.
  fleet::HeartbeatGrants mHeartbeatGrants;
  std::unique_ptr<TargetOrders> mOrders; // Null if the dialect has no orders.
  // The grants of the target's current process: mHeartbeatGrants or those of mOrders.
  fleet::TargetGrants* mGrants = &mHeartbeatGrants;
  Incarnation mGrantsProcess = 0; // The process for which mGrants was selected.
  bool mHasFirstView = false;
  // As of the latest response to a heartbeat.
  std::map<PartitionId, wire::PartitionGrant> mSentGrants;
  std::optional<TargetHeartbeat> mPendingHeartbeat; // Gets its response when the grants change.
  TimePoint mHeartbeatResponseDeadline;
  std::optional<wire::TargetProcess> mLeavingTarget; // The latest one that this process heard of.
  std::vector<PendingLeaving> mPendingLeavings;      // At most kMaxPendingLeavings.
  std::optional<Incarnation> mEndedIncarnation;      // Node incarnation whose target process ended.
  bool mIsProbing = false;
  std::optional<TargetChartReporter> mTargetChartReporter;
  boost::asio::steady_timer mTimer;
  LoopDelay mLoopDelay;
  std::unordered_map<RequestId, std::shared_ptr<OwnerExchange>> mExchanges;
  std::unordered_map<RequestId, AwaitingGrant> mAwaitingGrant; // At most maxQueuedRequests.
  bool mIsStopping = false;                                    // BeginStop was received.
  std::map<TokenRequestId, TimePoint> mTokenRequests; // Pending ones, with the time of sending.
  std::map<fleet::ServicePartition, FencingToken> mStoppingPartitions; // Being handed over.
  TimePoint mNextLoadReport;
  TimePoint mTargetMayStartUntil; // An unresponsive target may start work until then.
  std::uint64_t mLoggedLimitDecreases = 0;
  TimePoint mNextPaceLog;
  std::uint64_t mSeenResets = 0; // Connection losses of mClient that were passed to mLogic.
  std::atomic<std::size_t> mOpenRequests{ 0 };
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_OWNERDUTY_H_
