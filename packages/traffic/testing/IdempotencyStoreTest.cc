// Guards against requests that run twice because their idempotency key was forgotten, and against a
// memory that grows without bound.

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

StoredAnswer answer(std::size_t aBytes)
{
  return StoredAnswer{ 201, { { "x", "y" } }, Bytes(std::string(aBytes, 'b')) };
}

struct Fixture
{
  TimePoint now = TimePoint() + std::chrono::hours(1);
  IdempotencyStore memory;

  Verdict begin(const std::string& aKey, const std::string& aDigest = "d", bool aIsResend = false)
  {
    return memory.begin(now, key(aKey), aDigest, aIsResend).verdict;
  }
};

} // namespace

TEST_CASE("a resend gets the first answer, or unknown while the first runs")
{
  Fixture f;
  REQUIRE(f.begin("k") == Verdict::Run);
  REQUIRE(f.begin("k", "d", true) == Verdict::Unknown);
  REQUIRE(f.begin("k", "other") == Verdict::Conflict);
  f.memory.finish(f.now, key("k"), answer(10));
  const auto again = f.memory.begin(f.now, key("k"), "d", true);
  REQUIRE(again.verdict == Verdict::Replay);
  REQUIRE(again.answer->status == 201);
  REQUIRE(again.answer->body.size() == 10);
}

TEST_CASE("a record lives ten minutes and not longer")
{
  Fixture f;
  f.begin("k");
  f.memory.finish(f.now, key("k"), answer(10));
  f.now += Millis(599'999);
  REQUIRE(f.begin("k") == Verdict::Replay);
  f.now += Millis(1);
  REQUIRE(f.begin("k") == Verdict::Run);
}

TEST_CASE("a request that did not run frees its key")
{
  Fixture f;
  f.begin("k");
  f.memory.release(key("k"));
  REQUIRE(f.begin("k", "other") == Verdict::Run);
  f.memory.finish(f.now, key("k"), std::nullopt);
  f.memory.release(key("k")); // Not running any more: must not free it.
  REQUIRE(f.begin("k", "other") == Verdict::Unknown);
}

TEST_CASE("answers above 64 KiB are not stored and their key still counts")
{
  Fixture f;
  f.begin("k");
  f.memory.finish(f.now, key("k"), answer(64 * 1024 + 1));
  REQUIRE(f.begin("k") == Verdict::Unknown);
  REQUIRE(f.memory.bytes() < 1024);
}

TEST_CASE("a full memory refuses new keys and forgets none")
{
  IdempotencyStore::Config config;
  config.maxRecordsPerPartition = 3;
  config.maxBytesPerPartition = 20'000;
  Fixture f;
  f.memory = IdempotencyStore(config);
  for (const char* name : { "1", "2", "3" }) {
    REQUIRE(f.begin(name) == Verdict::Run);
    f.memory.finish(f.now, key(name), answer(10'000));
  }
  REQUIRE(f.begin("4") == Verdict::Full);
  REQUIRE(f.begin("1") == Verdict::Replay);
  REQUIRE(f.begin("3") == Verdict::Unknown); // Its answer was above the bytes.
  REQUIRE(f.memory.bytes() <= 20'000);
  REQUIRE(f.begin(std::string(257, 'k')) == Verdict::TooLong);
}

TEST_CASE("a planned move carries the records over")
{
  Fixture f;
  f.begin("done");
  f.memory.finish(f.now, key("done"), answer(10));
  f.begin("running");
  auto records = f.memory.exportPartition(f.now, kPartition);
  REQUIRE(records.size() == 2);
  REQUIRE(f.memory.recordCount() == 0);
  REQUIRE(f.memory.bytes() == 0);
  Fixture next;
  next.memory.importPartition(next.now, kPartition, std::move(records));
  REQUIRE(next.begin("done") == Verdict::Replay);
  REQUIRE(next.begin("running") == Verdict::Unknown);
  REQUIRE(next.begin("new", "d", true) == Verdict::Run);
}

TEST_CASE("after an unplanned start a resend with an unknown key is unknown for ten minutes")
{
  Fixture f;
  f.memory.startWithoutRecords(kPartition, f.now);
  REQUIRE(f.begin("k", "d", true) == Verdict::Unknown);
  REQUIRE(f.begin("first") == Verdict::Run);
  f.now += Millis(600'000);
  REQUIRE(f.begin("k", "d", true) == Verdict::Run);
}

} // namespace camphorcleat::traffic
