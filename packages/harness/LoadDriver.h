// Open-loop load generator.
//
// The times at which requests are due don't depend on earlier responses, so a slow response doesn't
// reduce the load. Latencies are measured from these times and therefore include the waiting times
// that a closed loop would omit.

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

/// All methods must be called on the event loop's thread.
class LoadDriver
{
public:
  /// Creates a driver for a plan that parseLoadPlan() accepts. aRecordWriter receives one
  /// CallRecord per request. Fails with UsageError if an entry isn't a valid address.
  static Result<std::unique_ptr<LoadDriver>> create(boost::asio::io_context& aLoop, LoadPlan aPlan,
                                                    JsonLineWriter aRecordWriter);
  ~LoadDriver();
  LoadDriver(const LoadDriver&) = delete;
  LoadDriver& operator=(const LoadDriver&) = delete;

  /// Starts all streams. aOnFinished is called once, after all streams have ended and all
  /// outstanding requests have completed.
  void start(std::function<void()> aOnFinished);

  /// Ends all streams before the plan's duration has passed. Outstanding requests still complete.
  void stop();

  /// Returns the statistics of the requests completed so far.
  LoadStatistics statistics() const { return mSummary.statistics(); }

private:
  struct Entry
  {
    Endpoint endpoint;
    std::set<std::shared_ptr<LoadConnection>> connections;
    std::vector<std::shared_ptr<LoadConnection>> idle;
    TimePoint avoidUntil; ///< Until then, other entries are preferred.
  };

  struct Stream
  {
    Stream(boost::asio::io_context& aLoop, LoadStreamPlan aPlan)
      : plan(std::move(aPlan))
      , keyChooser(plan)
      , timer(aLoop)
    {
    }
    LoadStreamPlan plan;
    KeyChooser keyChooser;
    boost::asio::steady_timer timer;
    TimePoint nextDue;
  };

  LoadDriver(boost::asio::io_context& aLoop, LoadPlan aPlan, JsonLineWriter aRecordWriter);

  void scheduleNext(Stream& aStream);
  Duration nextInterval(const Stream& aStream);
  void issueCall(Stream& aStream);
  LoadCall makeCall(Stream& aStream);
  Entry& chooseEntry();
  std::shared_ptr<LoadConnection> acquireConnection(Entry& aEntry);
  void onCallDone(Entry& aEntry, const std::shared_ptr<LoadConnection>& aConnection,
                  const CallRecord& aRecord);
  void notifyIfFinished();

  boost::asio::io_context& mLoop;
  LoadPlan mPlan;
  JsonLineWriter mRecordWriter;
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<Entry>> mEntries;
  std::vector<std::unique_ptr<Stream>> mStreams;
  LoadSummary mSummary;
  std::function<void()> mOnFinished;
  TimePoint mEndTime;
  std::uint64_t mCallCount = 0;
  std::size_t mOutstandingCalls = 0;
  std::size_t mActiveStreams = 0;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_LOADDRIVER_H_
