// Replicated objects of the fleet, changes to them, and the commands that request changes.
//
// A Command is a request of an operator or a daemon and the payload of a log entry. Applying it
// yields Changes, which every daemon applies in the order of their revisions.

#ifndef CAMPHORCLEAT_WIRE_FLEETMESSAGES_H_
#define CAMPHORCLEAT_WIRE_FLEETMESSAGES_H_

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "base/Codec.h"

namespace camphorcleat::wire {

/// How the targets of a ranged service receive the keys that are granted to them.
enum class GrantMode
{
  Heartbeat, ///< In the responses to the heartbeats of the target.
  Call,      ///< By calls of the daemon beside the target, one for each range.
};

/// A service that targets implement.
struct Service
{
  std::string name;
  bool isKeyed = true;                 ///< Whether requests carry a key.
  std::vector<std::string> openRoutes; ///< Path prefixes that need no account key.
  /// If set, keys are numbers from 0 to 65535 and a partition is a contiguous range of them.
  /// Otherwise a key is a text and its hash determines the partition.
  bool isRanged = false;
  double coldRequestsPerSecond = 0; ///< Rate limit of a cold target; 0: its slots are the limit.
  GrantMode grantMode = GrantMode::Heartbeat; ///< Has a meaning only if isRanged is set.
  /// Path of the targets' health, which says for how long a target stays cold; empty if unknown.
  std::string healthPath{};
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("name", &Service::name), field("keyed", &Service::isKeyed),
      field("open_routes", &Service::openRoutes), field("ranged", &Service::isRanged),
      field("cold_requests_per_second", &Service::coldRequestsPerSecond),
      field("grant_mode", &Service::grantMode), field("health_path", &Service::healthPath));
  }
};

/// A client account and its rate limit over the whole fleet.
struct Account
{
  std::string name;
  double requestsPerSecond = 0; ///< 0 in a configuration: no limit.
  double burstRequests = 1;
  std::map<std::string, std::string> keyDigests; ///< Key name to SHA-256 of the account key.
  std::optional<std::uint32_t> priority{};       ///< Overrides the priority of the route.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("name", &Account::name), field("requests_per_second", &Account::requestsPerSecond),
      field("burst_requests", &Account::burstRequests), field("key_digests", &Account::keyDigests),
      field("priority", &Account::priority));
  }
};

/// A service that receives a share of a route's requests, in proportion to its weight.
struct WeightedService
{
  std::string service;
  double weight = 1;
  static constexpr auto fields()
  {
    return std::make_tuple(field("service", &WeightedService::service),
                           field("weight", &WeightedService::weight));
  }
};

/// Maps the requests of a host under a path prefix to services, with their limits.
struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix;
  bool isIdempotent = false;
  Millis timeout{ 0 }; ///< Maximum time that a caller waits for the response.
  /// Latency objective: time from the arrival of a request in which the response should be
  /// complete; 0 if there is none. With the setting refuse_late, a request that would have to wait
  /// and is expected to miss the objective is refused. A response that misses it is still sent.
  Millis objective{ 0 };
  std::uint32_t priority = 0; ///< 0 is the highest.
  std::vector<WeightedService> weightedServices;
  std::uint32_t maxAttempts = 1; ///< Maximum number of targets that one request is sent to.
  bool isOpen = false;           ///< Requests need no account key.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("name", &Route::name), field("host", &Route::host),
      field("path_prefix", &Route::pathPrefix), field("idempotent", &Route::isIdempotent),
      field("timeout_ms", &Route::timeout), field("objective_ms", &Route::objective),
      field("priority", &Route::priority), field("parts", &Route::weightedServices),
      field("max_attempts", &Route::maxAttempts), field("open", &Route::isOpen));
  }
};

/// Size and time limits for callers. The daemon's own setting applies where a limit is missing.
struct CallerLimits
{
  std::optional<std::uint64_t> headerBytes{};
  std::optional<std::uint64_t> bodyBytes{};
  std::optional<Millis> headerTimeout{}; ///< From a request's first byte to its last header byte.
  std::optional<Millis> idleTimeout{};   ///< Between two requests on a connection.
  static constexpr auto fields()
  {
    return std::make_tuple(field("header_bytes", &CallerLimits::headerBytes),
                           field("body_bytes", &CallerLimits::bodyBytes),
                           field("header_timeout_ms", &CallerLimits::headerTimeout),
                           field("idle_timeout_ms", &CallerLimits::idleTimeout));
  }
};

