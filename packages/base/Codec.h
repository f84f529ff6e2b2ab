// Encodes structs as CBOR and JSON from one list of fields per struct, based on Qt's QCborValue.
//
// A struct lists its fields in a static function:
//
//   struct Credit {
//     RequestId request;
//     std::uint32_t bytes = 0;
//     static constexpr auto fields() {
//       return std::make_tuple(field("request", &Credit::request), field("bytes", &Credit::bytes));
//     }
//   };
//
// CBOR and JSON follow the same rules. Unknown fields are skipped. A missing field is an error
// unless its type is std::optional. A number outside the member's range is an error. An enumerator
// is encoded as its name in EnumNames. A std::variant is encoded as {"type": kName, "body": {...}},
// where kName is a constant of the alternative. QCborValue limits nesting to 1,024 levels and the
// caller limits the input size, so decoding can't exhaust the stack or memory.
//
// Messages between daemons use a compact encoding. A struct is the array of its field values in
// the order of fields(), in which null stands for the member's default value and trailing nulls are
// omitted. A variant is the array of the alternative's index and the body. An enumerator is its
// number. New fields, enumerators and alternatives must therefore be added at the end. A CBOR tag
// marks each of these items, so that the decoder recognizes the encoding and never reads JSON as
// the compact one.

#ifndef CAMPHORCLEAT_BASE_CODEC_H_
#define CAMPHORCLEAT_BASE_CODEC_H_

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>

#include "base/Bytes.h"
#include "base/EnumNames.h"
#include "base/Errors.h"
#include "base/Ids.h"
#include "base/Time.h"

