// Objects of the fleet, changes to them, and the commands that ask for changes.
//
// A Command is what an operator or a daemon asks for; it is the payload of a log entry. Applying it
// yields Changes, which the daemons follow in the order of their revisions.

#ifndef CAMPHORCLEAT_WIRE_FLEETMESSAGES_H_
#define CAMPHORCLEAT_WIRE_FLEETMESSAGES_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/Codec.h"

namespace camphorcleat::wire {

/// A service that targets offer.
struct Service
{
  std::string name;
  bool isKeyed = true;                 ///< Whether requests carry a key.
  std::vector<std::string> openRoutes; ///< Path prefixes that need no account key.
  /// Keys are numbers from 0 to 65535 and a partition is a contiguous range of them. Otherwise a
  /// key is a text and its hash decides.
  bool isRanged = false;
  double coldRequestsPerSecond = 0; ///< Most that a cold target bears; 0: its slots decide.
  static constexpr auto fields()
  {
    return std::make_tuple(field("name", &Service::name), field("keyed", &Service::isKeyed),
                           field("open_routes", &Service::openRoutes),
                           field("ranged", &Service::isRanged),
                           field("cold_requests_per_second", &Service::coldRequestsPerSecond));
  }
};

/// A client account with its rate over the whole fleet.
struct Account
{
  std::string name;
  double requestsPerSecond = 0; ///< 0 in a configuration: no limit.
  double burstRequests = 1;
  std::map<std::string, std::string> keyDigests; ///< Key name to SHA-256 of the account key.
  std::optional<std::uint32_t> priority{};       ///< Takes precedence over the route's.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("name", &Account::name), field("requests_per_second", &Account::requestsPerSecond),
      field("burst_requests", &Account::burstRequests), field("key_digests", &Account::keyDigests),
      field("priority", &Account::priority));
  }
};

/// One of the services that a route is split between.
struct RoutePart
{
  std::string service;
  double weight = 1;
  static constexpr auto fields()
  {
    return std::make_tuple(field("service", &RoutePart::service),
                           field("weight", &RoutePart::weight));
  }
};

/// Which service runs the requests of a host under a path prefix, and how.
struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix;
  bool isIdempotent = false;
  Millis timeout{ 0 };        ///< Longest time that a caller waits.
  Millis objective{ 0 };      ///< Time within which an answer has its full value.
  std::uint32_t priority = 0; ///< 0 is the highest.
  std::vector<RoutePart> parts;
  std::uint32_t maxAttempts = 1; ///< Targets that one request may be sent to.
  bool isOpen = false;           ///< Needs no account key.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("name", &Route::name), field("host", &Route::host),
      field("path_prefix", &Route::pathPrefix), field("idempotent", &Route::isIdempotent),
      field("timeout_ms", &Route::timeout), field("objective_ms", &Route::objective),
      field("priority", &Route::priority), field("parts", &Route::parts),
      field("max_attempts", &Route::maxAttempts), field("open", &Route::isOpen));
  }
};

/// What a caller may send, and how long it may take. Where one is missing, the daemon's own
/// applies.
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

/// Services, accounts and routes that are replaced as a whole. Version 0: none was set.
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

/// What a target says of itself, passed on by the daemon beside it.
struct Announcement
{
  std::string service;
  std::uint32_t slots = 1;     ///< Requests it can run at once when warm.
  std::uint32_t coldSlots = 1; ///< Requests it can run at once right after a cold start.
  Millis warmUp{ 0 };
  bool checksGrants = false;            ///< Whether it refuses work without a live fenced grant.
  std::string instance{};               ///< Name of the target's process; empty if it has none.
  std::int64_t startedAtUnixMillis = 0; ///< Tells two processes of one name apart.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("service", &Announcement::service), field("slots", &Announcement::slots),
      field("cold_slots", &Announcement::coldSlots), field("warm_up_ms", &Announcement::warmUp),
      field("checks_grants", &Announcement::checksGrants),
      field("instance", &Announcement::instance),
      field("started_at_unix_ms", &Announcement::startedAtUnixMillis));
  }
};

/// Whether a node may own keys and receive new work.
enum class NodeStatus
{
  Serving,  ///< Takes work.
  Draining, ///< Hands its partitions over and takes no new work.
  TargetDown,
  Lost, ///< Its lease ran out; its incarnation never serves again.
};

