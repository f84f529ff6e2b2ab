// Limits the request bodies that are on their way to a VM, over all requests together.
//
// A body that an owner has asked for takes the same link as calls, cancellations and pings. If each
// request may ask for as much as it can buffer, a few tens of them fill a narrow link for seconds,
// and everything behind them is late: requests start after their callers have left, and sound links
// are closed for silence. The bytes that are asked for and haven't arrived therefore stay within
// what the link carries in a fraction of a second. Requests are granted their credit in the order
// in which they ask, so that bodies arrive one after the other and not all at the end.

#ifndef CAMPHORCLEAT_TRAFFIC_BODYCREDIT_H_
#define CAMPHORCLEAT_TRAFFIC_BODYCREDIT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"

namespace camphorcleat::traffic {

/// Not thread-safe. Times must not decrease between calls.
class BodyCredit
{
public:
  /// Permission for the sender of a request's body to send more bytes.
  struct Grant
  {
    RequestId id;
    std::uint64_t bytes = 0;
  };

  /// Largest grant. Smaller ones let several senders fill the gaps that slow ones leave.
  static constexpr std::uint64_t kMaxGrantBytes = 64U << 10U;

  /// Credit that is unused for this time doesn't count, so that a sender that has stopped doesn't
  /// hold up the others.
  static constexpr Millis kStallTime{ 2'000 };

  /// aWindowBytes is the limit on the bytes on their way; 0 means no limit.
  explicit BodyCredit(std::uint64_t aWindowBytes)
    : mWindowBytes(aWindowBytes)
  {
  }

  /// Asks for aBytes more of a request's body.
  void ask(const RequestId& aId, std::uint64_t aBytes);

  /// Records that aBytes of granted credit were used.
  void received(TimePoint aNow, const RequestId& aId, std::uint64_t aBytes);

  /// Forgets a request, including what it has asked for.
  void remove(const RequestId& aId);

  /// Returns the grants that fit into the window now. The caller must send them at once.
  std::vector<Grant> take(TimePoint aNow);

  /// Returns the bytes that were granted and haven't arrived, including those of stalled senders.
  std::uint64_t outstandingBytes() const;

private:
  struct Request
  {
    std::uint64_t askedBytes = 0;   // Not granted yet.
    std::uint64_t grantedBytes = 0; // Not received yet.
    TimePoint progressAt;           // Latest grant to an idle sender, or latest receipt.
  };

  std::uint64_t bytesOnTheWay(TimePoint aNow) const;

  std::uint64_t mWindowBytes;
  std::map<RequestId, Request> mRequests;
  std::deque<RequestId> mAsking; // May contain requests that were removed.
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_BODYCREDIT_H_
