// Parses and writes CBOR and JSON documents with Qt.

#include "base/Codec.h"

#include <QCborStreamReader>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace camphorcleat {

Result<QCborValue> parseCbor(const std::string& aBytes)
{
  QCborStreamReader reader(aBytes.data(), static_cast<qsizetype>(aBytes.size()));
  QCborValue value = QCborValue::fromCbor(reader);
  if (reader.lastError() != QCborError::NoError) {
    return fail(DecodeError{ "", "not CBOR: " + reader.lastError().toString().toStdString() +
                                   " at byte " + std::to_string(reader.currentOffset()) });
  }
  if (reader.currentOffset() != static_cast<qint64>(aBytes.size())) {
    return fail(DecodeError{ "", "bytes follow the message at byte " +
                                   std::to_string(reader.currentOffset()) });
  }
  return value;
}

Result<QCborValue> parseJson(const std::string& aText)
{
  QJsonParseError error{};
  const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(aText), &error);
  if (error.error != QJsonParseError::NoError) {
    return fail(DecodeError{ "", "not JSON: " + error.errorString().toStdString() + " at byte " +
                                   std::to_string(error.offset) });
  }
  return document.isArray() ? QCborValue::fromJsonValue(document.array())
                            : QCborValue::fromJsonValue(document.object());
}

std::string writeJson(const QCborValue& aValue)
{
  const QJsonValue value = aValue.toJsonValue();
  const QJsonDocument document =
    value.isArray() ? QJsonDocument(value.toArray()) : QJsonDocument(value.toObject());
  return document.toJson(QJsonDocument::Compact).toStdString();
}

} // namespace camphorcleat
