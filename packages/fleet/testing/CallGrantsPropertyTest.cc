// Guards against two targets that hold one key, tokens that fall and handovers that get lost, in
// random interleavings of grants, releases, lost and late calls, restarts and moves. RC_PARAMS sets
// the number of sequences and repeats a failed one: RC_PARAMS="max_success=10000".

#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <memory>
#include <set>

#include <rapidcheck.h>

#include "fleet/CallGrants.h"
#include "harness/KeyHolds.h"

namespace camphorcleat::fleet {
namespace {

constexpr PartitionId kPartitions = 4;
constexpr NodeId kNodes = 2;
constexpr Millis kStep{ 50 };
constexpr Millis kLease{ 8000 };
// Longer than the longest delay and a grant together.
constexpr Millis kQuietTime{ 40'000 };

// What happens to an order on its way. The names tell what the target and the daemon see.
enum class Fate
{
  Answered,
  ExecutedLate, // No response; executed 2 to 12 s later.
  ResponseLost, // Executed at once.
  NotSent,
  AnsweredSlowly, // Within the timeout.
};

using Operation = std::tuple<int, NodeId, PartitionId, int>;

enum class OperationKind
{
  Wait,
  WaitMore, // Time has to pass between the other operations.
  Move,
  RestartDaemon,
  RestartTarget,
  Disturb,
  OtherChange,
};
constexpr int kOperationKinds = 7;

struct Event
{
  TimePoint at;
  std::function<void()> run;
};

// One daemon with its target, which obeys the protocol exactly.
struct Node
{
  std::unique_ptr<CallGrants> grants = std::make_unique<CallGrants>(CallGrants::Config());
  harness::KeyHolds holds{ kPartitions };
  unsigned daemonLife = 0;
  unsigned targetLife = 0;
  std::vector<std::pair<Fate, Millis>> disturbances;
  std::set<std::pair<PartitionId, FencingToken>> refused; // In this life of daemon and target.
  // Released by a call that an earlier process of the daemon sent. The target refuses the requests
  // that the daemon sends, and these refusals are reported by renewEarly().
  std::set<PartitionId> releasedByEarlierProcess;
};

// The log, the nodes and the calls on their way.
class World
{
public:
  World()
  {
    mModel.apply(wire::FleetCreated{ kPartitions });
    for (PartitionId i = 0; i < kPartitions; ++i) {
      mLog[i] = wire::PartitionGrant{ 1 + i % kNodes, 1, ++mRevision, kNoNode };
    }
  }

  void run(const Operation& aOperation)
  {
    const auto [kind, node, partition, amount] = aOperation;
    switch (static_cast<OperationKind>(kind)) {
      case OperationKind::Wait:
      case OperationKind::WaitMore:
        wait(Millis(amount));
        break;
      case OperationKind::Move:
        beginMove(partition);
        break;
      case OperationKind::RestartDaemon:
        restartDaemon(node);
        break;
      case OperationKind::RestartTarget:
        restartTarget(node);
        break;
      case OperationKind::Disturb:
        mNodes.at(node).disturbances.emplace_back(static_cast<Fate>(1 + amount % 4),
                                                  Millis(2000 + 3 * amount));
        break;
      case OperationKind::OtherChange:
        ++mRevision;
    }
    step();
  }

  void wait(Millis aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += kStep;
      step();
    }
  }

  void settle()
  {
    for (auto& it : mNodes) {
      it.disturbances.clear();
    }
    ++mRevision;
    wait(kQuietTime);
    for (PartitionId i = 0; i < kPartitions; ++i) {
      const wire::PartitionGrant& grant = mLog[i];
      const Node& owner = mNodes.at(grant.owner - 1);
      RC_ASSERT(grant.movingTo == kNoNode);
      RC_ASSERT(owner.grants->isGranted(mNow, i, grant.token));
      RC_ASSERT(owner.holds.holds(mNow, i));
      if (!grant.handover.empty()) {
        RC_ASSERT(owner.holds.handoverOf(i) == grant.handover);
      }
    }
  }

private:
  using Response = std::pair<OrderOutcome, std::string>;

  static PartitionId partitionOf(std::uint32_t aKey) { return aKey / (65'536 / kPartitions); }

  void beginMove(PartitionId aPartition)
  {
    wire::PartitionGrant& grant = mLog[aPartition];
    if (grant.movingTo == kNoNode) {
      grant.movingTo = 1 + grant.owner % kNodes;
      ++mRevision;
    }
  }

  void restartDaemon(NodeId aNode)
  {
    Node& node = mNodes.at(aNode);
    node.grants = std::make_unique<CallGrants>(CallGrants::Config());
    node.grants->setFirstRevision(mRevision);
    node.refused.clear();
    ++node.daemonLife;
    mHandovers.clear();
  }

  void restartTarget(NodeId aNode)
  {
    Node& node = mNodes.at(aNode);
    node.holds = harness::KeyHolds(kPartitions);
    node.grants->reset();
    node.refused.clear();
    node.releasedByEarlierProcess.clear();
    ++node.targetLife;
    mHandovers.clear();
    ++mRevision;
    for (auto& [partition, grant] : mLog) {
      if (grant.owner == aNode + 1) {
        grant.token = mRevision;
        grant.movingTo = kNoNode;
        grant.handover.clear();
      }
    }
  }

  void step()
  {
    for (std::size_t i = 0; i < mEvents.size();) {
      if (mEvents[i].at <= mNow) {
        const auto run = std::move(mEvents[i].run);
        mEvents.erase(mEvents.begin() + static_cast<std::ptrdiff_t>(i));
        run();
      } else {
        ++i;
      }
    }
    for (NodeId i = 0; i < kNodes; ++i) {
      Node& node = mNodes.at(i);
      std::map<PartitionId, wire::PartitionGrant> owned;
      for (const auto& [partition, grant] : mLog) {
        if (grant.owner == i + 1) {
          owned.emplace(partition, grant);
        }
      }
      node.grants->update(mNow, mRevision, owned);
      for (const auto& it : node.grants->nextOrders(mNow, mModel, mNow + kLease)) {
        send(i, it);
      }
      passOn(node);
    }
    check();
  }

  // The log gives released partitions to their next owner.
  void passOn(Node& aNode)
  {
    for (const auto& it : aNode.grants->takeReleased(mNow)) {
      wire::PartitionGrant& grant = mLog[it.partition];
      RC_ASSERT(grant.token == it.token);
      const auto expected = mHandovers.find({ it.partition, grant.owner });
      if (expected != mHandovers.end()) {
        RC_ASSERT(it.handover == expected->second);
        mHandovers.erase(expected);
      }
      grant.owner = grant.movingTo;
      grant.movingTo = kNoNode;
      grant.token = ++mRevision;
      grant.handover = it.handover;
    }
  }

  void send(NodeId aNode, const TargetOrder& aOrder)
  {
    Node& node = mNodes.at(aNode);
    for (PartitionId i = partitionOf(aOrder.from); i <= partitionOf(aOrder.to); ++i) {
      RC_ASSERT(aOrder.kind == OrderKind::Release || node.refused.count({ i, aOrder.token }) == 0);
    }
    Fate fate = Fate::Answered;
    Millis delay{ 0 };
    if (!node.disturbances.empty()) {
      std::tie(fate, delay) = node.disturbances.front();
      node.disturbances.erase(node.disturbances.begin());
    }
    const auto execute = [this, aNode, aOrder, life = node.targetLife,
                          daemonLife = node.daemonLife] {
      const bool isOfEarlierProcess = daemonLife != mNodes.at(aNode).daemonLife;
      return life == mNodes.at(aNode).targetLife ? executeOrder(aNode, aOrder, isOfEarlierProcess)
                                                 : Response{ OrderOutcome::Unknown, "" };
    };
    const auto answer = [this, aNode, aOrder, life = node.daemonLife](const Response& aResponse) {
      if (life == mNodes.at(aNode).daemonLife) {
        respond(aNode, aOrder, aResponse);
      }
    };
    const auto fail = [answer](OrderOutcome aOutcome) {
      return [answer, aOutcome] { answer({ aOutcome, "" }); };
    };
    switch (fate) {
      case Fate::Answered:
        mEvents.push_back({ mNow, [execute, answer] { answer(execute()); } });
        break;
      case Fate::AnsweredSlowly:
        mEvents.push_back({ mNow + Millis(300), [execute, answer] { answer(execute()); } });
        break;
      case Fate::ExecutedLate:
        mEvents.push_back(
          { mNow + std::min(delay, Millis(12'000) - kStep), [execute] { execute(); } });
        mEvents.push_back({ aOrder.answerUntil, fail(OrderOutcome::Unknown) });
        break;
      case Fate::ResponseLost:
        mEvents.push_back({ mNow, [execute] { execute(); } });
        mEvents.push_back({ aOrder.answerUntil, fail(OrderOutcome::Unknown) });
        break;
      case Fate::NotSent:
        mEvents.push_back({ mNow, fail(OrderOutcome::NotSent) });
        break;
    }
  }

  void respond(NodeId aNode, const TargetOrder& aOrder, const Response& aResponse)
  {
    const auto& [outcome, handover] = aResponse;
    if (outcome == OrderOutcome::Fenced) {
      for (PartitionId i = partitionOf(aOrder.from); i <= partitionOf(aOrder.to); ++i) {
        mNodes.at(aNode).refused.insert({ i, aOrder.token });
      }
    }
    if (aOrder.kind == OrderKind::Release && outcome == OrderOutcome::Done) {
      for (PartitionId i = partitionOf(aOrder.from); i <= partitionOf(aOrder.to); ++i) {
        mHandovers[{ i, aNode + 1 }] = handover;
      }
    }
    mNodes.at(aNode).grants->orderEnded(mNow, aOrder.id, outcome, handover);
  }

  Response executeOrder(NodeId aNode, const TargetOrder& aOrder, bool aIsOfEarlierProcess)
  {
    Node& node = mNodes.at(aNode);
    const PartitionId first = partitionOf(aOrder.from);
    const PartitionId last = partitionOf(aOrder.to);
    if (aOrder.kind == OrderKind::Release) {
      for (PartitionId i = first; i <= last && aIsOfEarlierProcess; ++i) {
        node.releasedByEarlierProcess.insert(i);
      }
      return { OrderOutcome::Done, release(aNode, first, last, aOrder.token) };
    }
    std::set<PartitionId> newlyHeld;
    for (PartitionId i = first; i <= last; ++i) {
      if (!node.holds.holds(mNow, i) || node.holds.tokenOf(i) != aOrder.token) {
        newlyHeld.insert(i);
      }
    }
    // The target's clock is as slow as it may be.
    if (!node.holds.grant(mNow, { first, last, aOrder.token, aOrder.handover },
                          withTargetClockSlack(aOrder.length))) {
      return { OrderOutcome::Fenced, "" };
    }
    for (PartitionId i = first; i <= last; ++i) {
      node.releasedByEarlierProcess.erase(i);
    }
    for (const PartitionId i : newlyHeld) {
      for (NodeId other = 0; other < kNodes; ++other) {
        const FencingToken taken = mTakenTokens[std::make_pair(i, other)];
        RC_ASSERT(other == aNode || taken < aOrder.token);
      }
      mTakenTokens[{ i, aNode }] = std::max(mTakenTokens[{ i, aNode }], aOrder.token);
    }
    return { OrderOutcome::Done, "" };
  }

  // Returns the handover data, which is the same when a release is repeated.
  std::string release(NodeId aNode, PartitionId aFirst, PartitionId aLast, FencingToken aToken)
  {
    Node& node = mNodes.at(aNode);
    std::string handover = std::to_string(aNode) + "-" + std::to_string(aToken);
    for (PartitionId i = aFirst; i <= aLast; ++i) {
      if (node.holds.tokenOf(i) <= aToken) {
        node.holds.release(mNow, i, i);
      }
    }
    return handover;
  }

  void check()
  {
    for (const auto& [partition, grant] : mLog) {
      std::size_t holders = 0;
      for (const auto& it : mNodes) {
        holders += it.holds.holds(mNow, partition) ? 1 : 0;
      }
      RC_ASSERT(holders <= 1U);
      Node& owner = mNodes.at(grant.owner - 1);
      const bool isGranted = owner.grants->isGranted(mNow, partition, grant.token);
      if (isGranted && owner.releasedByEarlierProcess.count(partition) > 0) {
        owner.grants->renewEarly(mNow, partition);
      } else {
        RC_ASSERT(!isGranted || owner.holds.holds(mNow, partition));
      }
    }
  }

  TimePoint mNow{ std::chrono::hours(1) };
  FleetModel mModel;
  Revision mRevision = 0;
  std::map<PartitionId, wire::PartitionGrant> mLog;
  std::array<Node, kNodes> mNodes;
  std::vector<Event> mEvents;
  std::map<std::pair<PartitionId, NodeId>, FencingToken> mTakenTokens;
  std::map<std::pair<PartitionId, NodeId>, std::string> mHandovers;
};

} // namespace

TEST_CASE("random interleavings of calls never give a key two holders")
{
  const auto operation =
    rc::gen::tuple(rc::gen::inRange<int>(0, kOperationKinds), rc::gen::inRange<NodeId>(0, kNodes),
                   rc::gen::inRange<PartitionId>(0, kPartitions), rc::gen::inRange(0, 3000));
  const bool holds = rc::check([&] {
    World world;
    for (const auto& it : *rc::gen::container<std::vector<Operation>>(operation)) {
      world.run(it);
    }
    world.settle();
  });
  CHECK(holds);
}

} // namespace camphorcleat::fleet
