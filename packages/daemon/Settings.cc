// The table of settings, their parsers and the consistency checks.

#include "daemon/Settings.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <set>
#include <sstream>

#include <boost/algorithm/string.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

#include "transport/NodeAddress.h"

namespace camphorcleat::daemon {

namespace {

using transport::nodeIdFromAddress;
using Problem = std::optional<std::string>; // Why a value is invalid; nullopt if it is valid.

// One key: its section, name, default, description and parser.
struct SettingKey
{
  const char* section;
  const char* name;
  // nullptr if the key is required; empty if it is optional without a default.
  const char* defaultText;
  const char* meaning;
  // Stores a valid value in the settings. Several functions below return such a function for a
  // member of Settings and a range of values.
  std::function<Problem(const std::string&, Settings&)> read;
};

std::optional<std::uint64_t> parseNumber(const std::string& aText)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value);
  if (aText.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

template<class T>
std::function<Problem(const std::string&, Settings&)> number(T Settings::*aMember,
                                                             std::uint64_t aMin, std::uint64_t aMax)
{
  return [=](const std::string& aText, Settings& aOut) -> Problem {
    const auto value = parseNumber(aText);
    if (!value || *value < aMin || *value > aMax) {
      return "expected a whole number from " + std::to_string(aMin) + " to " +
             std::to_string(aMax) + ", found '" + aText + "'";
    }
    aOut.*aMember = static_cast<T>(*value);
    return std::nullopt;
  };
}

Problem readMillis(const std::string& aText, std::uint64_t aMin, std::uint64_t aMax, Millis& aOut)
{
  const auto value = parseNumber(aText);
  if (!value || *value < aMin || *value > aMax) {
    return "expected milliseconds from " + std::to_string(aMin) + " to " + std::to_string(aMax) +
           ", found '" + aText + "'";
  }
  aOut = Millis(*value);
  return std::nullopt;
}

std::function<Problem(const std::string&, Settings&)> millis(Millis Settings::*aMember,
                                                             std::uint64_t aMin, std::uint64_t aMax)
{
  return [=](const std::string& aText, Settings& aOut) {
    return readMillis(aText, aMin, aMax, aOut.*aMember);
  };
}

// Parses seconds, which may have a fraction, up to an hour.
std::function<Problem(const std::string&, Settings&)> seconds(Millis Settings::*aMember)
{
  return [=](const std::string& aText, Settings& aOut) -> Problem {
    constexpr double kMaxSeconds = 3600;
    constexpr double kMillisPerSecond = 1000;
    double value = 0;
    if (!boost::conversion::try_lexical_convert(aText, value) || !(value >= 0) ||
        value > kMaxSeconds) {
      return "expected seconds from 0 to 3600, found '" + aText + "'";
    }
    aOut.*aMember = Millis(static_cast<Millis::rep>(value * kMillisPerSecond));
    return std::nullopt;
  };
}

// Parses megabits per second, which may have a fraction, up to 1 Tbit/s.
std::function<Problem(const std::string&, Settings&)> megabits(std::uint64_t Settings::*aMember)
{
  return [=](const std::string& aText, Settings& aOut) -> Problem {
    constexpr double kMaxMegabits = 1e6;
    constexpr double kBytesPerMegabit = 1e6 / 8;
    double value = 0;
    if (!boost::conversion::try_lexical_convert(aText, value) || !(value >= 0) ||
        value > kMaxMegabits) {
      return "expected Mbit/s from 0 to 1000000, found '" + aText + "'";
    }
    aOut.*aMember = static_cast<std::uint64_t>(value * kBytesPerMegabit);
    return std::nullopt;
  };
}

// Parses a positive number of at most 1024.
std::function<Problem(const std::string&, Settings&)> positiveShare(double Settings::*aMember)
{
  return [=](const std::string& aText, Settings& aOut) -> Problem {
    constexpr double kMax = 1024;
    double value = 0;
    if (!boost::conversion::try_lexical_convert(aText, value) || !(value > 0) || value > kMax) {
      return "expected a number above 0 and up to 1024, found '" + aText + "'";
    }
    aOut.*aMember = value;
    return std::nullopt;
  };
}

std::function<Problem(const std::string&, Settings&)> leaseMillis(
  Millis fleet::LeaseSettings::*aMember, std::uint64_t aMin, std::uint64_t aMax)
{
  return [=](const std::string& aText, Settings& aOut) {
    return readMillis(aText, aMin, aMax, aOut.lease.*aMember);
  };
}

Problem checkAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return "expected ip:port, found '" + aText + "'";
  }
  std::string ip = aText.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  boost::system::error_code ec;
  boost::asio::ip::make_address(ip, ec);
  const auto port = parseNumber(aText.substr(colon + 1));
  if (ec || !port || *port == 0 || *port > 65535) {
    return "expected an IP address and a port, found '" + aText + "'";
  }
  return std::nullopt;
}

