// Measures the cost of the control protocol at the leader and at a node for several fleet sizes. It
// uses the daemon's decision code and codec, without sockets, threads and disks.
//
// Processor times are those of this thread. Byte counts are those of the encoded messages, without
// the connections' framing (2 to 8 bytes per message).

#include <algorithm>
#include <cstdio>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <string>

#include <ctime>

#include <malloc.h>

#include "fleet/ControlLeader.h"
#include "fleet/FleetState.h"
#include "fleet/NodeAgent.h"
#include "wire/WireCodec.h"

namespace camphorcleat::fleet {
namespace {

constexpr unsigned kZones = 7;
constexpr unsigned kAccounts = 200;
constexpr double kRenewalsPerSecond = 5;
constexpr double kTicksPerSecond = 200; // The daemon's control thread ticks every 5 ms.
constexpr double kSecondsPerDay = 86'400;
constexpr double kChangesPerDay = 1600; // From R37, like the next two.
constexpr double kLossesPerDay = 2;
constexpr double kRestartsPerDay = 110;
constexpr unsigned kRenewalsPerRound = 10; // Renewals that share a quorum round.

double cpuMicros()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

double heapMegabytes()
{
  return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd) / 1e6;
}

/// Results for one fleet size. Times are microseconds of processor time.
struct Costs
{
  double nodes = 0;
  double partitions = 0;
  std::map<std::string, double> figures;
};

wire::Command systemCommand(wire::CommandBody aBody)
{
  wire::Command out;
  out.issuer = wire::kSystemIssuer;
  out.bodies.push_back(std::move(aBody));
  return out;
}

/// A leader with a fleet of the given size, and the agent of one of its nodes.
class SimulatedFleet
{
public:
  SimulatedFleet(NodeId aNodes, PartitionId aPartitions)
    : mNodeCount(aNodes)
  {
    const double heapBefore = heapMegabytes();
    apply(systemCommand(wire::CreateFleet{ aPartitions }));
    apply(operatorCommand(wire::CreateService{ { "lookup", true, {} } }));
    for (unsigned i = 0; i < kAccounts; ++i) {
      apply(operatorCommand(wire::CreateAccount{ account(i), 100, 100 }));
    }
    for (NodeId i = 1; i <= aNodes; ++i) {
      mIncarnations[i] = i + 1000;
      apply(systemCommand(wire::RegisterNode{ nodeOf(i) }));
    }
    Planner planner;
    mNow += Millis(400);
    for (auto bodies = planner.plan(mNow, mState.model(), {}); !bodies.empty();
         bodies = planner.plan(mNow, mState.model(), {})) {
      for (auto& it : bodies) {
        apply(systemCommand(std::move(it)));
      }
    }
    costs.figures["leader_state_mb"] = heapMegabytes() - heapBefore;
    mLeader =
      std::make_unique<ControlLeader>(LeaseSettings(), mState.model(), std::make_unique<Planner>());
    mLeader->step(mNow, control::Restored{ mState.revision() });
    mLeader->step(mNow, control::BecameLeader{});
    renewAll();
    // The planner treats nodes that are new to it as just registered and gives them no balancing
    // moves for its settle time of 300 ms.
    mNow += Millis(400);
    renewAll();
    mLeader->step(mNow, control::Tick{});
    costs.nodes = aNodes;
    costs.partitions = aPartitions;
    startAgent();
  }

  void measure()
  {
    measureRenewals();
    measureTicks();
    measureChanges();
    measureLosses();
    addTotals();
  }

  Costs costs;

private:
  static std::string account(unsigned aNumber) { return "account-" + std::to_string(aNumber); }

  wire::Node nodeOf(NodeId aId) const
  {
    wire::Node out;
    out.id = aId;
    out.incarnation = mIncarnations.at(aId);
    out.zone = std::string(1, static_cast<char>('a' + aId % kZones));
    out.peerAddress =
      "10.0." + std::to_string(aId / 256) + "." + std::to_string(aId % 256) + ":7001";
    out.target = wire::Announcement{ "lookup", 20, 2, Millis(100), true };
    return out;
  }

