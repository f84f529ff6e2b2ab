// What a target decides: how much it can bear, whose orders it takes, how long work lasts.
//
// No I/O and no clock, so that tests drive it. The warm-up counts from the cold start, not from the
// first request, because the design page describes it as a time after the cold start.

#ifndef CAMPHORCLEAT_HARNESS_TARGETMODEL_H_
#define CAMPHORCLEAT_HARNESS_TARGETMODEL_H_

#include <map>
#include <optional>
#include <random>
#include <string>

#include "base/Codec.h"
#include "base/Ids.h"
#include "base/Time.h"

namespace camphorcleat::harness {

struct TargetSettings
{
  NodeId id = 0;
  std::string service;
  unsigned slots = 10;
  unsigned coldSlots = 2;
  Millis warmUp{ 500 };
  bool checksGrants = false;
  bool sheds = false;
  double serviceTimeMs = 5; ///< Mean.
  bool isFixedTime = false; ///< Exponential otherwise.
  std::uint64_t seed = 1;
};

enum class TargetPhase
{
  Cold,    ///< Bears the cold slots.
  Warming, ///< Bears more than the cold slots, fewer than all.
  Serving,
  Draining
};

struct TargetHealth
{
  Incarnation incarnation = 0;
  std::int64_t clockMs = 0;
  std::string service;
  unsigned slots = 0;
  unsigned coldSlots = 0;
  Millis warmUp{};
  bool checksGrants = false;
  TargetPhase state = TargetPhase::Cold;
  unsigned inFlight = 0;
  double load = 0; ///< In-flight requests divided by the slots usable now.

  static constexpr auto fields()
  {
    return std::make_tuple(
      field("incarnation", &TargetHealth::incarnation), field("clock_ms", &TargetHealth::clockMs),
      field("service", &TargetHealth::service), field("slots", &TargetHealth::slots),
      field("cold_slots", &TargetHealth::coldSlots), field("warm_up_ms", &TargetHealth::warmUp),
      field("checks_grants", &TargetHealth::checksGrants), field("state", &TargetHealth::state),
      field("in_flight", &TargetHealth::inFlight), field("load", &TargetHealth::load));
  }
};

struct GrantOrder
{
  FencingToken token = 0;
  std::int64_t validUntilClockMs = 0;

  static constexpr auto fields()
  {
    return std::make_tuple(field("token", &GrantOrder::token),
                           field("valid_until_clock_ms", &GrantOrder::validUntilClockMs));
  }
};

enum class Admission
{
  Run,
  RunSlowly,      ///< Beyond what the target bears, and it doesn't shed.
  RefuseFence,    ///< Not run.
  RefuseShed,     ///< Beyond what the target bears. Not run.
  RefuseDraining, ///< Not run.
};

/// The state of one target. Not thread-safe.
class TargetModel
{
public:
  TargetModel(TargetSettings aSettings, TimePoint aNow);

  /// Requests that the target can bear at this moment.
  unsigned limit(TimePoint aNow) const;

  TargetPhase phase(TimePoint aNow) const;

  TargetHealth health(TimePoint aNow) const;

  /// The target's own monotonic clock. Each incarnation has another offset, so that a reading is
  /// of no use together with any other clock.
  std::int64_t clockMs(TimePoint aNow) const;

  /// Takes a grant; false if its token is lower than one seen before. An older grant of the same
  /// token never shortens a newer one.
  bool grant(const GrantOrder& aOrder);

  /// Whether one more request, at this moment, is more than the target bears.
  bool wouldExceed(TimePoint aNow) const { return mInFlight >= limit(aNow); }

  /// Decides on a request; on Run and RunSlowly it counts as in flight until finish(). A partition
  /// without a fence is refused by a target that checks grants.
  Admission admit(TimePoint aNow, std::optional<PartitionId> aPartition,
                  std::optional<FencingToken> aFence);

  /// Ends one admitted request.
  void finish() { --mInFlight; }

  /// How long a request admitted now takes.
  Duration serviceTime(TimePoint aNow, std::optional<double> aOverrideMs, Admission aAdmission);

  /// A cold start in the same process: warm-up begins again, grants and fences stay.
  void coldStart(TimePoint aNow);

  /// A new incarnation: cold, without grants, fences and requests.
  void restart(TimePoint aNow);

  /// Refuses new work from now on.
  void drain() { mIsDraining = true; }

  /// Multiplies service times until a moment. aFactor > 0.
  void slowDown(double aFactor, TimePoint aUntil);

  unsigned inFlight() const { return mInFlight; }
  const TargetSettings& settings() const { return mSettings; }

private:
  bool isFenced(TimePoint aNow, std::optional<PartitionId> aPartition,
                std::optional<FencingToken> aFence);

  TargetSettings mSettings;
  std::mt19937_64 mRandom;
  Incarnation mIncarnation = 0;
  std::int64_t mClockOffsetMs = 0;
  TimePoint mColdSince;
  bool mIsDraining = false;
  unsigned mInFlight = 0;
  FencingToken mGrantToken = 0;
  std::int64_t mGrantUntilClockMs = 0;
  std::map<PartitionId, FencingToken> mFences; ///< Bounded by the number of partitions.
  double mSlowFactor = 1;
  TimePoint mSlowUntil;
};

} // namespace camphorcleat::harness

namespace camphorcleat {

template<>
struct EnumNames<harness::TargetPhase>
{
  using Phase = harness::TargetPhase;
  static constexpr EnumName<Phase> kTable[] = {
    { Phase::Cold, "cold" },
    { Phase::Warming, "warming" },
    { Phase::Serving, "serving" },
    { Phase::Draining, "draining" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_HARNESS_TARGETMODEL_H_
