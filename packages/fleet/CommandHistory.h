// Records the results of operators' commands for deduplication: a resent command gets the result of
// its first execution.
//
// The number of records is bounded; at 1,600 commands a day they cover 40 days. Only a digest of
// the content is stored, which distinguishes a resend from another command with the same id.
// Records are stored encoded, so that a snapshot only copies bytes: encoding 65,536 of them for
// each snapshot took 1.5 s, longer than a lease.

#ifndef CAMPHORCLEAT_FLEET_COMMANDHISTORY_H_
#define CAMPHORCLEAT_FLEET_COMMANDHISTORY_H_

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "wire/FleetMessages.h"

namespace camphorcleat::fleet {

/// Maximum number of recorded commands.
constexpr std::size_t kMaxRecordedCommands = 65536;

/// One recorded command.
struct RecordedCommand
{
  std::string commandId;
  std::string digest;  ///< See commandDigest().
  std::string summary; ///< Describes the command in the message of a conflict.
  wire::CommandResult result;
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("command_id", &RecordedCommand::commandId), field("digest", &RecordedCommand::digest),
      field("summary", &RecordedCommand::summary), field("result", &RecordedCommand::result));
  }
};

/// Returns the digest of issuer, expected revision and bodies: 128 bits of their SHA-256. The time
/// of issue is excluded, since it differs in a resend. A configuration is represented by its
/// version and the digest of its document. Thread-safe.
std::string commandDigest(const wire::Command& aCommand);

/// Returns whether a command has the content of a recorded one. Thread-safe.
bool isSameCommand(const RecordedCommand& aRecorded, const wire::Command& aCommand);

/// Not thread-safe.
class CommandHistory
{
public:
  /// Returns the command recorded under an id, or nullopt.
  std::optional<RecordedCommand> find(const std::string& aCommandId) const;

  /// Records a command and evicts the oldest one if the limit is exceeded. The id must be new.
  void add(RecordedCommand aCommand);

  std::size_t size() const { return mOrder.size(); }

  /// Returns all recorded commands, oldest first, in the format of decodeAll().
  std::string encodeAll() const;

  /// Decodes the output of encodeAll(). Fails with DecodeError.
  static Result<CommandHistory> decodeAll(std::string_view aBytes);

private:
  void addEncoded(std::string aId, std::string aBytes);

  std::unordered_map<std::string, std::string> mCommands; ///< Id to encoded RecordedCommand.
  std::deque<std::string> mOrder;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_COMMANDHISTORY_H_
