// The parsed statements of a scenario.

#ifndef CAMPHORCLEAT_HARNESS_SCENARIO_H_
#define CAMPHORCLEAT_HARNESS_SCENARIO_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"

namespace camphorcleat::harness {

/// `service NAME keyed|unkeyed nodes N slots N cold-slots N warm-up 500ms service-time 5ms [fixed]
/// [sheds]`: a service, whose options configure its targets; see TargetSettings.
struct ServiceStatement
{
  std::string name;
  bool isKeyed = true;
  /// 0: all nodes not assigned to other services. Only the first service with 0 gets any.
  unsigned nodes = 0;
  unsigned slots = 10;
  unsigned coldSlots = 2;
  Millis warmUp{ 500 };
  double serviceTimeMs = 5; ///< Mean.
  /// Constant instead of exponentially distributed service times.
  bool hasFixedServiceTime = false;
  bool shedsLoad = false; ///< The target refuses requests for which no slot is free.
};

/// `fleet NAME zones N nodes N control N [apart] partitions N [proxied] [checks-grants]`
struct FleetStatement
{
  std::string name;
  unsigned zones = 1;
  unsigned nodes = 1;   ///< Without the VMs of dedicated control members.
  unsigned control = 1; ///< Number of control members.
  /// From `apart`: control members run on additional VMs without targets.
  bool hasDedicatedControl = false;
  unsigned partitions = 64;               ///< Of each keyed service.
  bool isProxied = false;                 ///< Daemons connect to each other through fault-proxy.
  bool checksGrants = false;              ///< Targets refuse requests without a valid grant.
  std::vector<ServiceStatement> services; ///< Those in brackets, `[service ...]`.
};

/// `start`: starts the fleet.
struct StartStatement
{};

/// `operator "TEXT" [expect-code CODE]`: runs an operator's command with camphorcleatctl.
struct OperatorStatement
{
  std::string text;
  std::string expectedCode; ///< Empty if the command must succeed.
};

/// `account NAME rate R burst B`: creates an account with one account key, named "main".
struct AccountStatement
{
  std::string name;
  double ratePerSecond = 0;
  double burst = 0;
};

/// `load NAME account A service S rate 50/s keys 1000 [...] for 10s`: starts a load in the
/// background. See LoadStreamPlan for the options.
struct LoadStatement
{
  std::string name;
  std::string account;
  std::string service;
  double ratePerSecond = 0;
  bool isSteady = false; ///< Constant intervals instead of Poisson arrivals.
  unsigned keyCount = 1000;
  /// From `first-key N`: number of the first of the keyCount keys; with zipf the most frequent one.
  unsigned firstKey = 0;
  std::string onlyKey; ///< From `key K`: all requests use this key. Empty: see keyCount.
  std::optional<double> zipfExponent; ///< Exponent of Zipf's law. Absent: uniform distribution.
  double postPercent = 0;             ///< Percentage of POST requests; the rest is GET.
  bool hasIdempotencyKeys = false;    ///< POST requests have an Idempotency-Key.
  unsigned bodyBytes = 0;             ///< Size of POST bodies.
  unsigned responseBytes = 0;         ///< 0: the target's JSON echo.
  std::optional<Millis> deadline;     ///< Absent: not sent, so the entry's default applies.
  std::optional<Millis> work;         ///< Replaces the target's service time.
  NodeId via = kNoNode;               ///< The only entry. kNoNode: all nodes with a target.
  Millis duration{ 0 };
};

/// `wait 2s`: waits for a fixed time.
struct WaitStatement
{
  Millis duration{ 0 };
};

/// `wait owned SERVICE`: waits until every partition of the service has an owner.
struct WaitOwnedStatement
{
  std::string service;
};

/// `wait loads`: waits until every load started so far has ended.
struct WaitLoadsStatement
{};

/// `wait ready`: waits until every running daemon reports that it is ready.
struct WaitReadyStatement
{};

/// `wait config`: waits until every running daemon has applied the last accepted operator command.
struct WaitConfigStatement
{};

/// The VMs that a statement applies to.
struct NodeReference
{
  enum class Kind
  {
    Node,    ///< The node with a given id.
    Leader,  ///< The control leader at the time of the statement.
    OwnerOf, ///< The owner of a key at the time of the statement.
    All      ///< All nodes.
  };
  Kind kind = Kind::Node;
  NodeId node = kNoNode; ///< Of Kind::Node.
  std::string service;   ///< From `owner-of SERVICE/KEY`. Empty: the first keyed service.
  std::string key;
  /// From `vm N`: both the daemon and the target. `stop` stops the daemon only.
  bool isWholeVm = false;
};

/// `kill|freeze|resume|stop|restart REFERENCE [with empty disk]`
struct ProcessStatement
{
  enum class Action
  {
    Kill,   ///< SIGKILL
    Freeze, ///< SIGSTOP
    Resume, ///< SIGCONT
    Stop,   ///< SIGTERM
    Restart ///< Stopped with SIGTERM if it runs, then started.
  };
  Action action = Action::Kill;
  NodeReference node;
  bool hasEmptyDisk = false; ///< The daemon's data folder is deleted before the start.
};

/// `cut A -> B` or `cut A <-> B`: drops the bytes sent from A to B, or in both directions. A cut
/// from one node to all counts as the loss of that node.
struct CutStatement
{
  NodeReference from;
  NodeReference to;
  bool isBidirectional = false;
};

/// `heal`: ends all cuts.
struct HealStatement
{};

/// `silence A -> B`: drops all further bytes on the connections now open between A and B.
struct SilenceStatement
{
  NodeReference from;
  NodeReference to;
};

/// `reset A -> B`: resets the connections now open between A and B.
struct ResetStatement
{
  NodeReference from;
  NodeReference to;
};

/// `delay all 5ms [jitter 2ms]`: delays the bytes on all connections between daemons.
struct DelayStatement
{
  Millis delay{ 0 };
  Millis jitter{ 0 };
};

/// `target N slow 10 for 500ms|cold|drain|restart|kill|freeze|resume`: changes the state of the
/// target of node N.
struct TargetStatement
{
  enum class Action
  {
    Slow,    ///< Multiplies the service times.
    Cold,    ///< A cold start without a restart.
    Drain,   ///< Refuses all further requests.
    Restart, ///< A new incarnation and reset connections, in the same process.
    Kill,    ///< SIGKILL
    Freeze,  ///< SIGSTOP
    Resume   ///< SIGCONT
  };
  Action action = Action::Cold;
  NodeId node = kNoNode;
  double factor = 1;
  Millis duration{ 0 }; ///< Of Slow, as is the factor.
};

/// `expect MEASURE [ARGUMENT...] <= VALUE [UNIT]`
struct ExpectStatement
{
  enum class Comparison
  {
    AtMost,
    AtLeast,
    Below,
    Above,
    Equal
  };
  std::string measure;
  std::vector<std::string> arguments; ///< Loads, a zone or an account; see Measure::arguments.
  Comparison comparison = Comparison::AtMost;
  double value = 0;     ///< Milliseconds if a unit was given.
  bool hasUnit = false; ///< A unit of time was given.
};

using StatementBody =
  std::variant<FleetStatement, ServiceStatement, StartStatement, OperatorStatement,
               AccountStatement, LoadStatement, WaitStatement, WaitOwnedStatement,
               WaitLoadsStatement, WaitReadyStatement, WaitConfigStatement, ProcessStatement,
               CutStatement, HealStatement, SilenceStatement, ResetStatement, DelayStatement,
               TargetStatement, ExpectStatement>;

struct Statement
{
  unsigned line = 0; ///< Counted from 1.
  std::string text;  ///< As written, without a comment.
  StatementBody body;
};

using Scenario = std::vector<Statement>;

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_SCENARIO_H_
