// A hash map for lookups and a queue of ids for the order of eviction. A record is decoded only
// when find() returns it, which happens only for resent commands.

#include "fleet/CommandHistory.h"

#include "base/Hash.h"
#include "fleet/LengthPrefix.h"
#include "wire/WireCodec.h"

namespace camphorcleat::fleet {

namespace {

std::string digestOf(const wire::Command& aCommand)
{
  constexpr std::size_t kDigits = 32;
  return sha256Hex(wire::encodeCommand(aCommand)).substr(0, kDigits);
}

// The digest that versions before commandDigest() left out the content of configurations recorded.
std::string fullDigest(const wire::Command& aCommand)
{
  wire::Command content = aCommand;
  content.issuedAtUnixMillis = 0;
  return digestOf(content);
}

// Returns a body without what the digest of its document covers. Encoding a large configuration
// takes longer than all other steps of applying it.
wire::CommandBody withoutContent(const wire::CommandBody& aBody)
{
  const auto* replace = std::get_if<wire::ReplaceConfiguration>(&aBody);
  if (replace == nullptr || replace->configuration.digest.empty()) {
    return aBody;
  }
  wire::ReplaceConfiguration out;
  out.baseVersion = replace->baseVersion;
  out.configuration.version = replace->configuration.version;
  out.configuration.digest = replace->configuration.digest;
  return out;
}

} // namespace

std::string commandDigest(const wire::Command& aCommand)
{
  wire::Command content;
  content.commandId = aCommand.commandId;
  content.issuer = aCommand.issuer;
  content.expectedRevision = aCommand.expectedRevision;
  for (const auto& it : aCommand.bodies) {
    content.bodies.push_back(withoutContent(it));
  }
  return digestOf(content);
}

bool isSameCommand(const RecordedCommand& aRecorded, const wire::Command& aCommand)
{
  return aRecorded.digest == commandDigest(aCommand) || aRecorded.digest == fullDigest(aCommand);
}

std::optional<RecordedCommand> CommandHistory::find(const std::string& aCommandId) const
{
  const auto it = mCommands.find(aCommandId);
  if (it == mCommands.end()) {
    return std::nullopt;
  }
  return orElse(
    [&]() -> Result<std::optional<RecordedCommand>> {
      BOOST_LEAF_AUTO(command, decode<RecordedCommand>(it->second));
      return std::optional<RecordedCommand>(std::move(command));
    },
    [&](const ErrorInfo& aInfo) {
      // The id was used, so the command must not run again. An empty digest matches no command.
      return std::optional<RecordedCommand>(
        RecordedCommand{ aCommandId, "", aInfo.message, { aInfo.code, aInfo.message, 0 } });
    });
}

void CommandHistory::add(RecordedCommand aCommand)
{
  std::string bytes = encode(aCommand);
  addEncoded(std::move(aCommand.commandId), std::move(bytes));
}

void CommandHistory::addEncoded(std::string aId, std::string aBytes)
{
  if (!mCommands.emplace(aId, std::move(aBytes)).second) {
    return;
  }
  mOrder.push_back(std::move(aId));
  if (mOrder.size() > kMaxRecordedCommands) {
    mCommands.erase(mOrder.front());
    mOrder.pop_front();
  }
}

std::string CommandHistory::encodeAll() const
{
  std::string out;
  for (const auto& id : mOrder) {
    appendLengthPrefixed(out, id);
    appendLengthPrefixed(out, mCommands.at(id));
  }
  return out;
}

Result<CommandHistory> CommandHistory::decodeAll(std::string_view aBytes)
{
  CommandHistory out;
  std::string_view rest = aBytes;
  while (!rest.empty()) {
    BOOST_LEAF_AUTO(id, readLengthPrefixed(rest));
    BOOST_LEAF_AUTO(bytes, readLengthPrefixed(rest));
    out.addEncoded(std::string(id), std::string(bytes));
  }
  return out;
}

} // namespace camphorcleat::fleet
