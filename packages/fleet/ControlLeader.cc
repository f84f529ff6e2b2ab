// Event handlers of the control leader.

#include "fleet/ControlLeader.h"

#include <algorithm>
#include <utility>

namespace camphorcleat::fleet {

namespace {

constexpr std::size_t kMaxWaitingRenewals = 8192;

// Limit of the view messages per second. The minimum interval between two batches of changes, each
// of which is a message for every node, follows from it: 40 ms for 80 nodes. The first change after
// a pause is sent at once.
constexpr std::size_t kMaxViewMessagesPerSecond = 2000;
constexpr Millis kMinBatchInterval{ 5 };
constexpr Millis kMaxBatchInterval{ 100 };

// A view message may be lost when its connection closes or a queue is full. Changes are sent again
// to a daemon whose applied revision hasn't advanced for this time and for two renewals, since only
// a renewal reports the revision.
constexpr Millis kMinResendInterval{ 500 };
constexpr int kResendRenewals = 2;

// Maximum interval between plans. The commands of a plan may be dropped because a queue is full.
// Proposing them again is safe, because each body is checked against the state when it is applied.
constexpr Millis kReplanInterval{ 500 };

// Minimum interval between plans while a target is saturated.
constexpr Millis kSaturatedPlanInterval{ 150 };

} // namespace

bool isPlannerCommand(const wire::Command& aCommand)
{
  return aCommand.issuer == wire::kSystemIssuer && aCommand.bodies.size() == 1 &&
         (std::holds_alternative<wire::AssignPartitions>(aCommand.bodies[0]) ||
          std::holds_alternative<wire::BeginPartitionMove>(aCommand.bodies[0]));
}

ControlLeader::ControlLeader(LeaseSettings aSettings, const FleetModel& aModel,
                             std::unique_ptr<Planner> aPlanner)
  : mSettings(aSettings)
  , mModel(aModel)
  , mPlanner(std::move(aPlanner))
  , mLeases(aSettings)
{
}

std::vector<control::Action> ControlLeader::step(TimePoint aNow, const control::Event& aEvent)
{
  mNow = aNow;
  Actions out;
  std::visit([&](const auto& aBody) { handle(aBody, out); }, aEvent);
  return out;
}

Revision ControlLeader::appliedRevision(NodeId aNode) const
{
  const auto it = mSessions.find(aNode);
  return it == mSessions.end() ? 0 : it->second.applied;
}

void ControlLeader::handle(const control::BecameLeader& /*aEvent*/, Actions& aOut)
{
  mIsLeading = true;
  mLeaderHint = kNoNode;
  mPlanOutstanding = 0;
  mPlannedRevision = 0;
  mLeases.startTerm(mNow, mModel);
  startRoundIfNeeded(aOut);
}

void ControlLeader::handle(const control::LostLeadership& aEvent, Actions& aOut)
{
  mIsLeading = false;
  mLeaderHint = aEvent.leaderHint;
  refuseWaiting(aOut);
  mSessions.clear();
}

void ControlLeader::handle(const control::RenewArrived& aEvent, Actions& aOut)
{
  const WaitingRenewal renewal{ aEvent.link, aEvent.renew };
  if (!mIsLeading || mNextRound.size() >= kMaxWaitingRenewals) {
    replyToRenewal(renewal, wire::LeaseStatus::NotLeader, 0, aOut);
    return;
  }
  mLeases.recordRenewal(mNow, mModel, aEvent.renew);
  Session& session = mSessions[aEvent.renew.node];
  const bool isOtherLink = session.link != aEvent.link;
  const Duration resendInterval =
    std::max<Duration>(kMinResendInterval, kResendRenewals * mSettings.renewInterval);
  const bool isOverdue =
    aEvent.renew.appliedRevision < session.sent && mNow - session.sentAt > resendInterval;
  if (aEvent.renew.appliedRevision > session.applied) {
    session.sentAt = mNow;
  }
  session.link = aEvent.link;
  session.applied = aEvent.renew.appliedRevision;
  session.load.requestsPerSecond = aEvent.renew.loadRequestsPerSecond;
  session.load.partitionLoads = aEvent.renew.partitionLoads;
  session.load.meanRun = aEvent.renew.meanRun;
  session.load.isSaturated = aEvent.renew.isSaturated;
  mHasSaturatedTarget = mHasSaturatedTarget || aEvent.renew.isSaturated;
  if (isOtherLink || isOverdue || session.sent < session.applied) {
    session.sent = session.applied;
  }
  mHasUnsentChanges = mHasUnsentChanges || session.sent < mHistory.revision();
  sendChangesIfDue(aOut);
  mNextRound.push_back(renewal);
  startRoundIfNeeded(aOut);
}

void ControlLeader::handle(const control::QuorumRoundDone& aEvent, Actions& aOut)
{
  if (!mIsRoundRunning || aEvent.round != mRoundCounter) {
    return;
  }
  mIsRoundRunning = false;
  for (const auto& it : std::exchange(mRunningRound, {})) {
    // The status is checked again, because the incarnation may have been declared lost during the
    // round.
    const auto status = mLeases.status(mModel, it.renew.node, it.renew.incarnation);
    replyToRenewal(it, status, aEvent.committed, aOut);
  }
  startRoundIfNeeded(aOut);
}

void ControlLeader::handle(const control::QuorumRoundFailed& aEvent, Actions& aOut)
{
  if (!mIsRoundRunning || aEvent.round != mRoundCounter) {
    return;
  }
  mIsRoundRunning = false;
  for (const auto& it : std::exchange(mRunningRound, {})) {
    replyToRenewal(it, wire::LeaseStatus::NotLeader, 0, aOut);
  }
  startRoundIfNeeded(aOut);
}

void ControlLeader::handle(const control::Applied& aEvent, Actions& aOut)
{
  mHistory.add(aEvent.revision, aEvent.changes);
  if (!mIsLeading) {
    return;
  }
  for (const auto& it : aEvent.changes) {
    if (const auto* set = std::get_if<wire::NodeSet>(&it)) {
      mLeases.updateNode(mNow, set->node);
    }
  }
  if (aEvent.isFromPlanner && mPlanOutstanding > 0) {
    --mPlanOutstanding;
  }
  if (!aEvent.changes.empty()) {
    mHasUnsentChanges = true;
    sendChangesIfDue(aOut);
    proposePlan(aOut);
  }
}

void ControlLeader::handle(const control::Restored& aEvent, Actions& /*aOut*/)
{
  mHistory.reset(aEvent.revision);
}

void ControlLeader::handle(const control::LinkClosed& aEvent, Actions& /*aOut*/)
{
  for (auto it = mSessions.begin(); it != mSessions.end();) {
    it = it->second.link == aEvent.link ? mSessions.erase(it) : std::next(it);
  }
}

void ControlLeader::handle(const control::Tick& /*aEvent*/, Actions& aOut)
{
  if (!mIsLeading) {
    return;
  }
  sendChangesIfDue(aOut);
  proposeLosses(aOut);
  proposePlan(aOut);
}

void ControlLeader::replyToRenewal(const WaitingRenewal& aRenewal, wire::LeaseStatus aStatus,
                                   Revision aCommitted, Actions& aOut) const
{
  wire::LeaseReply message;
  message.sequence = aRenewal.renew.sequence;
  message.status = aStatus;
  message.leaderHint = mLeaderHint;
  message.length = mSettings.length;
  message.committedRevision = aCommitted;
  message.members = mMembers;
  aOut.emplace_back(control::Reply{ { aRenewal.link }, message });
}

void ControlLeader::refuseWaiting(Actions& aOut)
{
  mIsRoundRunning = false;
  for (auto* list : { &mRunningRound, &mNextRound }) {
    for (const auto& it : std::exchange(*list, {})) {
      replyToRenewal(it, wire::LeaseStatus::NotLeader, 0, aOut);
    }
  }
}

void ControlLeader::startRoundIfNeeded(Actions& aOut)
{
  if (!mIsLeading || mIsRoundRunning || mNextRound.empty()) {
    return;
  }
  mIsRoundRunning = true;
  mRunningRound = std::exchange(mNextRound, {});
  aOut.emplace_back(control::StartQuorumRound{ ++mRoundCounter });
}

void ControlLeader::sendChangesIfDue(Actions& aOut)
{
  if (!mHasUnsentChanges || mNow < mNextSendAt) {
    return;
  }
  mHasUnsentChanges = false;
  const Millis interval(1000 * mSessions.size() / kMaxViewMessagesPerSecond);
  mNextSendAt = mNow + std::clamp(interval, kMinBatchInterval, kMaxBatchInterval);
  sendMissingChanges(aOut);
}

void ControlLeader::sendMissingChanges(Actions& aOut)
{
  std::map<Revision, std::vector<LinkNumber>> links; // By the revision that was sent last.
  for (auto& [id, session] : mSessions) {
    if (session.sent >= mHistory.revision()) {
      continue;
    }
    // The resend interval starts with the first change that the daemon lacks. If each change
    // restarted it, a daemon that lost a message would get no update that it can apply while
    // changes continue.
    if (session.sent <= session.applied) {
      session.sentAt = mNow;
    }
    links[session.sent].push_back(session.link);
    session.sent = mHistory.revision();
  }
  std::vector<LinkNumber> needSnapshot;
  for (auto& [from, receivers] : links) {
    if (auto update = mHistory.updateSince(from)) {
      aOut.emplace_back(control::Reply{ std::move(receivers), std::move(*update) });
    } else {
      needSnapshot.insert(needSnapshot.end(), receivers.begin(), receivers.end());
    }
  }
  sendSnapshot(needSnapshot, aOut);
}

void ControlLeader::sendSnapshot(const std::vector<LinkNumber>& aLinks, Actions& aOut) const
{
  if (aLinks.empty()) {
    return;
  }
  for (auto& part : snapshotParts(mModel, mHistory.revision())) {
    aOut.emplace_back(control::Reply{ aLinks, std::move(part) });
  }
}

void ControlLeader::proposeLosses(Actions& aOut)
{
  for (const auto& it : mLeases.takeExpired(mNow, mModel)) {
    wire::Command command;
    command.issuer = wire::kSystemIssuer;
    command.bodies.emplace_back(it);
    aOut.emplace_back(control::Propose{ std::move(command) });
  }
}

void ControlLeader::proposePlan(Actions& aOut)
{
  const bool isLate = mNow - mPlanProposedAt >= kReplanInterval;
  if (mPlanOutstanding > 0 && !isLate) {
    return;
  }
  // A plan takes about 2 ms for 470 nodes, which is too much to do in every tick.
  const bool isDue = mNextPlanAt && *mNextPlanAt <= mNow;
  const bool isUrgent = mHasSaturatedTarget && mNow - mPlanProposedAt >= kSaturatedPlanInterval;
  if (mPlannedRevision == mHistory.revision() && !isDue && !isLate && !isUrgent) {
    return;
  }
  mHasSaturatedTarget = false;
  mPlannedRevision = mHistory.revision();
  std::map<NodeId, NodeLoad> loads;
  for (const auto& [id, session] : mSessions) {
    loads[id] = session.load;
  }
  // Each body is a command of its own, because a command is refused as a whole if one body is no
  // longer valid.
  std::vector<wire::CommandBody> bodies = mPlanner->plan(mNow, mModel, loads);
  mNextPlanAt = mPlanner->nextDeadline(mNow);
  mPlanOutstanding = bodies.size();
  mPlanProposedAt = mNow;
  for (auto& it : bodies) {
    wire::Command command;
    command.issuer = wire::kSystemIssuer;
    command.bodies.push_back(std::move(it));
    aOut.emplace_back(control::Propose{ std::move(command) });
  }
}

} // namespace camphorcleat::fleet
