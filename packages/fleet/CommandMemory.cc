// A hash map for lookups and a queue of ids for the order of forgetting.

#include "fleet/CommandMemory.h"

#include "base/Hash.h"
#include "wire/WireCodec.h"

namespace camphorcleat::fleet {

std::string commandDigest(const wire::Command& aCommand)
{
  constexpr std::size_t kDigits = 32;
  wire::Command content = aCommand;
  content.issuedAtUnixMillis = 0;
  return sha256Hex(wire::encodeCommand(content)).substr(0, kDigits);
}

const RememberedCommand* CommandMemory::find(const std::string& aCommandId) const
{
  const auto it = mCommands.find(aCommandId);
  return it == mCommands.end() ? nullptr : &it->second;
}

void CommandMemory::add(RememberedCommand aCommand)
{
  std::string id = aCommand.commandId;
  if (!mCommands.emplace(id, std::move(aCommand)).second) {
    return;
  }
  mOrder.push_back(std::move(id));
  if (mOrder.size() > kMaxRememberedCommands) {
    mCommands.erase(mOrder.front());
    mOrder.pop_front();
  }
}

std::vector<RememberedCommand> CommandMemory::toList() const
{
  std::vector<RememberedCommand> out;
  out.reserve(mOrder.size());
  for (const auto& id : mOrder) {
    out.push_back(mCommands.at(id));
  }
  return out;
}

} // namespace camphorcleat::fleet
