// One listening address of the fault proxy and the connections that it has accepted.

#ifndef CAMPHORCLEAT_HARNESS_PROXYLINK_H_
#define CAMPHORCLEAT_HARNESS_PROXYLINK_H_

#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "harness/ProxyConnection.h"

namespace camphorcleat::harness {

/// The address on which a link accepts connections, and the server to which it forwards them.
struct LinkRoute
{
  std::string name;
  Endpoint listen;
  Endpoint server;

  /// Parses "NAME=listen_ip:port>dest_ip:port". Fails with UsageError.
  static Result<LinkRoute> parse(const std::string& aText);
};

/// All methods must be called on the event loop's thread.
class ProxyLink
{
public:
  /// Starts listening. Throws boost::system::system_error if the address can't be bound. aRandom
  /// must outlive the link.
  ProxyLink(boost::asio::io_context& aLoop, LinkRoute aRoute, std::mt19937_64& aRandom);
  ~ProxyLink();
  ProxyLink(const ProxyLink&) = delete;
  ProxyLink& operator=(const ProxyLink&) = delete;

  const std::string& name() const { return mRoute.name; }
  const LinkSettings& settings() const { return mState->settings; }
  LinkStats stats() const;

  /// Returns the bound address.
  Endpoint endpoint() const { return mRoute.listen; }

  /// Applies settings to the open connections and to new ones. If closeAfterBytes changes, the open
  /// connections count their bytes from 0 again.
  void applySettings(const LinkSettings& aSettings);

  /// Makes the connections that are open now drop all further bytes permanently.
  void silenceConnections();

  /// Resets the connections that are open now.
  void resetConnections();

private:
  void bind(bool aListens);
  void accept();

  boost::asio::io_context& mLoop;
  LinkRoute mRoute;
  std::shared_ptr<LinkState> mState = std::make_shared<LinkState>();
  std::unique_ptr<boost::asio::ip::tcp::acceptor> mAcceptor;
  std::set<std::shared_ptr<ProxyConnection>> mConnections;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_PROXYLINK_H_
