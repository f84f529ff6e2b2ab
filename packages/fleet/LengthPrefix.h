// Byte strings one after another, each with its length, for snapshots.
//
// A CBOR tree of a snapshot copies its bytes several times; parts are appended once.

#ifndef CAMPHORCLEAT_FLEET_LENGTHPREFIX_H_
#define CAMPHORCLEAT_FLEET_LENGTHPREFIX_H_

#include <string>
#include <string_view>

#include "base/Errors.h"

namespace camphorcleat::fleet {

/// Appends a part of less than 4 GiB: its length in four bytes, lowest first, then its bytes.
/// Thread-safe.
void appendLengthPrefixed(std::string& aOut, std::string_view aPart);

/// Takes the first part off a text. The result points into the text. Fails with DecodeError.
/// Thread-safe.
Result<std::string_view> readLengthPrefixed(std::string_view& aRest);

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_LENGTHPREFIX_H_