namespace camphorcleat {

/// A member of a struct and its name in the named encoding.
template<class S, class M>
struct Field
{
  const char* name;
  M S::*member;
};

template<class S, class M>
constexpr Field<S, M> field(const char* aName, M S::*aMember)
{
  return { aName, aMember };
}

namespace detail {

inline constexpr const char* kVariantType = "type";
inline constexpr const char* kVariantBody = "body";

/// Failure of a decode. Each level of the recursion prepends its field to the path on return.
struct DecodeFailure
{
  std::string path;
  std::string reason;
};

/// Has no value if the decode succeeded.
using DecodeStatus = std::optional<DecodeFailure>;

inline DecodeStatus decodeFailure(std::string aReason)
{
  return DecodeFailure{ std::string(), std::move(aReason) };
}

inline DecodeStatus prependPath(DecodeStatus aStatus, const std::string& aName)
{
  if (aStatus) {
    aStatus->path = aStatus->path.empty() ? aName : aName + "." + aStatus->path;
  }
  return aStatus;
}

template<class T, class = void>
struct HasFields : std::false_type
{
};
template<class T>
struct HasFields<T, std::void_t<decltype(T::fields())>> : std::true_type
{
};

enum class Encoding
{
  Named,  ///< With names of fields and enumerators, for JSON and stored data.
  Compact ///< Without names, for messages between daemons.
};

/// The tag of a compact item. IANA has not assigned this number.
inline constexpr QCborTag kCompactTag{ 6 };

inline bool isCompact(const QCborValue& aValue)
{
  return aValue.isTag() && aValue.tag() == kCompactTag;
}

inline QCborValue makeCompact(const QCborValue& aValue)
{
  return { kCompactTag, aValue };
}

template<class T>
constexpr bool kIsScalar = std::is_arithmetic_v<T> || std::is_enum_v<T>;

/// Returns whether the compact encoding may write null for a member.
template<class T>
bool equalsDefault(const T& aValue, const T& aDefault)
{
  if constexpr (kIsScalar<T>) {
    return aValue == aDefault;
  } else {
    return false; // A struct is always written and omits its own default members.
  }
}
inline bool equalsDefault(const std::string& aValue, const std::string& aDefault)
{
  return aValue == aDefault;
}
inline bool equalsDefault(const Bytes& aValue, const Bytes& aDefault)
{
  return aValue.data == aDefault.data;
}
template<class Rep, class Period>
bool equalsDefault(const std::chrono::duration<Rep, Period>& aValue,
                   const std::chrono::duration<Rep, Period>& aDefault)
{
  return aValue == aDefault;
}
template<class T>
bool equalsDefault(const std::vector<T>& aValue, const std::vector<T>& aDefault)
{
  return aValue.empty() && aDefault.empty();
}
template<class K, class T>
bool equalsDefault(const std::map<K, T>& aValue, const std::map<K, T>& aDefault)
{
  return aValue.empty() && aDefault.empty();
}
template<class T>
bool equalsDefault(const std::optional<T>& aValue, const std::optional<T>& aDefault)
{
  return !aValue && !aDefault;
}

/// Encodes and decodes values of one type. Specialized for each supported type; a specialization
/// may lack the direction that isn't used.
template<class T, class = void>
struct Coder;

template<>
struct Coder<bool>
{
  static QCborValue encode(bool aValue, Encoding /*aEncoding*/) { return QCborValue(aValue); }
  static DecodeStatus decode(const QCborValue& aValue, bool& aOut)
  {
    if (!aValue.isBool()) {
      return decodeFailure("expected a boolean");
    }
    aOut = aValue.toBool();
    return std::nullopt;
  }
};

template<class T>
struct Coder<T, std::enable_if_t<std::is_integral_v<T> && !std::is_same_v<T, bool>>>
{
  static QCborValue encode(T aValue, Encoding /*aEncoding*/)
  {
    return QCborValue(static_cast<qint64>(aValue));
  }
  static DecodeStatus decode(const QCborValue& aValue, T& aOut)
  {
    // Qt's JSON parser may return whole numbers as doubles.
    const qint64 n = aValue.toInteger();
    const bool isWholeDouble = aValue.isDouble() && aValue.toDouble() == static_cast<double>(n);
    if (!aValue.isInteger() && !isWholeDouble) {
      return decodeFailure("expected an integer");
    }
    if constexpr (std::is_unsigned_v<T>) {
      if (n < 0) {
        return decodeFailure("expected a number that is not negative");
      }
    }
    if constexpr (sizeof(T) < sizeof(qint64)) {
      if (n < static_cast<qint64>(std::numeric_limits<T>::min()) ||
          n > static_cast<qint64>(std::numeric_limits<T>::max())) {
        return decodeFailure("number " + std::to_string(n) + " is out of range");
      }
    }
    aOut = static_cast<T>(n);
    return std::nullopt;
  }
};

template<>
struct Coder<double>
{
  static QCborValue encode(double aValue, Encoding /*aEncoding*/) { return QCborValue(aValue); }
  static DecodeStatus decode(const QCborValue& aValue, double& aOut)
  {
    if (!aValue.isDouble() && !aValue.isInteger()) {
      return decodeFailure("expected a number");
    }
    aOut = aValue.toDouble();
    return std::nullopt;
  }
};

template<>
struct Coder<std::string>
{
  static QCborValue encode(const std::string& aValue, Encoding /*aEncoding*/)
  {
    return QCborValue(QString::fromUtf8(aValue.data(), static_cast<qsizetype>(aValue.size())));
  }
  static DecodeStatus decode(const QCborValue& aValue, std::string& aOut)
  {
    if (!aValue.isString()) {
      return decodeFailure("expected a text");
    }
    aOut = aValue.toString().toStdString();
    return std::nullopt;
  }
};

template<>
struct Coder<Bytes>
{
  static QCborValue encode(const Bytes& aValue, Encoding /*aEncoding*/)
  {
    return QCborValue(QByteArray(aValue.data.data(), static_cast<qsizetype>(aValue.data.size())));
  }
  static DecodeStatus decode(const QCborValue& aValue, Bytes& aOut)
  {
    if (aValue.isString()) { // JSON has no byte strings, so Qt writes them as base64url text.
      aOut.data =
        QByteArray::fromBase64(aValue.toString().toLatin1(), QByteArray::Base64UrlEncoding)
          .toStdString();
      return std::nullopt;
    }
    if (!aValue.isByteArray()) {
      return decodeFailure("expected a byte string");
    }
    const QByteArray buf = aValue.toByteArray();
    aOut.data.assign(buf.constData(), static_cast<std::size_t>(buf.size()));
    return std::nullopt;
  }
};

template<class E>
struct Coder<E, std::enable_if_t<std::is_enum_v<E>>>
{
  static QCborValue encode(E aValue, Encoding aEncoding)
  {
    if (aEncoding == Encoding::Compact) {
      return makeCompact(static_cast<qint64>(aValue));
    }
    const std::string_view name = enumName(aValue);
    return QCborValue(QLatin1String(name.data(), static_cast<qsizetype>(name.size())));
  }
  static DecodeStatus decode(const QCborValue& aValue, E& aOut)
  {
    if (isCompact(aValue)) {
      constexpr qint64 kNone = -1;
      const qint64 number = aValue.taggedValue().toInteger(kNone);
      const auto value = enumFromNumber<E>(number);
      if (!value) {
        return decodeFailure("unknown number " + std::to_string(number));
      }
      aOut = *value;
      return std::nullopt;
    }
    if (!aValue.isString()) {
      return decodeFailure("expected a name");
    }
    const std::string name = aValue.toString().toStdString();
    const auto value = enumFromName<E>(name);
    if (!value) {
      return decodeFailure("unknown name '" + name + "'");
    }
    aOut = *value;
    return std::nullopt;
  }
};

template<class Rep, class Period>
struct Coder<std::chrono::duration<Rep, Period>>
{
  using Value = std::chrono::duration<Rep, Period>;
  static QCborValue encode(Value aValue, Encoding /*aEncoding*/)
  {
    return QCborValue(static_cast<qint64>(aValue.count()));
  }
  static DecodeStatus decode(const QCborValue& aValue, Value& aOut)
  {
    std::int64_t n = 0;
    DecodeStatus status = Coder<std::int64_t>::decode(aValue, n);
    aOut = Value(n);
    return status;
  }
};

template<class T>
struct Coder<std::optional<T>>
{
  static QCborValue encode(const std::optional<T>& aValue, Encoding aEncoding)
  {
    return aValue ? Coder<T>::encode(*aValue, aEncoding) : QCborValue(QCborValue::Null);
  }
  static DecodeStatus decode(const QCborValue& aValue, std::optional<T>& aOut)
  {
    if (aValue.isNull() || aValue.isUndefined()) {
      aOut.reset();
      return std::nullopt;
    }
    aOut.emplace();
    return Coder<T>::decode(aValue, *aOut);
  }
};

template<class T>
struct Coder<std::vector<T>>
{
  static QCborValue encode(const std::vector<T>& aValue, Encoding aEncoding)
  {
    QCborArray out;
    for (const auto& it : aValue) {
      out.append(Coder<T>::encode(it, aEncoding));
    }
    return out;
  }
  static DecodeStatus decode(const QCborValue& aValue, std::vector<T>& aOut)
  {
    if (!aValue.isArray()) {
      return decodeFailure("expected an array");
    }
    const QCborArray in = aValue.toArray();
    aOut.clear();
    aOut.reserve(static_cast<std::size_t>(in.size()));
    for (qsizetype i = 0; i < in.size(); ++i) {
      T item{};
      if (auto status = Coder<T>::decode(in.at(i), item)) {
        return prependPath(std::move(status), std::to_string(i));
      }
      aOut.push_back(std::move(item));
    }
    return std::nullopt;
  }
};

template<class K, class T>
struct Coder<std::map<K, T>>
{
  static std::string keyText(const std::string& aKey) { return aKey; }
  template<class N>
  static std::string keyText(N aKey)
  {
    return std::to_string(aKey);
  }
  static bool decodeKey(const QCborValue& aValue, std::string& aOut)
  {
    return !Coder<std::string>::decode(aValue, aOut);
  }
  template<class N>
  static bool decodeKey(const QCborValue& aValue, N& aOut)
  {
    if (aValue.isString()) { // In JSON, all keys are text.
      bool ok = false;
      aOut = static_cast<N>(aValue.toString().toULongLong(&ok));
      return ok;
    }
    return !Coder<N>::decode(aValue, aOut);
  }
  static QCborValue encode(const std::map<K, T>& aValue, Encoding aEncoding)
  {
    QCborMap out;
    for (const auto& [key, value] : aValue) {
      out.insert(Coder<K>::encode(key, aEncoding), Coder<T>::encode(value, aEncoding));
    }
    return out;
  }
  static DecodeStatus decode(const QCborValue& aValue, std::map<K, T>& aOut)
  {
    if (!aValue.isMap()) {
      return decodeFailure("expected a map");
    }
    aOut.clear();
    const QCborMap in = aValue.toMap();
    for (auto it = in.begin(); it != in.end(); ++it) {
      K key{};
      if (!decodeKey(it.key(), key)) {
        return decodeFailure("unexpected type of a map key");
      }
      T item{};
      if (auto status = Coder<T>::decode(it.value(), item)) {
        return prependPath(std::move(status), keyText(key));
      }
      aOut.emplace(std::move(key), std::move(item));
    }
    return std::nullopt;
  }
};

template<class S>
struct Coder<S, std::enable_if_t<HasFields<S>::value>>
{
  static QCborValue encode(const S& aValue, Encoding aEncoding)
  {
    if (aEncoding == Encoding::Compact) {
      return encodeCompact(aValue);
    }
    QCborMap out;
    std::apply([&](const auto&... aField) { (encodeField(out, aValue, aField), ...); },
               S::fields());
    return out;
  }
  static DecodeStatus decode(const QCborValue& aValue, S& aOut)
  {
    if (isCompact(aValue)) {
      return decodeCompact(aValue.taggedValue().toArray(), aOut);
    }
    if (!aValue.isMap()) {
      return decodeFailure("expected a map");
    }
    const QCborMap in = aValue.toMap();
    DecodeStatus status;
    std::apply(
      [&](const auto&... aField) {
        ((status = status ? std::move(status) : decodeField(in, aOut, aField)), ...);
      },
      S::fields());
    return status;
  }

private:
  template<class M>
  static void encodeField(QCborMap& aOut, const S& aValue, const Field<S, M>& aField)
  {
    aOut.insert(QLatin1String(aField.name),
                Coder<M>::encode(aValue.*aField.member, Encoding::Named));
  }

