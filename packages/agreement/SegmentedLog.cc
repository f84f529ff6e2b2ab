// open() reads one segment into memory at a time, in addition to the decoded entries.

#include "agreement/SegmentedLog.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "agreement/RecordFormat.h"

namespace camphorcleat::agreement {

namespace {

constexpr const char* kPrefix = "log-";
constexpr std::size_t kDigits = 12;
// Far above the size of a segment, which exceeds aSegmentBytes by at most one record; FileLogStore
// limits the size of records.
constexpr std::uint64_t kMaxSegmentBytes = 256U << 20U;

// Returns false if the entries would not be contiguous.
bool apply(SegmentRecord aRecord, std::vector<wire::LogEntry>& aEntries)
{
  if (aRecord.isReset) {
    aEntries.clear();
  }
  while (aRecord.truncateFrom != 0 && !aEntries.empty() &&
         aEntries.back().index >= aRecord.truncateFrom) {
    aEntries.pop_back();
  }
  for (auto& it : aRecord.entries) {
    if (!aEntries.empty() && it.index != aEntries.back().index + 1) {
      return false;
    }
    aEntries.push_back(std::move(it));
  }
  return true;
}

} // namespace

SegmentedLog::SegmentedLog(std::string aFolder, std::uint64_t aSegmentBytes)
  : mFolder(std::move(aFolder))
  , mSegmentBytes(aSegmentBytes)
{
}

std::string SegmentedLog::path(std::uint64_t aNumber) const
{
  const std::string digits = std::to_string(aNumber);
  return mFolder + "/" + kPrefix + std::string(kDigits - std::min(kDigits, digits.size()), '0') +
         digits;
}

Result<std::vector<std::uint64_t>> SegmentedLog::listNumbers() const
{
  BOOST_LEAF_AUTO(names, listFolder(mFolder));
  std::vector<std::uint64_t> out;
  for (const auto& it : names) {
    if (it.rfind(kPrefix, 0) == 0) {
      out.push_back(std::strtoull(it.c_str() + std::string_view(kPrefix).size(), nullptr, 10));
    }
  }
  return out;
}

Result<std::vector<wire::LogEntry>> SegmentedLog::open(std::uint64_t aLastSegment)
{
  BOOST_LEAF_AUTO(numbers, listNumbers());
  const std::uint64_t last = numbers.empty() ? 0 : numbers.back();
  if (last < aLastSegment) {
    return fail(LogDamagedError{ path(aLastSegment), 0, "last log segment is missing" });
  }
  std::vector<wire::LogEntry> entries;
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (i > 0 && numbers[i] != numbers[i - 1] + 1) {
      return fail(LogDamagedError{ path(numbers[i - 1] + 1), 0, "log segment is missing" });
    }
    BOOST_LEAF_CHECK(read(numbers[i], i + 1 == numbers.size(), entries));
  }
  if (!numbers.empty()) {
    BOOST_LEAF_ASSIGN(mFile, PosixFile::openForAppend(path(last)));
    BOOST_LEAF_CHECK(mFile.truncateTo(mSegments.back().sizeBytes));
  }
  return entries;
}

Result<void> SegmentedLog::read(std::uint64_t aNumber, bool aIsLast,
                                std::vector<wire::LogEntry>& aEntries)
{
  const std::string name = path(aNumber);
  BOOST_LEAF_AUTO(content, readFile(name, kMaxSegmentBytes));
  RecordReader reader(content, aNumber);
  Segment segment{ aNumber, 0, 0 };
  while (reader.next()) {
    const std::uint64_t offset = segment.sizeBytes;
    segment.sizeBytes = reader.offsetBytes();
    SegmentRecord record;
    bool isValid = orElse(
      [&]() -> Result<bool> {
        BOOST_LEAF_ASSIGN(record, decode<SegmentRecord>(std::string(reader.payload())));
        return true;
      },
      [](const ErrorInfo&) { return false; });
    if (isValid && !record.entries.empty()) {
      segment.lastIndex = std::max(segment.lastIndex, record.entries.back().index);
    }
    isValid = isValid && apply(std::move(record), aEntries);
    if (!isValid) {
      return fail(
        LogDamagedError{ name, offset, "record can't be decoded or doesn't continue the log" });
    }
  }
  if (!reader.isAtEnd() && !(aIsLast && reader.isTorn())) {
    return fail(LogDamagedError{ name, reader.offsetBytes(), "record is corrupt or incomplete" });
  }
  mSegments.push_back(segment);
  return {};
}

Result<void> SegmentedLog::startSegment()
{
  const std::uint64_t number = lastSegment() + 1;
  BOOST_LEAF_AUTO(file, PosixFile::openForAppend(path(number)));
  BOOST_LEAF_CHECK(syncFolder(mFolder));
  mFile = std::move(file);
  mSegments.push_back(Segment{ number, 0, 0 });
  return {};
}

Result<void> SegmentedLog::truncateToSynced()
{
  if (!mFile.isOpen()) {
    return {};
  }
  return mFile.truncateTo(mSegments.back().sizeBytes);
}

Result<void> SegmentedLog::append(const SegmentRecord& aRecord)
{
  Segment& segment = mSegments.back();
  const std::string record = makeRecord(encode(aRecord), segment.number);
  BOOST_LEAF_CHECK(mFile.append(record));
  BOOST_LEAF_CHECK(mFile.sync());
  segment.sizeBytes += record.size();
  if (!aRecord.entries.empty()) {
    segment.lastIndex = std::max(segment.lastIndex, aRecord.entries.back().index);
  }
  return {};
}

Result<void> SegmentedLog::deleteUpTo(LogIndex aIndex)
{
  std::size_t count = 0;
  while (count + 1 < mSegments.size() && mSegments[count].lastIndex <= aIndex) {
    ++count;
  }
  return deleteFirst(count);
}

Result<void> SegmentedLog::deleteBefore(std::uint64_t aNumber)
{
  return deleteFirst(aNumber - mSegments.front().number);
}

Result<void> SegmentedLog::deleteFirst(std::size_t aCount)
{
  if (aCount == 0) {
    return {};
  }
  for (std::size_t i = 0; i < aCount; ++i) {
    BOOST_LEAF_CHECK(removeFile(path(mSegments.front().number)));
    mSegments.pop_front();
  }
  return syncFolder(mFolder);
}

} // namespace camphorcleat::agreement
