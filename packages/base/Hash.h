// Hashes: XXH3 for partitions and checksums, SHA-256 for account keys.

#ifndef CAMPHORCLEAT_BASE_HASH_H_
#define CAMPHORCLEAT_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/Ids.h"

namespace camphorcleat {

/// XXH3, 64 bits. The same on every platform, so it may be stored and sent. Thread-safe.
std::uint64_t hash64(std::string_view aData, std::uint64_t aSeed = 0);

/// The partition of a key of a service. aPartitionCount > 0. Thread-safe.
PartitionId partitionOf(std::string_view aService, std::string_view aKey,
                        std::uint32_t aPartitionCount);

/// SHA-256 as 64 lower-case hexadecimal digits. Thread-safe.
std::string sha256Hex(std::string_view aData);

/// Compares in a time that depends on the lengths only, so that response times do not tell how much
/// of a secret was right. Thread-safe.
bool equalConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_HASH_H_
