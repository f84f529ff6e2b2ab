// camphorcleatctl explain ID [FILE ...]: finds the cause of a failed request in the daemons' logs.

#ifndef CAMPHORCLEAT_CTL_EXPLAINCOMMAND_H_
#define CAMPHORCLEAT_CTL_EXPLAINCOMMAND_H_

#include <string>
#include <vector>

#include "ctl/CtlSettings.h"

namespace camphorcleat::ctl {

/// Returns whether the words are an explain command.
bool isExplainCommand(const std::vector<std::string>& aWords);

/// Reads the log files, or standard input if there are none, and writes the request's trace to
/// standard output. Returns Refused if no line is about the request, and UsageError if the id is
/// missing or a file can't be read. Thread-safe except for the standard streams.
ExitCode runExplain(const std::vector<std::string>& aWords);

} // namespace camphorcleat::ctl

#endif // CAMPHORCLEAT_CTL_EXPLAINCOMMAND_H_
