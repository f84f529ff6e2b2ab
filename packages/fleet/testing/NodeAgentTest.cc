// Guards against a daemon that serves without a lease, reverts its view or fails to register again.

#include <catch2/catch.hpp>

#include "FleetFixtures.h"
#include "fleet/NodeAgent.h"

namespace camphorcleat::fleet {
namespace {

using agent::Action;

// Any time other than the clock's epoch, since leaseValidUntil() returns the epoch for no lease.
constexpr TimePoint kStart{ std::chrono::hours(1) };

template<class T>
std::vector<T> actionsOf(const std::vector<Action>& aActions)
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
std::vector<T> sentOf(const std::vector<Action>& aActions)
{
  std::vector<T> out;
  for (const auto& it : actionsOf<agent::Send>(aActions)) {
    if (const auto* message = std::get_if<T>(&it.message)) {
      out.push_back(*message);
    }
  }
  return out;
}

template<class Body>
std::optional<Body> commandOf(const std::vector<Action>& aActions)
{
  for (const auto& it : sentOf<wire::CommandSubmit>(aActions)) {
    if (const auto* body = std::get_if<Body>(&it.command.bodies.at(0))) {
      return *body;
    }
  }
  return std::nullopt;
}

// Node 3 beside the nodes of smallFleet().
struct Daemon
{
  std::mt19937_64 random{ 42 };
  TimePoint now = kStart;
  NodeAgent agent{ config(), random };
  Member member = smallFleet();
  Revision known = 0; // The revision last sent to the daemon.

  static NodeAgentConfig config()
  {
    NodeAgentConfig out;
    out.id = 3;
    out.zone = "c";
    out.peerAddress = "127.0.0.1:3";
    out.members = { 1, 2 };
    return out;
  }

  std::vector<Action> step(const agent::Event& aEvent) { return agent.step(now, aEvent); }

  wire::LeaseRenew renew()
  {
    now += config().lease.renewInterval;
    const auto sent = sentOf<wire::LeaseRenew>(step(agent::Tick{}));
    REQUIRE(sent.size() == 1);
    return sent[0];
  }

  std::vector<Action> replyToRenewal(std::uint64_t aSequence, wire::LeaseStatus aStatus,
                                     Revision aCommitted = 0, NodeId aFrom = 1,
                                     NodeId aHint = kNoNode)
  {
    return step(agent::LeaseReplyArrived{
      aFrom, wire::LeaseReply{ aSequence, aStatus, aHint, Millis(1000), aCommitted } });
  }

  std::vector<Action> snapshot()
  {
    known = member.state.revision();
    return step(agent::SnapshotArrived{
      wire::ViewSnapshot{ known, 0, 1, member.state.model().toChanges() } });
  }

  std::vector<Action> apply(wire::CommandBody aBody)
  {
    const Revision from = known;
    auto applied = member.system(std::move(aBody));
    known = member.state.revision();
    const std::vector<Revision> revisions(applied.changes.size(), known);
    return step(agent::UpdateArrived{
      wire::ViewUpdate{ from, known, std::move(applied.changes), revisions } });
  }

