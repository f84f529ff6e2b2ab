// The thread that writes the log: performs persist jobs and reports when they are synced.
//
// A sync may take milliseconds; on a thread of its own it doesn't delay heartbeats.

#ifndef CAMPHORCLEAT_DAEMON_STORAGEDUTY_H_
#define CAMPHORCLEAT_DAEMON_STORAGEDUTY_H_

#include <memory>
#include <thread>

#include "agreement/LogEvents.h"
#include "agreement/LogStore.h"
#include "daemon/DutyMessages.h"

namespace camphorcleat::daemon {

/// start() and stop() are for the thread that made it.
class StorageDuty
{
public:
  /// aResults outlives the duty.
  StorageDuty(std::unique_ptr<agreement::LogStore> aStore, Ring<ControlMessage>& aResults);
  ~StorageDuty();

  StorageDuty(const StorageDuty&) = delete;
  StorageDuty& operator=(const StorageDuty&) = delete;

  void start();

  /// Finishes the jobs that wait and ends the thread. Idempotent.
  void stop();

  /// Queues a job; false if the ring is full. Thread-safe.
  bool submit(agreement::Persist aJob);

private:
  void run();
  void perform(const agreement::Persist& aJob);

  std::unique_ptr<agreement::LogStore> mStore;
  Ring<ControlMessage>& mResults;
  Ring<agreement::Persist> mJobs;
  std::thread mThread;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_STORAGEDUTY_H_
