// Guards against requests that are taken for fresh although a thread that was late left them
// unread.

#include <catch2/catch.hpp>

#include "base/LoopDelay.h"

namespace camphorcleat {
namespace {

constexpr Millis kInterval{ 50 };

TEST_CASE("bytes wait unread for as long as the loop was late, until it is punctual again")
{
  LoopDelay delay(kInterval);
  TimePoint now{ std::chrono::seconds(10) };
  const auto tickAfter = [&](Millis aTime) {
    now += aTime;
    delay.tick(now);
  };
  CHECK(delay.maxUnread(now) == Duration::zero());
  for (int i = 0; i < 4; ++i) {
    tickAfter(kInterval);
    CHECK(delay.maxUnread(now) == Duration::zero());
    CHECK(delay.maxUnread(now + kInterval) == Duration::zero());
  }
  SECTION("read before the late tick")
  {
    CHECK(delay.maxUnread(now + Millis(1500)) >= Millis(1400));
  }
  SECTION("read after the late tick")
  {
    tickAfter(Millis(1500));
    CHECK(delay.maxUnread(now + Millis(300)) >= Millis(1400));
    tickAfter(kInterval);
    tickAfter(kInterval);
    CHECK(delay.maxUnread(now) == Duration::zero());
  }
  SECTION("ticks were stopped")
  {
    delay.reset();
    tickAfter(Millis(1500));
    CHECK(delay.maxUnread(now) == Duration::zero());
  }
}

} // namespace
} // namespace camphorcleat
