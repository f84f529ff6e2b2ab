// Serves the monitoring pages on a separate address with QHttpServer.
//
// QHttpServer 6.4 is sufficient because all responses are synchronous; OperatorServer.h describes
// its fault with asynchronous responses.

#ifndef CAMPHORCLEAT_DAEMON_METRICSSERVER_H_
#define CAMPHORCLEAT_DAEMON_METRICSSERVER_H_

#include <memory>
#include <string>

#include "daemon/HealthPages.h"

namespace camphorcleat::daemon {

/// Error: the server can't listen on the address.
struct ListenError
{
  static constexpr ErrorCode kCode = ErrorCode::SettingsInvalid;
  std::string address;
  std::string message() const { return "address " + address + " is not available for listening"; }
};

/// Main thread only; needs a QCoreApplication.
class MetricsServer
{
public:
  /// aAddress is ip:port. aPages must outlive the server.
  MetricsServer(std::string aAddress, const HealthPages& aPages);
  ~MetricsServer();

  MetricsServer(const MetricsServer&) = delete;
  MetricsServer& operator=(const MetricsServer&) = delete;

  /// Starts listening. Fails with ListenError.
  Result<void> start();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_METRICSSERVER_H_
