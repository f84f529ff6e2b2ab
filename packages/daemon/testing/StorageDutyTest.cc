// Tests what the storage thread does while a disk refuses writes.

#include <atomic>

#include <catch2/catch.hpp>

#include "daemon/StorageDuty.h"

namespace camphorcleat::daemon {
namespace {

/// Fails a number of writes and counts all of them.
class FakeStore : public agreement::LogStore
{
public:
  FakeStore(int aFailures, std::atomic<int>& aWrites)
    : mFailures(aFailures)
    , mWrites(aWrites)
  {
  }

  Result<agreement::StoredState> open() override { return agreement::StoredState(); }

  Result<void> persist(const agreement::Persist& /*aBatch*/) override
  {
    ++mWrites;
    if (mFailures > 0) {
      --mFailures;
      return fail(StorageError{ "log", "writing", ENOSPC });
    }
    return {};
  }

private:
  int mFailures;
  std::atomic<int>& mWrites;
};

constexpr std::size_t kRingSize = 16;
constexpr Millis kWait{ 5000 };

StorageDone nextResult(Ring<ControlMessage>& aResults)
{
  const auto message = aResults.popUntil(Clock::now() + kWait);
  REQUIRE(message);
  REQUIRE(std::holds_alternative<StorageDone>(*message));
  return std::get<StorageDone>(*message);
}

agreement::Persist jobOf(std::uint64_t aBatch)
{
  agreement::Persist out;
  out.batch = aBatch;
  return out;
}

} // namespace

// Guards against a member that gives up its log after one failed write.
TEST_CASE("A failed write is reported once and repeated until it succeeds")
{
  Ring<ControlMessage> results(kRingSize);
  std::atomic<int> writes{ 0 };
  StorageDuty duty(std::make_unique<FakeStore>(3, writes), results);
  duty.start();
  REQUIRE(duty.submit(jobOf(1)));
  const StorageDone failed = nextResult(results);
  CHECK(failed.batch == 1);
  CHECK_FALSE(failed.isPersisted);
  const StorageDone done = nextResult(results);
  CHECK(done.batch == 1);
  CHECK(done.isPersisted);
  CHECK(writes == 4);
  REQUIRE(duty.submit(jobOf(2)));
  CHECK(nextResult(results).isPersisted);
  duty.stop();
}

TEST_CASE("A storage thread whose disk refuses writes can be stopped")
{
  constexpr int kForever = 1 << 30;
  Ring<ControlMessage> results(kRingSize);
  std::atomic<int> writes{ 0 };
  StorageDuty duty(std::make_unique<FakeStore>(kForever, writes), results);
  duty.start();
  REQUIRE(duty.submit(jobOf(1)));
  CHECK_FALSE(nextResult(results).isPersisted);
  const TimePoint before = Clock::now();
  duty.stop();
  CHECK(Clock::now() - before < Millis(1000));
}

} // namespace camphorcleat::daemon
