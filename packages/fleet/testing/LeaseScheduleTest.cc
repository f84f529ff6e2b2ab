// Guards against two nodes that serve one partition, views that revert, and partitions that stay
// unserved, under random clock drift, pauses, message loss, reordering and leader changes.
//
// Each schedule is determined by its seed. CAMPHORCLEAT_SEED=<n> runs one schedule only;
// CAMPHORCLEAT_SCHEDULES=<n> runs n of each kind.

#include <cstdlib>
#include <functional>
#include <queue>
#include <random>
#include <sstream>

#include <catch2/catch.hpp>

#include "FleetFixtures.h"
#include "fleet/ControlLeader.h"
#include "fleet/NodeAgent.h"

namespace camphorcleat::fleet {
namespace {

constexpr NodeId kMembers = 2;
constexpr NodeId kNodes = 5;
constexpr PartitionId kPartitions = 6;
constexpr Duration kTick = Millis(20);
constexpr double kMaxDrift = 0.005; // Two clocks may then differ by the 1 % of LeaseSettings.
const std::vector<std::string> kServices = { "lookup", kAccountService };

// Protocol rules that a schedule breaks on purpose, to show that the checks detect it.
struct BrokenRules
{
  bool leaderDoesNotWait = false;   // A new leader declares every node lost at once.
  bool countsFromReceipt = false;   // A node's lease starts when it gets the reply.
  bool repliesWithoutRound = false; // A leader grants leases without a quorum.
  bool declaresLossEarly = false;   // A leader declares nodes lost 300 ms too early.
};

struct Faults
{
  double loss = 0.05;
  double duplication = 0.05;
  Millis maxDelay{ 40 };
  BrokenRules broken;
};

// A clock that starts at a random time and runs up to 0.5 % fast or slow.
struct DriftingClock
{
  TimePoint base;
  double rate = 1;

  TimePoint at(Duration aTrueTime) const { return base + fromSeconds(toSeconds(aTrueTime) * rate); }
};

class SimulatedFleet
{
public:
  SimulatedFleet(std::uint64_t aSeed, Faults aFaults)
    : mRandom(aSeed)
    , mFaults(aFaults)
  {
    for (NodeId id = 1; id <= kMembers; ++id) {
      Control& member = mControls[id];
      member.clock = randomClock();
      member.leader = std::make_unique<ControlLeader>(LeaseSettings(), member.state.model(),
                                                      std::make_unique<Planner>());
    }
    for (NodeId id = 1; id <= kNodes; ++id) {
      mNodes[id].clock = randomClock();
      startNode(id);
    }
    commit(systemCommand({ wire::CreateFleet{ kPartitions } }));
    commit(operatorCommand("set-up", { wire::CreateService{ { "lookup", true, {} } } }));
    elect(1);
    for (NodeId id = 1; id <= kMembers; ++id) {
      tickControl(id);
    }
    for (NodeId id = 1; id <= kNodes; ++id) {
      tickNode(id);
    }
  }

  void run(Duration aTime)
  {
    const Duration end = mNow + aTime;
    while (!mEvents.empty() && mEvents.top().at <= end && mViolation.empty()) {
      const Scheduled next = mEvents.top();
      mEvents.pop();
      mNow = next.at;
      next.call();
      checkAll();
    }
    mNow = end;
  }

  int pick(int aBound) { return std::uniform_int_distribution<int>(0, aBound - 1)(mRandom); }
  bool chance(double aLikelihood)
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < aLikelihood;
  }