  wire::Command operatorCommand(wire::CommandBody aBody)
  {
    wire::Command out = systemCommand(std::move(aBody));
    out.issuer = "ana";
    out.commandId = "command-" + std::to_string(++mCommands);
    return out;
  }

  fleet::AppliedCommand apply(const wire::Command& aCommand)
  {
    return mState.apply(mState.revision() + 1, aCommand);
  }

  // Handles one command as the leader's process does: decodes the entry, applies it and encodes the
  // messages to send. Resulting proposals are queued.
  void commit(const std::string& aEntry)
  {
    const auto command =
      orElse([&]() -> Result<wire::Command> { return wire::decodeCommand(aEntry); },
             [](const ErrorInfo&) { return wire::Command(); });
    fleet::AppliedCommand applied = apply(command);
    perform(mLeader->step(mNow, control::Applied{ mState.revision(), std::move(applied.changes),
                                                  isPlannerCommand(command) }));
  }

  void perform(const std::vector<control::Action>& aActions)
  {
    for (const auto& it : aActions) {
      if (const auto* reply = std::get_if<control::Reply>(&it)) {
        const std::string bytes = wire::encodePeerMessage(reply->message);
        mSentBytes += static_cast<double>(bytes.size() * reply->links.size());
        if (std::find(reply->links.begin(), reply->links.end(), mNodeCount) != reply->links.end()) {
          mToAgent.push_back(bytes);
        }
      } else if (const auto* propose = std::get_if<control::Propose>(&it)) {
        mProposals.push_back(wire::encodeCommand(propose->command));
      } else if (const auto* start = std::get_if<control::StartQuorumRound>(&it)) {
        mRound = start->round;
      }
    }
  }

  void commitProposals()
  {
    while (!mProposals.empty()) {
      const std::string entry = std::move(mProposals.front());
      mProposals.pop_front();
      mLogBytes += static_cast<double>(entry.size());
      commit(entry);
    }
  }

  std::string renewal(NodeId aNode)
  {
    return wire::encodePeerMessage(
      wire::LeaseRenew{ aNode, mIncarnations[aNode], ++mSequence, mState.revision(), 8300 });
  }

  void receiveAtLeader(const std::string& aBytes, NodeId aNode)
  {
    const auto message =
      orElse([&]() -> Result<wire::PeerMessage> { return wire::decodePeerMessage(aBytes); },
             [](const ErrorInfo&) { return wire::PeerMessage(); });
    if (const auto* renew = std::get_if<wire::LeaseRenew>(&message)) {
      perform(mLeader->step(mNow, control::RenewArrived{ aNode, *renew }));
    }
  }

  void finishRounds()
  {
    for (std::uint64_t done = 0; done != mRound;) {
      done = mRound;
      perform(mLeader->step(mNow, control::QuorumRoundDone{ done, mState.revision() }));
    }
  }

  // Returns the processor time at the leader, without the time to encode the renewals.
  double renewAll()
  {
    std::vector<std::string> renewals;
    for (NodeId i = 1; i <= mNodeCount; ++i) {
      renewals.push_back(renewal(i));
    }
    mRenewBytes = static_cast<double>(renewals.back().size());
    const double start = cpuMicros();
    for (NodeId i = 1; i <= mNodeCount; ++i) {
      receiveAtLeader(renewals[i - 1], i);
      if (i % kRenewalsPerRound == 0) {
        finishRounds();
      }
    }
    finishRounds();
    return cpuMicros() - start;
  }