  // Makes the daemon registered and the owner of account partitions 0 to 3.
  void join()
  {
    const auto actions = snapshot();
    const auto registration = commandOf<wire::RegisterNode>(actions);
    REQUIRE(registration);
    apply(*registration);
    wire::CommandReply reply;
    reply.id = sentOf<wire::CommandSubmit>(actions).at(0).id;
    step(agent::ReplyArrived{ reply });
    now += Millis(50); // The agent sends no command before, because it waits for the view.
    apply(wire::AssignPartitions{ kAccountService, 3, agent.incarnation(), { 0, 1, 2, 3 } });
  }
};

TEST_CASE("a lease starts when its renewal is sent, not when the reply arrives")
{
  Daemon daemon;
  CHECK(daemon.agent.leaseValidUntil() == TimePoint());
  const auto renewal = daemon.renew();
  const TimePoint sentAt = daemon.now;
  daemon.now += Millis(150);
  daemon.replyToRenewal(renewal.sequence, wire::LeaseStatus::Granted);
  CHECK(daemon.agent.leaseValidUntil() == sentAt + Millis(1000));
}

TEST_CASE("only a granted reply to a sent renewal gives a lease, and only once")
{
  Daemon daemon;
  const auto renewal = daemon.renew();
  daemon.replyToRenewal(renewal.sequence + 1, wire::LeaseStatus::Granted);
  CHECK(daemon.agent.leaseValidUntil() == TimePoint());
  daemon.replyToRenewal(renewal.sequence, wire::LeaseStatus::Unregistered);
  CHECK(daemon.agent.leaseValidUntil() == TimePoint());
  daemon.replyToRenewal(renewal.sequence, wire::LeaseStatus::Granted);
  CHECK(daemon.agent.leaseValidUntil() == TimePoint());
}

TEST_CASE("a reply that arrives out of order neither shortens nor extends the lease")
{
  Daemon daemon;
  const auto first = daemon.renew();
  const auto second = daemon.renew();
  daemon.replyToRenewal(second.sequence, wire::LeaseStatus::Granted);
  const TimePoint end = daemon.now + Millis(1000);
  daemon.replyToRenewal(first.sequence, wire::LeaseStatus::Granted);
  CHECK(daemon.agent.leaseValidUntil() == end);
}

TEST_CASE("a refused incarnation ends at once and later replies to it give no lease")
{
  Daemon daemon;
  daemon.join();
  const auto first = daemon.renew();
  const auto second = daemon.renew();
  const auto third = daemon.renew();
  const Incarnation before = daemon.agent.incarnation();
  daemon.replyToRenewal(first.sequence, wire::LeaseStatus::Granted);
  daemon.replyToRenewal(second.sequence, wire::LeaseStatus::Refused);
  CHECK(daemon.agent.incarnation() != before);
  CHECK(daemon.agent.leaseValidUntil() == TimePoint());
  daemon.replyToRenewal(third.sequence, wire::LeaseStatus::Granted);
  CHECK(daemon.agent.leaseValidUntil() == TimePoint());
}

TEST_CASE("a refused registration of a lost incarnation starts a new incarnation")
{
  Daemon daemon;
  daemon.join();
  const Incarnation before = daemon.agent.incarnation();
  const auto sent =
    sentOf<wire::CommandSubmit>(daemon.apply(wire::NodeLost{ 3, daemon.agent.incarnation() }));
  std::vector<wire::CommandSubmit> submits = sent;
  for (int i = 0; submits.empty() && i < 10; ++i) {
    daemon.now += Millis(100);
    submits = sentOf<wire::CommandSubmit>(daemon.step(agent::Tick{}));
  }
  REQUIRE(submits.size() == 1);
  wire::CommandReply reply;
  reply.id = submits[0].id;
  reply.result.code = ErrorCode::IncarnationRefused;
  daemon.step(agent::ReplyArrived{ reply });
  CHECK(daemon.agent.incarnation() != before);
}

TEST_CASE("the agent tries the next member if one doesn't reply, and follows leader hints")
{
  Daemon daemon;
  daemon.renew();
  std::set<NodeId> asked;
  for (int i = 0; i < 8; ++i) {
    daemon.now += Millis(200);
    for (const auto& it : actionsOf<agent::Send>(daemon.step(agent::Tick{}))) {
      asked.insert(it.to);
    }
  }
  CHECK(asked == std::set<NodeId>{ 1, 2 });

  const auto renewal = daemon.renew();
  daemon.replyToRenewal(renewal.sequence, wire::LeaseStatus::NotLeader, 0, 1, 2);
  daemon.now += Millis(25);
  const auto sent = actionsOf<agent::Send>(daemon.step(agent::Tick{}));
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].to == 2);
}

TEST_CASE("a view never reverts and skips no change")
{
  Daemon daemon;
  daemon.join();
  const Revision before = daemon.agent.revision();
  const std::string bytes = bytesOf(*daemon.agent.model());
  const std::vector<wire::Change> out{ wire::ZoneSet{ wire::Zone{ "a", true } } };
  daemon.step(agent::UpdateArrived{ { before + 1, before + 2, out, { before + 2 } } });
  daemon.step(agent::UpdateArrived{ { before - 2, before, out, { before } } });
  daemon.step(agent::UpdateArrived{ { before - 3, before - 1, out, { before - 1 } } });
  daemon.step(agent::UpdateArrived{ { before, before + 1, out, {} } }); // Malformed.
  daemon.step(agent::SnapshotArrived{ { before, 0, 1, out } });
  CHECK(daemon.agent.revision() == before);
  CHECK(bytesOf(*daemon.agent.model()) == bytes);
  // Of an update that was sent again, only the changes that are still missing are applied.
  const std::vector<wire::Change> more{ wire::ZoneSet{ wire::Zone{ "b", true } }, out[0] };
  daemon.step(agent::UpdateArrived{ { before - 1, before + 1, more, { before, before + 1 } } });
  CHECK(daemon.agent.revision() == before + 1);
  CHECK(daemon.agent.model()->isZoneOut("a"));
  CHECK_FALSE(daemon.agent.model()->isZoneOut("b"));
}

