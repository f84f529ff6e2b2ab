// Parsing of callers' paths.

#include "daemon/RequestPath.h"

#include <algorithm>

#include <boost/algorithm/string.hpp>

#include <QByteArray>

namespace camphorcleat::daemon {

namespace {

std::string withoutQuery(const std::string& aPath)
{
  return aPath.substr(0, aPath.find_first_of("?#"));
}

std::vector<std::string> segmentsOf(const std::string& aPath)
{
  std::vector<std::string> out;
  boost::split(out, aPath, boost::is_any_of("/"));
  if (!out.empty() && out.front().empty()) {
    out.erase(out.begin());
  }
  return out;
}

std::string decoded(const std::string& aText)
{
  return QByteArray::fromPercentEncoding(QByteArray::fromStdString(aText)).toStdString();
}

bool isAmbiguous(const std::string& aPath)
{
  if (boost::icontains(aPath, "%2e") || boost::icontains(aPath, "%2f") ||
      boost::icontains(aPath, "%5c") || aPath.find('\\') != std::string::npos) {
    return true;
  }
  std::vector<std::string> segments = segmentsOf(aPath);
  if (!segments.empty() && segments.back().empty()) {
    segments.pop_back(); // A single trailing slash is unambiguous.
  }
  return std::any_of(segments.begin(), segments.end(), [](const std::string& aSegment) {
    return aSegment.empty() || aSegment == "." || aSegment == "..";
  });
}

} // namespace

RequestPath splitPath(const std::string& aPath)
{
  const std::vector<std::string> segments = segmentsOf(withoutQuery(aPath));
  RequestPath out;
  out.service = segments.empty() ? std::string() : decoded(segments[0]);
  out.key = segments.size() < 2 ? std::string() : decoded(segments[1]);
  return out;
}

bool isOpenRoute(const std::string& aPath, const std::vector<std::string>& aPrefixes)
{
  const std::string path = withoutQuery(aPath);
  if (isAmbiguous(path)) {
    return false;
  }
  return std::any_of(aPrefixes.begin(), aPrefixes.end(), [&](const std::string& aPrefix) {
    const std::string prefix = boost::trim_right_copy_if(aPrefix, boost::is_any_of("/"));
    return boost::starts_with(path, prefix) &&
           (path.size() == prefix.size() || path[prefix.size()] == '/');
  });
}

bool isIdempotentMethod(const std::string& aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "PUT" || aMethod == "DELETE" ||
         aMethod == "OPTIONS";
}

} // namespace camphorcleat::daemon
