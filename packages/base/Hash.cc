// Calls xxhash and QCryptographicHash.

#include "base/Hash.h"

#include <xxhash.h>

#include <QByteArray>
#include <QByteArrayView>
#include <QCryptographicHash>

namespace camphorcleat {

std::uint64_t hash64(std::string_view aData, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aData.data(), aData.size(), aSeed);
}

PartitionId partitionOf(std::string_view aService, std::string_view aKey,
                        std::uint32_t aPartitionCount)
{
  return static_cast<PartitionId>(hash64(aKey, hash64(aService)) % aPartitionCount);
}

std::string sha256(std::string_view aData)
{
  return QCryptographicHash::hash(
           QByteArrayView(aData.data(), static_cast<qsizetype>(aData.size())),
           QCryptographicHash::Sha256)
    .toStdString();
}

std::string toHex(std::string_view aBytes)
{
  return QByteArray(aBytes.data(), static_cast<qsizetype>(aBytes.size())).toHex().toStdString();
}

std::string sha256Hex(std::string_view aData)
{
  return toHex(sha256(aData));
}

bool equalConstantTime(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    difference |= static_cast<unsigned char>(aLeft[i]) ^ static_cast<unsigned char>(aRight[i]);
  }
  return difference == 0;
}

} // namespace camphorcleat
