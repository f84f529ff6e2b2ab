// JSON responses to operators' requests.

#ifndef CAMPHORCLEAT_DAEMON_OPERATORJSON_H_
#define CAMPHORCLEAT_DAEMON_OPERATORJSON_H_

#include <optional>
#include <string>
#include <vector>

#include <QCborValue>

#include "base/Codec.h"
#include "daemon/ChartEvents.h"
#include "daemon/SharedView.h"
#include "wire/FleetMessages.h"

namespace camphorcleat::daemon {

/// A control member's part of /status.
struct ControlStatus
{
  std::string role; ///< "leader" or "follower".
  NodeId leader = kNoNode;
  Term term = 0;
  LogIndex commitIndex = 0;
  LogIndex appliedIndex = 0;
  Revision operatorRevision = 0;
  std::vector<NodeId> members;
  bool hasFailedStorage = false; ///< The latest write to the log failed and is repeated.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("role", &ControlStatus::role), field("leader", &ControlStatus::leader),
      field("term", &ControlStatus::term), field("commit_index", &ControlStatus::commitIndex),
      field("applied_index", &ControlStatus::appliedIndex),
      field("operator_revision", &ControlStatus::operatorRevision),
      field("members", &ControlStatus::members),
      field("storage_failed", &ControlStatus::hasFailedStorage));
  }
};

/// Every daemon's part of /status.
struct NodeStatusView
{
  NodeId node = kNoNode;
  Incarnation incarnation = 0;
  Revision revision = 0;
  bool isLeaseValid = false;
  std::int64_t leaseLeftMillis = 0;
  /// Whether a quorum of the control members confirmed the daemon's view recently enough for it to
  /// accept new work.
  bool isConfigFresh = false;
  std::uint64_t partitionsOwned = 0;
  ChartStates charts;
  static constexpr auto fields()
  {
    return std::make_tuple(field("node", &NodeStatusView::node),
                           field("incarnation", &NodeStatusView::incarnation),
                           field("revision", &NodeStatusView::revision),
                           field("lease_valid", &NodeStatusView::isLeaseValid),
                           field("lease_left_ms", &NodeStatusView::leaseLeftMillis),
                           field("config_fresh", &NodeStatusView::isConfigFresh),
                           field("partitions_owned", &NodeStatusView::partitionsOwned),
                           field("charts", &NodeStatusView::charts));
  }
};

/// Returns the number of partitions that a node owns with the incarnation of aState, excluding
/// those of kAccountService.
std::uint64_t countOwned(const ViewState& aState, NodeId aNode);

/// Returns the JSON object of /status. Without aControl, which only control members have, the role
/// is "none".
std::string statusJson(const NodeStatusView& aNode, const std::optional<ControlStatus>& aControl);

/// Returns the response to a refused operator's request: JSON with the code, message and revision.
std::string refusalJson(ErrorCode aCode, const std::string& aMessage, Revision aRevision);

/// Returns the response to an operator's request: JSON with the members of aCommandResult and, if
/// it is not empty, aResult, which is the result of a query or the changes of a dry run.
std::string responseJson(const wire::CommandResult& aCommandResult, const QCborValue& aResult);

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_OPERATORJSON_H_