  static QCborValue encodeCompact(const S& aValue)
  {
    [[maybe_unused]] static const S sDefaults{};
    QCborArray out;
    const auto append = [&](const auto& aField) {
      using M = std::decay_t<decltype(aValue.*aField.member)>;
      const M& member = aValue.*aField.member;
      out.append(equalsDefault(member, sDefaults.*aField.member)
                   ? QCborValue(QCborValue::Null)
                   : Coder<M>::encode(member, Encoding::Compact));
    };
    std::apply([&](const auto&... aField) { (append(aField), ...); }, S::fields());
    while (!out.isEmpty() && out.last().isNull()) {
      out.removeLast();
    }
    return makeCompact(out);
  }
  static DecodeStatus decodeCompact(const QCborArray& aIn, S& aOut)
  {
    DecodeStatus status;
    qsizetype position = 0;
    const auto decodeNext = [&](const auto& aField) {
      using M = std::decay_t<decltype(aOut.*aField.member)>;
      const qsizetype at = position++;
      if (!status && at < aIn.size() && !aIn.at(at).isNull()) {
        status = prependPath(Coder<M>::decode(aIn.at(at), aOut.*aField.member), aField.name);
      }
    };
    std::apply([&](const auto&... aField) { (decodeNext(aField), ...); }, S::fields());
    return status;
  }
  template<class M>
  struct IsOptional : std::false_type
  {
  };
  template<class M>
  struct IsOptional<std::optional<M>> : std::true_type
  {
  };