  void pauseNode(NodeId aNode) { mNodes[aNode].isPaused = true; }
  void resumeNode(NodeId aNode)
  {
    mNodes[aNode].isPaused = false;
    runDeferred(mNodes[aNode].deferred);
  }
  void killNode(NodeId aNode)
  {
    mNodes[aNode].isUp = false;
    mNodes[aNode].agent.reset();
  }
  void startNode(NodeId aNode)
  {
    Node& node = mNodes[aNode];
    NodeAgentConfig config;
    config.id = aNode;
    config.zone = std::string(1, static_cast<char>('a' + aNode % 3));
    config.peerAddress = "127.0.0.1:1";
    config.hasTarget = true;
    config.members = { 1, 2 };
    node.isUp = true;
    node.isPaused = false;
    node.deferred.clear();
    node.process += 1;
    node.revision = 0;
    node.agent = std::make_unique<NodeAgent>(config, mRandom);
    stepNode(aNode, agent::TargetChanged{
                      true, wire::Announcement{ "lookup", 20, 2, Millis(100), true } });
  }
  void setTarget(NodeId aNode, bool aAcceptsRequests)
  {
    stepNode(aNode, agent::TargetChanged{
                      aAcceptsRequests, wire::Announcement{ "lookup", 20, 2, Millis(100), true } });
  }
  bool isUp(NodeId aNode) { return mNodes[aNode].isUp; }
  bool isNodePaused(NodeId aNode) { return mNodes[aNode].isPaused; }
  void cutOff(NodeId aNode, bool aIsCutOff) { mNodes[aNode].isCutOff = aIsCutOff; }

  void pauseControl(NodeId aMember) { mControls[aMember].isPaused = true; }
  void resumeControl(NodeId aMember)
  {
    mControls[aMember].isPaused = false;
    runDeferred(mControls[aMember].deferred);
  }

  // Makes aMember the leader, unless it is paused. The previous leader loses its leadership after a
  // random delay, or once it is resumed if it is paused then.
  void elect(NodeId aMember)
  {
    if (mLeader == aMember || mControls[aMember].isPaused) {
      return;
    }
    const NodeId old = mLeader;
    mLeader = aMember;
    mTerm += 1;
    // Entries that the old leader hadn't committed are lost, or committed first by the new leader.
    for (auto& it : std::exchange(mPending, {})) {
      if (chance(0.5)) {
        commit(it.second);
      }
    }
    Control& member = mControls[aMember];
    member.term = mTerm;
    member.believesToLead = true;
    stepControl(aMember, control::BecameLeader{});
    if (old != kNoNode) {
      // The old leader's quorum check takes 500 ms. Safety must not depend on that, so it may take
      // longer here.
      after(between(Millis(0), Millis(2500)), [this, old, term = mTerm] {
        whenControlRuns(old, [this, old, term] {
          if (mControls[old].believesToLead && mControls[old].term < term) {
            mControls[old].believesToLead = false;
            stepControl(old, control::LostLeadership{ mLeader });
          }
        });
      });
    }
  }

  void setZone(const std::string& aZone, bool aIsOut)
  {
    commit(
      operatorCommand("zone-" + std::to_string(mLog.size()), { wire::SetZone{ aZone, aIsOut } }));
  }

  void setFaults(double aLoss, double aDuplication)
  {
    mFaults.loss = aLoss;
    mFaults.duplication = aDuplication;
  }

  NodeId leader() const { return mLeader; }
  const std::string& violation() const { return mViolation; }

  // The longest time for which any partition was unserved since resetGaps().
  Duration longestGap() const { return mLongestGap; }
  void resetGaps()
  {
    mLongestGap = Duration::zero();
    mLastServed.clear();
  }

  // Describes the partitions that no node serves now, and the running nodes without a lease.
  std::string missing()
  {
    std::ostringstream out;
    for (const auto& service : kServices) {
      for (PartitionId i = 0; i < kPartitions; ++i) {
        if (serversOf(service, i).empty()) {
          out << service << "/" << i << " has no server; ";
        }
      }
    }
    for (auto& [id, node] : mNodes) {
      if (node.isUp && !node.isPaused && !hasLease(node)) {
        out << "node " << id << " has no lease; ";
      }
    }
    return out.str();
  }

private:
  struct Scheduled
  {
    Duration at;
    std::uint64_t order;
    std::function<void()> call;
    bool operator<(const Scheduled& aOther) const
    {
      return std::tie(at, order) > std::tie(aOther.at, aOther.order);
    }
  };
  using Calls = std::vector<std::function<void()>>;
  struct Control
  {
    DriftingClock clock;
    FleetState state;
    std::unique_ptr<ControlLeader> leader;
    std::uint64_t term = 0;
    bool believesToLead = false;
    bool isPaused = false;
    bool isApplying = false;
    Calls deferred;
    std::map<Revision, std::pair<NodeId, RequestId>> submitters;
  };
  struct Node
  {
    DriftingClock clock;
    std::unique_ptr<NodeAgent> agent;
    bool isUp = false;
    bool isPaused = false;
    bool isCutOff = false;
    int process = 0;
    Calls deferred;
    Revision revision = 0;
    Duration lastArrival{ 0 };
    TimePoint receivedAt; // Of the last granted reply, for BrokenRules::countsFromReceipt.
  };

