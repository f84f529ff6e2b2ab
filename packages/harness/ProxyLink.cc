// Accepts or refuses connections and tracks the open connections of a link.

#include "harness/ProxyLink.h"

#include "harness/HarnessErrors.h"

namespace camphorcleat::harness {

namespace asio = boost::asio;

namespace {

// Tests use a few hundred connections a link, so more than this is an error in the test. Further
// connections are closed at once.
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
  resetConnections();
}

void ProxyLink::bind(bool aListens)
{
  // While a bound socket doesn't listen, it reserves the port and the system refuses connections.
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
        [this](const std::shared_ptr<ProxyConnection>& aClosed) { mConnections.erase(aClosed); });
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

void ProxyLink::applySettings(const LinkSettings& aSettings)
{
  const bool wasRefusing = mState->settings.refusesConnections;
  const bool restartsByteCount = aSettings.closeAfterBytes != mState->settings.closeAfterBytes;
  mState->settings = aSettings;
  if (wasRefusing != aSettings.refusesConnections) {
    mAcceptor.reset();
    bind(!aSettings.refusesConnections);
  }
  // Copied because onSettingsChanged() may close connections and so remove them from the set.
  const auto connections = mConnections;
  for (const auto& it : connections) {
    if (restartsByteCount) {
      it->restartByteCount();
    }
    it->onSettingsChanged();
  }
}

void ProxyLink::silenceConnections()
{
  for (const auto& it : mConnections) {
    it->silence();
  }
}

void ProxyLink::resetConnections()
{
  const auto connections = mConnections;
  for (const auto& it : connections) {
    it->reset();
  }
}

} // namespace camphorcleat::harness
