// Guards against work for callers that have left (GONE) and sound links that are closed for silence
// (LOST), because request bodies fill a narrow link for seconds and calls, cancellations and pings
// wait behind them.

#include <catch2/catch.hpp>

#include "traffic/BodyCredit.h"

namespace camphorcleat::traffic {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr std::uint64_t kBodyBytes = 60'000;
constexpr double kBytesPerSecond = 525'000; // 4.2 Mbit/s.

RequestId requestId(std::uint64_t aNumber)
{
  return { 1, aNumber };
}

BodyCredit::Config configOf(std::uint64_t aWindowBytes)
{
  BodyCredit::Config out;
  out.linkBytesPerSecond = aWindowBytes * 5;
  return out;
}

struct Outcome
{
  Duration longestQueue{ 0 }; ///< Longest time that a message waits for the link.
  Duration lastBody{ 0 };     ///< When the last body has arrived.
  int arrived = 0;            ///< Bodies that arrived completely.
};

// Simulates uploads that are accepted at the same time. Their senders have buffered the bodies and
// send what they are granted after aReaction; the link carries it in that order. A call arrives in
// each millisecond.
Outcome simulateUploads(const BodyCredit::Config& aConfig, int aUploads, Millis aReaction)
{
  constexpr Millis kStep{ 1 };
  BodyCredit credit(aConfig);
  std::multimap<TimePoint, BodyCredit::Grant> senders;
  std::deque<BodyCredit::Grant> link;
  std::map<RequestId, std::uint64_t> missing;
  for (int i = 0; i < aUploads; ++i) {
    credit.ask(requestId(i), kBodyBytes);
    missing[requestId(i)] = kBodyBytes;
  }
  Outcome out;
  double carried = 0; // Bytes that the link can deliver now.
  for (TimePoint now = kStart; now < kStart + std::chrono::seconds(20); now += kStep) {
    for (const auto& it : credit.take(now)) {
      senders.emplace(now + aReaction, it);
    }
    while (!senders.empty() && senders.begin()->first <= now) {
      link.push_back(senders.begin()->second);
      senders.erase(senders.begin());
    }
    std::uint64_t queued = 0;
    for (const auto& it : link) {
      queued += it.bytes;
    }
    const Duration wait = fromSeconds(static_cast<double>(queued) / kBytesPerSecond);
    out.longestQueue = std::max(out.longestQueue, wait);
    credit.recordWait(now, wait);
    carried = link.empty() ? 0 : carried + kBytesPerSecond * toSeconds(kStep);
    while (!link.empty() && carried >= 1) {
      const auto n = std::min(link.front().bytes, static_cast<std::uint64_t>(carried));
      const RequestId id = link.front().id;
      carried -= static_cast<double>(n);
      credit.received(now, id, n);
      link.front().bytes -= n;
      if (link.front().bytes == 0) {
        link.pop_front();
      }
      missing[id] -= n;
      if (missing[id] == 0) {
        credit.remove(id);
        ++out.arrived;
        out.lastBody = now - kStart;
      }
    }
  }
  return out;
}

BodyCredit::Config narrowLink()
{
  BodyCredit::Config out;
  out.linkBytesPerSecond = static_cast<std::uint64_t>(kBytesPerSecond);
  return out;
}

} // namespace

TEST_CASE("bodies of many uploads hold other messages up for a fraction of a second only")
{
  constexpr int kUploads = 28; // 18 slots and a short queue.
  const Duration needed = fromSeconds(kUploads * kBodyBytes / kBytesPerSecond);
  const Outcome limited = simulateUploads(narrowLink(), kUploads, Millis(5));
  CHECK(limited.arrived == kUploads);
  CHECK(limited.longestQueue <= Millis(250));
  CHECK(limited.lastBody <= needed * 1.1); // The link is hardly ever idle.
  const Outcome unlimited = simulateUploads(BodyCredit::Config(), kUploads, Millis(5));
  CHECK(unlimited.longestQueue >= std::chrono::seconds(3));
}

// Guards against a link that is half idle, because the senders are short of processor time.
TEST_CASE("bodies of senders that react late still use most of the link")
{
  constexpr int kUploads = 60;
  const Duration needed = fromSeconds(kUploads * kBodyBytes / kBytesPerSecond);
  const Outcome out = simulateUploads(narrowLink(), kUploads, Millis(200));
  CHECK(out.arrived == kUploads);
  CHECK(out.longestQueue <= Millis(500));
  CHECK(out.lastBody <= needed * 1.25);
}

TEST_CASE("bodies are granted credit in the order in which they ask for it")
{
  BodyCredit credit(configOf(100'000));
  credit.ask(requestId(1), 60'000);
  credit.ask(requestId(2), 60'000);
  credit.ask(requestId(3), 20'000);
  const auto first = credit.take(kStart);
  REQUIRE(first.size() == 1);
  CHECK(first[0].id == requestId(1));
  credit.received(kStart, requestId(1), 20'000);
  const auto second = credit.take(kStart);
  REQUIRE(second.size() == 1);
  CHECK(second[0].id == requestId(2));
  CHECK(credit.outstandingBytes() == 100'000);
  credit.remove(requestId(2));
  REQUIRE(credit.take(kStart).size() == 1);
}

TEST_CASE("a body that is larger than the window is granted in parts")
{
  BodyCredit credit(configOf(10'000));
  credit.ask(requestId(1), 100'000);
  std::uint64_t granted = 0;
  for (int i = 0; i < 2; ++i) {
    const auto grants = credit.take(kStart);
    REQUIRE(grants.size() == 1);
    CHECK(credit.take(kStart).empty());
    granted += grants[0].bytes;
    credit.received(kStart, requestId(1), grants[0].bytes);
  }
  CHECK(granted == 100'000);
}

TEST_CASE("a sender that doesn't use its credit holds others up for a bounded time")
{
  BodyCredit credit(configOf(64'000));
  credit.ask(requestId(1), 64'000);
  credit.ask(requestId(2), 64'000);
  CHECK(credit.take(kStart).size() == 1);
  CHECK(credit.take(kStart + BodyCredit::kStallTime - Millis(1)).empty());
  CHECK(credit.take(kStart + BodyCredit::kStallTime).size() == 1);
}

} // namespace camphorcleat::traffic
