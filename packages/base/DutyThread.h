// A named thread that runs one Boost.Asio io_context, with a clean stop.
//
// Each duty of the daemon (docs/design.md, section 10) is one such thread, so that the state of a
// duty needs no lock. The context is created with the object, which lets users bind sockets and
// timers to it before the thread runs.

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
  /// The kernel shows the first 15 characters of the name.
  explicit DutyThread(std::string aName);

  /// Stops the thread. Work that is still queued is destroyed without being run.
  ~DutyThread();

  DutyThread(const DutyThread&) = delete;
  DutyThread& operator=(const DutyThread&) = delete;

  /// The context that the thread runs. Lives as long as this object. Thread-safe.
  boost::asio::io_context& context();

  /// Starts the thread; does nothing if it was started before. Not thread-safe.
  void start();

  /// Runs everything that was posted before this call, then ends and joins the thread. Idempotent.
  /// A stopped thread can't be started again. Not thread-safe, and not from the thread itself.
  void stop();

  /// Queues a function for the thread. Functions run in the order of posting; those posted after
  /// stop() never run. The queue is not bounded: callers bound what they post. Thread-safe.
  void post(std::function<void()> aFunction);

  /// Whether the caller runs on this thread. Thread-safe once start() has returned.
  bool isCurrent() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_DUTYTHREAD_H_
