// Event handlers of the membership client.

#include "fleet/NodeAgent.h"

#include <algorithm>

namespace camphorcleat::fleet {

namespace {

constexpr std::size_t kMaxSentRenewals = 64;
constexpr std::size_t kMaxUnconfirmedRevisions = 64;
constexpr std::size_t kMaxReleasesPerCommand = 4096;
constexpr std::uint32_t kMaxSnapshotParts = 4096;

// The agent tries the next member if one hasn't replied for this many renewal intervals.
constexpr int kMaxUnansweredRenewals = 2;

// Upper limit of the renewal interval while the target is saturated, because queues grow within a
// few hundred ms. It matters only if the interval of the settings is longer.
constexpr Millis kSaturatedRenewInterval{ 200 };

// Delay of the next renewal after "not leader". It is long enough not to flood the members during
// an election.
constexpr Millis kRenewalRetryDelay{ 25 };

// Commands are idempotent, so a command without a reply is sent again.
constexpr Millis kCommandResendInterval{ 400 };
constexpr Millis kCommandRetryDelay{ 50 };
constexpr Millis kMaxCommandBackoff{ 400 };

} // namespace

NodeAgent::NodeAgent(NodeAgentConfig aConfig, std::mt19937_64& aRandom)
  : mConfig(std::move(aConfig))
  , mMembers(mConfig.members)
  , mRandom(aRandom)
  , mIncarnation(newIncarnation(aRandom))
  , mModel(std::make_shared<FleetModel>())
{
  mMemberIndex = static_cast<std::size_t>(mRandom() % mMembers.size());
}

std::vector<agent::Action> NodeAgent::step(TimePoint aNow, const agent::Event& aEvent)
{
  mNow = aNow;
  Actions out;
  std::visit([&](const auto& aBody) { handle(aBody, out); }, aEvent);
  submitNextCommand(out);
  return out;
}

void NodeAgent::handle(const agent::Tick& /*aEvent*/, Actions& aOut)
{
  if (mIsDrained || mNow < mNextRenewal) {
    return;
  }
  if (mNow - mLastReply > kMaxUnansweredRenewals * mConfig.lease.renewInterval) {
    tryNextMember();
  }
  renew(aOut);
}

void NodeAgent::renew(Actions& aOut)
{
  wire::LeaseRenew message;
  message.node = mConfig.id;
  message.incarnation = mIncarnation;
  message.sequence = ++mSequence;
  message.appliedRevision = mRevision;
  message.partitionLoads = mLoad.partitionLoads;
  message.meanRun = mLoad.meanRun;
  message.isSaturated = mLoad.isSaturated;
  if (mSentRenewals.size() >= kMaxSentRenewals) {
    mSentRenewals.pop_front();
  }
  mSentRenewals.push_back({ mSequence, mNow });
  mNextRenewal = mNow + mConfig.lease.renewInterval;
  aOut.emplace_back(agent::Send{ mMembers[mMemberIndex], message });
}

void NodeAgent::tryNextMember()
{
  mLeader = kNoNode;
  mLastReply = mNow;
  mMemberIndex = (mMemberIndex + 1) % mMembers.size();
}

void NodeAgent::handle(const agent::LeaseReplyArrived& aEvent, Actions& aOut)
{
  if (mIsDrained) {
    return; // The leave command ended the lease; a late reply must not extend it.
  }
  const wire::LeaseReply& reply = aEvent.reply;
  const auto it =
    std::find_if(mSentRenewals.begin(), mSentRenewals.end(),
                 [&](const SentRenewal& aRenewal) { return aRenewal.sequence == reply.sequence; });
  if (it == mSentRenewals.end()) {
    return;
  }
  updateMembers(reply.members);
  const TimePoint sentAt = it->sentAt;
  mSentRenewals.erase(mSentRenewals.begin(), std::next(it));
  switch (reply.status) {
    case wire::LeaseStatus::Granted:
    case wire::LeaseStatus::Unregistered:
      mLastReply = mNow;
      mLeader = aEvent.from;
      handleLeaderReply(reply, sentAt, aOut);
      break;
    case wire::LeaseStatus::NotLeader: {
      const auto hint = std::find(mMembers.begin(), mMembers.end(), reply.leaderHint);
      if (hint != mMembers.end() && *hint != aEvent.from) {
        mMemberIndex = static_cast<std::size_t>(hint - mMembers.begin());
      } else {
        tryNextMember();
      }
      mLastReply = mNow;
      mNextRenewal = std::min(mNextRenewal, mNow + kRenewalRetryDelay);
      break;
    }
    case wire::LeaseStatus::Refused:
      mLastReply = mNow;
      startNewIncarnation(aOut);
      break;
  }
}

// The members of the settings stay in the list, after the others, because they may be the only
// reachable ones.
void NodeAgent::updateMembers(const std::vector<NodeId>& aMembers)
{
  if (aMembers.empty()) {
    return;
  }
  const NodeId present = mMembers[mMemberIndex];
  std::vector<NodeId> members = aMembers;
  for (const NodeId it : mConfig.members) {
    if (std::find(members.begin(), members.end(), it) == members.end()) {
      members.push_back(it);
    }
  }
  mMembers = std::move(members);
  const auto it = std::find(mMembers.begin(), mMembers.end(), present);
  mMemberIndex = it == mMembers.end() ? 0 : static_cast<std::size_t>(it - mMembers.begin());
}

void NodeAgent::setSeeds(std::vector<NodeId> aSeeds)
{
  mConfig.members = std::move(aSeeds);
  updateMembers(std::vector<NodeId>(mMembers));
}

bool NodeAgent::isSameTarget(const wire::Node& aNode) const
{
  return aNode.target.process() == mAnnouncement.process();
}

// Returns whether the announced process is leaving, even if only an earlier process of this daemon
// was told so.
bool NodeAgent::isTargetLeaving() const
{
  if (mAnnouncement.instance.empty()) {
    return false;
  }
  const wire::Node* self = mModel->node(mConfig.id);
  const wire::TargetProcess process = mAnnouncement.process();
  return mLeavingTarget == process || (self != nullptr && self->leavingTarget == process);
}

// Continues with the registered incarnation if an earlier process of this daemon registered the
// same process of the target.
void NodeAgent::adoptIncarnation(Actions& aOut)
{
  const wire::Node* self = mModel->node(mConfig.id);
  const bool isRegistered = self != nullptr && self->status != wire::NodeStatus::Lost;
  if (!mConfig.followsTarget || !isRegistered || mHasTargetEnded ||
      mAnnouncement.instance.empty() || !isSameTarget(*self) || self->incarnation == mIncarnation) {
    return;
  }
  mIncarnation = self->incarnation;
  mLeaseValidUntil = TimePoint();
  mSentRenewals.clear();
  mNextRenewal = mNow;
  aOut.emplace_back(agent::ViewChanged{});
}

void NodeAgent::handleLeaderReply(const wire::LeaseReply& aReply, TimePoint aSentAt, Actions& aOut)
{
  if (aReply.status == wire::LeaseStatus::Granted) {
    mLeaseValidUntil = std::max(mLeaseValidUntil, aSentAt + aReply.length);
  }
  if (mUnconfirmedRevisions.size() >= kMaxUnconfirmedRevisions) {
    mUnconfirmedRevisions.pop_front();
  }
  mUnconfirmedRevisions.emplace_back(aReply.committedRevision, aSentAt);
  confirmUpTo(mRevision);
  aOut.emplace_back(agent::ViewChanged{});
}

void NodeAgent::confirmUpTo(Revision aRevision)
{
  if (aRevision == 0) {
    return;
  }
  // Revisions in the queue increase, except if replies of two leaders arrive out of order. Then the
  // lower revision stays in the queue until the higher one ahead of it is applied.
  while (!mUnconfirmedRevisions.empty() && mUnconfirmedRevisions.front().first <= aRevision) {
    mConfirmedAt = std::max(mConfirmedAt, mUnconfirmedRevisions.front().second);
    mUnconfirmedRevisions.pop_front();
  }
}

void NodeAgent::startNewIncarnation(Actions& aOut)
{
  mIncarnation = newIncarnation(mRandom);
  mLeaseValidUntil = TimePoint();
  mSentRenewals.clear();
  mStopping.clear();
  mIdle.clear();
  mHandovers.clear();
  mCommandInFlight.reset();
  aOut.emplace_back(agent::ViewChanged{});
}

void NodeAgent::handle(const agent::UpdateArrived& aEvent, Actions& aOut)
{
  const wire::ViewUpdate& update = aEvent.update;
  // An update that starts after the view's revision would skip changes. One that starts earlier and
  // ends later was sent again; its first changes are already applied.
  if (mRevision == 0 || update.from > mRevision || update.to <= mRevision ||
      update.revisions.size() != update.changes.size()) {
    return;
  }
  const auto firstNew =
    std::upper_bound(update.revisions.begin(), update.revisions.end(), mRevision);
  if (firstNew != update.revisions.end()) {
    auto model = std::make_shared<FleetModel>(*mModel);
    for (auto i = static_cast<std::size_t>(firstNew - update.revisions.begin());
         i < update.changes.size(); ++i) {
      model->apply(update.changes[i]);
    }
    mModel = std::move(model);
  }
  mRevision = update.to;
  handleNewRevision(aOut);
}

void NodeAgent::handle(const agent::SnapshotArrived& aEvent, Actions& aOut)
{
  const wire::ViewSnapshot& part = aEvent.part;
  if (part.revision <= mRevision || part.partCount > kMaxSnapshotParts ||
      part.part >= part.partCount) {
    return;
  }
  if (part.revision != mSnapshotRevision) {
    mSnapshotParts.clear();
    mSnapshotRevision = part.revision;
  }
  mSnapshotParts[part.part] = part.changes;
  if (mSnapshotParts.size() < part.partCount) {
    return;
  }
  auto model = std::make_shared<FleetModel>();
  for (const auto& [number, changes] : mSnapshotParts) {
    for (const auto& it : changes) {
      model->apply(it);
    }
  }
  mSnapshotParts.clear();
  mModel = std::move(model);
  mRevision = part.revision;
  handleNewRevision(aOut);
}

void NodeAgent::handleNewRevision(Actions& aOut)
{
  confirmUpTo(mRevision);
  adoptIncarnation(aOut);
  stopMovingPartitions(aOut);
  aOut.emplace_back(agent::ViewChanged{});
}

void NodeAgent::stopMovingPartitions(Actions& aOut)
{
  for (const auto& service : mModel->grantedServices()) {
    const GrantTable& table = mModel->grants(service);
    for (PartitionId i = 0; i < table.size(); ++i) {
      const wire::PartitionGrant& grant = table[i];
      const bool isMine = grant.owner == mConfig.id && grant.incarnation == mIncarnation;
      if (!isMine || grant.movingTo == kNoNode) {
        continue;
      }
      if (mStopping.insert({ { service, i }, grant.token }).second) {
        aOut.emplace_back(agent::StopPartition{ { service, i }, grant.token });
      }
    }
  }
  // Removes the state of handovers whose grants no longer exist.
  for (auto it = mStopping.begin(); it != mStopping.end();) {
    const wire::PartitionGrant* grant = mModel->grant(it->first.first, it->first.second);
    const bool isHeld = grant != nullptr && grant->owner == mConfig.id &&
                        grant->incarnation == mIncarnation && grant->token == it->second;
    if (!isHeld) {
      mIdle.erase(it->first);
      mHandovers.erase(it->first);
    }
    it = isHeld ? std::next(it) : mStopping.erase(it);
  }
}

void NodeAgent::handle(const agent::PartitionIdle& aEvent, Actions& /*aOut*/)
{
  if (mStopping.count({ aEvent.partition, aEvent.token }) > 0) {
    mIdle[aEvent.partition] = aEvent.token;
    mHandovers[aEvent.partition] = aEvent.handover;
  }
}

void NodeAgent::handle(const agent::TargetChanged& aEvent, Actions& aOut)
{
  const bool isOtherProcess =
    mConfig.followsTarget && !aEvent.announcement.instance.empty() &&
    (aEvent.announcement.instance != mAnnouncement.instance ||
     aEvent.announcement.startedAtUnixMillis != mAnnouncement.startedAtUnixMillis);
  mTargetAcceptsRequests = aEvent.acceptsRequests;
  mHasTargetEnded = aEvent.hasEnded;
  if (aEvent.acceptsRequests || isOtherProcess) {
    const bool isFirst = mAnnouncement.instance.empty();
    mAnnouncement = aEvent.announcement;
    if (isOtherProcess && !isFirst) {
      startNewIncarnation(aOut);
    }
    adoptIncarnation(aOut);
  }
}

void NodeAgent::handle(const agent::TargetLeaving& aEvent, Actions& /*aOut*/)
{
  mLeavingTarget = aEvent.process;
}

void NodeAgent::handle(const agent::LoadMeasured& aEvent, Actions& /*aOut*/)
{
  mLoad = aEvent;
  if (mLoad.isSaturated) {
    const TimePoint lastRenewal = mNextRenewal - mConfig.lease.renewInterval;
    mNextRenewal = std::min(mNextRenewal, lastRenewal + kSaturatedRenewInterval);
  }
}

// The clock didn't advance during the suspension, so the send times of renewals and the end of the
// lease are moved back.
void NodeAgent::handle(const agent::WasSuspended& aEvent, Actions& aOut)
{
  for (auto& it : mSentRenewals) {
    it.sentAt -= aEvent.time;
  }
  mLeaseValidUntil -= std::min(aEvent.time, mLeaseValidUntil.time_since_epoch());
  mNextRenewal = mNow;
  aOut.emplace_back(agent::ViewChanged{});
}

void NodeAgent::handle(const agent::DrainRequested& /*aEvent*/, Actions& /*aOut*/)
{
  mIsDraining = true;
}

void NodeAgent::handle(const agent::ReplyArrived& aEvent, Actions& aOut)
{
  if (!mCommandInFlight || aEvent.reply.id != *mCommandInFlight) {
    return;
  }
  mCommandInFlight.reset();
  mNextCommandAt = mNow;
  switch (aEvent.reply.result.code) {
    case ErrorCode::None:
      mCommandBackoff = kCommandRetryDelay;
      removeReleased();
      break;
    case ErrorCode::IncarnationRefused: {
      // Either the lease of the old incarnation is still valid, or this incarnation was declared
      // lost.
      const wire::Node* self = mModel->node(mConfig.id);
      if (self != nullptr && self->incarnation == mIncarnation &&
          self->status == wire::NodeStatus::Lost) {
        startNewIncarnation(aOut);
      }
      delayNextCommand();
      break;
    }
    default:
      delayNextCommand();
      break;
  }
}

// Removes the partitions that the command in flight has released. The view will show it later.
void NodeAgent::removeReleased()
{
  if (!mReleaseInFlight) {
    return;
  }
  for (const auto& it : mReleaseInFlight->grants) {
    const auto idle = mIdle.find({ mReleaseInFlight->service, it.partition });
    if (idle != mIdle.end() && idle->second == it.token) {
      mHandovers.erase(idle->first);
      mIdle.erase(idle);
    }
  }
}

// Backs off exponentially, because each refusal adds an entry to the log and the audit trail.
void NodeAgent::delayNextCommand()
{
  mNextCommandAt = mNow + mCommandBackoff;
  mCommandBackoff = std::min(2 * mCommandBackoff, kMaxCommandBackoff);
}

wire::Node NodeAgent::selfAsNode() const
{
  wire::Node node;
  node.id = mConfig.id;
  node.incarnation = mIncarnation;
  node.zone = mConfig.zone;
  node.peerAddress = mConfig.peerAddress;
  node.hasTarget = mConfig.hasTarget;
  node.target = mAnnouncement;
  if (mIsDraining) {
    node.status = wire::NodeStatus::Draining;
  } else if (mConfig.hasTarget && (!mTargetAcceptsRequests || isTargetLeaving())) {
    node.status = wire::NodeStatus::TargetDown;
  }
  return node;
}

bool NodeAgent::isRegistrationCurrent(const wire::Node& aNode) const
{
  const wire::Announcement& target = aNode.target;
  return aNode.incarnation == mIncarnation && aNode.status != wire::NodeStatus::Lost &&
         aNode.zone == mConfig.zone && aNode.peerAddress == mConfig.peerAddress &&
         target.service == mAnnouncement.service && target.slots == mAnnouncement.slots &&
         target.coldSlots == mAnnouncement.coldSlots && target.warmUp == mAnnouncement.warmUp &&
         target.checksGrants == mAnnouncement.checksGrants && isSameTarget(aNode);
}

bool NodeAgent::ownsAnything() const
{
  for (const auto& service : mModel->grantedServices()) {
    for (const auto& grant : mModel->grants(service)) {
      if (grant.owner == mConfig.id && grant.incarnation == mIncarnation) {
        return true;
      }
    }
  }
  return false;
}

// Whether another node can take at least one of the partitions that this node owns.
bool NodeAgent::hasNextOwner() const
{
  std::set<std::string> owned;
  for (const auto& service : mModel->grantedServices()) {
    const auto& grants = mModel->grants(service);
    const bool isOwner = std::any_of(grants.begin(), grants.end(), [&](const auto& aGrant) {
      return aGrant.owner == mConfig.id && aGrant.incarnation == mIncarnation;
    });
    if (isOwner) {
      owned.insert(service);
    }
  }
  const auto& nodes = mModel->nodes();
  return std::any_of(nodes.begin(), nodes.end(), [&](const auto& aItem) {
    const wire::Node& it = aItem.second;
    const bool isAble =
      owned.count(kAccountService) > 0 || (it.hasTarget && owned.count(it.target.service) > 0);
    return it.id != mConfig.id && it.status == wire::NodeStatus::Serving && isAble;
  });
}

std::optional<wire::CommandBody> NodeAgent::nextCommand() const
{
  const wire::Node* self = mModel->node(mConfig.id);
  const wire::Node wanted = selfAsNode();
  const bool isAnnounced = !mConfig.hasTarget || !mAnnouncement.service.empty();
  if (mRevision == 0) {
    return std::nullopt;
  }
  if (mLeavingTarget && self != nullptr && !self->hasLeft(*mLeavingTarget)) {
    return wire::SetTargetLeaving{ mConfig.id, *mLeavingTarget };
  }
  if (!isAnnounced) {
    return std::nullopt;
  }
  if (mHasTargetEnded) {
    const bool isListed =
      self != nullptr && self->status != wire::NodeStatus::Lost && isSameTarget(*self);
    return isListed
             ? std::optional<wire::CommandBody>(wire::NodeLost{ mConfig.id, self->incarnation })
             : std::nullopt;
  }
  if (self == nullptr || !isRegistrationCurrent(*self)) {
    wire::RegisterNode registration{ wanted };
    // Two processes can't have the same address, so the earlier target process must have ended.
    const bool isReplaced = mConfig.followsTarget && self != nullptr && !isSameTarget(*self) &&
                            self->target.startedAtUnixMillis < mAnnouncement.startedAtUnixMillis;
    registration.endedIncarnation = isReplaced ? self->incarnation : 0;
    return registration;
  }
  if (self->status != wanted.status) {
    return wire::SetNodeStatus{ mConfig.id, mIncarnation, wanted.status };
  }
  if (mIdle.empty()) {
    return std::nullopt;
  }
  wire::ReleasePartitions release;
  release.service = mIdle.begin()->first.first;
  release.node = mConfig.id;
  release.incarnation = mIncarnation;
  for (const auto& [partition, token] : mIdle) {
    if (partition.first != release.service || release.grants.size() >= kMaxReleasesPerCommand) {
      break;
    }
    const auto handover = mHandovers.find(partition);
    release.grants.push_back(
      { partition.second, token, handover == mHandovers.end() ? "" : handover->second });
  }
  return release;
}

void NodeAgent::submitNextCommand(Actions& aOut)
{
  if (mIsDrained) {
    return;
  }
  const wire::Node* self = mModel->node(mConfig.id);
  const bool isRegistered = self != nullptr && self->incarnation == mIncarnation;
  const bool isKnownToDrain = isRegistered && self->status == wire::NodeStatus::Draining;
  if (mIsDraining && (!isRegistered || isKnownToDrain) && !ownsAnything()) {
    mIsDrained = true;
    wire::CommandSubmit departure;
    departure.id = { mIncarnation, ++mCommandCounter };
    departure.command.issuer = wire::kSystemIssuer;
    departure.command.bodies = { wire::NodeLost{ mConfig.id, mIncarnation } };
    mLeaseValidUntil = TimePoint();
    aOut.emplace_back(agent::Send{ mMembers[mMemberIndex], departure });
    aOut.emplace_back(agent::ViewChanged{});
    aOut.emplace_back(agent::Drained{});
    return;
  }
  if (mIsDraining && isKnownToDrain && !mIsStopReported && ownsAnything() && !hasNextOwner()) {
    // The partitions stay here until the lease ends, so requests that are still open are finished.
    mIsStopReported = true;
    aOut.emplace_back(agent::Drained{});
  }
  if (mNow < mNextCommandAt ||
      (mCommandInFlight && mNow - mCommandSentAt < kCommandResendInterval)) {
    return;
  }
  auto body = nextCommand();
  if (!body) {
    return;
  }
  wire::CommandSubmit submit;
  submit.id = { mIncarnation, ++mCommandCounter };
  submit.command.issuer = wire::kSystemIssuer;
  const auto* release = std::get_if<wire::ReleasePartitions>(&*body);
  mReleaseInFlight = release == nullptr ? std::nullopt : std::make_optional(*release);
  submit.command.bodies.push_back(std::move(*body));
  mCommandInFlight = submit.id;
  mCommandSentAt = mNow;
  // The reply arrives before the change reaches the view. The delay lets the view advance first, so
  // that the command isn't sent again.
  mNextCommandAt = mNow + kCommandRetryDelay;
  aOut.emplace_back(agent::Send{ mMembers[mMemberIndex], std::move(submit) });
}

} // namespace camphorcleat::fleet