TEST_CASE("a model that was returned earlier doesn't change")
{
  Daemon daemon;
  daemon.join();
  const auto model = daemon.agent.model();
  const std::string bytes = bytesOf(*model);
  daemon.apply(wire::SetNodeStatus{ 1, 11, wire::NodeStatus::Draining });
  CHECK(bytesOf(*model) == bytes);
  CHECK(bytesOf(*daemon.agent.model()) != bytes);
}

TEST_CASE("updates are ignored before the first snapshot")
{
  Daemon daemon;
  daemon.step(
    agent::UpdateArrived{ { 0, 5, { wire::ZoneSet{ wire::Zone{ "a", true } } }, { 5 } } });
  CHECK(daemon.agent.revision() == 0);
}

TEST_CASE("parts of two snapshots are not mixed and an incomplete snapshot isn't applied")
{
  Daemon daemon;
  const auto part = [](Revision aRevision, std::uint32_t aPart, const std::string& aZone) {
    return agent::SnapshotArrived{ { aRevision, aPart, 2, { wire::ZoneSet{ { aZone, false } } } } };
  };
  daemon.step(part(5, 0, "old"));
  CHECK(daemon.agent.revision() == 0);
  daemon.step(part(6, 1, "new-1"));
  CHECK(daemon.agent.revision() == 0);
  daemon.step(part(6, 1, "new-1")); // A duplicate part doesn't complete the snapshot.
  CHECK(daemon.agent.revision() == 0);
  daemon.step(part(6, 0, "new-0"));
  CHECK(daemon.agent.revision() == 6);
  CHECK(daemon.agent.model()->zones().size() == 2);
  CHECK(daemon.agent.model()->zones().count("old") == 0);
}

TEST_CASE("a snapshot part whose number is not below the part count is ignored")
{
  Daemon daemon;
  daemon.step(agent::SnapshotArrived{ { 5, 1, 1, {} } });
  daemon.step(agent::SnapshotArrived{ { 5, 0, 1U << 30U, {} } });
  daemon.step(agent::SnapshotArrived{ { 5, 0, 0, {} } });
  CHECK(daemon.agent.revision() == 0);
}

TEST_CASE("a view is confirmed as of the renewal's sending once the committed revision is applied")
{
  Daemon daemon;
  daemon.join();
  const auto renewal = daemon.renew();
  const TimePoint sentAt = daemon.now;
  daemon.now += Millis(50);
  daemon.replyToRenewal(renewal.sequence, wire::LeaseStatus::Granted, daemon.known + 1);
  CHECK(daemon.agent.confirmedAt() < sentAt);
  daemon.now += Millis(50);
  daemon.apply(wire::SetNodeStatus{ 1, 11, wire::NodeStatus::Draining });
  CHECK(daemon.agent.confirmedAt() == sentAt);
}

TEST_CASE("a daemon without a view is never confirmed")
{
  Daemon daemon;
  const auto renewal = daemon.renew();
  daemon.replyToRenewal(renewal.sequence, wire::LeaseStatus::Granted, 0);
  CHECK(daemon.agent.confirmedAt() == TimePoint());
}

TEST_CASE("a moving partition is stopped once and released only after it is idle")
{
  Daemon daemon;
  daemon.join();
  const auto actions = daemon.apply(wire::BeginPartitionMove{ kAccountService, 1, { 2 } });
  const auto stops = actionsOf<agent::StopPartition>(actions);
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].partition == ServicePartition{ kAccountService, 2 });
  CHECK(actionsOf<agent::StopPartition>(
          daemon.apply(wire::BeginPartitionMove{ kAccountService, 2, { 2 } }))
          .empty());
  for (int i = 0; i < 20; ++i) {
    daemon.now += Millis(100);
    CHECK_FALSE(commandOf<wire::ReleasePartitions>(daemon.step(agent::Tick{})));
  }
  const auto release = commandOf<wire::ReleasePartitions>(
    daemon.step(agent::PartitionIdle{ stops[0].partition, stops[0].token }));
  REQUIRE(release);
  CHECK(release->incarnation == daemon.agent.incarnation());
  REQUIRE(release->grants.size() == 1);
  CHECK(release->grants[0].partition == 2);
  CHECK(release->grants[0].token == stops[0].token);
  daemon.apply(*release);
  CHECK(daemon.agent.model()->grant(kAccountService, 2)->owner == 2);
}