/// Services, accounts and routes, which are replaced as a whole. Version 0 means that none was set.
struct Configuration
{
  std::uint64_t version = 0;
  std::string digest; ///< SHA-256 of the operators' document.
  std::vector<Service> services;
  std::vector<Account> accounts;
  std::vector<Route> routes;
  CallerLimits limits{};
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("version", &Configuration::version), field("digest", &Configuration::digest),
      field("services", &Configuration::services), field("accounts", &Configuration::accounts),
      field("routes", &Configuration::routes), field("limits", &Configuration::limits));
  }
};

/// One process of a target.
struct TargetProcess
{
  std::string instance;
  std::int64_t startedAtUnixMillis = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(field("instance", &TargetProcess::instance),
                           field("started_at_unix_ms", &TargetProcess::startedAtUnixMillis));
  }
  bool operator==(const TargetProcess& aOther) const
  {
    return instance == aOther.instance && startedAtUnixMillis == aOther.startedAtUnixMillis;
  }
  bool operator!=(const TargetProcess& aOther) const { return !(*this == aOther); }
};

/// The properties that a target announces; the daemon beside it forwards them.
struct Announcement
{
  std::string service;
  std::uint32_t slots = 1;     ///< Concurrent requests when warm.
  std::uint32_t coldSlots = 1; ///< Concurrent requests right after a cold start.
  Millis warmUp{ 0 };          ///< Time from a cold start until the target is warm.
  bool checksGrants = false;   ///< Whether it refuses requests without a valid fenced grant.
  std::string instance{};      ///< Name of the target's process; empty if unnamed.
  std::int64_t startedAtUnixMillis = 0; ///< Distinguishes two processes with one name.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("service", &Announcement::service), field("slots", &Announcement::slots),
      field("cold_slots", &Announcement::coldSlots), field("warm_up_ms", &Announcement::warmUp),
      field("checks_grants", &Announcement::checksGrants),
      field("instance", &Announcement::instance),
      field("started_at_unix_ms", &Announcement::startedAtUnixMillis));
  }
  TargetProcess process() const { return { instance, startedAtUnixMillis }; }
};

/// Whether a node may own partitions and receive new requests.
enum class NodeStatus
{
  Serving,    ///< Receives requests.
  Draining,   ///< Hands its partitions over and receives no new requests.
  TargetDown, ///< The daemon can't reach its target.
  Lost,       ///< The lease expired; this incarnation never serves again.
};

/// A daemon and the target beside it.
struct Node
{
  NodeId id = kNoNode;
  Incarnation incarnation = 0;
  std::string zone;
  std::string peerAddress; ///< "ip:port" at which other daemons connect.
  NodeStatus status = NodeStatus::Serving;
  bool hasTarget = true;  ///< False for a daemon without a target, such as a control member.
  bool isRetired = false; ///< Set by an operator: the target receives no new requests.
  Announcement target;
  Revision registeredAt = 0;
  /// The process of the target that said last that it is leaving. It never receives requests again,
  /// even if another process of the daemon has heard of that.
  std::optional<TargetProcess> leavingTarget{};
  static constexpr auto fields()
  {
    return std::make_tuple(field("id", &Node::id), field("incarnation", &Node::incarnation),
                           field("zone", &Node::zone), field("peer_address", &Node::peerAddress),
                           field("status", &Node::status), field("has_target", &Node::hasTarget),
                           field("retired", &Node::isRetired), field("target", &Node::target),
                           field("registered_at", &Node::registeredAt),
                           field("leaving_target", &Node::leavingTarget));
  }
  /// Returns whether the registered process of the target is leaving.
  bool isTargetLeaving() const { return leavingTarget && *leavingTarget == target.process(); }
  /// Returns whether a process is leaving according to this record, or was replaced by the
  /// registered one.
  bool hasLeft(const TargetProcess& aProcess) const
  {
    const bool isReplaced =
      aProcess != target.process() && aProcess.startedAtUnixMillis <= target.startedAtUnixMillis;
    return isReplaced || (leavingTarget && *leavingTarget == aProcess);
  }
};