  DriftingClock randomClock()
  {
    const double drift = std::uniform_real_distribution<double>(-kMaxDrift, kMaxDrift)(mRandom);
    return { TimePoint(std::chrono::hours(1 + pick(1000))), 1 + drift };
  }
  Duration between(Duration aLeast, Duration aMost)
  {
    return Duration(
      std::uniform_int_distribution<Duration::rep>(aLeast.count(), aMost.count())(mRandom));
  }
  void after(Duration aDelay, std::function<void()> aCall)
  {
    mEvents.push({ mNow + aDelay, ++mOrder, std::move(aCall) });
  }
  // Runs the calls deferred during a pause, in random order.
  void runDeferred(Calls& aDeferred)
  {
    for (auto& it : std::exchange(aDeferred, {})) {
      after(between(Millis(0), Millis(10)), std::move(it));
    }
  }
  void whenControlRuns(NodeId aMember, std::function<void()> aCall)
  {
    mControls[aMember].isPaused ? mControls[aMember].deferred.push_back(std::move(aCall)) : aCall();
  }
  void whenNodeRuns(NodeId aNode, int aProcess, const std::function<void()>& aCall)
  {
    Node& node = mNodes[aNode];
    if (!node.isUp || node.process != aProcess) {
      return;
    }
    node.isPaused ? node.deferred.push_back([=] { whenNodeRuns(aNode, aProcess, aCall); })
                  : aCall();
  }
  // Messages may be lost, delayed, duplicated and reordered. Without faults they take up to 3 ms
  // and arrive in order, as on one connection.
  void deliver(NodeId aNode, const std::function<void()>& aCall)
  {
    if (mFaults.loss <= 0 && !mNodes[aNode].isCutOff) {
      Duration& last = mNodes[aNode].lastArrival;
      last = std::max(last, mNow + between(Micros(100), Millis(3)));
      after(last - mNow, aCall);
      return;
    }
    const int copies = chance(mFaults.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (chance(mFaults.loss) || mNodes[aNode].isCutOff) {
        continue;
      }
      const Duration longest = chance(0.02) ? Duration(Millis(900)) : Duration(mFaults.maxDelay);
      after(between(Micros(100), longest), aCall);
    }
  }

  // Nodes.

