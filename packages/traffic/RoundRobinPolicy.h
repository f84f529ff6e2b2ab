// Chooses the usable candidates in turn. It is a baseline for comparisons only.

#ifndef CAMPHORCLEAT_TRAFFIC_ROUNDROBINPOLICY_H_
#define CAMPHORCLEAT_TRAFFIC_ROUNDROBINPOLICY_H_

#include "traffic/LoadBalancingPolicy.h"

namespace camphorcleat::traffic {

class RoundRobinPolicy : public LoadBalancingPolicy
{
public:
  using LoadBalancingPolicy::choose;
  std::optional<std::size_t> choose(const std::vector<Candidate>& aCandidates,
                                    Duration aAcceptable) override;

private:
  std::size_t mNext = 0;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_ROUNDROBINPOLICY_H_
