// Open-loop load: requests are due at times that don't depend on earlier answers, so a slow answer
// can't hide the requests that would have waited behind it.

#ifndef CAMPHORCLEAT_HARNESS_LOADDRIVER_H_
#define CAMPHORCLEAT_HARNESS_LOADDRIVER_H_

#include <memory>
#include <random>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "harness/JsonLines.h"
#include "harness/KeyChooser.h"
#include "harness/LoadConnection.h"
#include "harness/LoadPlan.h"
#include "harness/LoadSummary.h"

namespace camphorcleat::harness {

/// All calls on the thread of the event loop.
class LoadDriver
{
public:
  /// Fails with UsageError if an entry is no address.
  static Result<std::unique_ptr<LoadDriver>> create(boost::asio::io_context& aLoop, LoadPlan aPlan,
                                                    JsonLineWriter aRecord);
  ~LoadDriver();
  LoadDriver(const LoadDriver&) = delete;
  LoadDriver& operator=(const LoadDriver&) = delete;

  /// Starts all streams. aFinished is called when the duration is over and every call is done.
  void start(std::function<void()> aFinished);

  /// Ends the streams now; calls that are under way still finish.
  void stop();

  LoadFigures figures() const { return mSummary.figures(); }

private:
  struct Entry
  {
    Endpoint endpoint;
    std::set<std::shared_ptr<LoadConnection>> connections;
    std::vector<std::shared_ptr<LoadConnection>> idle;
    TimePoint avoidUntil;
  };

  struct Stream
  {
    Stream(boost::asio::io_context& aLoop, LoadStreamPlan aPlan)
      : plan(std::move(aPlan))
      , keys(plan)
      , timer(aLoop)
    {
    }
    LoadStreamPlan plan;
    KeyChooser keys;
    boost::asio::steady_timer timer;
    TimePoint due;
  };

  LoadDriver(boost::asio::io_context& aLoop, LoadPlan aPlan, JsonLineWriter aRecord);

  void schedule(Stream& aStream);
  Duration gap(const Stream& aStream);
  void fire(Stream& aStream);
  LoadCall makeCall(Stream& aStream);
  Entry& chooseEntry();
  std::shared_ptr<LoadConnection> connectionTo(Entry& aEntry);
  void finished(Entry& aEntry, const std::shared_ptr<LoadConnection>& aConnection,
                const CallRecord& aRecord);
  void checkFinished();

  boost::asio::io_context& mLoop;
  LoadPlan mPlan;
  JsonLineWriter mRecord;
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<Entry>> mEntries;
  std::vector<std::unique_ptr<Stream>> mStreams;
  LoadSummary mSummary;
  std::function<void()> mFinished;
  TimePoint mEnd;
  std::uint64_t mCalls = 0;
  std::size_t mUnderWay = 0;
  std::size_t mRunningStreams = 0;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_LOADDRIVER_H_
