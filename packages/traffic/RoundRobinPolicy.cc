// Round robin over the candidates' indexes.

#include "traffic/RoundRobinPolicy.h"

namespace camphorcleat::traffic {

std::optional<std::size_t> RoundRobinPolicy::choose(const std::vector<Candidate>& aCandidates,
                                                    Duration /*aAcceptable*/)
{
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const std::size_t at = (mNext + i) % aCandidates.size();
    if (aCandidates[at].isUsable) {
      mNext = at + 1;
      return at;
    }
  }
  return std::nullopt;
}

} // namespace camphorcleat::traffic
