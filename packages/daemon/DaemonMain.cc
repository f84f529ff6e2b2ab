// Main function of camphorcleatd.

#include <csignal>
#include <iostream>

#include <CLI/CLI.hpp>

#include <QCoreApplication>
#include <QDateTime>
#include <QFileInfo>
#include <QTimer>

#include "base/Log.h"
#include "daemon/Daemon.h"
#include "daemon/NativeDialect.h"
#include "platform/PlatformDialect.h"

namespace {

using namespace camphorcleat;

constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
// Interval of checks for signals and, after a stop signal, for the end of the planned stop.
constexpr int kSignalPollMillis = 20;

// Interval of checks for a changed settings file, for changes without SIGHUP.
constexpr int kSettingsPollMillis = 1000;

volatile std::sig_atomic_t sStopRequested = 0;
volatile std::sig_atomic_t sReloadRequested = 0;

void requestStop(int /*aSignal*/)
{
  sStopRequested = 1;
}

void requestReload(int /*aSignal*/)
{
  sReloadRequested = 1;
}

struct Options
{
  std::string configFile;
  bool isCheckOnly = false;
  bool isReferenceWanted = false;
  std::string logLevel;
  std::string logFormat;
};

void addOptions(CLI::App& aApp, Options& aOptions)
{
  aApp.set_version_flag("--version", "camphorcleatd 0.1.0");
  aApp.add_option("--config", aOptions.configFile, "Settings file (INI).");
  aApp.add_flag("--check-config", aOptions.isCheckOnly,
                "Print every fault of the settings file and exit.");
  aApp.add_flag("--print-settings", aOptions.isReferenceWanted,
                "Print the reference of all settings and exit.");
  aApp.add_option("--log-level", aOptions.logLevel, "debug, info, warning or error.")
    ->check(CLI::IsMember({ "debug", "info", "warning", "error" }));
  aApp.add_option("--log-format", aOptions.logFormat, "text or json.")
    ->check(CLI::IsMember({ "text", "json" }));
}

std::unique_ptr<daemon::DialectFactory> factoryOf(daemon::DialectName aName)
{
  if (aName == daemon::DialectName::Platform) {
    return std::make_unique<platform::PlatformDialectFactory>();
  }
  return std::make_unique<daemon::NativeDialectFactory>();
}

void reload(daemon::Daemon& aServer, const std::string& aFile)
{
  orElse(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(settings, daemon::loadSettings(aFile));
      aServer.reload(settings);
      logEvent(LogLevel::Info, "settings_reloaded");
      return true;
    },
    [](const ErrorInfo& aInfo) {
      logEvent(LogLevel::Error, "settings_not_reloaded", { { "reason", aInfo.message } });
      return false;
    });
}

int runDaemon(daemon::Settings aSettings, const std::string& aFile, int aArgCount, char** aArgs)
{
  QCoreApplication app(aArgCount, aArgs);
  const auto factory = factoryOf(aSettings.dialect);
  daemon::Daemon server(std::move(aSettings), *factory);
  const bool isStarted = orElse(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(server.start([] { return sStopRequested != 0; }));
      return true;
    },
    [](const ErrorInfo& aInfo) {
      logEvent(LogLevel::Error, "start_failed",
               { { "code", std::string(enumName(aInfo.code)) }, { "reason", aInfo.message } });
      return false;
    });
  if (!isStarted) {
    server.stop();
    return kExitFailed;
  }
  QTimer timer;
  QObject::connect(&timer, &QTimer::timeout, [&] {
    if (sStopRequested != 0) {
      server.beginStop();
    }
    if (server.advanceStop()) {
      QCoreApplication::quit();
    }
  });
  timer.start(kSignalPollMillis);
  QDateTime changedAt = QFileInfo(QString::fromStdString(aFile)).lastModified();
  QTimer settingsTimer;
  QObject::connect(&settingsTimer, &QTimer::timeout, [&] {
    const QDateTime now = QFileInfo(QString::fromStdString(aFile)).lastModified();
    if (sReloadRequested != 0 || now != changedAt) {
      sReloadRequested = 0;
      changedAt = now;
      reload(server, aFile);
    }
  });
  settingsTimer.start(kSettingsPollMillis);
  QCoreApplication::exec();
  server.stop();
  logEvent(LogLevel::Info, "daemon_stopped");
  return server.hasTimedOut() ? kExitFailed : kExitDone;
}

int run(int aArgCount, char** aArgs)
{
  Options options;
  CLI::App app("Router for targets that own keys exclusively: one process for each target VM.");
  addOptions(app, options);
  try {
    app.parse(aArgCount, aArgs);
  } catch (const CLI::ParseError& ec) {
    return app.exit(ec) == 0 ? kExitDone : kExitUsage;
  }
  if (options.isReferenceWanted) {
    std::cout << daemon::settingsReference();
    return kExitDone;
  }
  if (options.configFile.empty()) {
    std::cerr << "camphorcleatd: --config FILE is required\n";
    return kExitUsage;
  }
  return leaf::try_handle_all(
    [&]() -> Result<int> {
      BOOST_LEAF_AUTO(settings, daemon::loadSettings(options.configFile));
      if (options.isCheckOnly) {
        std::cout << options.configFile << ": no faults\n";
        return kExitDone;
      }
      settings.logLevel = enumFromName<LogLevel>(options.logLevel).value_or(settings.logLevel);
      settings.logFormat = enumFromName<LogFormat>(options.logFormat).value_or(settings.logFormat);
      setUpLog(settings.logLevel, settings.logFormat);
      return runDaemon(std::move(settings), options.configFile, aArgCount, aArgs);
    },
    [](const ErrorInfo& aInfo) {
      std::cerr << aInfo.message << "\n";
      return kExitUsage;
    },
    [] {
      std::cerr << "camphorcleatd: failure without details\n";
      return kExitFailed;
    });
}

} // namespace

int main(int aArgCount, char** aArgs)
{
  std::signal(SIGTERM, requestStop);
  std::signal(SIGINT, requestStop);
  std::signal(SIGHUP, requestReload);
  std::signal(SIGPIPE, SIG_IGN);
  return run(aArgCount, aArgs);
}
