// Turns the difference between the present owners and the placement's wish into commands, at a pace
// that receivers can stand.
//
// Partitions without an owner are assigned at once: nobody serves them. Moves away from nodes that
// must not own any longer are urgent (R4, R10) but bounded, so that the keys in hand-over at one
// time are few. Moves for balance wait until a node has settled, and are refused to nodes that
// register again and again.

#ifndef CAMPHORCLEAT_FLEET_PLANNER_H_
#define CAMPHORCLEAT_FLEET_PLANNER_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/Time.h"
#include "fleet/Placement.h"

namespace camphorcleat::fleet {

struct PlannerSettings
{
  std::size_t maxMovesInFlightPerNode = 32; ///< Balancing moves to one receiver.
  std::size_t maxMovesInFlight = 256;       ///< Balancing moves in all.
  /// Urgent moves in all. The keys of a zone (4,096 partitions of a service in 4 zones) leave in 4
  /// rounds, well within 5 s.
  std::size_t maxUrgentMovesInFlight = 1024;
  Millis settleTime{ 300 };
  /// A ranged service that no target owned yet is first divided after this time, so that targets
  /// that start together get their part without a move.
  Millis firstPlacementDelay{ 1500 };
  std::size_t flapRegistrations = 3; ///< So many within flapWindow make a node flapping.
  Millis flapWindow{ 60000 };
  Millis flapCooldown{ 30000 };
};

/// Not thread-safe. Lives as long as its process is control leader.
class Planner
{
public:
  /// Uses BalancedPlacement unless another placement is given; ranged services always use
  /// RangePlacement.
  explicit Planner(PlannerSettings aSettings = {}, std::unique_ptr<Placement> aPlacement = nullptr);
  ~Planner();

  /// What should be proposed now; empty if nothing. It takes time proportional to the number of
  /// partitions, so call it when the model has changed or nextDeadline() has passed, not in every
  /// tick. Idempotent: may be repeated before the earlier
  /// commands are applied. Each body stands for itself, so propose them as single commands: in one
  /// command a body that has become void would refuse all others.
  std::vector<wire::CommandBody> plan(TimePoint aNow, const FleetModel& aModel,
                                      const std::map<NodeId, NodeLoad>& aLoads);

  /// When plan() may have more to say although the model is unchanged, because a node settles or
  /// ends its rest; nullopt if never.
  std::optional<TimePoint> nextDeadline(TimePoint aNow) const;

private:
  struct History
  {
    Incarnation incarnation = 0;
    TimePoint registeredAt;
    std::deque<TimePoint> registrations; ///< Within flapWindow; at most flapRegistrations.
    TimePoint cooldownUntil;
  };
  struct Budget
  {
    std::size_t balancing = 0;
    std::size_t urgent = 0;
    std::map<NodeId, std::size_t> perReceiver;
  };

  void recordRegistrations(TimePoint aNow, const FleetModel& aModel);
  void recordRegistration(TimePoint aNow, const wire::Node& aNode);
  bool isSettled(TimePoint aNow, NodeId aNode) const;
  bool isReadyToPlace(TimePoint aNow, const PlacementInput& aInput);
  bool isInCooldown(TimePoint aNow, NodeId aNode) const;
  std::vector<Candidate> candidatesOf(TimePoint aNow, const FleetModel& aModel,
                                      const std::string& aService) const;
  Budget budgetOf(const FleetModel& aModel) const;
  bool takeFromBudget(const PlannedMove& aMove, Budget& aBudget) const;
  void planService(const FleetModel& aModel, const Placement& aPlacement, PlacementInput& aInput,
                   Budget& aBudget, std::vector<wire::CommandBody>& aOut) const;

  PlannerSettings mSettings;
  std::unique_ptr<Placement> mPlacement;
  std::unique_ptr<Placement> mRangePlacement;
  std::map<std::string, TimePoint> mUnplacedSince; ///< Ranged services without owners, since when.
  std::map<NodeId, History> mHistory;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_PLANNER_H_
