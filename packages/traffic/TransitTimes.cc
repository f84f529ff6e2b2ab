// Excess over the smallest difference of the clocks, or over the smallest that is possible.

#include "traffic/TransitTimes.h"

#include <algorithm>
#include <limits>

namespace camphorcleat::traffic {

namespace {

constexpr double kNoBound = std::numeric_limits<double>::infinity();

} // namespace

void TransitTimes::addOpening(TimePoint aNow, std::uint64_t aLink, Duration aSentAt,
                              Duration aReceivedAt, Duration aMaxWait)
{
  Link& link = linkOf(aNow, aLink);
  const double difference = toSeconds(aReceivedAt - aSentAt);
  link.smallest.add(aNow, difference);
  link.minusBound.add(aNow, toSeconds(aMaxWait) - difference);
}

void TransitTimes::addSample(TimePoint aNow, std::uint64_t aLink, Duration aSentAt,
                             Duration aReceivedAt)
{
  linkOf(aNow, aLink).smallest.add(aNow, toSeconds(aReceivedAt - aSentAt));
}

Duration TransitTimes::waitingTime(TimePoint aNow, std::uint64_t aLink, Duration aSentAt,
                                   Duration aReceivedAt, Duration aReceiverClock)
{
  Link& link = linkOf(aNow, aLink);
  const double difference = toSeconds(aReceivedAt - aSentAt);
  link.smallest.add(aNow, difference);
  // A message without a bound lets older ones expire, such as that of the opening.
  const bool isClockKnown = aReceiverClock != Duration::zero();
  link.minusBound.add(aNow, isClockKnown ? toSeconds(aSentAt - aReceiverClock) : kNoBound);
  const double smallest = *link.smallest.value();
  const double minusBound = *link.minusBound.value();
  return fromSeconds(difference -
                     (minusBound < kNoBound ? std::min(smallest, -minusBound) : smallest));
}

std::optional<Duration> TransitTimes::senderClock(std::uint64_t aLink,
                                                  Duration aReceiverClock) const
{
  const auto it = mLinks.find(aLink);
  const auto smallest = it == mLinks.end() ? std::nullopt : it->second.smallest.value();
  return smallest ? std::make_optional(aReceiverClock - fromSeconds(*smallest)) : std::nullopt;
}

Duration TransitTimes::age(TimePoint aNow, std::uint64_t aLink) const
{
  const auto it = mLinks.find(aLink);
  return it == mLinks.end() ? Duration::zero() : aNow - it->second.firstAt;
}

TransitTimes::Link& TransitTimes::linkOf(TimePoint aNow, std::uint64_t aLink)
{
  return mLinks.try_emplace(aLink, Link{ aNow }).first->second;
}

} // namespace camphorcleat::traffic
