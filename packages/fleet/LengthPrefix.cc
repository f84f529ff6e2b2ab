// Lengths are checked before use, so that invalid input causes no read past its end.

#include "fleet/LengthPrefix.h"

namespace camphorcleat::fleet {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;

} // namespace

void appendLengthPrefixed(std::string& aOut, std::string_view aBytes)
{
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    aOut += static_cast<char>((aBytes.size() >> (kBitsPerByte * i)) & 0xFFU);
  }
  aOut += aBytes;
}

Result<std::string_view> readLengthPrefixed(std::string_view& aRest)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes && i < aRest.size(); ++i) {
    length |= static_cast<std::size_t>(static_cast<unsigned char>(aRest[i])) << (kBitsPerByte * i);
  }
  if (aRest.size() < kLengthBytes || aRest.size() - kLengthBytes < length) {
    return fail(DecodeError{ "", "the input ends within a length-prefixed string" });
  }
  const std::string_view out = aRest.substr(kLengthBytes, length);
  aRest.remove_prefix(kLengthBytes + length);
  return out;
}

} // namespace camphorcleat::fleet
