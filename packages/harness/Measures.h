// The measures of scenarios: name, unit and function of each.
//
// A measure without evidence has no value, and an expectation about it fails: a scenario must not
// pass because its load never ran.

#ifndef CAMPHORCLEAT_HARNESS_MEASURES_H_
#define CAMPHORCLEAT_HARNESS_MEASURES_H_

#include <string>
#include <vector>

#include "harness/Evidence.h"

namespace camphorcleat::harness {

/// What a measure found.
struct Figure
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
  Figure (*compute)(const Evidence&, const std::vector<std::string>& aArguments);
};

/// All measures, ordered by name. Thread-safe.
const std::vector<Measure>& allMeasures();

/// The measure of a name, or null. Thread-safe.
const Measure* findMeasure(const std::string& aName);

// Safety. Each counts violations; the detail names the first one.

/// Starts of a key under a fence lower than an earlier start's, or under the same fence at another
/// target.
Figure doubleOwnerCount(const Evidence& aEvidence);
/// Starts of a key while its work runs at another target.
Figure overlapRunCount(const Evidence& aEvidence);
/// Starts of a POST or PATCH beyond the first, by caller's id, idempotency key and request id.
Figure duplicateRunCount(const Evidence& aEvidence);
/// Calls that were told "not run" although a target started them.
Figure falseNotRunCount(const Evidence& aEvidence);
/// Complete answers that belong to another request.
Figure wrongAnswerCount(const Evidence& aEvidence);
/// Starts beyond rate x time + burst between any two starts, summed over accounts. For 5 s after a
/// change the larger of both settings counts (R12).
Figure overRateCount(const Evidence& aEvidence);
/// Arrivals at targets that could bear no more at that moment.
Figure excessCount(const Evidence& aEvidence);
/// Accepted settings that the fleet no longer has at the end (R2).
Figure lostAckCount(const Evidence& aEvidence);
/// Account keys seen by targets, in files and in failure messages.
Figure secretSeenCount(const Evidence& aEvidence);

// Service.

/// Longest time without a served probe over the keys of lost nodes, counted from the loss.
Figure unavailableAfterLossMs(const Evidence& aEvidence);
/// Time from a zone's removal to the last start in it.
Figure zoneNewWorkMs(const Evidence& aEvidence, const std::string& aZone);
/// Time from an account key's withdrawal to the last start for its account.
Figure withdrawnKeyMs(const Evidence& aEvidence, const std::string& aAccount);
/// The worst account's served calls divided by its max-min fair share of all served calls.
Figure worstAccountRatio(const Evidence& aEvidence, const std::vector<std::string>& aLoads);

/// Longest time from the acceptance of a setting until every running daemon had applied it. Only
/// settings that a `wait config` followed count.
Figure configEverywhereMs(const Evidence& aEvidence);
/// Starts of the loads' requests at the most loaded target, divided by the mean over all targets of
/// their service, so a target without any start counts.
Figure imbalance(const Evidence& aEvidence, const std::vector<std::string>& aLoads);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_MEASURES_H_