/// Whether operators have taken an availability zone out of service.
struct Zone
{
  std::string name;
  bool isOut = false;
  Revision orderedAt = 0; ///< Revision of the latest accepted order, even one that changed nothing.
  static constexpr auto fields()
  {
    return std::make_tuple(field("name", &Zone::name), field("out", &Zone::isOut),
                           field("ordered_at", &Zone::orderedAt));
  }
};

/// The owner of one partition of one service.
struct PartitionGrant
{
  NodeId owner = kNoNode;
  Incarnation incarnation = 0;
  FencingToken token = 0;
  NodeId movingTo = kNoNode; ///< The next owner, set during a handover.
  std::string handover{};    ///< Data from the previous target for the next one; may be empty.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("owner", &PartitionGrant::owner), field("incarnation", &PartitionGrant::incarnation),
      field("token", &PartitionGrant::token), field("moving_to", &PartitionGrant::movingTo),
      field("handover", &PartitionGrant::handover));
  }
};

/// A hot key with a partition of its own, whose number is at or above the partition count.
struct Pin
{
  std::string service;
  std::string key;
  PartitionId partition = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(field("service", &Pin::service), field("key", &Pin::key),
                           field("partition", &Pin::partition));
  }
};

// Changes. Each one holds the complete new value of its object, except ConfigurationChanged.

struct FleetCreated
{
  static constexpr const char* kName = "fleet_born";
  std::uint32_t partitionCount = 0; ///< Number of partitions of each keyed service, without pins.
  static constexpr auto fields()
  {
    return std::make_tuple(field("partition_count", &FleetCreated::partitionCount));
  }
};

struct ServiceSet
{
  static constexpr const char* kName = "service_set";
  Service service;
  static constexpr auto fields() { return std::make_tuple(field("service", &ServiceSet::service)); }
};

struct ServiceRemoved
{
  static constexpr const char* kName = "service_removed";
  std::string name;
  static constexpr auto fields() { return std::make_tuple(field("name", &ServiceRemoved::name)); }
};

struct AccountSet
{
  static constexpr const char* kName = "account_set";
  Account account;
  static constexpr auto fields() { return std::make_tuple(field("account", &AccountSet::account)); }
};

struct AccountRemoved
{
  static constexpr const char* kName = "account_removed";
  std::string name;
  static constexpr auto fields() { return std::make_tuple(field("name", &AccountRemoved::name)); }
};

struct NodeSet
{
  static constexpr const char* kName = "node_set";
  Node node;
  static constexpr auto fields() { return std::make_tuple(field("node", &NodeSet::node)); }
};

struct NodeRemoved
{
  static constexpr const char* kName = "node_removed";
  NodeId id = kNoNode;
  static constexpr auto fields() { return std::make_tuple(field("id", &NodeRemoved::id)); }
};

struct ZoneSet
{
  static constexpr const char* kName = "zone_set";
  Zone zone;
  static constexpr auto fields() { return std::make_tuple(field("zone", &ZoneSet::zone)); }
};

/// Gives many partitions of one service the same grant. One change per owner keeps the message
/// small when a zone is lost (2,340 of 16,384 partitions).
struct PartitionsSet
{
  static constexpr const char* kName = "partitions_set";
  std::string service;
  PartitionGrant grant;
  std::vector<PartitionId> partitions;
  static constexpr auto fields()
  {
    return std::make_tuple(field("service", &PartitionsSet::service),
                           field("grant", &PartitionsSet::grant),
                           field("partitions", &PartitionsSet::partitions));
  }
};

struct PinSet
{
  static constexpr const char* kName = "pin_set";
  Pin pin;
  static constexpr auto fields() { return std::make_tuple(field("pin", &PinSet::pin)); }
};

struct PinRemoved
{
  static constexpr const char* kName = "pin_removed";
  std::string service;
  std::string key;
  static constexpr auto fields()
  {
    return std::make_tuple(field("service", &PinRemoved::service), field("key", &PinRemoved::key));
  }
};

/// Replaces all services, accounts and routes.
struct ConfigurationSet
{
  static constexpr const char* kName = "configuration_set";
  Configuration configuration;
  static constexpr auto fields()
  {
    return std::make_tuple(field("configuration", &ConfigurationSet::configuration));
  }
};

