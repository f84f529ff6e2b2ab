// Implements the sessions of the admin server with Boost.Beast.

#include "harness/AdminServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <QJsonDocument>
#include <QJsonObject>

#include "base/Time.h"

namespace camphorcleat::harness {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

class AdminSession : public std::enable_shared_from_this<AdminSession>
{
public:
  AdminSession(asio::ip::tcp::socket aSocket, std::shared_ptr<const AdminServer::Handler> aHandler)
    : mStream(std::move(aSocket))
    , mHandler(std::move(aHandler))
  {
  }

  void readRequest()
  {
    mRequest = {};
    mStream.expires_after(std::chrono::seconds(60));
    http::async_read(mStream, mBuffer, mRequest,
                     [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                       if (!aError) {
                         self->sendResponse();
                       }
                     });
  }

private:
  void sendResponse()
  {
    const std::string target(mRequest.target());
    const AdminResponse response = (*mHandler)(
      AdminRequest{ std::string(mRequest.method_string()), UrlQuery(target), mRequest.body() });
    mResponse = { static_cast<http::status>(response.status), mRequest.version() };
    mResponse.set(http::field::content_type, "application/json");
    mResponse.keep_alive(mRequest.keep_alive());
    mResponse.body() = response.body;
    mResponse.prepare_payload();
    http::async_write(mStream, mResponse,
                      [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                        if (!aError && self->mResponse.keep_alive()) {
                          self->readRequest();
                        }
                      });
  }

  beast::tcp_stream mStream;
  std::shared_ptr<const AdminServer::Handler> mHandler;
  beast::flat_buffer mBuffer;
  http::request<http::string_body> mRequest;
  http::response<http::string_body> mResponse;
};

} // namespace

struct AdminServer::State
{
  asio::ip::tcp::acceptor acceptor;
  std::shared_ptr<const Handler> handler;
};

AdminResponse adminErrorResponse(unsigned aStatus, const std::string& aMessage)
{
  const QJsonObject body{ { "message", QString::fromStdString(aMessage) } };
  return { aStatus, QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString() };
}

AdminServer::AdminServer(asio::io_context& aLoop, const Endpoint& aListen, Handler aHandler)
  : mState(std::make_shared<State>(State{ asio::ip::tcp::acceptor(aLoop, aListen),
                                          std::make_shared<const Handler>(std::move(aHandler)) }))
{
  accept();
}

AdminServer::~AdminServer()
{
  boost::system::error_code ec;
  mState->acceptor.close(ec);
}

Endpoint AdminServer::endpoint() const
{
  return mState->acceptor.local_endpoint();
}

void AdminServer::accept()
{
  // The pending handler keeps the state alive after the server is destroyed and then finds the
  // acceptor closed.
  mState->acceptor.async_accept(
    [this, state = mState](boost::system::error_code aError, asio::ip::tcp::socket aSocket) {
      if (!state->acceptor.is_open()) {
        return;
      }
      if (!aError) {
        std::make_shared<AdminSession>(std::move(aSocket), state->handler)->readRequest();
      }
      accept();
    });
}

} // namespace camphorcleat::harness
