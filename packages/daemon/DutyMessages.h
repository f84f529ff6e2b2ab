// The typed messages that the daemon's threads exchange over ring buffers.

#ifndef CAMPHORCLEAT_DAEMON_DUTYMESSAGES_H_
#define CAMPHORCLEAT_DAEMON_DUTYMESSAGES_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "agreement/LogNode.h"
#include "base/Ring.h"
#include "daemon/OperatorJson.h"
#include "fleet/HeartbeatGrants.h"
#include "fleet/NodeAgent.h"
#include "transport/PeerHub.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::daemon {

/// A message from a peer, or from this daemon to itself on kLocalLink.
struct ReceivedMessage
{
  transport::LinkId link = 0;
  NodeId from = kNoNode;
  wire::PeerMessage message;
};

/// A connection to a peer was opened by its Hello, which was sent and received at these times on
/// the clocks of the two VMs since their boot.
struct LinkOpened
{
  transport::LinkId link = 0;
  Duration sentAt{ 0 };
  Duration receivedAt{ 0 };
  Duration maxWait{ 0 }; ///< For how long the Hello may have waited.
};

/// Nothing arrives on a connection to a peer on which requests run. It is kept for these requests.
struct LinkSilent
{
  transport::LinkId link = 0;
};

/// A connection to a peer was closed. No more messages are sent or received on it.
struct LinkLost
{
  transport::LinkId link = 0;
  NodeId peer = kNoNode;
  bool isNotRun = false; ///< The peer runs none of the requests that it hasn't answered.
};

/// The agent thread published a new view of the fleet's state.
struct ViewPublished
{};

/// The list of seeds (initial control daemons to contact) in the settings changed.
struct SeedsChanged
{
  std::vector<NodeId> seeds;
};

/// A planned stop has begun: accept no new work and finish running requests. A request that may run
/// after `end` is refused unless it starts by `lastStart`.
struct BeginStop
{
  TimePoint lastStart = TimePoint::max();
  TimePoint end = TimePoint::max();
};

/// The storage thread of the replicated log persisted a batch, or its first attempt failed and it
/// repeats the batch.
struct StorageDone
{
  std::uint64_t batch = 0;
  bool isPersisted = true;
};

/// A statement that an operator's tool submitted over HTTP.
struct OperatorRequest
{
  std::string statement;
  std::string commandId;
  std::string issuer;
  std::optional<Revision> expectedRevision;
  bool isDryRun = false;
  TimePoint deadline;
  std::function<bool()> isAwaited; ///< Whether the operator still waits for the reply. Thread-safe.
  std::function<void(const std::string& aJson)> reply; ///< Thread-safe; called once.
};

/// Requests the control member's section of /status.
struct StatusRequest
{
  std::function<void(const ControlStatus&)> reply; ///< Thread-safe; called once.
};

/// A command submitted through the dialect's API. The reply reports its result.
struct CommandRequest
{
  wire::Command command;
  TimePoint deadline;
  std::function<bool()> isAwaited; ///< Whether the operator still waits for the reply. Thread-safe.
  std::function<void(const wire::CommandResult&)> reply; ///< Thread-safe; called once.
};

/// The configuration document in force, or the reason why it can't be read.
struct DocumentResponse
{
  ErrorCode code = ErrorCode::None;
  std::string document; ///< Empty if no configuration is set.
};

/// Requests the configuration document. The reply is at least as recent as the request.
struct DocumentRequest
{
  TimePoint deadline;
  std::function<void(const DocumentResponse&)> reply; ///< Thread-safe; called once.
};

/// One heartbeat of a target.
struct TargetHeartbeat
{
  wire::Announcement announcement;
  std::string address;          ///< Address of the target, as it reports it.
  std::uint64_t sequence = 0;   ///< Increases with each heartbeat of a process.
  bool isDraining = false;      ///< The target finishes its work and will end.
  Millis coldFor{ 0 };          ///< Remaining warm-up time of the target.
  fleet::HeartbeatRanges holds; ///< Key ranges that the target holds or has released.
  /// Either this or refuse is called, once. Thread-safe.
  std::function<void(const fleet::GrantResponse&)> reply;
  /// The heartbeat isn't acknowledged: what it says could not be recorded in time. Thread-safe.
  std::function<void()> refuse;
};

/// A target deregisters before it shuts down.
struct TargetDeregistration
{
  std::string instance;
  /// Start time of the process, if the target sent it.
  std::optional<std::int64_t> startedAtUnixMillis;
  /// Thread-safe; called once. aIsRecorded: the fleet's state says that the process is leaving, so
  /// it gets no new work even if this daemon restarts. Otherwise the message isn't acknowledged.
  std::function<void(bool aIsRecorded)> reply;
};

using AgentMessage =
  std::variant<ReceivedMessage, LinkLost, fleet::agent::TargetChanged, fleet::agent::TargetLeaving,
               fleet::agent::PartitionIdle, fleet::agent::LoadMeasured,
               fleet::agent::DrainRequested, SeedsChanged>;
using ControlMessage =
  std::variant<ReceivedMessage, LinkLost, StorageDone, OperatorRequest, StatusRequest,
               CommandRequest, DocumentRequest, SeedsChanged, BeginStop>;
using OwnerMessage =
  std::variant<ReceivedMessage, LinkOpened, LinkSilent, LinkLost, ViewPublished,
               fleet::agent::StopPartition, TargetHeartbeat, TargetDeregistration, BeginStop>;
using EntryMessage = std::variant<ReceivedMessage, LinkSilent, LinkLost, ViewPublished>;

// Capacities in messages. docs/design.md, section 10, explains them.
constexpr std::size_t kAgentRingSize = 4096;
constexpr std::size_t kControlRingSize = 16384;
constexpr std::size_t kOwnerRingSize = 16384;
constexpr std::size_t kEntryRingSize = 16384;

/// The input rings of all duties (threads). The control ring is null if this daemon isn't a control
/// member.
struct Rings
{
  Ring<AgentMessage> agent{ kAgentRingSize };
  Ring<OwnerMessage> owner{ kOwnerRingSize };
  Ring<EntryMessage> entry{ kEntryRingSize };
  std::unique_ptr<Ring<ControlMessage>> control;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_DUTYMESSAGES_H_
