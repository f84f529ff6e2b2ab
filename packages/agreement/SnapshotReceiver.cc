// Two leaders' snapshots at the same index may differ in their bytes, and the leader may change
// during a transfer. LogNode therefore creates a new receiver for each term.

#include "agreement/SnapshotReceiver.h"

#include <utility>

#include "agreement/LogNodeConfig.h"

namespace camphorcleat::agreement {

SnapshotPtr SnapshotReceiver::add(const wire::SnapshotChunk& aChunk)
{
  if (aChunk.lastIndex != mPartial.lastIndex || aChunk.lastTerm != mPartial.lastTerm) {
    mPartial = Snapshot{ aChunk.lastIndex, aChunk.lastTerm, aChunk.membership, std::string() };
  }
  const bool isBounded = aChunk.data.size() <= kMaxChunkBytes &&
                         aChunk.totalBytes <= kMaxSnapshotBytes &&
                         aChunk.offsetBytes + aChunk.data.size() <= aChunk.totalBytes;
  if (!isBounded || aChunk.offsetBytes != mPartial.bytes.size()) {
    return nullptr;
  }
  mPartial.bytes += aChunk.data.data;
  if (mPartial.bytes.size() != aChunk.totalBytes) {
    return nullptr;
  }
  return std::make_shared<const Snapshot>(std::exchange(mPartial, Snapshot()));
}

} // namespace camphorcleat::agreement
