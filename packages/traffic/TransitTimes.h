// Estimates how long messages waited between two VMs whose clocks have no common origin.
//
// The difference between the receiver's clock at the arrival and the sender's clock at the sending
// is the offset of the clocks plus the time in transit. Its recent minimum on a link belongs to a
// message that hardly waited, so the excess over this minimum is the time for which a message
// waited in buffers, or for a processor. The sample taken when a link opens covers the messages
// that waited for that: without it, the first one would be its own minimum.
//
// If all messages of a link so far were read by a thread that was late, the minimum may have waited
// as well, but no longer than that thread was late. Until a message is read in time, all of them
// are taken to have waited as long as they may have: a request that runs for a caller that has left
// is worse than one that is refused.

#ifndef CAMPHORCLEAT_TRAFFIC_TRANSITTIMES_H_
#define CAMPHORCLEAT_TRAFFIC_TRANSITTIMES_H_

#include <cstdint>
#include <map>

#include "traffic/WindowMinimum.h"

namespace camphorcleat::traffic {

/// Not thread-safe. aNow must not decrease between calls.
class TransitTimes
{
public:
  /// Returns the waiting time of a message, and records the message for later ones. aSentAt is on
  /// the sender's clock, aReceivedAt on the receiver's. Both clocks must include suspensions, which
  /// would otherwise look like waiting. aMaxUnread is for how long the message may have waited to
  /// be read; zero if it was read in time. The first message of a link without a sample has no
  /// other waiting time.
  Duration waitingTime(TimePoint aNow, std::uint64_t aLink, Duration aSentAt, Duration aReceivedAt,
                       Duration aMaxUnread);

  /// Records a message whose waiting time isn't needed, such as the one that opens a link.
  void addSample(TimePoint aNow, std::uint64_t aLink, Duration aSentAt, Duration aReceivedAt,
                 Duration aMaxUnread)
  {
    waitingTime(aNow, aLink, aSentAt, aReceivedAt, aMaxUnread);
  }

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
    bool wasReadInTime = false;        ///< At least one message was.
    double floor = 0; ///< No difference without waiting is smaller, unless wasReadInTime.
    bool hasFloor = false;
  };

  std::map<std::uint64_t, Link> mLinks;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_TRANSITTIMES_H_
