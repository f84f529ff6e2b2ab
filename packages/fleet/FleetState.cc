// Checks in this order: duplicate command id, format of the command, expected revision, each body.

#include "fleet/FleetState.h"

#include <algorithm>
#include <string_view>

#include "base/Hash.h"
#include "fleet/AuditText.h"
#include "fleet/LengthPrefix.h"
#include "wire/WireCodec.h"

namespace camphorcleat::fleet {

namespace {

constexpr std::size_t kMaxCommandIdBytes = 128;
constexpr std::size_t kMaxIssuerBytes = 64;
constexpr std::size_t kMaxAuditObjectBytes = 640; // Long enough for the service and key of a pin.
constexpr std::size_t kMaxMessageBytes = 1024;
constexpr std::string_view kSnapshotFormat = "camphorcleat fleet 1";

// The fields of a snapshot other than changes and recorded commands, which are encoded separately.
struct SnapshotHead
{
  Revision revision = 0;
  Revision operatorRevision = 0;
  std::vector<wire::Pin> operatorPins; ///< Service and key only.
  std::vector<AuditRecord> audit;
  Bytes document;
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("document", &SnapshotHead::document), field("revision", &SnapshotHead::revision),
      field("operator_revision", &SnapshotHead::operatorRevision),
      field("operator_pins", &SnapshotHead::operatorPins), field("audit", &SnapshotHead::audit));
  }
};

Refusal refuse(ErrorCode aCode, std::string aMessage)
{
  return Refusal{ aCode, std::move(aMessage), false };
}

bool isPlainText(const std::string& aText, std::size_t aMaxBytes)
{
  return aText.size() <= aMaxBytes && std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return aChar >= ' ' && aChar < '\x7f';
         });
}

std::string summaryOf(const wire::Command& aCommand)
{
  std::string out = bodyKind(aCommand.bodies.front()) + " " +
                    bodyObject(aCommand.bodies.front()).substr(0, kMaxAuditObjectBytes);
  if (aCommand.bodies.size() > 1) {
    out += " and " + std::to_string(aCommand.bodies.size() - 1) + " more";
  }
  return out + " by '" + aCommand.issuer + "'";
}

AuditRecord auditRecordOf(Revision aRevision, const wire::Command& aCommand,
                          const wire::CommandBody& aBody)
{
  AuditRecord out;
  out.revision = aRevision;
  out.atUnixMillis = aCommand.issuedAtUnixMillis;
  out.issuer = aCommand.issuer;
  out.commandId = aCommand.commandId;
  out.kind = bodyKind(aBody);
  out.object = bodyObject(aBody).substr(0, kMaxAuditObjectBytes);
  return out;
}

// Lookups require a grant for each pin, which an invalid snapshot may lack.
Result<void> checkModel(const FleetModel& aModel)
{
  for (const auto& [name, pin] : aModel.pins()) {
    if (pin.partition < aModel.partitionCount() ||
        aModel.grant(pin.service, pin.partition) == nullptr) {
      return fail(SnapshotDamaged{ "a pin has no grant" });
    }
  }
  for (const auto& service : aModel.grantedServices()) {
    if (aModel.grants(service).size() < aModel.partitionCount()) {
      return fail(SnapshotDamaged{ "service '" + service + "' lacks partitions" });
    }
  }
  return {};
}

// Verifies format and checksum and returns the remaining bytes: head, changes, recorded commands.
Result<std::string_view> checkSnapshotHeader(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(format, readLengthPrefixed(aBytes));
  BOOST_LEAF_AUTO(checksum, readLengthPrefixed(aBytes));
  if (format != kSnapshotFormat) {
    return fail(SnapshotDamaged{ "its format is unknown" });
  }
  if (checksum != std::to_string(hash64(aBytes))) {
    return fail(SnapshotDamaged{ "the checksum does not match" });
  }
  return aBytes;
}

} // namespace

