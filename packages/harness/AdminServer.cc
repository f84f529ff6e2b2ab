// Sessions of the control port on Boost.Beast.

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

  void read()
  {
    mRequest = {};
    mStream.expires_after(std::chrono::seconds(60));
    http::async_read(mStream, mBuffer, mRequest,
                     [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                       if (!aError) {
                         self->respond();
                       }
                     });
  }

private:
  void respond()
  {
    const std::string target(mRequest.target());
    const AdminResponse reply = (*mHandler)(
      AdminRequest{ std::string(mRequest.method_string()), UrlQuery(target), mRequest.body() });
    mResponse = { static_cast<http::status>(reply.status), mRequest.version() };
    mResponse.set(http::field::content_type, "application/json");
    mResponse.keep_alive(mRequest.keep_alive());
    mResponse.body() = reply.body;
    mResponse.prepare_payload();
    http::async_write(mStream, mResponse,
                      [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                        if (!aError && self->mResponse.keep_alive()) {
                          self->read();
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

struct AdminServer::Core
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
  : mCore(std::make_shared<Core>(Core{ asio::ip::tcp::acceptor(aLoop, aListen),
                                       std::make_shared<const Handler>(std::move(aHandler)) }))
{
  accept();
}

AdminServer::~AdminServer()
{
  boost::system::error_code ec;
  mCore->acceptor.close(ec);
}

Endpoint AdminServer::endpoint() const
{
  return mCore->acceptor.local_endpoint();
}

void AdminServer::accept()
{
  // The core outlives the server in the pending handler, which then finds the acceptor closed.
  mCore->acceptor.async_accept(
    [this, core = mCore](boost::system::error_code aError, asio::ip::tcp::socket aSocket) {
      if (!core->acceptor.is_open()) {
        return;
      }
      if (!aError) {
        std::make_shared<AdminSession>(std::move(aSocket), core->handler)->read();
      }
      accept();
    });
}

} // namespace camphorcleat::harness
