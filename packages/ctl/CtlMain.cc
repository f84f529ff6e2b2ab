// camphorcleatctl: the command-line client for operators.

#include <csignal>
#include <iostream>

#include <QCoreApplication>

#include "ctl/ExplainCommand.h"
#include "ctl/Session.h"

int main(int aCount, char** aArguments)
{
  using namespace camphorcleat;
  std::signal(SIGPIPE, SIG_IGN);
  const QCoreApplication application(aCount, aArguments);
  return orElse(
    [&]() -> Result<int> {
      BOOST_LEAF_AUTO(outcome, ctl::readSettings(aCount, aArguments));
      if (const auto* code = std::get_if<ctl::ExitCode>(&outcome)) {
        return static_cast<int>(*code);
      }
      const auto& settings = std::get<ctl::CtlSettings>(outcome);
      setUpLog(settings.logLevel, settings.logFormat);
      if (settings.onlyChecksConfig) {
        std::cout << "the settings are valid\n";
        return static_cast<int>(ctl::ExitCode::Success);
      }
      if (ctl::isExplainCommand(settings.words)) {
        return static_cast<int>(ctl::runExplain(settings.words));
      }
      return static_cast<int>(ctl::Session(settings).run());
    },
    [](const ErrorInfo& aInfo) {
      std::cerr << enumName(aInfo.code) << ": " << aInfo.message << "\n";
      return static_cast<int>(ctl::ExitCode::UsageError);
    });
}
