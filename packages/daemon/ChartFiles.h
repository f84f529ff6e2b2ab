// The state charts of charts/*.scxml, compiled into the program.
//
// CMake copies the texts into ChartFiles.cc, so that an installed daemon needs no further files.

#ifndef CAMPHORCLEAT_DAEMON_CHARTFILES_H_
#define CAMPHORCLEAT_DAEMON_CHARTFILES_H_

#include <string_view>
#include <vector>

namespace camphorcleat::daemon {

struct ChartFile
{
  std::string_view name; ///< File name, such as "zone.scxml".
  std::string_view text;
};

/// All charts, ordered by name. Thread-safe.
const std::vector<ChartFile>& chartFiles();

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_CHARTFILES_H_
