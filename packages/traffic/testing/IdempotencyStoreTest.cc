// Guards against requests that run twice because the record of their idempotency key was lost, and
// against a store that grows without bound.

#include <catch2/catch.hpp>

#include "traffic/IdempotencyStore.h"

namespace camphorcleat::traffic {
namespace {

using Verdict = IdempotencyStore::Verdict;

const PartitionKey kPartition{ "station-lookup", 3 };

IdempotencyRecordKey key(const std::string& aName)
{
  return IdempotencyRecordKey{ kPartition, "acme", aName };
}

StoredResponse response(std::size_t aBytes)
{
  return StoredResponse{ 201, { { "x", "y" } }, Bytes(std::string(aBytes, 'b')) };
}

struct Fixture
{
  TimePoint now = TimePoint() + std::chrono::hours(1);
  IdempotencyStore store;

  Verdict begin(const std::string& aKey, const std::string& aDigest = "d", bool aIsResend = false)
  {
    return store.begin(now, key(aKey), aDigest, aIsResend).verdict;
  }
};

} // namespace

TEST_CASE("a resend gets the stored response or unknown while the first request runs")
{
  Fixture f;
  REQUIRE(f.begin("k") == Verdict::Run);
  REQUIRE(f.begin("k", "d", true) == Verdict::Unknown);
  REQUIRE(f.begin("k", "other") == Verdict::Conflict);
  f.store.finish(f.now, key("k"), response(10));
  const auto resend = f.store.begin(f.now, key("k"), "d", true);
  REQUIRE(resend.verdict == Verdict::Replay);
  REQUIRE(resend.response->status == 201);
  REQUIRE(resend.response->body.size() == 10);
}

TEST_CASE("a record expires after exactly ten minutes")
{
  Fixture f;
  f.begin("k");
  f.store.finish(f.now, key("k"), response(10));
  f.now += Millis(599'999);
  REQUIRE(f.begin("k") == Verdict::Replay);
  f.now += Millis(1);
  REQUIRE(f.begin("k") == Verdict::Run);
}

TEST_CASE("a request that did not run releases its idempotency key")
{
  Fixture f;
  f.begin("k");
  f.store.release(key("k"));
  REQUIRE(f.begin("k", "other") == Verdict::Run);
  f.store.finish(f.now, key("k"), std::nullopt);
  f.store.release(key("k")); // Has no effect, since the request is no longer running.
  REQUIRE(f.begin("k", "other") == Verdict::Unknown);
}

TEST_CASE("responses above 64 KiB are not stored but their keys are still deduplicated")
{
  Fixture f;
  f.begin("k");
  f.store.finish(f.now, key("k"), response(64 * 1024 + 1));
  REQUIRE(f.begin("k") == Verdict::Unknown);
  REQUIRE(f.store.bytes() < 1024);
}

TEST_CASE("a full store refuses new keys and evicts none")
{
  IdempotencyStore::Config config;
  config.maxRecordsPerPartition = 3;
  config.maxBytesPerPartition = 20'000;
  Fixture f;
  f.store = IdempotencyStore(config);
  for (const char* name : { "1", "2", "3" }) {
    REQUIRE(f.begin(name) == Verdict::Run);
    f.store.finish(f.now, key(name), response(10'000));
  }
  REQUIRE(f.begin("4") == Verdict::Full);
  REQUIRE(f.begin("1") == Verdict::Replay);
  // The third response was not stored because of maxBytesPerPartition.
  REQUIRE(f.begin("3") == Verdict::Unknown);
  REQUIRE(f.store.bytes() <= 20'000);
  REQUIRE(f.begin(std::string(257, 'k')) == Verdict::TooLong);
}

TEST_CASE("a planned handover of a partition transfers its records")
{
  Fixture f;
  f.begin("done");
  f.store.finish(f.now, key("done"), response(10));
  f.begin("running");
  auto records = f.store.exportPartition(f.now, kPartition);
  REQUIRE(records.size() == 2);
  REQUIRE(f.store.recordCount() == 0);
  REQUIRE(f.store.bytes() == 0);
  Fixture next;
  next.store.importPartition(next.now, kPartition, std::move(records));
  REQUIRE(next.begin("done") == Verdict::Replay);
  REQUIRE(next.begin("running") == Verdict::Unknown);
  REQUIRE(next.begin("new", "d", true) == Verdict::Run);
}

TEST_CASE("after a start without records a resend with a new key is unknown for ten minutes")
{
  Fixture f;
  f.store.startWithoutRecords(kPartition, f.now);
  REQUIRE(f.begin("k", "d", true) == Verdict::Unknown);
  REQUIRE(f.begin("first") == Verdict::Run);
  f.now += Millis(600'000);
  REQUIRE(f.begin("k", "d", true) == Verdict::Run);
}

} // namespace camphorcleat::traffic
