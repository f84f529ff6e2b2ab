// A single request with a small response on a separate connection. Internal to the package.

#ifndef CAMPHORCLEAT_TRANSPORT_TARGETFETCH_H_
#define CAMPHORCLEAT_TRANSPORT_TARGETFETCH_H_

#include <functional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "transport/TargetClient.h"

namespace camphorcleat::transport {

struct FetchRequest
{
  std::string address;
  std::string method;
  std::string path;
  std::string body;
  Millis timeout{ 0 };
};

/// Runs a request. The callback runs once, never within this call.
void startFetch(boost::asio::io_context& aIo, const boost::asio::ip::tcp::endpoint& aEndpoint,
                const FetchRequest& aRequest, std::function<void(FetchResult)> aCallback);

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_TARGETFETCH_H_
