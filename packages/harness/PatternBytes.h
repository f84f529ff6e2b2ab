// Deterministic byte pattern that sender and receiver generate independently from the same seed.
//
// Each byte depends only on the seed and its offset, so the receiver detects bytes that are
// missing, repeated, out of order or from another response.

#ifndef CAMPHORCLEAT_HARNESS_PATTERNBYTES_H_
#define CAMPHORCLEAT_HARNESS_PATTERNBYTES_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorcleat::harness {

/// Returns the bytes [aOffset, aOffset + aCount) of the unbounded pattern of a seed. Thread-safe.
std::string patternBytes(std::string_view aSeed, std::uint64_t aOffset, std::size_t aCount);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_PATTERNBYTES_H_
