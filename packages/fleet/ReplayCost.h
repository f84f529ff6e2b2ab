// Decides when a control member takes a snapshot of the replicated state.
//
// A restarted member restores its latest snapshot and applies the entries after it, and can't
// answer before that. What an entry costs varies by a factor of a thousand, so their number doesn't
// bound the time of a restart, but their size does.

#ifndef CAMPHORCLEAT_FLEET_REPLAYCOST_H_
#define CAMPHORCLEAT_FLEET_REPLAYCOST_H_

#include <algorithm>
#include <cstddef>

namespace camphorcleat::fleet {

/// Not thread-safe.
class ReplayCost
{
public:
  /// Adds an entry that was applied. aBytes is the size of its command without compression.
  void add(std::size_t aBytes) { mBytes += kEntryBytes + aBytes; }

  /// Starts over from a snapshot of this size, which was taken or restored.
  void reset(std::size_t aSnapshotBytes)
  {
    mBytes = 0;
    mSnapshotBytes = aSnapshotBytes;
  }

  /// Returns whether a restart would cost more for the entries than for a new snapshot. Below
  /// kMinBytes the snapshots would cost more than the restarts.
  bool isSnapshotDue() const { return mBytes > std::max(kMinBytes, mSnapshotBytes); }

private:
  /// Applying a small command costs as much as decoding this many bytes.
  static constexpr std::size_t kEntryBytes = 128;
  /// About 0.1 s of a core.
  static constexpr std::size_t kMinBytes = 512U << 10U;

  std::size_t mBytes = 0;
  std::size_t mSnapshotBytes = 0;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_REPLAYCOST_H_
