// Bounded fair queue of requests that wait for a slot at the target.
//
// Start-time fair queueing over accounts gives each account with waiting requests a share of the
// target in proportion to its weight, measured in cost. Each account has a virtual start time,
// which advances by cost / weight with each of its requests that is served; the account with the
// earliest one is served next. An account without waiting requests keeps its start time until the
// others have reached it, so that it can't gain a larger share by sending requests one by one. When
// the queue is full, the account with the most waiting requests for its weight loses its newest
// one, so an account that floods the queue only displaces its own requests.

#ifndef CAMPHORCLEAT_TRAFFIC_FAIRQUEUE_H_
#define CAMPHORCLEAT_TRAFFIC_FAIRQUEUE_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"

namespace camphorcleat::traffic {

/// One waiting request.
struct QueuedRequest
{
  RequestId id;
  /// Empty for requests on open routes, which need no account; they share one account queue.
  std::string account;
  std::uint32_t cost = 1; ///< Relative to other requests; clamped to 1 to FairQueue::kMaxCost.
  TimePoint deadline;     ///< The request is removed from the queue at this time at the latest.
  /// Share of the account relative to others; positive. The latest request of an account sets it.
  double weight = 1;
};

/// Not thread-safe.
class FairQueue
{
public:
  /// Larger costs are clamped to this value, which bounds the share that one request uses up.
  static constexpr std::uint32_t kMaxCost = 64;

  /// Creates a queue for at most aMaxRequests requests; aMaxRequests > 0.
  explicit FairQueue(std::size_t aMaxRequests);
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  /// Adds a request whose id is not in the queue. If the queue was full, returns the request that
  /// was dropped, which may be the added one.
  std::optional<QueuedRequest> push(QueuedRequest aRequest);

  /// Removes and returns the newest request of the account that has the most waiting requests for
  /// its weight. The queue must not be empty.
  QueuedRequest dropOne();

  /// Returns the request to serve next, or nullptr if the queue is empty or every account is
  /// blocked. The result stays the same, and the pointer stays valid, until the queue changes.
  const QueuedRequest* front();

  /// Removes and returns the request at front(), which must not be nullptr.
  QueuedRequest popFront();

  /// Removes a request. Returns false if it is not in the queue.
  bool remove(const RequestId& aId);

  /// Removes and returns all requests whose deadline is at or before aNow.
  std::vector<QueuedRequest> expire(TimePoint aNow);

  /// Returns the earliest deadline in the queue, or nothing if the queue is empty.
  std::optional<TimePoint> nextDeadline() const;

  /// Blocks an account, for example one without rate tokens, so that front() skips it. The block
  /// ends when the last request of the account leaves the queue.
  void block(const std::string& aAccount);
  void unblock(const std::string& aAccount);
  bool isBlocked(const std::string& aAccount) const;

  /// Returns the ids of the waiting requests in the order in which they would be served, without
  /// those of blocked accounts.
  std::vector<RequestId> order() const;

  /// Returns the ids of an account's waiting requests, oldest first.
  std::vector<RequestId> idsOf(const std::string& aAccount) const;

  /// Returns the number of waiting requests, in total or of one account.
  std::size_t size() const { return mPlaces.size(); }
  std::size_t sizeOf(const std::string& aAccount) const;

  /// Returns the number of waiting requests of accounts that aren't blocked.
  std::size_t readySize() const;

  /// Returns about how many requests would be served before a new one of this account, at most
  /// size(). Requests of blocked accounts aren't counted.
  std::size_t sizeAhead(const std::string& aAccount, double aWeight) const;

private:
  struct Flow
  {
    std::string account;
    std::list<QueuedRequest> requests; // Empty if only the start time is kept.
    double start = 0;                  // Virtual start time of the first request.
    double weight = 1;
    bool isBlocked = false;
  };
  // Orders flows by virtual start time. Of flows with the same one, the one that got it first is
  // served first.
  using Order = std::map<std::pair<double, std::uint64_t>, Flow*>;
  // A flow and its place in mOrder, which has only flows with requests that aren't blocked.
  struct Entry
  {
    Flow flow;
    std::optional<Order::iterator> place;
  };
  struct Place
  {
    Entry* entry = nullptr;
    std::list<QueuedRequest>::iterator request;
  };
  using Places = std::unordered_map<RequestId, Place>;

  QueuedRequest take(Places::iterator aPlace);
  void setSizeOrder(Flow& aFlow, double aOldSize);
  void enter(Entry& aEntry);
  void leave(Entry& aEntry);
  void forgetIdleFlows();

  std::size_t mMaxRequests;
  // Accounts with waiting requests, and others that had some since the queue was last empty. At
  // most 2 * mMaxRequests.
  std::map<std::string, Entry> mFlows;
  Order mOrder;
  std::uint64_t mEntries = 0; // Number of times a flow entered mOrder.
  double mVirtualTime = 0;    // Start time of the request that was served last.
  std::set<std::pair<double, std::string>> mBySize; // Waiting requests divided by weight.
  std::set<std::pair<TimePoint, RequestId>> mByDeadline;
  Places mPlaces;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_FAIRQUEUE_H_
