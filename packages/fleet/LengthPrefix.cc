// Lengths are checked before they are used, so damaged input can't read past its end.

#include "fleet/LengthPrefix.h"

namespace camphorcleat::fleet {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;

} // namespace

void appendLengthPrefixed(std::string& aOut, std::string_view aPart)
{
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    aOut += static_cast<char>((aPart.size() >> (kBitsPerByte * i)) & 0xFFU);
  }
  aOut += aPart;
}

Result<std::string_view> readLengthPrefixed(std::string_view& aRest)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes && i < aRest.size(); ++i) {
    length |= static_cast<std::size_t>(static_cast<unsigned char>(aRest[i])) << (kBitsPerByte * i);
  }
  if (aRest.size() < kLengthBytes || aRest.size() - kLengthBytes < length) {
    return fail(DecodeError{ "", "the input ends within a part" });
  }
  const std::string_view out = aRest.substr(kLengthBytes, length);
  aRest.remove_prefix(kLengthBytes + length);
  return out;
}

} // namespace camphorcleat::fleet
