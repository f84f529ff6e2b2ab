// State that the agent publishes for the threads that serve requests.
//
// The model is immutable and is replaced by swapping a shared pointer atomically. The lease and
// confirmation times are single atomic numbers, so that the check before each write needs no lock.

#ifndef CAMPHORCLEAT_DAEMON_SHAREDVIEW_H_
#define CAMPHORCLEAT_DAEMON_SHAREDVIEW_H_

#include <atomic>
#include <memory>

#include "fleet/FleetModel.h"

namespace camphorcleat::daemon {

/// The agent's view of the fleet at one revision.
struct ViewState
{
  std::shared_ptr<const fleet::FleetModel> model = std::make_shared<fleet::FleetModel>();
  Revision revision = 0;
  Incarnation incarnation = 0; ///< Of this daemon's node.
};

/// Thread-safe.
class SharedView
{
public:
  /// Returns the last published state; never null.
  std::shared_ptr<const ViewState> state() const { return std::atomic_load(&mState); }

  /// Publishes a state. Agent thread only.
  void publish(ViewState aState)
  {
    std::atomic_store(&mState, std::make_shared<const ViewState>(std::move(aState)));
  }

  /// Returns the time before which the lease is valid, or the epoch if there is no lease.
  TimePoint leaseValidUntil() const { return TimePoint(Duration(mLeaseValidUntil.load())); }
  /// Returns the latest time at which a quorum of the control members confirmed that the state was
  /// current.
  TimePoint confirmedAt() const { return TimePoint(Duration(mConfirmedAt.load())); }

  /// Publishes the times of lease and confirmation. Agent thread only.
  void publishTimes(TimePoint aLeaseValidUntil, TimePoint aConfirmedAt)
  {
    mLeaseValidUntil = aLeaseValidUntil.time_since_epoch().count();
    mConfirmedAt = aConfirmedAt.time_since_epoch().count();
  }

private:
  std::shared_ptr<const ViewState> mState = std::make_shared<const ViewState>();
  std::atomic<Duration::rep> mLeaseValidUntil{ 0 };
  std::atomic<Duration::rep> mConfirmedAt{ 0 };
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_SHAREDVIEW_H_
