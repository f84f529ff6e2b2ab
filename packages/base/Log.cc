// Implements logEvent() with easylogging++ and a rate limit per event name.

#include "base/Log.h"

#include <atomic>
#include <map>
#include <mutex>

#include <easylogging++.h>

#include <QDateTime>
#include <QJsonDocument>
#include <QJsonObject>

#include <unistd.h>

#include "base/LineWriter.h"
#include "base/Time.h"

INITIALIZE_EASYLOGGINGPP

namespace camphorcleat {

namespace {

constexpr unsigned kLinesPerSecond = 20;

// With this limit, a line with ten fields fits into LineWriter::kMaxBytes.
constexpr std::size_t kMaxValueBytes = 320;

std::atomic<LogLevel> sLevel{ LogLevel::Info };
std::atomic<LogFormat> sFormat{ LogFormat::Text };

struct EventRateLimit
{
  TimePoint windowStart;
  unsigned written = 0;
  unsigned dropped = 0;
};

// Returns false if the line must be dropped. Otherwise sets aDropped to the number of lines dropped
// before it. The size of the map is limited by the number of event names in the program.
bool tryAcquireLine(const char* aEvent, unsigned& aDropped)
{
  static std::mutex sMutex;
  static std::map<std::string, EventRateLimit> sLimits;
  const TimePoint now = Clock::now();
  const std::lock_guard<std::mutex> lock(sMutex);
  EventRateLimit& it = sLimits[aEvent];
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

std::string truncateValue(const std::string& aValue)
{
  return aValue.size() <= kMaxValueBytes ? aValue : aValue.substr(0, kMaxValueBytes) + "...";
}

std::string formatDroppedLine(const std::string& aOf, std::uint64_t aCount);

// Replaces easylogging++'s own output, which blocks while a reader has stalled.
class OutputCallback : public el::LogDispatchCallback
{
protected:
  void handle(const el::LogDispatchData* aData) override
  {
    const el::LogMessage& message = *aData->logMessage();
    const std::string line = message.logger()->logBuilder()->build(&message, false);
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!mWriter.write(line)) {
      return;
    }
    if (const std::uint64_t dropped = mWriter.takeDroppedCount()) {
      mWriter.write(formatDroppedLine("all, because the output was not writable", dropped));
    }
  }

private:
  std::mutex mMutex;
  LineWriter mWriter{ STDOUT_FILENO };
};

std::string formatText(const char* aEvent, std::initializer_list<LogField> aFields)
{
  std::string out = aEvent;
  for (const auto& [name, value] : aFields) {
    out += std::string(" ") + name + "=" + truncateValue(value);
  }
  return out;
}

std::string formatJson(LogLevel aLevel, const char* aEvent, std::initializer_list<LogField> aFields)
{
  const std::string_view level = enumName(aLevel);
  QJsonObject out;
  out.insert("time", QDateTime::currentDateTimeUtc().toString(Qt::ISODateWithMs));
  out.insert("level", QLatin1String(level.data(), static_cast<qsizetype>(level.size())));
  out.insert("event", aEvent);
  for (const auto& [name, value] : aFields) {
    out.insert(name, QString::fromStdString(truncateValue(value)));
  }
  return QJsonDocument(out).toJson(QJsonDocument::Compact).toStdString();
}

std::string formatDroppedLine(const std::string& aOf, std::uint64_t aCount)
{
  const std::string count = std::to_string(aCount);
  return sFormat.load() == LogFormat::Json
           ? formatJson(LogLevel::Warning, "log_lines_dropped",
                        { { "of", aOf }, { "count", count } })
           : formatText("log_lines_dropped", { { "of", aOf }, { "count", count } });
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
  el::Helpers::installLogDispatchCallback<OutputCallback>("camphorcleat");
  el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
    "DefaultLogDispatchCallback");
}

void logEvent(LogLevel aLevel, const char* aEvent, std::initializer_list<LogField> aFields)
{
  if (aLevel < sLevel.load()) {
    return;
  }
  unsigned dropped = 0;
  if (!tryAcquireLine(aEvent, dropped)) {
    return;
  }
  std::string line = sFormat.load() == LogFormat::Json ? formatJson(aLevel, aEvent, aFields)
                                                       : formatText(aEvent, aFields);
  if (dropped > 0) {
    LOG(WARNING) << formatDroppedLine(aEvent, dropped);
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
