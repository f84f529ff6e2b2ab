// The thread of a control member: the replicated log, the fleet's state and the leader's duties.
//
// Everything here is driven by one loop, so that an entry is applied, audited, published to daemons
// and answered in the same order on every member.

#ifndef CAMPHORCLEAT_DAEMON_CONTROLDUTY_H_
#define CAMPHORCLEAT_DAEMON_CONTROLDUTY_H_

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <thread>

#include <QCborArray>
#include <QCborValue>

#include "agreement/LogNode.h"
#include "daemon/OperatorAnswers.h"
#include "daemon/PeerRouter.h"
#include "daemon/Settings.h"
#include "daemon/StorageDuty.h"
#include "fleet/AuditTrail.h"
#include "fleet/ControlLeader.h"
#include "fleet/FleetState.h"
#include "fleet/Statement.h"

namespace camphorcleat::daemon {

/// start() and stop() are for the thread that made it.
class ControlDuty
{
public:
  /// aStored is what aStorage's store held when it was opened. All references outlive the duty.
  ControlDuty(const Settings& aSettings, Rings& aRings, PeerRouter& aRouter, StorageDuty& aStorage,
              const agreement::StoredState& aStored, fleet::AuditTrail aAudit);
  ~ControlDuty();

  ControlDuty(const ControlDuty&) = delete;
  ControlDuty& operator=(const ControlDuty&) = delete;

  void start();

  /// Ends the thread. Idempotent.
  void stop();

private:
  /// Who waits for the outcome of a proposal.
  using CommandCallback = std::function<void(const wire::CommandResult&, NodeId aLeaderHint)>;
  /// Who waits for a linearizable position. Code None: state at or after the revision is applied.
  using ReadCallback = std::function<void(ErrorCode, NodeId aLeaderHint)>;

  struct WaitingProposal
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
  void askToJoinIfNeeded();
  std::vector<NodeId> memberIds() const;
  void handle(ControlMessage aMessage);
  void handlePeer(ReceivedMessage aMessage);

  // The log.
  void stepLog(const agreement::Event& aEvent);
  void drainLogEvents();
  void perform(agreement::Action& aAction);
  void applyEntry(const wire::LogEntry& aEntry);
  void applyCommand(const wire::LogEntry& aEntry);
  void restore(const agreement::RestoreSnapshot& aAction);
  std::optional<wire::Command> decodeOrLog(const wire::LogEntry& aEntry) const;
  void writeAudit(const std::vector<fleet::AuditRecord>& aRecords);
  void settleProposal(LogIndex aIndex, Term aTerm, const wire::CommandResult& aResult);

  // The leader's duties.
  void stepLeader(const fleet::control::Event& aEvent);
  void perform(fleet::control::Action& aAction);
  void logLosses(const wire::Command& aCommand) const;
  void bearFleetIfNeeded();

  // Commands and reads, here or at the leader.
  void propose(wire::Command aCommand, CommandCallback aCallback);
  void submit(wire::Command aCommand, TimePoint aDeadline, CommandCallback aCallback);
  void read(TimePoint aDeadline, ReadCallback aCallback);
  void readHere(ReadCallback aCallback);
  void finishRead(std::uint64_t aRead, ErrorCode aCode, NodeId aLeaderHint);
  void handleOperator(OperatorRequest aRequest);
  void handleCommand(CommandRequest aRequest);
  void handleDocument(const DocumentRequest& aRequest);
  void handleQuery(const fleet::Query& aQuery, const OperatorRequest& aRequest);
  void handleChange(fleet::ChangeRequest aChange, const OperatorRequest& aRequest);
  void dryRun(const wire::Command& aCommand, const OperatorRequest& aRequest);
  QCborValue answerQuery(const fleet::Query& aQuery);
  QCborArray leaseRows() const;
  QCborArray auditRows(const std::string& aText) const;
  ControlStatus status() const;
  void expireWaiting();

  const Settings& mSettings;
  Rings& mRings;
  PeerRouter& mRouter;
  StorageDuty& mStorage;
  std::mt19937_64 mRandom;
  Incarnation mSession = 0; // Names this process in the ids of forwarded commands and reads.
  agreement::LogNode mLog;
  fleet::FleetState mState;
  fleet::ControlLeader mLeader;
  fleet::AuditTrail mAudit;

  TimePoint mNow;
  std::deque<agreement::Event> mLogEvents;
  bool mIsDraining = false;
  std::uint64_t mCounter = 0;
  LogIndex mAppliedIndex = 0;
  std::vector<NodeId> mKnownMembers; // Control daemons to ask for a place in the group.
  std::size_t mAskedMember = 0;
  TimePoint mNextAsk;
  TimePoint mLeaderSeenAt;
  std::map<std::uint64_t, CommandCallback> mUnplaced; // Proposals without an index yet.
  std::map<LogIndex, WaitingProposal> mProposals;
  std::map<std::uint64_t, ReadCallback> mReads;
  std::multimap<Revision, ReadCallback> mReadsAtRevision; // Wait until this much is applied.
  std::map<RequestId, ForwardedCommand> mForwardedCommands;
  std::map<RequestId, ForwardedRead> mForwardedReads;
  std::thread mThread;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_CONTROLDUTY_H_
