// Compares echoed and streamed responses with the request.

#include "harness/ResponseCheck.h"

#include "base/Hash.h"
#include "harness/PatternBytes.h"
#include "harness/UrlQuery.h"

namespace camphorcleat::harness {

namespace {

struct EchoResponse
{
  std::string key;
  std::string method;
  std::string path;
  std::uint64_t bodyBytes = 0;
  std::string bodySha256;

  static constexpr auto fields()
  {
    return std::make_tuple(field("key", &EchoResponse::key), field("method", &EchoResponse::method),
                           field("path", &EchoResponse::path),
                           field("body_bytes", &EchoResponse::bodyBytes),
                           field("body_sha256", &EchoResponse::bodySha256));
  }
};

struct FailureBody
{
  std::string code;
  std::optional<std::string> message;

  static constexpr auto fields()
  {
    return std::make_tuple(field("code", &FailureBody::code),
                           field("message", &FailureBody::message));
  }
};

template<class T>
std::optional<T> tryParse(const std::string& aText)
{
  return orElse(
    [&]() -> Result<std::optional<T>> {
      BOOST_LEAF_AUTO(value, fromJson<T>(aText));
      return std::optional<T>(std::move(value));
    },
    [](const ErrorInfo&) { return std::optional<T>(); });
}

// Returns why the echo doesn't match the request, or an empty text if it matches.
std::string describeEchoMismatch(const CallExpectation& aExpected, const CallResponse& aResponse,
                                 const CallRecord& aRecord)
{
  const auto echo = tryParse<EchoResponse>(aResponse.body);
  if (!echo) {
    return "not an echo";
  }
  if (UrlQuery(echo->path).text("id") != aRecord.id) {
    return "echo of another request: " + echo->path;
  }
  if (echo->key != aRecord.key) {
    return "echo of another key: " + echo->key;
  }
  if (echo->method != aRecord.method) {
    return "echo of another method: " + echo->method;
  }
  const std::string body =
    patternBytes(aRecord.id, 0, static_cast<std::size_t>(aExpected.bodyBytes));
  if (echo->bodyBytes != body.size() || echo->bodySha256 != sha256Hex(body)) {
    return "the target received another body";
  }
  return {};
}

// Returns why the streamed bytes don't match the request, or an empty text if they match.
std::string describeBytesMismatch(const CallExpectation& aExpected, const CallResponse& aResponse,
                                  const CallRecord& aRecord)
{
  if (aResponse.body.size() != aExpected.responseBytes) {
    return std::to_string(aResponse.body.size()) + " bytes instead of " +
           std::to_string(aExpected.responseBytes);
  }
  return aResponse.body == patternBytes(aRecord.id, 0, aResponse.body.size())
           ? ""
           : "the bytes differ from the pattern";
}

void classifyFailure(const CallResponse& aResponse, CallRecord& aRecord)
{
  if (auto body = tryParse<FailureBody>(aResponse.body)) {
    aRecord.code = body->code;
    aRecord.message = body->message;
  }
  if (aResponse.outcome == "not-run") {
    aRecord.result = CallResult::Refused;
  } else {
    aRecord.result = aResponse.outcome == "unknown" ? CallResult::Unknown : CallResult::Other;
  }
}

} // namespace

void checkResponse(const CallExpectation& aExpected, const CallResponse& aResponse,
                   CallRecord& aRecord)
{
  aRecord.status = aResponse.status;
  aRecord.outcome = aResponse.outcome;
  aRecord.isVerified = false;
  if (!aResponse.isComplete) {
    aRecord.result = CallResult::Unknown;
    aRecord.error =
      (aResponse.status == 0 ? "no response: " : "truncated: ") + aResponse.transportError;
    return;
  }
  if (aResponse.status < 200 || aResponse.status >= 300) {
    classifyFailure(aResponse, aRecord);
    return;
  }
  const std::string mismatch = aExpected.responseBytes > 0
                                 ? describeBytesMismatch(aExpected, aResponse, aRecord)
                                 : describeEchoMismatch(aExpected, aResponse, aRecord);
  aRecord.isVerified = mismatch.empty();
  aRecord.result = mismatch.empty() ? CallResult::Served : CallResult::Mismatched;
  if (!mismatch.empty()) {
    aRecord.error = mismatch;
  }
}

} // namespace camphorcleat::harness
