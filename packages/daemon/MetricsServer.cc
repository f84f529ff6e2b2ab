// Registers the monitoring pages with QHttpServer.

#include "daemon/MetricsServer.h"

#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerRequest>
#include <QHttpServerResponse>

namespace camphorcleat::daemon {

struct MetricsServer::Impl
{
  Impl(std::string aAddress, const HealthPages& aPages)
    : address(std::move(aAddress))
    , pages(aPages)
  {
  }

  void addRoute(const char* aPath)
  {
    server.route(aPath, QHttpServerRequest::Method::Get, [this, path = std::string(aPath)] {
      const Page page = pages.page(path);
      return QHttpServerResponse("text/plain; charset=utf-8", QByteArray::fromStdString(page.text),
                                 static_cast<QHttpServerResponse::StatusCode>(page.status));
    });
  }

  std::string address;
  const HealthPages& pages;
  QHttpServer server;
};

MetricsServer::MetricsServer(std::string aAddress, const HealthPages& aPages)
  : mImpl(std::make_unique<Impl>(std::move(aAddress), aPages))
{
}

MetricsServer::~MetricsServer() = default;

Result<void> MetricsServer::start()
{
  for (const char* path : { "/metrics", "/healthz", "/readyz" }) {
    mImpl->addRoute(path);
  }
  const auto colon = mImpl->address.rfind(':');
  const QHostAddress host(QString::fromStdString(mImpl->address.substr(0, colon)));
  const auto port = static_cast<quint16>(std::stoul(mImpl->address.substr(colon + 1)));
  if (mImpl->server.listen(host, port) == 0) {
    return fail(ListenError{ mImpl->address });
  }
  return {};
}

} // namespace camphorcleat::daemon
