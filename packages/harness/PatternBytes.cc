// Each 8-byte block of the pattern is the XXH3 hash of its block number, seeded with the hash of
// the seed text.

#include "harness/PatternBytes.h"

#include <cstring>

#include "base/Hash.h"

namespace camphorcleat::harness {

std::string patternBytes(std::string_view aSeed, std::uint64_t aOffset, std::size_t aCount)
{
  constexpr std::uint64_t kBlockSize = sizeof(std::uint64_t);
  const std::uint64_t seed = hash64(aSeed);
  const std::uint64_t firstBlock = aOffset / kBlockSize;
  const std::size_t skip = static_cast<std::size_t>(aOffset % kBlockSize);
  const std::uint64_t blockCount = (skip + aCount + kBlockSize - 1) / kBlockSize;
  std::string out(static_cast<std::size_t>(blockCount * kBlockSize), '\0');
  for (std::uint64_t i = 0; i < blockCount; ++i) {
    const std::uint64_t blockNumber = firstBlock + i;
    char numberBytes[kBlockSize];
    std::memcpy(numberBytes, &blockNumber, kBlockSize);
    const std::uint64_t value = hash64(std::string_view(numberBytes, kBlockSize), seed);
    std::memcpy(&out[static_cast<std::size_t>(i * kBlockSize)], &value, kBlockSize);
  }
  return out.substr(skip, aCount);
}

} // namespace camphorcleat::harness
