// Discrete-event simulation of a fleet for tests: owner daemons, their targets, the home of the
// accounts, and the network between owners and home. A World draws all its random numbers from one
// seed.

#ifndef CAMPHORCLEAT_TRAFFIC_TESTING_WORLD_H_
#define CAMPHORCLEAT_TRAFFIC_TESTING_WORLD_H_

#include <cstdlib>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "traffic/OwnerLogic.h"
#include "traffic/RateHome.h"

namespace camphorcleat::traffic {

/// Simulated clock with a queue of scheduled calls.
class EventQueue
{
public:
  TimePoint now = TimePoint() + std::chrono::hours(1);

  /// Schedules aCall for aTime, or for now if aTime has passed. Calls with equal times run in the
  /// order in which they were scheduled.
  void at(TimePoint aTime, std::function<void()> aCall)
  {
    mCalls.emplace(std::max(aTime, now), std::move(aCall));
  }
  void after(Duration aDelay, std::function<void()> aCall) { at(now + aDelay, std::move(aCall)); }

  /// Runs all calls scheduled up to aEnd, in order of time, and sets the clock to aEnd.
  void runUntil(TimePoint aEnd)
  {
    while (!mCalls.empty() && mCalls.begin()->first <= aEnd) {
      now = mCalls.begin()->first;
      const auto call = std::move(mCalls.begin()->second);
      mCalls.erase(mCalls.begin());
      call();
    }
    now = aEnd;
  }

private:
  std::multimap<TimePoint, std::function<void()>> mCalls;
};

/// By default, this daemon owns all partitions, its lease never expires, its configuration is
/// fresh, and the target does not check grants.
class FakeView : public OwnershipView
{
public:
  std::optional<FencingToken> tokenOf(const std::string&, PartitionId aPartition) const override
  {
    return notOwned.count(aPartition) != 0 ? std::nullopt : std::make_optional(token);
  }
  TimePoint leaseValidUntil() const override { return leaseEnd; }
  bool isConfigFresh(TimePoint) const override { return isFresh; }
  bool isZoneOut(TimePoint) const override { return isOut; }
  bool checksGrants() const override { return targetChecksGrants; }

  std::set<PartitionId> notOwned;
  FencingToken token = 7;
  TimePoint leaseEnd = TimePoint::max();
  bool isFresh = true;
  bool isOut = false;
  bool targetChecksGrants = false;
};

/// Delays and faults of the network, for token requests and their replies. Probabilities apply to
/// each message; a duplicated message is delayed or lost separately for each copy.
struct Network
{
  Duration minDelay = Micros(200);
  Duration maxDelay = Micros(1000);
  double lossProbability = 0;
  double duplicateProbability = 0;
  double lateProbability = 0; ///< Probability of a delay up to maxLateDelay instead of maxDelay.
  Duration maxLateDelay = Millis(400);
};

/// An owner daemon and its target.
struct Daemon
{
  FakeView view;
  std::unique_ptr<OwnerLogic> logic;
  bool isTargetFrozen = false; ///< If set, requests dispatched from then on are never answered.
  Duration serviceTime = Millis(5);
  double shedProbability = 0; ///< Probability that the target sheds a request.
  /// Number of requests that the target runs at a time; it sheds the others.
  std::size_t capacity = std::numeric_limits<std::size_t>::max();
  std::size_t running = 0;         ///< Requests that the target has accepted and not answered yet.
  std::optional<TimePoint> tickAt; ///< Time of the next scheduled Tick.
};

/// The simulated fleet. Not thread-safe. Daemons are never removed.
class World
{
public:
  /// Handles a token request that arrives at the given time at the home of its account.
  using Home = std::function<wire::TokenReply(TimePoint, const wire::TokenRequest&)>;

