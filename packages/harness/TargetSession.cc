// Handles the requests of one connection to the target stand-in.

#include "harness/TargetSession.h"

#include <algorithm>

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

#include "base/Hash.h"
#include "harness/PatternBytes.h"
#include "harness/TargetServer.h"

namespace camphorcleat::harness {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t kMaxBodyBytes = 16U << 20U;
constexpr std::uint64_t kMaxStreamedBytes = 1U << 30U;
constexpr std::size_t kChunkBytes = 64U << 10U;

struct Echo
{
  NodeId target = 0;
  std::string service;
  std::string key;
  std::string request;
  std::string account;
  std::string method;
  std::string path;
  std::uint64_t bodyBytes = 0;
  std::string bodySha256;

  static constexpr auto fields()
  {
    return std::make_tuple(field("target", &Echo::target), field("service", &Echo::service),
                           field("key", &Echo::key), field("request", &Echo::request),
                           field("account", &Echo::account), field("method", &Echo::method),
                           field("path", &Echo::path), field("body_bytes", &Echo::bodyBytes),
                           field("body_sha256", &Echo::bodySha256));
  }
};

template<class T>
std::optional<T> narrowTo(std::optional<std::uint64_t> aValue)
{
  return aValue ? std::optional<T>(static_cast<T>(*aValue)) : std::nullopt;
}

} // namespace

TargetSession::TargetSession(TargetServer& aServer, asio::ip::tcp::socket aSocket)
  : mServer(&aServer)
  , mSocket(std::move(aSocket))
  , mTimer(aServer.loop())
{
  boost::system::error_code ec;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ec);
}

void TargetSession::readRequest()
{
  mParser.emplace();
  mParser->body_limit(kMaxBodyBytes);
  http::async_read(mSocket, mBuffer, *mParser,
                   [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                     if (self->mServer == nullptr) {
                       return;
                     }
                     if (aError) {
                       self->mServer->removeSession(self);
                       return;
                     }
                     self->mRequest = self->mParser->release();
                     self->handleRequest();
                   });
}

void TargetSession::handleRequest()
{
  const std::string target(mRequest.target());
  mQuery = UrlQuery(target);
  if (mQuery.path() == "/health" && mRequest.method() == http::verb::get) {
    handleHealth();
  } else if (mQuery.path() == "/grant" && mRequest.method() == http::verb::post) {
    handleGrant();
  } else {
    handleWork();
  }
}

void TargetSession::handleHealth()
{
  sendResponse(200, toJson(mServer->model().health(Clock::now())));
}

void TargetSession::handleGrant()
{
  const std::optional<GrantRequest> request = orElse(
    [&]() -> Result<std::optional<GrantRequest>> {
      BOOST_LEAF_AUTO(value, fromJson<GrantRequest>(mRequest.body()));
      return std::optional<GrantRequest>(value);
    },
    [](const ErrorInfo&) { return std::optional<GrantRequest>(); });
  if (!request) {
    sendResponse(400, R"({"message":"expected token and valid_until_clock_ms"})");
  } else if (!mServer->model().applyGrant(*request)) {
    sendResponse(409, R"({"message":"a higher token was seen"})");
  } else {
    sendResponse(200, "{}");
  }
}

void TargetSession::handleWork()
{
  TargetModel& model = mServer->model();
  if (model.isAtLimit(Clock::now())) {
    mServer->cancelClosedSessions();
  }
  const TimePoint now = Clock::now();
  const bool isExcess = model.isAtLimit(now);
  const auto fence = numericHeader("Camphorcleat-Fence");
  const AdmissionDecision decision =
    model.admit(now, narrowTo<PartitionId>(numericHeader("Camphorcleat-Partition")), fence);
  const bool wasDecidedByLoad = decision == AdmissionDecision::RunOverLimit ||
                                decision == AdmissionDecision::RefuseShed ||
                                decision == AdmissionDecision::Run;
  if (isExcess && wasDecidedByLoad) {
    mServer->record(makeEvent(TargetEventKind::Excess));
  }
  if (decision == AdmissionDecision::Run || decision == AdmissionDecision::RunOverLimit) {
    startWork(decision);
  } else {
    refuse(decision);
  }
}

