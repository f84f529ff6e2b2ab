// The measures that the expectations of a scenario refer to.
//
// A measure has no value if the run recorded no data for it, and an expectation on it fails then: a
// scenario must not pass because its load never ran.

#ifndef CAMPHORCLEAT_HARNESS_MEASURES_H_
#define CAMPHORCLEAT_HARNESS_MEASURES_H_

#include <string>
#include <vector>

#include "harness/RunRecord.h"

namespace camphorcleat::harness {

/// The value of a measure.
struct MeasureResult
{
  std::optional<double> value;
  std::string detail; ///< The first violation, the sample size, or why there is no value.
};

enum class MeasureUnit
{
  Count,
  Millis,
  Ratio
};

struct Measure
{
  const char* name;
  MeasureUnit unit;
  const char* arguments; ///< Synopsis of the arguments, for documentation only.
  MeasureResult (*compute)(const RunRecord&, const std::vector<std::string>& aArguments);
};

/// Returns all measures, ordered by name. Thread-safe.
const std::vector<Measure>& allMeasures();

/// Returns the measure with a name, or null. Thread-safe.
const Measure* findMeasure(const std::string& aName);

// Safety measures. Each counts violations of a requirement; the detail describes the first
// violation.

/// Counts starts of a key that have no fence, a lower fence than an earlier start, or the same
/// fence at another target.
MeasureResult doubleOwnerCount(const RunRecord& aRecord);
/// Counts starts of a key while a request for this key runs at another target.
MeasureResult overlapRunCount(const RunRecord& aRecord);
/// Counts starts of a POST or PATCH beyond the first. A request is identified by call id
/// (CallRecord::id), idempotency key and request id; the largest of the three counts is the value.
MeasureResult duplicateRunCount(const RunRecord& aRecord);
/// Counts calls that were reported as not-run although a target started them.
MeasureResult falseNotRunCount(const RunRecord& aRecord);
/// Counts complete responses that belong to another request.
MeasureResult wrongResponseCount(const RunRecord& aRecord);
/// Counts starts beyond rate x time + burst in the worst interval between two starts, summed over
/// accounts. For 5 s after a change of the rate the larger of both settings applies (R12).
MeasureResult overRateCount(const RunRecord& aRecord);
/// Counts requests that arrived at a target that already ran as many requests as its limit.
MeasureResult excessCount(const RunRecord& aRecord);
/// Counts accepted settings that are missing or different at the end of the run (R2).
MeasureResult lostAckCount(const RunRecord& aRecord);
/// Counts account keys received by targets, found in files, and found in failure messages.
MeasureResult secretSeenCount(const RunRecord& aRecord);

// Service measures.

/// Returns the longest time after the loss of a node during which no probe of a key of this node
/// was served, over all losses and probed keys. A probe is a request of NodeLoss::probeLoad.
MeasureResult unavailableAfterLossMs(const RunRecord& aRecord);
/// Returns the longest time from the removal of a zone to the last start at a target in it. An
/// empty aZone selects all zones. There is no value if, for one of the removals, no target of any
/// zone started a request 5 s or more after it while the zone was out.
MeasureResult zoneNewWorkMs(const RunRecord& aRecord, const std::string& aZone);
/// Returns the longest time from the withdrawal of an account key to the last start for the
/// account. An empty aAccount selects all accounts. There is no value if the account sent no call
/// 5 s or more after a withdrawal.
MeasureResult withdrawnKeyMs(const RunRecord& aRecord, const std::string& aAccount);
/// Returns the smallest ratio, over the accounts, of an account's served calls to its max-min fair
/// share of all served calls. Without aLoads all loads but the probes count.
MeasureResult worstAccountRatio(const RunRecord& aRecord, const std::vector<std::string>& aLoads);

/// Returns the longest time from the acceptance of a setting until every running daemon had applied
/// it. Only settings followed by `wait config` count.
MeasureResult configEverywhereMs(const RunRecord& aRecord);
/// Returns the number of starts of the loads' requests at the most loaded target, divided by the
/// mean over all targets of their service. Targets without a start count in the mean. All aLoads
/// must use the same service; without aLoads there is no value.
MeasureResult imbalance(const RunRecord& aRecord, const std::vector<std::string>& aLoads);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_MEASURES_H_
