// Parses scenario files, which have one statement per line. '#' starts a comment.
//
// Each line is parsed independently of the others, so that all syntax errors of a file are reported
// at once.

#ifndef CAMPHORCLEAT_HARNESS_SCENARIOPARSER_H_
#define CAMPHORCLEAT_HARNESS_SCENARIOPARSER_H_

#include <string>
#include <vector>

#include "base/Errors.h"
#include "harness/Scenario.h"

namespace camphorcleat::harness {

/// An error in a scenario file.
struct ScenarioDiagnostic
{
  std::string file;
  unsigned line = 0;
  unsigned column = 0; ///< Counted from 1, in bytes. 1 for the errors of checkScenario().
  std::string reason;  ///< Such as "expected a whole number".
  /// Returns "file:line:column: reason".
  std::string message() const;
};

/// Reports all errors of a scenario file.
struct ScenarioError
{
  static constexpr ErrorCode kCode = ErrorCode::SyntaxError;
  std::vector<ScenarioDiagnostic> diagnostics;
  /// Returns the messages of the diagnostics, one per line.
  std::string message() const;
};

/// Parses aText and checks it with checkScenario(). aFile is used in diagnostics only. Fails with
/// ScenarioError. Thread-safe.
Result<Scenario> parseScenario(const std::string& aFile, const std::string& aText);

/// Reads and parses a file. Fails with StorageError or ScenarioError. Thread-safe.
Result<Scenario> loadScenario(const std::string& aFile);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_SCENARIOPARSER_H_