  void startAgent()
  {
    const double heapBefore = heapMegabytes();
    NodeAgentConfig config;
    config.id = mNodeCount;
    config.zone = "a";
    config.members = { 1 };
    mAgent = std::make_unique<NodeAgent>(config, mRandom);
    std::vector<std::string> parts;
    double bytes = 0;
    for (const auto& it : snapshotParts(mState.model(), mState.revision())) {
      parts.push_back(wire::encodePeerMessage(it));
      bytes += static_cast<double>(parts.back().size());
    }
    costs.figures["full_view_bytes"] = bytes;
    const double start = cpuMicros();
    for (const auto& it : parts) {
      deliver(it);
    }
    costs.figures["node_full_view_us"] = cpuMicros() - start;
    parts.clear();
    costs.figures["node_state_mb"] = heapMegabytes() - heapBefore;
    mToAgent.clear();
  }

  void deliver(const std::string& aBytes)
  {
    const auto message =
      orElse([&]() -> Result<wire::PeerMessage> { return wire::decodePeerMessage(aBytes); },
             [](const ErrorInfo&) { return wire::PeerMessage(); });
    if (const auto* update = std::get_if<wire::ViewUpdate>(&message)) {
      mAgent->step(mNow, agent::UpdateArrived{ *update });
    } else if (const auto* part = std::get_if<wire::ViewSnapshot>(&message)) {
      mAgent->step(mNow, agent::SnapshotArrived{ *part });
    } else if (const auto* reply = std::get_if<wire::LeaseReply>(&message)) {
      mAgent->step(mNow, agent::LeaseReplyArrived{ 1, *reply });
    }
  }

  // Delivers the leader's messages to the agent. Returns the processor time and the number of
  // bytes.
  std::pair<double, double> deliverToAgent()
  {
    double bytes = 0;
    const double start = cpuMicros();
    for (const auto& it : mToAgent) {
      bytes += static_cast<double>(it.size());
      deliver(it);
    }
    const double took = cpuMicros() - start;
    mToAgent.clear();
    return { took, bytes };
  }

  void measureRenewals()
  {
    constexpr int kRuns = 5;
    mSentBytes = 0;
    double took = 0;
    for (int i = 0; i < kRuns; ++i) {
      mNow += Millis(200);
      took += renewAll();
    }
    costs.figures["leader_renewal_us"] = took / (kRuns * mNodeCount);
    costs.figures["renewal_bytes"] = mRenewBytes + mSentBytes / (kRuns * mNodeCount);
    mToAgent.clear();
    measureAgentRenewal();
  }

  void measureAgentRenewal()
  {
    constexpr int kRenewals = 500;
    double took = 0;
    for (int i = 0; i < kRenewals; ++i) {
      mNow += Millis(200);
      const double start = cpuMicros();
      std::uint64_t sequence = 0;
      for (const auto& it : mAgent->step(mNow, agent::Tick{})) {
        const auto* send = std::get_if<agent::Send>(&it);
        if (send == nullptr) {
          continue;
        }
        wire::encodePeerMessage(send->message);
        if (const auto* renew = std::get_if<wire::LeaseRenew>(&send->message)) {
          sequence = renew->sequence;
        }
      }
      const double sent = cpuMicros();
      const std::string reply = wire::encodePeerMessage(wire::LeaseReply{
        sequence, wire::LeaseStatus::Granted, kNoNode, Millis(1000), mState.revision() });
      const double received = cpuMicros();
      deliver(reply);
      took += cpuMicros() - received + sent - start;
    }
    costs.figures["node_renewal_us"] = took / kRenewals;
    renewAll(); // The agent's renewals advanced the clock, so the other nodes must renew too.
    mToAgent.clear();
  }

  void measureTicks()
  {
    constexpr int kTicks = 50;
    const double start = cpuMicros();
    for (int i = 0; i < kTicks; ++i) {
      mNow += Millis(5);
      perform(mLeader->step(mNow, control::Tick{}));
    }
    costs.figures["leader_tick_us"] = (cpuMicros() - start) / kTicks;
  }

