// Choice of a target for an unkeyed request.

#ifndef CAMPHORCLEAT_TRAFFIC_LOADBALANCINGPOLICY_H_
#define CAMPHORCLEAT_TRAFFIC_LOADBALANCINGPOLICY_H_

#include <optional>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"

namespace camphorcleat::traffic {

/// One target as the entry daemon knows it.
struct Candidate
{
  NodeId node = kNoNode;
  std::string zone;
  std::uint32_t inFlight = 0;   ///< Sent by this entry daemon and not answered.
  std::uint32_t limit = 1;      ///< Slots announced.
  Duration averageLatency{ 0 }; ///< 0 if not known.
  double reportedLoad = 0;      ///< As the target says; may lag or mislead.
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

  /// The index of a usable candidate, or nothing if there is none. A target that takes no longer
  /// than aAcceptable is as good as a faster one; zero: the faster, the better.
  virtual std::optional<std::size_t> choose(const std::vector<Candidate>& aCandidates,
                                            Duration aAcceptable) = 0;

  /// As above, where the faster target is the better one.
  std::optional<std::size_t> choose(const std::vector<Candidate>& aCandidates)
  {
    return choose(aCandidates, Duration::zero());
  }
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_LOADBALANCINGPOLICY_H_
