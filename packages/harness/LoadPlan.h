// Plan of a load: the entries, the streams of requests and the duration.

#ifndef CAMPHORCLEAT_HARNESS_LOADPLAN_H_
#define CAMPHORCLEAT_HARNESS_LOADPLAN_H_

#include <optional>
#include <string>
#include <vector>

#include "base/Codec.h"

namespace camphorcleat::harness {

/// One stream of requests. The comment of an optional field names its default.
struct LoadStreamPlan
{
  std::string name;
  std::string account;
  std::string accountKey; ///< Sent as "Authorization: Bearer" unless empty.
  std::string service;
  std::optional<bool> isKeyed;      ///< Whether requests have a key. Default: true.
  std::optional<unsigned> keyCount; ///< Number of keys, named k0, k1 and so on. Default: 1000.
  /// Number of the first key, which is the most frequent one under Zipf's law. Default: 0.
  std::optional<unsigned> firstKey;
  std::optional<std::vector<std::string>> keyList; ///< Replaces the numbered keys.
  std::optional<double> zipfExponent; ///< Exponent of Zipf's law. Default: uniform distribution.
  std::optional<double> postShare;    ///< Fraction of POST; the rest is GET. Default: 0.
  double ratePerSecond = 0;           ///< Must be above 0.
  std::optional<bool> isSteady;       ///< Evenly spaced requests. Default: false, Poisson arrivals.
  std::optional<unsigned> bodyBytes;  ///< Size of POST bodies. Default: 0.
  std::optional<unsigned> responseBytes; ///< Size of responses. Default: 0, the target's JSON echo.
  std::optional<bool> hasIdempotencyKeys; ///< Whether POST has an Idempotency-Key. Default: false.
  std::optional<Millis> deadline;         ///< Default: 10 s, which is not sent to the entry.
  std::optional<double> workMs;           ///< Overrides the target's service time.

  static constexpr auto fields()
  {
    return std::make_tuple(
      field("name", &LoadStreamPlan::name), field("account", &LoadStreamPlan::account),
      field("account_key", &LoadStreamPlan::accountKey), field("service", &LoadStreamPlan::service),
      field("keyed", &LoadStreamPlan::isKeyed), field("keys", &LoadStreamPlan::keyCount),
      field("first_key", &LoadStreamPlan::firstKey), field("key_list", &LoadStreamPlan::keyList),
      field("zipf", &LoadStreamPlan::zipfExponent), field("post_share", &LoadStreamPlan::postShare),
      field("rate_per_second", &LoadStreamPlan::ratePerSecond),
      field("steady", &LoadStreamPlan::isSteady), field("body_bytes", &LoadStreamPlan::bodyBytes),
      field("answer_bytes", &LoadStreamPlan::responseBytes),
      field("idempotency_key", &LoadStreamPlan::hasIdempotencyKeys),
      field("deadline_ms", &LoadStreamPlan::deadline), field("work_ms", &LoadStreamPlan::workMs));
  }
};

struct LoadPlan
{
  std::string name; ///< Prefix of request ids; must be unique among the plans of a test.
  std::vector<std::string> entries; ///< Addresses, ip:port. Each request goes to a random one.
  std::vector<LoadStreamPlan> streams;
  Millis duration{};
  std::optional<std::uint64_t> seed;      ///< Default: 1.
  std::optional<unsigned> maxConnections; ///< Limit per entry. Default: 1000.

  static constexpr auto fields()
  {
    return std::make_tuple(
      field("name", &LoadPlan::name), field("entries", &LoadPlan::entries),
      field("streams", &LoadPlan::streams), field("duration_ms", &LoadPlan::duration),
      field("seed", &LoadPlan::seed), field("max_connections", &LoadPlan::maxConnections));
  }
};

/// Parses a plan from JSON and validates its values. Fails with DecodeError or UsageError.
/// Thread-safe.
Result<LoadPlan> parseLoadPlan(const std::string& aJson);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_LOADPLAN_H_
