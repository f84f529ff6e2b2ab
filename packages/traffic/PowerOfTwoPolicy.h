// Power of two choices by in-flight count and latency, own zone first.
//
// Two random candidates are compared by the time a new request would probably take there. That
// needs no load report, and many entry daemons don't all choose the same target. The own zone is
// used as long as it is quick enough for the request, or isn't fuller than the others, because a
// request to another zone pays the distance.

#ifndef CAMPHORCLEAT_TRAFFIC_POWEROFTWOPOLICY_H_
#define CAMPHORCLEAT_TRAFFIC_POWEROFTWOPOLICY_H_

#include <random>

#include "traffic/LoadBalancingPolicy.h"

namespace camphorcleat::traffic {

class PowerOfTwoPolicy : public LoadBalancingPolicy
{
public:
  /// The own zone counts as fuller only above this difference of in-flight per slot: single
  /// requests would otherwise decide between idle zones, and bodies would cross zones for nothing.
  static constexpr double kFullnessMargin = 0.5;
  /// The own zone's best target may be expected to take so many times as long as the others' best.
  static constexpr double kSlownessFactor = 3;

  /// aRandom must outlive this object.
  PowerOfTwoPolicy(std::string aOwnZone, std::mt19937_64& aRandom);

  using LoadBalancingPolicy::choose;
  std::optional<std::size_t> choose(const std::vector<Candidate>& aCandidates,
                                    Duration aAcceptable) override;

private:
  std::size_t betterOfTwo(const std::vector<Candidate>& aCandidates,
                          const std::vector<std::size_t>& aFrom);

  std::string mOwnZone;
  std::mt19937_64& mRandom;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_POWEROFTWOPOLICY_H_