std::function<Problem(const std::string&, Settings&)> address(std::string Settings::*aMember)
{
  return [=](const std::string& aText, Settings& aOut) -> Problem {
    if (auto problem = checkAddress(aText)) {
      return problem;
    }
    aOut.*aMember = aText;
    return std::nullopt;
  };
}

std::function<Problem(const std::string&, Settings&)> name(std::string Settings::*aMember)
{
  return [=](const std::string& aText, Settings& aOut) -> Problem {
    const bool isValid =
      !aText.empty() && aText.size() <= 63 && boost::algorithm::all(aText, [](char aChar) {
        return std::islower(static_cast<unsigned char>(aChar)) != 0 ||
               std::isdigit(static_cast<unsigned char>(aChar)) != 0 || aChar == '-' ||
               aChar == '.' || aChar == '_';
      });
    if (!isValid) {
      return "expected 1 to 63 characters of a-z, 0-9, '-', '.', '_', found '" + aText + "'";
    }
    aOut.*aMember = aText;
    return std::nullopt;
  };
}

template<class E>
std::function<Problem(const std::string&, Settings&)> choice(E Settings::*aMember)
{
  return [=](const std::string& aText, Settings& aOut) -> Problem {
    const auto value = enumFromName<E>(aText);
    if (!value) {
      std::string names;
      for (const auto& it : EnumNames<E>::kTable) {
        names += (names.empty() ? "" : ", ") + std::string(it.name);
      }
      return "expected one of " + names + ", found '" + aText + "'";
    }
    aOut.*aMember = *value;
    return std::nullopt;
  };
}

// Parses a list such as "1@127.0.0.1:7001, 2@127.0.0.1:7002".
Problem readMembers(const std::string& aText, Settings& aOut)
{
  std::vector<std::string> items;
  boost::split(items, aText, boost::is_any_of(","));
  for (auto& it : items) {
    boost::trim(it);
    const auto at = it.find('@');
    const auto id = parseNumber(it.substr(0, at));
    if (at == std::string::npos || !id || *id == 0 || *id > UINT32_MAX) {
      return "expected ID@ip:port, found '" + it + "'";
    }
    if (auto problem = checkAddress(it.substr(at + 1))) {
      return problem;
    }
    if (!aOut.members.emplace(static_cast<NodeId>(*id), it.substr(at + 1)).second) {
      return "member " + std::to_string(*id) + " is listed twice";
    }
  }
  const std::size_t n = aOut.members.size();
  if (n != 1 && n != 3 && n != 5 && n != 7) {
    return "expected 1, 3, 5 or 7 members, found " + std::to_string(n);
  }
  return std::nullopt;
}

Problem readSeeds(const std::string& aText, Settings& aOut)
{
  std::vector<std::string> items;
  boost::split(items, aText, boost::is_any_of(","));
  for (auto& it : items) {
    boost::trim(it);
    const auto id = nodeIdFromAddress(it);
    if (!id) {
      return "expected IPv4 addresses as ip:port, found '" + it + "'";
    }
    if (std::find(aOut.seeds.begin(), aOut.seeds.end(), *id) == aOut.seeds.end()) {
      aOut.seeds.push_back(*id);
    }
  }
  return std::nullopt;
}

std::function<Problem(const std::string&, Settings&)> flag(bool Settings::*aMember)
{
  return [=](const std::string& aText, Settings& aOut) -> Problem {
    if (aText != "true" && aText != "false") {
      return "expected true or false, found '" + aText + "'";
    }
    aOut.*aMember = aText == "true";
    return std::nullopt;
  };
}

Problem readFolder(const std::string& aText, Settings& aOut)
{
  aOut.dataFolder = aText;
  return std::nullopt;
}

constexpr std::uint64_t kMinuteMillis = 60'000;

