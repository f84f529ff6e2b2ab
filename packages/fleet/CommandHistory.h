// Remembers the results of operators' commands, so that a resent command gets its first result.
//
// Bounded by number; at 1,600 commands a day the bound covers 40 days. Only a digest of the content
// is kept: enough to tell a resend from another command with the same id. Entries are kept encoded,
// so that a snapshot copies bytes: encoding 65,536 of them anew took 1.5 s, longer than a lease.

#ifndef CAMPHORCLEAT_FLEET_COMMANDHISTORY_H_
#define CAMPHORCLEAT_FLEET_COMMANDHISTORY_H_

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "wire/FleetMessages.h"

namespace camphorcleat::fleet {

/// Most remembered results.
constexpr std::size_t kMaxRecordedCommands = 65536;

/// One remembered command.
struct RecordedCommand
{
  std::string commandId;
  std::string digest;  ///< See commandDigest().
  std::string summary; ///< What the command was, for the message of a conflict.
  wire::CommandResult result;
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("command_id", &RecordedCommand::commandId), field("digest", &RecordedCommand::digest),
      field("summary", &RecordedCommand::summary), field("result", &RecordedCommand::result));
  }
};

/// Digest of issuer, expected revision and bodies: 128 bits of their SHA-256. The time is left out,
/// since a resend carries another one. Thread-safe.
std::string commandDigest(const wire::Command& aCommand);

/// Not thread-safe.
class CommandHistory
{
public:
  /// The command remembered under an id.
  std::optional<RecordedCommand> find(const std::string& aCommandId) const;

  /// Remembers a command and forgets the oldest one at the bound. The id must be new.
  void add(RecordedCommand aCommand);

  std::size_t size() const { return mOrder.size(); }

  /// All remembered commands, oldest first, in a form that decodeAll() reads.
  std::string encodeAll() const;

  /// Reads what encodeAll() wrote. Fails with DecodeError.
  static Result<CommandHistory> decodeAll(std::string_view aBytes);

private:
  void addEncoded(std::string aId, std::string aBytes);

  std::unordered_map<std::string, std::string> mCommands; ///< Id to encoded RecordedCommand.
  std::deque<std::string> mOrder;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_COMMANDHISTORY_H_
