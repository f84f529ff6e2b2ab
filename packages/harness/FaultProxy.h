// The links of a fault proxy process and the admin requests that change them.

#ifndef CAMPHORCLEAT_HARNESS_FAULTPROXY_H_
#define CAMPHORCLEAT_HARNESS_FAULTPROXY_H_

#include <memory>
#include <vector>

#include "harness/AdminServer.h"
#include "harness/ProxyLink.h"

namespace camphorcleat::harness {

/// All methods must be called on the event loop's thread.
class FaultProxy
{
public:
  /// aSeed seeds the random jitter, so that it is reproducible.
  FaultProxy(boost::asio::io_context& aLoop, std::uint64_t aSeed);

  /// Adds a link and returns its bound address. Throws boost::system::system_error if the address
  /// can't be bound.
  Endpoint addLink(const LinkRoute& aRoute);

  /// Handles an admin request: POST /set?link=NAME&... or GET /stats. A name that ends with '*'
  /// selects all links with that prefix. No link is changed unless all parameters are valid.
  ///
  /// Parameters of /set; settings without a parameter keep their values, see LinkSettings:
  ///   delay_ms=N, jitter_ms=N, cut=none|to_server|to_client|both, refuse=0|1,
  ///   close_after_bytes=N|none and direction=to_server|to_client, in which they are counted,
  ///   silence_open=1 (drops all further bytes of the open connections permanently),
  ///   reset=1 (resets the open connections).
  AdminResponse handleAdminRequest(const AdminRequest& aRequest);

private:
  AdminResponse applySettings(const UrlQuery& aQuery);
  std::vector<ProxyLink*> findLinks(const std::string& aName) const;
  std::string statsJson() const;

  boost::asio::io_context& mLoop;
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<ProxyLink>> mLinks;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_FAULTPROXY_H_
