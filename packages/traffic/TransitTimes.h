// Estimates how long messages waited between two VMs whose clocks have no common origin.
//
// The difference between the receiver's clock at the arrival and the sender's clock at the sending
// is the offset of the clocks plus the time in transit. Its recent minimum on a link belongs to the
// message that waited least, so the excess over this minimum is the least time for which a message
// waited in buffers, or for a processor.
//
// All messages of a link so far may have waited, for example if it was opened while the way was
// full. A lower bound of the offset shows for how long: it follows from any message that the sender
// got from the receiver before, since the receiver's clock has advanced since then. If such a bound
// is known, a message is taken to have waited for as long as it may have: a request that runs for a
// caller that has left is worse than one that is refused.

#ifndef CAMPHORCLEAT_TRAFFIC_TRANSITTIMES_H_
#define CAMPHORCLEAT_TRAFFIC_TRANSITTIMES_H_

#include <cstdint>
#include <map>
#include <optional>

#include "traffic/WindowMinimum.h"

namespace camphorcleat::traffic {

/// Not thread-safe. aNow must not decrease between calls.
class TransitTimes
{
public:
  /// Records the message that opens a link, which waited for at most aMaxWait. aSentAt is on the
  /// sender's clock, aReceivedAt on the receiver's. Both clocks must include suspensions, which
  /// would otherwise look like waiting.
  void addOpening(TimePoint aNow, std::uint64_t aLink, Duration aSentAt, Duration aReceivedAt,
                  Duration aMaxWait);

  /// Records a message whose waiting time isn't needed.
  void addSample(TimePoint aNow, std::uint64_t aLink, Duration aSentAt, Duration aReceivedAt);

  /// Returns the waiting time of a message, and records the message for later ones.
  /// aReceiverClock: the receiver's clock showed at least this when the message was sent; zero if
  /// that isn't known. The first message of a link has no waiting time if nothing else is known.
  Duration waitingTime(TimePoint aNow, std::uint64_t aLink, Duration aSentAt, Duration aReceivedAt,
                       Duration aReceiverClock);

  /// Returns the least that the sender's clock shows when the receiver's shows aReceiverClock, or
  /// nothing if no message of the link was recorded.
  std::optional<Duration> senderClock(std::uint64_t aLink, Duration aReceiverClock) const;

  /// Returns for how long messages of the link have been recorded; zero for an unknown link.
  Duration age(TimePoint aNow, std::uint64_t aLink) const;

  /// Removes a link that was closed. A new link to the same address may lead to another VM.
  void removeLink(std::uint64_t aLink) { mLinks.erase(aLink); }

private:
  // Long enough for a link with few messages. Clocks drift by a few milliseconds in this time.
  static constexpr Duration kWindow = std::chrono::seconds(60);

  struct Link
  {
    TimePoint firstAt;
    WindowMinimum smallest{ kWindow }; ///< Smallest difference, in seconds.
    /// Negative of the largest lower bound of the difference of a message that doesn't wait.
    WindowMinimum minusBound{ kWindow };
  };

  Link& linkOf(TimePoint aNow, std::uint64_t aLink);

  std::map<std::uint64_t, Link> mLinks;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_TRANSITTIMES_H_
