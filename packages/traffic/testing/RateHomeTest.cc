// Guards against token messages that are counted twice or not at all, and against buckets that
// stand still.

#include <catch2/catch.hpp>

#include "traffic/RateHome.h"
#include "traffic/TokenCache.h"
#include "traffic/TokenTimes.h"

namespace camphorcleat::traffic {
namespace {

struct Fixture
{
  TimePoint now = TimePoint() + std::chrono::hours(1);
  RateHome home{ 1 };
  double rate = 10;
  double burst = 5;
  std::uint64_t bucket = 0;

  wire::TokenAnswer send(const wire::TokenRequest& aRequest)
  {
    auto out = home.handle(now, aRequest, rate, burst, now + Millis(1'000), HomeStart::AfterLoss);
    bucket = out.bucket;
    return out;
  }

  wire::TokenRequest request(std::uint64_t aSequence, std::uint32_t aWanted,
                             std::uint64_t aAccepted = 0) const
  {
    wire::TokenRequest out;
    out.account = "acme";
    out.drawer = 1;
    out.sequence = aSequence;
    out.wanted = aWanted;
    out.waiting = aWanted;
    out.bucket = bucket;
    out.accepted = aAccepted;
    return out;
  }

  // A bucket filled to its burst.
  void fill()
  {
    send(request(1, 0));
    now += fromSeconds(burst / rate + 1);
    send(request(2, 0, 1));
  }
};

} // namespace

TEST_CASE("a new home starts empty")
{
  Fixture f;
  REQUIRE(f.send(f.request(1, 5)).granted == 0);
  f.now += Millis(101);
  REQUIRE(f.send(f.request(2, 5)).granted == 1);
}

TEST_CASE("a home after a planned move waits for the tokens of the previous home")
{
  Fixture f;
  const auto send = [&](std::uint64_t aSequence) {
    return f.home.handle(f.now, f.request(aSequence, 1), 1'000, 5, f.now + Millis(1'000));
  };
  send(1);
  f.now += Millis(270);
  REQUIRE(send(2).granted == 0);
  f.now += Millis(5);
  REQUIRE(send(3).granted == 1);
}

TEST_CASE("an exported bucket keeps its level and its parked tokens")
{
  Fixture f;
  f.fill();
  REQUIRE(f.send(f.request(3, 2, 2)).granted == 2);
  const auto record = f.home.exportAccount(f.now, "acme");
  REQUIRE(record);
  RateHome next(2);
  next.importAccount(f.now, *record);
  REQUIRE(next.handle(f.now, f.request(4, 5, 3), f.rate, f.burst, f.now + Millis(1'000)).granted ==
          3);
  REQUIRE(next.levelAndParked(f.now, "acme") <= f.burst);
}

TEST_CASE("a duplicated draw gets the same tokens, not more")
{
  Fixture f;
  f.fill();
  const auto first = f.send(f.request(3, 2, 2));
  const auto again = f.send(f.request(3, 2, 2));
  REQUIRE(first.granted == 2);
  REQUIRE(again.granted == 2);
  REQUIRE(f.send(f.request(4, 5, 3)).granted == 3);
}

TEST_CASE("a draw that arrives after a newer one gets no token")
{
  Fixture f;
  f.fill();
  REQUIRE(f.send(f.request(9, 1, 2)).granted == 1);
  REQUIRE(f.send(f.request(8, 1, 2)).granted == 0);
}

TEST_CASE("tokens of an answer that was not used return to the level")
{
  Fixture f;
  f.fill();
  REQUIRE(f.send(f.request(3, 5, 2)).granted == 5);
  REQUIRE(f.send(f.request(4, 5, 2)).granted == 5); // Answer 3 was lost.
}

TEST_CASE("reports that repeat after a lost answer are counted once")
{
  Fixture f;
  f.fill();
  REQUIRE(f.send(f.request(3, 4, 2)).granted == 4);
  auto report = f.request(4, 0, 3);
  report.returned = 2;
  f.send(report);
  REQUIRE(f.home.levelAndParked(f.now, "acme") == Approx(5));
  auto repeat = f.request(5, 5, 3); // Answer 4 was lost, so its counts come again.
  repeat.returned = 2;
  REQUIRE(f.send(repeat).granted == 3);
}

TEST_CASE("a late report does not un-park a newer token")
{
  Fixture f;
  f.fill();
  REQUIRE(f.send(f.request(3, 5, 2)).granted == 5);
  f.now += kTokenHold + Millis(300); // Five tokens expire unreported; three come back as refill.
  const auto second = f.send(f.request(4, 3, 3));
  REQUIRE(second.granted == 3);
  auto late = f.request(5, 0, 4);
  late.spent = 5; // Those of answer 3.
  f.send(late);
  f.now += Millis(200); // Tokens of answer 4 are still alive: only two of five may be refilled.
  REQUIRE(f.send(f.request(6, 5, 5)).granted == 2);
}

TEST_CASE("a drawer that alternates between two homes keeps getting tokens")
{
  Fixture f;
  f.rate = 100;
  f.fill();
  for (std::uint64_t i = 3; i < 3 + 3 * RateBucket::kMaxGrants; ++i) {
    auto request = f.request(i, 1, i - 1);
    request.bucket = 12345; // The other home answered in between.
    f.now += Millis(300);
    REQUIRE(f.send(request).granted == 1);
  }
}

TEST_CASE("a burst of one token is never stuck")
{
  Fixture f;
  f.rate = 100;
  f.burst = 1;
  unsigned granted = 0;
  std::uint64_t sequence = 0;
  std::uint32_t spent = 0;
  for (int i = 0; i < 1'000; ++i) {
    f.now += Millis(5);
    auto request = f.request(sequence + 1, 1, sequence);
    ++sequence;
    request.spent = spent;
    spent = f.send(request).granted;
    granted += spent;
  }
  REQUIRE(granted >= 330); // Each is reported 5 ms later, then 10 ms of refill follow.
}

TEST_CASE("tokens never outlive the lease of their home")
{
  Fixture f;
  f.fill();
  const auto answer = f.home.handle(f.now, f.request(3, 1, 2), f.rate, f.burst, f.now + Millis(40));
  REQUIRE(answer.granted == 1);
  REQUIRE(answer.lifetime <= Millis(40));
  REQUIRE(f.home.handle(f.now, f.request(4, 1, 3), f.rate, f.burst, f.now).code ==
          ErrorCode::NotOwner);
}

TEST_CASE("the table of accounts is bounded")
{
  Fixture f;
  for (std::size_t i = 0; i < RateHome::kMaxAccounts + 10; ++i) {
    auto request = f.request(1, 1);
    request.account = std::to_string(i);
    f.send(request);
  }
  REQUIRE(f.home.accountCount() == RateHome::kMaxAccounts);
}

TEST_CASE("a cache gives unused tokens back in time")
{
  Fixture f;
  TokenCache cache(9);
  cache.recordArrival(f.now, "acme");
  cache.setWaiting(f.now, "acme", 1);
  auto draws = cache.due(f.now);
  REQUIRE(draws.size() == 1);
  wire::TokenAnswer answer;
  answer.account = "acme";
  answer.sequence = draws[0].sequence;
  answer.granted = 3;
  answer.bucket = 5;
  answer.lifetime = kTokenLifetime;
  REQUIRE(cache.accept(f.now, answer, f.now).covered == 3);
  REQUIRE(cache.spend(f.now, "acme"));
  cache.setWaiting(f.now, "acme", 0);
  f.now += Millis(150);
  draws = cache.due(f.now);
  REQUIRE(draws.size() == 1);
  REQUIRE(draws[0].spent == 1);
  REQUIRE(draws[0].returned == 2);
  REQUIRE_FALSE(cache.spend(f.now, "acme"));
}

TEST_CASE("a cache ignores answers to draws that it gave up")
{
  Fixture f;
  TokenCache cache(9);
  cache.setWaiting(f.now, "acme", 1);
  const auto first = cache.due(f.now);
  f.now += Millis(100);
  const auto second = cache.due(f.now);
  REQUIRE(second.size() == 1);
  wire::TokenAnswer late;
  late.account = "acme";
  late.sequence = first[0].sequence;
  late.granted = 1;
  late.bucket = 5;
  late.lifetime = kTokenLifetime;
  REQUIRE_FALSE(cache.accept(f.now, late, f.now).isAccepted);
  REQUIRE(cache.available(f.now, "acme") == 0);
}

} // namespace camphorcleat::traffic
