// Hash functions: XXH3 for partitions and checksums, SHA-256 for account keys.

#ifndef CAMPHORCLEAT_BASE_HASH_H_
#define CAMPHORCLEAT_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/Ids.h"

namespace camphorcleat {

/// Returns the 64-bit XXH3 hash. It is equal on all platforms, so it may be stored and sent.
/// Thread-safe.
std::uint64_t hash64(std::string_view aData, std::uint64_t aSeed = 0);

/// Returns the partition of a key of a service. aPartitionCount > 0. Thread-safe.
PartitionId partitionOf(std::string_view aService, std::string_view aKey,
                        std::uint32_t aPartitionCount);

/// Returns the SHA-256 hash as 32 bytes. Thread-safe.
std::string sha256(std::string_view aData);

/// Returns bytes as lower-case hexadecimal digits. Thread-safe.
std::string toHex(std::string_view aBytes);

/// Returns the SHA-256 hash as 64 lower-case hexadecimal digits. Thread-safe.
std::string sha256Hex(std::string_view aData);

/// Returns whether two strings are equal. The time depends on the lengths only, so that response
/// times do not reveal how much of a secret was correct. Thread-safe.
bool equalConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_HASH_H_
