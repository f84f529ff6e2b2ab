// One record per key.

#include "harness/KeyHolds.h"

namespace camphorcleat::harness {

bool KeyHolds::grant(TimePoint aNow, const KeyRange& aRange, Duration aLength)
{
  for (std::uint32_t key = aRange.from; key <= aRange.to; ++key) {
    if (mKeys.at(key).token > aRange.token) {
      return false;
    }
  }
  for (std::uint32_t key = aRange.from; key <= aRange.to; ++key) {
    Key& it = mKeys.at(key);
    it.token = aRange.token;
    it.until = aNow + aLength;
    it.handover = aRange.handover.empty() ? it.handover : aRange.handover;
  }
  return true;
}

bool KeyHolds::release(TimePoint aNow, std::uint32_t aFrom, std::uint32_t aTo)
{
  bool wasHeld = false;
  for (std::uint32_t key = aFrom; key <= aTo; ++key) {
    wasHeld = wasHeld || holds(aNow, key);
    mKeys.at(key).until = TimePoint();
  }
  return wasHeld;
}

bool KeyHolds::holds(TimePoint aNow, std::uint32_t aKey) const
{
  return aNow < mKeys.at(aKey).until;
}

std::vector<KeyRange> KeyHolds::ranges(TimePoint aNow) const
{
  std::vector<KeyRange> out;
  for (std::uint32_t key = 0; key < mKeys.size(); ++key) {
    const Key& it = mKeys[key];
    if (aNow >= it.until) {
      continue;
    }
    const bool isContinued = !out.empty() && out.back().to + 1 == key &&
                             out.back().token == it.token && out.back().handover == it.handover;
    if (isContinued) {
      out.back().to = key;
    } else {
      out.push_back({ key, key, it.token, it.handover });
    }
  }
  return out;
}

} // namespace camphorcleat::harness
