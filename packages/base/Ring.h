// A bounded queue of messages between duty threads.
//
// Many producers, one consumer. A full ring refuses the message, and the producer decides what that
// means (see docs/design.md, section 10); it never blocks a producer. A mutex around
// boost::circular_buffer is enough: at 8,300 requests/s and about ten messages a request the lock
// is taken under 100,000 times a second.

#ifndef CAMPHORCLEAT_BASE_RING_H_
#define CAMPHORCLEAT_BASE_RING_H_

#include <condition_variable>
#include <functional>
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
  /// Holds at most aCapacity messages; aCapacity > 0.
  explicit Ring(std::size_t aCapacity)
    : mItems(aCapacity)
  {
  }

  Ring(const Ring&) = delete;
  Ring& operator=(const Ring&) = delete;

  /// Sets a function that is called, outside the lock, when the ring turns from empty to not empty.
  /// Call before the first push. Not thread-safe.
  void setWake(std::function<void()> aWake) { mWake = std::move(aWake); }

  /// Adds a message; false if the ring is full or closed. The message is then unchanged.
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
      if (mWake) {
        mWake();
      }
    }
    return true;
  }

  /// Takes the oldest message, if there is one. Consumer only.
  std::optional<T> tryPop()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return popLocked();
  }

  /// Takes the oldest message; waits for one until the time given. Consumer only.
  std::optional<T> popUntil(TimePoint aDeadline)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    mReady.wait_until(lock, aDeadline, [this] { return mClosed || !mItems.empty(); });
    return popLocked();
  }

  /// Takes up to aLimit messages at once. Consumer only.
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

  /// Refuses further messages and wakes the consumer. Messages in the ring stay. Thread-safe.
  void close()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mClosed = true;
    }
    mReady.notify_all();
  }

  /// Whether close() was called. Thread-safe.
  bool isClosed() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mClosed;
  }

  /// Number of waiting messages. Thread-safe.
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
  std::function<void()> mWake;
  bool mClosed = false;
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_RING_H_
