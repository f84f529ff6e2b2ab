// Guards against leases granted without a quorum, and against daemons that miss changes of the
// view.

#include <catch2/catch.hpp>

#include "FleetFixtures.h"
#include "fleet/ControlLeader.h"

namespace camphorcleat::fleet {
namespace {

constexpr LeaseSettings kSettings;
constexpr LinkNumber kLink = 5;
constexpr Millis kBatchInterval{ 5 }; // Between two batches of changes for a few nodes.

// A control member with the fleet of smallFleet(). The event BecameLeader makes it the leader.
struct Leader
{
  Member member = smallFleet();
  ControlLeader control;
  TimePoint now{ std::chrono::hours(1) };

  explicit Leader(std::unique_ptr<Planner> aPlanner = std::make_unique<Planner>())
    : control(kSettings, member.state.model(), std::move(aPlanner))
  {
    control.step(now, control::Restored{ member.state.revision() });
  }

  std::vector<control::Action> step(const control::Event& aEvent)
  {
    return control.step(now, aEvent);
  }
  std::vector<control::Action> renew(NodeId aNode, Incarnation aIncarnation,
                                     std::uint64_t aSequence, LinkNumber aLink = kLink,
                                     Revision aApplied = 0)
  {
    wire::LeaseRenew message;
    message.node = aNode;
    message.incarnation = aIncarnation;
    message.sequence = aSequence;
    message.appliedRevision = aApplied;
    return step(control::RenewArrived{ aLink, message });
  }
  std::vector<control::Action> apply(wire::CommandBody aBody)
  {
    auto applied = member.system(std::move(aBody));
    return step(control::Applied{ member.state.revision(), std::move(applied.changes), false });
  }
};

template<class T>
std::vector<T> actionsOf(const std::vector<control::Action>& aActions)
{
  std::vector<T> out;
  for (const auto& it : aActions) {
    if (const auto* action = std::get_if<T>(&it)) {
      out.push_back(*action);
    }
  }
  return out;
}

template<class T>
std::vector<T> messagesOf(const std::vector<control::Action>& aActions)
{
  std::vector<T> out;
  for (const auto& it : actionsOf<control::Reply>(aActions)) {
    if (const auto* message = std::get_if<T>(&it.message)) {
      out.push_back(*message);
    }
  }
  return out;
}

std::vector<wire::NodeLost> lossesOf(const std::vector<control::Action>& aActions)
{
  std::vector<wire::NodeLost> out;
  for (const auto& it : actionsOf<control::Propose>(aActions)) {
    if (const auto* lost = std::get_if<wire::NodeLost>(&it.command.bodies.at(0))) {
      out.push_back(*lost);
    }
  }
  return out;
}

TEST_CASE("a member that isn't the leader grants no lease and returns the leader")
{
  Leader leader;
  leader.step(control::LostLeadership{ 3 });
  const auto replies = messagesOf<wire::LeaseReply>(leader.renew(1, 11, 1));
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].status == wire::LeaseStatus::NotLeader);
  CHECK(replies[0].leaderHint == 3);
}

TEST_CASE("a renewal is answered only after a quorum round that started later")
{
  Leader leader;
  leader.step(control::BecameLeader{});
  const auto first = leader.renew(1, 11, 1);
  CHECK(messagesOf<wire::LeaseReply>(first).empty());
  REQUIRE(actionsOf<control::StartQuorumRound>(first).size() == 1);
  const auto round = actionsOf<control::StartQuorumRound>(first)[0].round;

  // This renewal arrives during the first round, so it needs a round that starts later.
  CHECK(actionsOf<control::StartQuorumRound>(leader.renew(2, 22, 7)).empty());
  const auto done = leader.step(control::QuorumRoundDone{ round, 5 });
  const auto replies = messagesOf<wire::LeaseReply>(done);
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].sequence == 1);
  CHECK(replies[0].status == wire::LeaseStatus::Granted);
  CHECK(replies[0].length == kSettings.length);
  CHECK(replies[0].committedRevision == 5);
  REQUIRE(actionsOf<control::StartQuorumRound>(done).size() == 1);
  const auto second = actionsOf<control::StartQuorumRound>(done)[0].round;
  const auto later =
    messagesOf<wire::LeaseReply>(leader.step(control::QuorumRoundDone{ second, 6 }));
  REQUIRE(later.size() == 1);
  CHECK(later[0].sequence == 7);
}

TEST_CASE("a round of an earlier term or a failed round grants no lease")
{
  Leader leader;
  leader.step(control::BecameLeader{});
  const auto round = actionsOf<control::StartQuorumRound>(leader.renew(1, 11, 1)).at(0).round;
  const auto lost = messagesOf<wire::LeaseReply>(leader.step(control::LostLeadership{ 2 }));
  REQUIRE(lost.size() == 1);
  CHECK(lost[0].status == wire::LeaseStatus::NotLeader);

  leader.step(control::BecameLeader{});
  const auto next = actionsOf<control::StartQuorumRound>(leader.renew(1, 11, 2)).at(0).round;
  CHECK(next != round);
  CHECK(leader.step(control::QuorumRoundDone{ round, 5 }).empty());
  const auto failed = messagesOf<wire::LeaseReply>(leader.step(control::QuorumRoundFailed{ next }));
  REQUIRE(failed.size() == 1);
  CHECK(failed[0].status == wire::LeaseStatus::NotLeader);
}

