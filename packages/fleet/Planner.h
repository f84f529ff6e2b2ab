// Turns the difference between the present owners and those that the placement computes into
// commands, and limits the number of moves in progress so that receivers aren't overloaded.
//
// Partitions without an owner are assigned at once, because no node serves them. Moves away from
// nodes that may no longer own are urgent (R4, R10) but limited in number, so that few keys are in
// handover at the same time. Balancing moves to a node start only some time after it registered,
// and are not made to nodes that register repeatedly.

#ifndef CAMPHORCLEAT_FLEET_PLANNER_H_
#define CAMPHORCLEAT_FLEET_PLANNER_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/Time.h"
#include "fleet/PartitionRates.h"
#include "fleet/Placement.h"
#include "wire/RateWindow.h"

namespace camphorcleat::fleet {

struct PlannerSettings
{
  std::size_t maxMovesInFlightPerNode = 32; ///< Balancing moves to one receiver.
  std::size_t maxMovesInFlight = 256;       ///< Balancing moves to all receivers.
  /// Share of the load of a ranged service whose partitions may be in balancing moves at a time,
  /// because they are not served until their handover ends. It is at least half of one target's
  /// share. One partition may always move.
  double maxMovingLoadShare = 0.03;
  /// A longer handover waits for a target that hangs, and doesn't hold up other moves.
  Millis maxCountedHandover{ 2000 };
  /// A partition gets no further balancing move for this time after a move, until its new owner has
  /// measured its load.
  Millis minResidence{ 2 * wire::kRateWindow };
  /// Urgent moves to all receivers. The keys of a zone (4,096 partitions of a service in 4 zones)
  /// are moved in 4 rounds, well within 5 s.
  std::size_t maxUrgentMovesInFlight = 1024;
  Millis settleTime{ 300 }; ///< A node gets no balancing moves for this time after it registered.
  /// A ranged service that no target ever owned is first placed after this time, so that targets
  /// that start together get their shares without moves.
  Millis firstPlacementDelay{ 1500 };
  std::size_t flapRegistrations = 3; ///< This many within flapWindow start a node's cooldown.
  Millis flapWindow{ 60000 };
  Millis flapCooldown{ 30000 }; ///< A flapping node gets no moves for this time.
};

/// Not thread-safe. Exists as long as its process, which may lead the control group several times.
class Planner
{
public:
  /// Uses BalancedPlacement if aPlacement is null. Ranged services always use RangePlacement.
  explicit Planner(PlannerSettings aSettings = {}, std::unique_ptr<Placement> aPlacement = nullptr);
  ~Planner();

  /// Returns the bodies of the commands to propose now. It takes time proportional to the number of
  /// partitions, so don't call it in every tick, but when the model or the loads have changed or
  /// nextDeadline() has passed. It is idempotent and may be called again before earlier commands
  /// are applied. Propose each body as a command of its own, because a command is refused as a
  /// whole if one body is no longer valid.
  std::vector<wire::CommandBody> plan(TimePoint aNow, const FleetModel& aModel,
                                      const std::map<NodeId, NodeLoad>& aLoads);

  /// Returns when plan() may return more commands for an unchanged model because a waiting time
  /// ends (settleTime, flapCooldown or firstPlacementDelay); nullopt if none is running.
  std::optional<TimePoint> nextDeadline(TimePoint aNow) const;

private:
  struct History
  {
    Incarnation incarnation = 0;
    TimePoint registeredAt;
    std::deque<TimePoint> registrations; ///< Those within flapWindow, at most flapRegistrations.
    TimePoint cooldownUntil;
  };
  /// Numbers of moves in flight, including those planned so far in this call of plan().
  struct Budget
  {
    std::size_t balancing = 0;
    std::size_t urgent = 0;
    std::map<NodeId, std::size_t> perReceiver;
    bool mayBalance = true;
    double load = 0;                              ///< Of the balancing moves of a ranged service.
    std::optional<double> maxLoad = std::nullopt; ///< Set for a ranged service with known loads.
  };

  void recordRegistrations(TimePoint aNow, const FleetModel& aModel);
  void recordRegistration(TimePoint aNow, const wire::Node& aNode);
  bool isSettled(TimePoint aNow, NodeId aNode) const;
  bool isReadyToPlace(TimePoint aNow, const PlacementInput& aInput);
  bool isInCooldown(TimePoint aNow, NodeId aNode) const;
  std::vector<Candidate> candidatesOf(TimePoint aNow, const FleetModel& aModel,
                                      const std::string& aService) const;
  Budget budgetOf(const FleetModel& aModel) const;
  bool takeFromBudget(const PlannedMove& aMove, double aLoad, Budget& aBudget) const;
  void limitBalancing(const FleetModel& aModel, const PlacementInput& aInput,
                      Budget& aBudget) const;
  void setLoads(TimePoint aNow, const FleetModel& aModel, PlacementInput& aInput);
  void planService(const FleetModel& aModel, const Placement& aPlacement, PlacementInput& aInput,
                   Budget& aBudget, std::vector<wire::CommandBody>& aOut) const;

  PlannerSettings mSettings;
  std::unique_ptr<Placement> mPlacement;
  std::unique_ptr<Placement> mRangePlacement;
  std::map<std::string, PartitionRates> mRates;    ///< Of the ranged services.
  std::map<std::string, TimePoint> mUnplacedSince; ///< Ranged services that never had owners.
  std::map<NodeId, History> mHistory;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_PLANNER_H_