  void tickNode(NodeId aNode)
  {
    if (mNodes[aNode].isUp && !mNodes[aNode].isPaused) {
      stepNode(aNode, agent::Tick{});
    }
    after(kTick + between(Millis(0), Millis(5)), [this, aNode] { tickNode(aNode); });
  }
  void stepNode(NodeId aNode, const agent::Event& aEvent)
  {
    Node& node = mNodes[aNode];
    for (auto& it : node.agent->step(node.clock.at(mNow), aEvent)) {
      if (auto* send = std::get_if<agent::Send>(&it)) {
        sendToControl(aNode, *send);
      } else if (auto* stop = std::get_if<agent::StopPartition>(&it)) {
        after(between(Millis(1), Millis(200)), [this, aNode, process = node.process, stop = *stop] {
          whenNodeRuns(aNode, process, [this, aNode, stop] {
            stepNode(aNode, agent::PartitionIdle{ stop.partition, stop.token });
          });
        });
      }
    }
    checkView(aNode);
  }
  // Each process of a node has its own connection.
  LinkNumber linkOf(NodeId aNode)
  {
    return LinkNumber{ aNode } * 1000 + static_cast<LinkNumber>(mNodes[aNode].process);
  }
  void sendToControl(NodeId aNode, const agent::Send& aSend)
  {
    const NodeId to = aSend.to;
    const LinkNumber link = linkOf(aNode);
    if (const auto* renew = std::get_if<wire::LeaseRenew>(&aSend.message)) {
      deliver(aNode, [this, to, link, renew = *renew] {
        whenControlRuns(to, [this, to, link, renew] {
          stepControl(to, control::RenewArrived{ link, renew });
        });
      });
    } else if (const auto* submit = std::get_if<wire::CommandSubmit>(&aSend.message)) {
      deliver(aNode, [this, to, aNode, submit = *submit] {
        whenControlRuns(to, [this, to, aNode, submit] {
          propose(to, submit.command, { aNode, submit.id });
        });
      });
    }
  }
  void sendToNode(NodeId aFrom, LinkNumber aLink, const wire::PeerMessage& aMessage)
  {
    const auto id = static_cast<NodeId>(aLink / 1000);
    const int process = static_cast<int>(aLink % 1000);
    deliver(id, [this, aFrom, id, process, aMessage] {
      whenNodeRuns(id, process, [this, aFrom, id, aMessage] { receive(aFrom, id, aMessage); });
    });
  }
  void receive(NodeId aFrom, NodeId aNode, const wire::PeerMessage& aMessage)
  {
    if (const auto* reply = std::get_if<wire::LeaseReply>(&aMessage)) {
      if (reply->status == wire::LeaseStatus::Granted) {
        mNodes[aNode].receivedAt = mNodes[aNode].clock.at(mNow);
      }
      stepNode(aNode, agent::LeaseReplyArrived{ aFrom, *reply });
    } else if (const auto* update = std::get_if<wire::ViewUpdate>(&aMessage)) {
      stepNode(aNode, agent::UpdateArrived{ *update });
    } else if (const auto* part = std::get_if<wire::ViewSnapshot>(&aMessage)) {
      stepNode(aNode, agent::SnapshotArrived{ *part });
    } else if (const auto* reply = std::get_if<wire::CommandReply>(&aMessage)) {
      stepNode(aNode, agent::ReplyArrived{ *reply });
    }
  }

  // Control members and the log.

  void tickControl(NodeId aMember)
  {
    if (!mControls[aMember].isPaused) {
      stepControl(aMember, control::Tick{});
    }
    after(kTick + between(Millis(0), Millis(5)), [this, aMember] { tickControl(aMember); });
  }
  void stepControl(NodeId aMember, const control::Event& aEvent)
  {
    Control& member = mControls[aMember];
    TimePoint now = member.clock.at(mNow);
    if (mFaults.broken.declaresLossEarly && std::holds_alternative<control::Tick>(aEvent)) {
      now += Millis(300);
    }
    for (const auto& it : member.leader->step(now, aEvent)) {
      if (const auto* round = std::get_if<control::StartQuorumRound>(&it)) {
        startRound(aMember, round->round);
      } else if (const auto* reply = std::get_if<control::Reply>(&it)) {
        for (const LinkNumber link : reply->links) {
          sendToNode(aMember, link, reply->message);
        }
      } else if (const auto* command = std::get_if<control::Propose>(&it)) {
        propose(aMember, command->command, {});
      }
    }
    if (mFaults.broken.leaderDoesNotWait && std::holds_alternative<control::BecameLeader>(aEvent)) {
      for (const auto& [id, node] : member.state.model().nodes()) {
        propose(aMember, systemCommand({ wire::NodeLost{ id, node.incarnation } }), {});
      }
    }
  }
  void startRound(NodeId aMember, std::uint64_t aRound)
  {
    const bool isQuorumLost = mControls[aMember].term != mTerm;
    const Revision committed = mLog.size();
    if (isQuorumLost && !mFaults.broken.repliesWithoutRound) {
      after(between(Millis(50), Millis(400)), [this, aMember, aRound] {
        whenControlRuns(aMember,
                        [=] { stepControl(aMember, control::QuorumRoundFailed{ aRound }); });
      });
      return;
    }
    after(between(Millis(1), Millis(15)), [this, aMember, aRound, committed] {
      whenControlRuns(aMember, [=] {
        applyUpTo(aMember, committed);
        stepControl(aMember, control::QuorumRoundDone{ aRound, committed });
      });
    });
  }
  void propose(NodeId aMember, const wire::Command& aCommand,
               const std::pair<NodeId, RequestId>& aSubmitter)
  {
    Control& member = mControls[aMember];
    if (!member.believesToLead) {
      replyTo(aMember, aSubmitter, ErrorCode::NotLeader);
      return;
    }
    if (member.term != mTerm) {
      return; // Without a quorum the command is never committed.
    }
    const std::uint64_t number = ++mProposals;
    mPending.emplace(number, aCommand);
    after(between(Millis(2), Millis(15)), [this, number, aMember, aSubmitter] {
      const auto it = mPending.find(number);
      if (it == mPending.end()) {
        return;
      }
      const wire::Command command = std::move(it->second);
      mPending.erase(it);
      mControls[aMember].submitters[mLog.size() + 1] = aSubmitter;
      commit(command);
    });
  }
  void commit(const wire::Command& aCommand)
  {
    mLog.push_back(aCommand);
    for (NodeId id = 1; id <= kMembers; ++id) {
      after(between(Millis(0), Millis(id == mLeader ? 2 : 50)),
            [this, id, end = mLog.size()] { whenControlRuns(id, [=] { applyUpTo(id, end); }); });
    }
  }
  void applyUpTo(NodeId aMember, Revision aEnd)
  {
    Control& member = mControls[aMember];
    while (member.state.revision() < aEnd) {
      const wire::Command command = mLog[member.state.revision()];
      auto applied = member.state.apply(member.state.revision() + 1, command);
      const Revision revision = member.state.revision();
      if (mModelHashes.size() < revision) {
        mModelHashes.push_back(hashOf(bytesOf(member.state.model())));
      }
      stepControl(aMember, control::Applied{ revision, std::move(applied.changes),
                                             isPlannerCommand(command) });
      const auto it = member.submitters.find(revision);
      if (it != member.submitters.end()) {
        replyTo(aMember, it->second, applied.result.code);
        member.submitters.erase(it);
      }
    }
  }
  void replyTo(NodeId aMember, const std::pair<NodeId, RequestId>& aSubmitter, ErrorCode aCode)
  {
    if (aSubmitter.first == kNoNode) {
      return;
    }
    wire::CommandReply reply;
    reply.id = aSubmitter.second;
    reply.result.code = aCode;
    const LinkNumber link = linkOf(aSubmitter.first);
    sendToNode(aMember, link, reply);
  }

