// The target stand-in on the network: work port, records and the state changes of its admin port.

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

/// Serves targets' HTTP on one address. All calls on the thread of the event loop.
class TargetServer
{
public:
  /// Starts to listen. Throws boost::system::system_error if the address can't be bound.
  TargetServer(boost::asio::io_context& aLoop, const Endpoint& aListen, TargetSettings aSettings,
               JsonLineWriter aRecord);
  ~TargetServer();
  TargetServer(const TargetServer&) = delete;
  TargetServer& operator=(const TargetServer&) = delete;

  /// The address bound.
  Endpoint endpoint() const { return mAcceptor.local_endpoint(); }

  /// Watches headers and paths for a text that no target may see. An empty text is ignored.
  void addSecret(const std::string& aText);

  /// Handles a request of the admin port: POST /slow, /cold, /drain, /restart, /secret; GET /stats.
  AdminReply control(const AdminRequest& aRequest);

  // For sessions.

  TargetModel& model() { return mModel; }
  boost::asio::io_context& loop() { return mLoop; }

  /// Writes an event; fills in time, target, load and limit.
  void record(TargetEvent aEvent);

  /// Whether a text contains one of the secrets.
  bool containsSecret(std::string_view aText) const;

  /// Ends the work of every session whose peer has closed its connection. Called before a request
  /// counts as excess, because a peer that closes one connection and uses another at once did not
  /// exceed the limit, even if the second event is seen first.
  void reapClosed();

  void remove(const std::shared_ptr<TargetSession>& aSession) { mSessions.erase(aSession); }

private:
  void accept();
  void restart();
  std::string stats() const;

  boost::asio::io_context& mLoop;
  boost::asio::ip::tcp::acceptor mAcceptor;
  TargetModel mModel;
  JsonLineWriter mRecord;
  std::vector<std::string> mSecrets;
  std::set<std::shared_ptr<TargetSession>> mSessions;
  std::map<TargetEventKind, std::uint64_t> mCounts;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_TARGETSERVER_H_
