// Implements the metrics with Boost.Accumulators and Boost.Histogram.

#include "daemon/Metrics.h"

#include <limits>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace camphorcleat::daemon {

namespace {

namespace ba = boost::accumulators;

constexpr std::size_t kMaxSeries = 2048;
constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;

using Quantile =
  ba::accumulator_set<double, ba::stats<ba::tag::count, ba::tag::sum, ba::tag::p_square_quantile>>;

// The bucket bounds in seconds cover the usual objectives and deadlines of services.
auto makeHistogram()
{
  return boost::histogram::make_histogram(boost::histogram::axis::variable<>(
    { 0.0, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0 }));
}

// Label values need no escaping: they are names that operators configured, which have no quotes, or
// constants.
std::string label(const char* aName, const std::string& aValue)
{
  return std::string(aName) + "=\"" + aValue + "\"";
}

} // namespace

struct Metrics::Series
{
  Quantile median{ ba::quantile_probability = kMedian };
  Quantile tail{ ba::quantile_probability = kTail };
};

struct Metrics::Durations
{
  decltype(makeHistogram()) counts = makeHistogram();
  double sum = 0;

  void add(double aSeconds)
  {
    counts(aSeconds);
    sum += aSeconds;
  }

  void render(std::ostream& aOut) const
  {
    const auto& axis = counts.axis(0);
    std::uint64_t below = 0;
    aOut << "# TYPE camphorcleat_entry_duration_seconds histogram\n";
    for (int i = 0; i < axis.size(); ++i) {
      below += static_cast<std::uint64_t>(counts.at(i));
      aOut << "camphorcleat_entry_duration_seconds_bucket{le=\"" << axis.bin(i).upper() << "\"} "
           << below << "\n";
    }
    below += static_cast<std::uint64_t>(counts.at(axis.size()));
    aOut << "camphorcleat_entry_duration_seconds_bucket{le=\"+Inf\"} " << below << "\n"
         << "camphorcleat_entry_duration_seconds_sum " << sum << "\n"
         << "camphorcleat_entry_duration_seconds_count " << below << "\n";
  }
};

Metrics::Metrics()
  : mDurations(std::make_unique<Durations>())
{
}

Metrics::~Metrics() = default;

void Metrics::countResponse()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ++mResponses;
}

void Metrics::countRefusal(ErrorCode aCode)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ++mRefusals[aCode];
}

void Metrics::countEntry(const std::string& aService, const std::string& aAccount, ErrorCode aCode,
                         Duration aLatency)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ++mEntryResults[aCode];
  mDurations->add(toSeconds(aLatency));
  if (aCode != ErrorCode::None) {
    return;
  }
  Series& series = seriesOf(aService, aAccount);
  series.median(toSeconds(aLatency));
  series.tail(toSeconds(aLatency));
}

Metrics::Series& Metrics::seriesOf(const std::string& aService, const std::string& aAccount)
{
  SeriesKey key(aService, aAccount);
  auto it = mSeries.find(key);
  if (it == mSeries.end()) {
    if (mSeries.size() >= kMaxSeries) {
      key = SeriesKey("other", "other");
    }
    it = mSeries.try_emplace(key, std::make_unique<Series>()).first;
  }
  return *it->second;
}

void Metrics::addGauge(std::string aName, std::string aHelp, std::function<double()> aRead)
{
  addGauge(std::move(aName), "", std::move(aHelp), std::move(aRead));
}

void Metrics::addGauge(std::string aName, std::string aLabels, std::string aHelp,
                       std::function<double()> aRead)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mGauges.push_back({ std::move(aName), std::move(aLabels), std::move(aHelp), std::move(aRead) });
}

std::uint32_t Metrics::responsesPerSecond() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const TimePoint now = Clock::now();
  const double seconds = toSeconds(now - mRateStart);
  if (seconds >= 1.0) {
    mResponsesPerSecond =
      static_cast<std::uint32_t>(static_cast<double>(mResponses - mResponsesAtRateStart) / seconds);
    mResponsesAtRateStart = mResponses;
    mRateStart = now;
  }
  return mResponsesPerSecond;
}

std::string Metrics::render() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::ostringstream out;
  // With the default of 6 digits, large sums and byte counts would not change between scrapes.
  out.precision(std::numeric_limits<double>::digits10);
  out << "# TYPE camphorcleat_target_answers_total counter\n"
      << "camphorcleat_target_answers_total " << mResponses << "\n"
      << "# TYPE camphorcleat_owner_refusals_total counter\n";
  for (const auto& [code, n] : mRefusals) {
    out << "camphorcleat_owner_refusals_total{" << label("code", std::string(enumName(code)))
        << "} " << n << "\n";
  }
  out << "# TYPE camphorcleat_entry_requests_total counter\n";
  for (const auto& [code, n] : mEntryResults) {
    out << "camphorcleat_entry_requests_total{" << label("code", std::string(enumName(code)))
        << "} " << n << "\n";
  }
  out << "# TYPE camphorcleat_entry_latency_seconds summary\n";
  for (const auto& [key, series] : mSeries) {
    const std::string labels = label("service", key.first) + "," + label("account", key.second);
    out << "camphorcleat_entry_latency_seconds{" << labels << ",quantile=\"0.5\"} "
        << ba::p_square_quantile(series->median) << "\n"
        << "camphorcleat_entry_latency_seconds{" << labels << ",quantile=\"0.99\"} "
        << ba::p_square_quantile(series->tail) << "\n"
        << "camphorcleat_entry_latency_seconds_sum{" << labels << "} " << ba::sum(series->tail)
        << "\n"
        << "camphorcleat_entry_latency_seconds_count{" << labels << "} " << ba::count(series->tail)
        << "\n";
  }
  mDurations->render(out);
  std::string before;
  for (const auto& it : mGauges) {
    if (it.name != before) {
      out << "# HELP " << it.name << " " << it.help << "\n# TYPE " << it.name << " gauge\n";
      before = it.name;
    }
    out << it.name << (it.labels.empty() ? "" : "{" + it.labels + "}") << " " << it.read() << "\n";
  }
  return out.str();
}

} // namespace camphorcleat::daemon