/// Identifies a route within a configuration.
struct RouteId
{
  std::string host;
  std::string pathPrefix;
  static constexpr auto fields()
  {
    return std::make_tuple(field("host", &RouteId::host),
                           field("path_prefix", &RouteId::pathPrefix));
  }
  bool operator<(const RouteId& aOther) const
  {
    return std::tie(host, pathPrefix) < std::tie(aOther.host, aOther.pathPrefix);
  }
};

/// Replaces the configuration by one that differs from it in some accounts and routes only. A
/// configuration may have thousands of routes, and most new versions change a few of them.
struct ConfigurationChanged
{
  static constexpr const char* kName = "configuration_changed";
  std::uint64_t fromVersion = 0; ///< Version that is replaced.
  Configuration next;            ///< Contains only the added and changed accounts and routes.
  std::vector<std::string> removedAccounts;
  std::vector<RouteId> removedRoutes;
  static constexpr auto fields()
  {
    return std::make_tuple(field("from_version", &ConfigurationChanged::fromVersion),
                           field("next", &ConfigurationChanged::next),
                           field("removed_accounts", &ConfigurationChanged::removedAccounts),
                           field("removed_routes", &ConfigurationChanged::removedRoutes));
  }
};

using Change = std::variant<FleetCreated, ServiceSet, ServiceRemoved, AccountSet, AccountRemoved,
                            NodeSet, NodeRemoved, ZoneSet, PartitionsSet, PinSet, PinRemoved,
                            ConfigurationSet, ConfigurationChanged>;

// Command bodies that operators issue.

struct CreateService
{
  static constexpr const char* kName = "create_service";
  Service service;
  static constexpr auto fields()
  {
    return std::make_tuple(field("service", &CreateService::service));
  }
};

/// Replaces the open routes of a service.
struct SetOpenRoutes
{
  static constexpr const char* kName = "set_open_routes";
  std::string service;
  std::vector<std::string> openRoutes;
  static constexpr auto fields()
  {
    return std::make_tuple(field("service", &SetOpenRoutes::service),
                           field("open_routes", &SetOpenRoutes::openRoutes));
  }
};

struct RemoveService
{
  static constexpr const char* kName = "remove_service";
  std::string service;
  static constexpr auto fields()
  {
    return std::make_tuple(field("service", &RemoveService::service));
  }
};

struct CreateAccount
{
  static constexpr const char* kName = "create_account";
  std::string account;
  double requestsPerSecond = 0;
  double burstRequests = 1;
  static constexpr auto fields()
  {
    return std::make_tuple(field("account", &CreateAccount::account),
                           field("requests_per_second", &CreateAccount::requestsPerSecond),
                           field("burst_requests", &CreateAccount::burstRequests));
  }
};

struct SetRate
{
  static constexpr const char* kName = "set_rate";
  std::string account;
  double requestsPerSecond = 0;
  double burstRequests = 1;
  static constexpr auto fields()
  {
    return std::make_tuple(field("account", &SetRate::account),
                           field("requests_per_second", &SetRate::requestsPerSecond),
                           field("burst_requests", &SetRate::burstRequests));
  }
};

struct RemoveAccount
{
  static constexpr const char* kName = "remove_account";
  std::string account;
  static constexpr auto fields()
  {
    return std::make_tuple(field("account", &RemoveAccount::account));
  }
};

/// Adds an account key by its digest. Only the operator and the caller know the key itself.
struct GrantAccountKey
{
  static constexpr const char* kName = "grant_key";
  std::string account;
  std::string keyName;
  std::string digest; ///< SHA-256, 64 lower-case hexadecimal digits.
  static constexpr auto fields()
  {
    return std::make_tuple(field("account", &GrantAccountKey::account),
                           field("key_name", &GrantAccountKey::keyName),
                           field("digest", &GrantAccountKey::digest));
  }
};

/// Removes an account key.
struct WithdrawAccountKey
{
  static constexpr const char* kName = "withdraw_key";
  std::string account;
  std::string keyName;
  static constexpr auto fields()
  {
    return std::make_tuple(field("account", &WithdrawAccountKey::account),
                           field("key_name", &WithdrawAccountKey::keyName));
  }
};

struct SetZone
{
  static constexpr const char* kName = "set_zone";
  std::string zone;
  bool isOut = false;
  bool isForced = false; ///< Applies even if a service is left without a node or the zone is empty.
  static constexpr auto fields()
  {
    return std::make_tuple(field("zone", &SetZone::zone), field("out", &SetZone::isOut),
                           field("forced", &SetZone::isForced));
  }
};

