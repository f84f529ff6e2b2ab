// Chooses the usable candidate with the lowest reported load. It is a baseline for comparisons
// only: reports lag, so all entry daemons choose the same target until the next report.

#ifndef CAMPHORCLEAT_TRAFFIC_LEASTREPORTEDLOADPOLICY_H_
#define CAMPHORCLEAT_TRAFFIC_LEASTREPORTEDLOADPOLICY_H_

#include "traffic/LoadBalancingPolicy.h"

namespace camphorcleat::traffic {

class LeastReportedLoadPolicy : public LoadBalancingPolicy
{
public:
  using LoadBalancingPolicy::choose;
  std::optional<std::size_t> choose(const std::vector<Candidate>& aCandidates,
                                    Duration aAcceptable) override;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_LEASTREPORTEDLOADPOLICY_H_
