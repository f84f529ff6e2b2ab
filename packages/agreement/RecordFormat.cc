// The search for a valid record after an invalid one looks for the marker first, so that it
// computes few checksums.

#include "agreement/RecordFormat.h"

#include <algorithm>

#include <QtEndian>

#include "base/Hash.h"

namespace camphorcleat::agreement {

namespace {

constexpr std::string_view kMarker = "CLR1";
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kPayloadHashOffset = 8;
constexpr std::size_t kHeaderHashOffset = 16;
constexpr std::size_t kHeaderBytes = 24;
// Smallest unit that a disk writes.
constexpr std::uint64_t kSectorBytes = 512;

template<class T>
void put(std::string& aOut, T aValue)
{
  char buf[sizeof(T)];
  qToLittleEndian(aValue, buf);
  aOut.append(buf, sizeof(T));
}

template<class T>
T get(std::string_view aIn, std::size_t aOffset)
{
  return qFromLittleEndian<T>(aIn.data() + aOffset);
}

} // namespace

std::string makeRecord(std::string_view aPayload, std::uint64_t aSeed)
{
  std::string out(kMarker);
  out.reserve(kHeaderBytes + aPayload.size());
  put(out, static_cast<quint32>(aPayload.size()));
  put(out, static_cast<quint64>(hash64(aPayload, aSeed)));
  put(out, static_cast<quint64>(hash64(out, aSeed)));
  out += aPayload;
  return out;
}

RecordReader::RecordReader(std::string_view aContent, std::uint64_t aSeed)
  : mContent(aContent)
  , mSeed(aSeed)
{
}

bool RecordReader::next()
{
  if (check(mOffset, mPayload) != Check::Good) {
    return false;
  }
  mOffset += kHeaderBytes + mPayload.size();
  return true;
}

RecordReader::Check RecordReader::check(std::uint64_t aOffset, std::string_view& aPayload) const
{
  const std::string_view rest = mContent.substr(aOffset);
  if (rest.size() < kHeaderBytes) {
    return Check::ShortHeader;
  }
  const std::string_view header = rest.substr(0, kHeaderBytes);
  if (header.substr(0, kMarker.size()) != kMarker ||
      get<quint64>(header, kHeaderHashOffset) !=
        hash64(header.substr(0, kHeaderHashOffset), mSeed)) {
    return Check::BadHeader;
  }
  const std::size_t length = get<quint32>(header, kLengthOffset);
  if (rest.size() - kHeaderBytes < length) {
    return Check::ShortPayload;
  }
  aPayload = rest.substr(kHeaderBytes, length);
  return hash64(aPayload, mSeed) == get<quint64>(header, kPayloadHashOffset) ? Check::Good
                                                                             : Check::BadPayload;
}

bool RecordReader::isTorn() const
{
  std::string_view payload;
  const Check state = check(mOffset, payload);
  if (hasRecordAfter(mOffset)) {
    return false;
  }
  return state == Check::ShortHeader || state == Check::ShortPayload || hasUnwrittenSector(mOffset);
}

bool RecordReader::hasRecordAfter(std::uint64_t aOffset) const
{
  std::string_view payload;
  for (std::size_t at = mContent.find(kMarker, aOffset + 1); at != std::string_view::npos;
       at = mContent.find(kMarker, at + 1)) {
    if (check(at, payload) == Check::Good) {
      return true;
    }
  }
  return false;
}

bool RecordReader::hasUnwrittenSector(std::uint64_t aOffset) const
{
  for (std::uint64_t begin = aOffset; begin < mContent.size();) {
    const std::uint64_t end =
      std::min<std::uint64_t>((begin / kSectorBytes + 1) * kSectorBytes, mContent.size());
    const std::string_view sector = mContent.substr(begin, end - begin);
    if (std::all_of(sector.begin(), sector.end(), [](char aByte) { return aByte == 0; })) {
      return true;
    }
    begin = end;
  }
  return false;
}

} // namespace camphorcleat::agreement
