// Power of two random choices by requests in flight and latency, with preference for the own zone.
//
// Two random candidates are compared by the expected time of a new request. This needs no load
// reports, and entry daemons do not all choose the same target. A request to another zone has a
// higher network latency. The own zone is therefore used if it has a target that is fast enough for
// the request, or if it is neither clearly fuller nor much slower than the other zones.

#ifndef CAMPHORCLEAT_TRAFFIC_POWEROFTWOPOLICY_H_
#define CAMPHORCLEAT_TRAFFIC_POWEROFTWOPOLICY_H_

#include <random>

#include "traffic/LoadBalancingPolicy.h"

namespace camphorcleat::traffic {

class PowerOfTwoPolicy : public LoadBalancingPolicy
{
public:
  /// The own zone is considered fuller than the others only above this difference of requests in
  /// flight per slot. With a smaller margin, single requests would decide between idle zones, and
  /// request bodies would be sent to other zones needlessly.
  static constexpr double kFullnessMargin = 0.5;
  /// The expected time of the own zone's fastest target may be up to this multiple of that of the
  /// other zones' fastest target.
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
