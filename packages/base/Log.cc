// easylogging++ behind logEvent(), with a rate limit per event.

#include "base/Log.h"

#include <atomic>
#include <map>
#include <mutex>

#include <easylogging++.h>

#include <QJsonDocument>
#include <QJsonObject>

#include "base/Time.h"

INITIALIZE_EASYLOGGINGPP

namespace camphorcleat {

namespace {

constexpr unsigned kLinesPerSecond = 20;

std::atomic<LogLevel> sLevel{ LogLevel::Info };
std::atomic<LogFormat> sFormat{ LogFormat::Text };

struct EventBudget
{
  TimePoint windowStart;
  unsigned written = 0;
  unsigned dropped = 0;
};

// Returns false if the line must be dropped; otherwise sets the number dropped before it. The map
// is bounded by the number of event names in the program.
bool takeBudget(const char* aEvent, unsigned& aDropped)
{
  static std::mutex sMutex;
  static std::map<std::string, EventBudget> sBudgets;
  const TimePoint now = Clock::now();
  const std::lock_guard<std::mutex> lock(sMutex);
  EventBudget& it = sBudgets[aEvent];
  if (now - it.windowStart >= std::chrono::seconds(1)) {
    it.windowStart = now;
    it.written = 0;
  }
  if (it.written >= kLinesPerSecond) {
    ++it.dropped;
    return false;
  }
  ++it.written;
  aDropped = it.dropped;
  it.dropped = 0;
  return true;
}

std::string renderText(const char* aEvent, std::initializer_list<LogField> aFields)
{
  std::string out = aEvent;
  for (const auto& [name, value] : aFields) {
    out += std::string(" ") + name + "=" + value;
  }
  return out;
}

std::string renderJson(LogLevel aLevel, const char* aEvent, std::initializer_list<LogField> aFields)
{
  const std::string_view level = enumName(aLevel);
  QJsonObject out;
  out.insert("level", QLatin1String(level.data(), static_cast<qsizetype>(level.size())));
  out.insert("event", aEvent);
  for (const auto& [name, value] : aFields) {
    out.insert(name, QString::fromStdString(value));
  }
  return QJsonDocument(out).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace

void setUpLog(LogLevel aLevel, LogFormat aFormat)
{
  sLevel = aLevel;
  sFormat = aFormat;
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::ToFile, "false");
  conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  conf.setGlobally(el::ConfigurationType::Format,
                   aFormat == LogFormat::Json ? "%msg"
                                              : "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  el::Loggers::reconfigureAllLoggers(conf);
}

void logEvent(LogLevel aLevel, const char* aEvent, std::initializer_list<LogField> aFields)
{
  if (aLevel < sLevel.load()) {
    return;
  }
  unsigned dropped = 0;
  if (!takeBudget(aEvent, dropped)) {
    return;
  }
  std::string line = sFormat.load() == LogFormat::Json ? renderJson(aLevel, aEvent, aFields)
                                                       : renderText(aEvent, aFields);
  if (dropped > 0) {
    LOG(WARNING) << (sFormat.load() == LogFormat::Json
                       ? renderJson(LogLevel::Warning, "log_lines_dropped",
                                    { { "of", aEvent }, { "count", std::to_string(dropped) } })
                       : "log_lines_dropped of=" + std::string(aEvent) +
                           " count=" + std::to_string(dropped));
  }
  switch (aLevel) {
    case LogLevel::Debug:
    case LogLevel::Info:
      LOG(INFO) << line;
      break;
    case LogLevel::Warning:
      LOG(WARNING) << line;
      break;
    case LogLevel::Error:
      LOG(ERROR) << line;
      break;
  }
}

} // namespace camphorcleat
