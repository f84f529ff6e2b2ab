// Excess over the smallest difference of the clocks, or over the smallest that is possible.

#include "traffic/TransitTimes.h"

#include <algorithm>

namespace camphorcleat::traffic {

Duration TransitTimes::waitingTime(TimePoint aNow, std::uint64_t aLink, Duration aSentAt,
                                   Duration aReceivedAt, Duration aMaxUnread)
{
  Link& link = mLinks.try_emplace(aLink, Link{ aNow }).first->second;
  const double difference = toSeconds(aReceivedAt - aSentAt);
  link.smallest.add(aNow, difference);
  link.wasReadInTime = link.wasReadInTime || aMaxUnread == Duration::zero();
  double base = *link.smallest.value();
  if (!link.wasReadInTime) {
    const double floor = difference - toSeconds(aMaxUnread);
    link.floor = link.hasFloor ? std::max(link.floor, floor) : floor;
    link.hasFloor = true;
    base = std::min(base, link.floor);
  }
  return fromSeconds(difference - base);
}

Duration TransitTimes::age(TimePoint aNow, std::uint64_t aLink) const
{
  const auto it = mLinks.find(aLink);
  return it == mLinks.end() ? Duration::zero() : aNow - it->second.firstAt;
}

} // namespace camphorcleat::traffic
