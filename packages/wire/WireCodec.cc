// Instantiates the field codec for the large message variants.

#include "wire/WireCodec.h"

#include <string_view>

#include "base/Compression.h"

namespace camphorcleat::wire {

namespace {

// First byte of a compressed payload. A command encoded as CBOR is a tag or a map and begins with
// another byte.
constexpr char kCompressedMark = '\0';

constexpr std::size_t kMinCompressedBytes = 4U << 10U;

// Larger than any command that fits into a message between daemons.
constexpr std::size_t kMaxCommandBytes = 32U << 20U;

} // namespace

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

std::string encodePayload(const Command& aCommand)
{
  std::string out = encodeCompact(aCommand);
  return out.size() < kMinCompressedBytes ? out : kCompressedMark + compress(out);
}

Result<Command> decodePayload(const std::string& aPayload)
{
  if (aPayload.empty() || aPayload.front() != kCompressedMark) {
    return decodeCommand(aPayload);
  }
  BOOST_LEAF_AUTO(bytes, decompress(std::string_view(aPayload).substr(1), kMaxCommandBytes));
  return decodeCommand(bytes);
}

std::size_t payloadBytes(const std::string& aPayload)
{
  const bool isCompressed = !aPayload.empty() && aPayload.front() == kCompressedMark;
  return isCompressed ? decompressedBytes(std::string_view(aPayload).substr(1)) : aPayload.size();
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
