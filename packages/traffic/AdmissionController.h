// Decides how many requests may be in flight at the target and when the next one may be sent.
//
// The limit is the minimum of the announced slots, the adaptive limit that follows sheds and
// latency (AdmissionLimit), and the limit after a cold start (SlowStartLimit). A cold start is
// assumed if the target announces it, has a new incarnation, resets a connection, sheds a request,
// or becomes slow suddenly. While the target is already warming up, a shed restarts the warm-up
// only if no more requests than the limit were in flight. For targets that announce a maximum rate
// while they are cold, ColdStartRateLimit delays requests in addition.

#ifndef CAMPHORCLEAT_TRAFFIC_ADMISSIONCONTROLLER_H_
#define CAMPHORCLEAT_TRAFFIC_ADMISSIONCONTROLLER_H_

#include <optional>

#include "traffic/AdmissionLimit.h"
#include "traffic/ColdStartRateLimit.h"
#include "traffic/OwnerMessages.h"
#include "traffic/SlowStartLimit.h"

namespace camphorcleat::traffic {

/// Not thread-safe.
class AdmissionController
{
public:
  AdmissionController()
    : AdmissionController(AdmissionLimit::Config())
  {
  }
  /// aProcessStart: see ColdStartRateLimit.
  explicit AdmissionController(const AdmissionLimit::Config& aConfig,
                               TimePoint aProcessStart = TimePoint())
    : mAdaptiveLimit(aConfig)
    , mRateLimit(aProcessStart)
  {
  }

  /// Processes a health report. The target is considered unreachable before the first one.
  void report(TimePoint aNow, const TargetReport& aReport);

  /// Records a health response, whose request was sent at aAsOf: for how long the target stays
  /// cold.
  void coldTimeReported(TimePoint aNow, TimePoint aAsOf, Duration aColdFor)
  {
    mRateLimit.reportAsOf(aNow, aAsOf, aColdFor);
  }

  /// Returns whether the target should be asked whether it is cold.
  bool needsColdTime(TimePoint aNow) const { return mRateLimit.needsReport(aNow); }

  /// Records that the target reset a connection.
  void connectionReset(TimePoint aNow);

  /// Records that the target shed a request while aInFlight requests were in flight. aConcurrency:
  /// see AdmissionLimit.
  void shed(TimePoint aNow, std::uint32_t aInFlight, std::uint32_t aConcurrency);

  /// Records that the target answered after aLatency while aInFlight requests were in flight.
  /// aConcurrency: see AdmissionLimit.
  void recordResponse(TimePoint aNow, Duration aLatency, std::uint32_t aInFlight,
                      std::uint32_t aConcurrency);

  /// Records a load report that asks for at most aLimit requests in flight. It can only lower the
  /// limit, and expires after AdmissionLimit::Config::reportLifetime.
  void loadReported(TimePoint aNow, std::uint32_t aLimit);

  /// Returns the maximum number of requests in flight at aNow; 0 while the target is unreachable.
  std::uint32_t limit(TimePoint aNow) const;

  /// Returns when more requests may be sent without a further event, or nothing if there is no such
  /// time.
  std::optional<TimePoint> nextStep(TimePoint aNow) const;

  /// Returns whether the rate limit of a target that is or may be cold allows another request now.
  bool mayDispatch(TimePoint aNow) const { return mRateLimit.mayDispatch(aNow); }

  /// Records that a request is sent.
  void recordDispatch(TimePoint aNow) { mRateLimit.recordDispatch(aNow); }

  const AdmissionLimit& adaptiveLimit() const { return mAdaptiveLimit; }

  bool isReachable() const { return mReport.isReachable; }
  bool isDraining() const { return mReport.isDraining; }

  /// Returns the minimum recent latency; zero before the first response.
  Duration minLatency() const { return mAdaptiveLimit.minLatency().value_or(Duration::zero()); }

private:
  AdmissionLimit mAdaptiveLimit;
  SlowStartLimit mSlowStart;
  ColdStartRateLimit mRateLimit;
  TargetReport mReport;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_ADMISSIONCONTROLLER_H_
