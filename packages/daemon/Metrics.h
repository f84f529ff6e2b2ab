// Counters, latency quantiles and a latency histogram of one daemon, in the Prometheus text format.
//
// Latencies go into Boost.Accumulators' P-square estimators, one set per service and account. The
// number of sets is bounded; what exceeds it is counted under "other". Quantiles can't be added up
// over daemons, so a histogram counts the durations of all requests.

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

  /// A request that the target beside this daemon answered.
  void countAnswered();

  /// A request that this daemon's owner role ended without an answer.
  void countRefusal(ErrorCode aCode);

  /// A request that this daemon's entry role finished; None: with a target's answer.
  void countEntry(const std::string& aService, const std::string& aAccount, ErrorCode aCode,
                  Duration aLatency);

  /// A value that is read when the metrics are asked for. aRead is thread-safe.
  void addGauge(std::string aName, std::string aHelp, std::function<double()> aRead);

  /// The same with labels, such as `lane="data"`. Gauges of one name are added one after another.
  void addGauge(std::string aName, std::string aLabels, std::string aHelp,
                std::function<double()> aRead);

  /// All metrics as text.
  std::string render() const;

  /// Answers by the target per second over the last second that is complete.
  std::uint32_t answeredPerSecond() const;

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
  std::uint64_t mAnswered = 0;
  mutable std::uint64_t mAnsweredAtRateStart = 0;
  mutable TimePoint mRateStart;
  mutable std::uint32_t mAnsweredPerSecond = 0;
  std::map<ErrorCode, std::uint64_t> mRefusals;
  std::map<ErrorCode, std::uint64_t> mEntryResults;
  std::map<SeriesKey, std::unique_ptr<Series>> mSeries;
  std::unique_ptr<Durations> mDurations; // Of all requests that ended at the entry.
  std::vector<Gauge> mGauges;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_METRICS_H_
