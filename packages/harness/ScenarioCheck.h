// Semantic checks of a parsed scenario.

#ifndef CAMPHORCLEAT_HARNESS_SCENARIOCHECK_H_
#define CAMPHORCLEAT_HARNESS_SCENARIOCHECK_H_

#include "harness/ScenarioParser.h"

namespace camphorcleat::harness {

/// Checks the order of the statements, names and node ids. Returns a diagnostic for each invalid
/// statement. Thread-safe.
std::vector<ScenarioDiagnostic> checkScenario(const std::string& aFile, const Scenario& aScenario);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_SCENARIOCHECK_H_
