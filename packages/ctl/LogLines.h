// Parses the JSON lines of daemons' logs.

#ifndef CAMPHORCLEAT_CTL_LOGLINES_H_
#define CAMPHORCLEAT_CTL_LOGLINES_H_

#include <cstddef>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace camphorcleat::ctl {

/// The JSON object of one event in a daemon's log.
struct LogLine
{
  std::string source; ///< Name of the log, as passed to readLog().
  std::string time;   ///< Time stamp as written; empty if the line has none.
  std::string event;
  std::map<std::string, std::string> fields; ///< All members except time and event.

  /// Returns a field, or an empty text if there is none.
  std::string field(const std::string& aName) const;
};

/// The parsed lines of several logs.
struct LogLines
{
  std::vector<LogLine> lines;
  std::size_t skippedCount = 0; ///< Number of truncated lines and of lines without an event.
};

/// Appends the lines of one log. Ignores the text before the first brace of a line, such as the
/// time stamp of a log collector. Thread-safe.
void readLog(std::istream& aIn, const std::string& aSource, LogLines& aOut);

} // namespace camphorcleat::ctl

#endif // CAMPHORCLEAT_CTL_LOGLINES_H_