  void measureChanges()
  {
    constexpr int kChanges = 20;
    renewAll();
    mToAgent.clear();
    mSentBytes = 0;
    double took = 0;
    double agentTook = 0;
    double agentBytes = 0;
    for (int i = 0; i < kChanges; ++i) {
      const std::string entry =
        wire::encodeCommand(operatorCommand(wire::SetRate{ account(i), 200.0 + i, 100 }));
      const double start = cpuMicros();
      commit(entry);
      took += cpuMicros() - start;
      const auto [agentMicros, bytes] = deliverToAgent();
      agentTook += agentMicros;
      agentBytes += bytes;
    }
    costs.figures["leader_change_us"] = took / kChanges;
    costs.figures["node_change_us"] = agentTook / kChanges;
    costs.figures["change_bytes_per_node"] = agentBytes / kChanges;
    costs.figures["leader_change_bytes"] = mSentBytes / kChanges;
    if (mAgent->revision() != mState.revision()) {
      std::fprintf(stderr, "the agent did not apply all changes, so its results are invalid\n");
      std::exit(1);
    }
  }

  void measureLosses()
  {
    constexpr NodeId kLosses = 3;
    double took = 0;
    double agentTook = 0;
    double agentBytes = 0;
    double entries = 0;
    mSentBytes = 0;
    mLogBytes = 0;
    for (NodeId i = 1; i <= kLosses; ++i) {
      mProposals.push_back(
        wire::encodeCommand(systemCommand(wire::NodeLost{ i, mIncarnations[i] })));
      const Revision before = mState.revision();
      const double start = cpuMicros();
      commitProposals();
      took += cpuMicros() - start;
      entries += static_cast<double>(mState.revision() - before);
      const auto [agentMicros, bytes] = deliverToAgent();
      agentTook += agentMicros;
      agentBytes += bytes;
    }
    costs.figures["leader_loss_us"] = took / kLosses;
    costs.figures["loss_entries"] = entries / kLosses;
    costs.figures["loss_log_bytes"] = mLogBytes / kLosses;
    costs.figures["node_loss_us"] = agentTook / kLosses;
    costs.figures["loss_bytes_per_node"] = agentBytes / kLosses;
    costs.figures["leader_loss_bytes"] = mSentBytes / kLosses;
  }

  // A restart has the cost of two losses, because the partitions are moved away and back.
  void addTotals()
  {
    auto& f = costs.figures;
    const double losses = (kLossesPerDay + 2 * kRestartsPerDay) / kSecondsPerDay;
    const double changes = kChangesPerDay / kSecondsPerDay;
    const double renewals = kRenewalsPerSecond * mNodeCount;
    // Percent of one core for each microsecond per second.
    constexpr double kPercentPerMicro = 1e-4;
    f["node_bytes_s"] = kRenewalsPerSecond * f["renewal_bytes"] +
                        changes * f["change_bytes_per_node"] + losses * f["loss_bytes_per_node"];
    f["leader_bytes_s"] = renewals * f["renewal_bytes"] + changes * f["leader_change_bytes"] +
                          losses * f["leader_loss_bytes"];
    f["node_cpu_percent"] =
      kPercentPerMicro * (kRenewalsPerSecond * f["node_renewal_us"] +
                          changes * f["node_change_us"] + losses * f["node_loss_us"]);
    f["leader_renewal_cpu_percent"] = kPercentPerMicro * renewals * f["leader_renewal_us"];
    f["leader_tick_cpu_percent"] = kPercentPerMicro * kTicksPerSecond * f["leader_tick_us"];
    f["leader_cpu_percent"] =
      f["leader_renewal_cpu_percent"] + f["leader_tick_cpu_percent"] +
      kPercentPerMicro * (changes * f["leader_change_us"] + losses * f["leader_loss_us"]);
  }

