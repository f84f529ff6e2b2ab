// The daemon's membership client: registration, the lease, the view of the fleet and handovers.
//
// The agent renews one lease with the control leader, applies the fleet's changes in order, and
// determines until when the daemon may serve. It uses no wall clock: a lease starts when its
// renewal is sent, on the monotonic clock passed to step().

#ifndef CAMPHORCLEAT_FLEET_NODEAGENT_H_
#define CAMPHORCLEAT_FLEET_NODEAGENT_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "fleet/FleetModel.h"
#include "fleet/LeaseSettings.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::fleet {

struct NodeAgentConfig
{
  NodeId id = kNoNode;
  std::string zone;
  std::string peerAddress;
  bool hasTarget = false;
  std::vector<NodeId> members; ///< Control members, at least one.
  LeaseSettings lease;
  /// Grants belong to the target's process: a daemon that restarts while that process keeps running
  /// continues with the registered incarnation. Only for targets that refuse work without a valid
  /// grant.
  bool followsTarget = false;
};

/// A partition of a service.
using ServicePartition = std::pair<std::string, PartitionId>;

namespace agent {

// Events.
/// Time has passed. Renewals are sent only on this event.
struct Tick
{};
struct LeaseReplyArrived
{
  NodeId from = kNoNode;
  wire::LeaseReply reply;
};
struct UpdateArrived
{
  wire::ViewUpdate update;
};
struct SnapshotArrived
{
  wire::ViewSnapshot part;
};
/// The reply to a command that the agent submitted.
struct ReplyArrived
{
  wire::CommandReply reply;
};
/// The latest announcement of the daemon's target, and whether new requests may be sent to it.
struct TargetChanged
{
  bool acceptsRequests = false; ///< False if it is unreachable or draining, or has ended.
  wire::Announcement announcement;
  bool hasEnded = false; ///< Its process has ended, and with it all its grants.
};
/// A process of the target has said that it is leaving. The agent has it recorded in the fleet's
/// state, which outlives this daemon's process.
struct TargetLeaving
{
  wire::TargetProcess process;
};
/// All work on a partition that is being handed over has ended.
struct PartitionIdle
{
  ServicePartition partition;
  FencingToken token = 0;
  std::string handover{}; ///< Data from the target for the next owner.
};
/// The VM was suspended for this time, which the clock passed to step() doesn't include.
struct WasSuspended
{
  Duration time{ 0 };
};
/// The owner's load measurements since the last event of this kind. They only influence placement.
struct LoadMeasured
{
  std::vector<wire::PartitionLoad> partitionLoads;
  Micros meanRun{ 0 };
  /// More requests are queued than run at once. The lease is renewed earlier then.
  bool isSaturated = false;
};
/// A planned stop was requested: hand all partitions over, then leave the fleet.
struct DrainRequested
{};

using Event =
  std::variant<Tick, LeaseReplyArrived, UpdateArrived, SnapshotArrived, ReplyArrived, TargetChanged,
               TargetLeaving, PartitionIdle, LoadMeasured, WasSuspended, DrainRequested>;

// Actions.
struct Send
{
  NodeId to = kNoNode;
  wire::PeerMessage message;
};
/// The model, the revision, the lease or the incarnation changed.
struct ViewChanged
{};
/// The partition must be handed over: start no new work on it, and send PartitionIdle when the
/// work in progress has ended.
struct StopPartition
{
  ServicePartition partition;
  FencingToken token = 0;
};
/// All partitions are handed over, or no node can take the rest. The process may exit when no
/// request is open.
struct Drained
{};

using Action = std::variant<Send, ViewChanged, StopPartition, Drained>;

} // namespace agent

/// Stores the model, at most 64 renewals and one command in flight. Not thread-safe.
class NodeAgent
{
public:
  /// aRandom must outlive the agent.
  NodeAgent(NodeAgentConfig aConfig, std::mt19937_64& aRandom);

  /// Handles one event. aNow must not decrease between calls.
  std::vector<agent::Action> step(TimePoint aNow, const agent::Event& aEvent);

  /// Replaces the control members of the settings. Members learned from replies are kept. aSeeds
  /// must not be empty.
  void setSeeds(std::vector<NodeId> aSeeds);

  /// Returns the view as of revision(). The returned model is immutable, so it may be passed to
  /// other threads. It shares unchanged objects with earlier ones.
  std::shared_ptr<const FleetModel> model() const { return mModel; }
  Revision revision() const { return mRevision; }
  Incarnation incarnation() const { return mIncarnation; }