  template<class M>
  static DecodeStatus decodeField(const QCborMap& aIn, S& aOut, const Field<S, M>& aField)
  {
    const QCborValue value = aIn.value(QLatin1String(aField.name));
    if (value.isUndefined() && !IsOptional<M>::value) {
      return prependPath(decodeFailure("missing"), aField.name);
    }
    return prependPath(Coder<M>::decode(value, aOut.*aField.member), aField.name);
  }
};

template<>
struct Coder<RequestId>
{
  static QCborValue encode(const RequestId& aValue, Encoding /*aEncoding*/)
  {
    return QCborArray{ static_cast<qint64>(aValue.entry), static_cast<qint64>(aValue.counter) };
  }
  static DecodeStatus decode(const QCborValue& aValue, RequestId& aOut)
  {
    const QCborArray in = aValue.toArray();
    if (in.size() != 2) {
      return decodeFailure("expected a request id of two numbers");
    }
    if (auto status = Coder<Incarnation>::decode(in.at(0), aOut.entry)) {
      return status;
    }
    return Coder<std::uint64_t>::decode(in.at(1), aOut.counter);
  }
};

template<class... A>
struct Coder<std::variant<A...>>
{
  using Value = std::variant<A...>;
  static QCborValue encode(const Value& aValue, Encoding aEncoding)
  {
    return std::visit(
      [&](const auto& aBody) -> QCborValue {
        using Body = std::decay_t<decltype(aBody)>;
        if (aEncoding == Encoding::Compact) {
          return makeCompact(QCborArray{ static_cast<qint64>(aValue.index()),
                                         Coder<Body>::encode(aBody, aEncoding) });
        }
        QCborMap out;
        out.insert(QLatin1String(kVariantType), QLatin1String(Body::kName));
        out.insert(QLatin1String(kVariantBody), Coder<Body>::encode(aBody, aEncoding));
        return out;
      },
      aValue);
  }
  static DecodeStatus decode(const QCborValue& aValue, Value& aOut)
  {
    if (isCompact(aValue)) {
      return decodeCompact(aValue.taggedValue().toArray(), aOut);
    }
    if (!aValue.isMap()) {
      return decodeFailure("expected a map");
    }
    const QCborMap in = aValue.toMap();
    const QString name = in.value(QLatin1String(kVariantType)).toString();
    const QCborValue body = in.value(QLatin1String(kVariantBody));
    DecodeStatus status;
    const bool found = (decodeAlternative<A>(name, body, aOut, status) || ...);
    if (!found) {
      return prependPath(decodeFailure("unknown type '" + name.toStdString() + "'"), kVariantType);
    }
    return status;
  }

private:
  template<class B>
  static bool decodeAlternative(const QString& aName, const QCborValue& aBody, Value& aOut,
                                DecodeStatus& aStatus)
  {
    if (aName != QLatin1String(B::kName)) {
      return false;
    }
    aStatus = decodeBody<B>(aBody, aOut);
    return true;
  }