  explicit World(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  /// Adds a daemon whose target is warm and has aSlots slots.
  Daemon& addDaemon(std::uint32_t aSlots, const OwnerConfig& aConfig = OwnerConfig())
  {
    daemons.push_back(std::make_unique<Daemon>());
    Daemon& daemon = *daemons.back();
    daemon.logic = std::make_unique<OwnerLogic>(aConfig, daemon.view, daemons.size());
    step(daemon, TargetReport{ true, 0, aSlots, aSlots, Millis(0), false, false });
    return daemon;
  }

  /// Passes an event to a daemon at the current time and simulates the resulting actions: the
  /// target runs dispatched requests, the network carries token requests, and refusals are counted.
  void step(Daemon& aDaemon, const OwnerEvent& aEvent)
  {
    for (auto& it : aDaemon.logic->step(eventQueue.now, aEvent)) {
      if (onAction) {
        onAction(aDaemon, it);
      }
      if (const auto* dispatch = std::get_if<Dispatch>(&it)) {
        runAtTarget(aDaemon, *dispatch);
      } else if (const auto* tokenRequest = std::get_if<SendTokenRequest>(&it)) {
        sendTokenRequest(aDaemon, tokenRequest->request);
      } else if (const auto* refuse = std::get_if<Refuse>(&it)) {
        ++refusals[refuse->code];
      } else if (const auto* cancel = std::get_if<CancelAtTarget>(&it)) {
        scheduleEnd(aDaemon, cancel->id, wire::Outcome::Unknown);
      }
    }
    scheduleTick(aDaemon);
  }

  /// Sends an idempotent request without an idempotency key to a daemon now and returns its id. An
  /// empty account means a request on an open route. aDeadline is the time allowed from now on.
  RequestId sendRequest(Daemon& aDaemon, const std::string& aAccount,
                        Duration aDeadline = Millis(10'000))
  {
    RequestArrived event;
    event.id = RequestId{ 1, ++mLastRequest };
    event.account = aAccount;
    event.service = "station-lookup";
    event.isIdempotent = true;
    event.isOpenRoute = aAccount.empty();
    event.deadline = eventQueue.now + aDeadline;
    accountOf[event.id] = aAccount;
    step(aDaemon, event);
    return event.id;
  }

  /// Calls aCall repeatedly until aEnd, at intervals of exactly aMean or at exponentially
  /// distributed intervals with mean aMean.
  void repeat(Duration aMean, bool aIsExact, TimePoint aEnd, const std::function<void()>& aCall)
  {
    std::exponential_distribution<double> intervals(1 / toSeconds(aMean));
    const Duration interval = aIsExact ? aMean : fromSeconds(intervals(random));
    if (eventQueue.now + interval <= aEnd) {
      eventQueue.after(interval, [=, this_ = this] {
        aCall();
        this_->repeat(aMean, aIsExact, aEnd, aCall);
      });
    }
  }

  /// Returns a random number in [0, 1).
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(random); }

  std::mt19937_64 random;
  EventQueue eventQueue;
  Network network;
  Home home;              ///< If empty, each token request ends with TokenHomeUnreachable.
  Duration homeTime{ 0 }; ///< Time that the home needs for a token request, one after the other.
  /// If set, called with each action of a daemon before the action is simulated.
  std::function<void(Daemon&, const OwnerAction&)> onAction;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::map<RequestId, std::string> accountOf;
  std::map<std::string, std::vector<TimePoint>> dispatchTimes; ///< By account, in ascending order.
  std::map<ErrorCode, unsigned> refusals;
  unsigned tokenRequests = 0; ///< Number of SendTokenRequest actions.

private:
  void runAtTarget(Daemon& aDaemon, const Dispatch& aDispatch)
  {
    dispatchTimes[accountOf[aDispatch.id]].push_back(eventQueue.now);
    if (aDaemon.isTargetFrozen) {
      return;
    }
    const bool isShed = aDaemon.running >= aDaemon.capacity ||
                        (aDaemon.shedProbability > 0 && uniform() < aDaemon.shedProbability);
    aDaemon.running += isShed ? 0 : 1;
    eventQueue.after(isShed ? Micros(100) : aDaemon.serviceTime, [=, &aDaemon] {
      aDaemon.running -= isShed ? 0 : 1;
      step(aDaemon, ResponseStarted{ aDispatch.id, isShed ? 503U : 200U, isShed, false });
      scheduleEnd(aDaemon, aDispatch.id, isShed ? wire::Outcome::NotRun : wire::Outcome::Answered);
    });
  }

  void scheduleEnd(Daemon& aDaemon, RequestId aId, wire::Outcome aOutcome)
  {
    eventQueue.after(Duration::zero(), [=, &aDaemon] {
      step(aDaemon, RequestEnded{ aId, aOutcome, ErrorCode::None, std::nullopt });
    });
  }

  // Schedules a call of aDeliver for each copy of a message that is not lost.
  void transmit(const std::function<void()>& aDeliver)
  {
    const int copies = uniform() < network.duplicateProbability ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const bool isLate = uniform() < network.lateProbability;
      const Duration maxDelay = isLate ? network.maxLateDelay : network.maxDelay;
      const Duration delay =
        network.minDelay + fromSeconds(uniform() * toSeconds(maxDelay - network.minDelay));
      if (uniform() >= network.lossProbability) {
        eventQueue.after(delay, aDeliver);
      }
    }
  }

  void sendTokenRequest(Daemon& aDaemon, const wire::TokenRequest& aRequest)
  {
    ++tokenRequests;
    const TimePoint sentAt = eventQueue.now;
    transmit([=, &aDaemon] {
      if (!home) {
        step(aDaemon, TokenHomeUnreachable{ aRequest.account });
        return;
      }
      mHomeBusyUntil = std::max(mHomeBusyUntil, eventQueue.now) + homeTime;
      eventQueue.at(mHomeBusyUntil, [=, &aDaemon] {
        const auto reply = home(eventQueue.now, aRequest);
        transmit([=, &aDaemon] { step(aDaemon, TokenReplyArrived{ reply, sentAt }); });
      });
    });
  }

  void scheduleTick(Daemon& aDaemon)
  {
    const auto at = aDaemon.logic->nextWake();
    if (!at || (aDaemon.tickAt && *aDaemon.tickAt <= *at)) {
      return;
    }
    aDaemon.tickAt = at;
    eventQueue.at(*at, [this, &aDaemon, at] {
      if (aDaemon.tickAt == at) {
        aDaemon.tickAt.reset();
        step(aDaemon, Tick{});
      }
    });
  }

  std::uint64_t mLastRequest = 0;
  TimePoint mHomeBusyUntil;
};

/// Returns the seeds for a randomized test: the value of the environment variable CAMPHORCLEAT_SEED
/// if it is set, otherwise 1 to aCount.
inline std::vector<std::uint64_t> seeds(std::uint64_t aCount)
{
  if (const char* seed = std::getenv("CAMPHORCLEAT_SEED")) {
    return { std::strtoull(seed, nullptr, 10) };
  }
  std::vector<std::uint64_t> out;
  for (std::uint64_t i = 1; i <= aCount; ++i) {
    out.push_back(i);
  }
  return out;
}

/// Returns the shell command that reruns a randomized test with one seed, for failure messages.
inline std::string replayCommand(std::uint64_t aSeed, const std::string& aTest)
{
  return "CAMPHORCLEAT_SEED=" + std::to_string(aSeed) + " build/testing/traffic_test '" + aTest +
         "'";
}

/// Returns the maximum, over all pairs of dispatches i <= j, of the number of dispatches from i to
/// j minus rate x (t_j - t_i) minus burst. It is at most 0 if the rate limit was kept. aDispatches
/// must be in ascending order.
///
/// The excess of a pair is (j + 1 - rate x t_j) - (i - rate x t_i) - burst, so the running minimum
/// of the second term gives the maximum in linear time.
inline double rateExcess(const std::vector<TimePoint>& aDispatches, double aRate, double aBurst)
{
  double minimum = 0;
  double maximum = -aBurst;
  for (std::size_t j = 0; j < aDispatches.size(); ++j) {
    const double refill = aRate * toSeconds(aDispatches[j] - aDispatches[0]);
    const double before = static_cast<double>(j) - refill;
    minimum = j == 0 ? before : std::min(minimum, before);
    maximum = std::max(maximum, before + 1 - minimum - aBurst);
  }
  return maximum;
}

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_TESTING_WORLD_H_
