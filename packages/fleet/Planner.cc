// Each call computes one placement per service and drops moves beyond the limits of moves in
// flight.

#include "fleet/Planner.h"

#include <algorithm>
#include <numeric>

#include "fleet/BalancedPlacement.h"
#include "fleet/RangePlacement.h"

namespace camphorcleat::fleet {

namespace {

// Returns the partitions to place: all ordinary ones and those of existing pins.
std::vector<PartitionId> partitionsInUse(const FleetModel& aModel, const std::string& aService)
{
  std::vector<PartitionId> out(aModel.partitionCount());
  for (PartitionId i = 0; i < out.size(); ++i) {
    out[i] = i;
  }
  for (const auto& [name, pin] : aModel.pins()) {
    if (pin.service == aService) {
      out.push_back(pin.partition);
    }
  }
  std::sort(out.begin(), out.end());
  return out;
}

// Returns services with keys before the account service, because only moves of keys balance the
// load of targets.
std::vector<std::string> servicesInOrder(const FleetModel& aModel)
{
  std::vector<std::string> out = aModel.grantedServices();
  std::stable_partition(out.begin(), out.end(),
                        [](const std::string& aService) { return aService != kAccountService; });
  return out;
}

bool isRanged(const FleetModel& aModel, const std::string& aService)
{
  const auto it = aModel.services().find(aService);
  return it != aModel.services().end() && it->second.isRanged;
}

// Sets the weight of each target to its capacity: a target with longer run times handles fewer
// requests per second with the same slots.
void setCapacities(const FleetModel& aModel, PlacementInput& aInput)
{
  double runSeconds = 0;
  std::size_t known = 0;
  for (const auto& it : aInput.candidates) {
    const auto load = aInput.loads.find(it.node);
    if (load != aInput.loads.end() && load->second.meanRun > Duration::zero()) {
      runSeconds += toSeconds(load->second.meanRun);
      ++known;
    }
  }
  for (auto& it : aInput.candidates) {
    const auto load = aInput.loads.find(it.node);
    if (load != aInput.loads.end() && load->second.meanRun > Duration::zero()) {
      const double mean = runSeconds / static_cast<double>(known);
      it.weight = aModel.node(it.node)->target.slots * mean / toSeconds(load->second.meanRun);
    }
  }
}

// Whether at least three quarters of the candidates have reported to this leader.
bool hasMostLoads(const PlacementInput& aInput)
{
  const auto reported = std::count_if(
    aInput.candidates.begin(), aInput.candidates.end(),
    [&](const Candidate& aCandidate) { return aInput.loads.count(aCandidate.node) > 0; });
  return 4 * static_cast<std::size_t>(reported) >= 3 * aInput.candidates.size();
}

double weightFor(const wire::Node& aNode, const std::string& aService)
{
  return aService == kAccountService ? 1.0 : static_cast<double>(aNode.target.slots);
}

} // namespace

Planner::Planner(PlannerSettings aSettings, std::unique_ptr<Placement> aPlacement)
  : mSettings(aSettings)
  , mPlacement(std::move(aPlacement))
  , mRangePlacement(std::make_unique<RangePlacement>())
{
  if (!mPlacement) {
    mPlacement = std::make_unique<BalancedPlacement>();
  }
}

Planner::~Planner() = default;

std::vector<wire::CommandBody> Planner::plan(TimePoint aNow, const FleetModel& aModel,
                                             const std::map<NodeId, NodeLoad>& aLoads)
{
  recordRegistrations(aNow, aModel);
  std::vector<wire::CommandBody> out;
  if (aModel.partitionCount() == 0) {
    return out;
  }
  Budget budget = budgetOf(aModel);
  for (auto it = mRates.begin(); it != mRates.end();) {
    it = isRanged(aModel, it->first) ? std::next(it) : mRates.erase(it);
  }
  for (const auto& service : servicesInOrder(aModel)) {
    PlacementInput input;
    input.service = service;
    input.grants = &aModel.grants(service);
    input.candidates = candidatesOf(aNow, aModel, service);
    if (input.candidates.empty()) {
      continue; // No node could take the partitions, so they stay at their owners.
    }
    input.partitions = partitionsInUse(aModel, service);
    input.partitionCount = aModel.partitionCount();
    input.loads = aLoads;
    const bool ranged = isRanged(aModel, service);
    if (ranged) {
      setLoads(aNow, aModel, input);
    }
    if (!ranged || isReadyToPlace(aNow, input)) {
      planService(aModel, ranged ? *mRangePlacement : *mPlacement, input, budget, out);
    }
  }
  return out;
}

// Sets the weight of each partition to its request rate. Every partition gets some weight, because
// the load of any partition may rise.
void Planner::setLoads(TimePoint aNow, const FleetModel& aModel, PlacementInput& aInput)
{
  // Fraction of the total load that is spread evenly over all partitions.
  constexpr double kUniformFraction = 0.25;
  PartitionRates& rates = mRates[aInput.service];
  rates.update(aNow, *aInput.grants, aInput.loads);
  const std::vector<double>& perSecond = rates.perSecond();
  const double total = std::accumulate(perSecond.begin(), perSecond.end(), 0.0);
  if (total <= 0) {
    return;
  }
  aInput.partitionWeights.assign(perSecond.size(),
                                 kUniformFraction * total / static_cast<double>(perSecond.size()));
  aInput.staysAtOwner.resize(perSecond.size());
  for (PartitionId i = 0; i < perSecond.size(); ++i) {
    aInput.partitionWeights[i] += perSecond[i];
    aInput.staysAtOwner[i] = rates.hasMovedWithin(mSettings.minResidence, i);
  }
  aInput.samplesPerWeight = rates.countedSeconds();
  setCapacities(aModel, aInput);
}

std::optional<TimePoint> Planner::nextDeadline(TimePoint aNow) const
{
  std::optional<TimePoint> out;
  const auto consider = [&](TimePoint aAt) {
    if (aAt > aNow && (!out || aAt < *out)) {
      out = aAt;
    }
  };
  for (const auto& [node, history] : mHistory) {
    consider(history.registeredAt + mSettings.settleTime);
    consider(history.cooldownUntil);
  }
  for (const auto& [service, since] : mUnplacedSince) {
    consider(since + mSettings.firstPlacementDelay);
  }
  return out;
}

void Planner::recordRegistrations(TimePoint aNow, const FleetModel& aModel)
{
  for (const auto& [id, node] : aModel.nodes()) {
    if (node.status != wire::NodeStatus::Lost && mHistory[id].incarnation != node.incarnation) {
      recordRegistration(aNow, node);
    }
  }
  for (auto it = mHistory.begin(); it != mHistory.end();) {
    it = aModel.node(it->first) == nullptr ? mHistory.erase(it) : std::next(it);
  }
}

void Planner::recordRegistration(TimePoint aNow, const wire::Node& aNode)
{
  History& history = mHistory[aNode.id];
  history.incarnation = aNode.incarnation;
  history.registeredAt = aNow;
  history.registrations.push_back(aNow);
  while (history.registrations.front() + mSettings.flapWindow < aNow ||
         history.registrations.size() > mSettings.flapRegistrations) {
    history.registrations.pop_front();
  }
  if (history.registrations.size() >= mSettings.flapRegistrations) {
    history.cooldownUntil = aNow + mSettings.flapCooldown;
  }
}

bool Planner::isSettled(TimePoint aNow, NodeId aNode) const
{
  const auto it = mHistory.find(aNode);
  return it != mHistory.end() && it->second.registeredAt + mSettings.settleTime <= aNow;
}

// A partition keeps its token when it loses its owner, so a service whose tokens are all 0 never
// had an owner.
bool Planner::isReadyToPlace(TimePoint aNow, const PlacementInput& aInput)
{
  const bool isUnplaced =
    std::all_of(aInput.grants->begin(), aInput.grants->end(),
                [](const wire::PartitionGrant& aGrant) { return aGrant.token == 0; });
  if (!isUnplaced) {
    mUnplacedSince.erase(aInput.service);
    return true;
  }
  const TimePoint since = mUnplacedSince.emplace(aInput.service, aNow).first->second;
  return aNow - since >= mSettings.firstPlacementDelay;
}

bool Planner::isInCooldown(TimePoint aNow, NodeId aNode) const
{
  const auto it = mHistory.find(aNode);
  return it != mHistory.end() && aNow < it->second.cooldownUntil;
}

// A node in cooldown owns few partitions. Without this restriction it would get every partition
// that loses its owner, and lose them again at its next restart.
std::vector<Candidate> Planner::candidatesOf(TimePoint aNow, const FleetModel& aModel,
                                             const std::string& aService) const
{
  std::vector<Candidate> out;
  for (const auto& [id, node] : aModel.nodes()) {
    if (aModel.mayOwn(node, aService)) {
      const bool coolsDown = isInCooldown(aNow, id);
      out.push_back(
        { id, weightFor(node, aService), !coolsDown && isSettled(aNow, id), !coolsDown });
    }
  }
  return out;
}

// Counts the moves in flight. Moves away from nodes that may not own are urgent, all others are
// balancing moves.
Planner::Budget Planner::budgetOf(const FleetModel& aModel) const
{
  Budget out;
  for (const auto& service : aModel.grantedServices()) {
    for (const auto& grant : aModel.grants(service)) {
      if (grant.movingTo == kNoNode) {
        continue;
      }
      const wire::Node* owner = aModel.node(grant.owner);
      if (owner != nullptr && aModel.mayOwn(*owner, service)) {
        out.balancing += 1;
        out.perReceiver[grant.movingTo] += 1;
      } else {
        out.urgent += 1;
      }
    }
  }
  return out;
}

// Limits the balancing moves of one service. For a ranged one, they are made by load, so they wait
// until most targets have reported theirs to this leader. New moves begin when half of the load
// that may move has arrived, so that they are proposed in groups.
void Planner::limitBalancing(const FleetModel& aModel, const PlacementInput& aInput,
                             Budget& aBudget) const
{
  aBudget.mayBalance = true;
  aBudget.load = 0;
  aBudget.maxLoad.reset();
  const auto rates = mRates.find(aInput.service);
  if (rates == mRates.end()) {
    return;
  }
  aBudget.mayBalance = hasMostLoads(aInput);
  if (aInput.partitionWeights.empty()) {
    return;
  }
  double total = 0;
  for (const PartitionId it : aInput.partitions) {
    const wire::PartitionGrant& grant = (*aInput.grants)[it];
    const wire::Node* owner = aModel.node(grant.owner);
    total += weightOf(aInput, it);
    if (grant.movingTo != kNoNode && owner != nullptr && aModel.mayOwn(*owner, aInput.service) &&
        rates->second.handoverTime(it) < mSettings.maxCountedHandover) {
      aBudget.load += weightOf(aInput, it);
    }
  }
  const double targetShare = 1 / static_cast<double>(aInput.candidates.size());
  aBudget.maxLoad = std::max(mSettings.maxMovingLoadShare, targetShare / 2) * total;
  aBudget.mayBalance = aBudget.mayBalance && aBudget.load <= *aBudget.maxLoad / 2;
}

bool Planner::takeFromBudget(const PlannedMove& aMove, double aLoad, Budget& aBudget) const
{
  if (aMove.isUrgent) {
    if (aBudget.urgent >= mSettings.maxUrgentMovesInFlight) {
      return false;
    }
    aBudget.urgent += 1;
    return true;
  }
  std::size_t& received = aBudget.perReceiver[aMove.to];
  const bool exceedsLoad =
    aBudget.maxLoad && aBudget.load > 0 && aBudget.load + aLoad > *aBudget.maxLoad;
  if (!aBudget.mayBalance || aBudget.balancing >= mSettings.maxMovesInFlight ||
      received >= mSettings.maxMovesInFlightPerNode || exceedsLoad) {
    return false;
  }
  aBudget.load += aLoad;
  aBudget.balancing += 1;
  received += 1;
  return true;
}

void Planner::planService(const FleetModel& aModel, const Placement& aPlacement,
                          PlacementInput& aInput, Budget& aBudget,
                          std::vector<wire::CommandBody>& aOut) const
{
  std::map<NodeId, wire::AssignPartitions> assigns;
  std::map<NodeId, wire::BeginPartitionMove> moves;
  limitBalancing(aModel, aInput, aBudget);
  for (const auto& it : aPlacement.place(aInput)) {
    if (it.from == kNoNode) {
      wire::AssignPartitions& assign = assigns[it.to];
      assign.service = aInput.service;
      assign.node = it.to;
      assign.incarnation = aModel.node(it.to)->incarnation;
      assign.partitions.push_back(it.partition);
    } else if (takeFromBudget(it, weightOf(aInput, it.partition), aBudget)) {
      wire::BeginPartitionMove& move = moves[it.to];
      move.service = aInput.service;
      move.to = it.to;
      move.partitions.push_back(it.partition);
    }
  }
  for (auto& [node, assign] : assigns) {
    aOut.emplace_back(std::move(assign));
  }
  for (auto& [node, move] : moves) {
    aOut.emplace_back(std::move(move));
  }
}

} // namespace camphorcleat::fleet
