// Splits request targets; QByteArray does the percent-decoding.

#include "harness/UrlQuery.h"

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <QByteArray>

namespace camphorcleat::harness {

namespace {

std::string percentDecode(std::string_view aText)
{
  const QByteArray raw(aText.data(), static_cast<qsizetype>(aText.size()));
  return QByteArray::fromPercentEncoding(raw).toStdString();
}

template<class T>
std::optional<T> parseNumber(const std::optional<std::string>& aText)
{
  T out{};
  // try_lexical_convert() would wrap a negative number to a large unsigned one.
  if (!aText || (!aText->empty() && aText->front() == '-') ||
      !boost::conversion::try_lexical_convert(*aText, out)) {
    return std::nullopt;
  }
  return out;
}

} // namespace

UrlQuery::UrlQuery(std::string_view aTarget)
{
  const auto queryStart = aTarget.find('?');
  mPath = std::string(aTarget.substr(0, queryStart));
  std::string_view rest =
    queryStart == std::string_view::npos ? std::string_view() : aTarget.substr(queryStart + 1);
  while (!rest.empty()) {
    const std::string_view parameter = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), parameter.size() + 1));
    const auto equals = parameter.find('=');
    if (!parameter.empty()) {
      mParameters[percentDecode(parameter.substr(0, equals))] =
        equals == std::string_view::npos ? "" : percentDecode(parameter.substr(equals + 1));
    }
  }
}

std::optional<std::string> UrlQuery::text(const std::string& aName) const
{
  const auto it = mParameters.find(aName);
  return it == mParameters.end() ? std::nullopt : std::optional<std::string>(it->second);
}

std::optional<std::uint64_t> UrlQuery::number(const std::string& aName) const
{
  return parseNumber<std::uint64_t>(text(aName));
}

std::optional<double> UrlQuery::decimal(const std::string& aName) const
{
  return parseNumber<double>(text(aName));
}

} // namespace camphorcleat::harness
