// From a request's id to its cause, by the logs of the daemons that saw it.

#ifndef CAMPHORCLEAT_CTL_REQUESTTRACE_H_
#define CAMPHORCLEAT_CTL_REQUESTTRACE_H_

#include <string>
#include <vector>

#include "ctl/LogLines.h"

namespace camphorcleat::ctl {

struct RequestTrace
{
  std::vector<LogLine> decisions; ///< Lines of the request, in their order.
  /// What the daemons that decided came to believe shortly before: configurations, targets, leases,
  /// connections, stops.
  std::vector<LogLine> context;
  std::string code;  ///< Of the decision that explains the outcome; empty if there is none.
  std::string cause; ///< That code in a sentence.

  bool isFound() const { return !decisions.empty(); }
};

/// Finds a request. Lines of several logs are ordered by their times. Thread-safe.
RequestTrace traceRequest(const LogLines& aLog, const std::string& aRequest);

/// The trace for people, or a note that the logs don't have the request. Thread-safe.
std::string renderTrace(const RequestTrace& aTrace, const LogLines& aLog,
                        const std::string& aRequest);

} // namespace camphorcleat::ctl

#endif // CAMPHORCLEAT_CTL_REQUESTTRACE_H_
