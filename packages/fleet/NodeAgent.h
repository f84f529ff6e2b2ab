// A daemon's side of membership: registration, the lease, the view of the fleet and hand-overs.
//
// The agent renews one lease with the control leader, follows the fleet's changes in order, and
// says when the daemon may serve. It never trusts a wall clock: a lease counts from the moment its
// renewal was sent, on the monotonic clock passed to step().

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
  /// The grants belong to the target's process and not to the daemon's: a daemon that starts again
  /// beside the same process goes on under the incarnation that is registered. Only for targets
  /// that refuse work without a live grant.
  bool followsTarget = false;
};

/// A partition of a service.
using ServicePartition = std::pair<std::string, PartitionId>;

namespace agent {

// Events.
struct Tick
{};
struct AnswerArrived
{
  NodeId from = kNoNode;
  wire::LeaseAnswer answer;
};
struct UpdateArrived
{
  wire::ViewUpdate update;
};
struct SnapshotArrived
{
  wire::ViewSnapshot part;
};
struct ReplyArrived
{
  wire::CommandReply reply;
};
/// What the target beside the daemon last said, or that it can't be reached.
struct TargetChanged
{
  bool isReachable = false;
  wire::Announcement announcement;
  bool hasEnded = false; ///< Its process is known to be gone, and its grants with it.
};
/// All work on a partition that is being handed over has ended.
struct PartitionIdle
{
  ServicePartition partition;
  FencingToken token = 0;
  std::string handover{}; ///< What the target gave for the next owner.
};
/// The VM was suspended for this time, which the clock passed to step() doesn't count.
struct WasSuspended
{
  Duration time{ 0 };
};
/// What the owner measured since the last one; a hint for the placement.
struct LoadMeasured
{
  std::vector<wire::PartitionLoad> partitionLoads;
  Micros meanRun{ 0 };
  bool isCrowded = false; ///< More requests wait than run at once; the leader hears of it soon.
};
/// A planned stop: hand everything over, then leave.
struct DrainRequested
{};

using Event =
  std::variant<Tick, AnswerArrived, UpdateArrived, SnapshotArrived, ReplyArrived, TargetChanged,
               PartitionIdle, LoadMeasured, WasSuspended, DrainRequested>;

// Actions.
struct Send
{
  NodeId to = kNoNode;
  wire::PeerMessage message;
};
/// The model, the revision, the lease or the incarnation changed.
struct ViewChanged
{};
/// The partition is to be handed over: start no new work on it and say PartitionIdle when the rest
/// has ended.
struct StopPartition
{
  ServicePartition partition;
  FencingToken token = 0;
};
/// Everything is handed over; the process may exit.
struct Drained
{};

using Action = std::variant<Send, ViewChanged, StopPartition, Drained>;

} // namespace agent

/// Memory: the model, at most 64 renewals and one command in flight. Not thread-safe.
class NodeAgent
{
public:
  /// aRandom outlives the agent.
  NodeAgent(NodeAgentConfig aConfig, std::mt19937_64& aRandom);

  /// Handles one event. Time never goes back between calls.
  std::vector<agent::Action> step(TimePoint aNow, const agent::Event& aEvent);

  /// Replaces the control members of the settings. Those that answers named stay. Not empty.
  void setSeeds(std::vector<NodeId> aSeeds);

  /// The view as of revision(). Unchanged objects are shared with earlier results, and a result
  /// never changes, so it may be passed to other threads.
  std::shared_ptr<const FleetModel> model() const { return mModel; }
  Revision revision() const { return mRevision; }
  Incarnation incarnation() const { return mIncarnation; }

  /// The lease holds for moments before this one. The epoch means that there is none.
  TimePoint leaseValidUntil() const { return mLeaseValidUntil; }

  /// The view was current at this moment, by a quorum of the control members.
  TimePoint confirmedAt() const { return mConfirmedAt; }

  /// The member that last answered as leader, or kNoNode.
  NodeId leader() const { return mLeader; }

private:
  using Actions = std::vector<agent::Action>;
  struct SentRenewal
  {
    std::uint64_t sequence = 0;
    TimePoint sentAt;
  };

  void handle(const agent::Tick& aEvent, Actions& aOut);
  void handle(const agent::AnswerArrived& aEvent, Actions& aOut);
  void handle(const agent::UpdateArrived& aEvent, Actions& aOut);
  void handle(const agent::SnapshotArrived& aEvent, Actions& aOut);
  void handle(const agent::ReplyArrived& aEvent, Actions& aOut);
  void handle(const agent::TargetChanged& aEvent, Actions& aOut);
  void handle(const agent::PartitionIdle& aEvent, Actions& aOut);
  void handle(const agent::LoadMeasured& aEvent, Actions& aOut);
  void handle(const agent::WasSuspended& aEvent, Actions& aOut);
  void handle(const agent::DrainRequested& aEvent, Actions& aOut);

  void renew(Actions& aOut);
  void tryNextMember();
  void handleGrant(const wire::LeaseAnswer& aAnswer, TimePoint aSentAt, Actions& aOut);
  void startNewIncarnation(Actions& aOut);
  void updateMembers(const std::vector<NodeId>& aMembers);
  bool isSameTarget(const wire::Node& aNode) const;
  void adoptIncarnation(Actions& aOut);
  void handleNewRevision(Actions& aOut);
  void confirmUpTo(Revision aRevision);
  void stopMovingPartitions(Actions& aOut);
  bool ownsAnything() const;

  std::optional<wire::CommandBody> nextCommand() const;
  wire::Node selfAsNode() const;
  bool isRegistrationCurrent(const wire::Node& aNode) const;
  void submitNextCommand(Actions& aOut);
  void delayNextCommand();

  NodeAgentConfig mConfig;
  std::vector<NodeId> mMembers; ///< Those of the settings, then those that answers named.
  std::mt19937_64& mRandom;
  TimePoint mNow;
  Incarnation mIncarnation = 0;

  // Lease.
  std::size_t mMemberIndex = 0;
  NodeId mLeader = kNoNode;
  std::uint64_t mSequence = 0;
  std::deque<SentRenewal> mSentRenewals;
  TimePoint mNextRenewal;
  TimePoint mLastAnswer;
  TimePoint mLeaseValidUntil;
  TimePoint mConfirmedAt;
  std::deque<std::pair<Revision, TimePoint>> mUnconfirmedRevisions; // Revisions not applied yet.

  agent::LoadMeasured mLoad;

  // View.
  std::shared_ptr<const FleetModel> mModel;
  Revision mRevision = 0;
  Revision mSnapshotRevision = 0;
  std::map<std::uint32_t, std::vector<wire::Change>> mSnapshotParts;

  // Registration and hand-over.
  bool mIsTargetReachable = false;
  bool mHasTargetEnded = false;
  wire::Announcement mAnnouncement;
  bool mIsDraining = false;
  bool mIsDrained = false;
  std::set<std::pair<ServicePartition, FencingToken>> mStopping;
  std::map<ServicePartition, FencingToken> mIdle;
  std::map<ServicePartition, std::string> mHandovers; ///< Of partitions in mIdle.
  std::uint64_t mCommandCounter = 0;
  std::optional<RequestId> mCommandInFlight;
  TimePoint mCommandSentAt;
  TimePoint mNextCommandAt;
  Millis mCommandBackoff{ 50 };
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_NODEAGENT_H_
