// Checksummed, length-prefixed records in a file.
//
// A record is a 24-byte header and a payload. Header, little-endian: marker (4 bytes), payload
// length (4), XXH3 of the payload (8), XXH3 of the 16 bytes before (8). Both checksums are seeded
// with a number of the file, so a record of another file is not accepted. The header has its own
// checksum, so that a corrupt length is detected before it is used.
//
// A writer syncs each record before it starts the next one. So only the last record can be
// incomplete after a crash, and an incomplete record was never acknowledged. An incomplete record
// is either too short or has sectors that were never written and read as zeros. Any other record
// that fails verification was acknowledged and is corrupt: truncating it would silently lose
// acknowledged data.

#ifndef CAMPHORCLEAT_AGREEMENT_RECORDFORMAT_H_
#define CAMPHORCLEAT_AGREEMENT_RECORDFORMAT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorcleat::agreement {

/// Returns a payload with its header. aPayload is shorter than 4 GiB. Thread-safe.
std::string makeRecord(std::string_view aPayload, std::uint64_t aSeed);

/// Iterates over the records in the content of one file. Not thread-safe.
class RecordReader
{
public:
  /// The content must outlive the reader.
  RecordReader(std::string_view aContent, std::uint64_t aSeed);

  /// Moves to the next record. Returns false at the end and at a record that fails verification.
  bool next();

  /// Returns the record that next() moved to.
  std::string_view payload() const { return mPayload; }

  /// Returns the offset of the end of the last valid record.
  std::uint64_t offsetBytes() const { return mOffset; }

  bool isAtEnd() const { return mOffset == mContent.size(); }

  /// Returns whether the bytes after offsetBytes() look like a record whose write was interrupted;
  /// false if they look like a corrupt record. Precondition: next() returned false.
  bool isTorn() const;

private:
  enum class Check
  {
    Good,
    ShortHeader,
    BadHeader,
    ShortPayload,
    BadPayload,
  };
  Check check(std::uint64_t aOffset, std::string_view& aPayload) const;
  bool hasRecordAfter(std::uint64_t aOffset) const;
  bool hasUnwrittenSector(std::uint64_t aOffset) const;

  std::string_view mContent;
  std::uint64_t mSeed;
  std::uint64_t mOffset = 0;
  std::string_view mPayload;
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_RECORDFORMAT_H_
