// Settings of one camphorcleatd, read from an INI file and checked as a whole.
//
// Every fault is collected, so that an operator mends a file in one go. The table of keys serves
// the reader, the reference page (--print-settings) and the check for unknown keys alike.

#ifndef CAMPHORCLEAT_DAEMON_SETTINGS_H_
#define CAMPHORCLEAT_DAEMON_SETTINGS_H_

#include <map>
#include <string>

#include "base/IniFile.h"
#include "base/Log.h"
#include "fleet/LeaseSettings.h"

namespace camphorcleat::daemon {

struct Settings
{
  std::string fleetName;
  std::uint32_t partitionCount = 0;

  NodeId id = kNoNode;
  std::string zone;

  std::string callersAddress;
  std::string peersAddress;
  std::string peersAnnounced; ///< What other daemons dial; peersAddress if not set.
  std::string operatorsAddress;
  std::string metricsAddress; ///< Empty: the monitoring pages are at operatorsAddress only.

  std::string targetAddress; ///< Empty: no target beside this daemon.
  Millis targetPollInterval{};

  std::map<NodeId, std::string> members;
  std::string dataFolder; ///< Empty: not a control member.

  std::map<NodeId, std::string> peerOverrides;

  fleet::LeaseSettings lease;
  Millis electionMin{};
  Millis electionMax{};
  Millis logHeartbeat{};

  std::size_t maxQueuedRequests = 0;
  std::uint64_t maxBodyBytes = 0;
  Millis defaultDeadline{};
  Millis drainLimit{};

  std::uint64_t auditMaxBytes = 0;

  LogLevel logLevel = LogLevel::Info;
  LogFormat logFormat = LogFormat::Text;

  bool isControlMember() const { return !dataFolder.empty(); }
  bool hasTarget() const { return !targetAddress.empty(); }
};

/// Reads and checks a file. Fails with SettingsError that lists every fault, or StorageError.
Result<Settings> loadSettings(const std::string& aPath);

/// Checks a text as if it were a file of that name. Fails with SettingsError.
Result<Settings> parseSettings(const std::string& aName, const std::string& aText);

/// The reference of all keys as a Markdown table.
std::string settingsReference();

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_SETTINGS_H_
