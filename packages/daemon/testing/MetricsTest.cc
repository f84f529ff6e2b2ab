// Guards against a number of series that callers can increase without bound, and against text that
// Prometheus can't parse.

#include <regex>
#include <set>
#include <sstream>

#include <catch2/catch.hpp>

#include "daemon/Metrics.h"

namespace camphorcleat::daemon {
namespace {

std::size_t linesWith(const std::string& aText, const std::string& aPart)
{
  std::size_t out = 0;
  std::istringstream in(aText);
  for (std::string line; std::getline(in, line);) {
    out += line.find(aPart) != std::string::npos ? 1 : 0;
  }
  return out;
}

} // namespace

TEST_CASE("the number of series is bounded and further ones are counted as other")
{
  Metrics metrics;
  for (int i = 0; i < 5000; ++i) {
    metrics.countEntry("lookup", "account-" + std::to_string(i), ErrorCode::None, Millis(1));
  }
  const std::string text = metrics.render();
  // 2048 accounts and "other".
  CHECK(linesWith(text, "camphorcleat_entry_latency_seconds_count{") == 2049);
  CHECK(text.find("camphorcleat_entry_latency_seconds_count{service=\"other\",account=\"other\"} "
                  "2952\n") != std::string::npos);
  CHECK(text.find("camphorcleat_entry_requests_total{code=\"none\"} 5000\n") != std::string::npos);
}

TEST_CASE("refused requests create no series")
{
  Metrics metrics;
  for (int i = 0; i < 100; ++i) {
    metrics.countEntry("s" + std::to_string(i), "a", ErrorCode::UnknownService, Millis(1));
  }
  const std::string text = metrics.render();
  CHECK(linesWith(text, "latency_seconds_count") == 0);
  CHECK(linesWith(text, "s99") == 0);
  CHECK(text.find("camphorcleat_entry_requests_total{code=\"unknown_service\"} 100\n") !=
        std::string::npos);
}

TEST_CASE("the histogram counts responses and refusals in cumulative buckets")
{
  Metrics metrics;
  metrics.countEntry("lookup", "a", ErrorCode::None, Millis(3));
  metrics.countEntry("lookup", "a", ErrorCode::Overloaded, Millis(300));
  metrics.countEntry("lookup", "a", ErrorCode::None, Millis(20'000));
  const std::string text = metrics.render();
  CHECK(text.find("_duration_seconds_bucket{le=\"0.005\"} 1\n") != std::string::npos);
  CHECK(text.find("_duration_seconds_bucket{le=\"0.25\"} 1\n") != std::string::npos);
  CHECK(text.find("_duration_seconds_bucket{le=\"0.5\"} 2\n") != std::string::npos);
  CHECK(text.find("_duration_seconds_bucket{le=\"10\"} 2\n") != std::string::npos);
  CHECK(text.find("_duration_seconds_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
  CHECK(text.find("_duration_seconds_count 3\n") != std::string::npos);
}

TEST_CASE("gauges with the same name have one description")
{
  Metrics metrics;
  metrics.addGauge("sent_bytes", "type=\"a\"", "Bytes sent.", [] { return 1; });
  metrics.addGauge("sent_bytes", "type=\"b\"", "Bytes sent.", [] { return 2; });
  const std::string text = metrics.render();
  CHECK(linesWith(text, "# TYPE sent_bytes gauge") == 1);
  CHECK(linesWith(text, "sent_bytes{type=\"b\"} 2") == 1);
}

TEST_CASE("counters and gauges have the recorded values")
{
  Metrics metrics;
  metrics.countResponse();
  metrics.countResponse();
  metrics.countRefusal(ErrorCode::QueueFull);
  metrics.countEntry("lookup", "acme", ErrorCode::None, Millis(250));
  metrics.addGauge("camphorcleat_queue", "Requests that wait.", [] { return 3.5; });
  const std::string text = metrics.render();
  for (const char* it :
       { "camphorcleat_target_answers_total 2\n",
         "camphorcleat_owner_refusals_total{code=\"queue_full\"} 1\n",
         "camphorcleat_entry_latency_seconds_sum{service=\"lookup\",account=\"acme\"} 0.25\n",
         "# HELP camphorcleat_queue Requests that wait.\n# TYPE camphorcleat_queue gauge\n"
         "camphorcleat_queue 3.5\n" }) {
    INFO(it);
    CHECK(text.find(it) != std::string::npos);
  }
}

TEST_CASE("each line matches the Prometheus text format, and each type appears once")
{
  Metrics metrics;
  metrics.countResponse();
  metrics.countRefusal(ErrorCode::OverRate);
  for (int i = 0; i < 20; ++i) {
    metrics.countEntry("lookup", "acme", ErrorCode::None, Micros(100 * i));
    metrics.countEntry("", "", ErrorCode::None, Micros(i));
  }
  metrics.addGauge("camphorcleat_queue", "Requests that wait.", [] { return 1e9; });
  const std::string text = metrics.render();
  const std::regex sample(
    R"(^[a-z_]+(\{[a-z_]+="[^"\\]*"(,[a-z_]+="[^"\\]*")*\})? (-?[0-9][0-9.e+-]*|NaN|[+-]Inf)$)");
  const std::regex comment(
    R"(^# (TYPE [a-z_]+ (counter|gauge|histogram|summary)|HELP [a-z_]+ .+)$)");
  std::set<std::string> seen;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    INFO(line);
    const bool isComment = line.front() == '#';
    CHECK(std::regex_match(line, isComment ? comment : sample));
    CHECK(seen.insert(isComment ? line : line.substr(0, line.rfind(' '))).second);
  }
  CHECK(text.back() == '\n');
}

TEST_CASE("large values are printed with all their digits")
{
  Metrics metrics;
  metrics.addGauge("camphorcleat_bytes", "Bytes.", [] { return 123456789.0; });
  CHECK(metrics.render().find("camphorcleat_bytes 123456789\n") != std::string::npos);
}

TEST_CASE("the rate of responses covers only complete seconds")
{
  Metrics metrics;
  metrics.responsesPerSecond(); // Starts the first interval.
  for (int i = 0; i < 100; ++i) {
    metrics.countResponse();
  }
  CHECK(metrics.responsesPerSecond() == 0); // The interval has not ended.
}

} // namespace camphorcleat::daemon
