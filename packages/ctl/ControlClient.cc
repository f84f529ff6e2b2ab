// Each attempt is a POST /command with a nested event loop.

#include "ctl/ControlClient.h"

#include <algorithm>
#include <memory>
#include <thread>

#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

#include "base/Codec.h"

namespace camphorcleat::ctl {

namespace {

constexpr Millis kRoundPause{ 100 }; // After each address has been tried once.
constexpr Millis kMinAttemptTimeout{ 500 };
// Sufficient for the response to "show owners", which takes about 250 KB for each service at the
// default of 16,384 partitions, and 64 MB for the maximum of 256 services (fleet::kMaxServices).
constexpr qint64 kMaxResponseBytes = qint64{ 64 } * 1024 * 1024;

std::optional<StatementResponse> parseResponse(const QByteArray& aBody)
{
  const QJsonDocument document = QJsonDocument::fromJson(aBody);
  const QJsonObject body = document.object();
  if (!body.value("code").isString()) {
    return std::nullopt;
  }
  return StatementResponse{ body.value("code").toString().toStdString(),
                            body.value("message").toString().toStdString(),
                            static_cast<Revision>(body.value("revision").toInteger()),
                            body.value("result").toObject(), body };
}

std::string problemOf(const QNetworkReply& aReply, Millis aTimeout)
{
  switch (aReply.error()) {
    case QNetworkReply::NoError:
      return "the response is not a JSON object with a code";
    case QNetworkReply::OperationCanceledError:
      return "no answer within " + std::to_string(aTimeout.count()) + " ms";
    default:
      return aReply.errorString().toStdString();
  }
}

bool isFinal(const StatementResponse& aResponse)
{
  const auto code = enumFromName<ErrorCode>(aResponse.code);
  return code != ErrorCode::NotLeader && code != ErrorCode::NoQuorum;
}

} // namespace

ControlClient::ControlClient(CtlSettings aSettings)
  : mSettings(std::move(aSettings))
{
  mNetwork.setProxy(QNetworkProxy::NoProxy);
}

Result<StatementResponse> ControlClient::send(const std::string& aStatement,
                                              const std::string& aCommandId)
{
  const TimePoint deadline = Clock::now() + mSettings.timeout;
  const QByteArray body = bodyOf(aStatement, aCommandId);
  // Limits each attempt, so that an unresponsive daemon leaves time for the other addresses.
  const Millis attemptTimeout =
    std::max(kMinAttemptTimeout,
             mSettings.timeout / static_cast<Millis::rep>(mSettings.addresses.size() + 1));
  std::string problem = "not sent";
  for (std::size_t count = 1; Clock::now() < deadline; ++count) {
    const std::string& address = mSettings.addresses[mNextAddress % mSettings.addresses.size()];
    const auto timeLeft = std::chrono::duration_cast<Millis>(deadline - Clock::now());
    Attempt result =
      attempt(address, body, std::max(Millis(1), std::min(attemptTimeout, timeLeft)));
    if (result.response && isFinal(*result.response)) {
      return std::move(*result.response);
    }
    problem =
      address + ": " +
      (result.response ? result.response->code + ": " + result.response->message : result.problem);
    logEvent(LogLevel::Info, "attempt_failed", { { "address", address }, { "problem", problem } });
    mNextAddress += 1;
    if (count % mSettings.addresses.size() == 0) {
      std::this_thread::sleep_for(kRoundPause);
    }
  }
  return fail(NoResponseError{ aCommandId, problem });
}

ControlClient::Attempt ControlClient::attempt(const std::string& aAddress, const QByteArray& aBody,
                                              Millis aTimeout)
{
  QNetworkRequest request(QUrl("http://" + QString::fromStdString(aAddress) + "/command"));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  request.setTransferTimeout(static_cast<int>(aTimeout.count()));
  const std::unique_ptr<QNetworkReply> reply(mNetwork.post(request, aBody));
  QEventLoop loop;
  QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
  QObject::connect(reply.get(), &QNetworkReply::downloadProgress, &loop,
                   [&reply](qint64 aReceivedBytes, qint64 /*aTotalBytes*/) {
                     if (aReceivedBytes > kMaxResponseBytes) {
                       reply->abort();
                     }
                   });
  if (!reply->isFinished()) {
    loop.exec();
  }
  // A refusal has a status other than 200, but the same JSON format.
  Attempt out{ parseResponse(reply->isOpen() ? reply->readAll() : QByteArray()), std::string() };
  if (!out.response) {
    out.problem = problemOf(*reply, aTimeout);
  }
  return out;
}

QByteArray ControlClient::bodyOf(const std::string& aStatement, const std::string& aCommandId) const
{
  QJsonObject out{ { "statement", QString::fromStdString(aStatement) },
                   { "command_id", QString::fromStdString(aCommandId) },
                   { "operator", QString::fromStdString(mSettings.operatorName) },
                   { "dry_run", mSettings.isDryRun } };
  if (mSettings.expectedRevision) {
    out.insert("expect_revision", static_cast<qint64>(*mSettings.expectedRevision));
  }
  return QJsonDocument(out).toJson(QJsonDocument::Compact);
}

} // namespace camphorcleat::ctl
