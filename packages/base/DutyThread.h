// A named thread that runs one Boost.Asio io_context.
//
// Each duty of the daemon (docs/design.md, section 10) runs on a thread of its own, so the state of
// a duty needs no lock. The constructor creates the context, so sockets and timers can be bound to
// it before the thread starts.

#ifndef CAMPHORCLEAT_BASE_DUTYTHREAD_H_
#define CAMPHORCLEAT_BASE_DUTYTHREAD_H_

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace camphorcleat {

class DutyThread
{
public:
  /// Sets the thread's name. The kernel truncates it to 15 characters.
  explicit DutyThread(std::string aName);

  /// Stops the thread. Functions that are still queued are destroyed without being run.
  ~DutyThread();

  DutyThread(const DutyThread&) = delete;
  DutyThread& operator=(const DutyThread&) = delete;

  /// Returns the context that the thread runs. It lives as long as this object. Thread-safe.
  boost::asio::io_context& context();

  /// Starts the thread. Does nothing if the thread was started or stopped before. Not thread-safe.
  void start();

  /// Runs all functions posted before this call, then ends and joins the thread. Idempotent. A
  /// stopped thread can't be started again. Not thread-safe; must not be called on the thread.
  void stop();

  /// Queues a function to run on the thread. Functions run in the order of posting; those posted
  /// after stop() never run. The queue has no limit, so callers must limit what they post.
  /// Thread-safe.
  void post(std::function<void()> aFunction);

  /// Returns whether the caller runs on this thread. Thread-safe once start() has returned.
  bool isCurrent() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_DUTYTHREAD_H_