/// One daemon and the target beside it.
struct Node
{
  NodeId id = kNoNode;
  Incarnation incarnation = 0;
  std::string zone;
  std::string peerAddress; ///< "ip:port" for other daemons.
  NodeStatus status = NodeStatus::Serving;
  bool hasTarget = true;
  bool isRetired = false; ///< An operator retired its target.
  Announcement target;
  Revision registeredAt = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(field("id", &Node::id), field("incarnation", &Node::incarnation),
                           field("zone", &Node::zone), field("peer_address", &Node::peerAddress),
                           field("status", &Node::status), field("has_target", &Node::hasTarget),
                           field("retired", &Node::isRetired), field("target", &Node::target),
                           field("registered_at", &Node::registeredAt));
  }
};

/// Whether operators let an availability zone take work.
struct Zone
{
  std::string name;
  bool isOut = false;
  static constexpr auto fields()
  {
    return std::make_tuple(field("name", &Zone::name), field("out", &Zone::isOut));
  }
};

/// Who owns one partition of one service.
struct PartitionGrant
{
  NodeId owner = kNoNode;
  Incarnation incarnation = 0;
  FencingToken token = 0;
  NodeId movingTo = kNoNode; ///< Set while the owner hands the partition over.
  std::string handover{};    ///< What the target before gave for the next one; may be empty.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("owner", &PartitionGrant::owner), field("incarnation", &PartitionGrant::incarnation),
      field("token", &PartitionGrant::token), field("moving_to", &PartitionGrant::movingTo),
      field("handover", &PartitionGrant::handover));
  }
};

/// A hot key with a partition number of its own, at or above the partition count.
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

// Changes. Each one states the whole new value of its object.

struct FleetBorn
{
  static constexpr const char* kName = "fleet_born";
  std::uint32_t partitionCount = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(field("partition_count", &FleetBorn::partitionCount));
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

/// Many partitions of one service get the same grant. One change per owner keeps the loss of a zone
/// (2,340 of 16,384 partitions) small on the wire.
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

/// Replaces all services and accounts, and the routes.
struct ConfigurationSet
{
  static constexpr const char* kName = "configuration_set";
  Configuration configuration;
  static constexpr auto fields()
  {
    return std::make_tuple(field("configuration", &ConfigurationSet::configuration));
  }
};

using Change =
  std::variant<FleetBorn, ServiceSet, ServiceRemoved, AccountSet, AccountRemoved, NodeSet,
               NodeRemoved, ZoneSet, PartitionsSet, PinSet, PinRemoved, ConfigurationSet>;

// Requests for a change, by operators.

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

/// Adds an account key by its digest; the key itself is only known to the operator and the caller.
struct GrantKey
{
  static constexpr const char* kName = "grant_key";
  std::string account;
  std::string keyName;
  std::string digest; ///< SHA-256, 64 lower-case hexadecimal digits.
  static constexpr auto fields()
  {
    return std::make_tuple(field("account", &GrantKey::account),
                           field("key_name", &GrantKey::keyName),
                           field("digest", &GrantKey::digest));
  }
};

struct WithdrawKey
{
  static constexpr const char* kName = "withdraw_key";
  std::string account;
  std::string keyName;
  static constexpr auto fields()
  {
    return std::make_tuple(field("account", &WithdrawKey::account),
                           field("key_name", &WithdrawKey::keyName));
  }
};

struct SetZone
{
  static constexpr const char* kName = "set_zone";
  std::string zone;
  bool isOut = false;
  bool isForced = false; ///< Also if a service is left without a node, or no node is in the zone.
  static constexpr auto fields()
  {
    return std::make_tuple(field("zone", &SetZone::zone), field("out", &SetZone::isOut),
                           field("forced", &SetZone::isForced));
  }
};

/// Replaces the configuration if baseVersion is the present one and the new version is higher. The
/// document that is in force already is accepted again.
struct ReplaceConfiguration
{
  static constexpr const char* kName = "replace_configuration";
  std::uint64_t baseVersion = 0;
  Configuration configuration;
  Bytes document; ///< What the operator sent; it is read back unchanged.
  static constexpr auto fields()
  {
    return std::make_tuple(field("base_version", &ReplaceConfiguration::baseVersion),
                           field("configuration", &ReplaceConfiguration::configuration),
                           field("document", &ReplaceConfiguration::document));
  }
};

/// Retires a target, or takes it back.
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
  NodeId node = kNoNode; ///< kNoNode lets the placement choose.
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

// Requests for a change, by the system itself.

/// First entry of a fleet. Later ones are ignored.
struct BearFleet
{
  static constexpr const char* kName = "bear_fleet";
  std::uint32_t partitionCount = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(field("partition_count", &BearFleet::partitionCount));
  }
};

