// A simulated fleet for the property tests: owner daemons, their targets, homes of accounts and the
// network between them, on simulated time.

#ifndef CAMPHORCLEAT_TRAFFIC_TESTING_WORLD_H_
#define CAMPHORCLEAT_TRAFFIC_TESTING_WORLD_H_

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "traffic/OwnerLogic.h"
#include "traffic/RateHome.h"

namespace camphorcleat::traffic {

/// Simulated time with an agenda of future calls.
class Agenda
{
public:
  TimePoint now = TimePoint() + std::chrono::hours(1);

  void at(TimePoint aTime, std::function<void()> aCall)
  {
    mCalls.emplace(std::max(aTime, now), std::move(aCall));
  }
  void after(Duration aDelay, std::function<void()> aCall) { at(now + aDelay, std::move(aCall)); }

  /// Runs all calls due up to aEnd.
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

/// Everything owned, leased and fresh unless a test says otherwise.
class FakeView : public OwnershipView
{
public:
  std::optional<FencingToken> tokenOf(const std::string&, PartitionId aPartition) const override
  {
    return notOwned.count(aPartition) != 0 ? std::nullopt : std::make_optional(token);
  }
  TimePoint leaseValidUntil() const override { return leaseEnd; }
  bool isConfigFresh(TimePoint) const override { return isFresh; }
  bool checksGrants() const override { return isFenced; }

  std::set<PartitionId> notOwned;
  FencingToken token = 7;
  TimePoint leaseEnd = TimePoint::max();
  bool isFresh = true;
  bool isFenced = false;
};

/// How the network treats token messages.
struct Network
{
  Duration leastDelay = Micros(200);
  Duration mostDelay = Micros(1000);
  double lossShare = 0;
  double duplicateShare = 0;
  double lateShare = 0; ///< Share of messages that take up to lateDelay.
  Duration lateDelay = Millis(400);
};

/// A daemon with its target, and all that happened there.
struct Daemon
{
  FakeView view;
  std::unique_ptr<OwnerLogic> logic;
  bool isFrozenTarget = false;
  Duration serviceTime = Millis(5);
  double shedShare = 0;
  std::optional<TimePoint> tickAt;
};

class World
{
public:
  using Home = std::function<wire::TokenAnswer(TimePoint, const wire::TokenRequest&)>;

