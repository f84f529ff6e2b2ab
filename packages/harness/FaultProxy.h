// All links of one fault proxy process and their control requests.

#ifndef CAMPHORCLEAT_HARNESS_FAULTPROXY_H_
#define CAMPHORCLEAT_HARNESS_FAULTPROXY_H_

#include <memory>
#include <vector>

#include "harness/AdminServer.h"
#include "harness/ProxyLink.h"

namespace camphorcleat::harness {

/// All calls on the thread of the event loop.
class FaultProxy
{
public:
  /// The seed makes the jitter repeatable.
  FaultProxy(boost::asio::io_context& aLoop, std::uint64_t aSeed);

  /// Adds a link; returns the address bound. Throws boost::system::system_error if it can't be.
  Endpoint add(const LinkRoute& aRoute);

  /// Handles a control request: POST /set?link=NAME&..., GET /stats. A name that ends with '*'
  /// means every link with that prefix. Nothing is changed unless all parameters are valid.
  AdminResponse control(const AdminRequest& aRequest);

private:
  AdminResponse set(const UrlQuery& aQuery);
  std::vector<ProxyLink*> matching(const std::string& aName) const;
  std::string stats() const;

  boost::asio::io_context& mLoop;
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<ProxyLink>> mLinks;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_FAULTPROXY_H_
