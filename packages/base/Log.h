// Structured logging based on easylogging++.
//
// A line contains an event name, which programs can match, and fields. The text and JSON formats
// have the same content. Account keys are never logged, because the daemon that receives a request
// (its entry) replaces them by digests.

#ifndef CAMPHORCLEAT_BASE_LOG_H_
#define CAMPHORCLEAT_BASE_LOG_H_

#include <initializer_list>
#include <string>
#include <utility>

#include "base/EnumNames.h"

namespace camphorcleat {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error
};
enum class LogFormat
{
  Text,
  Json
};

template<>
struct EnumNames<LogLevel>
{
  static constexpr EnumName<LogLevel> kTable[] = {
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
  };
};

template<>
struct EnumNames<LogFormat>
{
  static constexpr EnumName<LogFormat> kTable[] = {
    { LogFormat::Text, "text" },
    { LogFormat::Json, "json" },
  };
};

using LogField = std::pair<const char*, std::string>;

/// Sets the level and the format. Lines are written to standard output; while it is not writable,
/// lines are dropped and counted. Must be called once, before other threads start.
void setUpLog(LogLevel aLevel, LogFormat aFormat);

/// Writes one line without blocking on the output. Each event name is limited to 20 lines per
/// second, so that a frequent event can't fill the log. Further lines are dropped, and their number
/// is logged as an event "log_lines_dropped" before the event's next line. Values are truncated to
/// 320 bytes, so that a line with ten fields fits into LineWriter::kMaxBytes. Thread-safe.
void logEvent(LogLevel aLevel, const char* aEvent, std::initializer_list<LogField> aFields = {});

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_LOG_H_
