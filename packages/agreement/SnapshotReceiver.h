// Puts the chunks of an arriving snapshot together.

#ifndef CAMPHORCLEAT_AGREEMENT_SNAPSHOTRECEIVER_H_
#define CAMPHORCLEAT_AGREEMENT_SNAPSHOTRECEIVER_H_

#include <cstdint>

#include "agreement/LogEvents.h"

namespace camphorcleat::agreement {

/// Holds at most kMaxSnapshotBytes. Not thread-safe.
class SnapshotReceiver
{
public:
  /// Adds a chunk. A chunk of another snapshot starts anew; one that doesn't continue what is there
  /// is skipped. Returns the snapshot when it is complete and is then empty again.
  SnapshotPtr add(const wire::SnapshotChunk& aChunk);

  /// Offset of the byte that is needed next.
  std::uint64_t nextOffsetBytes() const { return mPartial.bytes.size(); }

private:
  Snapshot mPartial;
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_SNAPSHOTRECEIVER_H_
