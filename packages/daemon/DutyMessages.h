// The typed messages on the rings between the daemon's threads.

#ifndef CAMPHORCLEAT_DAEMON_DUTYMESSAGES_H_
#define CAMPHORCLEAT_DAEMON_DUTYMESSAGES_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "agreement/LogNode.h"
#include "base/Ring.h"
#include "daemon/OperatorAnswers.h"
#include "fleet/NodeAgent.h"
#include "fleet/TargetGrants.h"
#include "transport/PeerHub.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::daemon {

/// A message of a peer, or of this daemon to itself on kLocalLink.
struct ReceivedMessage
{
  transport::LinkId link = 0;
  NodeId from = kNoNode;
  wire::PeerMessage message;
};

/// A connection is gone; nothing more comes or goes on it.
struct LinkLost
{
  transport::LinkId link = 0;
  NodeId peer = kNoNode;
  bool neverOpened = false; ///< Nothing that was accepted for it has been delivered.
};

/// The agent published a new view.
struct ViewPublished
{};

/// The settings name other control daemons to ask first.
struct SeedsChanged
{
  std::vector<NodeId> seeds;
};

/// The planned stop has begun: take no new work, finish the rest.
struct BeginStop
{};

/// The log's storage has finished a job.
struct StorageDone
{
  std::uint64_t batch = 0;
  bool isGood = true;
};

/// What an operator's program asked for over HTTP.
struct OperatorRequest
{
  std::string statement;
  std::string commandId;
  std::string issuer;
  std::optional<Revision> expectedRevision;
  bool isDryRun = false;
  TimePoint deadline;
  std::function<void(const std::string& aJson)> reply; ///< Thread-safe; called once.
};

/// Asks for the member's part of /status.
struct StatusRequest
{
  std::function<void(const ControlStatus&)> reply; ///< Thread-safe; called once.
};

/// A command of a dialect's operator, which names its outcome by a CommandResult.
struct CommandRequest
{
  wire::Command command;
  TimePoint deadline;
  std::function<void(const wire::CommandResult&)> reply; ///< Thread-safe; called once.
};

/// The operators' document in force, or why it can't be told.
struct DocumentAnswer
{
  ErrorCode code = ErrorCode::None;
  std::string document; ///< Empty if no configuration was set.
};

/// Asks for the operators' document, not older than the question.
struct DocumentRequest
{
  TimePoint deadline;
  std::function<void(const DocumentAnswer&)> reply; ///< Thread-safe; called once.
};

/// What a target says of itself in one heartbeat.
struct TargetHeartbeat
{
  wire::Announcement announcement;
  std::string address;
  std::uint64_t sequence = 0;
  bool isDraining = false;
  Millis coldFor{ 0 }; ///< Time for which it stays cold.
  fleet::HeartbeatHolds holds;
  std::function<void(const fleet::GrantAnswer&)> reply; ///< Thread-safe; called once.
};

/// A target says that it leaves for good.
struct TargetDeregistration
{
  std::string instance;
  std::optional<std::int64_t> startedAtUnixMillis; ///< Not every target tells.
  std::function<void()> reply; ///< Thread-safe; called once it gets no new work.
};

using AgentMessage =
  std::variant<ReceivedMessage, LinkLost, fleet::agent::TargetChanged, fleet::agent::PartitionIdle,
               fleet::agent::LoadMeasured, fleet::agent::DrainRequested, SeedsChanged>;
using ControlMessage =
  std::variant<ReceivedMessage, LinkLost, StorageDone, OperatorRequest, StatusRequest,
               CommandRequest, DocumentRequest, SeedsChanged, BeginStop>;
using OwnerMessage =
  std::variant<ReceivedMessage, LinkLost, ViewPublished, fleet::agent::StopPartition,
               TargetHeartbeat, TargetDeregistration, BeginStop>;
using EntryMessage = std::variant<ReceivedMessage, LinkLost, ViewPublished, BeginStop>;

// Bounds of docs/design.md, section 10.
constexpr std::size_t kAgentRingSize = 4096;
constexpr std::size_t kControlRingSize = 16384;
constexpr std::size_t kOwnerRingSize = 16384;
constexpr std::size_t kEntryRingSize = 16384;

/// The input rings of all duties. The control ring is null on a daemon that isn't a member.
struct Rings
{
  Ring<AgentMessage> agent{ kAgentRingSize };
  Ring<OwnerMessage> owner{ kOwnerRingSize };
  Ring<EntryMessage> entry{ kEntryRingSize };
  std::unique_ptr<Ring<ControlMessage>> control;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_DUTYMESSAGES_H_