  // Checks.

  static std::size_t hashOf(const std::string& aBytes) { return std::hash<std::string>()(aBytes); }

  bool hasLease(const Node& aNode) const
  {
    const TimePoint now = aNode.clock.at(mNow);
    if (mFaults.broken.countsFromReceipt && now < aNode.receivedAt + Millis(1000)) {
      return true;
    }
    return now < aNode.agent->leaseValidUntil();
  }

  // Returns the nodes that may serve the partition. They include paused nodes, because a write that
  // was checked before the pause may be done after it and must still be within the lease.
  std::vector<NodeId> serversOf(const std::string& aService, PartitionId aPartition)
  {
    std::vector<NodeId> out;
    for (const auto& [id, node] : mNodes) {
      if (!node.isUp || !hasLease(node)) {
        continue;
      }
      const auto model = node.agent->model();
      const wire::PartitionGrant* grant = model->grant(aService, aPartition);
      if (grant != nullptr && grant->owner == id &&
          grant->incarnation == node.agent->incarnation() && grant->movingTo == kNoNode) {
        out.push_back(id);
      }
    }
    return out;
  }

  void checkAll()
  {
    for (const auto& service : kServices) {
      for (PartitionId i = 0; i < kPartitions; ++i) {
        const auto servers = serversOf(service, i);
        if (servers.size() > 1) {
          violate("nodes " + std::to_string(servers[0]) + " and " + std::to_string(servers[1]) +
                  " both serve " + service + "/" + std::to_string(i));
        }
        recordService(service, i, !servers.empty());
      }
    }
  }
  void recordService(const std::string& aService, PartitionId aPartition, bool aIsServed)
  {
    const auto [it, isNew] = mLastServed.try_emplace({ aService, aPartition }, mNow);
    if (!isNew) {
      mLongestGap = std::max(mLongestGap, mNow - it->second);
    }
    if (aIsServed) {
      it->second = mNow;
    }
  }
  void checkView(NodeId aNode)
  {
    Node& node = mNodes[aNode];
    const Revision revision = node.agent->revision();
    if (revision == node.revision) {
      return;
    }
    if (revision < node.revision) {
      violate("the view of node " + std::to_string(aNode) + " reverted");
    } else if (hashOf(bytesOf(*node.agent->model())) != mModelHashes.at(revision - 1)) {
      violate("the view of node " + std::to_string(aNode) + " is not that of revision " +
              std::to_string(revision));
    }
    node.revision = revision;
  }
  void violate(const std::string& aWhat)
  {
    if (mViolation.empty()) {
      mViolation = aWhat + " at " + std::to_string(toMillis(mNow)) + " ms";
    }
  }

