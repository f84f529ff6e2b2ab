// HTTP for operators: commands, status, health and metrics, on Qt's HTTP server.
//
// Requests here are small and few, which is what QHttpServer 6.4 is good for: it reads a whole body
// into memory. Runs on the main thread; the control thread answers through promises.

#ifndef CAMPHORCLEAT_DAEMON_OPERATORSERVER_H_
#define CAMPHORCLEAT_DAEMON_OPERATORSERVER_H_

#include <functional>
#include <memory>

#include "daemon/DutyMessages.h"
#include "daemon/Metrics.h"
#include "daemon/Settings.h"
#include "daemon/SharedView.h"

namespace camphorcleat::daemon {

/// An address that can't be listened on.
struct ListenError
{
  static constexpr ErrorCode kCode = ErrorCode::SettingsInvalid;
  std::string address;
  std::string message() const { return "address " + address + " can't be listened on"; }
};

/// Main thread only.
class OperatorServer
{
public:
  /// All references outlive the server. Needs a QCoreApplication.
  OperatorServer(const Settings& aSettings, Rings& aRings, const SharedView& aView,
                 const Metrics& aMetrics);
  ~OperatorServer();

  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  /// Listens. Fails with ListenError.
  Result<void> start();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_OPERATORSERVER_H_
