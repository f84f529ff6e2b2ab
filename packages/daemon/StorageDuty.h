// Thread that writes the replicated log: runs persist jobs and reports when they are persisted.
//
// A sync may take milliseconds, so it runs on a separate thread and doesn't delay heartbeats. A job
// that fails is repeated until it succeeds: a disk can have room again, and a member that gave up
// would be missing from the quorum from then on.

#ifndef CAMPHORCLEAT_DAEMON_STORAGEDUTY_H_
#define CAMPHORCLEAT_DAEMON_STORAGEDUTY_H_

#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "agreement/LogEvents.h"
#include "agreement/LogStore.h"
#include "daemon/DutyMessages.h"

namespace camphorcleat::daemon {

/// Call start() and stop() only on the thread that created the object.
class StorageDuty
{
public:
  /// aResults must outlive the duty.
  StorageDuty(std::unique_ptr<agreement::LogStore> aStore, Ring<ControlMessage>& aResults);
  ~StorageDuty();

  StorageDuty(const StorageDuty&) = delete;
  StorageDuty& operator=(const StorageDuty&) = delete;

  void start();

  /// Completes the queued jobs and ends the thread. A job that fails then is given up. Idempotent.
  void stop();

  /// Queues a job. Returns false if the ring is full. Thread-safe.
  bool submit(agreement::Persist aJob);

private:
  void run();
  void perform(const agreement::Persist& aJob);
  std::optional<std::string> tryPersist(const agreement::Persist& aJob);
  void report(const agreement::Persist& aJob, bool aIsPersisted);

  std::unique_ptr<agreement::LogStore> mStore;
  Ring<ControlMessage>& mResults;
  Ring<agreement::Persist> mJobs;
  std::thread mThread;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_STORAGEDUTY_H_
