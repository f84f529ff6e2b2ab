// Interface of policies that choose a target for an unkeyed request.

#ifndef CAMPHORCLEAT_TRAFFIC_LOADBALANCINGPOLICY_H_
#define CAMPHORCLEAT_TRAFFIC_LOADBALANCINGPOLICY_H_

#include <optional>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"

namespace camphorcleat::traffic {

/// The state of one target as known to the entry daemon.
struct Candidate
{
  NodeId node = kNoNode;
  std::string zone;
  std::uint32_t inFlight = 0;   ///< Requests sent by this entry daemon and not answered yet.
  std::uint32_t limit = 1;      ///< Slots that the target announces.
  Duration averageLatency{ 0 }; ///< 0 if not known.
  double reportedLoad = 0;      ///< As reported by the target; may lag or be wrong.
  bool isUsable = true;
};

/// Not thread-safe.
class LoadBalancingPolicy
{
public:
  LoadBalancingPolicy() = default;
  LoadBalancingPolicy(const LoadBalancingPolicy&) = delete;
  LoadBalancingPolicy& operator=(const LoadBalancingPolicy&) = delete;
  virtual ~LoadBalancingPolicy() = default;

  /// Returns the index of a usable candidate, or nothing if there is none. All targets whose
  /// latency is at most aAcceptable are equally good. If aAcceptable is zero, a faster target is
  /// always better.
  virtual std::optional<std::size_t> choose(const std::vector<Candidate>& aCandidates,
                                            Duration aAcceptable) = 0;

  /// Returns the choice for aAcceptable = 0.
  std::optional<std::size_t> choose(const std::vector<Candidate>& aCandidates)
  {
    return choose(aCandidates, Duration::zero());
  }
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_LOADBALANCINGPOLICY_H_
