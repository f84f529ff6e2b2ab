// The interface of a daemon for the HTTP servers of a dialect.

#ifndef CAMPHORCLEAT_DAEMON_DAEMONAPI_H_
#define CAMPHORCLEAT_DAEMON_DAEMONAPI_H_

#include <atomic>

#include "daemon/DutyMessages.h"
#include "daemon/SharedView.h"

namespace camphorcleat::daemon {

/// Thread-safe. Replies are called on another thread, or within the call if the daemon can't accept
/// the request.
class DaemonApi
{
public:
  /// All references must outlive the API.
  DaemonApi(Rings& aRings, const SharedView& aView)
    : mRings(aRings)
    , mView(aView)
  {
  }

  /// Submits a command to the control group. Code NotLeader: it was not accepted and can be sent to
  /// another daemon; NoQuorum: its outcome is unknown.
  void submit(CommandRequest aRequest);

  /// Reads the operators' document of the current configuration.
  void readDocument(DocumentRequest aRequest);

  /// Forwards a heartbeat of this daemon's target to the owner role. Returns false if the queue is
  /// full; the reply is then never called.
  bool heartbeat(TargetHeartbeat aHeartbeat);

  /// Forwards the deregistration of this daemon's target to the owner role. Returns false if the
  /// queue is full; the reply is then never called.
  bool deregister(TargetDeregistration aDeregistration);

  /// Returns whether the daemon accepts requests: it has a configuration and no planned stop has
  /// begun.
  bool isReady() const;

  /// Marks the beginning of a planned stop.
  void beginStop() { mIsStopping = true; }

private:
  Rings& mRings;
  const SharedView& mView;
  std::atomic<bool> mIsStopping{ false };
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_DAEMONAPI_H_
