// Routes of the operators' address.

#include "daemon/OperatorServer.h"

#include <QFuture>
#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerRequest>
#include <QHttpServerResponse>
#include <QPromise>
#include <QTcpServer>

#include "base/Codec.h"
#include "daemon/OperatorAnswers.h"

namespace camphorcleat::daemon {

namespace {

constexpr Millis kCommandLimit{ 6000 };
constexpr qsizetype kMaxCommandBytes = 1 << 20;

using Response = QHttpServerResponse;
using Status = QHttpServerResponse::StatusCode;

struct CommandBody
{
  std::string statement;
  std::string commandId;
  std::string issuer;
  std::optional<Revision> expectedRevision;
  std::optional<bool> isDryRun;
  static constexpr auto fields()
  {
    return std::make_tuple(field("statement", &CommandBody::statement),
                           field("command_id", &CommandBody::commandId),
                           field("operator", &CommandBody::issuer),
                           field("expect_revision", &CommandBody::expectedRevision),
                           field("dry_run", &CommandBody::isDryRun));
  }
};

Response jsonResponse(const std::string& aJson)
{
  return Response("application/json", QByteArray::fromStdString(aJson), Status::Ok);
}

Response textResponse(const std::string& aText, Status aStatus)
{
  return Response("text/plain; charset=utf-8", QByteArray::fromStdString(aText), aStatus);
}

// A response that another thread will give.
struct PendingResponse
{
  std::shared_ptr<QPromise<Response>> promise = std::make_shared<QPromise<Response>>();

  PendingResponse() { promise->start(); }

  void finish(const std::string& aJson) const
  {
    promise->addResult(jsonResponse(aJson));
    promise->finish();
  }
};

std::string notAMember(const Settings& aSettings)
{
  std::string members;
  for (const auto& [id, address] : aSettings.members) {
    members += (members.empty() ? "" : ", ") + std::to_string(id);
  }
  return refusalJson(ErrorCode::NotLeader,
                     "this daemon is no control member; ask one of nodes " + members, 0);
}

} // namespace

struct OperatorServer::Impl
{
  Impl(const Settings& aSettings, Rings& aRings, const SharedView& aView, const Metrics& aMetrics)
    : settings(aSettings)
    , rings(aRings)
    , view(aView)
    , metrics(aMetrics)
  {
  }

  void addRoutes();
  QFuture<Response> command(const QHttpServerRequest& aRequest);
  QFuture<Response> status();
  Response ready() const;

  const Settings& settings;
  Rings& rings;
  const SharedView& view;
  const Metrics& metrics;
  QHttpServer server;
};

void OperatorServer::Impl::addRoutes()
{
  server.route("/command", QHttpServerRequest::Method::Post,
               [this](const QHttpServerRequest& aRequest) { return command(aRequest); });
  server.route("/status", QHttpServerRequest::Method::Get, [this] { return status(); });
  server.route("/metrics", QHttpServerRequest::Method::Get,
               [this] { return textResponse(metrics.render(), Status::Ok); });
  server.route("/healthz", QHttpServerRequest::Method::Get,
               [] { return textResponse("ok\n", Status::Ok); });
  server.route("/readyz", QHttpServerRequest::Method::Get, [this] { return ready(); });
}

QFuture<Response> OperatorServer::Impl::command(const QHttpServerRequest& aRequest)
{
  const PendingResponse pending;
  const QByteArray text = aRequest.body();
  if (text.size() > kMaxCommandBytes) {
    pending.finish(refusalJson(ErrorCode::BodyTooLarge, "a command has at most 1 MiB", 0));
    return pending.promise->future();
  }
  orElse(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(body, fromJson<CommandBody>(text.toStdString()));
      OperatorRequest request;
      request.statement = body.statement;
      request.commandId = body.commandId;
      request.issuer = body.issuer;
      request.expectedRevision = body.expectedRevision;
      request.isDryRun = body.isDryRun.value_or(false);
      request.deadline = Clock::now() + kCommandLimit;
      request.reply = [pending](const std::string& aJson) { pending.finish(aJson); };
      if (!rings.control) {
        pending.finish(notAMember(settings));
        return true;
      }
      ControlMessage message(std::move(request));
      if (!rings.control->tryPush(std::move(message))) {
        pending.finish(refusalJson(ErrorCode::Overloaded, "too many commands are waiting", 0));
      }
      return true;
    },
    [&](const ErrorInfo& aInfo) {
      pending.finish(refusalJson(aInfo.code, aInfo.message, 0));
      return false;
    });
  return pending.promise->future();
}

QFuture<Response> OperatorServer::Impl::status()
{
  const PendingResponse pending;
  const auto state = view.state();
  NodeStatusView local;
  local.node = settings.id;
  local.revision = state->revision;
  local.leaseLeftMillis = toMillis(view.leaseValidUntil() - Clock::now());
  local.isLeaseValid = local.leaseLeftMillis > 0;
  local.isConfigFresh = Clock::now() - view.confirmedAt() <= settings.lease.confirmLimit;
  local.incarnation = state->incarnation;
  local.partitionsOwned = countOwned(*state, settings.id);
  if (!rings.control) {
    pending.finish(statusJson(local, std::nullopt));
    return pending.promise->future();
  }
  StatusRequest request;
  request.reply = [pending, local](const ControlStatus& aStatus) {
    pending.finish(statusJson(local, aStatus));
  };
  ControlMessage message(std::move(request));
  if (!rings.control->tryPush(std::move(message))) {
    pending.finish(statusJson(local, std::nullopt));
  }
  return pending.promise->future();
}

Response OperatorServer::Impl::ready() const
{
  const TimePoint now = Clock::now();
  const bool hasLease = now < view.leaseValidUntil();
  const bool isFresh = now - view.confirmedAt() <= settings.lease.confirmLimit;
  if (hasLease && isFresh) {
    return textResponse("ready\n", Status::Ok);
  }
  return textResponse(hasLease ? "configuration not confirmed\n" : "no lease\n",
                      Status::ServiceUnavailable);
}

OperatorServer::OperatorServer(const Settings& aSettings, Rings& aRings, const SharedView& aView,
                               const Metrics& aMetrics)
  : mImpl(std::make_unique<Impl>(aSettings, aRings, aView, aMetrics))
{
}

OperatorServer::~OperatorServer() = default;

Result<void> OperatorServer::start()
{
  mImpl->addRoutes();
  const std::string& address = mImpl->settings.operatorsAddress;
  const auto colon = address.rfind(':');
  const QHostAddress host(QString::fromStdString(address.substr(0, colon)));
  const auto port = static_cast<quint16>(std::stoul(address.substr(colon + 1)));
  if (mImpl->server.listen(host, port) == 0) {
    return fail(ListenError{ address });
  }
  return {};
}

} // namespace camphorcleat::daemon
