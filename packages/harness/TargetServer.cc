// Acceptor, records and admin requests of the target stand-in.

#include "harness/TargetServer.h"

#include "harness/TargetSession.h"

namespace camphorcleat::harness {

namespace asio = boost::asio;

TargetServer::TargetServer(asio::io_context& aLoop, const Endpoint& aListen,
                           TargetSettings aSettings, JsonLineWriter aRecord)
  : mLoop(aLoop)
  , mAcceptor(aLoop, aListen)
  , mModel(std::move(aSettings), Clock::now())
  , mRecord(std::move(aRecord))
{
  TargetEvent cold;
  cold.kind = TargetEventKind::Cold;
  record(std::move(cold));
  accept();
}

TargetServer::~TargetServer()
{
  for (const auto& it : mSessions) {
    it->abort();
  }
}

void TargetServer::accept()
{
  mAcceptor.async_accept([this](boost::system::error_code aError, asio::ip::tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      auto session = std::make_shared<TargetSession>(*this, std::move(aSocket));
      mSessions.insert(session);
      session->read();
    }
    accept();
  });
}

void TargetServer::addSecret(const std::string& aText)
{
  if (!aText.empty()) {
    mSecrets.push_back(aText);
  }
}

void TargetServer::record(TargetEvent aEvent)
{
  const TimePoint now = Clock::now();
  aEvent.timeUs = monotonicMicros();
  aEvent.target = mModel.settings().id;
  aEvent.inFlight = mModel.inFlight();
  aEvent.limit = mModel.limit(now);
  ++mCounts[aEvent.kind];
  mRecord.write(aEvent);
}

bool TargetServer::containsSecret(std::string_view aText) const
{
  return std::any_of(mSecrets.begin(), mSecrets.end(), [&](const std::string& aSecret) {
    return aText.find(aSecret) != std::string_view::npos;
  });
}

void TargetServer::reapClosed()
{
  const auto sessions = mSessions; // checkPeer() may remove its session.
  for (const auto& it : sessions) {
    it->checkPeer();
  }
}

void TargetServer::restart()
{
  for (const auto& it : mSessions) {
    it->abort();
  }
  mSessions.clear();
  mModel.restart(Clock::now());
}

AdminReply TargetServer::control(const AdminRequest& aRequest)
{
  const UrlQuery& query = aRequest.query;
  if (aRequest.method == "GET" && query.path() == "/stats") {
    return { 200, stats() };
  }
  if (aRequest.method != "POST") {
    return adminRefusal(405, "expected GET /stats, or POST");
  }
  TargetEvent cold;
  cold.kind = TargetEventKind::Cold;
  if (query.path() == "/slow") {
    const double factor = query.decimal("factor").value_or(0);
    if (factor <= 0) {
      return adminRefusal(400, "expected factor=N above 0");
    }
    mModel.slowDown(factor, Clock::now() + Millis(query.number("ms").value_or(0)));
  } else if (query.path() == "/cold") {
    mModel.coldStart(Clock::now());
    record(std::move(cold));
  } else if (query.path() == "/drain") {
    mModel.drain();
  } else if (query.path() == "/restart") {
    restart();
    cold.reason = "restart";
    record(std::move(cold));
  } else if (query.path() == "/secret") {
    addSecret(aRequest.body);
  } else {
    return adminRefusal(404, "expected /slow, /cold, /drain, /restart or /secret");
  }
  return {};
}

std::string TargetServer::stats() const
{
  QCborMap out = toCborValue(mModel.health(Clock::now())).toMap();
  for (const auto& it : EnumNames<TargetEventKind>::kTable) {
    const auto count = mCounts.find(it.value);
    out.insert(QString::fromStdString("count_" + std::string(it.name)),
               static_cast<qint64>(count == mCounts.end() ? 0 : count->second));
  }
  return writeJson(out);
}

} // namespace camphorcleat::harness
