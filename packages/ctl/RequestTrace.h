// Finds the cause of a failed request in the logs of the daemons that handled it.

#ifndef CAMPHORCLEAT_CTL_REQUESTTRACE_H_
#define CAMPHORCLEAT_CTL_REQUESTTRACE_H_

#include <string>
#include <vector>

#include "ctl/LogLines.h"

namespace camphorcleat::ctl {

/// The log lines about a request and the cause of its failure.
struct RequestTrace
{
  std::vector<LogLine> decisions; ///< Lines about the request in order of time.
  /// State changes in the same logs shortly before: configurations, targets, leases, connections
  /// and stops.
  std::vector<LogLine> context;
  std::string code;  ///< Code of the decisive line; empty if there is none.
  std::string cause; ///< Explanation of the code in one sentence.

  bool isFound() const { return !decisions.empty(); }
};

/// Collects the lines about a request and orders the lines of several logs by time. aRequest is the
/// id of the request as it is logged. Thread-safe.
RequestTrace traceRequest(const LogLines& aLog, const std::string& aRequest);

/// Returns the trace as readable text, or a note that no line is about the request. Thread-safe.
std::string renderTrace(const RequestTrace& aTrace, const LogLines& aLog,
                        const std::string& aRequest);

} // namespace camphorcleat::ctl

#endif // CAMPHORCLEAT_CTL_REQUESTTRACE_H_
