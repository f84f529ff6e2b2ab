// Everything from which the measures of a scenario are computed.

#ifndef CAMPHORCLEAT_HARNESS_EVIDENCE_H_
#define CAMPHORCLEAT_HARNESS_EVIDENCE_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "harness/CallRecord.h"
#include "harness/TargetEvent.h"

namespace camphorcleat::harness {

/// The rate of an account from a moment on.
struct RateSetting
{
  std::int64_t sinceUs = 0;
  double ratePerSecond = 0;
  double burst = 0;
};

/// A node that was killed, frozen or cut off.
struct Loss
{
  std::int64_t atUs = 0;
  std::string description;
  std::string probeLoad; ///< Name of the load that probes the keys of the lost node.
};

/// A zone that was out from one moment to another.
struct ZoneOut
{
  std::string zone;
  std::int64_t fromUs = 0;
  std::optional<std::int64_t> untilUs;
};

struct Withdrawal
{
  std::string account;
  std::int64_t atUs = 0;
};

/// How long an accepted configuration took to reach every running daemon.
struct ConfigSpread
{
  std::string command;
  std::int64_t acceptedUs = 0;
  std::int64_t everywhereUs = 0;
};

/// A setting that an operator was told is accepted, and what the fleet says of it at the end.
struct AcknowledgedSetting
{
  std::string object; ///< For example "rate of account acme".
  std::string expected;
  std::optional<std::string> found; ///< Absent if the object doesn't exist.
};

struct Evidence
{
  std::vector<TargetEvent> events; ///< Of all targets, ordered by time; see sortEvents().
  std::vector<CallRecord> calls;   ///< Of all loads, probes included.
  std::map<std::string, std::vector<RateSetting>> rates; ///< By account, ordered by time.
  std::vector<Loss> losses;
  std::vector<ZoneOut> zonesOut;
  std::vector<Withdrawal> withdrawals;
  std::vector<ConfigSpread> spreads;
  std::vector<AcknowledgedSetting> acknowledged; ///< The latest setting of each object.
  std::map<NodeId, std::string> zoneOfTarget;
  std::map<NodeId, std::string> serviceOfTarget;
  std::uint64_t secretsInFiles = 0; ///< Lines of logs and data files that contain an account key.
};

/// Orders the events of several targets by time; events of one target keep their order.
inline void sortEvents(std::vector<TargetEvent>& aEvents)
{
  std::stable_sort(aEvents.begin(), aEvents.end(),
                   [](const TargetEvent& aLeft, const TargetEvent& aRight) {
                     return aLeft.timeUs < aRight.timeUs;
                   });
}

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_EVIDENCE_H_
