// Compares structs field by field, using the field lists of the codec (Codec.h).

#ifndef CAMPHORCLEAT_BASE_FIELDEQUALITY_H_
#define CAMPHORCLEAT_BASE_FIELDEQUALITY_H_

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "base/Codec.h"

namespace camphorcleat {

namespace detail {

template<class T, class = void>
struct FieldEquality
{
  static bool equal(const T& aLeft, const T& aRight) { return aLeft == aRight; }
};

template<>
struct FieldEquality<Bytes>
{
  static bool equal(const Bytes& aLeft, const Bytes& aRight) { return aLeft.data == aRight.data; }
};

template<class T>
struct FieldEquality<std::optional<T>>
{
  static bool equal(const std::optional<T>& aLeft, const std::optional<T>& aRight)
  {
    return aLeft.has_value() == aRight.has_value() &&
           (!aLeft || FieldEquality<T>::equal(*aLeft, *aRight));
  }
};

template<class T>
struct FieldEquality<std::vector<T>>
{
  static bool equal(const std::vector<T>& aLeft, const std::vector<T>& aRight)
  {
    return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(),
                      FieldEquality<T>::equal);
  }
};

template<class K, class T>
struct FieldEquality<std::map<K, T>>
{
  static bool equal(const std::map<K, T>& aLeft, const std::map<K, T>& aRight)
  {
    return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(),
                      [](const auto& aLeftItem, const auto& aRightItem) {
                        return aLeftItem.first == aRightItem.first &&
                               FieldEquality<T>::equal(aLeftItem.second, aRightItem.second);
                      });
  }
};

template<class S>
struct FieldEquality<S, std::enable_if_t<HasFields<S>::value>>
{
  static bool equal(const S& aLeft, const S& aRight)
  {
    const auto equalMember = [&](const auto& aField) {
      using M = std::decay_t<decltype(aLeft.*aField.member)>;
      return FieldEquality<M>::equal(aLeft.*aField.member, aRight.*aField.member);
    };
    return std::apply([&](const auto&... aField) { return (equalMember(aField) && ...); },
                      S::fields());
  }
};

} // namespace detail

/// Returns whether all fields of two values are equal. Thread-safe.
template<class T>
bool haveEqualFields(const T& aLeft, const T& aRight)
{
  return detail::FieldEquality<T>::equal(aLeft, aRight);
}

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_FIELDEQUALITY_H_
