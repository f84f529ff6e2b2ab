// Decision logic of the target stand-in: concurrency limit, lease grants and fences, service times.
//
// The model does no I/O and reads no clock, so that tests can drive it. The warm-up is measured
// from the cold start, not from the first request, because the design defines it as a time after
// the cold start.

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
  unsigned slots = 10;              ///< Concurrency limit after the warm-up.
  unsigned coldSlots = 2;           ///< Concurrency limit at a cold start.
  Millis warmUp{ 500 };             ///< Time in which the limit rises from coldSlots to slots.
  bool checksGrants = false;        ///< Refuses requests without a valid grant.
  bool shedsLoad = false;           ///< Refuses requests above the concurrency limit.
  double serviceTimeMs = 5;         ///< Mean service time.
  bool hasFixedServiceTime = false; ///< Otherwise service times are exponentially distributed.
  std::uint64_t seed = 1;
};

enum class TargetPhase
{
  Cold,    ///< The concurrency limit is the number of cold slots.
  Warming, ///< The concurrency limit is above the cold slots and below all slots.
  Serving,
  Draining
};

/// The response to GET /health.
struct TargetHealth
{
  Incarnation incarnation = 0;
  std::int64_t clockMs = 0; ///< See TargetModel::clockMs().
  std::string service;
  unsigned slots = 0;
  unsigned coldSlots = 0;
  Millis warmUp{};
  bool checksGrants = false;
  TargetPhase state = TargetPhase::Cold;
  unsigned inFlight = 0;
  double load = 0; ///< In-flight requests divided by the current concurrency limit.

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

/// The body of POST /grant.
struct GrantRequest
{
  FencingToken token = 0;
  std::int64_t validUntilClockMs = 0; ///< A reading of TargetModel::clockMs().

  static constexpr auto fields()
  {
    return std::make_tuple(field("token", &GrantRequest::token),
                           field("valid_until_clock_ms", &GrantRequest::validUntilClockMs));
  }
};

enum class AdmissionDecision
{
  Run,
  RunOverLimit,   ///< Above the concurrency limit of a target that doesn't shed load.
  RefuseFenced,   ///< Not run: stale fence, or no valid grant.
  RefuseShed,     ///< Not run: above the concurrency limit of a target that sheds load.
  RefuseDraining, ///< Not run: the target is draining.
};

/// The state of one target. Not thread-safe.
class TargetModel
{
public:
  TargetModel(TargetSettings aSettings, TimePoint aNow);

  /// Returns how many requests the target can run concurrently at aNow.
  unsigned limit(TimePoint aNow) const;

  TargetPhase phase(TimePoint aNow) const;

  TargetHealth health(TimePoint aNow) const;

  /// Returns the target's own monotonic clock. Each incarnation has a different offset, so that a
  /// reading can't be compared with any other clock.
  std::int64_t clockMs(TimePoint aNow) const;

  /// Applies a grant. Returns false if its token is lower than the highest one seen. A grant with
  /// the same token can extend the validity but not shorten it, so a delayed older grant has no
  /// effect.
  bool applyGrant(const GrantRequest& aRequest);

  /// Returns whether one more request would exceed the concurrency limit at aNow.
  bool isAtLimit(TimePoint aNow) const { return mInFlight >= limit(aNow); }

  /// Decides on a request. After Run or RunOverLimit the request counts as in flight until
  /// finishRequest() is called. A target that checks grants refuses a request with a partition but
  /// no fence.
  AdmissionDecision admit(TimePoint aNow, std::optional<PartitionId> aPartition,
                          std::optional<FencingToken> aFence);

  /// Removes one admitted request from the requests in flight.
  void finishRequest() { --mInFlight; }

  /// Returns the service time of a request admitted at aNow. aOverrideMs replaces the value from
  /// the configured distribution. The factors of setSlowdown() and RunOverLimit apply in both
  /// cases.
  Duration serviceTime(TimePoint aNow, std::optional<double> aOverrideMs,
                       AdmissionDecision aDecision);

  /// Simulates a cold start within the same incarnation: restarts the warm-up and keeps grants and
  /// fences.
  void coldStart(TimePoint aNow);

  /// Starts a new incarnation, which is cold and has no grants, fences or requests. Ends draining
  /// and a slowdown.
  void restart(TimePoint aNow);

  /// Refuses all further requests until restart() is called.
  void startDraining() { mIsDraining = true; }

  /// Multiplies service times by aFactor until aUntil. Requires aFactor > 0.
  void setSlowdown(double aFactor, TimePoint aUntil);

  unsigned inFlight() const { return mInFlight; }
  const TargetSettings& settings() const { return mSettings; }

private:
  bool isFenced(TimePoint aNow, std::optional<PartitionId> aPartition,
                std::optional<FencingToken> aFence);

  TargetSettings mSettings;
  std::mt19937_64 mRandom;
  Incarnation mIncarnation = 0;
  std::int64_t mClockOffsetMs = 0;
  TimePoint mColdStartedAt;
  bool mIsDraining = false;
  unsigned mInFlight = 0;
  FencingToken mGrantToken = 0;
  std::int64_t mGrantUntilClockMs = 0;
  /// Highest fence seen of each partition. The number of partitions limits the size of the map.
  std::map<PartitionId, FencingToken> mFences;
  double mSlowdownFactor = 1;
  TimePoint mSlowdownEnd;
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
