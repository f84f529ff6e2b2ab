// A state machine that is interpreted from an SCXML text (docs/design.md, section 11).
//
// A chart defines the allowed transitions. QScxmlStateMachine silently ignores an event for which
// the current state has no transition. Here such an event is an error, because events report what
// has happened, and an event that is not allowed indicates a bug. Every transition must therefore
// change the state, since one that doesn't could not be distinguished from an ignored event.

#ifndef CAMPHORCLEAT_DAEMON_STATECHART_H_
#define CAMPHORCLEAT_DAEMON_STATECHART_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/Errors.h"

class QScxmlStateMachine;

namespace camphorcleat::daemon {

/// A chart that is invalid or unknown.
struct ChartError
{
  static constexpr ErrorCode kCode = ErrorCode::SyntaxError;
  std::string file;
  int line = 0; ///< Starts at 1; 0 if the error has no line, such as an unknown file name.
  std::string reason;
  /// Returns "file:line: reason".
  std::string message() const { return file + ":" + std::to_string(line) + ": " + reason; }
};

/// An event that the current state does not allow.
struct ChartEventError
{
  static constexpr ErrorCode kCode = ErrorCode::InvalidCommand;
  std::string chart;
  std::string state;
  std::string event;
  std::string message() const
  {
    return "chart '" + chart + "' allows no event '" + event + "' in state '" + state + "'";
  }
};

/// Call all methods on the thread that created the object. submit() runs all queued calls of that
/// thread's Qt objects, because the machine performs its transitions in such a call. So call
/// submit() only directly from the event loop and not from within another object's method that
/// these calls could re-enter.
class StateChart
{
public:
  /// Validates a chart and enters its initial state. aFile identifies the text in errors; aLabel
  /// identifies the chart in log lines. Fails with ChartError on malformed XML or SCXML, an unknown
  /// target state, a data model other than "null", parallel or nested states, and a transition that
  /// has no event, not exactly one target, or its own state as target.
  static Result<std::unique_ptr<StateChart>> parse(const std::string& aFile, std::string_view aText,
                                                   std::string aLabel);

  /// Parses a chart that is compiled into the program, such as "zone.scxml".
  static Result<std::unique_ptr<StateChart>> load(const std::string& aFile, std::string aLabel);

  ~StateChart();

  StateChart(const StateChart&) = delete;
  StateChart& operator=(const StateChart&) = delete;

  /// Performs the transition for an event and returns the new state's name. If the current state
  /// has no transition for it, fails with ChartEventError and keeps the state. Both outcomes are
  /// logged.
  Result<std::string> submit(const std::string& aEvent);

  /// Returns the name of the current state.
  std::string state() const;

  /// Returns the names of all states, in the order of the file.
  std::vector<std::string> states() const;

private:
  StateChart(std::string aLabel, std::unique_ptr<QScxmlStateMachine> aMachine);

  std::string mLabel;
  std::unique_ptr<QScxmlStateMachine> mMachine;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_STATECHART_H_