AppliedCommand FleetState::apply(Revision aRevision, const wire::Command& aCommand)
{
  AppliedCommand out;
  mRevision = aRevision;
  const auto first =
    mHistory.find(aCommand.commandId); // Commands with an empty id are not recorded.
  if (first) {
    setDuplicateResult(aCommand, *first, out);
  } else {
    CommandRules::Verdict verdict = checkCommand(aCommand);
    if (verdict) {
      addRefusalRecord(aCommand, verdict->code, 0, out);
    } else {
      verdict = applyBodies(aRevision, aCommand, out);
    }
    recordResult(aRevision, aCommand, verdict, out);
  }
  appendRecentAudit(out);
  return out;
}

void FleetState::setDuplicateResult(const wire::Command& aCommand, const RecordedCommand& aFirst,
                                    AppliedCommand& aOut)
{
  if (isSameCommand(aFirst, aCommand)) {
    aOut.result = aFirst.result;
    return;
  }
  aOut.result = { ErrorCode::CommandIdConflict,
                  "command id '" + aCommand.commandId + "' was used for another command: " +
                    aFirst.summary + ", with code " + std::string(enumName(aFirst.result.code)) +
                    " at revision " + std::to_string(aFirst.result.revision),
                  aFirst.result.revision };
  addRefusalRecord(aCommand, aOut.result.code, 0, aOut);
}

CommandRules::Verdict FleetState::checkCommand(const wire::Command& aCommand) const
{
  if (!isPlainText(aCommand.commandId, kMaxCommandIdBytes) ||
      !isPlainText(aCommand.issuer, kMaxIssuerBytes)) {
    return refuse(ErrorCode::InvalidCommand, "a command id has at most 128 and an issuer at most "
                                             "64 printable ASCII characters");
  }
  if (aCommand.bodies.empty()) {
    return refuse(ErrorCode::InvalidCommand, "the command asks for nothing");
  }
  const bool hasConfiguration =
    std::any_of(aCommand.bodies.begin(), aCommand.bodies.end(), [](const wire::CommandBody& aBody) {
      return std::holds_alternative<wire::ReplaceConfiguration>(aBody);
    });
  if (hasConfiguration && aCommand.bodies.size() > 1) {
    return refuse(ErrorCode::InvalidCommand, "a configuration needs a command of its own");
  }
  if (aCommand.commandId.empty() && !aCommand.issuer.empty() &&
      aCommand.issuer != wire::kSystemIssuer) {
    return refuse(ErrorCode::InvalidCommand, "an operator's command needs a command id");
  }
  const bool isAllowed =
    aCommand.commandId.empty() ||
    std::all_of(aCommand.bodies.begin(), aCommand.bodies.end(), isOperatorBody);
  if (!isAllowed) {
    return refuse(ErrorCode::InvalidCommand, "only the system itself may send this command");
  }
  if (aCommand.expectedRevision && *aCommand.expectedRevision != mOperatorRevision) {
    return refuse(ErrorCode::RevisionConflict, "expected revision " +
                                                 std::to_string(*aCommand.expectedRevision) +
                                                 ", but the last operators' change has revision " +
                                                 std::to_string(mOperatorRevision));
  }
  if (aCommand.notAfter && latestCommandLike(aCommand) > *aCommand.notAfter) {
    return refuse(ErrorCode::Superseded, "a later command was accepted at revision " +
                                           std::to_string(latestCommandLike(aCommand)));
  }
  return std::nullopt;
}

// Returns the revision of the latest accepted operators' command about the same zones, or of any if
// the command isn't about zones only.
Revision FleetState::latestCommandLike(const wire::Command& aCommand) const
{
  Revision out = 0;
  for (const auto& it : aCommand.bodies) {
    const auto* order = std::get_if<wire::SetZone>(&it);
    if (order == nullptr) {
      return mOperatorRevision;
    }
    const auto zone = mModel.zones().find(order->zone);
    out = std::max(out, zone == mModel.zones().end() ? 0 : zone->second.orderedAt);
  }
  return out;
}

