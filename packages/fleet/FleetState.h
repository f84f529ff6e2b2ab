// The replicated state machine: applies commands in log order, the same on every control member.
//
// All decisions about a command are made here, when its entry is applied, so that every member
// gives the same result, also after a restart or from a snapshot. Nothing depends on time, on
// random numbers or on the order of a hash table.

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

/// Most audit records that the state itself keeps; older ones are in the audit trail's file.
constexpr std::size_t kMaxRecentAuditRecords = 1024;

/// A command that would be refused.
struct CommandRefused
{
  wire::CommandResult result;
};

/// A snapshot that can't be restored.
struct SnapshotDamaged
{
  static constexpr ErrorCode kCode = ErrorCode::DecodeFailed;
  std::string reason;
  std::string message() const { return "the fleet snapshot is damaged: " + reason; }
};

/// What the application of one command did.
struct AppliedCommand
{
  wire::CommandResult result;
  std::vector<wire::Change> changes; ///< In order; for the daemons.
  std::vector<AuditRecord> audit;    ///< For the audit trail; empty for a resent command.
};

/// Not thread-safe.
class FleetState
{
public:
  using PinName = std::pair<std::string, std::string>; ///< Service and key.

  /// Applies the command of one log entry. aRevision must be greater than revision(). Commands with
  /// a command id are operators' commands; all others are the system's. A refused command changes
  /// nothing, with one exception: UnpinKey as the only body is refused with InvalidCommand while it
  /// starts the move that has to come first.
  AppliedCommand apply(Revision aRevision, const wire::Command& aCommand);

  /// Notes a log entry that holds no command. aRevision must be greater than revision().
  void skipEntry(Revision aRevision) { mRevision = aRevision; }

  /// The changes that a command would make now. Fails with CommandRefused, also if the command id
  /// was used before.
  Result<std::vector<wire::Change>> dryRun(const wire::Command& aCommand) const;

  const FleetModel& model() const { return mModel; }

  /// Revision of the last applied entry.
  Revision revision() const { return mRevision; }

  /// Revision of the last accepted operators' command; 0 if there is none.
  Revision operatorRevision() const { return mOperatorRevision; }

  /// The operators' document of the configuration in force; empty if none was set.
  const std::string& document() const { return mConfigurationDocument; }

  /// The latest audit records, oldest first; at most kMaxRecentAuditRecords.
  const std::deque<AuditRecord>& recentAudit() const { return mAudit; }

  /// Pins that operators made. The hot-key policy leaves them alone.
  const std::set<PinName>& operatorPins() const { return mOperatorPins; }

  /// The whole state with a checksum. Equal states give equal bytes.
  std::string encodeSnapshot() const;

  /// Replaces the state. Fails with SnapshotDamaged or DecodeError and then changes nothing.
  Result<void> restoreSnapshot(const std::string& aBytes);

private:
  CommandRules::Verdict checkCommand(const wire::Command& aCommand) const;
  CommandRules::Verdict applyBodies(Revision aRevision, const wire::Command& aCommand,
                                    AppliedCommand& aOut);
  CommandRules::Verdict applyBody(Revision aRevision, const wire::Command& aCommand,
                                  const wire::CommandBody& aBody, AppliedCommand& aOut);
  void updateOperatorPins(const wire::Command& aCommand, const wire::CommandBody& aBody);
  void recordResult(Revision aRevision, const wire::Command& aCommand,
                    const CommandRules::Verdict& aVerdict, AppliedCommand& aOut);
  void answerDuplicate(const wire::Command& aCommand, const RecordedCommand& aFirst,
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
