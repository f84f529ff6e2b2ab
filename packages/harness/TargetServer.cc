// Accepts connections, writes events and handles admin requests.

#include "harness/TargetServer.h"

#include "harness/TargetSession.h"

namespace camphorcleat::harness {

namespace asio = boost::asio;

TargetServer::TargetServer(asio::io_context& aLoop, const Endpoint& aListen,
                           TargetSettings aSettings, JsonLineWriter aEventWriter)
  : mLoop(aLoop)
  , mAcceptor(aLoop, aListen)
  , mModel(std::move(aSettings), Clock::now())
  , mEventWriter(std::move(aEventWriter))
{
  TargetEvent coldEvent;
  coldEvent.kind = TargetEventKind::Cold;
  record(std::move(coldEvent));
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
      session->readRequest();
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
  mEventWriter.write(aEvent);
}

bool TargetServer::containsSecret(std::string_view aText) const
{
  return std::any_of(mSecrets.begin(), mSecrets.end(), [&](const std::string& aSecret) {
    return aText.find(aSecret) != std::string_view::npos;
  });
}

void TargetServer::cancelClosedSessions()
{
  const auto sessions = mSessions; // Copied because cancelIfPeerClosed() may remove its session.
  for (const auto& it : sessions) {
    it->cancelIfPeerClosed();
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

AdminResponse TargetServer::handleAdminRequest(const AdminRequest& aRequest)
{
  const UrlQuery& query = aRequest.query;
  if (aRequest.method == "GET" && query.path() == "/stats") {
    return { 200, statsJson() };
  }
  if (aRequest.method != "POST") {
    return adminErrorResponse(405, "expected GET /stats, or POST");
  }
  TargetEvent coldEvent;
  coldEvent.kind = TargetEventKind::Cold;
  if (query.path() == "/slow") {
    const double factor = query.decimal("factor").value_or(0);
    if (factor <= 0) {
      return adminErrorResponse(400, "expected factor=N above 0");
    }
    mModel.setSlowdown(factor, Clock::now() + Millis(query.number("ms").value_or(0)));
  } else if (query.path() == "/cold") {
    mModel.coldStart(Clock::now());
    record(std::move(coldEvent));
  } else if (query.path() == "/drain") {
    mModel.startDraining();
  } else if (query.path() == "/restart") {
    restart();
    coldEvent.reason = "restart";
    record(std::move(coldEvent));
  } else if (query.path() == "/secret") {
    addSecret(aRequest.body);
  } else {
    return adminErrorResponse(404, "expected /slow, /cold, /drain, /restart or /secret");
  }
  return {};
}

std::string TargetServer::statsJson() const
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
