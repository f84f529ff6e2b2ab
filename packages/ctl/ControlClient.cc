// POST /command with one nested event loop per attempt.

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

constexpr Millis kPauseAfterRound{ 100 };
constexpr Millis kMinAttempt{ 500 };
// Owners of 16,384 partitions take about 250 KB for each service.
constexpr qint64 kMaxAnswerBytes = qint64{ 64 } * 1024 * 1024;

std::optional<Answer> parseAnswer(const QByteArray& aBody)
{
  const QJsonDocument document = QJsonDocument::fromJson(aBody);
  const QJsonObject whole = document.object();
  if (!whole.value("code").isString()) {
    return std::nullopt;
  }
  return Answer{ whole.value("code").toString().toStdString(),
                 whole.value("message").toString().toStdString(),
                 static_cast<Revision>(whole.value("revision").toInteger()),
                 whole.value("result").toObject(), whole };
}

std::string problemOf(const QNetworkReply& aReply, Millis aTimeout)
{
  switch (aReply.error()) {
    case QNetworkReply::NoError:
      return "the answer is not JSON with a code";
    case QNetworkReply::OperationCanceledError:
      return "no answer within " + std::to_string(aTimeout.count()) + " ms";
    default:
      return aReply.errorString().toStdString();
  }
}

bool isFinal(const Answer& aAnswer)
{
  const auto code = enumFromName<ErrorCode>(aAnswer.code);
  return code != ErrorCode::NotLeader && code != ErrorCode::NoQuorum;
}

} // namespace

ControlClient::ControlClient(CtlSettings aSettings)
  : mSettings(std::move(aSettings))
{
  mNetwork.setProxy(QNetworkProxy::NoProxy);
}

Result<Answer> ControlClient::send(const std::string& aStatement, const std::string& aCommandId)
{
  const TimePoint deadline = Clock::now() + mSettings.timeout;
  const QByteArray body = bodyOf(aStatement, aCommandId);
  // A silent daemon must leave time for the others.
  const Millis share = std::max(
    kMinAttempt, mSettings.timeout / static_cast<Millis::rep>(mSettings.addresses.size() + 1));
  std::string problem = "not sent";
  for (std::size_t count = 1; Clock::now() < deadline; ++count) {
    const std::string& address = mSettings.addresses[mNext % mSettings.addresses.size()];
    const auto left = std::chrono::duration_cast<Millis>(deadline - Clock::now());
    Attempt tried = attempt(address, body, std::max(Millis(1), std::min(share, left)));
    if (tried.answer && isFinal(*tried.answer)) {
      return std::move(*tried.answer);
    }
    problem = address + ": " +
              (tried.answer ? tried.answer->code + ": " + tried.answer->message : tried.problem);
    logEvent(LogLevel::Info, "attempt_failed", { { "address", address }, { "problem", problem } });
    mNext += 1;
    if (count % mSettings.addresses.size() == 0) {
      std::this_thread::sleep_for(kPauseAfterRound);
    }
  }
  return fail(NoAnswerError{ aCommandId, problem });
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
                     if (aReceivedBytes > kMaxAnswerBytes) {
                       reply->abort();
                     }
                   });
  if (!reply->isFinished()) {
    loop.exec();
  }
  // A refusal comes as a status other than 200 with the same JSON body.
  Attempt out{ parseAnswer(reply->isOpen() ? reply->readAll() : QByteArray()), std::string() };
  if (!out.answer) {
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