TEST_CASE("a node that was declared lost during its round is refused")
{
  Leader leader;
  leader.step(control::BecameLeader{});
  const auto round = actionsOf<control::StartQuorumRound>(leader.renew(1, 11, 1)).at(0).round;
  leader.now += Millis(1100);
  const auto losses = lossesOf(leader.step(control::Tick{}));
  REQUIRE(losses.size() == 2);
  CHECK(losses[0].incarnation == 11);
  const auto replies =
    messagesOf<wire::LeaseReply>(leader.step(control::QuorumRoundDone{ round, 5 }));
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].status == wire::LeaseStatus::Refused);
}

TEST_CASE("losses are proposed only by the leader and only after the leases expired")
{
  Leader leader;
  leader.now += Millis(10000);
  CHECK(leader.step(control::Tick{}).empty());
  leader.step(control::BecameLeader{});
  leader.now += kSettings.length;
  CHECK(lossesOf(leader.step(control::Tick{})).empty());
  leader.now += Millis(31);
  CHECK(lossesOf(leader.step(control::Tick{})).size() == 2);
}

TEST_CASE("a daemon without a view gets the whole state and then only changes")
{
  Leader leader;
  leader.step(control::BecameLeader{});
  const auto parts = messagesOf<wire::ViewSnapshot>(leader.renew(1, 11, 1));
  REQUIRE(parts.size() == 1);
  CHECK(parts[0].revision == leader.member.state.revision());

  const Revision before = leader.member.state.revision();
  leader.now += kBatchInterval;
  const auto updates = messagesOf<wire::ViewUpdate>(
    leader.apply(wire::SetNodeStatus{ 2, 22, wire::NodeStatus::Draining }));
  REQUIRE(updates.size() == 1);
  CHECK(updates[0].from == before);
  CHECK(updates[0].to == before + 1);
  CHECK(updates[0].changes.size() == 1);
}

TEST_CASE("a lost view message is sent again after 500 ms, or at once on a new link")
{
  Leader leader;
  leader.step(control::BecameLeader{});
  REQUIRE(messagesOf<wire::ViewSnapshot>(leader.renew(1, 11, 1)).size() == 1);
  leader.now += Millis(200);
  CHECK(messagesOf<wire::ViewSnapshot>(leader.renew(1, 11, 2)).empty());
  CHECK(messagesOf<wire::ViewSnapshot>(leader.renew(1, 11, 3, kLink + 1)).size() == 1);
  leader.now += Millis(501);
  CHECK(messagesOf<wire::ViewSnapshot>(leader.renew(1, 11, 4, kLink + 1)).size() == 1);
}

TEST_CASE("a lost view message is sent again while further changes are made")
{
  Leader leader;
  leader.step(control::BecameLeader{});
  const Revision applied = leader.member.state.revision();
  leader.renew(1, 11, 1, kLink, applied);
  // The daemon lost the first update, so it can't apply any of the later ones.
  bool isRepaired = false;
  const auto receive = [&](const std::vector<control::Action>& aActions) {
    for (const auto& it : messagesOf<wire::ViewUpdate>(aActions)) {
      isRepaired = isRepaired || it.from == applied;
    }
  };
  for (std::uint64_t i = 0; i < 6; ++i) {
    leader.now += Millis(200);
    const auto lost = leader.apply(wire::SetNodeStatus{
      2, 22, i % 2 == 0 ? wire::NodeStatus::Draining : wire::NodeStatus::Serving });
    if (i > 0) {
      receive(lost);
    }
    receive(leader.renew(1, 11, 2 + i, kLink, applied));
  }
  CHECK(isRepaired);
}