struct RegisterNode
{
  static constexpr const char* kName = "register_node";
  Node node;
  /// An incarnation that the daemon knows to have ended, because another process has taken its
  /// target's address. Its grants end with the registration; 0 if there is none.
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

/// Proposed by the leader after the lease of an incarnation has run out.
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

/// Gives partitions without an owner to a node. Partitions that have one are skipped.
struct Assign
{
  static constexpr const char* kName = "assign";
  std::string service;
  NodeId node = kNoNode;
  Incarnation incarnation = 0;
  std::vector<PartitionId> partitions;
  static constexpr auto fields()
  {
    return std::make_tuple(field("service", &Assign::service), field("node", &Assign::node),
                           field("incarnation", &Assign::incarnation),
                           field("partitions", &Assign::partitions));
  }
};

/// Asks the owners of partitions to hand them over to a node.
struct BeginMove
{
  static constexpr const char* kName = "begin_move";
  std::string service;
  NodeId to = kNoNode;
  std::vector<PartitionId> partitions;
  static constexpr auto fields()
  {
    return std::make_tuple(field("service", &BeginMove::service), field("to", &BeginMove::to),
                           field("partitions", &BeginMove::partitions));
  }
};

/// One partition whose owner has stopped, named by the grant that it gives back.
struct ReleasedGrant
{
  PartitionId partition = 0;
  FencingToken token = 0;
  std::string handover{}; ///< What the target gave for the next owner; may be empty.
  static constexpr auto fields()
  {
    return std::make_tuple(field("partition", &ReleasedGrant::partition),
                           field("token", &ReleasedGrant::token),
                           field("handover", &ReleasedGrant::handover));
  }
};

/// Sent by an owner that has stopped all work on partitions. They go to the node they move to if it
/// is still there, and are left without an owner otherwise. A stale token is skipped.
struct Release
{
  static constexpr const char* kName = "release";
  std::string service;
  NodeId node = kNoNode;
  Incarnation incarnation = 0;
  std::vector<ReleasedGrant> grants;
  static constexpr auto fields()
  {
    return std::make_tuple(field("service", &Release::service), field("node", &Release::node),
                           field("incarnation", &Release::incarnation),
                           field("grants", &Release::grants));
  }
};

using CommandBody =
  std::variant<CreateService, SetOpenRoutes, RemoveService, CreateAccount, SetRate, RemoveAccount,
               GrantKey, WithdrawKey, SetZone, SetRetired, ReplaceConfiguration, PinKey, UnpinKey,
               BearFleet, RegisterNode, SetNodeStatus, NodeLost, Assign, BeginMove, Release>;

/// Issuer of the system's own commands.
constexpr const char* kSystemIssuer = "system";

/// Payload of a log entry. Several bodies apply as one: all of them or none.
struct Command
{
  std::string commandId; ///< Empty for the system's own commands, which are idempotent.
  std::string issuer;    ///< Operator name or "system".
  std::int64_t issuedAtUnixMillis = 0; ///< Wall clock of the proposer, for the audit trail only.
  std::optional<Revision> expectedRevision;
  std::vector<CommandBody> bodies;
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("command_id", &Command::commandId), field("issuer", &Command::issuer),
      field("issued_at_unix_ms", &Command::issuedAtUnixMillis),
      field("expected_revision", &Command::expectedRevision), field("bodies", &Command::bodies));
  }
};

/// Answer to a command, the same from every member and after every restart.
struct CommandResult
{
  ErrorCode code = ErrorCode::None; ///< None: accepted.
  std::string message;              ///< What holds instead, if refused.
  Revision revision = 0;            ///< Revision of the accepted change, or of what holds.
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
