// The monitoring pages on an address of their own, on Qt's HTTP server.
//
// All answers are ready at once, which QHttpServer 6.4 serves well; see OperatorServer.h for what
// it doesn't.

#ifndef CAMPHORCLEAT_DAEMON_METRICSSERVER_H_
#define CAMPHORCLEAT_DAEMON_METRICSSERVER_H_

#include <memory>
#include <string>

#include "daemon/HealthPages.h"

namespace camphorcleat::daemon {

/// An address that can't be listened on.
struct ListenError
{
  static constexpr ErrorCode kCode = ErrorCode::SettingsInvalid;
  std::string address;
  std::string message() const { return "address " + address + " can't be listened on"; }
};

/// Main thread only; needs a QCoreApplication.
class MetricsServer
{
public:
  /// aPages outlives the server.
  MetricsServer(std::string aAddress, const HealthPages& aPages);
  ~MetricsServer();

  MetricsServer(const MetricsServer&) = delete;
  MetricsServer& operator=(const MetricsServer&) = delete;

  /// Listens. Fails with ListenError.
  Result<void> start();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_METRICSSERVER_H_