  std::mt19937_64 mRandom;
  Faults mFaults;
  Duration mNow{ 0 };
  std::uint64_t mOrder = 0;
  std::priority_queue<Scheduled> mEvents;
  std::map<NodeId, Control> mControls;
  std::map<NodeId, Node> mNodes;
  NodeId mLeader = kNoNode;
  std::uint64_t mTerm = 0;
  std::vector<wire::Command> mLog;
  std::uint64_t mProposals = 0;
  std::map<std::uint64_t, wire::Command> mPending;
  std::vector<std::size_t> mModelHashes; // Hash of the model at each revision.
  std::map<ServicePartition, Duration> mLastServed;
  Duration mLongestGap{ 0 };
  std::string mViolation;
};

void disturb(SimulatedFleet& aFleet)
{
  const NodeId node = 1 + static_cast<NodeId>(aFleet.pick(kNodes));
  const NodeId member = 1 + static_cast<NodeId>(aFleet.pick(kMembers));
  switch (aFleet.pick(9)) {
    case 0:
      aFleet.isUp(node) ? aFleet.killNode(node) : aFleet.startNode(node);
      break;
    case 1:
    case 2:
      if (aFleet.isUp(node)) {
        aFleet.isNodePaused(node) ? aFleet.resumeNode(node) : aFleet.pauseNode(node);
      }
      break;
    case 3:
      aFleet.cutOff(node, aFleet.chance(0.5));
      break;
    case 4:
      aFleet.pauseControl(aFleet.leader());
      aFleet.run(Millis(aFleet.pick(600)));
      aFleet.elect(3 - aFleet.leader());
      break;
    case 5:
      aFleet.elect(3 - aFleet.leader());
      break;
    case 6:
    case 7:
      aFleet.resumeControl(member);
      break;
    default:
      aFleet.setZone(aFleet.chance(0.5) ? "a" : "b", aFleet.chance(0.4));
      break;
  }
}

void disturbedRun(SimulatedFleet& aFleet)
{
  aFleet.run(Millis(1500));
  for (int i = 0; i < 25 && aFleet.violation().empty(); ++i) {
    disturb(aFleet);
    aFleet.run(Millis(aFleet.pick(700)));
  }
}

void healAll(SimulatedFleet& aFleet)
{
  aFleet.setFaults(0, 0);
  for (NodeId id = 1; id <= kMembers; ++id) {
    aFleet.resumeControl(id);
  }
  for (NodeId id = 1; id <= kNodes; ++id) {
    aFleet.cutOff(id, false);
    aFleet.isUp(id) ? aFleet.resumeNode(id) : aFleet.startNode(id);
  }
  aFleet.setZone("a", false);
  aFleet.setZone("b", false);
}

// After a node was cut off, its loss is declared (1,030 ms), it learns of that from a member that
// it may first have to find (400 ms and a renewal), and it registers. Handovers end within 200 ms.
constexpr Millis kServiceBound{ 4000 };

void check(std::uint64_t aSeed, const Faults& aFaults, const std::string& aTest)
{
  INFO("repeat with: CAMPHORCLEAT_SEED=" << aSeed << " build/testing/fleet_test '" << aTest << "'");
  SimulatedFleet fleet(aSeed, aFaults);
  disturbedRun(fleet);
  REQUIRE_THAT(fleet.violation(), Catch::Matchers::Equals(std::string()));
  healAll(fleet);
  fleet.run(kServiceBound);
  REQUIRE_THAT(fleet.violation(), Catch::Matchers::Equals(std::string()));
  REQUIRE_THAT(fleet.missing(), Catch::Matchers::Equals(std::string()));
}

std::uint64_t envNumber(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text != nullptr ? std::strtoull(text, nullptr, 10) : aDefault;
}

template<class Call>
void forSeeds(std::uint64_t aFirst, std::uint64_t aCount, Call&& aCall)
{
  const bool isOne = std::getenv("CAMPHORCLEAT_SEED") != nullptr;
  const std::uint64_t first = envNumber("CAMPHORCLEAT_SEED", aFirst);
  const std::uint64_t count = isOne ? 1 : envNumber("CAMPHORCLEAT_SCHEDULES", aCount);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    aCall(seed);
  }
}

