// Reads and writes the headers of the native dialect.

#include "daemon/NativeDialect.h"

#include <boost/algorithm/string/predicate.hpp>

#include "base/Codec.h"
#include "transport/HttpHeaders.h"

namespace camphorcleat::daemon {

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr const char* kOwnHeaderPrefix = "Camphorcleat-";
constexpr const char* kRefusedHeader = "Camphorcleat-Refused";
constexpr const char* kRequestIdHeader = "Camphorcleat-Request-Id";
constexpr unsigned kPreconditionFailed = 412;
constexpr unsigned kServiceUnavailable = 503;

std::string headerOf(const std::vector<wire::Header>& aHeaders, const char* aName)
{
  const std::string* value = transport::findHeader(aHeaders, aName);
  return value == nullptr ? std::string() : *value;
}

std::string requestIdOf(const wire::RequestHead& aHead)
{
  return std::to_string(aHead.id.entry) + "-" + std::to_string(aHead.id.counter);
}

// Removes headers that are not forwarded. The account key is a secret and is used only by the
// entry. Content-Length is set again when the request is written to the target. The other headers
// are for daemons; the owner's daemon sends the deadline to the target.
std::vector<wire::Header> withoutOwnHeaders(const std::vector<wire::Header>& aHeaders)
{
  std::vector<wire::Header> out;
  for (const auto& it : aHeaders) {
    if (!boost::iequals(it.name, "Authorization") && !boost::iequals(it.name, "Content-Length") &&
        !boost::istarts_with(it.name, kOwnHeaderPrefix)) {
      out.push_back(it);
    }
  }
  return out;
}

bool hasRefusal(const std::vector<wire::Header>& aHeaders, const char* aReason)
{
  return boost::iequals(headerOf(aHeaders, kRefusedHeader), aReason);
}

struct FailureBody
{
  ErrorCode code = ErrorCode::Internal;
  std::string message;
  static constexpr auto fields()
  {
    return std::make_tuple(field("code", &FailureBody::code),
                           field("message", &FailureBody::message));
  }
};

} // namespace

unsigned statusOf(const CallerFailure& aFailure)
{
  if (aFailure.outcome == wire::Outcome::Unknown) {
    if (aFailure.code == ErrorCode::DeadlineExceeded) {
      return 504;
    }
    // With an idempotency key, an earlier run is unfinished or its result was lost.
    const bool isConflict =
      aFailure.code == ErrorCode::OutcomeUnknown && aFailure.hasIdempotencyKey;
    return isConflict || aFailure.code == ErrorCode::IdempotencyConflict ? 409 : 502;
  }
  switch (aFailure.code) {
    case ErrorCode::BadRequest:
      return 400;
    case ErrorCode::UnknownAccountKey:
      return 401;
    case ErrorCode::RouteForbidden:
      return 403;
    case ErrorCode::UnknownService:
      return 404;
    case ErrorCode::IdempotencyConflict:
      return 409;
    case ErrorCode::BodyTooLarge:
      return 413;
    case ErrorCode::OverRate:
      return 429;
    default:
      return 503;
  }
}

CallerMetadata NativeDialect::parseCallerMetadata(const transport::CallerStream& aStream) const
{
  const std::vector<wire::Header>& headers = aStream.headers();
  CallerMetadata out;
  out.host = headerOf(headers, "Host");
  const std::string authorization = headerOf(headers, "Authorization");
  if (boost::istarts_with(authorization, kBearer)) {
    out.accountKey = authorization.substr(kBearer.size());
  }
  const std::string deadline = headerOf(headers, "Camphorcleat-Deadline-Ms");
  const auto millis = std::strtoll(deadline.c_str(), nullptr, 10);
  if (millis > 0) {
    out.deadline = Millis(millis);
  }
  out.key = headerOf(headers, "Camphorcleat-Key");
  out.idempotencyKey = headerOf(headers, "Idempotency-Key");
  out.isResend = headerOf(headers, "Camphorcleat-Resend") == "1";
  out.forwarded = withoutOwnHeaders(headers);
  return out;
}

CallerResponse NativeDialect::failure(const CallerFailure& aFailure) const
{
  CallerResponse out;
  out.status = statusOf(aFailure);
  out.headers = {
    { "Content-Type", "application/json" },
    { "Camphorcleat-Outcome", aFailure.outcome == wire::Outcome::Unknown ? "unknown" : "not-run" },
  };
  if (aFailure.retryAfter.count() > 0) {
    constexpr std::int64_t kMillisPerSecond = 1000;
    const std::int64_t seconds =
      (aFailure.retryAfter.count() + kMillisPerSecond - 1) / kMillisPerSecond;
    out.headers.push_back({ "Retry-After", std::to_string(seconds) });
    out.headers.push_back(
      { "Camphorcleat-Retry-After-Ms", std::to_string(aFailure.retryAfter.count()) });
  }
  out.body = toJson(FailureBody{ aFailure.code, aFailure.message });
  return out;
}

std::vector<wire::Header> NativeDialect::targetHeaders(const TargetCall& aCall) const
{
  const wire::RequestHead& head = aCall.head;
  std::vector<wire::Header> out;
  for (const auto& it : head.headers) {
    if (!boost::istarts_with(it.name, kOwnHeaderPrefix)) {
      out.push_back(it);
    }
  }
  out.push_back({ kRequestIdHeader, requestIdOf(head) });
  out.push_back({ "Camphorcleat-Service", head.service });
  out.push_back({ "Camphorcleat-Key", head.key });
  out.push_back({ "Camphorcleat-Partition", std::to_string(head.partition) });
  out.push_back({ "Camphorcleat-Fence", std::to_string(aCall.token) });
  out.push_back({ "Camphorcleat-Account", head.account });
  out.push_back({ "Camphorcleat-Deadline-Ms", std::to_string(toMillis(aCall.timeLeft)) });
  out.push_back({ "Camphorcleat-Start-Within-Ms", std::to_string(toMillis(aCall.leaseLeft)) });
  return out;
}

bool NativeDialect::namesRequest(const wire::RequestHead& aHead,
                                 const std::vector<wire::Header>& aHeaders) const
{
  return headerOf(aHeaders, kRequestIdHeader) == requestIdOf(aHead);
}

TargetResponseKind NativeDialect::classifyResponse(const wire::RequestHead& aHead, unsigned aStatus,
                                                   const std::vector<wire::Header>& aHeaders) const
{
  const std::string* id = transport::findHeader(aHeaders, kRequestIdHeader);
  if (id != nullptr && *id != requestIdOf(aHead)) {
    return TargetResponseKind::Stale;
  }
  if (aStatus == kPreconditionFailed && hasRefusal(aHeaders, "fence")) {
    return TargetResponseKind::Fenced;
  }
  if (aStatus == kServiceUnavailable && hasRefusal(aHeaders, "shed")) {
    return TargetResponseKind::Shed;
  }
  return TargetResponseKind::Ran;
}

std::unique_ptr<Dialect> NativeDialectFactory::makeDialect() const
{
  return std::make_unique<NativeDialect>();
}

std::unique_ptr<DialectServer> NativeDialectFactory::makeServer(const Settings& /*aSettings*/,
                                                                DaemonApi& /*aApi*/) const
{
  return nullptr;
}

} // namespace camphorcleat::daemon
