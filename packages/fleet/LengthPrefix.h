// Length-prefixed byte strings, the format of snapshots.
//
// Encoding a snapshot as a CBOR tree would copy its bytes several times.

#ifndef CAMPHORCLEAT_FLEET_LENGTHPREFIX_H_
#define CAMPHORCLEAT_FLEET_LENGTHPREFIX_H_

#include <string>
#include <string_view>

#include "base/Errors.h"

namespace camphorcleat::fleet {

/// Appends the length of a string as four little-endian bytes, then its bytes. The string must be
/// smaller than 4 GiB. Thread-safe.
void appendLengthPrefixed(std::string& aOut, std::string_view aBytes);

/// Reads the first length-prefixed string of aRest and advances aRest past it. The result points
/// into the input. Fails with DecodeError. Thread-safe.
Result<std::string_view> readLengthPrefixed(std::string_view& aRest);

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_LENGTHPREFIX_H_
