// How many requests may be in flight at the target now.
//
// The least of three limits: the announced slots, the limit that follows sheds and latency, and the
// ramp after a cold start. A cold start is taken as given when the target announces it, has a new
// incarnation, resets a connection, sheds a request although no more than the limit were in flight,
// or becomes slow all at once.

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
  explicit AdmissionController(const AdmissionLimit::Config& aConfig)
    : mAdaptiveLimit(aConfig)
  {
  }

  /// Takes a health report. A target is unreachable before the first one.
  void report(TimePoint aNow, const TargetReport& aReport);

  /// A connection was reset.
  void connectionReset(TimePoint aNow);

  /// The target shed a request while aInFlight were in flight.
  void shed(TimePoint aNow, std::uint32_t aInFlight);

  /// The target answered after aLatency while aInFlight were in flight.
  void answered(TimePoint aNow, Duration aLatency, std::uint32_t aInFlight);

  /// A load report asks for at most aLimit requests in flight; it can only lower the limit.
  void loadReported(TimePoint aNow, std::uint32_t aLimit);

  /// Most requests in flight at aNow; 0 while the target is unreachable.
  std::uint32_t limit(TimePoint aNow) const;

  /// When the limit next grows by itself.
  std::optional<TimePoint> nextStep(TimePoint aNow) const;

  /// Whether another request may be sent now, given how many were sent in the last second.
  bool mayStart(TimePoint aNow) const { return mRateLimit.mayStart(aNow); }

  /// A request is sent.
  void started(TimePoint aNow) { mRateLimit.recordDispatch(aNow); }

  bool isReachable() const { return mReport.isReachable; }
  bool isDraining() const { return mReport.isDraining; }

  /// The least latency seen lately; zero before the first answer.
  Duration minLatency() const { return mAdaptiveLimit.minLatency().value_or(Duration::zero()); }

private:
  AdmissionLimit mAdaptiveLimit;
  SlowStartLimit mSlowStart;
  ColdStartRateLimit mRateLimit;
  TargetReport mReport;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_ADMISSIONCONTROLLER_H_
