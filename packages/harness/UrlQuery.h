// Path and query parameters of a request target.

#ifndef CAMPHORCLEAT_HARNESS_URLQUERY_H_
#define CAMPHORCLEAT_HARNESS_URLQUERY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace camphorcleat::harness {

/// Splits "/path?a=1&b" into the path and the percent-decoded parameters. A parameter without '='
/// has an empty value.
class UrlQuery
{
public:
  /// Parses a request target. Never fails: invalid percent-encoding is kept as it is. Thread-safe.
  explicit UrlQuery(std::string_view aTarget);

  /// Returns the part before '?', which is not percent-decoded.
  const std::string& path() const { return mPath; }

  /// Returns the decoded value of a parameter, or nothing if it is absent.
  std::optional<std::string> text(const std::string& aName) const;

  /// Returns the value of a parameter, or nothing if it isn't a non-negative integer.
  std::optional<std::uint64_t> number(const std::string& aName) const;

  /// Returns the value of a parameter, or nothing if it isn't a non-negative decimal number.
  std::optional<double> decimal(const std::string& aName) const;

private:
  std::string mPath;
  std::map<std::string, std::string> mParameters;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_URLQUERY_H_
