// websocketpp types for PeerHub. Internal to the package.
//
// Dialed and accepted connections share one configuration, so that they have the same type. All of
// it runs on the hub's thread and needs no locks. websocketpp reports neither how many bytes a
// connection received nor when a write ended. InstrumentedConnection records both by wrapping the
// two transport calls through which every frame passes.

#ifndef CAMPHORCLEAT_TRANSPORT_PEERSOCKET_H_
#define CAMPHORCLEAT_TRANSPORT_PEERSOCKET_H_

#include <functional>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>
#include <websocketpp/transport/asio/endpoint.hpp>

#include "base/Time.h"

namespace camphorcleat::transport {

/// Generates frame masks, which protect intermediate proxies from crafted payloads (RFC 6455,
/// section 10.3). No proxies stand between daemons, so the generator needn't be cryptographically
/// secure.
class MaskGenerator
{
public:
  std::uint32_t operator()() { return static_cast<std::uint32_t>(mRandom()); }

private:
  std::minstd_rand mRandom{ std::random_device{}() };
};

template<class Config>
class InstrumentedConnection : public websocketpp::transport::asio::connection<Config>
{
  using Base = websocketpp::transport::asio::connection<Config>;

public:
  using Base::Base;

  /// Sets a function to call on the hub's thread after each write.
  void setOnWritten(std::function<void()> aFunction) { mOnWritten = std::move(aFunction); }

  /// Returns when bytes were last received, or when the connection was created if there were none.
  TimePoint lastReceived() const { return mLastReceived; }

  /// Returns when the current write started; TimePoint::max() if there is none.
  TimePoint writingSince() const { return mWritingSince; }

  /// Returns when the latest write ended, or when the connection was created if there was none.
  TimePoint lastWritten() const { return mLastWritten; }

  // websocketpp prescribes these names. NOLINTBEGIN(readability-identifier-naming)
  void async_read_at_least(size_t aMinBytes, char* aBuffer, size_t aBytes,
                           websocketpp::transport::read_handler aHandler)
  {
    Base::async_read_at_least(
      aMinBytes, aBuffer, aBytes,
      [this, handler = std::move(aHandler)](const std::error_code& aEc, size_t aCount) {
        if (aCount > 0) {
          mLastReceived = Clock::now();
        }
        handler(aEc, aCount);
      });
  }

  void async_write(const char* aData, size_t aBytes, websocketpp::transport::write_handler aHandler)
  {
    Base::async_write(aData, aBytes, instrument(std::move(aHandler)));
  }

  void async_write(const std::vector<websocketpp::transport::buffer>& aBuffers,
                   websocketpp::transport::write_handler aHandler)
  {
    Base::async_write(aBuffers, instrument(std::move(aHandler)));
  }
  // NOLINTEND(readability-identifier-naming)

private:
  // Wraps a handler to record when its write starts and ends. Base keeps the connection alive until
  // the handler has run.
  websocketpp::transport::write_handler instrument(websocketpp::transport::write_handler aHandler)
  {
    mWritingSince = Clock::now();
    return [this, handler = std::move(aHandler)](const std::error_code& aEc) {
      mWritingSince = TimePoint::max();
      mLastWritten = Clock::now();
      handler(aEc);
      if (mOnWritten) {
        mOnWritten();
      }
    };
  }

  std::function<void()> mOnWritten;
  TimePoint mLastReceived = Clock::now();
  TimePoint mWritingSince = TimePoint::max();
  TimePoint mLastWritten = Clock::now();
};

template<class Config>
class InstrumentedEndpoint : public websocketpp::transport::asio::endpoint<Config>
{
public:
  // websocketpp prescribes these names.
  using transport_con_type = InstrumentedConnection<Config>;
  using transport_con_ptr = typename transport_con_type::ptr;
};

struct PeerSocketConfig : public websocketpp::config::core
{
  using type = PeerSocketConfig;
  using concurrency_type = websocketpp::concurrency::none;
  using alog_type = websocketpp::log::stub;
  using elog_type = websocketpp::log::stub;
  using rng_type = MaskGenerator;
  static const bool enable_multithreading = false;
  // A connection whose peer violates the protocol is closed immediately.
  static const bool drop_on_protocol_error = true;

  // NOLINTNEXTLINE(readability-identifier-naming): websocketpp prescribes the name.
  struct transport_config : public websocketpp::config::core::transport_config
  {
    using concurrency_type = type::concurrency_type;
    using alog_type = type::alog_type;
    using elog_type = type::elog_type;
    using request_type = type::request_type;
    using response_type = type::response_type;
    using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
    static const bool enable_multithreading = false;
  };
  using transport_type = InstrumentedEndpoint<transport_config>;
};

using PeerServer = websocketpp::server<PeerSocketConfig>;
using PeerClient = websocketpp::client<PeerSocketConfig>;
using PeerSocket = websocketpp::connection<PeerSocketConfig>;

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_PEERSOCKET_H_
