// Uses Qt's format: the length as 4 bytes, big-endian, and a zlib stream.

#include "base/Compression.h"

#include <QByteArray>
#include <QtEndian>

namespace camphorcleat {

namespace {

// The fastest level. Configurations consist of repeated names and shrink to a tenth even so.
constexpr int kLevel = 1;

QByteArray viewOf(std::string_view aData)
{
  return QByteArray::fromRawData(aData.data(), static_cast<qsizetype>(aData.size()));
}

} // namespace

std::string compress(std::string_view aData)
{
  return qCompress(viewOf(aData), kLevel).toStdString();
}

std::size_t decompressedBytes(std::string_view aCompressed)
{
  return aCompressed.size() < sizeof(quint32) ? 0 : qFromBigEndian<quint32>(aCompressed.data());
}

Result<std::string> decompress(std::string_view aCompressed, std::size_t aMaxBytes)
{
  if (aCompressed.size() < sizeof(quint32)) {
    return fail(DecodeError{ "compressed", "the length is missing" });
  }
  const std::size_t length = decompressedBytes(aCompressed);
  if (length > aMaxBytes) {
    return fail(DecodeError{ "compressed", "longer than the limit" });
  }
  const QByteArray out = qUncompress(viewOf(aCompressed));
  if (static_cast<std::size_t>(out.size()) != length) {
    return fail(DecodeError{ "compressed", "the data is damaged" });
  }
  return out.toStdString();
}

} // namespace camphorcleat
