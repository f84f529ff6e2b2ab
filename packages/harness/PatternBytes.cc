// The pattern is the XXH3 hash of each 8-byte block number.

#include "harness/PatternBytes.h"

#include <cstring>

#include "base/Hash.h"

namespace camphorcleat::harness {

std::string patternBytes(std::string_view aSeed, std::uint64_t aOffset, std::size_t aCount)
{
  constexpr std::uint64_t kBlock = sizeof(std::uint64_t);
  const std::uint64_t seed = hash64(aSeed);
  const std::uint64_t first = aOffset / kBlock;
  const std::size_t skip = static_cast<std::size_t>(aOffset % kBlock);
  const std::uint64_t blocks = (skip + aCount + kBlock - 1) / kBlock;
  std::string out(static_cast<std::size_t>(blocks * kBlock), '\0');
  for (std::uint64_t i = 0; i < blocks; ++i) {
    const std::uint64_t number = first + i;
    char raw[kBlock];
    std::memcpy(raw, &number, kBlock);
    const std::uint64_t value = hash64(std::string_view(raw, kBlock), seed);
    std::memcpy(&out[static_cast<std::size_t>(i * kBlock)], &value, kBlock);
  }
  return out.substr(skip, aCount);
}

} // namespace camphorcleat::harness
