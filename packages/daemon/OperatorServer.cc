// Routes operators' HTTP requests.

#include "daemon/OperatorServer.h"

#include <algorithm>

#include "base/Codec.h"
#include "daemon/OperatorJson.h"
#include "transport/CallerWatch.h"

namespace camphorcleat::daemon {

namespace {

constexpr Millis kCommandTimeout{ 6000 };
constexpr std::size_t kMaxCommandBytes = 1U << 20U;
constexpr std::size_t kMaxConnections = 256;
constexpr unsigned kOk = 200;

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

std::string notMemberJson(const Settings& aSettings)
{
  std::string members;
  for (const auto& [id, address] : aSettings.members) {
    members += (members.empty() ? "" : ", ") + std::to_string(id);
  }
  return refusalJson(
    ErrorCode::NotLeader,
    "this daemon is not a control member; send the request to one of nodes " + members, 0);
}

} // namespace

OperatorServer::OperatorServer(const Settings& aSettings, Rings& aRings, const SharedView& aView,
                               const HealthPages& aPages)
  : mSettings(aSettings)
  , mRings(aRings)
  , mView(aView)
  , mPages(aPages)
  , mThread("operator")
{
}

OperatorServer::~OperatorServer()
{
  stop();
}

Result<void> OperatorServer::start()
{
  transport::HttpLimits limits;
  limits.maxBodyBytes = kMaxCommandBytes;
  limits.maxConnections = kMaxConnections;
  mFrontend = std::make_unique<transport::HttpFrontend>(mThread.context(),
                                                        mSettings.operatorsAddress, limits, *this);
  BOOST_LEAF_CHECK(mFrontend->start());
  mThread.start();
  return {};
}

void OperatorServer::stop()
{
  mThread.stop();
  mFrontend.reset();
}

void OperatorServer::onRequest(Stream aStream)
{
  const std::string path = aStream->path().substr(0, aStream->path().find('?'));
  if (path == "/command" && aStream->method() == "POST") {
    readCommand(aStream, std::string());
  } else if (path == "/status") {
    handleStatus(aStream);
  } else {
    sendPage(aStream, mPages.page(path));
  }
}

void OperatorServer::readCommand(const Stream& aStream, std::string aText)
{
  aStream->readBody([this, aStream, text = std::move(aText)](transport::BodyPart aPart) mutable {
    if (aPart.error) {
      sendJson(aStream, refusalJson(*aPart.error, "the command could not be read", 0));
      return;
    }
    text += aPart.data;
    if (aPart.isLast) {
      handleCommand(aStream, text);
    } else {
      readCommand(aStream, std::move(text));
    }
  });
}

void OperatorServer::handleCommand(const Stream& aStream, const std::string& aText)
{
  const auto reply = replyTo(aStream);
  orElse(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(body, fromJson<CommandBody>(aText));
      if (!mRings.control) {
        reply(notMemberJson(mSettings));
        return true;
      }
      OperatorRequest request;
      request.statement = body.statement;
      request.commandId = body.commandId;
      request.issuer = body.issuer;
      request.expectedRevision = body.expectedRevision;
      request.isDryRun = body.isDryRun.value_or(false);
      request.deadline = Clock::now() + kCommandTimeout;
      request.isAwaited = transport::watchCaller(*aStream);
      request.reply = reply;
      ControlMessage message(std::move(request));
      if (!mRings.control->tryPush(std::move(message))) {
        reply(refusalJson(ErrorCode::Overloaded, "too many commands are waiting", 0));
      }
      return true;
    },
    [&](const ErrorInfo& aInfo) {
      reply(refusalJson(aInfo.code, aInfo.message, 0));
      return false;
    });
}

void OperatorServer::handleStatus(const Stream& aStream)
{
  const TimePoint now = Clock::now();
  const auto state = mView.state();
  NodeStatusView local;
  local.node = mSettings.id;
  local.revision = state->revision;
  local.leaseLeftMillis = std::max<std::int64_t>(0, toMillis(mView.leaseValidUntil() - now));
  local.isLeaseValid = now < mView.leaseValidUntil();
  local.isConfigFresh = now - mView.confirmedAt() <= mSettings.lease.confirmLimit;
  local.incarnation = state->incarnation;
  local.partitionsOwned = countOwned(*state, mSettings.id);
  if (mCharts != nullptr) {
    local.charts = mCharts->states();
  }
  const auto reply = replyTo(aStream);
  StatusRequest request;
  request.reply = [reply, local](const ControlStatus& aStatus) {
    reply(statusJson(local, aStatus));
  };
  ControlMessage message(std::move(request));
  if (!mRings.control || !mRings.control->tryPush(std::move(message))) {
    reply(statusJson(local, std::nullopt));
  }
}

void OperatorServer::sendPage(const Stream& aStream, const Page& aPage)
{
  aStream->sendResponse(aPage.status, { { "Content-Type", "text/plain; charset=utf-8" } },
                        aPage.text);
}

void OperatorServer::sendJson(const Stream& aStream, const std::string& aJson)
{
  aStream->sendResponse(kOk, { { "Content-Type", "application/json" } }, aJson);
}

// Returns a callback that sends a JSON response. The control thread may call it, although the
// stream may be used only on the operator thread.
std::function<void(const std::string&)> OperatorServer::replyTo(const Stream& aStream)
{
  return [this, aStream](const std::string& aJson) {
    mThread.post([this, aStream, aJson] { sendJson(aStream, aJson); });
  };
}

} // namespace camphorcleat::daemon
