// A log line is a JSON object with an event name.

#include "ctl/LogLines.h"

#include <utility>

#include <QJsonDocument>
#include <QJsonObject>

namespace camphorcleat::ctl {

namespace {

// Daemons don't write longer lines, so a longer one is foreign text.
constexpr std::size_t kMaxLineBytes = 64U << 10U;

} // namespace

std::string LogLine::field(const std::string& aName) const
{
  const auto it = fields.find(aName);
  return it == fields.end() ? std::string() : it->second;
}

void readLog(std::istream& aIn, const std::string& aSource, LogLines& aOut)
{
  for (std::string text; std::getline(aIn, text);) {
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos || text.size() > kMaxLineBytes) {
      aOut.skippedCount += text.empty() ? 0 : 1;
      continue;
    }
    const QJsonObject object =
      QJsonDocument::fromJson(QByteArray::fromStdString(text.substr(begin))).object();
    LogLine line;
    line.source = aSource;
    for (auto it = object.begin(); it != object.end(); ++it) {
      line.fields[it.key().toStdString()] = it.value().toVariant().toString().toStdString();
    }
    line.time = line.field("time");
    line.event = line.field("event");
    line.fields.erase("time");
    line.fields.erase("event");
    if (line.event.empty()) {
      ++aOut.skippedCount;
    } else {
      aOut.lines.push_back(std::move(line));
    }
  }
}

} // namespace camphorcleat::ctl