TEST_CASE("a partition that wasn't asked to stop is not released")
{
  Daemon daemon;
  daemon.join();
  const FencingToken token = daemon.agent.model()->grant(kAccountService, 2)->token;
  CHECK_FALSE(commandOf<wire::ReleasePartitions>(
    daemon.step(agent::PartitionIdle{ { kAccountService, 2 }, token })));
  CHECK_FALSE(commandOf<wire::ReleasePartitions>(
    daemon.step(agent::PartitionIdle{ { kAccountService, 2 }, token + 1 })));
}

TEST_CASE("a release without a reply is sent again with the same token")
{
  Daemon daemon;
  daemon.join();
  const auto stop = actionsOf<agent::StopPartition>(
                      daemon.apply(wire::BeginPartitionMove{ kAccountService, 1, { 2 } }))
                      .at(0);
  daemon.now += Millis(100);
  REQUIRE(commandOf<wire::ReleasePartitions>(
    daemon.step(agent::PartitionIdle{ stop.partition, stop.token })));
  daemon.now += Millis(399);
  CHECK_FALSE(commandOf<wire::ReleasePartitions>(daemon.step(agent::Tick{})));
  daemon.now += Millis(1);
  const auto again = commandOf<wire::ReleasePartitions>(daemon.step(agent::Tick{}));
  REQUIRE(again);
  CHECK(again->grants.at(0).token == stop.token);
}

// Guards against copies of a release in the log, which delay the releases of other keys.
TEST_CASE("a release that was carried out isn't sent again before the view shows it")
{
  Daemon daemon;
  daemon.join();
  const auto stops = actionsOf<agent::StopPartition>(
    daemon.apply(wire::BeginPartitionMove{ kAccountService, 1, { 2, 3 } }));
  REQUIRE(stops.size() == 2);
  daemon.now += Millis(100);
  const auto sent = sentOf<wire::CommandSubmit>(
    daemon.step(agent::PartitionIdle{ stops[0].partition, stops[0].token }));
  REQUIRE(sent.size() == 1);
  daemon.step(agent::PartitionIdle{ stops[1].partition, stops[1].token });
  daemon.now += Millis(20);
  wire::CommandReply reply;
  reply.id = sent[0].id;
  const auto next = commandOf<wire::ReleasePartitions>(daemon.step(agent::ReplyArrived{ reply }));
  REQUIRE(next);
  REQUIRE(next->grants.size() == 1);
  CHECK(next->grants[0].partition == stops[1].partition.second);
}

TEST_CASE("a draining daemon sets its status, hands its partitions over, leaves and ends its lease")
{
  Daemon daemon;
  daemon.join();
  const auto renewal = daemon.renew();
  daemon.replyToRenewal(renewal.sequence, wire::LeaseStatus::Granted, daemon.known);
  daemon.now += Millis(100);
  const auto status = commandOf<wire::SetNodeStatus>(daemon.step(agent::DrainRequested{}));
  REQUIRE(status);
  CHECK(status->status == wire::NodeStatus::Draining);
  daemon.apply(*status);
  daemon.apply(wire::BeginPartitionMove{ kAccountService, 1, { 0, 1, 2, 3 } });
  const auto late = daemon.renew();
  std::vector<wire::ReleasedGrant> grants;
  for (PartitionId i = 0; i < 4; ++i) {
    grants.push_back({ i, daemon.agent.model()->grant(kAccountService, i)->token });
  }
  const auto actions =
    daemon.apply(wire::ReleasePartitions{ kAccountService, 3, daemon.agent.incarnation(), grants });
  CHECK(actionsOf<agent::Drained>(actions).size() == 1);
  CHECK(commandOf<wire::NodeLost>(actions));
  CHECK(daemon.agent.leaseValidUntil() == TimePoint());
  // The leave command ended the lease, so a late reply must not extend it.
  daemon.replyToRenewal(late.sequence, wire::LeaseStatus::Granted, daemon.known);
  CHECK(daemon.agent.leaseValidUntil() == TimePoint());
  daemon.now += Millis(1000);
  CHECK(daemon.step(agent::Tick{}).empty());
}

