// Lines of daemons' logs, as JSON objects.

#ifndef CAMPHORCLEAT_CTL_LOGLINES_H_
#define CAMPHORCLEAT_CTL_LOGLINES_H_

#include <cstddef>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace camphorcleat::ctl {

struct LogLine
{
  std::string source; ///< The log that it came from.
  std::string time;   ///< As written; empty if the line has none.
  std::string event;
  std::map<std::string, std::string> fields; ///< All members but time and event.

  /// A field, or an empty text.
  std::string field(const std::string& aName) const;
};

struct LogLines
{
  std::vector<LogLine> lines;
  std::size_t skipped = 0; ///< Lines that are torn, or not a daemon's.
};

/// Appends the lines of one log. Text before the first brace of a line, such as a collector's own
/// time, is passed over. Thread-safe.
void readLog(std::istream& aIn, const std::string& aSource, LogLines& aOut);

} // namespace camphorcleat::ctl

#endif // CAMPHORCLEAT_CTL_LOGLINES_H_
