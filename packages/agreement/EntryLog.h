// The part of the log that is held in memory: everything after a base position.
//
// Entries are in a deque, with a running sum of bytes, so that batch and window bounds are checked
// without walking over the entries.

#ifndef CAMPHORCLEAT_AGREEMENT_ENTRYLOG_H_
#define CAMPHORCLEAT_AGREEMENT_ENTRYLOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/Ids.h"
#include "wire/LogMessages.h"

namespace camphorcleat::agreement {

/// Not thread-safe.
class EntryLog
{
public:
  /// An empty log after the position given.
  EntryLog(LogIndex aBaseIndex, Term aBaseTerm);

  /// Position before the first entry held.
  LogIndex baseIndex() const { return mBaseIndex; }
  LogIndex lastIndex() const { return mBaseIndex + mSlots.size(); }
  Term lastTerm() const { return mSlots.empty() ? mBaseTerm : mSlots.back().entry.term; }

  /// Term at a position from baseIndex() to lastIndex(); nothing outside of that.
  std::optional<Term> termAt(LogIndex aIndex) const;

  /// The entry at a position. Precondition: baseIndex() < aIndex <= lastIndex().
  const wire::LogEntry& at(LogIndex aIndex) const;

  /// Adds an entry. Precondition: its index is lastIndex() + 1.
  void append(wire::LogEntry aEntry);

  /// Removes aFrom and everything after it. Precondition: aFrom > baseIndex().
  void truncateFrom(LogIndex aFrom);

  /// Moves the base forward to aIndex, if it is held; otherwise nothing happens.
  void compactTo(LogIndex aIndex);

  /// Discards everything and starts after the position given.
  void reset(LogIndex aBaseIndex, Term aBaseTerm);

  /// Entries from aFrom on, within both bounds, but at least one if there is one.
  /// Precondition: aFrom > baseIndex().
  std::vector<wire::LogEntry> slice(LogIndex aFrom, std::size_t aMaxEntries,
                                    std::size_t aMaxBytes) const;

  /// Payload bytes, with a fixed overhead an entry, of the entries after aAfter up to lastIndex().
  std::uint64_t bytesAfter(LogIndex aAfter) const;

  /// The same, between two positions. Positions before the base count as the base.
  std::uint64_t bytesBetween(LogIndex aAfter, LogIndex aUpTo) const;

  /// First position held that has the term of aIndex without a break up to aIndex.
  LogIndex firstOfTermAt(LogIndex aIndex) const;

private:
  struct Slot
  {
    wire::LogEntry entry;
    std::uint64_t endBytes = 0; ///< Bytes of everything ever appended up to this entry.
  };
  std::uint64_t endBytesAt(LogIndex aIndex) const;

  LogIndex mBaseIndex;
  Term mBaseTerm;
  std::uint64_t mBaseBytes = 0;
  std::deque<Slot> mSlots;
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_ENTRYLOG_H_
