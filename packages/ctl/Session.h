// Runs statements and writes their answers.

#ifndef CAMPHORCLEAT_CTL_SESSION_H_
#define CAMPHORCLEAT_CTL_SESSION_H_

#include <string>
#include <vector>

#include "ctl/ControlClient.h"
#include "fleet/Statement.h"

namespace camphorcleat::ctl {

/// Not thread-safe; needs a QCoreApplication.
class Session
{
public:
  explicit Session(CtlSettings aSettings);

  /// Does what the words of the settings say.
  ExitCode run();

private:
  ExitCode runStatement(const std::string& aText);
  ExitCode applyFile(const std::string& aPath);
  ExitCode watch(const std::string& aText);
  ExitCode prompt();
  ExitCode promptOnce(const std::string& aLine, bool& aIsDone);
  Result<ExitCode> execute(const std::string& aText);
  Result<ExitCode> sendSafely(const fleet::RedactedText& aSafe);
  ExitCode report(const ErrorInfo& aInfo);
  ExitCode show(const Answer& aAnswer, const std::vector<fleet::GeneratedKey>& aKeys);
  void showJson(const Answer& aAnswer, const std::vector<fleet::GeneratedKey>& aKeys);

  CtlSettings mSettings;
  ControlClient mClient;
};

} // namespace camphorcleat::ctl

#endif // CAMPHORCLEAT_CTL_SESSION_H_
