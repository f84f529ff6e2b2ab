// The plan of a load: where requests go, which streams of them, for how long.

#ifndef CAMPHORCLEAT_HARNESS_LOADPLAN_H_
#define CAMPHORCLEAT_HARNESS_LOADPLAN_H_

#include <optional>
#include <string>
#include <vector>

#include "base/Codec.h"

namespace camphorcleat::harness {

/// One stream of requests. Optional fields have the default named with them.
struct LoadStreamPlan
{
  std::string name;
  std::string account;
  std::string accountKey; ///< Sent as Authorization: Bearer; empty: no such header.
  std::string service;
  std::optional<bool> keyed;                       ///< true
  std::optional<unsigned> keys;                    ///< 1000; keys k0, k1, ...
  std::optional<unsigned> firstKey;                ///< 0; number of the first (hottest) key.
  std::optional<std::vector<std::string>> keyList; ///< In place of the numbered keys.
  std::optional<double> zipf;                      ///< Exponent; absent: uniform.
  std::optional<double> postShare;                 ///< 0; the rest is GET.
  double ratePerSecond = 0;                        ///< Above 0.
  std::optional<bool> steady;                      ///< false: Poisson arrivals.
  std::optional<unsigned> bodyBytes;               ///< 0; of POST.
  std::optional<unsigned> answerBytes;             ///< 0: the target's JSON echo.
  std::optional<bool> idempotencyKey;              ///< false; on POST.
  std::optional<Millis> deadline;                  ///< 10 s; sent to the entry only if present.
  std::optional<double> workMs;                    ///< Overrides the target's service time.

  static constexpr auto fields()
  {
    return std::make_tuple(
      field("name", &LoadStreamPlan::name), field("account", &LoadStreamPlan::account),
      field("account_key", &LoadStreamPlan::accountKey), field("service", &LoadStreamPlan::service),
      field("keyed", &LoadStreamPlan::keyed), field("keys", &LoadStreamPlan::keys),
      field("first_key", &LoadStreamPlan::firstKey), field("key_list", &LoadStreamPlan::keyList),
      field("zipf", &LoadStreamPlan::zipf), field("post_share", &LoadStreamPlan::postShare),
      field("rate_per_second", &LoadStreamPlan::ratePerSecond),
      field("steady", &LoadStreamPlan::steady), field("body_bytes", &LoadStreamPlan::bodyBytes),
      field("answer_bytes", &LoadStreamPlan::answerBytes),
      field("idempotency_key", &LoadStreamPlan::idempotencyKey),
      field("deadline_ms", &LoadStreamPlan::deadline), field("work_ms", &LoadStreamPlan::workMs));
  }
};

struct LoadPlan
{
  std::string name; ///< Prefix of request ids; must differ between plans of one test.
  std::vector<std::string> entries;
  std::vector<LoadStreamPlan> streams;
  Millis duration{};
  std::optional<std::uint64_t> seed;      ///< 1
  std::optional<unsigned> maxConnections; ///< 1000, per entry.

  static constexpr auto fields()
  {
    return std::make_tuple(
      field("name", &LoadPlan::name), field("entries", &LoadPlan::entries),
      field("streams", &LoadPlan::streams), field("duration_ms", &LoadPlan::duration),
      field("seed", &LoadPlan::seed), field("max_connections", &LoadPlan::maxConnections));
  }
};

/// Reads a plan from JSON and checks its bounds. Fails with DecodeError or UsageError. Thread-safe.
Result<LoadPlan> parseLoadPlan(const std::string& aJson);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_LOADPLAN_H_
