// What a dialect's own server may ask of the daemon that it belongs to.

#ifndef CAMPHORCLEAT_DAEMON_DAEMONAPI_H_
#define CAMPHORCLEAT_DAEMON_DAEMONAPI_H_

#include <atomic>

#include "daemon/DutyMessages.h"
#include "daemon/SharedView.h"

namespace camphorcleat::daemon {

/// Thread-safe. Replies come on another thread, or within the call if the daemon can't take the
/// request.
class DaemonApi
{
public:
  /// All references outlive the API.
  DaemonApi(Rings& aRings, const SharedView& aView)
    : mRings(aRings)
    , mView(aView)
  {
  }

  /// Asks the control group to apply a command. Code NotLeader: it was not taken, ask elsewhere;
  /// NoQuorum: its outcome is unknown.
  void submit(CommandRequest aRequest);

  /// Asks for the operators' document.
  void readDocument(DocumentRequest aRequest);

  /// Passes on a heartbeat of the target beside the daemon. False if it can't be taken now; the
  /// reply then never comes.
  bool heartbeat(TargetHeartbeat aHeartbeat);

  /// Passes on that the target leaves. False if it can't be taken now; the reply then never comes.
  bool leaves(TargetDeregistration aLeaving);

  /// Whether callers may come: a configuration is known and no stop has begun.
  bool isReady() const;

  /// A planned stop has begun.
  void beginStop() { mIsStopping = true; }

private:
  Rings& mRings;
  const SharedView& mView;
  std::atomic<bool> mIsStopping{ false };
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_DAEMONAPI_H_