// Each body is applied before the next one is checked, so the model is copied to restore it if a
// later body is refused. A single body needs no copy, because the rules do not modify the model. A
// copy takes about 0.5 MB per keyed service at 16,384 partitions.
CommandRules::Verdict FleetState::applyBodies(Revision aRevision, const wire::Command& aCommand,
                                              AppliedCommand& aOut)
{
  if (aCommand.bodies.size() == 1) {
    CommandRules::Verdict verdict = applyBody(aRevision, aCommand, aCommand.bodies.front(), aOut);
    if (verdict) {
      addRefusalRecord(aCommand, verdict->code, 0, aOut);
    }
    return verdict;
  }
  const FleetModel before = mModel;
  const std::set<PinName> pinsBefore = mOperatorPins;
  for (std::size_t i = 0; i < aCommand.bodies.size(); ++i) {
    if (auto verdict = applyBody(aRevision, aCommand, aCommand.bodies[i], aOut)) {
      mModel = before;
      mOperatorPins = pinsBefore;
      aOut = AppliedCommand();
      addRefusalRecord(aCommand, verdict->code, i, aOut);
      verdict->message = "statement " + std::to_string(i + 1) + ": " + verdict->message;
      return verdict;
    }
  }
  return std::nullopt;
}

CommandRules::Verdict FleetState::applyBody(Revision aRevision, const wire::Command& aCommand,
                                            const wire::CommandBody& aBody, AppliedCommand& aOut)
{
  std::vector<wire::Change> changes;
  auto verdict = CommandRules(mModel, aRevision, changes).decide(aBody);
  if (verdict && (!verdict->appliesChanges || aCommand.bodies.size() > 1)) {
    if (verdict->appliesChanges) {
      verdict->message = "the pin must move first; ask to unpin it in a command of its own";
    }
    return verdict;
  }
  AuditRecord record = auditRecordOf(aRevision, aCommand, aBody);
  record.before = bodyValue(mModel, aBody);
  for (const auto& it : changes) {
    mModel.apply(it);
  }
  record.after = bodyValue(mModel, aBody);
  // The system repeats its idempotent commands; repetitions without changes are not audited.
  if (!verdict && (!changes.empty() || !aCommand.commandId.empty())) {
    aOut.audit.push_back(std::move(record));
  }
  if (!verdict) {
    updateOperatorPins(aCommand, aBody);
    const auto* replace = std::get_if<wire::ReplaceConfiguration>(&aBody);
    if (replace != nullptr && !changes.empty()) {
      mConfigurationDocument = replace->document.data;
    }
  }
  std::move(changes.begin(), changes.end(), std::back_inserter(aOut.changes));
  return verdict;
}

void FleetState::updateOperatorPins(const wire::Command& aCommand, const wire::CommandBody& aBody)
{
  if (const auto* pin = std::get_if<wire::PinKey>(&aBody)) {
    if (!aCommand.commandId.empty()) {
      mOperatorPins.insert({ pin->service, pin->key });
    }
  }
  const bool removesPins = std::holds_alternative<wire::UnpinKey>(aBody) ||
                           std::holds_alternative<wire::RemoveService>(aBody);
  for (auto it = mOperatorPins.begin(); removesPins && it != mOperatorPins.end();) {
    it = mModel.pins().count(*it) == 0 ? mOperatorPins.erase(it) : std::next(it);
  }
}

void FleetState::recordResult(Revision aRevision, const wire::Command& aCommand,
                              const CommandRules::Verdict& aVerdict, AppliedCommand& aOut)
{
  if (aVerdict) {
    aOut.result = { aVerdict->code, aVerdict->message.substr(0, kMaxMessageBytes),
                    mOperatorRevision };
  } else {
    aOut.result = { ErrorCode::None, std::string(), aRevision };
    mOperatorRevision = aCommand.commandId.empty() ? mOperatorRevision : aRevision;
  }
  // A copy of the command that is sent later may still be accepted.
  const bool isSuperseded = aVerdict && aVerdict->code == ErrorCode::Superseded;
  const bool isRecorded = !isSuperseded && !aCommand.commandId.empty() &&
                          !aCommand.bodies.empty() &&
                          aCommand.commandId.size() <= kMaxCommandIdBytes;
  if (isRecorded) {
    mHistory.add({ aCommand.commandId, commandDigest(aCommand), summaryOf(aCommand), aOut.result });
  }
}