  /// Returns the time before which the lease is valid, or the epoch if there is no lease.
  TimePoint leaseValidUntil() const { return mLeaseValidUntil; }

  /// Returns the latest time at which a quorum of the control members confirmed that the view was
  /// current.
  TimePoint confirmedAt() const { return mConfirmedAt; }

  /// Returns the control member that last replied as leader, or kNoNode.
  NodeId leader() const { return mLeader; }

private:
  using Actions = std::vector<agent::Action>;
  struct SentRenewal
  {
    std::uint64_t sequence = 0;
    TimePoint sentAt;
  };

  void handle(const agent::Tick& aEvent, Actions& aOut);
  void handle(const agent::LeaseReplyArrived& aEvent, Actions& aOut);
  void handle(const agent::UpdateArrived& aEvent, Actions& aOut);
  void handle(const agent::SnapshotArrived& aEvent, Actions& aOut);
  void handle(const agent::ReplyArrived& aEvent, Actions& aOut);
  void handle(const agent::TargetChanged& aEvent, Actions& aOut);
  void handle(const agent::TargetLeaving& aEvent, Actions& aOut);
  void handle(const agent::PartitionIdle& aEvent, Actions& aOut);
  void handle(const agent::LoadMeasured& aEvent, Actions& aOut);
  void handle(const agent::WasSuspended& aEvent, Actions& aOut);
  void handle(const agent::DrainRequested& aEvent, Actions& aOut);

  void renew(Actions& aOut);
  void tryNextMember();
  void handleLeaderReply(const wire::LeaseReply& aReply, TimePoint aSentAt, Actions& aOut);
  void startNewIncarnation(Actions& aOut);
  void updateMembers(const std::vector<NodeId>& aMembers);
  bool isSameTarget(const wire::Node& aNode) const;
  bool isTargetLeaving() const;
  void adoptIncarnation(Actions& aOut);
  void handleNewRevision(Actions& aOut);
  void confirmUpTo(Revision aRevision);
  void stopMovingPartitions(Actions& aOut);
  bool ownsAnything() const;
  bool hasNextOwner() const;

  std::optional<wire::CommandBody> nextCommand() const;
  wire::Node selfAsNode() const;
  bool isRegistrationCurrent(const wire::Node& aNode) const;
  void submitNextCommand(Actions& aOut);
  void delayNextCommand();
  void removeReleased();

  NodeAgentConfig mConfig;
  std::vector<NodeId> mMembers; ///< Members from the latest reply, then those of the settings.
  std::mt19937_64& mRandom;
  TimePoint mNow;
  Incarnation mIncarnation = 0;

  // Lease renewals, and the lease that they result in.
  std::size_t mMemberIndex = 0;
  NodeId mLeader = kNoNode;
  std::uint64_t mSequence = 0;
  std::deque<SentRenewal> mSentRenewals;
  TimePoint mNextRenewal;
  TimePoint mLastReply;
  TimePoint mLeaseValidUntil;
  TimePoint mConfirmedAt;
  std::deque<std::pair<Revision, TimePoint>>
    mUnconfirmedRevisions; // Committed revisions that the view doesn't have yet, and when the
                           // renewals were sent whose replies contained them.

  agent::LoadMeasured mLoad;

  // The view of the fleet, and the parts of a snapshot that is not complete yet.
  std::shared_ptr<const FleetModel> mModel;
  Revision mRevision = 0;
  Revision mSnapshotRevision = 0;
  std::map<std::uint32_t, std::vector<wire::Change>> mSnapshotParts;

  // Registration of this daemon, handover of its partitions, and the command in flight.
  bool mTargetAcceptsRequests = false;
  bool mHasTargetEnded = false;
  wire::Announcement mAnnouncement;
  std::optional<wire::TargetProcess> mLeavingTarget;
  bool mIsDraining = false;
  bool mIsDrained = false;
  bool mIsStopReported = false; // Drained was sent although no node can take the partitions.
  std::set<std::pair<ServicePartition, FencingToken>> mStopping; ///< Partitions being handed over.
  std::map<ServicePartition, FencingToken> mIdle;     ///< Those of mStopping whose work has ended.
  std::map<ServicePartition, std::string> mHandovers; ///< Handover data of those in mIdle.
  std::uint64_t mCommandCounter = 0;
  std::optional<RequestId> mCommandInFlight;
  std::optional<wire::ReleasePartitions> mReleaseInFlight; // The command in flight, if it is one.
  TimePoint mCommandSentAt;
  TimePoint mNextCommandAt;
  Millis mCommandBackoff{ 50 };
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_NODEAGENT_H_
