// Log set-up on easylogging++, with stable event names and fields.
//
// A line carries an event name that programs can match and fields that people can read. Text and
// JSON carry the same. Account keys never reach a log call: only digests exist past the entry.

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

/// Sets level and format; lines go to standard output. Lines that its reader doesn't take at once
/// are dropped and counted. Call once, before other threads start.
void setUpLog(LogLevel aLevel, LogFormat aFormat);

/// Writes one line, without waiting for the reader. An event may write 20 lines a second; further
/// lines of that event are dropped and counted in its next line. Long values are cut. Thread-safe.
void logEvent(LogLevel aLevel, const char* aEvent, std::initializer_list<LogField> aFields = {});

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_LOG_H_
