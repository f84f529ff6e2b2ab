// Takes the usable candidates in turn. A baseline for comparisons.

#ifndef CAMPHORCLEAT_TRAFFIC_ROUNDROBINCHOOSER_H_
#define CAMPHORCLEAT_TRAFFIC_ROUNDROBINCHOOSER_H_

#include "traffic/TargetChooser.h"

namespace camphorcleat::traffic {

class RoundRobinChooser : public TargetChooser
{
public:
  using TargetChooser::choose;
  std::optional<std::size_t> choose(const std::vector<Candidate>& aCandidates,
                                    Duration aAcceptable) override;

private:
  std::size_t mNext = 0;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_ROUNDROBINCHOOSER_H_
