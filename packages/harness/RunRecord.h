// The data recorded during a scenario run, from which the measures are computed.
//
// All times are CLOCK_MONOTONIC in microseconds.

#ifndef CAMPHORCLEAT_HARNESS_RUNRECORD_H_
#define CAMPHORCLEAT_HARNESS_RUNRECORD_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "harness/CallRecord.h"
#include "harness/TargetEvent.h"

namespace camphorcleat::harness {

/// The rate limit of an account, in force from sinceUs until the next setting of the account.
struct RateSetting
{
  std::int64_t sinceUs = 0;
  double ratePerSecond = 0;
  double burst = 0;
};

/// A node that was killed, stopped with SIGSTOP, or isolated from its peers.
struct NodeLoss
{
  std::int64_t atUs = 0;
  std::string description;
  std::string probeLoad; ///< Name of the load that sends requests for the lost node's keys.
};

/// A period during which an operator had taken a zone out of service.
struct ZoneRemoval
{
  std::string zone;
  std::int64_t fromUs = 0;
  std::optional<std::int64_t> untilUs; ///< Absent if the zone is still out.
};

/// The withdrawal of an account key by an operator.
struct KeyWithdrawal
{
  std::string account;
  std::int64_t atUs = 0;
};

/// The time between the acceptance of an operator's command and its application by every running
/// daemon.
struct ConfigPropagation
{
  std::string command;
  std::int64_t acceptedUs = 0;
  std::int64_t appliedUs = 0;
};

/// A setting whose acceptance was reported to the operator, and its value at the end of the run.
struct AcceptedSetting
{
  std::string object; ///< Such as "rate acme" or "zone b".
  std::string expected;
  std::optional<std::string> found; ///< Absent if the object doesn't exist.
};

struct RunRecord
{
  std::vector<TargetEvent> events; ///< Of all targets, ordered by time; see sortByTime().
  std::vector<CallRecord> calls;   ///< Of all loads, including probe loads.
  std::map<std::string, std::vector<RateSetting>> rates; ///< By account, ordered by time.
  std::vector<NodeLoss> losses;
  std::vector<ZoneRemoval> zoneRemovals;
  std::vector<KeyWithdrawal> keyWithdrawals;
  std::vector<ConfigPropagation> configPropagations;
  std::vector<AcceptedSetting> acceptedSettings; ///< The latest setting of each object.
  std::map<NodeId, std::string> zoneOfTarget;
  std::map<NodeId, std::string> serviceOfTarget;
  /// Number of account keys found in files, plus the number of failure messages that contain one.
  std::uint64_t secretOccurrences = 0;
};

/// Sorts the events of several targets by time. The sort is stable, so events of one target with
/// the same time keep their order.
inline void sortByTime(std::vector<TargetEvent>& aEvents)
{
  std::stable_sort(aEvents.begin(), aEvents.end(),
                   [](const TargetEvent& aLeft, const TargetEvent& aRight) {
                     return aLeft.timeUs < aRight.timeUs;
                   });
}

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_RUNRECORD_H_
