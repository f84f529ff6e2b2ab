// Uses CLI11 for the command line and IniFile for the settings file.

#include "ctl/CtlSettings.h"

#include <cstdlib>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>

#include <QHostAddress>
#include <QString>

#include "ctl/ExplainCommand.h"

namespace camphorcleat::ctl {

namespace {

constexpr const char* kSection = "ctl";
constexpr double kMaxTimeoutSeconds = 3600;

struct Arguments
{
  std::string addressList; // "ip:port" items, comma-separated.
  std::string operatorName;
  std::string config;
  std::string logLevel = "warning";
  std::string logFormat = "text";
  double timeoutSeconds = 10;
  std::optional<Revision> expectedRevision;
  CtlSettings settings;
};

void declareOptions(CLI::App& aApp, Arguments& aOut)
{
  aApp.set_version_flag("--version", std::string("camphorcleatctl " CAMPHORCLEAT_VERSION));
  aApp.add_option("--connect", aOut.addressList, "ip:port of one or more daemons, comma-separated");
  aApp.add_flag("--json", aOut.settings.writesJson, "write responses as JSON");
  aApp.add_option("--operator", aOut.operatorName, "name for the audit trail");
  aApp.add_option("--command-id", aOut.settings.commandId,
                  "id of the command; random if absent. Repeat it to resend a command safely");
  aApp.add_option("--expect-revision", aOut.expectedRevision,
                  "refuse unless the last change by an operator has this revision");
  aApp.add_flag("--dry-run", aOut.settings.isDryRun, "show what would change");
  aApp.add_option("--timeout", aOut.timeoutSeconds, "seconds for one command")
    ->check(CLI::Range(0.1, kMaxTimeoutSeconds));
  aApp.add_option("--log-level", aOut.logLevel, "debug, info, warning or error")
    ->check(CLI::IsMember({ "debug", "info", "warning", "error" }));
  aApp.add_option("--log-format", aOut.logFormat, "text or json")
    ->check(CLI::IsMember({ "text", "json" }));
  aApp.add_option("--config", aOut.config, "INI file: [ctl] connect, operator");
  aApp.add_flag("--check-config", aOut.settings.onlyChecksConfig, "check the settings and stop");
  aApp.add_option("statement", aOut.settings.words,
                  "a statement, 'apply FILE', 'watch STATEMENT', 'explain ID FILE...' or 'help'; "
                  "interactive mode if absent");
}

std::vector<std::string> splitAddresses(const std::string& aText)
{
  std::vector<std::string> out;
  std::istringstream in(aText);
  for (std::string item; std::getline(in, item, ',');) {
    const std::size_t begin = item.find_first_not_of(' ');
    if (begin != std::string::npos) {
      out.push_back(item.substr(begin, item.find_last_not_of(' ') - begin + 1));
    }
  }
  return out;
}

std::string defaultOperator()
{
  const char* user =
    std::getenv("USER"); // NOLINT(concurrency-mt-unsafe): no other thread runs yet.
  return user != nullptr && *user != '\0' ? user : "operator";
}

void checkAddresses(const CtlSettings& aSettings, const IniFile& aFile,
                    std::vector<SettingsFault>& aFaults)
{
  for (const auto& it : aSettings.addresses) {
    if (!isAddress(it)) {
      aFaults.push_back(aFile.fault(kSection, "connect", "'" + it + "' is not ip:port"));
    }
  }
  if (aSettings.operatorName == "system") {
    aFaults.push_back(
      aFile.fault(kSection, "operator", "'system' is reserved for commands of the system"));
  }
}

Result<CtlSettings> makeSettings(Arguments aArguments)
{
  BOOST_LEAF_AUTO(file, aArguments.config.empty() ? IniFile::parse("command line", "")
                                                  : IniFile::load(aArguments.config));
  CtlSettings out = std::move(aArguments.settings);
  const std::string configuredList = file.value(kSection, "connect").value_or("");
  const std::string name = file.value(kSection, "operator").value_or("");
  out.addresses =
    splitAddresses(aArguments.addressList.empty() ? configuredList : aArguments.addressList);
  out.operatorName = !aArguments.operatorName.empty() ? aArguments.operatorName
                     : !name.empty()                  ? name
                                                      : defaultOperator();
  out.expectedRevision = aArguments.expectedRevision;
  out.timeout = std::chrono::duration_cast<Millis>(fromSeconds(aArguments.timeoutSeconds));
  out.logLevel = *enumFromName<LogLevel>(aArguments.logLevel);
  out.logFormat = *enumFromName<LogFormat>(aArguments.logFormat);
  SettingsError error{ file.unknownKeys() };
  checkAddresses(out, file, error.faults);
  const bool isHelp = out.words.size() == 1 && out.words[0] == "help";
  const bool needsNoDaemon = isHelp || isExplainCommand(out.words);
  if (out.addresses.empty() && !needsNoDaemon && !out.onlyChecksConfig) {
    error.faults.push_back(
      file.fault(kSection, "connect", "no address; give --connect ip:port or --config FILE"));
  }
  if (!error.faults.empty()) {
    return fail(std::move(error));
  }
  return out;
}

} // namespace

Result<std::variant<CtlSettings, ExitCode>> readSettings(int aCount, char** aArguments)
{
  using Outcome = std::variant<CtlSettings, ExitCode>;
  CLI::App app("Operates a camphorcleat fleet.", "camphorcleatctl");
  Arguments arguments;
  declareOptions(app, arguments);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& e) {
    return Outcome(app.exit(e) == 0 ? ExitCode::Success : ExitCode::UsageError);
  }
  BOOST_LEAF_AUTO(settings, makeSettings(std::move(arguments)));
  return Outcome(std::move(settings));
}

bool isAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  std::string host = aText.substr(0, colon);
  const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (isBracketed) {
    host = host.substr(1, host.size() - 2);
  }
  const QString hostText = QString::fromStdString(host);
  QHostAddress address;
  bool isNumber = false;
  const ushort port = QString::fromStdString(aText.substr(colon + 1)).toUShort(&isNumber);
  if (!isNumber || port == 0 || !address.setAddress(hostText)) {
    return false;
  }
  // Qt parses "127.0.1" as 127.0.0.1; only the complete form is accepted.
  const bool isV6 = address.protocol() == QAbstractSocket::IPv6Protocol;
  return isV6 == isBracketed && (isV6 || address.toString() == hostText);
}

std::string joinWords(const std::vector<std::string>& aWords)
{
  if (aWords.size() == 1) {
    return aWords.front();
  }
  std::string out;
  for (const auto& word : aWords) {
    out += out.empty() ? "" : " ";
    if (!word.empty() && word.find_first_of(" \t\r\n;\"#") == std::string::npos) {
      out += word;
      continue;
    }
    out += '"';
    for (const char c : word) {
      out += c == '"' || c == '\\' ? std::string("\\") + c : std::string(1, c);
    }
    out += '"';
  }
  return out;
}

} // namespace camphorcleat::ctl
