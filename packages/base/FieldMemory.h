// Estimates the heap memory of values that describe their members by fields(), as for the codec
// (Codec.h).

#ifndef CAMPHORCLEAT_BASE_FIELDMEMORY_H_
#define CAMPHORCLEAT_BASE_FIELDMEMORY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "base/Codec.h"

namespace camphorcleat {

/// Returns the bytes that a value has on the heap, without the object itself and without what the
/// allocator adds. Thread-safe.
template<class T>
std::size_t heapBytes(const T& aValue);

namespace detail {

template<class T>
struct HeapBytes
{
  static std::size_t of(const T& aValue)
  {
    if constexpr (HasFields<T>::value) {
      return std::apply(
        [&](const auto&... aField) { return (0 + ... + memberBytes(aValue, aField)); },
        T::fields());
    } else {
      return 0;
    }
  }

  template<class F>
  static std::size_t memberBytes(const T& aValue, const F& aField)
  {
    return heapBytes(aValue.*aField.member);
  }
};

template<>
struct HeapBytes<std::string>
{
  // A short string is stored within the object.
  static std::size_t of(const std::string& aValue)
  {
    return aValue.capacity() < sizeof(std::string) ? 0 : aValue.capacity() + 1;
  }
};

template<>
struct HeapBytes<Bytes>
{
  static std::size_t of(const Bytes& aValue) { return heapBytes(aValue.data); }
};

template<class T>
struct HeapBytes<std::optional<T>>
{
  static std::size_t of(const std::optional<T>& aValue) { return aValue ? heapBytes(*aValue) : 0; }
};

template<class T>
struct HeapBytes<std::vector<T>>
{
  static std::size_t of(const std::vector<T>& aValue)
  {
    std::size_t n = aValue.capacity() * sizeof(T);
    if constexpr (!kIsScalar<T>) {
      for (const auto& it : aValue) {
        n += heapBytes(it);
      }
    }
    return n;
  }
};

template<class K, class T>
struct HeapBytes<std::map<K, T>>
{
  // A node has a colour and three pointers.
  static constexpr std::size_t kNodeBytes = 4 * sizeof(void*) + sizeof(std::pair<const K, T>);

  static std::size_t of(const std::map<K, T>& aValue)
  {
    std::size_t n = aValue.size() * kNodeBytes;
    for (const auto& [key, value] : aValue) {
      n += heapBytes(key) + heapBytes(value);
    }
    return n;
  }
};

template<class... A>
struct HeapBytes<std::variant<A...>>
{
  static std::size_t of(const std::variant<A...>& aValue)
  {
    return std::visit([](const auto& aIt) { return heapBytes(aIt); }, aValue);
  }
};

} // namespace detail

template<class T>
std::size_t heapBytes(const T& aValue)
{
  return detail::HeapBytes<T>::of(aValue);
}

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_FIELDMEMORY_H_
