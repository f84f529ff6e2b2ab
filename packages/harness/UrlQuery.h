// Path and query parameters of a request target.

#ifndef CAMPHORCLEAT_HARNESS_URLQUERY_H_
#define CAMPHORCLEAT_HARNESS_URLQUERY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace camphorcleat::harness {

/// "/path?a=1&b" as a path and decoded parameters. A parameter without '=' has an empty value.
class UrlQuery
{
public:
  /// Never fails: what can't be decoded stays as written. Thread-safe.
  explicit UrlQuery(std::string_view aTarget);

  /// The part before '?'.
  const std::string& path() const { return mPath; }

  /// The decoded value of a parameter, if present.
  std::optional<std::string> text(const std::string& aName) const;

  /// The value of a parameter as a whole number that isn't negative; absent if it isn't one.
  std::optional<std::uint64_t> number(const std::string& aName) const;

  /// The value of a parameter as a decimal number; absent if it isn't one.
  std::optional<double> decimal(const std::string& aName) const;

private:
  std::string mPath;
  std::map<std::string, std::string> mParameters;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_URLQUERY_H_
