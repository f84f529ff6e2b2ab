// Deterministic bytes that a sender and a checker produce independently from the same seed.
//
// The byte at an offset depends on the seed and the offset only, so a checker notices bytes that
// are missing, repeated, out of place or from another answer.

#ifndef CAMPHORCLEAT_HARNESS_PATTERNBYTES_H_
#define CAMPHORCLEAT_HARNESS_PATTERNBYTES_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorcleat::harness {

/// The bytes [aOffset, aOffset + aCount) of the endless pattern of a seed. Thread-safe.
std::string patternBytes(std::string_view aSeed, std::uint64_t aOffset, std::size_t aCount);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_PATTERNBYTES_H_