/// Replaces the configuration if baseVersion is the current version and the new version is higher.
/// The document that is already in force is accepted again, so that a resend succeeds.
struct ReplaceConfiguration
{
  static constexpr const char* kName = "replace_configuration";
  std::uint64_t baseVersion = 0;
  Configuration configuration;
  Bytes document; ///< The document as the operator sent it; reads return it unchanged.
  static constexpr auto fields()
  {
    return std::make_tuple(field("base_version", &ReplaceConfiguration::baseVersion),
                           field("configuration", &ReplaceConfiguration::configuration),
                           field("document", &ReplaceConfiguration::document));
  }
};

/// Retires a target, so that it receives no new requests, or restores it.
struct SetRetired
{
  static constexpr const char* kName = "set_retired";
  NodeId node = kNoNode;
  bool isRetired = false;
  static constexpr auto fields()
  {
    return std::make_tuple(field("node", &SetRetired::node),
                           field("retired", &SetRetired::isRetired));
  }
};

struct PinKey
{
  static constexpr const char* kName = "pin_key";
  std::string service;
  std::string key;
  NodeId node = kNoNode; ///< kNoNode: the placement chooses the node.
  static constexpr auto fields()
  {
    return std::make_tuple(field("service", &PinKey::service), field("key", &PinKey::key),
                           field("node", &PinKey::node));
  }
};

struct UnpinKey
{
  static constexpr const char* kName = "unpin_key";
  std::string service;
  std::string key;
  static constexpr auto fields()
  {
    return std::make_tuple(field("service", &UnpinKey::service), field("key", &UnpinKey::key));
  }
};

// Command bodies that the system issues.

/// The first command of a fleet. Later ones have no effect.
struct CreateFleet
{
  /// The encoded name differs from the type's name, because stored logs of earlier versions use it.
  static constexpr const char* kName = "bear_fleet";
  std::uint32_t partitionCount = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(field("partition_count", &CreateFleet::partitionCount));
  }
};

struct RegisterNode
{
  static constexpr const char* kName = "register_node";
  Node node;
  /// An incarnation that the daemon knows to have ended, because another process now uses the
  /// address of its target. The registration revokes its grants. 0 if there is none.
  Incarnation endedIncarnation = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(field("node", &RegisterNode::node),
                           field("ended_incarnation", &RegisterNode::endedIncarnation));
  }
};

struct SetNodeStatus
{
  static constexpr const char* kName = "set_node_status";
  NodeId node = kNoNode;
  Incarnation incarnation = 0;
  NodeStatus status = NodeStatus::Serving;
  static constexpr auto fields()
  {
    return std::make_tuple(field("node", &SetNodeStatus::node),
                           field("incarnation", &SetNodeStatus::incarnation),
                           field("status", &SetNodeStatus::status));
  }
};

/// Records that a process of the node's target is leaving, before the target is told so.
struct SetTargetLeaving
{
  static constexpr const char* kName = "set_target_leaving";
  NodeId node = kNoNode;
  TargetProcess process;
  static constexpr auto fields()
  {
    return std::make_tuple(field("node", &SetTargetLeaving::node),
                           field("process", &SetTargetLeaving::process));
  }
};

/// Declares an incarnation lost and revokes its grants. The leader proposes it after the lease has
/// expired. A daemon submits it for itself when it leaves after a drain and when the process of its
/// target has ended.
struct NodeLost
{
  static constexpr const char* kName = "node_lost";
  NodeId node = kNoNode;
  Incarnation incarnation = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(field("node", &NodeLost::node),
                           field("incarnation", &NodeLost::incarnation));
  }
};

/// Assigns unowned partitions to a node. Skips partitions that have an owner.
struct AssignPartitions
{
  static constexpr const char* kName = "assign";
  std::string service;
  NodeId node = kNoNode;
  Incarnation incarnation = 0;
  std::vector<PartitionId> partitions;
  static constexpr auto fields()
  {
    return std::make_tuple(field("service", &AssignPartitions::service),
                           field("node", &AssignPartitions::node),
                           field("incarnation", &AssignPartitions::incarnation),
                           field("partitions", &AssignPartitions::partitions));
  }
};

