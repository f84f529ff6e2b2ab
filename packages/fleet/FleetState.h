// The replicated state machine: applies commands in log order on every control member.
//
// All decisions about a command are made when its log entry is applied, so that every member
// computes the same result, also after a restart or from a snapshot. No decision depends on time,
// random numbers or the iteration order of a hash table.

#ifndef CAMPHORCLEAT_FLEET_FLEETSTATE_H_
#define CAMPHORCLEAT_FLEET_FLEETSTATE_H_

#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/AuditRecord.h"
#include "fleet/CommandHistory.h"
#include "fleet/CommandRules.h"
#include "fleet/FleetModel.h"

namespace camphorcleat::fleet {

/// Maximum number of audit records in the state; older ones are only in the AuditTrail files.
constexpr std::size_t kMaxRecentAuditRecords = 1024;

/// Error of dryRun(): the command would be refused.
struct CommandRefused
{
  wire::CommandResult result;
};

/// Error of restoreSnapshot(): the snapshot is invalid.
struct SnapshotDamaged
{
  static constexpr ErrorCode kCode = ErrorCode::DecodeFailed;
  std::string reason;
  std::string message() const { return "the fleet snapshot is damaged: " + reason; }
};

/// Outcome of applying one command.
struct AppliedCommand
{
  wire::CommandResult result;
  std::vector<wire::Change> changes; ///< In order, for publishing to daemons.
  std::vector<AuditRecord> audit;    ///< For the audit trail; empty for a resent command.
};

/// Not thread-safe.
class FleetState
{
public:
  using PinName = std::pair<std::string, std::string>; ///< Service and key.

  /// Applies the command of one log entry. aRevision must be greater than revision(). Commands with
  /// a command id come from operators, all others from the system. A refused command changes
  /// nothing, with one exception: an UnpinKey as the only body may be refused with InvalidCommand
  /// and still start the move that must end before the pin can be removed.
  AppliedCommand apply(Revision aRevision, const wire::Command& aCommand);

  /// Advances the revision past a log entry without a command. aRevision must be greater than
  /// revision().
  void skipEntry(Revision aRevision) { mRevision = aRevision; }

  /// Returns the changes that a command would make to the current state; none if it was accepted
  /// before. Fails with CommandRefused, also if the command id was used for another command.
  Result<std::vector<wire::Change>> dryRun(const wire::Command& aCommand) const;

  const FleetModel& model() const { return mModel; }

  /// Returns the revision of the last applied entry.
  Revision revision() const { return mRevision; }

  /// Returns the revision of the last accepted operators' command, or 0.
  Revision operatorRevision() const { return mOperatorRevision; }

  /// Returns the operators' document of the current configuration; empty if none was set.
  const std::string& document() const { return mConfigurationDocument; }

  /// Returns the latest audit records, oldest first; at most kMaxRecentAuditRecords.
  const std::deque<AuditRecord>& recentAudit() const { return mAudit; }

  /// Returns the pins that operators created. The hot-key policy does not remove them.
  const std::set<PinName>& operatorPins() const { return mOperatorPins; }

  /// Returns the whole state with a checksum. Equal states have equal encodings.
  std::string encodeSnapshot() const;

  /// Replaces the state. Fails with SnapshotDamaged or DecodeError and then leaves it unchanged.
  Result<void> restoreSnapshot(const std::string& aBytes);

private:
  CommandRules::Verdict checkCommand(const wire::Command& aCommand) const;
  Revision latestCommandLike(const wire::Command& aCommand) const;
  CommandRules::Verdict applyBodies(Revision aRevision, const wire::Command& aCommand,
                                    AppliedCommand& aOut);
  CommandRules::Verdict applyBody(Revision aRevision, const wire::Command& aCommand,
                                  const wire::CommandBody& aBody, AppliedCommand& aOut);
  void updateOperatorPins(const wire::Command& aCommand, const wire::CommandBody& aBody);
  void recordResult(Revision aRevision, const wire::Command& aCommand,
                    const CommandRules::Verdict& aVerdict, AppliedCommand& aOut);
  void setDuplicateResult(const wire::Command& aCommand, const RecordedCommand& aFirst,
                          AppliedCommand& aOut);
  void addRefusalRecord(const wire::Command& aCommand, ErrorCode aCode, std::size_t aBody,
                        AppliedCommand& aOut) const;
  void appendRecentAudit(const AppliedCommand& aApplied);

  FleetModel mModel;
  Revision mRevision = 0;
  Revision mOperatorRevision = 0;
  CommandHistory mHistory;
  std::set<PinName> mOperatorPins;
  std::string mConfigurationDocument;
  std::deque<AuditRecord> mAudit;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_FLEETSTATE_H_
