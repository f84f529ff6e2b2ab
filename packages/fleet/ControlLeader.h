// The duties of the control leader besides the replicated log: leases, views and planning.
//
// Renewals are collected and answered after a quorum round that started later (LeaseTable.h gives
// the reason). Changes are sent to daemons in batches, and sent again after later renewals if a
// message was lost. A batch is one message for all daemons that lack the same changes, so the
// leader's work grows with the time and not with the number of changes times daemons. Lost nodes
// and plans are proposed as commands; this class never changes the model directly.

#ifndef CAMPHORCLEAT_FLEET_CONTROLLEADER_H_
#define CAMPHORCLEAT_FLEET_CONTROLLEADER_H_

#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "fleet/LeaseTable.h"
#include "fleet/Planner.h"
#include "fleet/ViewHistory.h"

namespace camphorcleat::fleet {

/// Identifies one connection of a peer. Replies are sent on the same connection.
using LinkNumber = std::uint64_t;

namespace control {

// Events.
struct BecameLeader
{};
struct LostLeadership
{
  NodeId leaderHint = kNoNode;
};
struct RenewArrived
{
  LinkNumber link = 0;
  wire::LeaseRenew renew;
};
/// A quorum confirmed that this member was still the leader after the round started.
struct QuorumRoundDone
{
  std::uint64_t round = 0;
  Revision committed = 0; ///< Committed when the round started, and applied since.
};
/// The round ended without the confirmation of a quorum.
struct QuorumRoundFailed
{
  std::uint64_t round = 0;
};
/// A log entry was applied to the model. Occurs on every member, leader or not.
struct Applied
{
  Revision revision = 0;
  std::vector<wire::Change> changes;
  bool isFromPlanner = false; ///< See isPlannerCommand().
};
/// The model was replaced by a snapshot.
struct Restored
{
  Revision revision = 0;
};
struct LinkClosed
{
  LinkNumber link = 0;
};
/// Time has passed. Expired leases are detected only on this event.
struct Tick
{};

using Event = std::variant<BecameLeader, LostLeadership, RenewArrived, QuorumRoundDone,
                           QuorumRoundFailed, Applied, Restored, LinkClosed, Tick>;

// Actions.
/// Start a round in which a quorum confirms that this member is the leader.
struct StartQuorumRound
{
  std::uint64_t round = 0;
};
/// Send a lease reply on one link, or a view message on one or more links.
struct Reply
{
  std::vector<LinkNumber> links;
  wire::PeerMessage message;
};
struct Propose
{
  wire::Command command;
};

using Action = std::variant<StartQuorumRound, Reply, Propose>;

} // namespace control

/// Returns whether the command is of a kind that only the planner proposes.
bool isPlannerCommand(const wire::Command& aCommand);

/// Stores one session per connected node, at most 8,192 renewals that wait for the next quorum
/// round, and at most as many that wait for the end of the running one. Not thread-safe.
class ControlLeader
{
public:
  /// aModel is the member's replicated model and must outlive this object.
  ControlLeader(LeaseSettings aSettings, const FleetModel& aModel,
                std::unique_ptr<Planner> aPlanner);

  /// Sets the control members that are listed in lease replies.
  void setMembers(std::vector<NodeId> aMembers) { mMembers = std::move(aMembers); }

  /// Handles one event. aNow must not decrease between calls.
  std::vector<control::Action> step(TimePoint aNow, const control::Event& aEvent);

  bool isLeading() const { return mIsLeading; }

  /// Returns the leases at this leader. Valid only while isLeading().
  const LeaseTable& leases() const { return mLeases; }

  /// Returns the revision that a node last reported as applied, or 0.
  Revision appliedRevision(NodeId aNode) const;

private:
  struct Session
  {
    LinkNumber link = 0;
    Revision applied = 0; // As last reported by the node.
    Revision sent = 0;
    TimePoint sentAt;
    NodeLoad load;
  };
  struct WaitingRenewal
  {
    LinkNumber link = 0;
    wire::LeaseRenew renew;
  };
  using Actions = std::vector<control::Action>;

  void handle(const control::BecameLeader& aEvent, Actions& aOut);
  void handle(const control::LostLeadership& aEvent, Actions& aOut);
  void handle(const control::RenewArrived& aEvent, Actions& aOut);
  void handle(const control::QuorumRoundDone& aEvent, Actions& aOut);
  void handle(const control::QuorumRoundFailed& aEvent, Actions& aOut);
  void handle(const control::Applied& aEvent, Actions& aOut);
  void handle(const control::Restored& aEvent, Actions& aOut);
  void handle(const control::LinkClosed& aEvent, Actions& aOut);
  void handle(const control::Tick& aEvent, Actions& aOut);

  void replyToRenewal(const WaitingRenewal& aRenewal, wire::LeaseStatus aStatus,
                      Revision aCommitted, Actions& aOut) const;
  void refuseWaiting(Actions& aOut);
  void startRoundIfNeeded(Actions& aOut);
  void sendChangesIfDue(Actions& aOut);
  void sendMissingChanges(Actions& aOut);
  void sendSnapshot(const std::vector<LinkNumber>& aLinks, Actions& aOut) const;
  void proposeLosses(Actions& aOut);
  void proposePlan(Actions& aOut);

  LeaseSettings mSettings;
  std::vector<NodeId> mMembers;
  const FleetModel& mModel;
  std::unique_ptr<Planner> mPlanner;
  LeaseTable mLeases;
  ViewHistory mHistory;
  TimePoint mNow;
  bool mIsLeading = false;
  NodeId mLeaderHint = kNoNode;
  std::map<NodeId, Session> mSessions;
  bool mHasUnsentChanges = false; // A session may lack changes that were not sent to it yet.
  TimePoint mNextSendAt;          // Earliest time of the next batch of changes.
  std::vector<WaitingRenewal> mNextRound; // Renewals that arrived since the running round started.
  std::vector<WaitingRenewal> mRunningRound; // They get a reply when the running round ends.
  std::uint64_t mRoundCounter = 0;
  bool mIsRoundRunning = false;
  TimePoint mPlanProposedAt;
  std::optional<TimePoint> mNextPlanAt;
  bool mHasSaturatedTarget = false; // Whether a node reported one since the latest plan.
  Revision mPlannedRevision = 0;    // Revision that the latest plan was made for.
  std::size_t mPlanOutstanding = 0; // Planner's commands proposed and not yet applied.
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_CONTROLLEADER_H_
