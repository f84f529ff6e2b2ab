// The event loop of a control member and its handling of the replicated log.
//
// After a restart a member learns that its whole log is committed in one step, and applying it may
// take longer than an election timeout. Actions on the applied state therefore wait in mBacklog,
// which is worked off in slices between the events. Messages to other members and writes don't
// depend on that state and don't wait.

#include "daemon/ControlDuty.h"

#include <algorithm>
#include <iterator>

#include "base/Log.h"
#include "wire/WireCodec.h"

namespace camphorcleat::daemon {

namespace {

constexpr Millis kTick{ 5 };

// A tick that is late by this much is logged: heartbeats, leases and views are late by as much. It
// is a quarter of the shortest election timeout of a group with default settings.
constexpr Millis kLateTick{ 60 };

// A backlog that took this long is logged.
constexpr Millis kLateBacklog{ 200 };

// Time for messages, and for the backlog, before the other one continues.
constexpr Millis kSlice{ 10 };

// Beyond this, the backlog is worked off before any other event, so that it doesn't grow.
constexpr std::size_t kMaxBacklogEntries = 8192;

// A proposal that is not applied within this time is answered with an unknown outcome.
constexpr Millis kProposalTimeout{ 5000 };

// Audit records of a slice that are written without waiting for its end. AuditTrail drops records
// if many more are added at once.
constexpr std::size_t kMaxUnwrittenAudit = 1024;

// Interval at which records that could not be written to the audit trail are written again.
constexpr Millis kAuditRetry{ 1000 };

// Only a node with an empty store may create a group. Its initial members are the configured seeds,
// which are the same on all of them.
std::vector<NodeId> initialMembers(const Settings& aSettings, const agreement::StoredState& aStored)
{
  const auto& seeds = aSettings.seeds;
  const bool isSeed = std::find(seeds.begin(), seeds.end(), aSettings.id) != seeds.end();
  const bool isEmpty = aStored.term == 0 && aStored.entries.empty() && !aStored.snapshot;
  return aSettings.mayFoundControlGroup && isSeed && isEmpty ? seeds : std::vector<NodeId>();
}

agreement::LogNodeConfig logConfig(const Settings& aSettings, const agreement::StoredState& aStored)
{
  agreement::LogNodeConfig config;
  config.self = aSettings.id;
  for (const auto& [id, address] : aSettings.members) {
    config.initialMembership.members.push_back({ id, 0 });
  }
  if (aSettings.hasAddressIds()) {
    config.voters = aSettings.voters;
    for (const NodeId id : initialMembers(aSettings, aStored)) {
      config.initialMembership.members.push_back({ id, 0 });
    }
  }
  config.heartbeat = aSettings.logHeartbeat;
  config.electionTimeoutMin = aSettings.electionMin;
  config.electionTimeoutMax = aSettings.electionMax;
  return config;
}

wire::CommandResult refusalOf(agreement::ProposalRefusal aReason)
{
  switch (aReason) {
    case agreement::ProposalRefusal::TooLarge:
      return { ErrorCode::BodyTooLarge, "the command exceeds the size of a log entry", 0 };
    case agreement::ProposalRefusal::LogFull:
      return { ErrorCode::Overloaded, "too many entries of the log are not committed yet", 0 };
    case agreement::ProposalRefusal::NotLeader:
      break;
  }
  return { ErrorCode::NotLeader, "this member does not lead the control group", 0 };
}

// Senders repeat a message that was not accepted, so only one that is never accepted is a fault.
// aTo is the node or the link.
void logIfNotSent(const char* aKind, std::uint64_t aTo, transport::SendStatus aStatus)
{
  if (aStatus == transport::SendStatus::Full || aStatus == transport::SendStatus::TooLarge) {
    logEvent(LogLevel::Warning, "control_message_not_sent",
             { { "kind", aKind },
               { "to", std::to_string(aTo) },
               { "status", std::string(enumName(aStatus)) } });
  }
}

} // namespace

ControlDuty::ControlDuty(const Settings& aSettings, Rings& aRings, PeerRouter& aRouter,
                         StorageDuty& aStorage, const agreement::StoredState& aStored,
                         fleet::AuditTrail aAudit)
  : mSettings(aSettings)
  , mRings(aRings)
  , mRouter(aRouter)
  , mStorage(aStorage)
  , mRandom(std::random_device{}())
  , mProcessIncarnation(newIncarnation(mRandom))
  , mLog(logConfig(aSettings, aStored), aStored, std::mt19937_64(mRandom()))
  , mLeader(aSettings.lease, mState.model(), std::make_unique<fleet::Planner>())
  , mAudit(std::move(aAudit))
  , mJoin(aSettings.id, aSettings.knownMembers())
{
}

ControlDuty::~ControlDuty()
{
  stop();
}

void ControlDuty::start()
{
  mThread = std::thread([this] { run(); });
}

void ControlDuty::stop()
{
  mRings.control->close();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void ControlDuty::run()
{
  mNow = Clock::now();
  mBacklogSince = mNow;
  TimePoint nextTick = mNow;
  while (!mRings.control->isClosed()) {
    const bool hasBacklog = !mBacklog.empty();
    auto message = mRings.control->popUntil(hasBacklog ? mNow : nextTick);
    mNow = Clock::now();
    const TimePoint sliceEnd = mNow + kSlice;
    while (message) {
      handle(std::move(*message));
      mNow = Clock::now();
      message = hasBacklog && mNow < sliceEnd ? mRings.control->tryPop() : std::nullopt;
    }
    if (mNow >= nextTick) {
      if (mNow - nextTick >= kLateTick) {
        logEvent(LogLevel::Warning, "control_thread_late",
                 { { "ms", std::to_string(toMillis(mNow - nextTick)) },
                   { "revision", std::to_string(mState.revision()) },
                   { "leading", mLeader.isLeading() ? "yes" : "no" } });
      }
      nextTick = mNow + kTick;
      tick();
    }
    runBacklog(mNow + kSlice);
  }
}

void ControlDuty::tick()
{
  stepLog(agreement::Tick{});
  const std::vector<NodeId> members = memberIds();
  logMembershipIfChanged(members);
  mLeader.setMembers(members);
  stepLeader(fleet::control::Tick{});
  expirePending();
  requestJoinIfNeeded(members);
  writeAudit({});
}

std::vector<NodeId> ControlDuty::memberIds() const
{
  std::vector<NodeId> out;
  for (const auto& it : mLog.membership().members) {
    out.push_back(it.id);
  }
  return out;
}

void ControlDuty::logMembershipIfChanged(const std::vector<NodeId>& aMembers)
{
  if (aMembers == mLoggedMembers) {
    return;
  }
  mLoggedMembers = aMembers;
  std::string list;
  for (const NodeId it : aMembers) {
    list += (list.empty() ? "" : ",") + std::to_string(it);
  }
  logEvent(LogLevel::Info, "membership_changed",
           { { "members", list }, { "term", std::to_string(mLog.term()) } });
}

void ControlDuty::requestJoinIfNeeded(const std::vector<NodeId>& aMembers)
{
  if (mSettings.hasAddressIds() && !mIsStopping) {
    requestJoin(mJoin.next(mNow, mLog.leader(), aMembers));
  }
}

void ControlDuty::requestJoin(NodeId aNode)
{
  if (aNode == kNoNode) {
    return;
  }
  if (aNode != mJoinRequestedOf) {
    mJoinRequestedOf = aNode;
    logEvent(LogLevel::Info, "join_requested",
             { { "node", std::to_string(aNode) },
               { "is_leader", aNode == mLog.leader() ? "yes" : "unknown" },
               { "term", std::to_string(mLog.term()) } });
  }
  mRouter.send(aNode, transport::Lane::Control, wire::JoinRequest{});
}

void ControlDuty::handle(ControlMessage aMessage)
{
  if (auto* peer = std::get_if<ReceivedMessage>(&aMessage)) {
    handlePeerMessage(std::move(*peer));
  } else if (const auto* lost = std::get_if<LinkLost>(&aMessage)) {
    stepLeader(fleet::control::LinkClosed{ lost->link });
  } else if (const auto* done = std::get_if<StorageDone>(&aMessage)) {
    if (done->isPersisted) {
      stepLog(agreement::Persisted{ done->batch });
    } else {
      stepLog(agreement::PersistFailed{});
    }
  } else if (auto* request = std::get_if<OperatorRequest>(&aMessage)) {
    handleOperator(std::move(*request));
  } else if (const auto* changed = std::get_if<SeedsChanged>(&aMessage)) {
    mJoin.addKnown(changed->seeds);
  } else if (auto* command = std::get_if<CommandRequest>(&aMessage)) {
    handleCommand(std::move(*command));
  } else if (const auto* document = std::get_if<DocumentRequest>(&aMessage)) {
    handleDocument(*document);
  } else if (const auto* query = std::get_if<StatusRequest>(&aMessage)) {
    query->reply(status());
  } else if (std::holds_alternative<BeginStop>(aMessage)) {
    mIsStopping = true;
    stepLog(agreement::StopRequested{});
  }
}

void ControlDuty::handlePeerMessage(ReceivedMessage aMessage)
{
  const auto link = aMessage.link;
  if (auto* frame = std::get_if<wire::LogFrame>(&aMessage.message)) {
    stepLog(agreement::MessageArrived{ aMessage.from, std::move(frame->message) });
  } else if (std::holds_alternative<wire::JoinRequest>(aMessage.message)) {
    stepLog(agreement::JoinRequested{ aMessage.from });
    mRouter.reply(link, wire::JoinReply{ mLog.leader(), memberIds() });
  } else if (const auto* join = std::get_if<wire::JoinReply>(&aMessage.message)) {
    requestJoin(mJoin.onReply(aMessage.from, join->leaderHint, join->members, mLog.leader()));
  } else if (const auto* renew = std::get_if<wire::LeaseRenew>(&aMessage.message)) {
    stepLeader(fleet::control::RenewArrived{ link, *renew });
  } else if (auto* submit = std::get_if<wire::CommandSubmit>(&aMessage.message)) {
    propose(std::move(submit->command),
            [this, link, id = submit->id](const wire::CommandResult& aResult, NodeId aHint) {
              mRouter.reply(link, wire::CommandReply{ id, aResult, aHint });
            });
  } else if (const auto* request = std::get_if<wire::ReadSubmit>(&aMessage.message)) {
    requestReadIndex([this, link, id = request->id](ErrorCode aCode, NodeId aHint) {
      mRouter.reply(link, wire::ReadReply{ id, aCode, mAppliedIndex, aHint });
    });
  } else if (const auto* reply = std::get_if<wire::CommandReply>(&aMessage.message)) {
    const auto it = mForwardedCommands.find(reply->id);
    if (it != mForwardedCommands.end()) {
      const CommandCallback callback = std::move(it->second.callback);
      mForwardedCommands.erase(it);
      callback(reply->result, reply->leaderHint);
    }
  } else if (const auto* position = std::get_if<wire::ReadReply>(&aMessage.message)) {
    const auto it = mForwardedReads.find(position->id);
    if (it == mForwardedReads.end()) {
      return;
    }
    const ReadCallback callback = std::move(it->second.callback);
    mForwardedReads.erase(it);
    if (position->code != ErrorCode::None || position->revision <= mAppliedIndex) {
      callback(position->code, position->leaderHint);
    } else {
      mReadsAtRevision.emplace(position->revision, callback);
    }
  }
}

void ControlDuty::stepLog(const agreement::Event& aEvent)
{
  mLogEvents.push_back(aEvent);
  if (!mIsDrainingLogEvents) {
    drainLogEvents();
  }
}

// Works off the backlog until it is empty or the time has passed.
void ControlDuty::runBacklog(TimePoint aUntil)
{
  while (!mBacklog.empty() && (mNow < aUntil || mBacklogEntries > kMaxBacklogEntries)) {
    if (const auto* apply = std::get_if<agreement::ApplyEntries>(&mBacklog.front())) {
      // The reference stays valid while further actions are appended.
      const std::vector<wire::LogEntry>& entries = apply->entries;
      if (mNextEntry < entries.size()) {
        --mBacklogEntries;
        applyEntry(entries[mNextEntry++]);
      }
      if (mNextEntry >= entries.size()) {
        mNextEntry = 0;
        mBacklog.pop_front();
      }
    } else {
      agreement::Action action = std::move(mBacklog.front());
      mBacklog.pop_front();
      perform(action);
    }
    mNow = Clock::now();
  }
  writeUnwrittenAudit();
  reportBacklog();
}

// Until a member has applied its backlog, it answers no read and can't be established as leader.
void ControlDuty::reportBacklog()
{
  if (!mBacklog.empty()) {
    return;
  }
  if (mNow - mBacklogSince >= kLateBacklog && mAppliedIndex > mBacklogAfter) {
    logEvent(LogLevel::Info, "backlog_applied",
             { { "entries", std::to_string(mAppliedIndex - mBacklogAfter) },
               { "revision", std::to_string(mState.revision()) },
               { "ms", std::to_string(toMillis(mNow - mBacklogSince)) } });
  }
  mBacklogSince = mNow;
  mBacklogAfter = mAppliedIndex;
}

// Writes the audit records of all entries that were applied since the last call. Each write waits
// for the disk, so the entries of a slice have one in common.
void ControlDuty::writeUnwrittenAudit()
{
  if (!mUnwrittenAudit.empty()) {
    writeAudit(std::exchange(mUnwrittenAudit, {}));
  }
}

// An action may cause further log events. They are queued, so that actions are performed in order.
void ControlDuty::drainLogEvents()
{
  mIsDrainingLogEvents = true;
  while (!mLogEvents.empty()) {
    const agreement::Event event = std::move(mLogEvents.front());
    mLogEvents.pop_front();
    for (auto& it : mLog.step(mNow, event)) {
      if (std::holds_alternative<agreement::SendMessage>(it) ||
          std::holds_alternative<agreement::Persist>(it)) {
        perform(it);
      } else {
        const auto* apply = std::get_if<agreement::ApplyEntries>(&it);
        mBacklogEntries += apply == nullptr ? 0 : apply->entries.size();
        mBacklog.push_back(std::move(it));
      }
    }
  }
  mIsDrainingLogEvents = false;
}

void ControlDuty::perform(agreement::Action& aAction)
{
  if (auto* send = std::get_if<agreement::SendMessage>(&aAction)) {
    const auto sent =
      mRouter.send(send->to, transport::Lane::Control, wire::LogFrame{ std::move(send->message) });
    logIfNotSent("log", send->to, sent.status);
  } else if (auto* persist = std::get_if<agreement::Persist>(&aAction)) {
    // The ring has room for more than the one batch in flight and is closed after this duty ended.
    if (!mStorage.submit(std::move(*persist))) {
      stepLog(agreement::PersistFailed{});
    }
  } else if (const auto* appended = std::get_if<agreement::ProposalAppended>(&aAction)) {
    const auto it = mUnappendedProposals.find(appended->proposal);
    if (it != mUnappendedProposals.end()) {
      mProposals[appended->index] = { appended->term, mNow + kProposalTimeout,
                                      std::move(it->second) };
      mUnappendedProposals.erase(it);
    }
  } else if (const auto* refused = std::get_if<agreement::ProposalRefused>(&aAction)) {
    const auto it = mUnappendedProposals.find(refused->proposal);
    if (it != mUnappendedProposals.end()) {
      const CommandCallback callback = std::move(it->second);
      mUnappendedProposals.erase(it);
      logEvent(LogLevel::Warning, "proposal_refused",
               { { "reason", std::string(enumName(refused->reason)) },
                 { "leader", std::to_string(refused->leaderHint) } });
      callback(refusalOf(refused->reason), refused->leaderHint);
    }
  } else if (const auto* ready = std::get_if<agreement::ReadReady>(&aAction)) {
    finishRead(ready->read, ErrorCode::None, kNoNode);
  } else if (const auto* refusedRead = std::get_if<agreement::ReadRefused>(&aAction)) {
    finishRead(refusedRead->read, ErrorCode::NotLeader, refusedRead->leaderHint);
  } else if (const auto* becameLeader = std::get_if<agreement::BecameLeader>(&aAction)) {
    logEvent(LogLevel::Info, "became_leader", { { "term", std::to_string(becameLeader->term) } });
    stepLeader(fleet::control::BecameLeader{});
    createFleetIfNeeded();
  } else if (const auto* lost = std::get_if<agreement::LostLeadership>(&aAction)) {
    logEvent(LogLevel::Info, "lost_leadership", { { "term", std::to_string(lost->term) } });
    stepLeader(fleet::control::LostLeadership{ mLog.leader() });
  } else if (const auto* snapshot = std::get_if<agreement::RestoreSnapshot>(&aAction)) {
    restore(*snapshot);
  } else if (const auto* take = std::get_if<agreement::TakeSnapshot>(&aAction)) {
    takeSnapshot(take->lastIndex);
  }
}

void ControlDuty::applyEntry(const wire::LogEntry& aEntry)
{
  mAppliedIndex = aEntry.index;
  mReplayCost.add(wire::payloadBytes(aEntry.payload.data));
  requestSnapshotIfDue();
  if (aEntry.kind == wire::EntryKind::Command) {
    applyCommand(aEntry);
  } else {
    mState.skipEntry(aEntry.index);
    stepLeader(fleet::control::Applied{ aEntry.index, {}, false });
    completeProposal(
      aEntry.index, aEntry.term,
      { ErrorCode::NotLeader, "another entry was committed at the index of the proposal", 0 });
  }
  while (!mReadsAtRevision.empty() && mReadsAtRevision.begin()->first <= mAppliedIndex) {
    const ReadCallback callback = std::move(mReadsAtRevision.begin()->second);
    mReadsAtRevision.erase(mReadsAtRevision.begin());
    callback(ErrorCode::None, kNoNode);
  }
}

// The snapshot follows the entries of the backlog, which the log node counts as applied.
void ControlDuty::requestSnapshotIfDue()
{
  if (mReplayCost.isSnapshotDue() && !mIsSnapshotRequested) {
    mIsSnapshotRequested = true;
    stepLog(agreement::SnapshotRequested{});
  }
}

void ControlDuty::takeSnapshot(LogIndex aLastIndex)
{
  writeUnwrittenAudit(); // The records of entries that a snapshot replaces can't be made again.
  std::string bytes = mState.encodeSnapshot();
  mReplayCost.reset(bytes.size());
  mIsSnapshotRequested = false;
  stepLog(agreement::SnapshotTaken{ aLastIndex, std::move(bytes) });
}

void ControlDuty::applyCommand(const wire::LogEntry& aEntry)
{
  const auto command = decodeOrLog(aEntry);
  if (!command) {
    mState.skipEntry(aEntry.index);
    stepLeader(fleet::control::Applied{ aEntry.index, {}, false });
    return;
  }
  fleet::AppliedCommand applied = mState.apply(aEntry.index, *command);
  if (applied.result.code != ErrorCode::None) {
    logEvent(LogLevel::Info, "command_refused",
             { { "issuer", command->issuer },
               { "code", std::string(enumName(applied.result.code)) },
               { "reason", applied.result.message } });
  }
  std::move(applied.audit.begin(), applied.audit.end(), std::back_inserter(mUnwrittenAudit));
  if (mUnwrittenAudit.size() >= kMaxUnwrittenAudit) {
    writeUnwrittenAudit();
  }
  stepLeader(fleet::control::Applied{ aEntry.index, std::move(applied.changes),
                                      fleet::isPlannerCommand(*command) });
  completeProposal(aEntry.index, aEntry.term, applied.result);
}

// Decoding has the same result on every member, so all of them skip an entry that can't be decoded.
std::optional<wire::Command> ControlDuty::decodeOrLog(const wire::LogEntry& aEntry) const
{
  return orElse(
    [&]() -> Result<std::optional<wire::Command>> {
      BOOST_LEAF_AUTO(command, wire::decodePayload(aEntry.payload.data));
      return std::optional<wire::Command>(std::move(command));
    },
    [&](const ErrorInfo& aInfo) -> std::optional<wire::Command> {
      logEvent(LogLevel::Error, "log_entry_decode_failed",
               { { "index", std::to_string(aEntry.index) }, { "reason", aInfo.message } });
      return std::nullopt;
    });
}

void ControlDuty::restore(const agreement::RestoreSnapshot& aAction)
{
  const bool isRestored = orElse(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(mState.restoreSnapshot(aAction.bytes));
      return true;
    },
    [](const ErrorInfo& aInfo) {
      logEvent(LogLevel::Error, "snapshot_unreadable", { { "reason", aInfo.message } });
      return false;
    });
  if (!isRestored) {
    // Members with different states would violate exclusive ownership.
    std::terminate();
  }
  mAppliedIndex = aAction.lastIndex;
  mReplayCost.reset(aAction.bytes.size());
  mIsSnapshotRequested = false;
  stepLeader(fleet::control::Restored{ aAction.lastIndex });
}

void ControlDuty::completeProposal(LogIndex aIndex, Term aTerm, const wire::CommandResult& aResult)
{
  const auto it = mProposals.find(aIndex);
  if (it == mProposals.end()) {
    return;
  }
  const PendingProposal waiting = std::move(it->second);
  mProposals.erase(it);
  if (waiting.term == aTerm) {
    waiting.callback(aResult, mSettings.id);
  } else {
    waiting.callback(
      { ErrorCode::NotLeader, "an entry of another leader replaced the proposal", 0 },
      mLog.leader());
  }
}

void ControlDuty::stepLeader(const fleet::control::Event& aEvent)
{
  for (auto& it : mLeader.step(mNow, aEvent)) {
    perform(it);
  }
}

void ControlDuty::perform(fleet::control::Action& aAction)
{
  if (const auto* start = std::get_if<fleet::control::StartQuorumRound>(&aAction)) {
    requestReadIndex([this, round = start->round](ErrorCode aCode, NodeId /*aHint*/) {
      if (aCode == ErrorCode::None) {
        stepLeader(fleet::control::QuorumRoundDone{ round, mAppliedIndex });
      } else {
        stepLeader(fleet::control::QuorumRoundFailed{ round });
      }
    });
  } else if (auto* reply = std::get_if<fleet::control::Reply>(&aAction)) {
    const auto statuses = mRouter.replyAll(reply->links, reply->message);
    for (std::size_t i = 0; i < statuses.size(); ++i) {
      logIfNotSent("view", reply->links[i], statuses[i]);
    }
  } else if (auto* proposal = std::get_if<fleet::control::Propose>(&aAction)) {
    logLostNodes(proposal->command);
    propose(std::move(proposal->command), [](const wire::CommandResult&, NodeId) {});
  }
}

void ControlDuty::logLostNodes(const wire::Command& aCommand) const
{
  for (const auto& it : aCommand.bodies) {
    if (const auto* lost = std::get_if<wire::NodeLost>(&it)) {
      const wire::Node* node = mState.model().node(lost->node);
      logEvent(LogLevel::Warning, "node_lost",
               { { "node", std::to_string(lost->node) },
                 { "zone", node == nullptr ? "" : node->zone },
                 { "incarnation", std::to_string(lost->incarnation) },
                 { "revision", std::to_string(mState.revision()) } });
    }
  }
}

void ControlDuty::createFleetIfNeeded()
{
  if (mState.model().partitionCount() > 0) {
    return;
  }
  wire::Command command;
  command.issuer = wire::kSystemIssuer;
  command.bodies.emplace_back(wire::CreateFleet{ mSettings.partitionCount });
  propose(std::move(command), [](const wire::CommandResult&, NodeId) {});
}

void ControlDuty::writeAudit(const std::vector<fleet::AuditRecord>& aRecords)
{
  const bool wasPending = mAudit.hasPending();
  if (wasPending ? mNow < mAuditRetryAt : aRecords.empty()) {
    mAudit.addPending(aRecords);
    return;
  }
  mAuditRetryAt = mNow + kAuditRetry;
  orElse(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(mAudit.append(aRecords));
      if (wasPending) {
        logEvent(LogLevel::Info, "audit_write_recovered",
                 { { "dropped", std::to_string(mAudit.droppedRecords()) } });
      }
      return true;
    },
    [&](const ErrorInfo& aInfo) {
      if (!wasPending) {
        logEvent(LogLevel::Error, "audit_write_failed", { { "reason", aInfo.message } });
      }
      return false;
    });
}

void ControlDuty::expirePending()
{
  const auto expire = [this](auto& aWaiting, auto&& aEnd) {
    for (auto it = aWaiting.begin(); it != aWaiting.end();) {
      if (mNow < it->second.deadline) {
        ++it;
        continue;
      }
      auto callback = std::move(it->second.callback);
      it = aWaiting.erase(it);
      aEnd(callback);
    }
  };
  const wire::CommandResult unknown{ ErrorCode::NoQuorum,
                                     "no quorum answered in time; the outcome is unknown", 0 };
  expire(mProposals, [&](const CommandCallback& aEnd) { aEnd(unknown, kNoNode); });
  expire(mForwardedCommands, [&](const CommandCallback& aEnd) { aEnd(unknown, kNoNode); });
  expire(mForwardedReads, [](const ReadCallback& aEnd) { aEnd(ErrorCode::NoQuorum, kNoNode); });
}

} // namespace camphorcleat::daemon
