// Event loop on its own thread, so that tests can use blocking clients.

#ifndef CAMPHORCLEAT_HARNESS_TESTING_LOOPTHREAD_H_
#define CAMPHORCLEAT_HARNESS_TESTING_LOOPTHREAD_H_

#include <future>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace camphorcleat::harness {

/// Must be declared before the objects that use the loop, and stopped before they are destroyed.
class LoopThread
{
public:
  LoopThread()
    : mWorkGuard(mLoop.get_executor())
    , mThread([this] { mLoop.run(); })
  {
  }
  ~LoopThread() { stop(); }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  boost::asio::io_context& loop() { return mLoop; }

  /// Runs a function on the loop's thread, waits for it and returns its result. Must not be called
  /// on the loop's thread or after stop(), because it would never return.
  template<class F>
  auto run(F aFunction)
  {
    std::packaged_task<decltype(aFunction())()> task(std::move(aFunction));
    auto result = task.get_future();
    boost::asio::post(mLoop, [&task] { task(); });
    return result.get();
  }

  /// Stops the loop and joins its thread.
  void stop()
  {
    mLoop.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

private:
  boost::asio::io_context mLoop{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWorkGuard;
  std::thread mThread;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_TESTING_LOOPTHREAD_H_
