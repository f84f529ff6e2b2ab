// Counters, latency quantiles and a latency histogram of one daemon, in the Prometheus text format.
//
// Latencies are recorded in P-square estimators of Boost.Accumulators, one set per service and
// account. The number of sets is bounded; further services and accounts are counted as "other".
// Quantiles of several daemons can't be aggregated, so a histogram of all requests is added.

#ifndef CAMPHORCLEAT_DAEMON_METRICS_H_
#define CAMPHORCLEAT_DAEMON_METRICS_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "base/Errors.h"
#include "base/Time.h"

namespace camphorcleat::daemon {

/// Thread-safe.
class Metrics
{
public:
  Metrics();
  ~Metrics();

  /// Counts a response of this daemon's target.
  void countResponse();

  /// Counts a request that this daemon's owner role ended without a response of the target: it was
  /// refused, or it failed at the target. aCode is the reason.
  void countRefusal(ErrorCode aCode);

  /// Counts a request that this daemon's entry role completed. aCode is None if the caller got a
  /// target's response, otherwise the reason of the failure.
  void countEntry(const std::string& aService, const std::string& aAccount, ErrorCode aCode,
                  Duration aLatency);

  /// Adds a gauge, whose value render() reads. aRead must be thread-safe.
  void addGauge(std::string aName, std::string aHelp, std::function<double()> aRead);

  /// Adds a gauge with labels, such as `lane="data"`. Gauges with the same name must be added
  /// consecutively.
  void addGauge(std::string aName, std::string aLabels, std::string aHelp,
                std::function<double()> aRead);

  /// Returns all metrics in the Prometheus text format.
  std::string render() const;

  /// Returns the responses of the target per second, measured over the last interval between two
  /// calls that were at least one second apart; 0 until the first interval has ended.
  std::uint32_t responsesPerSecond() const;

private:
  struct Series;
  struct Durations;
  struct Gauge
  {
    std::string name;
    std::string labels;
    std::string help;
    std::function<double()> read;
  };
  using SeriesKey = std::pair<std::string, std::string>;

  Series& seriesOf(const std::string& aService, const std::string& aAccount);

  mutable std::mutex mMutex;
  std::uint64_t mResponses = 0;
  mutable std::uint64_t mResponsesAtRateStart = 0;
  mutable TimePoint mRateStart;
  mutable std::uint32_t mResponsesPerSecond = 0;
  std::map<ErrorCode, std::uint64_t> mRefusals;
  std::map<ErrorCode, std::uint64_t> mEntryResults;
  std::map<SeriesKey, std::unique_ptr<Series>> mSeries;
  std::unique_ptr<Durations> mDurations; // All requests that the entry role completed.
  std::vector<Gauge> mGauges;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_METRICS_H_