void TargetSession::refuse(AdmissionDecision aDecision)
{
  const bool isFenced = aDecision == AdmissionDecision::RefuseFenced;
  TargetEvent refusal = makeEvent(isFenced ? TargetEventKind::Fenced : TargetEventKind::Shed);
  refusal.reason = aDecision == AdmissionDecision::RefuseDraining ? "draining"
                   : isFenced                                     ? "fence"
                                                                  : "full";
  mServer->record(std::move(refusal));
  if (isFenced) {
    sendResponse(412, R"({"message":"no valid grant, or the fence is stale"})", "fence");
  } else {
    sendResponse(503, R"({"message":"no free slot, or the target is draining"})", "shed");
  }
}

void TargetSession::startWork(AdmissionDecision aDecision)
{
  mHoldsSlot = true;
  mServer->record(makeStartEvent());
  const TimePoint now = Clock::now();
  const Duration work = mServer->model().serviceTime(now, mQuery.decimal("work_ms"), aDecision);
  const auto deadlineMs = numericHeader("Camphorcleat-Deadline-Ms");
  const Duration allowed = deadlineMs ? Duration(Millis(*deadlineMs)) : Duration::max();
  mTimer.expires_at(now + std::min(work, allowed));
  mTimer.async_wait([self = shared_from_this(), requestNumber = mRequestNumber,
                     isPastDeadline = work > allowed](boost::system::error_code aError) {
    if (!aError && self->mServer != nullptr && self->mHoldsSlot &&
        self->mRequestNumber == requestNumber) {
      self->finishWork(isPastDeadline);
    }
  });
  watchForPeerClose();
}

void TargetSession::watchForPeerClose()
{
  mSocket.async_wait(
    asio::ip::tcp::socket::wait_read,
    [self = shared_from_this(), requestNumber = mRequestNumber](boost::system::error_code aError) {
      if (!aError && self->mServer != nullptr && self->mHoldsSlot &&
          self->mRequestNumber == requestNumber) {
        self->cancelIfPeerClosed();
      }
    });
}

void TargetSession::cancelIfPeerClosed()
{
  if (!mHoldsSlot) {
    return;
  }
  char byte = 0;
  const ssize_t n = ::recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool isOpen = n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
  if (!isOpen) {
    releaseSlot(TargetEventKind::Cancel, "closed");
    closeConnection();
  }
}

void TargetSession::abort()
{
  if (mHoldsSlot) {
    releaseSlot(TargetEventKind::Cancel, "restart");
  }
  boost::system::error_code ec;
  mSocket.set_option(asio::socket_base::linger(true, 0), ec);
  mSocket.close(ec);
  mTimer.cancel();
  mServer = nullptr;
}

void TargetSession::finishWork(bool aIsPastDeadline)
{
  boost::system::error_code ec;
  mSocket.cancel(ec); // Cancels the wait of watchForPeerClose().
  if (aIsPastDeadline) {
    releaseSlot(TargetEventKind::Cancel, "deadline");
    sendResponse(504, R"({"message":"deadline passed while running"})");
    return;
  }
  const auto bytes = mQuery.number("bytes");
  if (bytes && mRequest.method() != http::verb::head) {
    startStreamedResponse(std::min(*bytes, kMaxStreamedBytes));
    return;
  }
  sendEchoResponse();
}

void TargetSession::releaseSlot(TargetEventKind aKind, const char* aReason)
{
  mHoldsSlot = false;
  ++mRequestNumber;
  mServer->model().finishRequest();
  TargetEvent end = makeEvent(aKind);
  if (aReason != nullptr) {
    end.reason = aReason;
  }
  mServer->record(std::move(end));
}

void TargetSession::sendEchoResponse()
{
  Echo echo;
  echo.target = mServer->model().settings().id;
  echo.service = header("Camphorcleat-Service");
  echo.key = header("Camphorcleat-Key");
  echo.request = header("Camphorcleat-Request-Id");
  echo.account = header("Camphorcleat-Account");
  echo.method = std::string(mRequest.method_string());
  echo.path = std::string(mRequest.target());
  echo.bodyBytes = mRequest.body().size();
  echo.bodySha256 = sha256Hex(mRequest.body());
  releaseSlot(TargetEventKind::End, nullptr);
  sendResponse(200, toJson(echo));
}