const std::vector<SettingKey>& settingKeys()
{
  using S = Settings;
  using L = fleet::LeaseSettings;
  static const std::vector<SettingKey> kKeys = {
    { "fleet", "name", nullptr, "Name of the fleet; daemons of different fleets don't communicate.",
      name(&S::fleetName) },
    { "fleet", "partitions", "16384",
      "Number of partitions of each keyed service; fixed at the first start.",
      number(&S::partitionCount, 1, 65536) },
    { "node", "id", "",
      "Id of this daemon in its fleet; derived from its address if seeds are set.",
      number(&S::id, 1, UINT32_MAX) },
    { "node", "zone", nullptr, "Availability zone of this VM.", name(&S::zone) },
    { "node", "service", "", "Service of this daemon's target.", name(&S::service) },
    { "node", "dialect", "native", "Protocol of callers, targets and operators.",
      choice(&S::dialect) },
    { "listen", "callers", "",
      "Address for callers' HTTP; without it, the daemon is a control member only.",
      address(&S::callersAddress) },
    { "listen", "api", "", "Address of the dialect's API for operators and targets.",
      address(&S::apiAddress) },
    { "listen", "ready", "", "Address of the dialect's readiness check.",
      address(&S::readyAddress) },
    { "listen", "peers", nullptr, "Address for other daemons.", address(&S::peersAddress) },
    { "listen", "peers_announced", "",
      "Address that other daemons connect to, if it differs from peers.",
      address(&S::peersAnnounced) },
    { "listen", "operators", "",
      "Address for operators, metrics and health; required in the native dialect.",
      address(&S::operatorsAddress) },
    { "listen", "metrics", "", "Additional address for metrics and health.",
      address(&S::metricsAddress) },
    { "target", "address", "", "Address of this daemon's target.", address(&S::targetAddress) },
    { "target", "poll_ms", "100", "Interval of health checks of the target.",
      millis(&S::targetPollInterval, 10, kMinuteMillis) },
    { "target", "max_hold_ms", "10000", "Longest validity of a grant that a target accepts.",
      millis(&S::maxHold, 100, kMinuteMillis) },
    { "target", "heartbeat_wait_ms", "0",
      "Longest delay of the response to a heartbeat without changes; a change of grants ends it.",
      millis(&S::heartbeatWait, 0, kMinuteMillis) },
    { "control", "members", "", "Control members as ID@ip:port, separated by commas.",
      readMembers },
    { "control", "seeds", "",
      "In place of members: control daemons to contact first, as ip:port, separated by commas.",
      readSeeds },
    { "control", "voters", "5", "Target number of control members, if seeds are set.",
      number(&S::voters, 1, 7) },
    { "control", "found", "false", "Whether the seeds may create the control group.",
      flag(&S::mayFoundControlGroup) },
    { "control", "data_folder", "",
      "Folder of the replicated log; makes this daemon a control member.", readFolder },
    { "control", "heartbeat_ms", "50", "Interval of the log leader's heartbeats.",
      millis(&S::logHeartbeat, 5, 10'000) },
    { "control", "election_min_ms", "250", "Shortest election timeout.",
      millis(&S::electionMin, 20, kMinuteMillis) },
    { "control", "election_max_ms", "500", "Longest election timeout.",
      millis(&S::electionMax, 20, kMinuteMillis) },
    { "control", "audit_max_bytes", "67108864", "Size of the audit trail at which it is rotated.",
      number(&S::auditMaxBytes, 4096, 1ULL << 40U) },
    { "lease", "length_ms", "1000", "Length of a node's lease.",
      leaseMillis(&L::length, 100, kMinuteMillis) },
    { "lease", "renew_ms", "200", "Interval of lease renewals.",
      leaseMillis(&L::renewInterval, 10, kMinuteMillis) },
    { "lease", "unchecked_grace_ms", "300",
      "Extra wait before partitions of a lost node are reassigned if its target doesn't check "
      "grants.",
      leaseMillis(&L::uncheckedGrace, 0, kMinuteMillis) },
    { "lease", "confirm_limit_ms", "3000",
      "A daemon that could not confirm its configuration for this time accepts no new work.",
      leaseMillis(&L::confirmLimit, 100, kMinuteMillis) },
    { "lease", "absence_limit_ms", "1000",
      "A daemon that could not confirm its configuration for this time doesn't refuse a request as "
      "unknown because it has no such route or account key; it refuses it as not run.",
      leaseMillis(&L::absenceLimit, 20, kMinuteMillis) },
    { "limits", "queued_requests", "2000", "Largest number of requests that wait for the target.",
      number(&S::maxQueuedRequests, 1, 1'000'000) },
    { "limits", "body_bytes", "1073741824", "Largest request body.",
      number(&S::maxBodyBytes, 1024, 1ULL << 40U) },
    { "limits", "link_mbps", "0",
      "Bandwidth of the VM's network link; 0: unknown. It limits the request bodies that are on "
      "their way to this VM at a time.",
      megabits(&S::linkBytesPerSecond) },
    { "limits", "cpu_share", "1",
      "Processor cores that the VM gives the daemon. Accounts whose bucket is kept here are asked "
      "for rate tokens less often if requests for them take more than about a third of it.",
      positiveShare(&S::cpuShare) },
    { "limits", "deadline_ms", "10000", "Deadline of a request that sets none.",
      millis(&S::defaultDeadline, 10, 10 * kMinuteMillis) },
    { "limits", "drain_ms", "30000", "Longest duration of a planned stop.",
      millis(&S::drainLimit, 100, 60 * kMinuteMillis) },
    { "limits", "kill_after_s", "0",
      "Time from SIGTERM until the platform kills the process. If set, a planned stop ends 0.7 s "
      "before, and drain_ms isn't used.",
      seconds(&S::killAfter) },
    { "limits", "stop_delay_ms", "0", "Time for which a planned stop continues to accept callers.",
      millis(&S::stopDelay, 0, kMinuteMillis) },
    { "limits", "target_drain_ms", "2000",
      "Time for which requests may still start after a target has begun to drain.",
      millis(&S::targetDrain, 0, kMinuteMillis) },
    { "limits", "refuse_late", "false",
      "Whether a request that can't be answered within its objective is refused at once.",
      flag(&S::refusesLate) },
    { "limits", "bridge_percent", "100",
      "Percentage of a request's time for which it waits for a new owner of its key.",
      number(&S::bridgePercent, 0, 100) },
    { "limits", "rate_window_s", "0",
      "Window over which the dialect's configurations measure rates; 0: any interval.",
      seconds(&S::rateWindow) },
    { "limits", "stop_mode", "hand_over", "How a planned stop treats the daemon's keys.",
      choice(&S::stopMode) },
    { "log", "level", "info", "Lowest level that is logged.", choice(&S::logLevel) },
    { "log", "format", "text", "Format of a log line: text or a JSON object.",
      choice(&S::logFormat) },
  };
  return kKeys;
}

constexpr const char* kPeersSection = "peers";

// The keys of this section are node ids, so the table can't contain them. Each key that is read is
// no longer unknown to aFile.
void readPeerOverrides(IniFile& aFile, Settings& aOut, std::vector<SettingsFault>& aFaults)
{
  for (const auto& it : aFile.unknownKeys()) {
    if (it.section != kPeersSection) {
      continue;
    }
    const std::string text = aFile.value(it.section, it.key).value_or("");
    const auto id = parseNumber(it.key);
    if (!id || *id == 0 || *id > UINT32_MAX) {
      aFaults.push_back(aFile.fault(it.section, it.key, "expected a node id as the key"));
    } else if (auto problem = checkAddress(text)) {
      aFaults.push_back(aFile.fault(it.section, it.key, *problem));
    } else {
      aOut.peerOverrides[static_cast<NodeId>(*id)] = text;
    }
  }
}

void checkConsistency(const IniFile& aFile, const Settings& aSettings,
                      std::vector<SettingsFault>& aFaults)
{
  const auto add = [&](const char* aSection, const char* aKey, std::string aReason) {
    aFaults.push_back(aFile.fault(aSection, aKey, std::move(aReason)));
  };
  if (aSettings.members.empty() == aSettings.seeds.empty()) {
    add("control", "members", "exactly one of members and seeds must be set");
  }
  if (aSettings.id == kNoNode) {
    add("node", "id",
        "missing; it is optional only if seeds and an IPv4 address for peers are set");
  }
  if (!aSettings.takesCallers() && !aSettings.isControlMember()) {
    add("listen", "callers", "missing; it is optional only for a control member");
  }
  const bool hasMembers = !aSettings.members.empty();
  if (hasMembers && aSettings.isControlMember() && aSettings.members.count(aSettings.id) == 0) {
    add("control", "members",
        "data_folder makes this daemon a member, but node " + std::to_string(aSettings.id) +
          " is not listed");
  }
  if (!aSettings.isControlMember() && aSettings.members.count(aSettings.id) > 0) {
    add("control", "data_folder", "this node is a control member and needs a data folder");
  }
  if (aSettings.electionMin <= 2 * aSettings.logHeartbeat) {
    add("control", "election_min_ms", "must be more than twice heartbeat_ms");
  }
  if (aSettings.electionMax <= aSettings.electionMin) {
    add("control", "election_max_ms", "must be more than election_min_ms");
  }
  if (3 * aSettings.lease.renewInterval > aSettings.lease.length) {
    add("lease", "renew_ms",
        "must be at most a third of length_ms, so that one lost renewal "
        "doesn't end the lease");
  }
  if (aSettings.lease.confirmLimit < aSettings.lease.length) {
    add("lease", "confirm_limit_ms", "must be at least length_ms");
  }
  if (aSettings.lease.absenceLimit < 2 * aSettings.lease.renewInterval) {
    add("lease", "absence_limit_ms",
        "must be at least twice renew_ms, so that one lost renewal doesn't matter");
  }
  std::set<std::string> used;
  for (const auto& [key, value] :
       { std::pair("callers", aSettings.callersAddress), std::pair("peers", aSettings.peersAddress),
         std::pair("operators", aSettings.operatorsAddress),
         std::pair("metrics", aSettings.metricsAddress), std::pair("api", aSettings.apiAddress),
         std::pair("ready", aSettings.readyAddress) }) {
    if (!value.empty() && !used.insert(value).second) {
      add("listen", key, "address " + value + " is used twice");
    }
  }
}

Result<Settings> check(IniFile aFile)
{
  Settings settings;
  std::vector<SettingsFault> faults;
  for (const auto& it : settingKeys()) {
    const auto text = aFile.value(it.section, it.name);
    if (!text && it.defaultText == nullptr) {
      faults.push_back(aFile.fault(it.section, it.name, "missing"));
      continue;
    }
    const std::string value = text ? *text : it.defaultText;
    if (value.empty() && it.defaultText != nullptr && *it.defaultText == '\0') {
      continue;
    }
    if (auto problem = it.read(value, settings)) {
      faults.push_back(aFile.fault(it.section, it.name, *problem));
    }
  }
  if (settings.dialect == DialectName::Native && settings.operatorsAddress.empty() &&
      !aFile.value("listen", "operators")) {
    faults.push_back(aFile.fault("listen", "operators", "missing"));
  }
  readPeerOverrides(aFile, settings, faults);
  for (const auto& it : aFile.unknownKeys()) {
    faults.push_back(it);
  }
  if (settings.id == kNoNode && !settings.seeds.empty()) {
    settings.id = nodeIdFromAddress(settings.peersAddress).value_or(kNoNode);
  }
  if (faults.empty()) {
    checkConsistency(aFile, settings, faults);
  }
  if (!faults.empty()) {
    return fail(SettingsError{ std::move(faults) });
  }
  if (settings.peersAnnounced.empty()) {
    settings.peersAnnounced = settings.peersAddress;
  }
  return settings;
}

} // namespace

std::vector<NodeId> Settings::knownMembers() const
{
  std::vector<NodeId> out = seeds;
  for (const auto& [id, address] : members) {
    out.push_back(id);
  }
  return out;
}

Result<Settings> loadSettings(const std::string& aPath)
{
  BOOST_LEAF_AUTO(file, IniFile::load(aPath));
  return check(std::move(file));
}

Result<Settings> parseSettings(const std::string& aName, const std::string& aText)
{
  BOOST_LEAF_AUTO(file, IniFile::parse(aName, aText));
  return check(std::move(file));
}

std::string settingsReference()
{
  std::ostringstream out;
  out << "| section | key | default | meaning |\n| --- | --- | --- | --- |\n";
  for (const auto& it : settingKeys()) {
    out << "| " << it.section << " | " << it.name << " | "
        << (it.defaultText == nullptr ? "required" : it.defaultText) << " | " << it.meaning
        << " |\n";
  }
  out << "| " << kPeersSection
      << " | NODE | | Address to connect to for a node, in place of the one it "
      << "announces. |\n";
  return out.str();
}

} // namespace camphorcleat::daemon
