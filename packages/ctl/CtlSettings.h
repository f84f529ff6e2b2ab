// What camphorcleatctl was asked to do, from its command line and its settings file.
//
// The command line wins over the file. Faults of both are collected and reported together.

#ifndef CAMPHORCLEAT_CTL_CTLSETTINGS_H_
#define CAMPHORCLEAT_CTL_CTLSETTINGS_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/Errors.h"
#include "base/IniFile.h"
#include "base/Log.h"
#include "base/Time.h"

namespace camphorcleat::ctl {

/// Exit codes of the program.
enum class ExitCode
{
  Done = 0,
  Refused = 1,
  WrongUsage = 2,
  NoAnswer = 3, ///< The outcome is unknown.
};

struct CtlSettings
{
  std::vector<std::string> addresses; ///< "ip:port" of daemons' operator servers.
  std::string operatorName;
  std::string commandId; ///< Empty: a random one per command.
  std::optional<Revision> expectedRevision;
  bool writesJson = false;
  bool isDryRun = false;
  bool onlyChecksConfig = false;
  Millis timeout{ 10000 }; ///< For one command, over all its attempts.
  LogLevel logLevel = LogLevel::Warning;
  LogFormat logFormat = LogFormat::Text;
  std::vector<std::string> words; ///< The statement; empty: interactive.
};

/// Reads command line and settings file. Returns an exit code instead of settings if there is
/// nothing left to do (--help, --version). Fails with SettingsError or StorageError. Usage errors
/// are written to standard error and give ExitCode::WrongUsage.
Result<std::variant<CtlSettings, ExitCode>> readSettings(int aCount, char** aArguments);

/// Whether a text is "ip:port" or "[ipv6]:port". Thread-safe.
bool isAddress(const std::string& aText);

/// Joins words to one statement; words with blanks or separators are quoted. A single word is
/// taken as a whole statement. Thread-safe.
std::string joinWords(const std::vector<std::string>& aWords);

} // namespace camphorcleat::ctl

#endif // CAMPHORCLEAT_CTL_CTLSETTINGS_H_