void TargetSession::startStreamedResponse(std::uint64_t aBytes)
{
  // The caller must know the seed to verify the bytes. The daemon chooses the request id, so the
  // caller passes its own id in the query.
  mPatternSeed = mQuery.text("id").value_or(header("Camphorcleat-Request-Id"));
  mStreamOffset = 0;
  mStreamSize = aBytes;
  mChunk = "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: " +
           std::to_string(aBytes) + "\r\n" +
           "Camphorcleat-Request-Id: " + header("Camphorcleat-Request-Id") + "\r\n" +
           (mRequest.keep_alive() ? "" : "Connection: close\r\n") + "\r\n";
  sendNextChunk();
}

void TargetSession::sendNextChunk()
{
  const std::size_t n =
    static_cast<std::size_t>(std::min<std::uint64_t>(kChunkBytes, mStreamSize - mStreamOffset));
  mChunk += patternBytes(mPatternSeed, mStreamOffset, n);
  mStreamOffset += n;
  const bool isLast = mStreamOffset == mStreamSize;
  if (isLast) {
    releaseSlot(TargetEventKind::End, nullptr);
  }
  asio::async_write(
    mSocket, asio::buffer(mChunk),
    [self = shared_from_this(), isLast](boost::system::error_code aError, std::size_t) {
      if (self->mServer == nullptr) {
        return;
      }
      if (aError) {
        if (self->mHoldsSlot) {
          self->releaseSlot(TargetEventKind::Cancel, "closed");
        }
        self->closeConnection();
        return;
      }
      self->mChunk.clear();
      if (!isLast) {
        self->sendNextChunk();
      } else if (self->mRequest.keep_alive()) {
        self->readRequest();
      } else {
        self->closeConnection();
      }
    });
}

void TargetSession::sendResponse(unsigned aStatus, const std::string& aBody,
                                 const char* aRefusedHeader)
{
  mResponse = { static_cast<http::status>(aStatus), mRequest.version() };
  mResponse.set(http::field::content_type, "application/json");
  const std::string id = header("Camphorcleat-Request-Id");
  if (!id.empty()) {
    mResponse.set("Camphorcleat-Request-Id", id);
  }
  if (aRefusedHeader != nullptr) {
    mResponse.set("Camphorcleat-Refused", aRefusedHeader);
  }
  mResponse.keep_alive(mRequest.keep_alive());
  mResponse.body() = aBody;
  mResponse.prepare_payload();
  if (mRequest.method() == http::verb::head) {
    mResponse.body().clear(); // Content-Length keeps the length of the omitted body.
  }
  http::async_write(mSocket, mResponse,
                    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                      if (self->mServer == nullptr) {
                        return;
                      }
                      if (!aError && self->mResponse.keep_alive()) {
                        self->readRequest();
                      } else {
                        self->closeConnection();
                      }
                    });
}

void TargetSession::closeConnection()
{
  boost::system::error_code ec;
  mSocket.shutdown(asio::socket_base::shutdown_both, ec);
  mSocket.close(ec);
  mTimer.cancel();
  mServer->removeSession(shared_from_this());
}

std::optional<std::uint64_t> TargetSession::numericHeader(const char* aName) const
{
  std::uint64_t out = 0;
  if (!boost::conversion::try_lexical_convert(header(aName), out)) {
    return std::nullopt;
  }
  return out;
}

std::string TargetSession::header(const char* aName) const
{
  return std::string(mRequest[aName]);
}

TargetEvent TargetSession::makeEvent(TargetEventKind aKind) const
{
  TargetEvent out;
  out.kind = aKind;
  out.service = header("Camphorcleat-Service");
  out.key = header("Camphorcleat-Key");
  out.account = header("Camphorcleat-Account");
  out.request = header("Camphorcleat-Request-Id");
  if (mRequest.count("Idempotency-Key") > 0) {
    out.idempotencyKey = header("Idempotency-Key");
  }
  out.fence = numericHeader("Camphorcleat-Fence");
  out.method = std::string(mRequest.method_string());
  out.path = std::string(mRequest.target());
  return out;
}

TargetEvent TargetSession::makeStartEvent() const
{
  TargetEvent out = makeEvent(TargetEventKind::Start);
  bool isSecretSeen = mServer->containsSecret(out.path);
  std::vector<std::string> names;
  for (const auto& it : mRequest) {
    names.emplace_back(it.name_string());
    isSecretSeen = isSecretSeen || mServer->containsSecret(std::string(it.value()));
  }
  out.headerNames = std::move(names);
  if (isSecretSeen) {
    out.secretSeen = true;
  }
  return out;
}

} // namespace camphorcleat::harness
