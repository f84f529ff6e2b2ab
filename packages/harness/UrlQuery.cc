// Splitting and percent-decoding of request targets; Qt does the decoding.

#include "harness/UrlQuery.h"

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <QByteArray>

namespace camphorcleat::harness {

namespace {

std::string decoded(std::string_view aText)
{
  const QByteArray raw(aText.data(), static_cast<qsizetype>(aText.size()));
  return QByteArray::fromPercentEncoding(raw).toStdString();
}

template<class T>
std::optional<T> converted(const std::optional<std::string>& aText)
{
  T out{};
  // lexical_cast would wrap a negative number into a large unsigned one.
  if (!aText || (!aText->empty() && aText->front() == '-') ||
      !boost::conversion::try_lexical_convert(*aText, out)) {
    return std::nullopt;
  }
  return out;
}

} // namespace

UrlQuery::UrlQuery(std::string_view aTarget)
{
  const auto mark = aTarget.find('?');
  mPath = std::string(aTarget.substr(0, mark));
  std::string_view rest =
    mark == std::string_view::npos ? std::string_view() : aTarget.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view item = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), item.size() + 1));
    const auto equals = item.find('=');
    if (!item.empty()) {
      mParameters[decoded(item.substr(0, equals))] =
        equals == std::string_view::npos ? "" : decoded(item.substr(equals + 1));
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
  return converted<std::uint64_t>(text(aName));
}

std::optional<double> UrlQuery::decimal(const std::string& aName) const
{
  return converted<double>(text(aName));
}

} // namespace camphorcleat::harness
