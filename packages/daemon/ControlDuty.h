// The thread of a control member, which runs the replicated log, the fleet state and the control
// leader.
//
// One event loop drives all of them, so that every member applies, audits, publishes and answers
// log entries in the same order.

#ifndef CAMPHORCLEAT_DAEMON_CONTROLDUTY_H_
#define CAMPHORCLEAT_DAEMON_CONTROLDUTY_H_

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <thread>

#include <QCborArray>
#include <QCborValue>

#include "agreement/JoinSchedule.h"
#include "agreement/LogNode.h"
#include "daemon/OperatorJson.h"
#include "daemon/PeerRouter.h"
#include "daemon/Settings.h"
#include "daemon/StorageDuty.h"
#include "fleet/AuditTrail.h"
#include "fleet/ControlLeader.h"
#include "fleet/FleetState.h"
#include "fleet/ReplayCost.h"
#include "fleet/Statement.h"

namespace camphorcleat::daemon {

/// start() and stop() must be called on the thread that constructed the object.
class ControlDuty
{
public:
  /// aStored is the content of aStorage's store when it was opened. All references must outlive the
  /// duty.
  ControlDuty(const Settings& aSettings, Rings& aRings, PeerRouter& aRouter, StorageDuty& aStorage,
              const agreement::StoredState& aStored, fleet::AuditTrail aAudit);
  ~ControlDuty();

  ControlDuty(const ControlDuty&) = delete;
  ControlDuty& operator=(const ControlDuty&) = delete;

  void start();

  /// Ends the thread. Idempotent.
  void stop();

private:
  /// Called with the outcome of a command that was proposed here or forwarded to the leader.
  using CommandCallback = std::function<void(const wire::CommandResult&, NodeId aLeaderHint)>;
  /// Called when a linearizable read is possible. With code None, the applied state includes the
  /// read index.
  using ReadCallback = std::function<void(ErrorCode, NodeId aLeaderHint)>;

  struct PendingProposal
  {
    Term term = 0;
    TimePoint deadline;
    CommandCallback callback;
  };
  struct ForwardedCommand
  {
    TimePoint deadline;
    CommandCallback callback;
  };
  struct ForwardedRead
  {
    TimePoint deadline;
    ReadCallback callback;
  };

  void run();
  void tick();
  void requestJoinIfNeeded(const std::vector<NodeId>& aMembers);
  void requestJoin(NodeId aNode);
  void logMembershipIfChanged(const std::vector<NodeId>& aMembers);
  std::vector<NodeId> memberIds() const;
  void handle(ControlMessage aMessage);
  void handlePeerMessage(ReceivedMessage aMessage);

  // The replicated log.
  void stepLog(const agreement::Event& aEvent);
  void drainLogEvents();
  void perform(agreement::Action& aAction);
  void runBacklog(TimePoint aUntil);
  void reportBacklog();
  void applyEntry(const wire::LogEntry& aEntry);
  void applyCommand(const wire::LogEntry& aEntry);
  void requestSnapshotIfDue();
  void takeSnapshot(LogIndex aLastIndex);
  void restore(const agreement::RestoreSnapshot& aAction);
  std::optional<wire::Command> decodeOrLog(const wire::LogEntry& aEntry) const;
  void writeAudit(const std::vector<fleet::AuditRecord>& aRecords);
  void writeUnwrittenAudit();
  void completeProposal(LogIndex aIndex, Term aTerm, const wire::CommandResult& aResult);

  // The control leader.
  void stepLeader(const fleet::control::Event& aEvent);
  void perform(fleet::control::Action& aAction);
  void logLostNodes(const wire::Command& aCommand) const;
  void createFleetIfNeeded();

  // Commands and reads, executed here or forwarded to the leader.
  void propose(wire::Command aCommand, CommandCallback aCallback);
  void submit(wire::Command aCommand, TimePoint aDeadline, CommandCallback aCallback);
  void submitInOrder(wire::Command aCommand, TimePoint aDeadline, std::function<bool()> aIsAwaited,
                     CommandCallback aCallback);
  void read(TimePoint aDeadline, ReadCallback aCallback);
  void requestReadIndex(ReadCallback aCallback);
  void finishRead(std::uint64_t aRead, ErrorCode aCode, NodeId aLeaderHint);
  void handleOperator(OperatorRequest aRequest);
  void handleCommand(CommandRequest aRequest);
  void handleDocument(const DocumentRequest& aRequest);
  void handleQuery(const fleet::Query& aQuery, const OperatorRequest& aRequest);
  void handleChange(fleet::ChangeRequest aChange, const OperatorRequest& aRequest);
  void dryRun(const wire::Command& aCommand, const OperatorRequest& aRequest);
  QCborValue evaluateQuery(const fleet::Query& aQuery);
  QCborArray leaseRows() const;
  QCborArray auditRows(const std::string& aFilter) const;
  ControlStatus status() const;
  void expirePending();

  const Settings& mSettings;
  Rings& mRings;
  PeerRouter& mRouter;
  StorageDuty& mStorage;
  std::mt19937_64 mRandom;
  Incarnation mProcessIncarnation = 0; // Identifies this process in the ids of forwarded requests.
  agreement::LogNode mLog;
  fleet::FleetState mState;
  fleet::ReplayCost mReplayCost; // Of the entries since the latest snapshot.
  bool mIsSnapshotRequested = false;
  fleet::ControlLeader mLeader;
  fleet::AuditTrail mAudit;
  std::vector<fleet::AuditRecord> mUnwrittenAudit; // Of entries applied in this slice.
  TimePoint mAuditRetryAt;                         // Of records that could not be written.

  TimePoint mNow; // Time of the current event.
  std::deque<agreement::Event> mLogEvents;
  bool mIsDrainingLogEvents = false;      // drainLogEvents() is running.
  std::deque<agreement::Action> mBacklog; // Actions on the applied state, in the log's order.
  std::size_t mBacklogEntries = 0;        // Entries in mBacklog that are not applied yet.
  std::size_t mNextEntry = 0;             // Next entry of the ApplyEntries at its front.
  TimePoint mBacklogSince;                // When mBacklog was last empty.
  LogIndex mBacklogAfter = 0;             // Last index applied then.
  std::uint64_t mCounter = 0; // Last number used for a proposal, read or forwarded request.
  LogIndex mAppliedIndex = 0;
  agreement::JoinSchedule mJoin;
  bool mIsStopping = false;           // BeginStop was received.
  NodeId mJoinRequestedOf = kNoNode;  // Named by the latest join_requested line.
  std::vector<NodeId> mLoggedMembers; // Named by the latest membership_changed line.
  std::map<std::uint64_t, CommandCallback> mUnappendedProposals; // Proposals without a log index.
  std::map<LogIndex, PendingProposal> mProposals;
  std::map<std::uint64_t, ReadCallback> mReads;
  std::multimap<Revision, ReadCallback> mReadsAtRevision; // Wait for the revision to be applied.
  std::map<RequestId, ForwardedCommand> mForwardedCommands;
  std::map<RequestId, ForwardedRead> mForwardedReads;
  std::thread mThread;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_CONTROLDUTY_H_
