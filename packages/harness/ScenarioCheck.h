// Checks of a parsed scenario that go beyond one line.

#ifndef CAMPHORCLEAT_HARNESS_SCENARIOCHECK_H_
#define CAMPHORCLEAT_HARNESS_SCENARIOCHECK_H_

#include "harness/ScenarioParser.h"

namespace camphorcleat::harness {

/// Faults of order, names and node numbers; empty if there are none. Thread-safe.
std::vector<ScenarioDiagnostic> checkScenario(const std::string& aFile, const Scenario& aScenario);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_SCENARIOCHECK_H_
