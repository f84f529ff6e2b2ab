// Measures the time that the state machines and queues of this package need per request. Prints
// nanoseconds per operation. Each figure is the minimum of several runs, since other programs on
// the machine can only increase a measured time.

#include <cstdio>
#include <functional>

#include "traffic/EntryRequest.h"
#include "traffic/FairQueue.h"
#include "traffic/OwnerLogic.h"
#include "traffic/RateHome.h"

namespace camphorcleat::traffic {
namespace {

constexpr int kRuns = 5;

void measure(const char* aName, int aOperations, const std::function<void()>& aRun)
{
  double minimum = 1e18;
  for (int i = 0; i < kRuns; ++i) {
    const TimePoint start = Clock::now();
    aRun();
    minimum = std::min(minimum, toSeconds(Clock::now() - start) * 1e9 / aOperations);
  }
  std::printf("%-44s %8.0f ns\n", aName, minimum);
}

// Allows every dispatch.
class PermissiveView : public OwnershipView
{
public:
  std::optional<FencingToken> tokenOf(const std::string&, PartitionId) const override { return 1; }
  TimePoint leaseValidUntil() const override { return TimePoint::max(); }
  bool isConfigFresh(TimePoint) const override { return true; }
  bool isZoneOut(TimePoint) const override { return false; }
  bool checksGrants() const override { return false; }
};

std::vector<std::string> accountNames(int aCount)
{
  std::vector<std::string> out;
  out.reserve(aCount);
  for (int i = 0; i < aCount; ++i) {
    out.push_back("account-" + std::to_string(i));
  }
  return out;
}

void measureFairQueue(int aAccounts)
{
  constexpr int kOperations = 200'000;
  const auto accounts = accountNames(aAccounts);
  const std::string name = "FairQueue push + pop, " + std::to_string(aAccounts) + " accounts";
  measure(name.c_str(), kOperations, [&] {
    FairQueue queue(1024);
    const TimePoint now;
    for (int i = 0; i < kOperations; ++i) {
      queue.push(QueuedRequest{ RequestId{ 1, static_cast<std::uint64_t>(i) },
                                accounts[i % accounts.size()], 1, now + Millis(i) });
      if (queue.size() > 500) {
        queue.popFront();
      }
    }
  });
}

void measureTokenCache(int aAccounts)
{
  constexpr int kOperations = 200'000;
  const auto accounts = accountNames(aAccounts);
  const std::string name = "TokenCache arrival + spend, " + std::to_string(aAccounts) + " accounts";
  measure(name.c_str(), kOperations, [&] {
    TokenCache cache(1);
    RateHome home(1);
    TimePoint now = TimePoint() + std::chrono::hours(1);
    for (int i = 0; i < kOperations; ++i) {
      now += Micros(120); // 8,300 requests per second.
      const std::string& account = accounts[i % accounts.size()];
      cache.recordArrival(now, account);
      cache.setWaiting(now, account, 1);
      for (const auto& it : cache.due(now)) {
        cache.accept(now, home.handle(now, it, 1e6, 1e6, now + Millis(1'000)), now);
      }
      cache.spend(now, account);
      cache.setWaiting(now, account, 0);
    }
  });
}

// One operation is a complete request: arrival with dispatch, response head and end. Token requests
// are answered immediately.
void measureOwnerLogic(int aAccounts)
{
  constexpr int kOperations = 100'000;
  const auto accounts = accountNames(aAccounts);
  const std::string name =
    "OwnerLogic request, 3 steps, " + std::to_string(aAccounts) + " accounts";
  measure(name.c_str(), kOperations, [&] {
    PermissiveView view;
    OwnerLogic logic(OwnerConfig(), view, 1);
    RateHome home(1);
    TimePoint now = TimePoint() + std::chrono::hours(1);
    const auto step = [&](const OwnerEvent& aEvent) {
      for (const auto& it : logic.step(now, aEvent)) {
        if (const auto* tokenRequest = std::get_if<SendTokenRequest>(&it)) {
          const auto reply = home.handle(now, tokenRequest->request, 1e6, 1e6, now + Millis(1'000));
          logic.step(now, TokenReplyArrived{ reply, now });
        }
      }
    };
    step(TargetReport{ true, 1, 20, 20, Millis(0), false, false });
    for (int i = 0; i < kOperations; ++i) {
      now += Micros(120);
      RequestArrived event;
      event.id = RequestId{ 1, static_cast<std::uint64_t>(i) };
      event.account = accounts[i % accounts.size()];
      event.service = "station-lookup";
      event.partition = static_cast<PartitionId>(i % 64);
      event.isIdempotent = true;
      event.deadline = now + Millis(10'000);
      step(event);
      step(ResponseStarted{ event.id, 200, false, false });
      step(RequestEnded{ event.id, wire::Outcome::Answered, ErrorCode::None, std::nullopt });
    }
  });
}

void measureEntryRequest()
{
  constexpr int kOperations = 200'000;
  measure("EntryRequest lifecycle, 4 steps", kOperations, [&] {
    RetryBudget budget;
    HedgePolicy hedge;
    std::mt19937_64 random(1);
    const TimePoint now = TimePoint() + std::chrono::hours(1);
    for (int i = 0; i < kOperations; ++i) {
      EntryRequest request(EntryShared{ budget, hedge, random });
      request.step(now, Started{ true, true, false, now + Millis(10'000), false });
      request.step(now, RouteKnown{ 1 });
      request.step(now, AttemptHead{ 1 });
      request.step(now, AttemptDone{ 1 });
    }
  });
}

} // namespace
} // namespace camphorcleat::traffic

int main()
{
  using namespace camphorcleat::traffic;
  for (const int accounts : { 8, 1'000 }) {
    measureFairQueue(accounts);
    measureTokenCache(accounts);
    measureOwnerLogic(accounts);
  }
  measureEntryRequest();
  return 0;
}
