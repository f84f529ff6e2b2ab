// Checks of answers against their requests.

#include "harness/CallJudge.h"

#include "base/Hash.h"
#include "harness/PatternBytes.h"
#include "harness/UrlQuery.h"

namespace camphorcleat::harness {

namespace {

struct EchoAnswer
{
  std::string key;
  std::string method;
  std::string path;
  std::uint64_t bodyBytes = 0;
  std::string bodySha256;

  static constexpr auto fields()
  {
    return std::make_tuple(field("key", &EchoAnswer::key), field("method", &EchoAnswer::method),
                           field("path", &EchoAnswer::path),
                           field("body_bytes", &EchoAnswer::bodyBytes),
                           field("body_sha256", &EchoAnswer::bodySha256));
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
std::optional<T> parsed(const std::string& aText)
{
  return orElse(
    [&]() -> Result<std::optional<T>> {
      BOOST_LEAF_AUTO(value, fromJson<T>(aText));
      return std::optional<T>(std::move(value));
    },
    [](const ErrorInfo&) { return std::optional<T>(); });
}

// The empty text means that the echo is right.
std::string faultOfEcho(const CallExpectation& aExpected, const CallAnswer& aAnswer,
                        const CallRecord& aRecord)
{
  const auto echo = parsed<EchoAnswer>(aAnswer.body);
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

std::string faultOfBytes(const CallExpectation& aExpected, const CallAnswer& aAnswer,
                         const CallRecord& aRecord)
{
  if (aAnswer.body.size() != aExpected.answerBytes) {
    return std::to_string(aAnswer.body.size()) + " bytes instead of " +
           std::to_string(aExpected.answerBytes);
  }
  return aAnswer.body == patternBytes(aRecord.id, 0, aAnswer.body.size()) ? "" : "other bytes";
}

void judgeFailure(const CallAnswer& aAnswer, CallRecord& aRecord)
{
  if (auto body = parsed<FailureBody>(aAnswer.body)) {
    aRecord.code = body->code;
    aRecord.message = body->message;
  }
  if (aAnswer.outcome == "not-run") {
    aRecord.result = CallResult::Refused;
  } else {
    aRecord.result = aAnswer.outcome == "unknown" ? CallResult::Unknown : CallResult::Other;
  }
}

} // namespace

void judgeAnswer(const CallExpectation& aExpected, const CallAnswer& aAnswer, CallRecord& aRecord)
{
  aRecord.status = aAnswer.status;
  aRecord.outcome = aAnswer.outcome;
  aRecord.whole = false;
  if (!aAnswer.isComplete) {
    aRecord.result = CallResult::Unknown;
    aRecord.fault = (aAnswer.status == 0 ? "no answer: " : "truncated: ") + aAnswer.transportError;
    return;
  }
  if (aAnswer.status < 200 || aAnswer.status >= 300) {
    judgeFailure(aAnswer, aRecord);
    return;
  }
  const std::string fault = aExpected.answerBytes > 0 ? faultOfBytes(aExpected, aAnswer, aRecord)
                                                      : faultOfEcho(aExpected, aAnswer, aRecord);
  aRecord.whole = fault.empty();
  aRecord.result = fault.empty() ? CallResult::Served : CallResult::Wrong;
  if (!fault.empty()) {
    aRecord.fault = fault;
  }
}

} // namespace camphorcleat::harness