/// Requests that the owners of partitions hand them over to a node.
struct BeginPartitionMove
{
  static constexpr const char* kName = "begin_move";
  std::string service;
  NodeId to = kNoNode;
  std::vector<PartitionId> partitions;
  static constexpr auto fields()
  {
    return std::make_tuple(field("service", &BeginPartitionMove::service),
                           field("to", &BeginPartitionMove::to),
                           field("partitions", &BeginPartitionMove::partitions));
  }
};

/// A partition that its owner has stopped serving, with the token of the returned grant.
struct ReleasedGrant
{
  PartitionId partition = 0;
  FencingToken token = 0;
  std::string handover{}; ///< Data from the target for the next owner; may be empty.
  static constexpr auto fields()
  {
    return std::make_tuple(field("partition", &ReleasedGrant::partition),
                           field("token", &ReleasedGrant::token),
                           field("handover", &ReleasedGrant::handover));
  }
};

/// Command that gives back the grants of partitions that the owner has stopped serving. Each
/// partition goes to the node it moves to if that node still exists, and becomes unowned otherwise.
/// Grants with a stale token are skipped.
struct ReleasePartitions
{
  static constexpr const char* kName = "release";
  std::string service;
  NodeId node = kNoNode;
  Incarnation incarnation = 0;
  std::vector<ReleasedGrant> grants;
  static constexpr auto fields()
  {
    return std::make_tuple(field("service", &ReleasePartitions::service),
                           field("node", &ReleasePartitions::node),
                           field("incarnation", &ReleasePartitions::incarnation),
                           field("grants", &ReleasePartitions::grants));
  }
};

using CommandBody =
  std::variant<CreateService, SetOpenRoutes, RemoveService, CreateAccount, SetRate, RemoveAccount,
               GrantAccountKey, WithdrawAccountKey, SetZone, SetRetired, ReplaceConfiguration,
               PinKey, UnpinKey, CreateFleet, RegisterNode, SetNodeStatus, NodeLost,
               AssignPartitions, BeginPartitionMove, ReleasePartitions, SetTargetLeaving>;

/// Issuer of system commands.
constexpr const char* kSystemIssuer = "system";

/// Payload of a log entry. The bodies apply atomically: all of them or none.
struct Command
{
  std::string commandId;               ///< Empty for system commands, which are idempotent.
  std::string issuer;                  ///< Operator name or "system".
  std::int64_t issuedAtUnixMillis = 0; ///< Wall clock of the proposer, for the audit trail only.
  /// If set, the command is refused unless the last change by an operator has this revision.
  std::optional<Revision> expectedRevision;
  std::vector<CommandBody> bodies;
  /// If set, the command is refused once an operator's command about the same objects was accepted
  /// after this revision. A copy that was held up on its way can't undo a later command then.
  std::optional<Revision> notAfter{};
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("command_id", &Command::commandId), field("issuer", &Command::issuer),
      field("issued_at_unix_ms", &Command::issuedAtUnixMillis),
      field("expected_revision", &Command::expectedRevision), field("bodies", &Command::bodies),
      field("not_after", &Command::notAfter));
  }
};

/// Result of a command. It is the same on every member and after every restart.
struct CommandResult
{
  ErrorCode code = ErrorCode::None; ///< None: accepted.
  std::string message;              ///< The current state that caused a refusal.
  Revision revision = 0;            ///< Revision of the accepted change, or of the refusing state.
  static constexpr auto fields()
  {
    return std::make_tuple(field("code", &CommandResult::code),
                           field("message", &CommandResult::message),
                           field("revision", &CommandResult::revision));
  }
};

} // namespace camphorcleat::wire

namespace camphorcleat {

template<>
struct EnumNames<wire::GrantMode>
{
  static constexpr EnumName<wire::GrantMode> kTable[] = {
    { wire::GrantMode::Heartbeat, "heartbeat" },
    { wire::GrantMode::Call, "call" },
  };
};

template<>
struct EnumNames<wire::NodeStatus>
{
  static constexpr EnumName<wire::NodeStatus> kTable[] = {
    { wire::NodeStatus::Serving, "serving" },
    { wire::NodeStatus::Draining, "draining" },
    { wire::NodeStatus::TargetDown, "target_down" },
    { wire::NodeStatus::Lost, "lost" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_WIRE_FLEETMESSAGES_H_
