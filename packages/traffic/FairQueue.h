// Bounded fair queue of requests that wait for a slot at the target.
//
// Deficit round robin over accounts gives each account with waiting requests the same share of the
// target, measured in cost. When the queue is full, the account with the most waiting requests
// loses its newest one, so an account that floods the queue only displaces its own requests.

#ifndef CAMPHORCLEAT_TRAFFIC_FAIRQUEUE_H_
#define CAMPHORCLEAT_TRAFFIC_FAIRQUEUE_H_

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
};

/// Not thread-safe.
class FairQueue
{
public:
  /// Larger costs are clamped to this value, which bounds the number of rounds that front() needs
  /// for one request.
  static constexpr std::uint32_t kMaxCost = 64;

  /// Creates a queue for at most aMaxRequests requests; aMaxRequests > 0. Each account may spend
  /// aQuantum units of cost per round; aQuantum > 0.
  explicit FairQueue(std::size_t aMaxRequests, std::uint32_t aQuantum = 1);
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  /// Adds a request whose id is not in the queue. If the queue was full, returns the request that
  /// was dropped, which may be the added one.
  std::optional<QueuedRequest> push(QueuedRequest aRequest);

  /// Removes and returns the newest request of the account that has the most waiting requests. The
  /// queue must not be empty.
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

  /// Returns the ids of an account's waiting requests, oldest first.
  std::vector<RequestId> idsOf(const std::string& aAccount) const;

  /// Returns the number of waiting requests, in total or of one account.
  std::size_t size() const { return mPlaces.size(); }
  std::size_t sizeOf(const std::string& aAccount) const;

private:
  struct Flow
  {
    std::string account;
    std::list<QueuedRequest> requests;
    std::uint64_t deficit = 0;
    bool isBlocked = false;
    bool isVisited = false; // Whether this round's quantum has been added.
    std::list<Flow*>::iterator ringPlace;
  };
  struct Place
  {
    Flow* flow = nullptr;
    std::list<QueuedRequest>::iterator request;
  };
  using Places = std::unordered_map<RequestId, Place>;

  QueuedRequest take(Places::iterator aPlace);
  void updateSizeOrder(Flow& aFlow, std::size_t aOldSize);
  void leaveRing(Flow& aFlow);

  std::size_t mMaxRequests;
  std::uint32_t mQuantum;
  // Only accounts with waiting requests, so bounded by mMaxRequests.
  std::map<std::string, Flow> mFlows;
  std::list<Flow*> mRing; // Flows that are not blocked, in the order of service.
  std::set<std::pair<std::size_t, std::string>> mBySize;
  std::set<std::pair<TimePoint, RequestId>> mByDeadline;
  Places mPlaces;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_FAIRQUEUE_H_
