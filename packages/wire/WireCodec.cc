// Instantiates the field codec for the large message variants.

#include "wire/WireCodec.h"

namespace camphorcleat::wire {

namespace detail {

template<class... A>
std::vector<std::string> namesOf(const std::variant<A...>* /*aMessage*/)
{
  return { A::kName... };
}

} // namespace detail

std::string encodePeerMessage(const PeerMessage& aMessage)
{
  return encodeCompact(aMessage);
}

Result<PeerMessage> decodePeerMessage(const std::string& aBytes)
{
  return decode<PeerMessage>(aBytes);
}

std::vector<std::string> peerMessageNames()
{
  return detail::namesOf(static_cast<const PeerMessage*>(nullptr));
}

std::string encodeCommand(const Command& aCommand)
{
  return encode(aCommand);
}

Result<Command> decodeCommand(const std::string& aBytes)
{
  return decode<Command>(aBytes);
}

std::string encodeChanges(const std::vector<Change>& aChanges)
{
  return encode(aChanges);
}

Result<std::vector<Change>> decodeChanges(const std::string& aBytes)
{
  return decode<std::vector<Change>>(aBytes);
}

} // namespace camphorcleat::wire
