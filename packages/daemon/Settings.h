// Settings of one camphorcleatd, read from an INI file and checked as a whole.
//
// Every fault is collected, so that an operator mends a file in one go. The table of keys serves
// the reader, the reference page (--print-settings) and the check for unknown keys alike.

#ifndef CAMPHORCLEAT_DAEMON_SETTINGS_H_
#define CAMPHORCLEAT_DAEMON_SETTINGS_H_

#include <map>
#include <string>
#include <vector>

#include "base/IniFile.h"
#include "base/Log.h"
#include "fleet/LeaseSettings.h"

namespace camphorcleat::daemon {

/// What callers, targets and operators of this daemon speak.
enum class DialectName
{
  Native,   ///< The project's own headers, paths and statements.
  Platform, ///< The users' platform, by the adapter in platform/.
};

/// What a planned stop does with the keys that the daemon owns.
enum class StopMode
{
  HandOver, ///< They move to other nodes first.
  Keep,     ///< The target runs on and keeps them until the daemon is back.
};

struct Settings
{
  std::string fleetName;
  std::uint32_t partitionCount = 0;

  NodeId id = kNoNode; ///< Made of the peers' IPv4 address if no member list is set.
  std::string zone;
  std::string service; ///< Service of the target beside this daemon, for requests that begin here.
  DialectName dialect = DialectName::Native;

  std::string callersAddress; ///< Empty: takes no callers, and is no owner.
  std::string apiAddress;     ///< Where the dialect's own calls arrive; empty if it has none.
  std::string readyAddress;   ///< Where the dialect tells whether callers may come.
  std::string peersAddress;
  std::string peersAnnounced; ///< What other daemons dial; peersAddress if not set.
  std::string operatorsAddress;
  std::string metricsAddress; ///< Empty: the monitoring pages are at operatorsAddress only.

  std::string targetAddress; ///< Empty: no target beside this daemon.
  Millis maxHold{};          ///< Longest hold that a target takes.
  Millis heartbeatWait{}; ///< Longest wait for a change of grants before a heartbeat is answered.
  Millis targetPollInterval{};

  std::map<NodeId, std::string> members; ///< Fixed members; empty if seeds are set.
  std::vector<NodeId> seeds; ///< Control daemons to ask first, where ids are made of addresses.
  std::size_t voters = 0;    ///< Control members to strive for, with seeds.
  bool mayFoundControlGroup = false; ///< Whether the seeds may found the control group.
  std::string dataFolder;            ///< Empty: not a control member.

  std::map<NodeId, std::string> peerOverrides;

  fleet::LeaseSettings lease;
  Millis electionMin{};
  Millis electionMax{};
  Millis logHeartbeat{};

  std::size_t maxQueuedRequests = 0;
  std::uint64_t maxBodyBytes = 0;
  Millis defaultDeadline{};
  Millis drainLimit{};
  Millis stopDelay{};
  Millis targetDrain{};
  Millis rateWindow{};
  bool refusesLate = false;
  std::uint32_t bridgePercent = 0;
  StopMode stopMode = StopMode::HandOver;

  std::uint64_t auditMaxBytes = 0;

  LogLevel logLevel = LogLevel::Info;
  LogFormat logFormat = LogFormat::Text;

  bool isControlMember() const { return !dataFolder.empty(); }
  bool hasTarget() const { return !targetAddress.empty(); }
  bool takesCallers() const { return !callersAddress.empty(); }
  /// Whether ids and addresses of nodes follow from each other.
  bool hasAddressIds() const { return members.empty(); }

  /// Control daemons that a node may ask: the members, or the seeds.
  std::vector<NodeId> knownMembers() const;
};

/// Reads and checks a file. Fails with SettingsError that lists every fault, or StorageError.
Result<Settings> loadSettings(const std::string& aPath);

/// Checks a text as if it were a file of that name. Fails with SettingsError.
Result<Settings> parseSettings(const std::string& aName, const std::string& aText);

/// The reference of all keys as a Markdown table.
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
