// The entry at index i is at position i - mBaseIndex - 1 of the deque.

#include "agreement/EntryLog.h"

#include <algorithm>
#include <utility>

namespace camphorcleat::agreement {

namespace {

// Memory for index, term, kind and deque slot, so that empty entries have a size too.
constexpr std::uint64_t kEntryOverheadBytes = 64;

} // namespace

EntryLog::EntryLog(LogIndex aBaseIndex, Term aBaseTerm)
  : mBaseIndex(aBaseIndex)
  , mBaseTerm(aBaseTerm)
{
}

std::optional<Term> EntryLog::termAt(LogIndex aIndex) const
{
  if (aIndex == mBaseIndex) {
    return mBaseTerm;
  }
  if (aIndex < mBaseIndex || aIndex > lastIndex()) {
    return std::nullopt;
  }
  return at(aIndex).term;
}

const wire::LogEntry& EntryLog::at(LogIndex aIndex) const
{
  return mEntries[aIndex - mBaseIndex - 1].entry;
}

void EntryLog::append(wire::LogEntry aEntry)
{
  const std::uint64_t end = endBytesAt(lastIndex()) + aEntry.payload.size() + kEntryOverheadBytes;
  mEntries.push_back(SizedEntry{ std::move(aEntry), end });
}

void EntryLog::truncateFrom(LogIndex aFrom)
{
  if (aFrom <= lastIndex()) {
    mEntries.resize(aFrom - mBaseIndex - 1);
  }
}

void EntryLog::compactTo(LogIndex aIndex)
{
  if (aIndex <= mBaseIndex || aIndex > lastIndex()) {
    return;
  }
  const auto count = static_cast<std::ptrdiff_t>(aIndex - mBaseIndex);
  mBaseTerm = at(aIndex).term;
  mBaseBytes = endBytesAt(aIndex);
  mEntries.erase(mEntries.begin(), mEntries.begin() + count);
  mBaseIndex = aIndex;
}

void EntryLog::reset(LogIndex aBaseIndex, Term aBaseTerm)
{
  mEntries.clear();
  mBaseIndex = aBaseIndex;
  mBaseTerm = aBaseTerm;
  mBaseBytes = 0;
}

std::vector<wire::LogEntry> EntryLog::slice(LogIndex aFrom, std::size_t aMaxEntries,
                                            std::size_t aMaxBytes) const
{
  std::vector<wire::LogEntry> out;
  for (LogIndex i = aFrom; i <= lastIndex() && out.size() < aMaxEntries; ++i) {
    if (!out.empty() && bytesBetween(aFrom - 1, i) > aMaxBytes) {
      break;
    }
    out.push_back(at(i));
  }
  return out;
}

std::uint64_t EntryLog::bytesAfter(LogIndex aAfter) const
{
  return bytesBetween(aAfter, lastIndex());
}

std::uint64_t EntryLog::bytesBetween(LogIndex aAfter, LogIndex aUpTo) const
{
  return aUpTo <= aAfter ? 0 : endBytesAt(aUpTo) - endBytesAt(aAfter);
}

LogIndex EntryLog::firstOfTermAt(LogIndex aIndex) const
{
  const auto term = termAt(aIndex);
  LogIndex i = aIndex;
  while (i > mBaseIndex + 1 && termAt(i - 1) == term) {
    --i;
  }
  return i;
}

std::uint64_t EntryLog::endBytesAt(LogIndex aIndex) const
{
  return aIndex <= mBaseIndex ? mBaseBytes
                              : mEntries[std::min(aIndex, lastIndex()) - mBaseIndex - 1].endBytes;
}

} // namespace camphorcleat::agreement
