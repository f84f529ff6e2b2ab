// One state machine, interpreted from an SCXML text (docs/design.md, section 11).
//
// A chart documents and checks which transitions are allowed. QScxmlStateMachine silently ignores
// an event without a transition; here such an event is an error, since events report facts and an
// impossible one points to a fault. That is why a chart may only hold transitions that change the
// state: any other could not be told from an ignored event.

#ifndef CAMPHORCLEAT_DAEMON_STATECHART_H_
#define CAMPHORCLEAT_DAEMON_STATECHART_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/Errors.h"

class QScxmlStateMachine;

namespace camphorcleat::daemon {

/// A chart that can't be used.
struct ChartError
{
  static constexpr ErrorCode kCode = ErrorCode::SyntaxError;
  std::string file;
  int line = 0; ///< From 1; 0 if the fault has no place, such as an unknown file name.
  std::string reason;
  /// "file:line: reason".
  std::string message() const { return file + ":" + std::to_string(line) + ": " + reason; }
};

/// An event that the present state does not allow.
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

/// All methods on the thread that made it. submit() runs queued calls of that thread's Qt objects,
/// because the machine takes its steps in one; so call it only from the top of the event loop.
class StateChart
{
public:
  /// Checks a chart and enters its initial state. aFile names the text in errors; aLabel names the
  /// object in log lines. Fails with ChartError on malformed XML or SCXML, an unknown target state,
  /// a data model other than "null", parallel or nested states, and a transition that has no event,
  /// not exactly one target, or its own state as target.
  static Result<std::unique_ptr<StateChart>> parse(const std::string& aFile, std::string_view aText,
                                                   std::string aLabel);

  /// parse() for a chart that is compiled in, such as "zone.scxml".
  static Result<std::unique_ptr<StateChart>> load(const std::string& aFile, std::string aLabel);

  ~StateChart();

  StateChart(const StateChart&) = delete;
  StateChart& operator=(const StateChart&) = delete;

  /// Takes the transition for an event and returns the new state's name. Fails with ChartEventError
  /// and leaves the state as it is if the state has none. Both are logged.
  Result<std::string> submit(const std::string& aEvent);

  /// Name of the present state.
  std::string state() const;

  /// Names of all states, in the order of the file.
  std::vector<std::string> states() const;

private:
  StateChart(std::string aLabel, std::unique_ptr<QScxmlStateMachine> aMachine);

  std::string mLabel;
  std::unique_ptr<QScxmlStateMachine> mMachine;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_STATECHART_H_
