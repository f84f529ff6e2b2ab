// Guards against duplicated, lost or reordered token requests and replies that change the number of
// tokens, and against buckets that stop granting tokens.

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

  wire::TokenReply send(const wire::TokenRequest& aRequest)
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

  // Creates a bucket and lets it refill up to its burst. Uses sequence numbers 1 and 2.
  void fillBucket()
  {
    send(request(1, 0));
    now += fromSeconds(burst / rate + 1);
    send(request(2, 0, 1));
  }
};

} // namespace

TEST_CASE("a bucket at a new home starts empty")
{
  Fixture f;
  REQUIRE(f.send(f.request(1, 5)).granted == 0);
  f.now += Millis(101);
  REQUIRE(f.send(f.request(2, 5)).granted == 1);
}

TEST_CASE("a home after a planned handover grants nothing until the previous tokens have expired")
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
  f.fillBucket();
  REQUIRE(f.send(f.request(3, 2, 2)).granted == 2);
  const auto record = f.home.exportAccount(f.now, "acme");
  REQUIRE(record);
  RateHome nextHome(2);
  nextHome.importAccount(f.now, *record);
  REQUIRE(
    nextHome.handle(f.now, f.request(4, 5, 3), f.rate, f.burst, f.now + Millis(1'000)).granted ==
    3);
  REQUIRE(nextHome.levelAndParked(f.now, "acme") <= f.burst);
}

TEST_CASE("a duplicated token request gets the same reply without further tokens")
{
  Fixture f;
  f.fillBucket();
  const auto first = f.send(f.request(3, 2, 2));
  const auto duplicate = f.send(f.request(3, 2, 2));
  REQUIRE(first.granted == 2);
  REQUIRE(duplicate.granted == 2);
  REQUIRE(f.send(f.request(4, 5, 3)).granted == 3);
}

TEST_CASE("a token request that arrives after a newer one gets no tokens")
{
  Fixture f;
  f.fillBucket();
  REQUIRE(f.send(f.request(9, 1, 2)).granted == 1);
  REQUIRE(f.send(f.request(8, 1, 2)).granted == 0);
}

TEST_CASE("tokens of a reply that the drawer did not accept are available again")
{
  Fixture f;
  f.fillBucket();
  REQUIRE(f.send(f.request(3, 5, 2)).granted == 5);
  REQUIRE(f.send(f.request(4, 5, 2)).granted == 5); // Reply 3 was lost, so `accepted` is still 2.
}

TEST_CASE("a report that is repeated after a lost reply is applied once")
{
  Fixture f;
  f.fillBucket();
  REQUIRE(f.send(f.request(3, 4, 2)).granted == 4);
  auto report = f.request(4, 0, 3);
  report.returned = 2;
  f.send(report);
  REQUIRE(f.home.levelAndParked(f.now, "acme") == Approx(5));
  auto repeat = f.request(5, 5, 3); // Reply 4 was lost, so the report is repeated.
  repeat.returned = 2;
  REQUIRE(f.send(repeat).granted == 3);
}

TEST_CASE("a late report does not release parked tokens of a newer grant")
{
  Fixture f;
  f.fillBucket();
  REQUIRE(f.send(f.request(3, 5, 2)).granted == 5);
  // Five tokens expire without a report; then three are refilled.
  f.now += kTokenHold + Millis(300);
  const auto second = f.send(f.request(4, 3, 3));
  REQUIRE(second.granted == 3);
  auto late = f.request(5, 0, 4);
  late.spent = 5; // The tokens of reply 3.
  f.send(late);
  // The three tokens of reply 4 are still valid, so the level is at most two.
  f.now += Millis(200);
  REQUIRE(f.send(f.request(6, 5, 5)).granted == 2);
}

TEST_CASE("a drawer that alternates between two homes still gets tokens")
{
  Fixture f;
  f.rate = 100;
  f.fillBucket();
  for (std::uint64_t i = 3; i < 3 + 3 * RateBucket::kMaxGrants; ++i) {
    auto request = f.request(i, 1, i - 1);
    request.bucket = 12345; // The drawer accepted a reply of the other home in between.
    f.now += Millis(300);
    REQUIRE(f.send(request).granted == 1);
  }
}

TEST_CASE("a bucket with a burst of one token never stops granting")
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
  REQUIRE(granted >= 330); // Each token is reported after 5 ms, and then the refill takes 10 ms.
}

TEST_CASE("tokens expire no later than the lease of their home")
{
  Fixture f;
  f.fillBucket();
  const auto reply = f.home.handle(f.now, f.request(3, 1, 2), f.rate, f.burst, f.now + Millis(40));
  REQUIRE(reply.granted == 1);
  REQUIRE(reply.lifetime <= Millis(40));
  REQUIRE(f.home.handle(f.now, f.request(4, 1, 3), f.rate, f.burst, f.now).code ==
          ErrorCode::NotOwner);
}

TEST_CASE("the number of accounts at a home is bounded")
{
  Fixture f;
  for (std::size_t i = 0; i < RateHome::kMaxAccounts + 10; ++i) {
    auto request = f.request(1, 1);
    request.account = std::to_string(i);
    f.send(request);
  }
  REQUIRE(f.home.accountCount() == RateHome::kMaxAccounts);
}

TEST_CASE("a cache returns unused tokens before they expire")
{
  Fixture f;
  TokenCache cache(9);
  cache.recordArrival(f.now, "acme");
  cache.setWaiting(f.now, "acme", 1);
  auto requests = cache.due(f.now);
  REQUIRE(requests.size() == 1);
  wire::TokenReply reply;
  reply.account = "acme";
  reply.sequence = requests[0].sequence;
  reply.granted = 3;
  reply.bucket = 5;
  reply.lifetime = kTokenLifetime;
  REQUIRE(cache.accept(f.now, reply, f.now).coveredCount == 3);
  REQUIRE(cache.spend(f.now, "acme"));
  cache.setWaiting(f.now, "acme", 0);
  f.now += Millis(150);
  requests = cache.due(f.now);
  REQUIRE(requests.size() == 1);
  REQUIRE(requests[0].spent == 1);
  REQUIRE(requests[0].returned == 2);
  REQUIRE_FALSE(cache.spend(f.now, "acme"));
}

TEST_CASE("a cache discards the reply to an abandoned token request")
{
  Fixture f;
  TokenCache cache(9);
  cache.setWaiting(f.now, "acme", 1);
  const auto first = cache.due(f.now);
  f.now += Millis(100);
  const auto second = cache.due(f.now);
  REQUIRE(second.size() == 1);
  wire::TokenReply late;
  late.account = "acme";
  late.sequence = first[0].sequence;
  late.granted = 1;
  late.bucket = 5;
  late.lifetime = kTokenLifetime;
  REQUIRE_FALSE(cache.accept(f.now, late, f.now).isAccepted);
  REQUIRE(cache.available(f.now, "acme") == 0);
}

} // namespace camphorcleat::traffic
