// Chooses between the own zone and the other zones, and then the target with the lower expected
// time of two random targets there.

#include "traffic/PowerOfTwoPolicy.h"

#include <algorithm>
#include <utility>

namespace camphorcleat::traffic {

namespace {

// Minimum latency in the comparison. A target whose latency is not known yet is treated as fast, so
// that it receives requests and its latency can be measured.
constexpr Duration kMinLatency = Millis(1);

double fullness(const std::vector<Candidate>& aCandidates, const std::vector<std::size_t>& aFrom)
{
  double inFlight = 0;
  double limit = 0;
  for (const std::size_t it : aFrom) {
    inFlight += aCandidates[it].inFlight;
    limit += aCandidates[it].limit;
  }
  return limit == 0 ? 1 : inFlight / limit;
}

double expectedTime(const Candidate& aCandidate)
{
  const double latency = toSeconds(std::max(aCandidate.averageLatency, kMinLatency));
  return (aCandidate.inFlight + 1) * latency / std::max<std::uint32_t>(aCandidate.limit, 1);
}

double minExpectedTime(const std::vector<Candidate>& aCandidates,
                       const std::vector<std::size_t>& aFrom)
{
  double least = expectedTime(aCandidates[aFrom.front()]);
  for (const std::size_t it : aFrom) {
    least = std::min(least, expectedTime(aCandidates[it]));
  }
  return least;
}

// The own zone is preferred unless it is fuller or much slower than the others. Without the latter
// rule, a single slow target in the own zone would receive all requests of this entry daemon.
bool isOwnPreferred(const std::vector<Candidate>& aCandidates, const std::vector<std::size_t>& aOwn,
                    const std::vector<std::size_t>& aOthers)
{
  const bool isFuller = fullness(aCandidates, aOwn) >
                        fullness(aCandidates, aOthers) + PowerOfTwoPolicy::kFullnessMargin;
  const bool isSlower = minExpectedTime(aCandidates, aOwn) >
                        PowerOfTwoPolicy::kSlownessFactor * minExpectedTime(aCandidates, aOthers);
  return !isFuller && !isSlower;
}

// Returns whether one of the targets has free slots and a known latency of at most aAcceptable.
bool isQuick(const std::vector<Candidate>& aCandidates, const std::vector<std::size_t>& aFrom,
             Duration aAcceptable)
{
  return std::any_of(aFrom.begin(), aFrom.end(), [&](std::size_t aIndex) {
    const Candidate& it = aCandidates[aIndex];
    return it.averageLatency > Duration::zero() && it.averageLatency <= aAcceptable &&
           it.inFlight < it.limit;
  });
}

} // namespace

PowerOfTwoPolicy::PowerOfTwoPolicy(std::string aOwnZone, std::mt19937_64& aRandom)
  : mOwnZone(std::move(aOwnZone))
  , mRandom(aRandom)
{
}

std::optional<std::size_t> PowerOfTwoPolicy::choose(const std::vector<Candidate>& aCandidates,
                                                    Duration aAcceptable)
{
  std::vector<std::size_t> own;
  std::vector<std::size_t> others;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (aCandidates[i].isUsable) {
      (aCandidates[i].zone == mOwnZone ? own : others).push_back(i);
    }
  }
  if (own.empty() && others.empty()) {
    return std::nullopt;
  }
  const bool useOwn = !own.empty() && (others.empty() || isQuick(aCandidates, own, aAcceptable) ||
                                       isOwnPreferred(aCandidates, own, others));
  return betterOfTwo(aCandidates, useOwn ? own : others);
}

std::size_t PowerOfTwoPolicy::betterOfTwo(const std::vector<Candidate>& aCandidates,
                                          const std::vector<std::size_t>& aFrom)
{
  if (aFrom.size() == 1) {
    return aFrom.front();
  }
  std::uniform_int_distribution<std::size_t> firsts(0, aFrom.size() - 1);
  std::uniform_int_distribution<std::size_t> steps(1, aFrom.size() - 1);
  const std::size_t i = firsts(mRandom);
  const std::size_t first = aFrom[i];
  const std::size_t second = aFrom[(i + steps(mRandom)) % aFrom.size()];
  return expectedTime(aCandidates[first]) <= expectedTime(aCandidates[second]) ? first : second;
}

} // namespace camphorcleat::traffic
