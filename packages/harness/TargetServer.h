// Network side of the target stand-in: HTTP service port, event file and admin requests.

#ifndef CAMPHORCLEAT_HARNESS_TARGETSERVER_H_
#define CAMPHORCLEAT_HARNESS_TARGETSERVER_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "harness/AdminServer.h"
#include "harness/JsonLines.h"
#include "harness/TargetEvent.h"
#include "harness/TargetModel.h"

namespace camphorcleat::harness {

class TargetSession;

/// Serves the HTTP requests of one target stand-in. All methods must be called on the event loop's
/// thread.
class TargetServer
{
public:
  /// Starts listening. Throws boost::system::system_error if the address can't be bound.
  TargetServer(boost::asio::io_context& aLoop, const Endpoint& aListen, TargetSettings aSettings,
               JsonLineWriter aEventWriter);
  ~TargetServer();
  TargetServer(const TargetServer&) = delete;
  TargetServer& operator=(const TargetServer&) = delete;

  /// Returns the bound address.
  Endpoint endpoint() const { return mAcceptor.local_endpoint(); }

  /// Adds a text that must not reach targets; start events report headers and paths that contain
  /// it. An empty text is ignored.
  void addSecret(const std::string& aText);

  /// Handles a request to the admin port: POST /slow?factor=N&ms=N, /cold, /drain, /restart,
  /// /secret (the body is the text for addSecret()); GET /stats.
  AdminResponse handleAdminRequest(const AdminRequest& aRequest);

  // The methods below are called by sessions.

  TargetModel& model() { return mModel; }
  boost::asio::io_context& loop() { return mLoop; }

  /// Writes an event after setting its time, target, requests in flight and concurrency limit.
  void record(TargetEvent aEvent);

  /// Returns whether a text contains one of the secrets.
  bool containsSecret(std::string_view aText) const;

  /// Cancels the request of every session whose peer has closed the connection. Called before a
  /// request counts as excess: a peer that closes one connection and immediately uses another
  /// doesn't exceed the limit, but the event loop may see the new request before the close.
  void cancelClosedSessions();

  void removeSession(const std::shared_ptr<TargetSession>& aSession) { mSessions.erase(aSession); }

private:
  void accept();
  void restart();
  std::string statsJson() const;

  boost::asio::io_context& mLoop;
  boost::asio::ip::tcp::acceptor mAcceptor;
  TargetModel mModel;
  JsonLineWriter mEventWriter;
  std::vector<std::string> mSecrets;
  std::set<std::shared_ptr<TargetSession>> mSessions;
  std::map<TargetEventKind, std::uint64_t> mCounts;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_TARGETSERVER_H_
