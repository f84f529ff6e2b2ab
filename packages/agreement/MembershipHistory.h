// The group memberships recorded in the log, and the computation of quorums over them.
//
// A membership is in force as soon as its entry is in the log, even before it is committed. While a
// replacement of a member's store is not known to be committed, a quorum needs a majority of the
// membership before it as well as of the new one. Without that, the majorities {a, old b} and {new
// b, c} of a group of three share no member: a delayed vote that the old store of b granted before
// its disk was lost could elect a second leader.
//
// A restarted member doesn't know which entries are committed. Therefore, after a replacement is
// committed, the leader appends a second entry with the same content (the confirmation). A member
// that finds it in its log knows that the replacement was committed and that a majority of the old
// membership is no longer needed. A snapshot doesn't record whether a confirmation exists, so a
// leader that started from a snapshot appends one.
//
// A store id of 0 means unknown. If fewer than a majority are known, the group is being
// created, and a quorum consists of all members, so that no later quorum of empty stores can create
// the group again. Once a majority is known, members with an unknown store id are excluded from
// quorums until an entry records their store ids. Such an entry needs no majority of the previous
// membership, because the member's replies were not counted there.

#ifndef CAMPHORCLEAT_AGREEMENT_MEMBERSHIPHISTORY_H_
#define CAMPHORCLEAT_AGREEMENT_MEMBERSHIPHISTORY_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "base/Ids.h"
#include "wire/LogMessages.h"

namespace camphorcleat::agreement {

/// Not thread-safe.
class MembershipHistory
{
public:
  /// Returns a member's value: a persisted index, a heartbeat round, or 1 for a granted vote; 0 if
  /// none.
  using ValueFunction = std::function<std::uint64_t(const wire::Member&)>;

  /// Starts with a membership that is committed at aIndex.
  MembershipHistory(LogIndex aIndex, wire::Membership aMembership);

  /// Records an appended entry. Entries that are not of kind Membership are ignored.
  void append(const wire::LogEntry& aEntry);

  /// Removes memberships whose entries are at or after aFrom.
  void truncateFrom(LogIndex aFrom);

  /// Removes memberships that were superseded at or before aIndex, which must be committed.
  void compactTo(LogIndex aIndex);

  /// Discards the history and restarts with a membership that is committed at aIndex.
  void reset(LogIndex aIndex, wire::Membership aMembership);

  /// Returns the membership in force.
  const wire::Membership& current() const { return mVersions.back().membership; }

  /// Returns the index of the entry that contains current().
  LogIndex currentIndex() const { return mVersions.back().index; }

  /// Returns the membership in force at an index. Precondition: aIndex is not before the index of
  /// the last compactTo().
  const wire::Membership& at(LogIndex aIndex) const;

  /// Returns the member with this id in current(), or null.
  const wire::Member* find(NodeId aId) const;

  /// Returns whether current() may be a replacement for which no confirmation is in the log yet.
  bool isUnconfirmed() const { return !mVersions.back().isConfirmed; }

  /// Returns the largest value that every member of some quorum has reached, given the commit
  /// index.
  std::uint64_t quorumValue(LogIndex aCommitIndex, const ValueFunction& aValue) const;

private:
  struct Version
  {
    LogIndex index = 0;
    wire::Membership membership;
    bool isConfirmed = true;
  };
  std::vector<Version> mVersions; ///< Ascending, never empty.
};

/// Returns whether votes and acknowledgements from the store aStore count for this member: the
/// membership contains that store id for it, or the member's store id is still unknown (0).
bool acceptsStore(const wire::Member& aMember, wire::StoreId aStore);

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_MEMBERSHIPHISTORY_H_
