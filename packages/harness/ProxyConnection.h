// One proxied connection: two directions, each with a bounded queue of delayed bytes.
//
// A direction that has lost bytes never forwards again, also after the cut is lifted: TCP never
// delivers a stream with a hole, so neither may the proxy. Such a connection looks silent until
// one of its ends closes it. While a direction is cut, the end of its stream is withheld as well;
// when the cut is lifted, a withheld end reaches the other side as a reset.

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

/// What the connections of a link share. Outlives the connections.
struct LinkState
{
  LinkSettings settings;
  LinkStats stats;
  std::mt19937_64* random = nullptr;
};

/// All calls on the thread of the event loop.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
  using ClosedFunction = std::function<void(const std::shared_ptr<ProxyConnection>&)>;

  /// aClosed is called once, when the connection is over.
  ProxyConnection(boost::asio::ip::tcp::socket aClient, std::shared_ptr<LinkState> aLink,
                  ClosedFunction aClosed);

  /// Connects to the server and starts to forward. Resets the client if that fails.
  void start(const Endpoint& aServer);

  /// Drops the bytes of both directions from now on, for good. The sockets stay open.
  void silence();

  /// Takes note of changed link settings.
  void settingsChanged();

  /// Counts bytes for LinkSettings::closeAfterBytes from now on.
  void restartByteCount();

  /// Resets both sides.
  void reset();

private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Piece
  {
    std::string bytes; ///< Empty for the end of the stream.
    TimePoint due;
    bool isReset = false;
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
    std::deque<Piece> queue;
    std::size_t queuedBytes = 0;
    TimePoint lastDue;
    std::uint64_t countedBytes = 0;
    bool isReading = false;
    bool isDelivering = false;
    bool hasLostBytes = false;
    bool hasReadEnd = false;   ///< The source has closed its side.
    bool hasHeldEnd = false;   ///< The end of the stream is withheld.
    bool hasDelivered = false; ///< The end of the stream was passed on.
  };

  bool drops(const Pipe& aPipe) const;
  void readMore(Pipe& aPipe);
  void enqueue(Pipe& aPipe, Piece aPiece);
  void drop(Pipe& aPipe, std::size_t aBytes);
  void deliverNext(Pipe& aPipe);
  void deliverFront(Pipe& aPipe);
  void deliverBytes(Pipe& aPipe, Piece aPiece);
  void deliverEnd(Pipe& aPipe, bool aIsReset);
  std::size_t limitByCount(const Pipe& aPipe, std::size_t aBytes) const;
  void finishIfOver();
  void close();

  Socket mClient;
  Socket mServer;
  std::shared_ptr<LinkState> mLink;
  ClosedFunction mClosed;
  Pipe mToServer;
  Pipe mToClient;
  bool mIsSilent = false;
  bool mIsOver = false;
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_PROXYCONNECTION_H_