void FleetState::addRefusalRecord(const wire::Command& aCommand, ErrorCode aCode, std::size_t aBody,
                                  AppliedCommand& aOut) const
{
  AuditRecord record;
  if (aBody < aCommand.bodies.size()) {
    record = auditRecordOf(mRevision, aCommand, aCommand.bodies[aBody]);
  }
  record.revision = mRevision;
  record.atUnixMillis = aCommand.issuedAtUnixMillis;
  record.issuer = aCommand.issuer.substr(0, kMaxIssuerBytes);
  record.commandId = aCommand.commandId.substr(0, kMaxCommandIdBytes);
  record.code = aCode;
  aOut.audit.push_back(std::move(record));
}

void FleetState::appendRecentAudit(const AppliedCommand& aApplied)
{
  mAudit.insert(mAudit.end(), aApplied.audit.begin(), aApplied.audit.end());
  while (mAudit.size() > kMaxRecentAuditRecords) {
    mAudit.pop_front();
  }
}

// Applies the command to a copy of the state without the recorded commands, because copying 65,536
// of them would take longer than the rest.
Result<std::vector<wire::Change>> FleetState::dryRun(const wire::Command& aCommand) const
{
  AppliedCommand applied;
  if (const auto first = mHistory.find(aCommand.commandId)) {
    FleetState trial;
    trial.setDuplicateResult(aCommand, *first, applied);
    if (applied.result.code == ErrorCode::None) {
      return std::vector<wire::Change>();
    }
  } else {
    FleetState trial;
    trial.mModel = mModel;
    trial.mRevision = mRevision;
    trial.mOperatorRevision = mOperatorRevision;
    applied = trial.apply(mRevision + 1, aCommand);
  }
  if (applied.result.code != ErrorCode::None) {
    return leaf::new_error(CommandRefused{ applied.result },
                           ErrorInfo{ applied.result.code, applied.result.message });
  }
  return std::move(applied.changes);
}

std::string FleetState::encodeSnapshot() const
{
  SnapshotHead head{ mRevision,
                     mOperatorRevision,
                     {},
                     { mAudit.begin(), mAudit.end() },
                     Bytes(mConfigurationDocument) };
  for (const auto& [service, key] : mOperatorPins) {
    head.operatorPins.push_back(wire::Pin{ service, key, 0 });
  }
  std::string rest;
  appendLengthPrefixed(rest, encode(head));
  appendLengthPrefixed(rest, wire::encodeChanges(mModel.toChanges()));
  appendLengthPrefixed(rest, mHistory.encodeAll());
  std::string out;
  appendLengthPrefixed(out, kSnapshotFormat);
  appendLengthPrefixed(out, std::to_string(hash64(rest)));
  return out + rest;
}

Result<void> FleetState::restoreSnapshot(const std::string& aBytes)
{
  BOOST_LEAF_AUTO(rest, checkSnapshotHeader(aBytes));
  BOOST_LEAF_AUTO(headBytes, readLengthPrefixed(rest));
  BOOST_LEAF_AUTO(changeBytes, readLengthPrefixed(rest));
  BOOST_LEAF_AUTO(commandBytes, readLengthPrefixed(rest));
  BOOST_LEAF_AUTO(head, decode<SnapshotHead>(std::string(headBytes)));
  BOOST_LEAF_AUTO(changes, wire::decodeChanges(std::string(changeBytes)));
  FleetState next;
  BOOST_LEAF_ASSIGN(next.mHistory, CommandHistory::decodeAll(commandBytes));
  for (const auto& it : changes) {
    next.mModel.apply(it);
  }
  BOOST_LEAF_CHECK(checkModel(next.mModel));
  next.mRevision = head.revision;
  next.mOperatorRevision = head.operatorRevision;
  for (const auto& it : head.operatorPins) {
    next.mOperatorPins.insert({ it.service, it.key });
  }
  next.mConfigurationDocument = head.document.data;
  next.mAudit.assign(head.audit.begin(), head.audit.end());
  *this = std::move(next);
  return {};
}

} // namespace camphorcleat::fleet
