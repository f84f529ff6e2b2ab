// Who votes: the memberships found in the log, and quorums over them.
//
// A membership is in force from the moment its entry is in the log, committed or not. While a
// replacement of a member's store is not known to be committed, a quorum needs a majority of the
// membership before it as well as of the new one. Without that, the majorities {a, old b} and
// {new b, c} of a group of three share no member: a vote that the old store of b gave before its
// disk was lost, delayed in the network, could elect a second leader.
//
// A restarted member doesn't know what is committed. So the leader follows a committed replacement
// with a second entry of the same content, which tells every later reader of the log that the first
// one was committed and that the old store is no longer asked. A snapshot doesn't tell whether that
// entry exists, so a leader that started from one writes it again.
//
// A store identity of 0 is not known yet. If fewer than a majority are known, the group is being
// created, and a quorum is every member: only then can no later quorum of empty stores create the
// group a second time. Once a majority is known, members of unknown identity don't count until an
// entry fills them in. Filling in needs no majority of the membership before it, because the
// member's replies never counted there.

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
  /// Gives a value for a member: a synced position, a round, or 1 for a vote; 0 for nothing.
  using Value = std::function<std::uint64_t(const wire::Member&)>;

  /// Starts with a membership that is committed as of aIndex.
  MembershipHistory(LogIndex aIndex, wire::Membership aMembership);

  /// Takes note of an entry that was appended; entries of other kinds are skipped.
  void append(const wire::LogEntry& aEntry);

  /// Forgets entries from aFrom on.
  void truncateFrom(LogIndex aFrom);

  /// Forgets what was replaced at or before aIndex, which is committed.
  void compactTo(LogIndex aIndex);

  /// Starts again with a membership that is committed as of aIndex.
  void reset(LogIndex aIndex, wire::Membership aMembership);

  /// The membership in force.
  const wire::Membership& current() const { return mVersions.back().membership; }

  /// Position of the entry that holds current().
  LogIndex currentIndex() const { return mVersions.back().index; }

  /// The membership in force at a position. Precondition: aIndex is not before the last
  /// compactTo().
  const wire::Membership& at(LogIndex aIndex) const;

  /// The member of this id in current(); null if there is none.
  const wire::Member* find(NodeId aId) const;

  /// Whether current() may be a replacement that no second entry has confirmed yet.
  bool isUnconfirmed() const { return !mVersions.back().isConfirmed; }

  /// The largest value that a quorum reaches, given what is known to be committed.
  std::uint64_t quorumValue(LogIndex aCommitIndex, const Value& aValue) const;

private:
  struct Version
  {
    LogIndex index = 0;
    wire::Membership membership;
    bool isConfirmed = true;
  };
  std::vector<Version> mVersions; ///< Ascending, never empty.
};

/// Whether a member counts in this membership, given the identity that its replies carry.
bool isSameStore(const wire::Member& aMember, wire::StoreId aStore);

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_MEMBERSHIPHISTORY_H_
