// Estimates how long messages waited between two VMs whose clocks have no common origin.
//
// The difference between the receiver's clock at the arrival and the sender's clock at the sending
// is the offset of the clocks plus the time in transit. Its recent minimum on a link belongs to a
// message that hardly waited, so the excess over this minimum is the time for which a message
// waited in buffers, or for a processor. The sample taken when a link opens covers the messages
// that waited for that: without it, the first one would be its own minimum.

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
  /// would otherwise look like waiting. The first message of a link without a sample has no waiting
  /// time.
  Duration waitingTime(TimePoint aNow, std::uint64_t aLink, Duration aSentAt, Duration aReceivedAt);

  /// Records a message whose waiting time isn't needed, such as the one that opens a link.
  void addSample(TimePoint aNow, std::uint64_t aLink, Duration aSentAt, Duration aReceivedAt)
  {
    waitingTime(aNow, aLink, aSentAt, aReceivedAt);
  }

  /// Removes a link that was closed. A new link to the same address may lead to another VM.
  void removeLink(std::uint64_t aLink) { mLinks.erase(aLink); }

private:
  // Long enough for a link with few messages. Clocks drift by a few milliseconds in this time.
  static constexpr Duration kWindow = std::chrono::seconds(60);

  std::map<std::uint64_t, WindowMinimum> mLinks; ///< Smallest differences, in seconds.
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_TRANSITTIMES_H_
