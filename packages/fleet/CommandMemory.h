// Remembers the results of operators' commands, so that a resent command gets its first result.
//
// Bounded by number; at 1,600 commands a day the bound covers 40 days. Only a digest of the content
// is kept: enough to tell a resend from another command with the same id.

#ifndef CAMPHORCLEAT_FLEET_COMMANDMEMORY_H_
#define CAMPHORCLEAT_FLEET_COMMANDMEMORY_H_

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "wire/FleetMessages.h"

namespace camphorcleat::fleet {

/// Most remembered results.
constexpr std::size_t kMaxRememberedCommands = 65536;

/// One remembered command.
struct RememberedCommand
{
  std::string commandId;
  std::string digest;  ///< See commandDigest().
  std::string summary; ///< What the command was, for the message of a conflict.
  wire::CommandResult result;
  static constexpr auto fields()
  {
    return std::make_tuple(field("command_id", &RememberedCommand::commandId),
                           field("digest", &RememberedCommand::digest),
                           field("summary", &RememberedCommand::summary),
                           field("result", &RememberedCommand::result));
  }
};

/// Digest of issuer, expected revision and bodies: 128 bits of their SHA-256. The time is left out,
/// since a resend carries another one. Thread-safe.
std::string commandDigest(const wire::Command& aCommand);

/// Not thread-safe.
class CommandMemory
{
public:
  /// The command remembered under an id, or nullptr.
  const RememberedCommand* find(const std::string& aCommandId) const;

  /// Remembers a command and forgets the oldest one at the bound. The id must be new.
  void add(RememberedCommand aCommand);

  /// All remembered commands, oldest first.
  std::vector<RememberedCommand> toList() const;

private:
  std::unordered_map<std::string, RememberedCommand> mCommands;
  std::deque<std::string> mOrder;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_COMMANDMEMORY_H_
