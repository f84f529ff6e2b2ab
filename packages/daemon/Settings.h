// Settings of one camphorcleatd, read from an INI file and validated.
//
// All errors of a file are reported together, so that an operator can correct them at once. One
// table of keys is used for parsing, for the reference (--print-settings) and to detect unknown
// keys.

#ifndef CAMPHORCLEAT_DAEMON_SETTINGS_H_
#define CAMPHORCLEAT_DAEMON_SETTINGS_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base/IniFile.h"
#include "base/Log.h"
#include "fleet/LeaseSettings.h"

namespace camphorcleat::daemon {

/// The protocol of callers, targets and operators of this daemon.
enum class DialectName
{
  Native,   ///< The headers, paths and operator statements of this project.
  Platform, ///< The protocol of the users' platform, implemented in platform/.
};

/// How a planned stop treats the keys that the daemon owns.
enum class StopMode
{
  HandOver, ///< They are handed over to other nodes first.
  Keep,     ///< The target keeps running and keeps them until the daemon restarts.
};

/// The settings of one daemon. Sections and keys are described in settingsReference().
struct Settings
{
  std::string fleetName;
  std::uint32_t partitionCount = 0;

  NodeId id = kNoNode; ///< Derived from peersAddress (IPv4) if no member list is set.
  std::string zone;
  std::string service; ///< Service of this daemon's target, sent with requests that enter here.
  DialectName dialect = DialectName::Native;

  std::string callersAddress; ///< Empty: the daemon serves no callers and owns no keys.
  std::string apiAddress;     ///< Address of the dialect's API; empty if it has none.
  std::string readyAddress;   ///< Address of the dialect's readiness check.
  std::string peersAddress;
  std::string peersAnnounced; ///< Address that other daemons connect to; defaults to peersAddress.
  std::string operatorsAddress;
  std::string metricsAddress; ///< Empty: metrics and health are served at operatorsAddress only.

  std::string targetAddress; ///< Empty: the daemon has no target.
  Millis maxHold{};          ///< Longest validity of a grant that a target accepts.
  Millis heartbeatWait{};    ///< Longest delay of a response to a heartbeat until grants change.
  Millis targetPollInterval{};

  std::map<NodeId, std::string> members; ///< Fixed members; empty if seeds are set.
  std::vector<NodeId> seeds; ///< Control daemons to contact first; empty if members are set.
  std::size_t voters = 0;    ///< Target number of control members, if seeds are set.
  bool mayFoundControlGroup = false; ///< Whether the seeds may create the control group.
  std::string dataFolder;            ///< Empty: the daemon is not a control member.

  std::map<NodeId, std::string> peerOverrides; ///< Addresses used in place of the announced ones.

  fleet::LeaseSettings lease;
  Millis electionMin{};
  Millis electionMax{};
  Millis logHeartbeat{};

  std::size_t maxQueuedRequests = 0;
  std::uint64_t maxBodyBytes = 0;
  std::uint64_t linkBytesPerSecond = 0; ///< Bandwidth of the VM's network link; 0: unknown.
  double cpuShare = 1;                  ///< Processor cores that the VM gives the daemon.
  Millis defaultDeadline{};
  Millis drainLimit{};  ///< Longest duration of a planned stop, unless killAfter is set.
  Millis killAfter{};   ///< Time from SIGTERM until the process is killed; 0: never.
  Millis stopDelay{};   ///< Time for which a planned stop continues to accept callers.
  Millis targetDrain{}; ///< Time for which requests may start after a target has begun to drain.
  /// Period over which the dialect counts an account's requests for its rate limit. If 0, the limit
  /// applies to every interval.
  Millis rateWindow{};
  /// Whether a request that can't be answered within its objective is refused at once.
  bool refusesLate = false;
  /// Percentage of a request's time for which it waits for a new owner of its key.
  std::uint32_t bridgePercent = 0;
  StopMode stopMode = StopMode::HandOver;

  std::uint64_t auditMaxBytes = 0;

  LogLevel logLevel = LogLevel::Info;
  LogFormat logFormat = LogFormat::Text;

  /// Time between the limit of a planned stop and killAfter: 200 ms each for the last responses,
  /// the links and the callers' connections, and 100 ms for the threads to end.
  static constexpr Millis kKillMargin{ 700 };

  /// Returns the longest duration of a planned stop.
  Millis stopLimit() const
  {
    return killAfter > Millis(0) ? std::max(killAfter - kKillMargin, Millis(0)) : drainLimit;
  }

  bool isControlMember() const { return !dataFolder.empty(); }
  bool hasTarget() const { return !targetAddress.empty(); }
  bool takesCallers() const { return !callersAddress.empty(); }
  /// Returns whether node ids are derived from addresses.
  bool hasAddressIds() const { return members.empty(); }

  /// Returns the configured control daemons: the members, or the seeds.
  std::vector<NodeId> knownMembers() const;
};

/// Reads and validates a file. Fails with a SettingsError that lists all errors, or with
/// StorageError.
Result<Settings> loadSettings(const std::string& aPath);

/// Parses and validates the text of a file. aName is used in error messages. Fails with
/// SettingsError.
Result<Settings> parseSettings(const std::string& aName, const std::string& aText);

/// Returns the reference of all keys as a Markdown table.
std::string settingsReference();

} // namespace camphorcleat::daemon

namespace camphorcleat {

template<>
struct EnumNames<daemon::DialectName>
{
  static constexpr EnumName<daemon::DialectName> kTable[] = {
    { daemon::DialectName::Native, "native" },
    { daemon::DialectName::Platform, "platform" },
  };
};

template<>
struct EnumNames<daemon::StopMode>
{
  static constexpr EnumName<daemon::StopMode> kTable[] = {
    { daemon::StopMode::HandOver, "hand_over" },
    { daemon::StopMode::Keep, "keep" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_DAEMON_SETTINGS_H_
