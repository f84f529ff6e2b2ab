// Guards against a queue that grows without bound, lets one account displace the requests of
// others, or gives accounts equal numbers of requests although their costs differ.

#include <catch2/catch.hpp>

#include "traffic/FairQueue.h"

namespace camphorcleat::traffic {
namespace {

const TimePoint kNow = TimePoint() + std::chrono::hours(1);

QueuedRequest queued(std::uint64_t aId, const std::string& aAccount, std::uint32_t aCost = 1,
                     Millis aDeadline = Millis(1'000))
{
  return QueuedRequest{ RequestId{ 1, aId }, aAccount, aCost, kNow + aDeadline };
}

} // namespace

TEST_CASE("a full queue drops the newest request of the account with the most requests")
{
  FairQueue queue(3);
  REQUIRE_FALSE(queue.push(queued(1, "big")));
  REQUIRE_FALSE(queue.push(queued(2, "big")));
  REQUIRE_FALSE(queue.push(queued(3, "small")));
  REQUIRE(queue.push(queued(4, "small"))->id.counter != 1);
  REQUIRE(queue.size() == 3);
  FairQueue other(3);
  other.push(queued(1, "big"));
  other.push(queued(2, "big"));
  other.push(queued(3, "big"));
  REQUIRE(other.push(queued(4, "small"))->id.counter == 3);
}

TEST_CASE("accounts get equal shares by cost")
{
  FairQueue queue(1000);
  for (std::uint64_t i = 0; i < 400; ++i) {
    queue.push(queued(2 * i, "cheap", 1));
    queue.push(queued(2 * i + 1, "costly", 5));
  }
  int cheap = 0;
  int costly = 0;
  for (int i = 0; i < 300; ++i) {
    (queue.popFront().account == "cheap" ? cheap : costly) += 1;
  }
  REQUIRE(costly == 50);
  REQUIRE(cheap == 250);
}

TEST_CASE("blocked accounts are skipped until they are unblocked")
{
  FairQueue queue(10);
  queue.push(queued(1, "a"));
  queue.push(queued(2, "b"));
  queue.block("a");
  REQUIRE(queue.popFront().id.counter == 2);
  REQUIRE(queue.front() == nullptr);
  queue.unblock("a");
  REQUIRE(queue.front()->id.counter == 1);
}

TEST_CASE("requests are removed at their deadline or by id")
{
  FairQueue queue(10);
  queue.push(queued(1, "a", 1, Millis(30)));
  queue.push(queued(2, "a", 1, Millis(10)));
  queue.push(queued(3, "b", 1, Millis(20)));
  REQUIRE(queue.nextDeadline() == kNow + Millis(10));
  REQUIRE(queue.expire(kNow + Millis(20)).size() == 2);
  REQUIRE(queue.remove(RequestId{ 1, 1 }));
  REQUIRE_FALSE(queue.remove(RequestId{ 1, 1 }));
  REQUIRE(queue.front() == nullptr);
  REQUIRE_FALSE(queue.nextDeadline());
}

} // namespace camphorcleat::traffic
