// The state charts in charts/*.scxml, compiled into the program.
//
// CMake copies their texts into ChartFiles.cc, so that an installed daemon needs no chart files.

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

/// Returns all charts, sorted by name. Thread-safe.
const std::vector<ChartFile>& chartFiles();

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_CHARTFILES_H_