  NodeId mNodeCount;
  FleetState mState;
  std::map<NodeId, Incarnation> mIncarnations;
  TimePoint mNow{ std::chrono::hours(1) };
  std::unique_ptr<ControlLeader> mLeader;
  std::mt19937_64 mRandom{ 1 };
  std::unique_ptr<NodeAgent> mAgent;
  std::deque<std::string> mProposals;
  std::vector<std::string> mToAgent;
  std::uint64_t mRound = 0;
  std::uint64_t mSequence = 0;
  unsigned mCommands = 0;
  double mSentBytes = 0;
  double mLogBytes = 0;
  double mRenewBytes = 0;
};

/// Least-squares fit of y = base + slope * x.
struct Line
{
  double base = 0;
  double slope = 0;
};

Line fit(const std::vector<std::pair<double, double>>& aPoints)
{
  double meanX = 0;
  double meanY = 0;
  for (const auto& [x, y] : aPoints) {
    meanX += x / static_cast<double>(aPoints.size());
    meanY += y / static_cast<double>(aPoints.size());
  }
  double xy = 0;
  double xx = 0;
  for (const auto& [x, y] : aPoints) {
    xy += (x - meanX) * (y - meanY);
    xx += (x - meanX) * (x - meanX);
  }
  const double slope = xx > 0 ? xy / xx : 0;
  return { meanY - slope * meanX, slope };
}

// Fits one figure against the number of nodes (at the largest number of partitions) or the number
// of partitions (at the largest number of nodes).
Line slopeOf(const std::vector<Costs>& aCosts, const std::string& aName, double Costs::*aAlong,
             double Costs::*aFixed)
{
  std::vector<std::pair<double, double>> points;
  for (const auto& it : aCosts) {
    if (it.*aFixed == aCosts.back().*aFixed) {
      points.emplace_back(it.*aAlong, it.figures.at(aName));
    }
  }
  return fit(points);
}

void print(const std::vector<Costs>& aCosts)
{
  std::printf("%-28s", "nodes / partitions");
  for (const auto& it : aCosts) {
    std::printf(" %5.0f/%-6.0f", it.nodes, it.partitions);
  }
  std::printf(" %12s %16s\n", "per node", "per 1,000 part.");
  for (const auto& [name, last] : aCosts.back().figures) {
    std::printf("%-28s", name.c_str());
    for (const auto& it : aCosts) {
      std::printf(" %12.5g", it.figures.at(name));
    }
    std::printf(" %12.4g %16.4g\n", slopeOf(aCosts, name, &Costs::nodes, &Costs::partitions).slope,
                slopeOf(aCosts, name, &Costs::partitions, &Costs::nodes).slope * 1000);
  }
}

void writeJson(const std::vector<Costs>& aCosts, const char* aFile)
{
  std::ofstream out(aFile);
  out << "{\"sizes\": [";
  const char* separator = "";
  for (const auto& it : aCosts) {
    out << separator << "\n {\"nodes\": " << it.nodes << ", \"partitions\": " << it.partitions;
    for (const auto& [name, value] : it.figures) {
      out << ", \"" << name << "\": " << value;
    }
    out << "}";
    separator = ",";
  }
  out << "],\n\"slopes\": [";
  separator = "";
  for (const auto& [name, last] : aCosts.back().figures) {
    const Line nodes = slopeOf(aCosts, name, &Costs::nodes, &Costs::partitions);
    const Line partitions = slopeOf(aCosts, name, &Costs::partitions, &Costs::nodes);
    out << separator << "\n {\"name\": \"" << name << "\", \"per_node\": " << nodes.slope
        << ", \"per_partition\": " << partitions.slope << ", \"at_470_nodes\": " << last << "}";
    separator = ",";
  }
  out << "]}\n";
}

} // namespace
} // namespace camphorcleat::fleet

int main(int argc, char** argv)
{
  using namespace camphorcleat;
  std::vector<fleet::Costs> costs;
  for (const NodeId nodes : { 30, 120, 470 }) {
    for (const PartitionId partitions : { 1024, 4096, 16'384 }) {
      fleet::SimulatedFleet simulation(nodes, partitions);
      simulation.measure();
      costs.push_back(simulation.costs);
    }
  }
  fleet::print(costs);
  if (argc > 1) {
    fleet::writeJson(costs, argv[1]);
  }
  return 0;
}
