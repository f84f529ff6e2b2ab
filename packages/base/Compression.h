// Compression of large stored or sent values with zlib.

#ifndef CAMPHORCLEAT_BASE_COMPRESSION_H_
#define CAMPHORCLEAT_BASE_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "base/Errors.h"

namespace camphorcleat {

/// Returns the compressed data. aData is shorter than 1 GiB. Thread-safe.
std::string compress(std::string_view aData);

/// Returns the data that compress() was called with. Fails with DecodeError if the input is invalid
/// or the data longer than aMaxBytes, and allocates no more than that. Thread-safe.
Result<std::string> decompress(std::string_view aCompressed, std::size_t aMaxBytes);

/// Returns the size that the data claims to have once decompressed; 0 if it is invalid.
/// Thread-safe.
std::size_t decompressedBytes(std::string_view aCompressed);

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_COMPRESSION_H_
