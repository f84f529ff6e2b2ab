// Conversion between enumerators and their names, with one table per enum.
//
// An enum that appears in messages, settings or output specializes EnumNames with a table. The same
// table is used for writing and reading, so every name that is written can be read back.

#ifndef CAMPHORCLEAT_BASE_ENUMNAMES_H_
#define CAMPHORCLEAT_BASE_ENUMNAMES_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace camphorcleat {

template<class E>
struct EnumName
{
  E value;
  std::string_view name;
};

/// Specialize with `static constexpr EnumName<E> kTable[] = {...};`.
template<class E>
struct EnumNames;

/// Returns the name of an enumerator, or "unknown" for a value outside the table. Thread-safe.
template<class E>
constexpr std::string_view enumName(E aValue)
{
  for (const auto& it : EnumNames<E>::kTable) {
    if (it.value == aValue) {
      return it.name;
    }
  }
  return "unknown";
}

/// Returns the enumerator with a name, or nullopt if the table lacks the name. Thread-safe.
template<class E>
constexpr std::optional<E> enumFromName(std::string_view aName)
{
  for (const auto& it : EnumNames<E>::kTable) {
    if (it.name == aName) {
      return it.value;
    }
  }
  return std::nullopt;
}

/// Returns the enumerator with a number, or nullopt if the table lacks the number. Thread-safe.
template<class E>
constexpr std::optional<E> enumFromNumber(std::int64_t aNumber)
{
  for (const auto& it : EnumNames<E>::kTable) {
    if (static_cast<std::int64_t>(it.value) == aNumber) {
      return it.value;
    }
  }
  return std::nullopt;
}

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_ENUMNAMES_H_
