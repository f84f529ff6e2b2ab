// Reads scenario files: one statement a line, '#' starts a comment.
//
// Every line is parsed on its own, so that all faulty lines of a file are reported at once.

#ifndef CAMPHORCLEAT_HARNESS_SCENARIOPARSER_H_
#define CAMPHORCLEAT_HARNESS_SCENARIOPARSER_H_

#include <string>
#include <vector>

#include "base/Errors.h"
#include "harness/Scenario.h"

namespace camphorcleat::harness {

struct ScenarioDiagnostic
{
  std::string file;
  unsigned line = 0;
  unsigned column = 0; ///< From 1, in bytes.
  std::string reason;  ///< Such as "expected a whole number".
  /// "file:line:column: reason".
  std::string message() const;
};

struct ScenarioError
{
  static constexpr ErrorCode kCode = ErrorCode::SyntaxError;
  std::vector<ScenarioDiagnostic> diagnostics;
  std::string message() const;
};

/// Parses a text and checks that names and node numbers exist and that the order makes sense.
/// Fails with ScenarioError. Thread-safe.
Result<Scenario> parseScenario(const std::string& aFile, const std::string& aText);

/// Reads and parses a file. Fails with StorageError or ScenarioError. Thread-safe.
Result<Scenario> loadScenario(const std::string& aFile);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_SCENARIOPARSER_H_
