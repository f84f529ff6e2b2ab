// Validates one command body against the current state and computes the changes that it makes, or
// the reason of its refusal.
//
// The rules only read the model. FleetState applies the collected changes afterwards, so a refused
// body has no effect. The rules are implemented in OperatorRules.cc, ConfigurationRules.cc and
// SystemRules.cc.

#ifndef CAMPHORCLEAT_FLEET_COMMANDRULES_H_
#define CAMPHORCLEAT_FLEET_COMMANDRULES_H_

#include <optional>
#include <string>
#include <vector>

#include "fleet/FleetModel.h"

namespace camphorcleat::fleet {

/// The reason why a body is refused.
struct Refusal
{
  ErrorCode code = ErrorCode::Internal;
  std::string message; ///< Recorded with the result of the command in the replicated state.
  /// Whether the changes are applied although the body is refused. Only UnpinKey uses this: it
  /// starts the move that must end before the pin can be removed.
  bool appliesChanges = false;
};

/// Limits of the replicated state, well above the design size (R37). They prevent a faulty script
/// from exhausting the memory of every daemon.
constexpr std::size_t kMaxServices = 256;
constexpr std::size_t kMaxAccounts = 20000;
constexpr std::size_t kMaxKeysPerAccount = 16;
constexpr std::size_t kMaxNodes = 4096;
constexpr std::size_t kMaxOpenRoutes = 64;
constexpr std::size_t kMaxPinnedKeyBytes = 512;
constexpr std::uint32_t kMaxPartitions = 1U << 20U;

/// Returns whether a name matches [a-z0-9][a-z0-9._-]{0,62}. Thread-safe.
bool isValidName(const std::string& aName);

/// Returns whether operators may send the body. Thread-safe.
bool isOperatorBody(const wire::CommandBody& aBody);

/// Visitor of command bodies, constructed for each decision. Not thread-safe.
class CommandRules
{
public:
  /// aModel and aOut must outlive the rules. aRevision becomes the fencing token of new grants.
  CommandRules(const FleetModel& aModel, Revision aRevision, std::vector<wire::Change>& aOut);

  using Verdict = std::optional<Refusal>; ///< nullopt if accepted.

  /// Appends the body's changes to the output, or returns the reason of the refusal.
  Verdict decide(const wire::CommandBody& aBody);

  Verdict operator()(const wire::CreateService& aBody);
  Verdict operator()(const wire::SetOpenRoutes& aBody);
  Verdict operator()(const wire::RemoveService& aBody);
  Verdict operator()(const wire::CreateAccount& aBody);
  Verdict operator()(const wire::SetRate& aBody);
  Verdict operator()(const wire::RemoveAccount& aBody);
  Verdict operator()(const wire::GrantAccountKey& aBody);
  Verdict operator()(const wire::WithdrawAccountKey& aBody);
  Verdict operator()(const wire::SetZone& aBody);
  Verdict operator()(const wire::SetRetired& aBody);
  Verdict operator()(const wire::ReplaceConfiguration& aBody);
  Verdict operator()(const wire::PinKey& aBody);
  Verdict operator()(const wire::UnpinKey& aBody);
  Verdict operator()(const wire::CreateFleet& aBody);
  Verdict operator()(const wire::RegisterNode& aBody);
  Verdict operator()(const wire::SetNodeStatus& aBody);
  Verdict operator()(const wire::SetTargetLeaving& aBody);
  Verdict operator()(const wire::NodeLost& aBody);
  Verdict operator()(const wire::AssignPartitions& aBody);
  Verdict operator()(const wire::BeginPartitionMove& aBody);
  Verdict operator()(const wire::ReleasePartitions& aBody);

private:
  const wire::Service* keyedService(const std::string& aName) const;
  Verdict checkZoneRemovable(const std::string& aZone) const;
  Verdict checkPin(const wire::PinKey& aBody) const;
  Verdict checkReceiver(const std::string& aService, NodeId aNode) const;
  Verdict checkIncarnation(NodeId aNode, Incarnation aIncarnation) const;
  std::optional<PartitionId> findFreePinSlot(const std::string& aService) const;
  bool isPartitionInUse(const std::string& aService, PartitionId aPartition) const;
  void removePin(const wire::Pin& aPin);
  void evictLostNodeIfFull();
  void releaseAllGrants(NodeId aNode);
  void setGrant(const std::string& aService, PartitionId aPartition,
                const wire::PartitionGrant& aGrant);

  const FleetModel& mModel;
  const Revision mRevision;
  std::vector<wire::Change>& mOut;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_COMMANDRULES_H_
