// A bounded queue of messages between duty threads, for many producers and one consumer.
//
// Producers never block: a full ring refuses the message, and the producer handles that (see
// docs/design.md, section 10). A mutex around boost::circular_buffer is fast enough: at 8,300
// requests/s and about ten messages per request, the lock is acquired fewer than 100,000 times per
// second.

#ifndef CAMPHORCLEAT_BASE_RING_H_
#define CAMPHORCLEAT_BASE_RING_H_

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <iterator>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include <boost/circular_buffer.hpp>

#include "base/Time.h"

namespace camphorcleat {

template<class T>
class Ring
{
public:
  /// Creates a ring for at most aCapacity messages; aCapacity > 0.
  explicit Ring(std::size_t aCapacity)
    : mItems(aCapacity)
  {
  }

  Ring(const Ring&) = delete;
  Ring& operator=(const Ring&) = delete;

  /// Sets a function that a producer calls, without the lock, when its message is the only one in
  /// the ring. Must be called before the first push. Not thread-safe.
  void setWakeCallback(std::function<void()> aCallback) { mWakeCallback = std::move(aCallback); }

  /// Adds a message. Returns false and leaves the message unchanged if the ring is full or closed.
  /// Thread-safe.
  bool tryPush(T&& aItem)
  {
    bool wasEmpty = false;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (mClosed || mItems.full()) {
        return false;
      }
      wasEmpty = mItems.empty();
      mItems.push_back(std::move(aItem));
    }
    if (wasEmpty) {
      mReady.notify_one();
      if (mWakeCallback) {
        mWakeCallback();
      }
    }
    return true;
  }

  /// Removes and returns the oldest message, or nullopt if the ring is empty. Consumer only.
  std::optional<T> tryPop()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return popLocked();
  }

  /// Removes and returns the oldest message. Blocks until there is one, aDeadline has passed or the
  /// ring is closed; returns nullopt if the ring is empty then. Consumer only.
  std::optional<T> popUntil(TimePoint aDeadline)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    mReady.wait_until(lock, aDeadline, [this] { return mClosed || !mItems.empty(); });
    return popLocked();
  }

  /// Removes and returns up to aLimit messages, oldest first, without blocking. Consumer only.
  std::vector<T> popMany(std::size_t aLimit)
  {
    std::vector<T> out;
    const std::lock_guard<std::mutex> lock(mMutex);
    while (out.size() < aLimit && !mItems.empty()) {
      out.push_back(std::move(mItems.front()));
      mItems.pop_front();
    }
    return out;
  }

  /// Removes the newest message for which aPredicate returns true. Returns false if there is none.
  /// Thread-safe.
  template<class Predicate>
  bool removeNewest(Predicate aPredicate)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto it = std::find_if(mItems.rbegin(), mItems.rend(), aPredicate);
    if (it == mItems.rend()) {
      return false;
    }
    mItems.erase(std::prev(it.base()));
    return true;
  }

  /// Refuses further messages and wakes the consumer. Messages in the ring can still be removed.
  /// Thread-safe.
  void close()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mClosed = true;
    }
    mReady.notify_all();
  }

  /// Returns whether close() was called. Thread-safe.
  bool isClosed() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mClosed;
  }

  /// Returns the number of messages in the ring. Thread-safe.
  std::size_t size() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mItems.size();
  }

private:
  std::optional<T> popLocked()
  {
    if (mItems.empty()) {
      return std::nullopt;
    }
    std::optional<T> out(std::move(mItems.front()));
    mItems.pop_front();
    return out;
  }

  mutable std::mutex mMutex;
  std::condition_variable mReady;
  boost::circular_buffer<T> mItems;
  std::function<void()> mWakeCallback;
  bool mClosed = false;
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_RING_H_
