// Limits the request bodies that are on their way to a VM, over all requests together.
//
// A body that an owner has asked for takes the same link as calls, cancellations and pings. If each
// request may ask for as much as it can buffer, a few tens of them fill a narrow link for seconds,
// and everything behind them is late: requests start after their callers have left, and sound links
// are closed for silence. The bytes that are asked for and haven't arrived therefore stay within a
// window. Requests are granted their credit in the order in which they ask, so that bodies arrive
// one after the other and not all at the end.
//
// How large the window has to be to keep the link busy depends on how fast the senders react. It
// grows while other messages hardly wait on their way, and shrinks while all of them wait, between
// what the link carries in minWindow and in maxWindow.

#ifndef CAMPHORCLEAT_TRAFFIC_BODYCREDIT_H_
#define CAMPHORCLEAT_TRAFFIC_BODYCREDIT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
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

  struct Config
  {
    std::uint64_t linkBytesPerSecond = 0; ///< 0: unknown; then there is no limit.
    Millis firstWindow{ 200 };            ///< Time for which the first window takes the link.
    Millis minWindow{ 100 };
    Millis maxWindow{ 1'000 };
    /// The window shrinks if no message in an interval waited less than maxWait, and grows if one
    /// waited less than half of it.
    Millis maxWait{ 100 };
    Millis interval{ 100 };
  };

  explicit BodyCredit(const Config& aConfig)
    : mConfig(aConfig)
    , mWindowBytes(bytesIn(aConfig.firstWindow))
  {
  }

  /// Records how long a message of another VM waited on its way to this one.
  void recordWait(TimePoint aNow, Duration aWait);

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

  std::uint64_t bytesIn(Millis aTime) const;
  std::uint64_t bytesOnTheWay(TimePoint aNow) const;

  Config mConfig;
  std::uint64_t mWindowBytes;
  bool mIsLimiting = false; // The window has held back a grant in this interval.
  std::optional<TimePoint> mIntervalStart;
  Duration mLeastWait{ 0 }; // In this interval.
  std::map<RequestId, Request> mRequests;
  std::deque<RequestId> mAsking; // May contain requests that were removed.
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_BODYCREDIT_H_
