// One proxied connection with a bounded queue of delayed bytes for each direction.
//
// After a direction has dropped bytes it drops all later bytes too, even when the cut is removed:
// TCP never delivers a stream with a gap, so the proxy must not either. Such a connection stays
// open without transferring bytes in this direction until an endpoint closes it. While a direction
// is cut, the end of its stream is withheld as well. When the cut is removed, a withheld end resets
// the connection.

#ifndef CAMPHORCLEAT_HARNESS_PROXYCONNECTION_H_
#define CAMPHORCLEAT_HARNESS_PROXYCONNECTION_H_

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/Time.h"
#include "harness/Endpoint.h"
#include "harness/ProxyTypes.h"

namespace camphorcleat::harness {

/// State that the connections of a link share. It must outlive the connections.
struct LinkState
{
  LinkSettings settings;
  LinkStats stats;
  std::mt19937_64* random = nullptr; ///< For the jitter. Not owned.
};

/// All methods must be called on the event loop's thread.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
  using ClosedCallback = std::function<void(const std::shared_ptr<ProxyConnection>&)>;

  /// aOnClosed is called once, when the connection is closed.
  ProxyConnection(boost::asio::ip::tcp::socket aClient, std::shared_ptr<LinkState> aLink,
                  ClosedCallback aOnClosed);

  /// Connects to the server and starts forwarding. Resets the client's connection if connecting
  /// fails.
  void start(const Endpoint& aServer);

  /// Drops all further bytes of both directions permanently. The sockets stay open.
  void silence();

  /// Must be called after a change of the link's settings. Resets the connection if the end of a
  /// stream was withheld in a direction that is no longer cut.
  void onSettingsChanged();

  /// Restarts the byte count that LinkSettings::closeAfterBytes limits.
  void restartByteCount();

  /// Resets the connections to both endpoints.
  void reset();

private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Chunk
  {
    std::string bytes;    ///< Empty if this is the end of the stream.
    TimePoint due;        ///< When to forward it.
    bool isReset = false; ///< At the end of the stream: the source reset the connection.
  };

  struct Pipe
  {
    Pipe(ProxyDirection aDirection, Socket& aFrom, Socket& aTo)
      : direction(aDirection)
      , from(aFrom)
      , to(aTo)
      , timer(aFrom.get_executor())
    {
    }
    ProxyDirection direction;
    Socket& from;
    Socket& to;
    boost::asio::steady_timer timer;
    std::array<char, 16U << 10U> buffer{};
    std::deque<Chunk> queue;
    std::size_t queuedBytes = 0;
    TimePoint lastDue;
    std::uint64_t forwardedBytes = 0; ///< Counted for LinkSettings::closeAfterBytes.
    bool isReading = false;
    bool isForwarding = false;
    bool hasDroppedBytes = false;
    bool hasReadEnd = false;      ///< The end of the source's stream was read.
    bool isEndWithheld = false;   ///< The end of the stream is withheld.
    bool hasForwardedEnd = false; ///< The end of the stream was forwarded.
  };

  bool isDropping(const Pipe& aPipe) const;
  void readMore(Pipe& aPipe);
  void enqueue(Pipe& aPipe, Chunk aChunk);
  void recordDrop(Pipe& aPipe, std::size_t aBytes);
  void forwardNext(Pipe& aPipe);
  void forwardFront(Pipe& aPipe);
  void forwardBytes(Pipe& aPipe, Chunk aChunk);
  void forwardEnd(Pipe& aPipe, bool aIsReset);
  std::size_t forwardableBytes(const Pipe& aPipe, std::size_t aBytes) const;
  void closeIfFinished();
  void close();

  Socket mClient;
  Socket mServer;
  std::shared_ptr<LinkState> mLink;
  ClosedCallback mOnClosed;
  Pipe mToServer;
  Pipe mToClient;
  bool mIsSilenced = false;
  bool mIsClosed = false;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_PROXYCONNECTION_H_
