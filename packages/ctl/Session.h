// Runs statements and prints their results.

#ifndef CAMPHORCLEAT_CTL_SESSION_H_
#define CAMPHORCLEAT_CTL_SESSION_H_

#include <string>
#include <vector>

#include "ctl/ControlClient.h"
#include "fleet/Statement.h"

namespace camphorcleat::ctl {

/// Executes the command line or an interactive session. Not thread-safe. Requires a
/// QCoreApplication.
class Session
{
public:
  explicit Session(CtlSettings aSettings);

  /// Runs the statement in the settings, or reads statements from standard input if there is none.
  ExitCode run();

private:
  ExitCode runStatement(const std::string& aText);
  // Runs the content of a file as one statement.
  ExitCode runStatementFile(const std::string& aPath);
  ExitCode watch(const std::string& aText);
  ExitCode runInteractive();
  ExitCode runInteractiveLine(const std::string& aLine, bool& aIsDone);
  Result<ExitCode> execute(const std::string& aText);
  Result<ExitCode> sendRedacted(const fleet::RedactedText& aRedacted);
  ExitCode printError(const ErrorInfo& aInfo);
  ExitCode printResponse(const StatementResponse& aResponse,
                         const std::vector<fleet::GeneratedKey>& aKeys);
  void printJson(const StatementResponse& aResponse, const std::vector<fleet::GeneratedKey>& aKeys);

  CtlSettings mSettings;
  ControlClient mClient;
};

} // namespace camphorcleat::ctl

#endif // CAMPHORCLEAT_CTL_SESSION_H_