// Returns whether two nodes serve one partition in any schedule. Stops at the first such schedule.
bool isDetected(const BrokenRules& aBroken)
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Faults faults;
    faults.broken = aBroken;
    SimulatedFleet fleet(seed, faults);
    disturbedRun(fleet);
    if (fleet.violation().find("both serve") != std::string::npos) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_CASE("Random faults never let two nodes serve a partition")
{
  forSeeds(1000, 45, [](std::uint64_t aSeed) {
    check(aSeed, Faults{}, "Random faults never let two nodes serve a partition");
  });
}

TEST_CASE("Heavy loss and delay never let two nodes serve a partition")
{
  forSeeds(2000, 30, [](std::uint64_t aSeed) {
    check(aSeed, Faults{ 0.25, 0.25, Millis(400), {} },
          "Heavy loss and delay never let two nodes serve a partition");
  });
}

TEST_CASE("Without faults no partition is ever unserved")
{
  forSeeds(3000, 5, [](std::uint64_t aSeed) {
    INFO("repeat with: CAMPHORCLEAT_SEED="
         << aSeed << " build/testing/fleet_test 'Without faults no partition is ever unserved'");
    SimulatedFleet fleet(aSeed, Faults{ 0, 0, Millis(3), {} });
    fleet.run(Millis(3000));
    REQUIRE_THAT(fleet.missing(), Catch::Matchers::Equals(std::string()));
    fleet.resetGaps();
    fleet.run(Millis(10000));
    REQUIRE_THAT(fleet.violation(), Catch::Matchers::Equals(std::string()));
    CHECK(toMillis(fleet.longestGap()) <= 25); // The interval between two steps.
  });
}

TEST_CASE("A lost node's partitions are served again within 2 s, also with a new leader")
{
  forSeeds(4000, 30, [](std::uint64_t aSeed) {
    INFO("repeat with: CAMPHORCLEAT_SEED=" << aSeed << " build/testing/fleet_test 'A lost node*'");
    SimulatedFleet fleet(aSeed, Faults{ 0, 0, Millis(3), {} });
    fleet.run(Millis(3000 + fleet.pick(500)));
    REQUIRE_THAT(fleet.missing(), Catch::Matchers::Equals(std::string()));
    fleet.resetGaps();
    const bool isPause = aSeed % 2 == 0;
    isPause ? fleet.pauseNode(3) : fleet.killNode(3);
    if (aSeed % 3 == 0) {
      fleet.pauseControl(fleet.leader());
      fleet.run(Millis(500)); // The maximum duration of an election.
      fleet.elect(3 - fleet.leader());
    }
    fleet.run(Millis(2500));
    fleet.resumeNode(3);
    fleet.run(Millis(2000));
    REQUIRE_THAT(fleet.violation(), Catch::Matchers::Equals(std::string()));
    CHECK(toMillis(fleet.longestGap()) <= 2000);
  });
}

TEST_CASE("The checks detect a new leader that doesn't wait until leases expire")
{
  BrokenRules broken;
  broken.leaderDoesNotWait = true;
  CHECK(isDetected(broken));
}

TEST_CASE("The checks detect a node whose lease starts with the reply")
{
  BrokenRules broken;
  broken.countsFromReceipt = true;
  CHECK(isDetected(broken));
}

TEST_CASE("The checks detect a leader that grants leases without a quorum")
{
  BrokenRules broken;
  broken.repliesWithoutRound = true;
  CHECK(isDetected(broken));
}

TEST_CASE("The checks detect a leader that declares nodes lost too early")
{
  BrokenRules broken;
  broken.declaresLossEarly = true;
  CHECK(isDetected(broken));
}

} // namespace camphorcleat::fleet
