// An exception that escapes a handler terminates the process. The state of the duty is unknown
// then, and a daemon that enforces exclusive ownership must not continue with it.

#include "base/DutyThread.h"

#include <thread>

#include <pthread.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "base/Log.h"

namespace camphorcleat {

namespace {

constexpr std::size_t kMaxKernelNameBytes = 15;

} // namespace

struct DutyThread::Impl
{
  std::string name;
  boost::asio::io_context io{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{
    io.get_executor()
  };
  std::thread thread;
  bool isStopped = false;

  explicit Impl(std::string aName)
    : name(std::move(aName))
  {
  }

  void run()
  {
    pthread_setname_np(pthread_self(), name.substr(0, kMaxKernelNameBytes).c_str());
    try {
      io.run();
    } catch (const std::exception& ec) {
      logEvent(LogLevel::Error, "duty_thread_failed",
               { { "thread", name }, { "reason", ec.what() } });
      std::terminate();
    }
  }
};

DutyThread::DutyThread(std::string aName)
  : mImpl(std::make_unique<Impl>(std::move(aName)))
{
}

DutyThread::~DutyThread()
{
  stop();
}

boost::asio::io_context& DutyThread::context()
{
  return mImpl->io;
}

void DutyThread::start()
{
  if (!mImpl->thread.joinable() && !mImpl->isStopped) {
    mImpl->thread = std::thread([impl = mImpl.get()] { impl->run(); });
  }
}

void DutyThread::stop()
{
  mImpl->isStopped = true;
  if (!mImpl->thread.joinable()) {
    return;
  }
  boost::asio::post(mImpl->io, [impl = mImpl.get()] { impl->io.stop(); });
  mImpl->thread.join();
}

void DutyThread::post(std::function<void()> aFunction)
{
  boost::asio::post(mImpl->io, std::move(aFunction));
}

bool DutyThread::isCurrent() const
{
  return mImpl->thread.get_id() == std::this_thread::get_id();
}

} // namespace camphorcleat
