// camphorcleatctl explain ID [FILE ...]: from a request's id to its cause, by logs alone.

#ifndef CAMPHORCLEAT_CTL_EXPLAINCOMMAND_H_
#define CAMPHORCLEAT_CTL_EXPLAINCOMMAND_H_

#include <string>
#include <vector>

#include "ctl/CtlSettings.h"

namespace camphorcleat::ctl {

/// Whether the words ask for it.
bool isExplain(const std::vector<std::string>& aWords);

/// Reads the files, or standard input if none is named, and writes the trace to standard output.
/// Refused: no line about the request. WrongUsage: no id, or a file can't be read. Thread-safe but
/// for the streams.
ExitCode runExplain(const std::vector<std::string>& aWords);

} // namespace camphorcleat::ctl

#endif // CAMPHORCLEAT_CTL_EXPLAINCOMMAND_H_
