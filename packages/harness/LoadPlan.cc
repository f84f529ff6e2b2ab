// Parses and validates load plans.

#include "harness/LoadPlan.h"

#include "harness/HarnessErrors.h"

namespace camphorcleat::harness {

namespace {

constexpr unsigned kMaxKeys = 10'000'000;      // The table for Zipf's law then takes 80 MB.
constexpr unsigned kMaxBodyBytes = 16U << 20U; // Bodies are held in memory to be verified.
constexpr double kMaxRatePerSecond = 100'000;

Result<void> validateStream(const LoadStreamPlan& aStream)
{
  const auto invalid = [&](const std::string& aReason) {
    return fail(UsageError{ "stream '" + aStream.name + "': " + aReason });
  };
  if (!(aStream.ratePerSecond > 0) || aStream.ratePerSecond > kMaxRatePerSecond) {
    return invalid("rate_per_second must be above 0 and at most 100000");
  }
  if (aStream.keyCount.value_or(1) == 0 || aStream.keyCount.value_or(1) > kMaxKeys) {
    return invalid("keys must be between 1 and 10000000");
  }
  if (aStream.keyList && aStream.keyList->empty()) {
    return invalid("key_list must not be empty");
  }
  if (aStream.zipfExponent.value_or(0) < 0) {
    return invalid("zipf must not be negative");
  }
  if (aStream.responseBytes.value_or(0) > kMaxBodyBytes ||
      aStream.bodyBytes.value_or(0) > kMaxBodyBytes) {
    return invalid("body_bytes and answer_bytes must be at most 16777216");
  }
  return {};
}

} // namespace

Result<LoadPlan> parseLoadPlan(const std::string& aJson)
{
  BOOST_LEAF_AUTO(plan, fromJson<LoadPlan>(aJson));
  if (plan.entries.empty() || plan.streams.empty()) {
    return fail(UsageError{ "a plan needs at least one entry and one stream" });
  }
  for (const auto& it : plan.streams) {
    BOOST_LEAF_CHECK(validateStream(it));
  }
  return plan;
}

} // namespace camphorcleat::harness
