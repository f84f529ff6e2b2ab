// Creates the duties (threads) of one camphorcleatd, and starts and stops them in order.

#ifndef CAMPHORCLEAT_DAEMON_DAEMON_H_
#define CAMPHORCLEAT_DAEMON_DAEMON_H_

#include <functional>
#include <memory>

#include "daemon/Dialect.h"
#include "daemon/Settings.h"

namespace camphorcleat::daemon {

/// Main thread only.
class Daemon
{
public:
  /// Creates the daemon's duties. aFactory is not used after construction.
  Daemon(Settings aSettings, const DialectFactory& aFactory);
  ~Daemon();

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens the log store, starts to listen and starts all threads. Requires a QCoreApplication.
  /// While the disk is full, it waits until the store can be opened or aIsStopRequested returns
  /// true. After an error, some threads may be running; call stop().
  Result<void> start(const std::function<bool()>& aIsStopRequested);

  /// Begins a planned stop, which hands over partitions and finishes running requests. Idempotent.
  void beginStop();

  /// Applies the settings that may change at run time, which are the seeds. An empty list of seeds
  /// is ignored.
  void reload(const Settings& aSettings);

  /// Performs the next steps of a planned stop that are due. Returns whether the planned stop has
  /// completed or exceeded its time limit; false if none has begun. Call it periodically until it
  /// returns true.
  bool advanceStop();

  /// Returns whether the planned stop exceeded its time limit. Partitions or requests may be
  /// unfinished then.
  bool hasTimedOut() const;

  /// Stops all threads. Idempotent.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_DAEMON_H_
