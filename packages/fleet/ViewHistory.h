// The latest changes of the fleet, kept to bring daemons up to date without sending the whole
// state.

#ifndef CAMPHORCLEAT_FLEET_VIEWHISTORY_H_
#define CAMPHORCLEAT_FLEET_VIEWHISTORY_H_

#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "fleet/FleetModel.h"
#include "wire/PeerMessages.h"

namespace camphorcleat::fleet {

/// Keeps the changes of the last 4,096 revisions that had any, and at most 65,536 changes.
/// Not thread-safe.
class ViewHistory
{
public:
  /// Adds the changes of a revision. Revisions only grow; an entry without changes is a valid one.
  void add(Revision aRevision, std::vector<wire::Change> aChanges);

  /// Forgets all changes; the state is now that of a snapshot.
  void reset(Revision aRevision);

  /// Changes after aFrom, or nothing if the history doesn't reach back that far.
  std::optional<wire::ViewUpdate> updateSince(Revision aFrom) const;

  Revision revision() const { return mRevision; }

private:
  std::deque<std::pair<Revision, std::vector<wire::Change>>> mItems;
  std::size_t mChangeCount = 0;
  Revision mCompleteSince = 0; // Changes after this revision are all here.
  Revision mRevision = 0;
};

/// The whole state in messages of bounded size.
std::vector<wire::ViewSnapshot> snapshotParts(const FleetModel& aModel, Revision aRevision);

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_VIEWHISTORY_H_