// Guards against view messages whose number grows with changes times nodes: after a restart of all
// nodes the leader was busy with them for seconds, and views, leases and heartbeats were late.
TEST_CASE("a burst of changes reaches all nodes in one message per batch")
{
  constexpr NodeId kNodes = 80;
  constexpr Millis kBurst{ 500 };
  constexpr Millis kInterval{ 40 }; // 2,000 messages a second.
  Leader leader;
  leader.step(control::BecameLeader{});
  std::map<LinkNumber, Revision> received;
  std::size_t encoded = 0;
  std::size_t sent = 0;
  const auto receive = [&](const std::vector<control::Action>& aActions) {
    for (const auto& it : actionsOf<control::Reply>(aActions)) {
      const auto* update = std::get_if<wire::ViewUpdate>(&it.message);
      if (update == nullptr) {
        continue;
      }
      ++encoded;
      sent += it.links.size();
      for (const LinkNumber link : it.links) {
        REQUIRE(update->from <= received[link]);
        received[link] = update->to;
      }
    }
  };
  const Revision first = leader.member.state.revision();
  for (NodeId id = 1; id <= kNodes; ++id) {
    received[id] = first;
    receive(leader.renew(id, Incarnation{ 11 } * id, 1, id, first));
  }
  for (Millis at{ 0 }; at < kBurst; at += Millis(1)) {
    leader.now += Millis(1);
    receive(leader.apply(wire::RegisterNode{ nodeOf(1000 + at.count(), 7) }));
    receive(leader.step(control::Tick{}));
  }
  leader.now += kInterval;
  receive(leader.step(control::Tick{}));
  for (NodeId id = 1; id <= kNodes; ++id) {
    CHECK(received[id] == leader.member.state.revision());
  }
  const std::size_t batches = kBurst / kInterval + 2;
  CHECK(encoded <= batches);
  CHECK(sent <= batches * kNodes);
}

// Guards against a batch that is kept back when no further change or renewal follows it, and
// against nodes of a small fleet that send requests to the previous owner meanwhile.
TEST_CASE("a change is sent at once after a pause and within 5 ms otherwise in a small fleet")
{
  Leader leader;
  leader.step(control::BecameLeader{});
  leader.renew(1, 11, 1, kLink, leader.member.state.revision());
  leader.now += kBatchInterval;
  const wire::SetNodeStatus draining{ 2, 22, wire::NodeStatus::Draining };
  const wire::SetNodeStatus serving{ 2, 22, wire::NodeStatus::Serving };
  CHECK(messagesOf<wire::ViewUpdate>(leader.apply(draining)).size() == 1);
  CHECK(messagesOf<wire::ViewUpdate>(leader.apply(serving)).empty());
  leader.now += kBatchInterval - Millis(1);
  CHECK(messagesOf<wire::ViewUpdate>(leader.step(control::Tick{})).empty());
  leader.now += Millis(1);
  CHECK(messagesOf<wire::ViewUpdate>(leader.step(control::Tick{})).size() == 1);
}

TEST_CASE("nothing is sent on a closed link")
{
  Leader leader;
  leader.step(control::BecameLeader{});
  leader.renew(1, 11, 1, kLink, leader.member.state.revision());
  CHECK(leader.control.appliedRevision(1) == leader.member.state.revision());
  leader.step(control::LinkClosed{ kLink });
  leader.now += kBatchInterval;
  CHECK(leader.control.appliedRevision(1) == 0);
  CHECK(messagesOf<wire::ViewUpdate>(
          leader.apply(wire::SetNodeStatus{ 2, 22, wire::NodeStatus::Draining }))
          .empty());
}

TEST_CASE("renewals beyond the limit are refused")
{
  Leader leader;
  leader.step(control::BecameLeader{});
  for (std::uint64_t i = 0; i <= 8192; ++i) {
    REQUIRE(messagesOf<wire::LeaseReply>(leader.renew(1, 11, i)).empty());
  }
  const auto replies = messagesOf<wire::LeaseReply>(leader.renew(1, 11, 9000));
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].status == wire::LeaseStatus::NotLeader);
}

namespace {

// Counts how many plans are made.
class CountingPlacement : public Placement
{
public:
  explicit CountingPlacement(unsigned& aCount)
    : mCount(aCount)
  {
  }
  std::vector<PlannedMove> place(const PlacementInput& /*aInput*/) const override
  {
    ++mCount;
    return {};
  }

private:
  unsigned& mCount;
};

} // namespace

// Guards against a saturated target that waits for the next regular plan, up to half a second.
TEST_CASE("a saturated target causes a plan within 150 ms, other targets don't")
{
  unsigned plans = 0;
  Leader leader(
    std::make_unique<Planner>(PlannerSettings{}, std::make_unique<CountingPlacement>(plans)));
  leader.step(control::BecameLeader{});
  leader.step(control::Tick{});
  leader.now += Millis(400); // The settle time has passed, which causes a plan.
  leader.step(control::Tick{});
  const unsigned before = plans;
  REQUIRE(before > 0);

  wire::LeaseRenew renewal;
  renewal.node = 1;
  renewal.incarnation = 11;
  leader.now += Millis(150);
  leader.step(control::RenewArrived{ kLink, renewal });
  leader.step(control::Tick{});
  REQUIRE(plans == before);
  renewal.isSaturated = true;
  leader.step(control::RenewArrived{ kLink, renewal });
  leader.step(control::Tick{});
  const unsigned after = plans;
  REQUIRE(after > before);
  leader.now += Millis(50);
  leader.step(control::RenewArrived{ kLink, renewal });
  leader.step(control::Tick{});
  REQUIRE(plans == after);
}

} // namespace
} // namespace camphorcleat::fleet
