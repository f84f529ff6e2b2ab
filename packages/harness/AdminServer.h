// A small HTTP server for control ports of test programs: one handler, called on the event loop.

#ifndef CAMPHORCLEAT_HARNESS_ADMINSERVER_H_
#define CAMPHORCLEAT_HARNESS_ADMINSERVER_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "harness/Endpoint.h"
#include "harness/UrlQuery.h"

namespace camphorcleat::harness {

struct AdminRequest
{
  std::string method;
  UrlQuery query;
  std::string body;
};

struct AdminResponse
{
  unsigned status = 200;
  std::string body = "{}"; ///< JSON.
};

/// A reply with a sentence in {"message"}. Thread-safe.
AdminResponse adminErrorResponse(unsigned aStatus, const std::string& aMessage);

/// Serves one address until it is destroyed. All calls on the thread of the event loop.
class AdminServer
{
public:
  using Handler = std::function<AdminResponse(const AdminRequest&)>;

  /// Starts to listen. Throws boost::system::system_error if the address can't be bound.
  AdminServer(boost::asio::io_context& aLoop, const Endpoint& aListen, Handler aHandler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// The address bound; tells the port that was chosen for port 0.
  Endpoint endpoint() const;

private:
  struct Core;
  void accept();

  std::shared_ptr<Core> mCore;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_ADMINSERVER_H_
