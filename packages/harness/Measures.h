// The measures of scenarios: name, unit and function of each.
//
// A measure without evidence has no value, and an expectation about it fails: a scenario must not
// pass because its load never ran.

#ifndef CAMPHORCLEAT_HARNESS_MEASURES_H_
#define CAMPHORCLEAT_HARNESS_MEASURES_H_

#include <string>
#include <vector>

#include "harness/RunRecord.h"

namespace camphorcleat::harness {

/// What a measure found.
struct MeasureResult
{
  std::optional<double> value;
  std::string detail; ///< The first violation, or why there is no value.
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
  const char* arguments; ///< For help.
  MeasureResult (*compute)(const RunRecord&, const std::vector<std::string>& aArguments);
};

/// All measures, ordered by name. Thread-safe.
const std::vector<Measure>& allMeasures();

/// The measure of a name, or null. Thread-safe.
const Measure* findMeasure(const std::string& aName);

// Safety. Each counts violations; the detail names the first one.

/// Starts of a key under a fence lower than an earlier start's, or under the same fence at another
/// target.
MeasureResult doubleOwnerCount(const RunRecord& aRecord);
/// Starts of a key while its work runs at another target.
MeasureResult overlapRunCount(const RunRecord& aRecord);
/// Starts of a POST or PATCH beyond the first, by caller's id, idempotency key and request id.
MeasureResult duplicateRunCount(const RunRecord& aRecord);
/// Calls that were told "not run" although a target started them.
MeasureResult falseNotRunCount(const RunRecord& aRecord);
/// Complete answers that belong to another request.
MeasureResult wrongAnswerCount(const RunRecord& aRecord);
/// Starts beyond rate x time + burst between any two starts, summed over accounts. For 5 s after a
/// change the larger of both settings counts (R12).
MeasureResult overRateCount(const RunRecord& aRecord);
/// Arrivals at targets that could bear no more at that moment.
MeasureResult excessCount(const RunRecord& aRecord);
/// Accepted settings that the fleet no longer has at the end (R2).
MeasureResult lostAckCount(const RunRecord& aRecord);
/// Account keys seen by targets, in files and in failure messages.
MeasureResult secretSeenCount(const RunRecord& aRecord);

// Service.

/// Longest time without a served probe over the keys of lost nodes, counted from the loss.
MeasureResult unavailableAfterLossMs(const RunRecord& aRecord);
/// Time from a zone's removal to the last start in it.
MeasureResult zoneNewWorkMs(const RunRecord& aRecord, const std::string& aZone);
/// Time from an account key's withdrawal to the last start for its account.
MeasureResult withdrawnKeyMs(const RunRecord& aRecord, const std::string& aAccount);
/// The worst account's served calls divided by its max-min fair share of all served calls.
MeasureResult worstAccountRatio(const RunRecord& aRecord, const std::vector<std::string>& aLoads);

/// Longest time from the acceptance of a setting until every running daemon had applied it. Only
/// settings that a `wait config` followed count.
MeasureResult configEverywhereMs(const RunRecord& aRecord);
/// Starts of the loads' requests at the most loaded target, divided by the mean over all targets of
/// their service, so a target without any start counts.
MeasureResult imbalance(const RunRecord& aRecord, const std::vector<std::string>& aLoads);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_MEASURES_H_
