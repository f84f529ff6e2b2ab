// HTTP server for operators: commands, status and health, on the thread "operator".
//
// It uses HttpFrontend because the responses to commands are asynchronous: QHttpServer 6.4.2
// crashed in QFutureInterfaceBase::reportStarted() when a handler's QFuture had a response and its
// connection was closed.

#ifndef CAMPHORCLEAT_DAEMON_OPERATORSERVER_H_
#define CAMPHORCLEAT_DAEMON_OPERATORSERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "base/DutyThread.h"
#include "daemon/ChartMonitor.h"
#include "daemon/DutyMessages.h"
#include "daemon/HealthPages.h"
#include "daemon/Settings.h"
#include "transport/HttpFrontend.h"

namespace camphorcleat::daemon {

/// start() and stop() must be called on the thread that constructed the object.
class OperatorServer : public transport::HttpHandler
{
public:
  /// All references must outlive the server.
  OperatorServer(const Settings& aSettings, Rings& aRings, const SharedView& aView,
                 const HealthPages& aPages);
  ~OperatorServer() override;

  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  /// Sets the monitor whose chart states /status returns. It must outlive the server. Call before
  /// start().
  void setCharts(const ChartMonitor& aMonitor) { mCharts = &aMonitor; }

  /// Starts listening and starts the thread. Fails if the address can't be bound.
  Result<void> start();

  /// Ends the thread. Idempotent.
  void stop();

  // Override of HttpHandler. It runs on the operator thread.
  void onRequest(std::shared_ptr<transport::CallerStream> aStream) override;

private:
  using Stream = std::shared_ptr<transport::CallerStream>;

  void readCommand(const Stream& aStream, std::string aText);
  void handleCommand(const Stream& aStream, const std::string& aText);
  void handleStatus(const Stream& aStream);
  void sendPage(const Stream& aStream, const Page& aPage);
  void sendJson(const Stream& aStream, const std::string& aJson);
  std::function<void(const std::string&)> replyTo(const Stream& aStream);

  const Settings& mSettings;
  Rings& mRings;
  const SharedView& mView;
  const HealthPages& mPages;
  const ChartMonitor* mCharts = nullptr;
  DutyThread mThread;
  std::unique_ptr<transport::HttpFrontend> mFrontend;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_OPERATORSERVER_H_
