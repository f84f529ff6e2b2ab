// HTTP server for the admin ports of test programs. It calls one handler on the event loop's
// thread.

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

/// Returns a response whose JSON body contains aMessage as "message". Thread-safe.
AdminResponse adminErrorResponse(unsigned aStatus, const std::string& aMessage);

/// Serves one address until it is destroyed. All methods must be called on the event loop's thread.
class AdminServer
{
public:
  using Handler = std::function<AdminResponse(const AdminRequest&)>;

  /// Starts listening. Throws boost::system::system_error if the address can't be bound.
  AdminServer(boost::asio::io_context& aLoop, const Endpoint& aListen, Handler aHandler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Returns the bound address, with the port that the system chose if port 0 was requested.
  Endpoint endpoint() const;

private:
  struct State;
  void accept();

  std::shared_ptr<State> mState;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_ADMINSERVER_H_
