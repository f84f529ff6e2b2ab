// The keys of a stand-in for a target that is granted ranges of keys by calls.

#ifndef CAMPHORCLEAT_HARNESS_KEYHOLDS_H_
#define CAMPHORCLEAT_HARNESS_KEYHOLDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"

namespace camphorcleat::harness {

/// A range of keys, both ends included.
struct KeyRange
{
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  FencingToken token = 0;
  std::string handover; ///< Of the grant; may be empty.
};

/// Not thread-safe. aNow must not decrease between calls.
class KeyHolds
{
public:
  /// Keys are the numbers below aKeyCount.
  explicit KeyHolds(std::uint32_t aKeyCount)
    : mKeys(aKeyCount)
  {
  }

  /// Grants a range for aLength. Changes nothing and returns false if a higher token was seen for
  /// one of its keys.
  bool grant(TimePoint aNow, const KeyRange& aRange, Duration aLength);

  /// Ends the grants of a range. Returns whether one of its keys was held.
  bool release(TimePoint aNow, std::uint32_t aFrom, std::uint32_t aTo);

  bool holds(TimePoint aNow, std::uint32_t aKey) const;

  /// Returns the token of the latest grant of a key, or 0.
  FencingToken tokenOf(std::uint32_t aKey) const { return mKeys.at(aKey).token; }

  /// Returns the handover data of the latest grant of a key that had some.
  const std::string& handoverOf(std::uint32_t aKey) const { return mKeys.at(aKey).handover; }

  /// Returns the held keys as ranges in ascending order.
  std::vector<KeyRange> ranges(TimePoint aNow) const;

private:
  struct Key
  {
    FencingToken token = 0;
    TimePoint until;
    std::string handover;
  };

  std::vector<Key> mKeys;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_KEYHOLDS_H_
