// Identifiers used by all packages.
//
// They are plain integers, which keeps messages and tables small.

#ifndef CAMPHORCLEAT_BASE_IDS_H_
#define CAMPHORCLEAT_BASE_IDS_H_

#include <cstdint>
#include <functional>
#include <random>
#include <string>

namespace camphorcleat {

using NodeId = std::uint32_t;       ///< Configured, or derived from an address; 0: none.
using Incarnation = std::uint64_t;  ///< Random number of a process start; 0 means "none".
using Revision = std::uint64_t;     ///< Index of the latest applied log entry; 0: empty state.
using FencingToken = std::uint64_t; ///< Index of the log entry that created a grant.
using PartitionId = std::uint32_t;
using Term = std::uint64_t;
using LogIndex = std::uint64_t;

constexpr NodeId kNoNode = 0;

/// Identifies a request that an entry daemon received. The counter never repeats within an
/// incarnation and incarnations are random, so ids do not repeat across restarts.
struct RequestId
{
  Incarnation entry = 0;
  std::uint64_t counter = 0;

  bool operator==(const RequestId& aOther) const
  {
    return entry == aOther.entry && counter == aOther.counter;
  }
  bool operator!=(const RequestId& aOther) const { return !(*this == aOther); }
  bool operator<(const RequestId& aOther) const
  {
    return entry != aOther.entry ? entry < aOther.entry : counter < aOther.counter;
  }
};

/// Returns a new random incarnation that is not 0. It has 53 bits, so that JSON readers that use
/// doubles represent it exactly. Not thread-safe, because it advances aRandom.
inline Incarnation newIncarnation(std::mt19937_64& aRandom)
{
  constexpr unsigned kUnusedBits = 64 - 53;
  const Incarnation value = aRandom() >> kUnusedBits;
  return value == 0 ? 1 : value;
}

} // namespace camphorcleat

namespace std {

template<>
struct hash<camphorcleat::RequestId>
{
  size_t operator()(const camphorcleat::RequestId& aId) const noexcept
  {
    return hash<uint64_t>()(aId.entry * 0x9E3779B97F4A7C15ULL + aId.counter);
  }
};

} // namespace std

#endif // CAMPHORCLEAT_BASE_IDS_H_
