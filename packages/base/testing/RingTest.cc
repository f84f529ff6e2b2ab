// Guards against rings that exceed their capacity, and against messages that are lost or delivered
// twice.

#include <thread>

#include <catch2/catch.hpp>

#include "base/Ring.h"

namespace camphorcleat {

TEST_CASE("a full ring refuses a message and keeps its messages in order")
{
  Ring<int> ring(2);
  REQUIRE(ring.tryPush(1));
  REQUIRE(ring.tryPush(2));
  REQUIRE_FALSE(ring.tryPush(3));
  REQUIRE(ring.tryPop() == 1);
  REQUIRE(ring.tryPush(4));
  REQUIRE(ring.popMany(10) == std::vector<int>{ 2, 4 });
}

TEST_CASE("each accepted message of two producers is delivered exactly once")
{
  constexpr int kPerProducer = 20000;
  Ring<int> ring(64);
  auto produce = [&] {
    for (int i = 0; i < kPerProducer;) {
      i += ring.tryPush(1) ? 1 : 0;
    }
  };
  std::thread first(produce);
  std::thread second(produce);
  int sum = 0;
  while (sum < 2 * kPerProducer) {
    sum += ring.popUntil(Clock::now() + Millis(100)).value_or(0);
  }
  first.join();
  second.join();
  REQUIRE(sum == 2 * kPerProducer);
}

} // namespace camphorcleat
