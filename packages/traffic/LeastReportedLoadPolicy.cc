// Minimum search over the reported loads.

#include "traffic/LeastReportedLoadPolicy.h"

namespace camphorcleat::traffic {

std::optional<std::size_t> LeastReportedLoadPolicy::choose(
  const std::vector<Candidate>& aCandidates, Duration /*aAcceptable*/)
{
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const bool isBetter = !best || aCandidates[i].reportedLoad < aCandidates[*best].reportedLoad;
    if (aCandidates[i].isUsable && isBetter) {
      best = i;
    }
  }
  return best;
}

} // namespace camphorcleat::traffic
