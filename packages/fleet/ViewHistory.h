// History of the fleet's latest changes, from which daemons are updated without sending the whole
// state.

#ifndef CAMPHORCLEAT_FLEET_VIEWHISTORY_H_
#define CAMPHORCLEAT_FLEET_VIEWHISTORY_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "fleet/FleetModel.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::fleet {

/// Stores the changes of the last 4,096 revisions that had any, with limits of 65,536 changes and
/// 8 MiB of their contents. The latest of these revisions is always stored, whatever its size. Not
/// thread-safe.
class ViewHistory
{
public:
  /// Adds the changes of a revision, which may be empty. Revisions must increase between calls.
  void add(Revision aRevision, std::vector<wire::Change> aChanges);

  /// Removes all changes, because the state was replaced by a snapshot at this revision.
  void reset(Revision aRevision);

  /// Returns the changes after aFrom, or nullopt if the whole state must be sent: if aFrom is 0,
  /// older than the history or newer than revision(), or if the changes contain several
  /// large configurations.
  std::optional<wire::ViewUpdate> updateSince(Revision aFrom) const;

  Revision revision() const { return mRevision; }

  /// Returns the heap memory of the stored changes, without the changes themselves.
  std::size_t contentBytes() const { return mContentBytes; }

private:
  struct Item
  {
    Revision revision = 0;
    std::vector<wire::Change> changes;
    std::size_t contentBytes = 0;
  };

  bool exceedsLimits() const;

  std::deque<Item> mItems;
  std::size_t mChangeCount = 0;
  std::size_t mContentBytes = 0;
  Revision mCompleteSince = 0; // All changes after this revision are stored.
  Revision mRevision = 0;
};

/// Returns the whole state as one or more messages. They usually stay below 256 KiB, but changes
/// other than grants, such as a large configuration, are never split. An empty model gives one
/// message, so that a daemon can tell it from having no view.
std::vector<wire::ViewSnapshot> snapshotParts(const FleetModel& aModel, Revision aRevision);

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_VIEWHISTORY_H_