  static DecodeStatus decodeCompact(const QCborArray& aIn, Value& aOut)
  {
    if (aIn.size() != 2 || !aIn.at(0).isInteger()) {
      return decodeFailure("expected a type and a body");
    }
    const qint64 index = aIn.at(0).toInteger();
    qint64 position = 0;
    DecodeStatus status;
    const bool found =
      ((position++ == index && (status = decodeBody<A>(aIn.at(1), aOut), true)) || ...);
    if (!found) {
      return prependPath(decodeFailure("unknown type " + std::to_string(index)), kVariantType);
    }
    return status;
  }

  template<class B>
  static DecodeStatus decodeBody(const QCborValue& aBody, Value& aOut)
  {
    B body{};
    DecodeStatus status = prependPath(Coder<B>::decode(aBody, body), B::kName);
    aOut = std::move(body);
    return status;
  }
};

} // namespace detail

/// Returns the value as a CBOR item. Thread-safe.
template<class T>
QCborValue toCborValue(const T& aValue)
{
  return detail::Coder<T>::encode(aValue, detail::Encoding::Named);
}

/// Decodes a value from a CBOR item. Fails with DecodeError. Thread-safe.
template<class T>
Result<T> fromCborValue(const QCborValue& aValue)
{
  T out{};
  if (auto status = detail::Coder<T>::decode(aValue, out)) {
    return fail(DecodeError{ status->path, status->reason });
  }
  return out;
}

/// Parses bytes that must hold exactly one CBOR item. Fails with DecodeError. Thread-safe.
Result<QCborValue> parseCbor(const std::string& aBytes);

/// Parses one JSON document. Fails with a DecodeError that contains the byte offset. Thread-safe.
Result<QCborValue> parseJson(const std::string& aText);

/// Returns a CBOR item as JSON without white space. Thread-safe.
std::string writeJson(const QCborValue& aValue);

/// Returns the value as CBOR bytes. Thread-safe.
template<class T>
std::string encode(const T& aValue)
{
  return toCborValue(aValue).toCbor().toStdString();
}

/// Returns the value in the compact encoding, for messages that are not stored. Thread-safe.
template<class T>
std::string encodeCompact(const T& aValue)
{
  return detail::Coder<T>::encode(aValue, detail::Encoding::Compact).toCbor().toStdString();
}

/// Decodes a value from CBOR bytes in either encoding. Fails with DecodeError. Thread-safe.
template<class T>
Result<T> decode(const std::string& aBytes)
{
  BOOST_LEAF_AUTO(value, parseCbor(aBytes));
  return fromCborValue<T>(value);
}

/// Returns the value as JSON without white space. Thread-safe.
template<class T>
std::string toJson(const T& aValue)
{
  return writeJson(toCborValue(aValue));
}

/// Decodes a value from JSON. Fails with DecodeError. Thread-safe.
template<class T>
Result<T> fromJson(const std::string& aText)
{
  BOOST_LEAF_AUTO(value, parseJson(aText));
  return fromCborValue<T>(value);
}

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_CODEC_H_
