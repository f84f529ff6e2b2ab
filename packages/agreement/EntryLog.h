// The in-memory part of the log: all entries after a base index.
//
// Entries are stored in a deque with a running sum of bytes, so that the sizes of batches and
// windows are computed without iterating over the entries.

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
  /// Creates an empty log whose first entry will follow aBaseIndex.
  EntryLog(LogIndex aBaseIndex, Term aBaseTerm);

  /// Returns the index before the first entry in memory.
  LogIndex baseIndex() const { return mBaseIndex; }
  LogIndex lastIndex() const { return mBaseIndex + mEntries.size(); }
  Term lastTerm() const { return mEntries.empty() ? mBaseTerm : mEntries.back().entry.term; }

  /// Returns the term of the entry at an index from baseIndex() to lastIndex(); nullopt outside
  /// this range.
  std::optional<Term> termAt(LogIndex aIndex) const;

  /// Returns the entry at an index. Precondition: baseIndex() < aIndex <= lastIndex().
  const wire::LogEntry& at(LogIndex aIndex) const;

  /// Adds an entry. Precondition: its index is lastIndex() + 1.
  void append(wire::LogEntry aEntry);

  /// Removes aFrom and everything after it. Precondition: aFrom > baseIndex().
  void truncateFrom(LogIndex aFrom);

  /// Removes the entries up to aIndex and makes aIndex the base. Does nothing unless baseIndex() <
  /// aIndex <= lastIndex().
  void compactTo(LogIndex aIndex);

  /// Removes all entries and sets a new base.
  void reset(LogIndex aBaseIndex, Term aBaseTerm);

  /// Returns the entries from aFrom on, within both limits, but at least one if there is any.
  /// Precondition: aFrom > baseIndex().
  std::vector<wire::LogEntry> slice(LogIndex aFrom, std::size_t aMaxEntries,
                                    std::size_t aMaxBytes) const;

  /// Returns the size of the entries after aAfter up to lastIndex(): payload bytes plus a fixed
  /// overhead per entry.
  std::uint64_t bytesAfter(LogIndex aAfter) const;

  /// Returns the size of the entries after aAfter up to aUpTo. Entries up to the base are not
  /// included.
  std::uint64_t bytesBetween(LogIndex aAfter, LogIndex aUpTo) const;

  /// Returns the first index in memory of the run of entries with the same term that includes
  /// aIndex.
  LogIndex firstOfTermAt(LogIndex aIndex) const;

private:
  struct SizedEntry
  {
    wire::LogEntry entry;
    /// Running sum of sizes up to and including this entry, since the last reset().
    std::uint64_t endBytes = 0;
  };
  std::uint64_t endBytesAt(LogIndex aIndex) const;

  LogIndex mBaseIndex;
  Term mBaseTerm;
  std::uint64_t mBaseBytes = 0;
  std::deque<SizedEntry> mEntries;
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_ENTRYLOG_H_
