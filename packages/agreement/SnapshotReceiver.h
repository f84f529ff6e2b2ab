// Assembles a snapshot from the chunks that a leader sends.

#ifndef CAMPHORCLEAT_AGREEMENT_SNAPSHOTRECEIVER_H_
#define CAMPHORCLEAT_AGREEMENT_SNAPSHOTRECEIVER_H_

#include <cstdint>

#include "agreement/LogEvents.h"

namespace camphorcleat::agreement {

/// Buffers at most kMaxSnapshotBytes. Not thread-safe.
class SnapshotReceiver
{
public:
  /// Adds a chunk. A chunk of another snapshot discards the bytes received so far; a chunk at any
  /// offset other than nextOffsetBytes() is ignored. Returns the snapshot once it is complete and
  /// clears the buffer; otherwise returns null.
  SnapshotPtr add(const wire::SnapshotChunk& aChunk);

  /// Returns the offset of the byte that is needed next.
  std::uint64_t nextOffsetBytes() const { return mPartial.bytes.size(); }

private:
  Snapshot mPartial;
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_SNAPSHOTRECEIVER_H_
