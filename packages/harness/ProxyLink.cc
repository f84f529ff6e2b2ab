// Listening, refusing and the list of open connections of a link.

#include "harness/ProxyLink.h"

#include "harness/HarnessErrors.h"

namespace camphorcleat::harness {

namespace asio = boost::asio;

namespace {

// Test traffic uses a few hundred connections a link; more than this is a fault of the test.
constexpr std::size_t kMaxConnections = 4096;

} // namespace

Result<LinkRoute> LinkRoute::parse(const std::string& aText)
{
  const auto equals = aText.find('=');
  const auto arrow = aText.find('>', equals == std::string::npos ? 0 : equals);
  if (equals == std::string::npos || equals == 0 || arrow == std::string::npos) {
    return fail(UsageError{ "link '" + aText + "' is not NAME=listen_ip:port>dest_ip:port" });
  }
  LinkRoute out;
  out.name = aText.substr(0, equals);
  BOOST_LEAF_ASSIGN(out.listen, parseEndpoint(aText.substr(equals + 1, arrow - equals - 1)));
  BOOST_LEAF_ASSIGN(out.server, parseEndpoint(aText.substr(arrow + 1)));
  return out;
}

ProxyLink::ProxyLink(asio::io_context& aLoop, LinkRoute aRoute, std::mt19937_64& aRandom)
  : mLoop(aLoop)
  , mRoute(std::move(aRoute))
{
  mState->random = &aRandom;
  bind(true);
}

ProxyLink::~ProxyLink()
{
  resetOpen();
}

void ProxyLink::bind(bool aListens)
{
  // A bound socket that doesn't listen keeps the port and makes the system refuse connections.
  mAcceptor = std::make_unique<asio::ip::tcp::acceptor>(mLoop, mRoute.listen.protocol());
  mAcceptor->set_option(asio::socket_base::reuse_address(true));
  mAcceptor->bind(mRoute.listen);
  mRoute.listen = mAcceptor->local_endpoint();
  if (aListens) {
    mAcceptor->listen();
    accept();
  }
}

void ProxyLink::accept()
{
  mAcceptor->async_accept([this](boost::system::error_code aError, asio::ip::tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (!aError && mConnections.size() < kMaxConnections) {
      ++mState->stats.accepted;
      auto connection = std::make_shared<ProxyConnection>(
        std::move(aSocket), mState,
        [this](const std::shared_ptr<ProxyConnection>& aOver) { mConnections.erase(aOver); });
      mConnections.insert(connection);
      connection->start(mRoute.server);
    }
    accept();
  });
}

LinkStats ProxyLink::stats() const
{
  LinkStats out = mState->stats;
  out.connections = mConnections.size();
  return out;
}

void ProxyLink::apply(const LinkSettings& aSettings)
{
  const bool refused = mState->settings.refuses;
  const bool countsAnew = aSettings.closeAfterBytes != mState->settings.closeAfterBytes;
  mState->settings = aSettings;
  if (refused != aSettings.refuses) {
    mAcceptor.reset();
    bind(!aSettings.refuses);
  }
  const auto connections = mConnections; // settingsChanged() may end connections.
  for (const auto& it : connections) {
    if (countsAnew) {
      it->restartByteCount();
    }
    it->settingsChanged();
  }
}

void ProxyLink::silenceOpen()
{
  for (const auto& it : mConnections) {
    it->silence();
  }
}

void ProxyLink::resetOpen()
{
  const auto connections = mConnections;
  for (const auto& it : connections) {
    it->reset();
  }
}

} // namespace camphorcleat::harness