  explicit World(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  /// Adds a daemon whose target has so many slots and is warm.
  Daemon& addDaemon(std::uint32_t aSlots, const OwnerConfig& aConfig = OwnerConfig())
  {
    daemons.push_back(std::make_unique<Daemon>());
    Daemon& daemon = *daemons.back();
    daemon.logic = std::make_unique<OwnerLogic>(aConfig, daemon.view, daemons.size());
    step(daemon, TargetReport{ true, 0, aSlots, aSlots, Millis(0), false, false });
    return daemon;
  }

  void step(Daemon& aDaemon, const OwnerEvent& aEvent)
  {
    for (auto& it : aDaemon.logic->step(agenda.now, aEvent)) {
      if (onAction) {
        onAction(aDaemon, it);
      }
      if (const auto* dispatch = std::get_if<Dispatch>(&it)) {
        dispatched(aDaemon, *dispatch);
      } else if (const auto* draw = std::get_if<DrawTokens>(&it)) {
        sendDraw(aDaemon, draw->request);
      } else if (const auto* refuse = std::get_if<Refuse>(&it)) {
        ++refusals[refuse->code];
      } else if (const auto* cancel = std::get_if<CancelAtTarget>(&it)) {
        end(aDaemon, cancel->id, wire::Outcome::Unknown);
      }
    }
    scheduleTick(aDaemon);
  }

  /// Sends a request now and returns its id.
  RequestId request(Daemon& aDaemon, const std::string& aAccount,
                    Duration aDeadline = Millis(10'000))
  {
    RequestArrived event;
    event.id = RequestId{ 1, ++mCounter };
    event.account = aAccount;
    event.service = "station-lookup";
    event.isIdempotent = true;
    event.isOpenRoute = aAccount.empty();
    event.deadline = agenda.now + aDeadline;
    accountOf[event.id] = aAccount;
    step(aDaemon, event);
    return event.id;
  }

  /// Repeats aCall at intervals with the given mean, exact or exponentially distributed.
  void repeat(Duration aMean, bool aIsExact, TimePoint aEnd, const std::function<void()>& aCall)
  {
    std::exponential_distribution<double> gaps(1 / toSeconds(aMean));
    const Duration gap = aIsExact ? aMean : fromSeconds(gaps(random));
    if (agenda.now + gap <= aEnd) {
      agenda.after(gap, [=, this_ = this] {
        aCall();
        this_->repeat(aMean, aIsExact, aEnd, aCall);
      });
    }
  }

  double uniform() { return std::uniform_real_distribution<double>(0, 1)(random); }

  std::mt19937_64 random;
  Agenda agenda;
  Network network;
  Home home; ///< Empty while there is no home.
  std::function<void(Daemon&, const OwnerAction&)> onAction;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::map<RequestId, std::string> accountOf;
  std::map<std::string, std::vector<TimePoint>> spends; ///< Per account, in order of time.
  std::map<ErrorCode, unsigned> refusals;
  unsigned draws = 0;

private:
  void dispatched(Daemon& aDaemon, const Dispatch& aDispatch)
  {
    spends[accountOf[aDispatch.id]].push_back(agenda.now);
    if (aDaemon.isFrozenTarget) {
      return;
    }
    const bool isShed = aDaemon.shedShare > 0 && uniform() < aDaemon.shedShare;
    agenda.after(isShed ? Micros(100) : aDaemon.serviceTime, [=, &aDaemon] {
      step(aDaemon, ResponseStarted{ aDispatch.id, isShed ? 503U : 200U, isShed, false });
      end(aDaemon, aDispatch.id, isShed ? wire::Outcome::NotRun : wire::Outcome::Answered);
    });
  }

  void end(Daemon& aDaemon, RequestId aId, wire::Outcome aOutcome)
  {
    agenda.after(Duration::zero(), [=, &aDaemon] {
      step(aDaemon, RequestEnded{ aId, aOutcome, ErrorCode::None, std::nullopt });
    });
  }

  // Calls aDeliver for each copy of a message that arrives.
  void transmit(const std::function<void()>& aDeliver)
  {
    const int copies = uniform() < network.duplicateShare ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const bool isLate = uniform() < network.lateShare;
      const Duration most = isLate ? network.lateDelay : network.mostDelay;
      const Duration delay =
        network.leastDelay + fromSeconds(uniform() * toSeconds(most - network.leastDelay));
      if (uniform() >= network.lossShare) {
        agenda.after(delay, aDeliver);
      }
    }
  }

  void sendDraw(Daemon& aDaemon, const wire::TokenRequest& aRequest)
  {
    ++draws;
    const TimePoint sentAt = agenda.now;
    transmit([=, &aDaemon] {
      if (!home) {
        step(aDaemon, TokenHomeUnreachable{ aRequest.account });
        return;
      }
      const auto answer = home(agenda.now, aRequest);
      transmit([=, &aDaemon] { step(aDaemon, TokensAnswered{ answer, sentAt }); });
    });
  }

  void scheduleTick(Daemon& aDaemon)
  {
    const auto at = aDaemon.logic->nextWake();
    if (!at || (aDaemon.tickAt && *aDaemon.tickAt <= *at)) {
      return;
    }
    aDaemon.tickAt = at;
    agenda.at(*at, [this, &aDaemon, at] {
      if (aDaemon.tickAt == at) {
        aDaemon.tickAt.reset();
        step(aDaemon, Tick{});
      }
    });
  }

  std::uint64_t mCounter = 0;
};

/// Seeds of a random test: the one in CAMPHORCLEAT_SEED, or 1 to aCount.
inline std::vector<std::uint64_t> seeds(std::uint64_t aCount)
{
  if (const char* one = std::getenv("CAMPHORCLEAT_SEED")) {
    return { std::strtoull(one, nullptr, 10) };
  }
  std::vector<std::uint64_t> out;
  for (std::uint64_t i = 1; i <= aCount; ++i) {
    out.push_back(i);
  }
  return out;
}

/// What a failing random test prints.
inline std::string replay(std::uint64_t aSeed, const std::string& aTest)
{
  return "CAMPHORCLEAT_SEED=" + std::to_string(aSeed) + " build/testing/traffic_test '" + aTest +
         "'";
}

/// The largest excess of spends over rate x time + burst between any two instants; at most 0 if the
/// rate is kept. Linear: the excess of (i, j) is (j + 1 - r t_j) - (i - r t_i) - burst.
inline double rateExcess(const std::vector<TimePoint>& aSpends, double aRate, double aBurst)
{
  double least = 0;
  double worst = -aBurst;
  for (std::size_t j = 0; j < aSpends.size(); ++j) {
    const double refill = aRate * toSeconds(aSpends[j] - aSpends[0]);
    const double before = static_cast<double>(j) - refill;
    least = j == 0 ? before : std::min(least, before);
    worst = std::max(worst, before + 1 - least - aBurst);
  }
  return worst;
}

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_TESTING_WORLD_H_