// Guards against a planned stop that waits for its time limit because nobody can take the keys.
TEST_CASE("a draining daemon may stop if no other node can take its partitions")
{
  Daemon daemon;
  daemon.join();
  const auto renewal = daemon.renew();
  daemon.replyToRenewal(renewal.sequence, wire::LeaseStatus::Granted, daemon.known);
  daemon.now += Millis(100);
  const auto status = commandOf<wire::SetNodeStatus>(daemon.step(agent::DrainRequested{}));
  REQUIRE(status);
  // Nodes 1 and 2 can take the partitions.
  CHECK(actionsOf<agent::Drained>(daemon.apply(*status)).empty());
  CHECK(actionsOf<agent::Drained>(daemon.apply(wire::NodeLost{ 1, 11 })).empty());
  const auto actions = daemon.apply(wire::NodeLost{ 2, 22 });
  CHECK(actionsOf<agent::Drained>(actions).size() == 1);
  CHECK_FALSE(commandOf<wire::NodeLost>(actions)); // Requests may still be open.
  CHECK(daemon.agent.leaseValidUntil() > daemon.now);
  daemon.now += Millis(1000);
  CHECK(actionsOf<agent::Drained>(daemon.step(agent::Tick{})).empty());
}

// Guards against a saturated target that is reported only at the end of a renewal interval.
// Guards against requests to a server whose leaving was acknowledged (DRAIN): the daemon beside it
// has restarted and gets a heartbeat late that the server sent before it left.
TEST_CASE("a restarted daemon doesn't report a target serving that has left")
{
  const wire::TargetProcess process{ "i-1", 1000 };
  Member member = smallFleet();
  wire::Node node = nodeOf(3, 31, "c");
  node.peerAddress = "127.0.0.1:3";
  node.target.instance = process.instance;
  node.target.startedAtUnixMillis = process.startedAtUnixMillis;
  node.status = wire::NodeStatus::TargetDown;
  member.system(wire::RegisterNode{ node });
  member.system(wire::SetTargetLeaving{ 3, process });
  std::mt19937_64 random{ 42 };
  NodeAgentConfig config = Daemon::config();
  config.hasTarget = true;
  config.followsTarget = true;
  NodeAgent agent(config, random);
  TimePoint now = kStart;
  agent.step(now, agent::TargetChanged{ true, node.target, false });
  agent.step(now, agent::SnapshotArrived{ wire::ViewSnapshot{ member.state.revision(), 0, 1,
                                                              member.state.model().toChanges() } });
  CHECK(agent.incarnation() == 31);
  for (int i = 0; i < 20; ++i) {
    now += Millis(100);
    const auto actions = agent.step(now, agent::TargetChanged{ true, node.target, false });
    CHECK(sentOf<wire::CommandSubmit>(actions).empty());
  }
}

TEST_CASE("a target's leaving is recorded, even if the daemon has heard of no heartbeat")
{
  Member member = smallFleet();
  member.system(wire::RegisterNode{ nodeOf(3, 31, "c") });
  std::mt19937_64 random{ 42 };
  NodeAgentConfig config = Daemon::config();
  config.hasTarget = true;
  config.followsTarget = true;
  NodeAgent agent(config, random);
  agent.step(kStart, agent::TargetLeaving{ { "i-1", 1000 } });
  const auto actions =
    agent.step(kStart, agent::SnapshotArrived{ wire::ViewSnapshot{
                         member.state.revision(), 0, 1, member.state.model().toChanges() } });
  const auto command = commandOf<wire::SetTargetLeaving>(actions);
  REQUIRE(command);
  CHECK(command->node == 3);
  CHECK(command->process == wire::TargetProcess{ "i-1", 1000 });
}

TEST_CASE("a saturated target's load is sent within 200 ms, and not more often")
{
  Daemon daemon;
  daemon.join();
  daemon.renew();
  daemon.step(agent::LoadMeasured{ {}, Micros(0), false });
  daemon.now += Millis(150);
  REQUIRE(sentOf<wire::LeaseRenew>(daemon.step(agent::Tick{})).empty());
  daemon.step(agent::LoadMeasured{ { { 7, 40.0 } }, Micros(0), true });
  REQUIRE(sentOf<wire::LeaseRenew>(daemon.step(agent::Tick{})).empty());
  daemon.now += Millis(50);
  const auto sent = sentOf<wire::LeaseRenew>(daemon.step(agent::Tick{}));
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].isSaturated);
  REQUIRE(sent[0].partitionLoads.at(0).partition == 7);
}

} // namespace
} // namespace camphorcleat::fleet
