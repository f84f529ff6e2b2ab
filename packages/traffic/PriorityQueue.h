// Queue of requests that wait for a slot at the target, ordered by priority and fair over accounts
// within each priority.
//
// Requests of a higher priority are served before all others. Within one priority, accounts share
// the target. When the queue is full, a request of the lowest waiting priority is dropped.

#ifndef CAMPHORCLEAT_TRAFFIC_PRIORITYQUEUE_H_
#define CAMPHORCLEAT_TRAFFIC_PRIORITYQUEUE_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "traffic/FairQueue.h"

namespace camphorcleat::traffic {

/// Not thread-safe. Methods without a comment behave as those of FairQueue.
class PriorityQueue
{
public:
  /// Number of priority levels. All lower priorities share the last level.
  static constexpr std::uint32_t kLevels = 8;

  /// Creates a queue for at most aMaxRequests requests; aMaxRequests > 0.
  explicit PriorityQueue(std::size_t aMaxRequests);

  /// Adds a request of a priority; 0 is the highest.
  std::optional<QueuedRequest> push(std::uint32_t aPriority, QueuedRequest aRequest);
  const QueuedRequest* front();
  QueuedRequest popFront();
  bool remove(const RequestId& aId);
  std::vector<QueuedRequest> expire(TimePoint aNow);
  std::optional<TimePoint> nextDeadline() const;
  void block(const std::string& aAccount);
  void unblock(const std::string& aAccount);
  /// Returns whether requests of the account are blocked in any priority.
  bool isBlocked(const std::string& aAccount) const;
  std::vector<RequestId> order() const;
  std::vector<RequestId> idsOf(const std::string& aAccount) const;
  std::size_t size() const { return mLevelOf.size(); }
  std::size_t sizeOf(const std::string& aAccount) const;

  /// Returns the number of waiting requests of this and higher priorities, except those of blocked
  /// accounts.
  std::size_t sizeAhead(std::uint32_t aPriority) const;

  /// Returns about how many of them would be served before a new one of this priority and account.
  std::size_t sizeAhead(std::uint32_t aPriority, const std::string& aAccount, double aWeight) const;

private:
  FairQueue& levelOf(std::uint32_t aPriority);
  FairQueue* frontLevel();

  std::size_t mMaxRequests;
  std::map<std::uint32_t, FairQueue> mLevels; // Highest priority first.
  std::unordered_map<RequestId, std::uint32_t> mLevelOf;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_PRIORITYQUEUE_H_
